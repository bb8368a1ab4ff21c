// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/ObjectTable.h"

#include <set>

namespace courseloom {

namespace internal {
namespace {

Failure conflict(const std::string& detail) { return Failure{FailureCode::Conflict, Ran::No, "apply", "", detail, 0}; }

Failure unknown_reference(FailureCode code, const std::string& detail) {
  return Failure{code, Ran::No, "apply", "", detail, 0};
}

}  // namespace
}  // namespace internal

std::string kindOf(const schema::Object& object) {
  const int set = int{object.has_service()} + int{object.has_workspace()} + int{object.has_guarantee()};
  if (set != 1) return {};
  if (object.has_service()) return "service";
  return object.has_workspace() ? "workspace" : "guarantee";
}

namespace internal {
namespace {
std::string urgency_label(schema::Urgency urgency) {
  if (urgency == schema::Urgent) return "urgent";
  return urgency == schema::Low ? "low" : "normal";
}
}  // namespace
}  // namespace internal

Labels labelsOf(const schema::Object& object) {
  Labels labels(object.labels().begin(), object.labels().end());
  const std::string kind = kindOf(object);
  labels.emplace("kind", kind);
  labels.emplace("name", object.name());
  labels.emplace("urgency", internal::urgency_label(object.urgency()));
  if (kind == "workspace") labels.emplace("workspace", object.name());
  if (kind == "service") labels.emplace("service", object.name());
  if (kind == "guarantee") labels.emplace("workspace", object.guarantee().workspace());
  return labels;
}

Labels labelsOf(const schema::Job& job) {
  Labels labels(job.spec().labels().begin(), job.spec().labels().end());
  labels.emplace("kind", "job");
  labels.emplace("workspace", job.spec().workspace());
  labels.emplace("service", job.spec().service());
  labels.emplace("urgency", internal::urgency_label(job.spec().urgency()));
  labels.emplace("repeatable", job.spec().not_repeatable() ? "no" : "yes");
  return labels;
}

const schema::Object* ObjectTable::find(const std::string& kind, const std::string& name) const {
  const auto found = m_objects.find({kind, name});
  return found == m_objects.end() ? nullptr : &found->second;
}

std::string ObjectTable::lastOperator(const ObjectId& id) const {
  for (auto change = m_history.rbegin(); change != m_history.rend(); ++change) {
    if (change->key().kind() == id.first && change->key().name() == id.second) return change->operator_name();
  }
  return "an earlier operator";
}

Result<void> ObjectTable::check(const schema::ApplyObjects& change) const {
  std::set<ObjectId> submitted;
  for (const schema::Object& object : change.objects()) {
    const std::string kind = kindOf(object);
    if (kind.empty()) {
      return fail(Failure{FailureCode::BadRequest, Ran::No, "apply", object.name(),
                          "an object has exactly one of service, workspace and guarantee", 0});
    }
    if (!submitted.insert({kind, object.name()}).second) {
      return fail(internal::conflict(kind + " '" + object.name() + "' is given twice"));
    }
  }
  for (const schema::Object& object : change.objects()) {
    const ObjectId id{kindOf(object), object.name()};
    const schema::Object* current = find(id.first, id.second);
    const std::uint64_t currentRevision = current == nullptr ? 0 : current->revision();
    if (object.revision() != 0 && object.revision() != currentRevision) {
      return fail(internal::conflict(id.first + " '" + id.second + "' is at revision " +
                                     std::to_string(currentRevision) + ", changed by " + lastOperator(id) +
                                     "; your change was based on revision " + std::to_string(object.revision())));
    }
    if (!object.has_guarantee()) continue;
    const std::string& workspace = object.guarantee().workspace();
    if (find("workspace", workspace) == nullptr && submitted.count({"workspace", workspace}) == 0) {
      return fail(internal::unknown_reference(
          FailureCode::UnknownWorkspace,
          "guarantee '" + object.name() + "' names workspace '" + workspace + "', which does not exist"));
    }
    const std::string& service = object.guarantee().service();
    if (!service.empty() && find("service", service) == nullptr && submitted.count({"service", service}) == 0) {
      return fail(internal::unknown_reference(
          FailureCode::UnknownService,
          "guarantee '" + object.name() + "' names service '" + service + "', which does not exist"));
    }
  }
  return {};
}

void ObjectTable::record(schema::ObjectChange change) {
  m_revision = std::max(m_revision, change.revision());
  m_history.push_back(std::move(change));
  while (m_history.size() > MaxHistory) {
    m_historyBase = m_history.front().revision();
    m_history.pop_front();
  }
}

void ObjectTable::put(schema::Object object, std::uint64_t revision, const std::string& operatorName) {
  object.set_revision(revision);
  schema::ObjectChange change;
  change.set_revision(revision);
  change.set_operator_name(operatorName);
  change.mutable_key()->set_kind(kindOf(object));
  change.mutable_key()->set_name(object.name());
  *change.mutable_object() = object;
  m_objects[{kindOf(object), object.name()}] = std::move(object);
  record(std::move(change));
}

void ObjectTable::apply(const schema::ApplyObjects& change, std::uint64_t revision, const std::string& operatorName) {
  for (const schema::Object& object : change.objects()) {
    schema::Object next = object;
    const schema::Object* current = find(kindOf(object), object.name());
    if (current != nullptr) {
      // Operators pause and drain by actions; applying a configuration file does not undo these.
      next.set_paused(next.paused() || current->paused());
      next.set_draining(next.draining() || current->draining());
    }
    put(std::move(next), revision, operatorName);
  }
}

Result<void> ObjectTable::checkRemoval(const schema::DeleteObject& removal) const {
  const schema::ObjectKey& key = removal.key();
  const schema::Object* current = find(key.kind(), key.name());
  if (current == nullptr) {
    return fail(
        Failure{FailureCode::NotFound, Ran::No, "delete", "", key.kind() + " '" + key.name() + "' does not exist", 0});
  }
  if (removal.revision() != 0 && removal.revision() != current->revision()) {
    return fail(internal::conflict(key.kind() + " '" + key.name() + "' is at revision " +
                                   std::to_string(current->revision()) + ", changed by " +
                                   lastOperator({key.kind(), key.name()})));
  }
  for (const auto& [id, object] : m_objects) {
    const bool refers =
        object.has_guarantee() && ((key.kind() == "workspace" && object.guarantee().workspace() == key.name()) ||
                                   (key.kind() == "service" && object.guarantee().service() == key.name()));
    if (refers) return fail(internal::conflict("guarantee '" + object.name() + "' still refers to it"));
  }
  return {};
}

void ObjectTable::remove(const schema::ObjectKey& key, std::uint64_t revision, const std::string& operatorName) {
  m_objects.erase({key.kind(), key.name()});
  schema::ObjectChange change;
  change.set_revision(revision);
  change.set_operator_name(operatorName);
  *change.mutable_key() = key;
  record(std::move(change));
}

bool ObjectTable::changesSince(std::uint64_t revision, std::vector<schema::ObjectChange>& changes) const {
  if (revision < m_historyBase || revision > m_revision) return false;
  auto first = m_history.end();
  while (first != m_history.begin() && std::prev(first)->revision() > revision) --first;
  changes.assign(first, m_history.end());
  return true;
}

void ObjectTable::save(schema::StateSnapshot& snapshot) const {
  snapshot.set_revision(m_revision);
  snapshot.set_base_revision(m_historyBase);
  for (const auto& [id, object] : m_objects) *snapshot.add_objects() = object;
  for (const schema::ObjectChange& change : m_history) *snapshot.add_changes() = change;
}

void ObjectTable::load(const schema::StateSnapshot& snapshot) {
  m_objects.clear();
  m_history.assign(snapshot.changes().begin(), snapshot.changes().end());
  for (const schema::Object& object : snapshot.objects()) m_objects[{kindOf(object), object.name()}] = object;
  m_revision = snapshot.revision();
  m_historyBase = snapshot.base_revision();
}

}  // namespace courseloom
