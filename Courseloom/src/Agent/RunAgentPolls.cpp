// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Holds of the target's runs, and polls: what they may let the target discard, and what their answers show.

#include <algorithm>

#include "Courseloom/src/Agent/RunAgentService.h"
#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace internal {
namespace {

/** Subtracted from the end of each hold, so that the hold ends before the lease does. */
constexpr Duration HoldMargin = milliseconds(50);
/** Interval at which a start checks for the answer to a poll that names ends, which is given at once. */
constexpr Duration DiscardCheckInterval = milliseconds(2);
/** Longest time for which a start waits for the answer to a poll that names ends, or to the next poll. */
constexpr Duration FencedStartLimit = milliseconds(1500);

/** \returns the lowest number of listed ends; 0 for an empty list. */
std::uint64_t lowest_number(const std::vector<schema::EndReport>& ends) {
  const auto isLower = [](const auto& left, const auto& right) { return left.number() < right.number(); };
  const auto lowest = std::min_element(ends.begin(), ends.end(), isLower);
  return lowest == ends.end() ? 0 : lowest->number();
}

}  // namespace
}  // namespace internal

/** \returns a lower bound of what the target's clock shows at an instant, so that runs held until then end no later.
 * The target's clock may have stopped while the machine was suspended, so that only the time awake counts. */
std::uint64_t RunAgentService::deadlineOnTarget(Time until) const {
  const Time now = BootClock::now();
  if (until <= now) return m_target->clockMs;
  const auto awake = std::chrono::steady_clock::now() - m_target->clockAwakeAt;
  const Duration sinceRead = std::min(now - m_target->clockAt, std::chrono::duration_cast<Duration>(awake));
  const Duration ahead = until - now + sinceRead;
  const Duration shown = ahead * SlowClockNumerator / SlowClockDenominator;
  return m_target->clockMs + static_cast<std::uint64_t>(toMilliseconds(shown));
}

/** Records a reading of the target's clock that has just arrived. \param clockMs 0 for no reading */
void RunAgentService::recordClock(std::uint64_t clockMs) {
  if (clockMs == 0) return;
  m_target->clockMs = clockMs;
  m_target->clockAt = BootClock::now();
  m_target->clockAwakeAt = std::chrono::steady_clock::now();
}

/** \returns the end for a hold that is requested now: before the end of the lease, and at most max_hold_ms from now. */
Time RunAgentService::latestHoldEnd() const {
  const Time limit = BootClock::now() + milliseconds(m_context.settings.runner().max_hold_ms());
  return std::min(m_leaseUntil, limit) - internal::HoldMargin;
}

/** \returns the deadline of the next hold on the target's clock, or none if the current one is not to be extended. The
 * hold of a target that doesn't answer is not extended, so that the agent knows when all runs there have ended. */
std::optional<std::uint64_t> RunAgentService::holdDeadline() {
  if (!hasLease() || m_target->failures > 0 || m_target->clockMs == 0) return std::nullopt;
  const Time until = latestHoldEnd();
  m_holdsEndBy = std::max(m_holdsEndBy, until);
  m_lastHoldSentAt = BootClock::now();
  return deadlineOnTarget(until);
}

/** \returns whether an incarnation other than the current one may begin or have begun a run through a call to the
 * current one: a start call was not answered, or its answer does not show the incarnation that gave it. */
bool RunAgentService::mayOtherBeginRuns() const {
  if (m_target->failures > 0 || !m_announced.empty() || !m_startsInTransit.empty()) return true;
  if (m_target->answeredSentAt <= m_lateStartsUntil) return true;
  return std::any_of(m_runs.begin(), m_runs.end(), [](const auto& entry) {
    const LocalRun& run = entry.second;
    return run.startSentAt != Time{} && !run.listed && !run.neverStarted;
  });
}

/** \returns the number up to which the target may discard its ends; 0 if it lists none that are committed. Another
 * incarnation may carry out the poll late. Its first ends have the same numbers, and it must not discard them before
 * they are read. Therefore only polls that have something to discard carry a number, and none do while another
 * incarnation may begin runs, or while a start waits to be fenced. \sa LateCalls.h */
std::uint64_t RunAgentService::endsToDiscard() const {
  const bool listsCommitted = m_target->firstListedEnd != 0 && m_target->firstListedEnd <= m_target->endsTaken;
  const bool mayName = listsCommitted && m_waitingStarts == 0 && !mayOtherBeginRuns();
  return mayName ? m_target->endsTaken : 0;
}

/** \returns whether starts carry a higher token than each poll in transit that names ends. An incarnation that has
 * carried out such a start refuses the poll. \sa LateCalls.h */
bool RunAgentService::areStartsFenced() const {
  return m_target->discardStep == 0 || m_target->step > m_target->discardStep;
}

/** Waits until starts are fenced from polls that name ends: such a poll is answered, or a later one under a newer step.
 * No other poll names ends meanwhile. \param until time from which no start may be sent \returns whether a start may
 * be sent now, if the incarnation is still the current one */
Awaitable<bool> RunAgentService::awaitFencedStarts(const std::string& incarnation, Time until) {
  const Time limit = std::min(until, BootClock::now() + internal::FencedStartLimit);
  const auto isWaiting = [&] {
    return isCurrentIncarnation(incarnation) && (m_target->discarding || !areStartsFenced());
  };
  ++m_waitingStarts;
  while (isWaiting() && BootClock::now() < limit) co_await sleepFor(internal::DiscardCheckInterval);
  --m_waitingStarts;
  co_return !isWaiting() && BootClock::now() < until;
}

Awaitable<bool> RunAgentService::poll(std::uint32_t waitMs, std::uint64_t discardUpTo) {
  const std::string incarnation = m_target->report.id();
  TargetHold hold;
  hold.deadlineMs = holdDeadline();
  // Calls to this incarnation must not carry a token with which a successor may have been polled, and a refusal does
  // not name the refusing incarnation. Therefore only the answer to a poll raises the step of this incarnation. A
  // successor gets a newer step at once, so that it refuses calls to this incarnation that are still in transit.
  // The same holds for a poll that names ends and was not answered: starts need a newer step than that one.
  const bool newStep = m_target->fenced || !m_target->successor.empty() || !areStartsFenced();
  const std::uint64_t step = newStep ? nextFenceStep() : m_target->step;
  hold.token = Fence::token(step, m_term);
  hold.lastSeen = discardUpTo;
  if (discardUpTo > 0) m_target->discarding = true;
  hold.waitMs = waitMs;
  const Duration limit = milliseconds(waitMs) + milliseconds(m_context.settings.runner().order_limit_ms());
  const Time sentAt = BootClock::now();
  Result<TargetAnswer> answer = co_await m_port->hold(incarnation, hold, limit);
  if (!isCurrentIncarnation(incarnation)) co_return false;
  const bool accepted = answer && answer->verdict == TargetVerdict::Accepted;
  if (discardUpTo > 0) m_target->discarding = false;
  if (discardUpTo > 0 && !answer) m_target->discardStep = std::max(m_target->discardStep, step);
  m_target->fenced = answer && answer->fenced;
  if (m_target->fenced) m_fence.skipAhead();
  if (accepted && answer->incarnation == incarnation) {
    m_target->step = std::max(m_target->step, step);
    applyPoll(*answer, sentAt, BootClock::now());
    co_return true;
  }
  if (accepted) handleSuccessor(*answer, step, sentAt);
  if (answer && answer->verdict == TargetVerdict::OtherIncarnation) {
    endIncarnation();
    co_return false;
  }
  if (!answer) {
    recordUnansweredCall();
    m_target->successorFencedAt = Time{};  // the successor may have been replaced by another one
  }
  recordFailedPoll();
  co_return false;
}

/** Handles an answer of another incarnation under the same identity. The current incarnation has ended. The successor
 * may have begun runs that were meant for the current one, and until it has seen a newer token it may still begin
 * others. It becomes current after it has announced itself. \param step fence step of the answered poll
 * \param sentAt when that poll was sent */
void RunAgentService::handleSuccessor(const TargetAnswer& answer, std::uint64_t step, Time sentAt) {
  allowNoMoreFailures();
  const bool isNew = std::exchange(m_target->successor, answer.incarnation) != answer.incarnation;
  m_target->successorFencedAt = step > m_target->step ? sentAt : Time{};
  m_target->successorRuns.clear();
  for (const schema::RunReport& row : answer.running) m_target->successorRuns.insert(runKeyOf(row.task(), row.run()));
  for (const schema::EndReport& row : answer.ends) m_target->successorRuns.insert(runKeyOf(row.task(), row.run()));
  if (!isNew) return;
  logEvent(schema::TargetBornAgain, {{"target", m_target->report.id()},
                                     {"answers", answer.incarnation},
                                     {"clockMs", answer.clockMs},
                                     {"formerClockMs", m_target->clockMs},
                                     {"endsTaken", m_target->endsTaken}});
}

void RunAgentService::applyPoll(const TargetAnswer& answer, Time sentAt, Time receivedAt) {
  if (m_target->failures >= UnreachableAfterFailures) {
    logEvent(schema::TargetRegained, {{"target", answer.incarnation}});
    notifyPendingChanges();
  }
  m_target->failures = 0;
  m_target->unansweredSince = Time{};
  m_target->answeredSentAt = std::max(m_target->answeredSentAt, sentAt);
  m_target->report.set_reachable(true);
  // Answers on different connections may arrive in another order. Older lists would bring back runs that have ended.
  if (answer.clockMs < m_target->listedAtMs) return;
  m_target->listedAtMs = answer.clockMs;
  recordClock(answer.clockMs);
  m_target->running = answer.running;
  m_target->moreEnds = answer.moreEnds;
  m_target->firstListedEnd = internal::lowest_number(answer.ends);
  m_target->polledAt = receivedAt;
  if (m_target->progress.note(m_target->running, receivedAt)) notifyPendingChanges();
  for (const schema::RunReport& row : answer.running) {
    const RunKey key = runKeyOf(row.task(), row.run());
    LocalRun& run = m_runs[key];
    m_startsInTransit.erase(key);
    run.listed = true;
    if (run.knownSince == Time{}) run.knownSince = receivedAt;
  }
  for (const schema::EndReport& end : answer.ends) {
    if (end.number() <= m_target->endsTaken) continue;
    const bool added = m_target->ends.emplace(end.number(), end).second;
    const RunKey key = runKeyOf(end.task(), end.run());
    forgetRun(key);
    m_startsInTransit.erase(key);
    m_target->orderedAt.erase(key);
    if (added) notifyPendingChanges();
  }
  settleUnlisted(answer, sentAt);
  paceFillers();
}

/** Settles runs that the target had before a poll was sent and no longer lists, neither as running nor as ended. Their
 * ends are committed already, or have been lost; without this, such an entry would take capacity for good. */
void RunAgentService::settleUnlisted(const TargetAnswer& answer, Time sentAt) {
  if (answer.moreEnds) return;
  std::vector<RunKey> unlisted;
  for (const auto& [key, run] : m_runs) {
    const bool wasThere = !run.busy && run.knownSince != Time{} && run.knownSince < sentAt;
    if (wasThere && !isListed(key)) unlisted.push_back(key);
  }
  for (const RunKey& key : unlisted) {
    settle(makeTaskId(key.workflow, key.task), key.run, schema::RunLapsed, "the target does not list it any more");
  }
}

}  // namespace courseloom
