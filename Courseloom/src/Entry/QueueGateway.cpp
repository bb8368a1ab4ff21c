// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Entry/QueueGateway.h"

#include <algorithm>

#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace internal {
namespace {

/** Share of the caller's time after which a call is given up, and the longest time for one. */
constexpr int GiveUpNumerator = 3;
constexpr int GiveUpDenominator = 5;
constexpr Duration GiveUpLimit = milliseconds(1800);

}  // namespace
}  // namespace internal

Awaitable<Result<schema::QueueAnswer>> QueueGateway::call(schema::QueueCall call, Duration allowed) {
  const Duration budget =
      std::min(allowed * internal::GiveUpNumerator / internal::GiveUpDenominator, internal::GiveUpLimit);
  const std::string kind = schema::QueueCallKind_Name(call.kind());
  const std::string path = call.path();
  Result<schema::QueueAnswer> answer = co_await m_control.call(std::move(call), BootClock::now() + budget);
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
