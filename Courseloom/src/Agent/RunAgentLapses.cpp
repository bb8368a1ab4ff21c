// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Runs at a target that does not answer its agent: when they count as lapsed.

#include <algorithm>

#include "Courseloom/src/Agent/RunAgentService.h"
#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Core/TargetIncarnation.h"

namespace courseloom {

namespace internal {
namespace {

/** Added to the end of the latest hold before the runs of a silent target count as lapsed. */
constexpr Duration LapseSlack = milliseconds(200);
/** Interval at which a start call is checked for whether it is in transit. */
constexpr Duration TransitCheckInterval = milliseconds(50);

}  // namespace
}  // namespace internal

/** Records when the target first failed to answer a call since the last successful poll or start. */
void RunAgentService::recordUnansweredCall() {
  if (m_target->unansweredSince == Time{}) m_target->unansweredSince = BootClock::now();
}

/** Makes the target unreachable with its next failed poll at the latest. */
void RunAgentService::allowNoMoreFailures() {
  m_target->failures = std::max(m_target->failures, UnreachableAfterFailures - 1);
}

/** Handles the answer that a target of another identity runs at the address: the current incarnation has ended. */
void RunAgentService::endIncarnation() {
  settleAll(schema::RunTargetLost, "another life answers");
  allowNoMoreFailures();
  recordFailedPoll();
}

/** Counts a poll that the current incarnation has not answered. Its runs lapse after the end of the latest hold. */
void RunAgentService::recordFailedPoll() {
  ++m_target->failures;
  if (m_target->failures == UnreachableAfterFailures) {
    logEvent(schema::TargetLost, {{"target", m_target->report.id()}});
    m_target->report.set_reachable(false);
    notifyPendingChanges();
  }
  if (BootClock::now() > m_holdsEndBy + internal::LapseSlack) expireRuns();
}

/** Settles the runs whose holds have ended as lapsed. The holds were for the clock of the current incarnation. A
 * successor has a clock of its own, by which a delayed start is not late, so that runs which it may still begin wait.
 * The runs that it has begun end with its own lists, once it is current. */
void RunAgentService::expireRuns() {
  const Time now = BootClock::now();
  std::vector<RunKey> lapsed;
  for (auto& [key, run] : m_runs) {
    if (m_target->successorRuns.count(key) == 0 && !delaysLapse(key, run, now)) lapsed.push_back(key);
  }
  for (const RunKey& key : lapsed) {
    settle(makeTaskId(key.workflow, key.task), key.run, schema::RunLapsed, "the target is silent");
  }
}

/** \returns whether the newest known incarnation answered a poll, sent after a time, under a token with which it
 * refuses the calls that were sent to the current one. */
bool RunAgentService::isSuccessorFencedSince(Time time) const {
  const auto isKnown = [this](const auto& announced) { return announced.first == m_target->successor; };
  return m_target->successorFencedAt > time && std::all_of(m_announced.begin(), m_announced.end(), isKnown);
}

/** \returns the latest time at which the start call of a run can be carried out; zero if no call was sent, or if the
 * current incarnation has carried it out or refused it. */
Time RunAgentService::latestStart(const LocalRun& run) const {
  if (run.listed || run.neverStarted) return Time{};
  const Time former = run.orderedBefore ? m_startedAt + LateCallLimit : Time{};
  if (run.startSentAt == Time{}) return former;
  if (run.startAnsweredAt != Time{}) return run.startAnsweredAt;
  return std::max(former, run.startSentAt + LateCallLimit);
}

/** \returns the latest time at which a successor can have a run whose start call was sent to the current incarnation;
 * zero if the current one has carried out the call. */
Time RunAgentService::latestEndInSuccessor(const LocalRun& run) const {
  return latestStart(run) == Time{} ? Time{} : latestEndOfAnyRun();
}

/** \returns the latest time at which any incarnation can have a run that a call sent until now has begun or extended.
 */
Time RunAgentService::latestEndOfAnyRun() const {
  return latestEndOfLateRuns(m_lastHoldSentAt, milliseconds(m_context.settings.runner().max_hold_ms()));
}

/** \returns whether a run must not lapse yet: its start call is in transit, or an unfenced successor may have begun it.
 */
bool RunAgentService::delaysLapse(const RunKey& key, LocalRun& run, Time now) {
  const bool fenced = isSuccessorFencedSince(latestStart(run));
  if (!isStartInTransit(run) && (fenced || now > latestEndInSuccessor(run))) return false;
  if (std::exchange(run.lapseDelayed, true)) return true;
  logEvent(schema::LapseDelayed,
           {{"task", taskText(makeTaskId(key.workflow, key.task))},
            {"run", std::uint64_t{key.run}},
            {"target", m_target->report.id()},
            {"successor", m_target->successor},
            {"announced", m_announced.empty() ? "" : m_announced.begin()->first},
            {"waitMs", static_cast<std::uint64_t>(toMilliseconds(latestEndInSuccessor(run) - now))}});
  return true;
}

/** \returns whether a run that is not known to have begun cannot begin any more: the target refuses its start call by
 * the deadline, and the call is too old to be carried out by a successor. */
bool RunAgentService::isStartTooLate(const RunKey& key) const {
  const LocalRun& run = m_runs.at(key);
  const bool maySent = run.startSentAt != Time{} || run.orderedBefore;
  if (run.knownSince != Time{} || !maySent || isStartInTransit(run)) return false;
  return m_target->clockMs > run.startDeadlineMs;
}

/** Waits until the start call of a run is in transit no more. The current incarnation has confirmed a stop of the run
 * and refuses the call, but it may end before the call arrives, and the next one knows of no stop. */
Awaitable<void> RunAgentService::awaitStartInTransit(const std::string& incarnation, RunKey key) {
  const Duration wait = latestStart(m_runs.at(key)) - BootClock::now();
  if (wait < Duration(0)) co_return;
  logEvent(schema::VoidDelayed, {{"task", taskText(makeTaskId(key.workflow, key.task))},
                                 {"run", std::uint64_t{key.run}},
                                 {"target", incarnation},
                                 {"waitMs", static_cast<std::uint64_t>(toMilliseconds(wait))}});
  const auto isWaiting = [&] { return isOpen(incarnation, key) && isStartInTransit(m_runs.at(key)) && !isListed(key); };
  while (isWaiting()) co_await sleepFor(internal::TransitCheckInterval);
}

/** Records the loss of a run with its incarnation. A start call in transit is refused by the next incarnation under the
 * same identity, which is fenced, but not by one that replaces that soon; so its loss is not reported before the call
 * cannot be carried out any more. \param next the next incarnation */
void RunAgentService::recordLossWithIncarnation(const RunKey& key, const LocalRun& run, const std::string& next) {
  if (!hasCurrentIdentity(next) || !isStartInTransit(run)) return recordLost(key, schema::RunTargetLost);
  m_startsInTransit[key] = {makeLostRun(key, schema::RunTargetLost), latestStart(run)};
}

/** \returns whether an incarnation has the identity of the current one, so that it may carry out calls to that. */
bool RunAgentService::hasCurrentIdentity(const std::string& incarnation) const {
  return m_target && TargetIncarnation::haveSameId(incarnation, m_target->report.id());
}

/** Lets the losses of all starts in transit be reported: a target of another identity refuses the calls. */
void RunAgentService::endStartsInTransit() {
  for (auto& [key, start] : m_startsInTransit) start.until = Time{};
}

/** \returns whether a start call that can be carried out until the given time is settled: the current incarnation has
 * answered a poll that was sent later, so that its lists show the run if it has begun; or the run would be over. */
bool RunAgentService::isTransitSettled(Time until) const {
  return m_target->answeredSentAt > until || BootClock::now() > latestEndOfAnyRun();
}

/** Adds the runs whose start call may still be carried out to a report. The losses of the others can be reported now.
 */
void RunAgentService::reportStartsInTransit(schema::AttendRequest& request) {
  request.set_former_calls_in_transit(!isTransitSettled(m_startedAt + LateCallLimit));
  for (auto start = m_startsInTransit.begin(); start != m_startsInTransit.end();) {
    if (!isTransitSettled(start->second.until)) {
      *request.add_in_transit() = makeStartReport(start->first);
      ++start;
      continue;
    }
    m_lost[start->first] = start->second.lost;
    start = m_startsInTransit.erase(start);
  }
}

}  // namespace courseloom
