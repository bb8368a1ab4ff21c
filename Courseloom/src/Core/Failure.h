// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/leaf/capture.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <optional>
#include <string>

#include "generated/state.pb.h"

namespace courseloom {

/** Whether the requested work was executed. Unknown if that cannot be determined. */
enum class Ran : std::uint8_t { Unknown = schema::RanUnknown, No = schema::RanNo, Yes = schema::RanYes };

/** Stable failure codes that callers and operators see. docs/OPERATORS.md lists them. */
enum class FailureCode : std::uint8_t {
  Internal,
  BadRequest,
  NotFound,
  MethodNotAllowed,
  UnsupportedMediaType,
  HeaderTooLarge,
  BodyTooLarge,
  UnknownService,
  UnknownWorkspace,
  BadSelector,
  BadSettings,
  ImpossibleShape,
  Conflict,
  CommandIdReused,
  RequestIdReused,
  GuaranteeNotPossible,
  NoLeader,
  NotFresh,
  Paused,
  Draining,
  Stopping,
  Leaving,
  Overloaded,
  DeadlineTooShort,
  DeadlinePassed,
  NoTarget,
  TargetUnreachable,
  TargetFailed,
  AnswerIncomplete,
  PeerUnreachable,
  PeerFailed,
  Fenced,
  OutcomeUnknown,
  AnswerNotKept,
  StorageFull,
  StorageDamaged,
  PlatformFailed,
};

/** \class Failure
 * \brief A typed error: what failed, at which step, with which peer, and whether the requested work was executed.
 * \sa Result, fail
 */
struct Failure {
  FailureCode code = FailureCode::Internal;
  Ran ran = Ran::No;
  std::string step;                ///< step that failed, such as "claim" or "connect"
  std::string peer;                ///< process, address or file that the step dealt with; may be empty
  std::string detail;              ///< readable explanation, one sentence
  std::uint32_t retryAfterMs = 0;  ///< time after which a retry may succeed; 0 if none can be given

  /** \returns code, step, peer and detail in one line; empty parts are left out. */
  std::string text() const;
};

/** \returns the stable name of a code, such as "unknown-service". */
const char* codeName(FailureCode code);
/** \returns the HTTP status of responses with this code. */
unsigned codeStatus(FailureCode code);
/** \returns the name in responses and logs: "no", "yes" or "unknown". */
const char* ranName(Ran ran);

/** Converts a failure to the message that is sent and stored. */
schema::FailureInfo toInfo(const Failure& failure);
/** Converts a received message to a failure; an unknown code becomes FailureCode::Internal. */
Failure fromInfo(const schema::FailureInfo& info);

/** A value or a Failure. The result itself holds the failure, so it can be passed between threads and kept across
 * suspensions of a coroutine. */
template <class T>
using Result = boost::leaf::result<T>;

namespace internal {
/** \returns a new context in which a result captures its Failure. */
boost::leaf::context_ptr make_failure_context();
}  // namespace internal

/** \class Failed
 * \brief Converts to any Result<T> that holds the given failure.
 */
class Failed {
 public:
  explicit Failed(Failure failure) : m_failure(std::move(failure)) {}
  template <class T>
  operator Result<T>() && {  // NOLINT(google-explicit-constructor): implicit so that `return fail(...)` works
    return boost::leaf::capture(internal::make_failure_context(),
                                [&]() -> Result<T> { return boost::leaf::new_error(std::move(m_failure)); });
  }

 private:
  Failure m_failure;
};

/** \returns an object that converts to a Result<T> with this failure, for `return fail(...)`. */
inline Failed fail(Failure failure) { return Failed(std::move(failure)); }

/** Moves the failure out of a result, which must not be used afterwards. To be called only if the result holds one.
 * \returns the failure; Internal if the result's error is of another type */
template <class T>
Failure extractFailure(Result<T>& result) {
  return boost::leaf::try_handle_all([&]() -> Result<Failure> { return result.error(); },
                                     [](Failure& failure) { return std::move(failure); },
                                     [] { return Failure{FailureCode::Internal, Ran::Unknown, "", "", "", 0}; });
}

}  // namespace courseloom
