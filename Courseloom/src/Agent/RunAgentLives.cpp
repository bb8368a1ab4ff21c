// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Incarnations of the target beside an agent: announcements, their confirmation by polls, and losses of runs.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

#include "Courseloom/src/Agent/RunAgentService.h"
#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {

/** Limit of the announced incarnations waiting to be confirmed. It is well above the number of former incarnations
 * whose heartbeats a network partition can delay. */
constexpr std::size_t MaxAnnounced = 8;
/** Pause before an incarnation that has not answered is polled again. Such calls do not leave the target's machine. */
constexpr Duration ConfirmPause = milliseconds(150);
/** A target that crashes within this time after the start call of a run has crashed at the start of that run. */
constexpr Duration CrashAtStartLimit = milliseconds(500);

}  // namespace
}  // namespace internal

Awaitable<void> RunAgentService::announce(TargetAnnouncement announcement) {
  co_await asio::co_spawn(m_strand, announceOnStrand(std::move(announcement)), asio::use_awaitable);
}

Awaitable<void> RunAgentService::announceOnStrand(TargetAnnouncement announcement) {
  handleAnnouncement(announcement);
  co_return;
}

void RunAgentService::handleAnnouncement(const TargetAnnouncement& announcement) {
  const std::string& incarnation = announcement.report.id();
  if (!isCurrentIncarnation(incarnation)) return recordOtherIncarnation(announcement);
  if (announcement.sequence <= m_target->sequence) return;
  const schema::TargetReport before = m_target->report;
  applyAnnouncement(announcement);
  const bool resized = resourceAmountsOf(before.capacity()) != resourceAmountsOf(announcement.report.capacity());
  if (resized) logResize(before);
  if (resized || before.draining() != announcement.report.draining()) notifyPendingChanges();
}

/** Logs a change of the target's capacity. \param before the previous description of the target */
void RunAgentService::logResize(const schema::TargetReport& before) const {
  const ResourceAmounts former = resourceAmountsOf(before.capacity());
  const ResourceAmounts current = resourceAmountsOf(m_target->report.capacity());
  const auto number = [](std::int64_t amount) { return static_cast<std::uint64_t>(amount); };
  logEvent(schema::TargetResized, {{"target", m_target->report.id()},
                                   {"accelerators", number(current.accelerators)},
                                   {"cpuMilli", number(current.cpuMilli)},
                                   {"memoryMb", number(current.memoryMb)},
                                   {"formerAccelerators", number(former.accelerators)},
                                   {"formerCpuMilli", number(former.cpuMilli)},
                                   {"formerMemoryMb", number(former.memoryMb)}});
}

/** Applies an announcement of the current incarnation. */
void RunAgentService::applyAnnouncement(const TargetAnnouncement& announcement) {
  const bool beginsDraining = announcement.report.draining() && !m_target->report.draining();
  if (beginsDraining) logEvent(schema::TargetLeaving, {{"target", announcement.report.id()}});
  m_target->report = announcement.report;
  m_target->report.set_reachable(m_target->failures < UnreachableAfterFailures);
  m_target->sequence = announcement.sequence;
  recordClock(announcement.clockMs);
}

/** Records the announcement of an incarnation other than the current one, to be confirmed by a poll. */
void RunAgentService::recordOtherIncarnation(const TargetAnnouncement& announcement) {
  const std::string& incarnation = announcement.report.id();
  const auto found = m_announced.find(incarnation);
  if (found != m_announced.end() && announcement.sequence <= found->second.sequence) return;
  if (found == m_announced.end()) {
    if (m_announced.size() >= internal::MaxAnnounced) return;
    logEvent(schema::TargetAnnounced, {{"target", incarnation},
                                       {"present", m_target ? m_target->report.id() : ""},
                                       {"sequence", announcement.sequence}});
  }
  m_announced[incarnation] = announcement;
  m_announcedSignal.notify();
}

/** Polls the target for each announced incarnation. Only one poll is in progress at a time, so that incarnations become
 * current in the order in which the target has had them. */
Awaitable<void> RunAgentService::confirmLoop() {
  while (true) {
    while (m_announced.empty()) co_await m_announcedSignal.wait(BootClock::now() + milliseconds(60000));
    std::vector<std::string> incarnations;
    for (const auto& [incarnation, announcement] : m_announced) incarnations.push_back(incarnation);
    for (const std::string& incarnation : incarnations) co_await confirm(incarnation);
    if (!m_announced.empty()) co_await sleepFor(internal::ConfirmPause);
  }
}

/** Polls for one announced incarnation. A refusal does not name the refusing incarnation and a missing answer shows
 * nothing, so both lead to another poll. The answering incarnation was running after the announcement had arrived. If
 * it is not the announced one, the announced one has ended, whatever start times the clocks gave them. */
Awaitable<void> RunAgentService::confirm(std::string incarnation) {
  // After this step the target refuses calls meant for a former incarnation, so the lists in the answer are complete:
  // they hold all runs that such calls can ever have begun in this incarnation.
  const std::uint64_t step = nextFenceStep();
  const Time sentAt = BootClock::now();
  TargetHold hold;
  hold.token = Fence::token(step, m_term);
  Result<TargetAnswer> answer =
      co_await m_port->hold(incarnation, hold, milliseconds(m_context.settings.runner().order_limit_ms()));
  if (answer && answer->fenced) m_fence.skipAhead();
  const auto found = m_announced.find(incarnation);
  if (!answer || answer->verdict == TargetVerdict::Refused || found == m_announced.end()) co_return;
  const bool accepted = answer->verdict == TargetVerdict::Accepted;
  if (accepted && answer->incarnation == incarnation) {
    beginIncarnation(found->second);
    m_target->step = step;
    applyPoll(*answer, sentAt, BootClock::now());
  } else {
    if (accepted && isCurrentIncarnation(answer->incarnation)) m_target->step = std::max(m_target->step, step);
    logEvent(schema::TargetDisowned, {{"target", incarnation}, {"present", m_target ? m_target->report.id() : ""}});
  }
  m_announced.erase(found);
}

/** Makes an incarnation current. Runs of the former one ended with it; the leader concludes this from the name and the
 * lists of the new one. */
void RunAgentService::beginIncarnation(const TargetAnnouncement& announcement) {
  const std::string& incarnation = announcement.report.id();
  logEvent(schema::TargetRegistered, {{"target", incarnation},
                                      {"former", m_target ? m_target->report.id() : ""},
                                      {"sequence", announcement.sequence}});
  for (const auto& [key, run] : m_runs) recordLossWithIncarnation(key, run, incarnation);
  if (!hasCurrentIdentity(incarnation)) endStartsInTransit();
  m_formerProcessKnewTarget = !m_target;
  m_target = TargetState();
  applyAnnouncement(announcement);
  m_runs.clear();
  m_traits.clear();
  m_outcomes.clear();
  m_started.clear();
  // A former incarnation of this agent may have requested holds up to the maximum.
  m_holdsEndBy = BootClock::now() + milliseconds(m_context.settings.runner().max_hold_ms());
  notifyPendingChanges();
  m_targetSignal.notify();
}

/** \returns whether a run crashed the target, as far as the times of calls show. The first unanswered call follows the
 * crash of a process almost at once, since polls wait at the target. */
RunAgentService::CrashEvidence RunAgentService::crashEvidenceOf(const RunKey& key) const {
  if (m_target->report.draining() || m_target->deregistered) return {};
  const auto ordered = m_target->orderedAt.find(key);
  if (m_target->unansweredSince == Time{} || ordered == m_target->orderedAt.end()) return {schema::CrashUnclear, {}};
  if (ordered->second > m_target->unansweredSince) return {};  // the target was lost before the start call
  const Duration after = m_target->unansweredSince - ordered->second;
  if (after > internal::CrashAtStartLimit) return {schema::CrashUnclear, after};
  const auto justStarted = [&](const auto& other) {
    return other.second <= m_target->unansweredSince && m_target->unansweredSince - other.second <= StartPhase;
  };
  const auto starts = std::count_if(m_target->orderedAt.begin(), m_target->orderedAt.end(), justStarted);
  return {starts > 1 ? schema::CrashAmongStarts : schema::CrashAtStart, after};
}

/** Records the loss of a run to report it. */
void RunAgentService::recordLost(const RunKey& key, schema::RunEndKind kind) {
  if (kind == schema::RunTargetLost || kind == schema::RunLapsed) m_lost[key] = makeLostRun(key, kind);
}

/** \returns the report of a lost run. A target that answers no more calls may have crashed for good; then the run
 * counts as the cause only if the first unanswered call followed its start within CrashAtStartLimit. */
schema::LostRun RunAgentService::makeLostRun(const RunKey& key, schema::RunEndKind kind) const {
  const auto run = m_runs.find(key);
  const bool neverStarted = run != m_runs.end() && run->second.neverStarted;
  CrashEvidence evidence = neverStarted ? CrashEvidence{} : crashEvidenceOf(key);
  if (kind == schema::RunLapsed && evidence.kind == schema::CrashUnclear) evidence.kind = schema::NoCrash;
  schema::LostRun lost;
  *lost.mutable_task() = makeTaskId(key.workflow, key.task);
  lost.set_run(key.run);
  lost.set_crash(evidence.kind);
  lost.set_after_ms(static_cast<std::uint32_t>(toMilliseconds(evidence.after)));
  return lost;
}

Awaitable<void> RunAgentService::leave(std::string incarnation) {
  co_await asio::co_spawn(m_strand, leaveOnStrand(std::move(incarnation)), asio::use_awaitable);
}

Awaitable<void> RunAgentService::leaveOnStrand(std::string incarnation) {
  if (isCurrentIncarnation(incarnation)) m_target->deregistered = true;
  m_announced.erase(incarnation);
  co_return;
}

}  // namespace courseloom
