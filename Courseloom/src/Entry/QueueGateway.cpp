// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Entry/QueueGateway.h"

#include <algorithm>

#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace internal {
namespace {

/** Share of the caller's time after which a call that surely did not run is given up, so that the caller can come back
 * in what is left, and the longest time for one: an election and a try beyond it take 1 to 1.5 s. */
constexpr int GiveUpNumerator = 3;
constexpr int GiveUpDenominator = 5;
constexpr Duration GiveUpLimit = milliseconds(1800);
/** Share of the caller's time for which a doubt is asked again; the rest is the answer's way back. Replicas without
 * power for 2.6 s left 14 submissions of 18 in doubt after 1.8 s that were committed a moment later. */
constexpr int DoubtNumerator = 9;
constexpr int DoubtDenominator = 10;

/** \returns whether a call changes anything, so that a doubt about it matters. */
bool changes_state(const schema::QueueCall& call) { return call.kind() != schema::QueueState; }

}  // namespace
}  // namespace internal

Awaitable<Result<schema::QueueAnswer>> QueueGateway::call(schema::QueueCall call, Duration allowed) {
  const Duration budget =
      std::min(allowed * internal::GiveUpNumerator / internal::GiveUpDenominator, internal::GiveUpLimit);
  const std::string kind = schema::QueueCallKind_Name(call.kind());
  const std::string path = call.path();
  const Time now = BootClock::now();
  const Duration doubtBudget = allowed * internal::DoubtNumerator / internal::DoubtDenominator;
  const Duration longest = internal::changes_state(call) ? std::max(budget, doubtBudget) : budget;
  Result<schema::QueueAnswer> answer = co_await m_control.call(std::move(call), now + budget, now + longest);
  if (answer) co_return answer;
  Failure failure = takeFailure(answer);
  logEvent(schema::QueueCallFailed, {{"kind", kind},
                                     {"path", path},
                                     {"code", codeName(failure.code)},
                                     {"ran", ranName(failure.ran)},
                                     {"peer", failure.peer},
                                     {"detail", failure.detail}});
  co_return fail(std::move(failure));
}

}  // namespace courseloom
