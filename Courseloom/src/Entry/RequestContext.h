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
 * \brief One caller's request, read from the headers and the body of its HTTP request.
 */
struct RequestContext {
  std::string service;
  std::string workspace;
  std::string requestId;   ///< required if the request must not be repeated; else it may be empty
  bool repeatable = true;  ///< whether the request may be sent to a target more than once
  schema::Urgency urgency = schema::Normal;
  Time arrived{};   ///< when the entry read the request
  Time deadline{};  ///< when the caller no longer needs the answer
  std::string contentType;
  std::string body;
  std::string digest;  ///< 128-bit hash of service, content type and body

  /** \returns the name of the urgency class, as metrics and agents use it. */
  std::string className() const { return schema::Urgency_Name(urgency); }
  /** \returns time until the deadline, ms; 0 if the deadline has passed. */
  std::uint32_t remainingMs() const;
  /** Whether the claim of the request id in the replicated log has been read or created. A refusal can then state that
   * the request did not run. Reset when an attempt is fenced, since another caller may then own the claim. */
  bool claimKnown = false;
  /** \returns `ran` of a refusal: No, or Unknown if another entry may have run the request under the same id. */
  Ran notRun() const { return repeatable || claimKnown ? Ran::No : Ran::Unknown; }
};

/** Reads a request from its headers and body.
 * \param defaultDeadlineMs time until the deadline if the request has no deadline header, ms
 * \returns the request, or BadRequest with the name of the missing or invalid header
 */
Result<RequestContext> readRequest(HttpRequest request, std::string service, std::uint32_t defaultDeadlineMs);

}  // namespace courseloom
