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

/** Whether the work in question was done, as far as can truthfully be said. */
enum class Ran : std::uint8_t { Unknown = schema::RanUnknown, No = schema::RanNo, Yes = schema::RanYes };

/** Stable codes of failures, as callers and operators see them; docs/OPERATORS.md lists them. */
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
 * \brief A typed error: what failed, at which step, with which peer, and whether the work ran.
 * \sa Result, fail
 */
struct Failure {
  FailureCode code = FailureCode::Internal;
  Ran ran = Ran::No;
  std::string step;                ///< step at which it arose, such as "claim" or "connect"
  std::string peer;                ///< process, address or file concerned
  std::string detail;              ///< one sentence for a person
  std::uint32_t retryAfterMs = 0;  ///< when coming back helps; 0 is never or at will

  /** \returns code, step, peer and detail in one line. */
  std::string text() const;
};

/** \returns the stable name of a code, such as "unknown-service". */
const char* codeName(FailureCode code);
/** \returns the HTTP status that goes with a code. */
unsigned codeStatus(FailureCode code);
/** \returns "no", "yes" or "unknown". */
const char* ranName(Ran ran);

schema::FailureInfo toInfo(const Failure& failure);
Failure fromInfo(const schema::FailureInfo& info);

/** A value or a Failure. The failure travels inside the result, so it may cross threads and suspended coroutines. */
template <class T>
using Result = boost::leaf::result<T>;

namespace internal {
boost::leaf::context_ptr make_failure_context();
}

/** \class Failed
 * \brief Converts to any Result<T> that holds the given failure.
 */
class Failed {
 public:
  explicit Failed(Failure failure) : m_failure(std::move(failure)) {}
  template <class T>
  operator Result<T>() && {  // NOLINT(google-explicit-constructor): so that `return fail(...)` reads well
    return boost::leaf::capture(internal::make_failure_context(),
                                [&]() -> Result<T> { return boost::leaf::new_error(std::move(m_failure)); });
  }

 private:
  Failure m_failure;
};

inline Failed fail(Failure failure) { return Failed(std::move(failure)); }

/** Takes the failure out of a result that holds one; the result is spent. */
template <class T>
Failure takeFailure(Result<T>& result) {
  return boost::leaf::try_handle_all([&]() -> Result<Failure> { return result.error(); },
                                     [](Failure& failure) { return std::move(failure); },
                                     [] { return Failure{FailureCode::Internal, Ran::Unknown, "", "", "", 0}; });
}

}  // namespace courseloom
