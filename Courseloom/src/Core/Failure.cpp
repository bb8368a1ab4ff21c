// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Core/Failure.h"

#include <array>
#include <boost/leaf/capture.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace courseloom {
namespace internal {
namespace {

struct CodeRow {
  FailureCode code;
  const char* name;
  unsigned status;
};

constexpr std::array CodeRows{
    CodeRow{FailureCode::Internal, "internal", 500},
    CodeRow{FailureCode::BadRequest, "bad-request", 400},
    CodeRow{FailureCode::NotFound, "not-found", 404},
    CodeRow{FailureCode::MethodNotAllowed, "method-not-allowed", 405},
    CodeRow{FailureCode::UnsupportedMediaType, "unsupported-media-type", 415},
    CodeRow{FailureCode::HeaderTooLarge, "header-too-large", 431},
    CodeRow{FailureCode::BodyTooLarge, "body-too-large", 413},
    CodeRow{FailureCode::UnknownService, "unknown-service", 404},
    CodeRow{FailureCode::UnknownWorkspace, "unknown-workspace", 403},
    CodeRow{FailureCode::BadSelector, "bad-selector", 400},
    CodeRow{FailureCode::BadSettings, "bad-settings", 400},
    CodeRow{FailureCode::ImpossibleShape, "impossible-shape", 422},
    CodeRow{FailureCode::Conflict, "conflict", 409},
    CodeRow{FailureCode::CommandIdReused, "command-id-reused", 409},
    CodeRow{FailureCode::RequestIdReused, "request-id-reused", 409},
    CodeRow{FailureCode::GuaranteeNotPossible, "guarantee-not-possible", 422},
    CodeRow{FailureCode::NoLeader, "no-leader", 503},
    CodeRow{FailureCode::NotFresh, "not-fresh", 503},
    CodeRow{FailureCode::Paused, "paused", 503},
    CodeRow{FailureCode::Draining, "draining", 503},
    CodeRow{FailureCode::Stopping, "stopping", 503},
    CodeRow{FailureCode::Leaving, "leaving", 503},
    CodeRow{FailureCode::Overloaded, "overloaded", 429},
    CodeRow{FailureCode::DeadlineTooShort, "deadline-too-short", 503},
    CodeRow{FailureCode::DeadlinePassed, "deadline-passed", 504},
    CodeRow{FailureCode::NoTarget, "no-target", 503},
    CodeRow{FailureCode::TargetUnreachable, "target-unreachable", 502},
    CodeRow{FailureCode::TargetFailed, "target-failed", 502},
    CodeRow{FailureCode::AnswerIncomplete, "answer-incomplete", 502},
    CodeRow{FailureCode::PeerUnreachable, "peer-unreachable", 503},
    CodeRow{FailureCode::PeerFailed, "peer-failed", 502},
    CodeRow{FailureCode::Fenced, "fenced", 409},
    CodeRow{FailureCode::OutcomeUnknown, "outcome-unknown", 502},
    CodeRow{FailureCode::AnswerNotKept, "answer-not-kept", 410},
    CodeRow{FailureCode::StorageFull, "storage-full", 507},
    CodeRow{FailureCode::StorageDamaged, "storage-damaged", 500},
    CodeRow{FailureCode::PlatformFailed, "platform-failed", 502},
};

/** \returns the row of a code; the rows stand in the order of the enumerators. */
const CodeRow& row(FailureCode code) { return CodeRows.at(static_cast<std::size_t>(code)); }

}  // namespace

boost::leaf::context_ptr make_failure_context() {
  return std::make_shared<boost::leaf::leaf_detail::polymorphic_context_impl<boost::leaf::context<Failure>>>();
}

}  // namespace internal

const char* codeName(FailureCode code) { return internal::row(code).name; }
unsigned codeStatus(FailureCode code) { return internal::row(code).status; }

const char* ranName(Ran ran) {
  if (ran == Ran::No) return "no";
  return ran == Ran::Yes ? "yes" : "unknown";
}

std::string Failure::text() const {
  std::string line = codeName(code);
  if (!step.empty()) line += " at step " + step;
  if (!peer.empty()) line += " with " + peer;
  if (!detail.empty()) line += ": " + detail;
  return line;
}

schema::FailureInfo toInfo(const Failure& failure) {
  schema::FailureInfo info;
  info.set_code(codeName(failure.code));
  info.set_ran(static_cast<schema::Ran>(failure.ran));
  info.set_step(failure.step);
  info.set_peer(failure.peer);
  info.set_detail(failure.detail);
  info.set_retry_after_ms(failure.retryAfterMs);
  info.set_status(codeStatus(failure.code));
  return info;
}

Failure fromInfo(const schema::FailureInfo& info) {
  Failure failure{FailureCode::Internal, static_cast<Ran>(info.ran()), info.step(), info.peer(),
                  info.detail(),         info.retry_after_ms()};
  for (const internal::CodeRow& row : internal::CodeRows) {
    if (info.code() == row.name) failure.code = row.code;
  }
  return failure;
}

}  // namespace courseloom
