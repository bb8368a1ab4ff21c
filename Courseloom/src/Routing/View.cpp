// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Routing/View.h"

namespace courseloom {

namespace internal {
namespace {

const schema::Object* find_object(const std::map<std::string, schema::Object>& objects, const std::string& name) {
  const auto found = objects.find(name);
  return found == objects.end() ? nullptr : &found->second;
}

}  // namespace
}  // namespace internal

const schema::Object* View::service(const std::string& name) const { return internal::find_object(services, name); }
const schema::Object* View::workspace(const std::string& name) const { return internal::find_object(workspaces, name); }

std::unique_ptr<View> ViewBuilder::next(const View& last, const schema::WatchReply& reply) const {
  // A reply of an older term comes from a former leader and arrived late; its revisions are outdated.
  if (reply.term() < last.term) return nullptr;
  const bool newConfiguration = reply.revision() > last.revision;
  const bool newerList = reply.term() > last.targetsTerm || reply.view() > last.targetsVersion;
  const bool newTargets = reply.has_targets() && newerList;
  if (!newConfiguration && !newTargets) return nullptr;
  auto view = std::make_unique<View>(last);
  view->term = reply.term();
  if (newConfiguration) {
    if (reply.whole()) {
      view->services.clear();
      view->workspaces.clear();
      view->guarantees.clear();
    }
    for (const schema::ObjectChange& change : reply.changes()) applyChange(*view, change);
    for (const auto& [name, workspace] : view->workspaces) {
      View::Counter& counter = view->inFlight[name];
      if (!counter) counter = std::make_shared<std::atomic<unsigned>>(0);
    }
    view->revision = reply.revision();
  }
  if (newTargets) applyTargets(*view, last, reply);
  return view;
}

void ViewBuilder::applyChange(View& view, const schema::ObjectChange& change) const {
  const std::string& kind = change.key().kind();
  auto& objects = kind == "service" ? view.services : kind == "workspace" ? view.workspaces : view.guarantees;
  if (change.has_object()) {
    objects[change.key().name()] = change.object();
  } else {
    objects.erase(change.key().name());
  }
}

TargetPointer ViewBuilder::reuseOrCreate(const View& last, const schema::NodeStatus& node) const {
  const auto service = last.targets.find(node.service());
  if (service != last.targets.end()) {
    for (const TargetPointer& target : service->second) {
      if (target->name == node.target() && target->incarnation == node.incarnation()) return target;
    }
  }
  auto target = std::make_shared<Target>();
  target->service = node.service();
  target->name = node.target();
  target->dataHall = node.data_hall();
  target->incarnation = node.incarnation();
  target->agent = m_connect(node.address(), node.rpc_port());
  return target;
}

void ViewBuilder::applyTargets(View& view, const View& last, const schema::WatchReply& reply) const {
  view.targetsVersion = reply.view();
  view.targetsTerm = reply.term();
  view.targets.clear();
  const Time now = BootClock::now();
  for (const schema::NodeStatus& node : reply.targets()) {
    TargetPointer target = reuseOrCreate(last, node);
    target->report(node.load(), now);
    target->leaving.store(node.leaving() || node.load().leaving(), std::memory_order_relaxed);
    view.targets[node.service()].push_back(std::move(target));
  }
}

}  // namespace courseloom
