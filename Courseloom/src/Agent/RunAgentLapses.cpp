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
/** Longest time after which a target may still carry out a call that it has not answered. */
constexpr Duration LateCallLimit = milliseconds(6000);

}  // namespace
}  // namespace internal

/** Records when the target first failed to answer a call since the last successful poll or start. */
void RunAgentService::recordUnansweredCall() {
  if (m_target->unansweredSince == Time{}) m_target->unansweredSince = BootClock::now();
}

/** Records a refusal. A refusal does not name the refusing incarnation. After an unanswered call it may be a successor
 * that has not announced itself yet. */
void RunAgentService::recordRefusedCall() {
  if (m_target->unansweredSince != Time{}) m_target->refusedAfterLoss = true;
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

/** \returns whether there are signs that the current incarnation has a successor. Each incarnation announces itself
 * when it starts, so there is none while nothing is received from the target. */
bool RunAgentService::mayHaveSuccessor() const {
  return !m_target->successor.empty() || !m_announced.empty() || m_target->refusedAfterLoss;
}

/** \returns whether the newest known incarnation refuses the calls that were sent to the current one. */
bool RunAgentService::isSuccessorFenced() const {
  const auto isKnown = [this](const auto& announced) { return announced.first == m_target->successor; };
  return m_target->successorFenced && std::all_of(m_announced.begin(), m_announced.end(), isKnown);
}

/** \returns the latest time at which the start call of a run can be carried out; zero if it has been already. */
Time RunAgentService::latestStart(const LocalRun& run) const {
  if (run.listed || run.neverStarted) return Time{};
  const Duration answerLimit = milliseconds(m_context.settings.runner().order_limit_ms());
  const Duration transit = run.startAnswered ? answerLimit : internal::LateCallLimit;
  return std::max(run.startSentAt + transit, m_startedAt + internal::LateCallLimit);
}

/** \returns the latest time at which a successor can have a run whose start call was sent to the current incarnation;
 * zero if the current one has carried out the call. The successor begins the run with a hold of full length. */
Time RunAgentService::latestEndInSuccessor(const LocalRun& run) const {
  const Time begun = latestStart(run);
  if (begun == Time{}) return begun;
  const Duration longestHold = milliseconds(m_context.settings.runner().max_hold_ms());
  return begun + longestHold * SlowClockDenominator / SlowClockNumerator;
}

/** \returns whether a run must not lapse yet, since an unfenced successor may begin it or may have begun it. */
bool RunAgentService::delaysLapse(const RunKey& key, LocalRun& run, Time now) {
  if (!mayHaveSuccessor() || isSuccessorFenced() || now > latestEndInSuccessor(run)) return false;
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
  if (run.knownSince != Time{} || run.startSentAt == Time{}) return false;
  if (BootClock::now() <= run.startSentAt + internal::LateCallLimit) return false;
  return m_target->clockMs > run.startDeadlineMs;
}

/** Records the loss of a run with its incarnation. A start call that was not answered is refused by the next
 * incarnation under the same identity, which is fenced, but not by one that replaces that soon; so its loss is not
 * reported before the call cannot be carried out any more. \param next the next incarnation */
void RunAgentService::recordLossWithIncarnation(const RunKey& key, const LocalRun& run, const std::string& next) {
  const bool sameIdentity = TargetIncarnation::named(next).id == TargetIncarnation::named(m_target->report.id()).id;
  const bool unanswered = run.startSentAt != Time{} && !run.startAnswered;
  const Time until = latestStart(run);
  if (!sameIdentity || !unanswered || until <= BootClock::now()) return recordLost(key, schema::RunTargetLost);
  m_startsInTransit[key] = {makeLostRun(key, schema::RunTargetLost), until};
}

/** Adds the runs whose start call may still be carried out to a report. The losses of the others can be reported now.
 */
void RunAgentService::reportStartsInTransit(schema::AttendRequest& request) {
  for (auto start = m_startsInTransit.begin(); start != m_startsInTransit.end();) {
    if (BootClock::now() <= start->second.until) {
      schema::StartReport* row = request.add_in_transit();
      *row->mutable_task() = start->second.lost.task();
      row->set_run(start->second.lost.run());
      ++start;
      continue;
    }
    m_lost[start->first] = start->second.lost;
    start = m_startsInTransit.erase(start);
  }
}

}  // namespace courseloom
