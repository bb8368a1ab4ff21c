// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Admission/Admission.h"

#include <algorithm>
#include <tuple>

namespace courseloom {

namespace internal {
namespace {

constexpr std::uint32_t MinRetryMs = 50;
constexpr std::uint32_t MaxRetryMs = 60000;
constexpr int MeanRunDivisor = 8;              ///< a new run time has a weight of one eighth in the mean
constexpr unsigned SlotsForUrgentReserve = 4;  ///< targets with fewer slots reserve none for urgent requests

int order_of(schema::Urgency urgency) {
  if (urgency == schema::Urgent) return 0;
  return urgency == schema::Low ? 2 : 1;
}

}  // namespace
}  // namespace internal

void Admission::setShares(std::map<std::string, unsigned> guaranteed, std::map<std::string, unsigned> weights) {
  m_guaranteed = std::move(guaranteed);
  m_weights = std::move(weights);
}

unsigned Admission::freeSlots() const {
  const unsigned used = running() + m_settling;
  return m_options.slots > used ? m_options.slots - used : 0;
}

unsigned Admission::runningOf(const std::string& workspace) const {
  const auto found = m_runningOf.find(workspace);
  return found == m_runningOf.end() ? 0 : found->second;
}

unsigned Admission::reservedForOthers(const std::string& workspace) const {
  unsigned reserved = 0;
  for (const auto& [owner, slots] : m_guaranteed) {
    if (owner == workspace) continue;
    const unsigned used = runningOf(owner);
    if (slots > used) reserved += slots - used;
  }
  return reserved;
}

bool Admission::mayStart(const AdmissionRequest& request) const {
  const unsigned free = freeSlots();
  if (free == 0) return false;
  if (!m_options.shares) return true;
  const auto own = m_guaranteed.find(request.workspace);
  if (own != m_guaranteed.end() && runningOf(request.workspace) < own->second) return true;
  const bool urgent = request.urgency == schema::Urgent;
  const unsigned urgentReserve = !urgent && m_options.slots >= internal::SlotsForUrgentReserve ? 1 : 0;
  return free > reservedForOthers(request.workspace) + urgentReserve;
}

void Admission::start(const AdmissionRequest& request) {
  m_running[request.id] = request.workspace;
  ++m_runningOf[request.workspace];
}

std::uint32_t Admission::retryAfterMs() const {
  const auto perSlot = m_meanRun.count() / 1000 / std::max(1U, m_options.slots);
  const auto drain = static_cast<std::uint64_t>(perSlot) * (m_queued + 1);
  return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(drain, internal::MinRetryMs, internal::MaxRetryMs));
}

AdmissionAction Admission::refuse(std::uint64_t id, FailureCode code, const std::string& detail) const {
  return {id, Verdict::Refuse, Failure{code, Ran::No, "admission", "", detail, retryAfterMs()}};
}

Duration Admission::expectedWait(const AdmissionRequest& request) const {
  unsigned ahead = 0;
  for (const auto& [workspace, queue] : m_queues) {
    for (const Waiting& waiting : queue) {
      if (internal::order_of(waiting.request.urgency) <= internal::order_of(request.urgency)) ++ahead;
    }
  }
  return m_meanRun * (ahead + 1) / std::max(1U, m_options.slots);
}

AdmissionAction Admission::arrive(AdmissionRequest request, Time now) {
  if (m_leaving) return {request.id, Verdict::Refuse, *m_leaving};
  if (now >= request.deadline) return refuse(request.id, FailureCode::DeadlinePassed, "the deadline has passed");
  const auto queue = m_queues.find(request.workspace);
  const bool othersWait = queue != m_queues.end() && !queue->second.empty();
  if (!othersWait && mayStart(request)) {
    start(request);
    return {request.id, Verdict::Start, {}};
  }
  if (m_queued >= m_options.queueLimit) return refuse(request.id, FailureCode::Overloaded, "the queue is full");
  if (m_options.deadlines && now + expectedWait(request) + m_meanRun > request.deadline) {
    return refuse(request.id, FailureCode::DeadlineTooShort, "the queue cannot serve it before its deadline");
  }
  const std::uint64_t id = request.id;
  Queue& own = m_queues[request.workspace];
  const auto position = std::find_if(own.begin(), own.end(), [&](const Waiting& waiting) {
    return m_options.shares && internal::order_of(waiting.request.urgency) > internal::order_of(request.urgency);
  });
  own.insert(position, {std::move(request), now});
  ++m_queued;
  return {id, Verdict::Queue, {}};
}

/** \returns the queue whose first request starts next, null if none may start. Urgent requests come first, then those
 * of workspaces with unused guarantees, then those of the workspace with the fewest running requests by weight. */
Admission::Queue* Admission::nextQueue() {
  Queue* best = nullptr;
  std::tuple<int, int, double, Time> bestKey;
  for (auto& [workspace, queue] : m_queues) {
    if (queue.empty() || !mayStart(queue.front().request)) continue;
    const auto guarantee = m_guaranteed.find(workspace);
    const bool guaranteeUnused = guarantee != m_guaranteed.end() && runningOf(workspace) < guarantee->second;
    const auto weight = m_weights.find(workspace);
    const double share =
        runningOf(workspace) / static_cast<double>(weight == m_weights.end() ? 1 : std::max(1U, weight->second));
    std::tuple<int, int, double, Time> key{internal::order_of(queue.front().request.urgency), guaranteeUnused ? 0 : 1,
                                           share, queue.front().arrived};
    if (!m_options.shares) key = {0, 0, 0.0, queue.front().arrived};
    if (best == nullptr || key < bestKey) {
      best = &queue;
      bestKey = key;
    }
  }
  return best;
}

std::vector<AdmissionAction> Admission::startNext() {
  std::vector<AdmissionAction> actions;
  while (Queue* queue = nextQueue()) {
    const AdmissionRequest request = std::move(queue->front().request);
    queue->pop_front();
    --m_queued;
    start(request);
    actions.push_back({request.id, Verdict::Start, {}});
  }
  std::erase_if(m_queues, [](const auto& entry) { return entry.second.empty(); });
  return actions;
}

std::vector<AdmissionAction> Admission::finish(std::uint64_t id, Duration ran, Time now) {
  const auto found = m_running.find(id);
  if (found == m_running.end()) return {};
  if (--m_runningOf[found->second] == 0) m_runningOf.erase(found->second);
  m_running.erase(found);
  m_meanRun = m_meanRun == Duration(0) ? ran : m_meanRun + (ran - m_meanRun) / internal::MeanRunDivisor;
  std::vector<AdmissionAction> actions = tick(now);
  for (AdmissionAction& action : startNext()) actions.push_back(std::move(action));
  return actions;
}

std::vector<AdmissionAction> Admission::tick(Time now) {
  std::vector<AdmissionAction> actions;
  for (auto& [workspace, queue] : m_queues) {
    for (auto waiting = queue.begin(); waiting != queue.end();) {
      const Time last = m_options.deadlines ? waiting->request.deadline - m_meanRun : waiting->request.deadline;
      if (now < last) {
        ++waiting;
        continue;
      }
      actions.push_back(
          refuse(waiting->request.id, FailureCode::DeadlinePassed, "it can no longer be answered before its deadline"));
      waiting = queue.erase(waiting);
      --m_queued;
    }
  }
  if (m_settling == 0) {
    for (AdmissionAction& action : startNext()) actions.push_back(std::move(action));
  }
  return actions;
}

std::vector<AdmissionAction> Admission::leave(const Failure& reason) {
  m_leaving = reason;
  std::vector<AdmissionAction> actions;
  for (auto& [workspace, queue] : m_queues) {
    for (const Waiting& waiting : queue) actions.push_back({waiting.request.id, Verdict::Refuse, reason});
  }
  m_queues.clear();
  m_queued = 0;
  return actions;
}

}  // namespace courseloom
