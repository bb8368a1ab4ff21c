// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Entry/RequestContext.h"
#include "Courseloom/src/Membership/ViewFollower.h"
#include "Courseloom/src/Routing/Router.h"
#include "Courseloom/src/Runtime/Daemon.h"

namespace courseloom {

/** \class RequestPath
 * \brief Brings one caller's request to a target and the whole answer back.
 *
 * Work that may be repeated is retried elsewhere under a budget. Work that must not be repeated is claimed in the log
 * first; each step that fails is followed by asking the log or the agent, never by sending the same thing again.
 */
class RequestPath {
 public:
  RequestPath(const DaemonContext& context, ViewFollower& follower);

  /** Serves a request to its end. \returns the target's answer, or a final failure */
  Awaitable<Result<schema::Answer>> serve(RequestContext request);
  /** \returns requests in flight. */
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
                                                  schema::ResolveReply fate);
  Awaitable<void> endClaim(schema::Token token, schema::ClaimPhase phase, schema::Answer answer, Time deadline);
  Awaitable<void> settleLater(schema::Token token, TargetPointer target);
  Awaitable<Result<schema::Answer>> runOn(const RequestContext& request, TargetPointer target,
                                          std::optional<schema::Token> token);
  Result<schema::Answer> readAnswer(const schema::RunReply& reply, const std::string& exchange, const Target& target);

  TargetPointer pick(const RequestContext& request, const std::vector<std::string>& tried);
  TargetPointer findTarget(const std::string& service, const std::string& name) const;
  void noteOutcome(const RequestContext& request, Target& target, const Result<schema::Answer>& answer,
                   const Failure& failure);
  bool mayRetry(const Failure& failure, const RequestContext& request);
  Failure noTarget(const RequestContext& request, const std::optional<Failure>& last) const;
  void finishTimes(const RequestContext& request, bool answered);

  DaemonContext m_context;
  ViewFollower& m_follower;
  Router m_router;
  std::atomic<std::size_t> m_inFlight{0};
  std::atomic<std::uint64_t> m_exchanges{1};
  std::string m_prefix;  ///< of exchange numbers: this process's life
};

}  // namespace courseloom
