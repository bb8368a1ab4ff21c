// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <optional>
#include <string>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Transport/HttpServer.h"
#include "generated/rpc.pb.h"

namespace courseloom {

/** \class RequestContext
 * \brief One caller's request as read from its headers.
 */
struct RequestContext {
  std::string service;
  std::string workspace;
  std::string requestId;  ///< required where the request must not be repeated
  bool repeatable = true;
  schema::Urgency urgency = schema::Normal;
  Time arrived{};
  Time deadline{};
  std::string contentType;
  std::string body;
  std::string digest;  ///< of service, content type and body

  std::string className() const { return schema::Urgency_Name(urgency); }
  std::uint32_t leftMs() const;
  /** The claim in the log was read or made, so that refusals can say for sure that nothing ran; until an attempt was
   * fenced off, since its claim may be another asker's then. */
  bool claimKnown = false;
  /** \returns No, or Unknown for a request that another entry may have run under the same request id. */
  Ran notRun() const { return repeatable || claimKnown ? Ran::No : Ran::Unknown; }
};

/** Reads headers and body. \returns BadRequest that names the header which is missing or wrong */
Result<RequestContext> readRequest(HttpRequest request, std::string service, std::uint32_t defaultDeadlineMs);

}  // namespace courseloom
