// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Entry/RequestContext.h"
#include "Courseloom/src/Membership/ViewFollower.h"
#include "Courseloom/src/Routing/Router.h"
#include "Courseloom/src/Runtime/Daemon.h"

namespace courseloom {

/** \class RequestPath
 * \brief Dispatches callers' requests to targets and returns the complete answers.
 *
 * A repeatable request is retried on other targets within a retry budget. A request that must not be repeated is
 * claimed in the replicated log first. If a step of it fails, the outcome is requested from the log or from the agent;
 * the run itself is never sent again.
 */
class RequestPath {
 public:
  RequestPath(const DaemonContext& context, ViewFollower& follower);

  /** Serves one request. \returns the target's answer, or the final failure */
  Awaitable<Result<schema::Answer>> serve(RequestContext request);
  /** \returns the number of requests in flight. */
  std::size_t inFlight() const { return m_inFlight.load(); }

 private:
  using Targets = std::vector<TargetPointer>;

  Result<View::Counter> admit(const RequestContext& request);
  Awaitable<Result<schema::Answer>> serveRepeatable(RequestContext& request);
  Awaitable<Result<schema::Answer>> serveOnce(RequestContext& request);
  Awaitable<Result<schema::CommandReply>> openClaim(const RequestContext& request, const Target& target,
                                                    const std::string& opener);
  Awaitable<Result<schema::Answer>> answerWithoutTarget(RequestContext& request);
  Awaitable<Result<schema::Answer>> answerFromClaim(RequestContext& request, schema::Claim claim);
  Awaitable<Result<schema::Answer>> dispatchClaim(RequestContext& request, TargetPointer target, schema::Token token);
  Awaitable<Result<schema::Answer>> resolveClaim(RequestContext& request, schema::Token token);
  Awaitable<Result<schema::Answer>> concludeClaim(RequestContext& request, schema::Token token,
                                                  schema::ResolveReply outcome);
  Awaitable<void> endClaim(schema::Token token, schema::ClaimPhase phase, schema::Answer answer, Time deadline);
  Awaitable<void> resolveInBackground(schema::Token token, TargetPointer target);
  Awaitable<Result<schema::Answer>> runOn(const RequestContext& request, TargetPointer target,
                                          std::optional<schema::Token> token);
  Result<schema::Answer> readAnswer(const schema::RunReply& reply, const std::string& exchange, const Target& target);

  TargetPointer pick(const RequestContext& request, const std::vector<std::string>& tried);
  TargetPointer findTarget(const std::string& service, const std::string& name) const;
  void recordOutcome(const RequestContext& request, Target& target, const Result<schema::Answer>& answer,
                     const Failure& failure);
  bool mayRetry(const Failure& failure, const RequestContext& request);
  Failure noTargetFailure(const RequestContext& request, const std::optional<Failure>& last) const;
  void recordTimes(const RequestContext& request, bool answered);

  DaemonContext m_context;
  ViewFollower& m_follower;
  Router m_router;
  std::atomic<std::size_t> m_inFlight{0};
  std::atomic<std::uint64_t> m_exchanges{1};
  std::string m_exchangePrefix;  ///< prefix of exchange ids, unique to this process
};

}  // namespace courseloom
