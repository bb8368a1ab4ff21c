// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Entry/QueueGateway.h"

#include <algorithm>

#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Core/ScopedCount.h"

namespace courseloom {

namespace internal {
namespace {

/** A call that certainly did not run is given up after this share of the caller's time, so that the caller can retry in
 * the rest, and after GiveUpLimit at the latest: an election and one further attempt take 1 to 1.5 s. */
constexpr int GiveUpNumerator = 3;
constexpr int GiveUpDenominator = 5;
constexpr Duration GiveUpLimit = milliseconds(1800);
/** A call that may have run is retried for this share of the caller's time; the rest is for the answer's way back. When
 * replicas lost power for 2.6 s, 14 of 18 submissions had an unknown outcome after 1.8 s and were committed shortly
 * afterwards. */
constexpr int UnconfirmedNumerator = 9;
constexpr int UnconfirmedDenominator = 10;

/** Quantile of recent acknowledgement times. A caller is answered early once its remaining time is shorter. */
constexpr double EarlyQuantile = 0.95;
/** Length to which paths are cut in the log. */
constexpr std::size_t MaxLoggedPath = 256;
/** Shortest time for which a leader is sought before an early answer: enough for one attempt at a replica. */
constexpr Duration ShortestSearch = milliseconds(200);

/** \returns whether no leader could be reached. */
bool is_without_leader(const Failure& failure) {
  return failure.ran == Ran::No &&
         (failure.code == FailureCode::NoLeader || failure.code == FailureCode::PeerUnreachable ||
          failure.code == FailureCode::PeerFailed);
}

/** \returns whether a call changes state, so that it matters whether the call ran. */
bool changes_state(const schema::QueueCall& call) { return call.kind() != schema::QueueState; }

/** Time after which a caller that was rejected at the limits of the entry should come back, ms. Calls in flight end
 * within about a second. */
constexpr std::uint32_t RetryAtLimitMs = 1000;

CallUrgency urgency_of(const schema::QueueCall& call) {
  if (call.kind() == schema::QueueState) return CallUrgency::Query;
  return call.kind() == schema::QueueCancel ? CallUrgency::Cancellation : CallUrgency::Submission;
}

}  // namespace
}  // namespace internal

QueueGateway::QueueGateway(ControlClient& control, bool earlyAnswers, std::optional<EntryLimits> limits)
    : m_control(control), m_limits(limits), m_earlyAnswers(earlyAnswers) {
  if (earlyAnswers) m_control.probeBeforeQueueCalls(true);
}

/** \returns the time after which a submission that certainly did not run is given up. It is at most `budget`, and
 * shorter if the caller's remaining time would otherwise fall below what most acknowledgements took. */
Duration QueueGateway::shortenedBudget(Duration allowed, Duration budget) const {
  const Duration usual = m_acknowledgements.quantile(internal::EarlyQuantile, Duration(0));
  return std::min(budget, std::max(allowed - usual, internal::ShortestSearch));
}

Awaitable<Result<schema::QueueAnswer>> QueueGateway::call(schema::QueueCall call, Duration allowed) {
  const std::uint64_t bytes = call.ByteSizeLong();
  const bool admitted = !m_limits || admitsCall(*m_limits, internal::urgency_of(call), m_inFlight, m_bodyBytes + bytes);
  if (!admitted) {
    ++m_rejected;
    schema::QueueAnswer answer;
    answer.set_outcome(schema::QueueBusy);
    answer.set_retry_after_ms(internal::RetryAtLimitMs);
    answer.set_detail("the entry is at its limit");
    co_return answer;
  }
  const ScopedCount<std::size_t> inFlight(m_inFlight);
  const ScopedCount<std::uint64_t> bodyBytes(m_bodyBytes, bytes);
  co_return co_await forward(std::move(call), allowed);
}

Awaitable<Result<schema::QueueAnswer>> QueueGateway::forward(schema::QueueCall call, Duration allowed) {
  const Duration longestBudget =
      std::min(allowed * internal::GiveUpNumerator / internal::GiveUpDenominator, internal::GiveUpLimit);
  const bool submission = call.kind() == schema::QueueSubmit;
  const Duration budget = submission && m_earlyAnswers ? shortenedBudget(allowed, longestBudget) : longestBudget;
  const std::string kind = schema::QueueCallKind_Name(call.kind());
  const std::string path = call.path().substr(0, internal::MaxLoggedPath);
  const Time now = BootClock::now();
  const Duration unconfirmedBudget = allowed * internal::UnconfirmedNumerator / internal::UnconfirmedDenominator;
  const Duration maxBudget = internal::changes_state(call) ? std::max(budget, unconfirmedBudget) : budget;
  Duration attemptTook{};
  Result<schema::QueueAnswer> answer =
      co_await m_control.call(std::move(call), now + budget, now + maxBudget, &attemptTook);
  if (answer) {
    if (submission && answer->outcome() == schema::QueueAccepted) m_acknowledgements.record(attemptTook);
    co_return answer;
  }
  Failure failure = extractFailure(answer);
  logEvent(schema::QueueCallFailed, {{"kind", kind},
                                     {"path", path},
                                     {"code", codeName(failure.code)},
                                     {"ran", ranName(failure.ran)},
                                     {"peer", failure.peer},
                                     {"detail", failure.detail}});
  if (submission && m_earlyAnswers && internal::is_without_leader(failure)) {
    const Duration took = BootClock::now() - now;
    logEvent(schema::SubmissionAnsweredEarly, {{"path", path},
                                               {"tookMs", static_cast<std::uint64_t>(toMilliseconds(took))},
                                               {"allowedMs", static_cast<std::uint64_t>(toMilliseconds(allowed))}});
  }
  co_return fail(std::move(failure));
}

}  // namespace courseloom
