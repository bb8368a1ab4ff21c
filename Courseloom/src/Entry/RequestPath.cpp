// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Entry/RequestPath.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>

#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Runtime/OneShot.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {

/** Added to a request's deadline for calls to agents and for ending claims: an agent answers no later than the
 * deadline itself, and its answer needs time to arrive. */
constexpr Duration AnswerGrace = milliseconds(100);
/** Longest time for which a claim is resolved in the background after its request has failed. */
constexpr Duration BackgroundResolveLimit = milliseconds(60000);
/** Time after which a caller may retry, and interval of the background resolution of a claim, ms. */
constexpr std::uint32_t RetryAfterMs = 500;
/** Most attempts to claim and run one request that must not be repeated. */
constexpr int MaxClaimRounds = 6;

RouterOptions router_options(const schema::EntrySettings& entry) {
  RouterOptions options;
  options.ejectAfterFailures = entry.eject_after_failures();
  options.ejectFor = milliseconds(entry.eject_ms());
  options.maxEjectedPercent = entry.max_ejected_percent();
  options.retryBudgetPercent = entry.retry_budget_percent();
  return options;
}

/** Most attempts of one repeatable request that may have run. The request itself may crash its targets and must not be
 * sent to all of them. */
constexpr unsigned MaxUnconfirmedTries = 3;

std::uint64_t random_number() {
  thread_local std::mt19937_64 generator(std::random_device{}());
  return generator();
}

/** \returns whether a retry needs no retry budget: the target accepts no work at all or cannot be reached. Another
 * target may accept the request, and the refused attempt cost no work. */
bool needs_no_budget(const Failure& failure) {
  if (failure.ran != Ran::No) return false;
  return failure.code == FailureCode::Stopping || failure.code == FailureCode::Leaving ||
         failure.code == FailureCode::PeerUnreachable || failure.code == FailureCode::TargetUnreachable;
}

bool is_refusal(const Failure& failure) {
  return failure.code == FailureCode::Overloaded || failure.code == FailureCode::DeadlineTooShort ||
         failure.code == FailureCode::Stopping || failure.code == FailureCode::Leaving ||
         failure.code == FailureCode::Draining || failure.code == FailureCode::Fenced;
}

/** \returns the failure of a request whose attempts are fenced by concurrent calls with the same request id. */
Failure contested_failure() {
  return Failure{
      FailureCode::OutcomeUnknown, Ran::Unknown, "claim", "", "others keep asking for the same request", RetryAfterMs};
}

/** Counts a request as in flight at the entry and in its workspace until destruction; admit() has increased both. */
struct InFlightScope {
  std::atomic<std::size_t>& all;
  View::Counter workspace;
  InFlightScope(std::atomic<std::size_t>& total, View::Counter counter) : all(total), workspace(std::move(counter)) {}
  ~InFlightScope() {
    --all;
    --*workspace;
  }
  InFlightScope(const InFlightScope&) = delete;
  InFlightScope& operator=(const InFlightScope&) = delete;
};

}  // namespace
}  // namespace internal

RequestPath::RequestPath(const DaemonContext& context, ViewFollower& follower)
    : m_context(context),
      m_follower(follower),
      m_router(internal::router_options(context.settings.entry())),
      m_exchangePrefix(context.settings.node().name() + "-" + std::to_string(internal::random_number()) + "-") {}

// ---- limits

Result<View::Counter> RequestPath::admit(const RequestContext& request) {
  const schema::EntrySettings& limits = m_context.settings.entry();
  const auto refuse = [&](FailureCode code, const std::string& detail, std::uint32_t retryAfterMs) {
    return Failure{code, request.notRun(), "entry", m_context.settings.node().name(), detail, retryAfterMs};
  };
  if (!m_follower.fresh()) {
    return fail(refuse(FailureCode::NotFresh, "this entry has not heard from the control leader lately",
                       internal::RetryAfterMs));
  }
  const RcuReadGuard guard;
  const View& view = m_follower.view().read(guard);
  const schema::Object* service = view.service(request.service);
  if (service == nullptr) {
    return fail(Failure{FailureCode::UnknownService, request.notRun(), "entry", "",
                        "service '" + request.service + "' does not exist", 0});
  }
  const schema::Object* workspace = view.workspace(request.workspace);
  if (workspace == nullptr) {
    return fail(Failure{FailureCode::UnknownWorkspace, request.notRun(), "entry", "",
                        "workspace '" + request.workspace + "' does not exist", 0});
  }
  if (service->draining() || workspace->draining())
    return fail(refuse(FailureCode::Draining, "draining by an operator", 5000));
  if (service->paused() || workspace->paused()) return fail(refuse(FailureCode::Paused, "paused by an operator", 5000));
  View::Counter counter = view.inFlight.at(request.workspace);
  const std::uint32_t limit = workspace->workspace().max_in_flight();
  if (limit > 0 && counter->load() >= limit) {
    return fail(
        refuse(FailureCode::Overloaded, "the workspace has its limit of requests in flight", internal::RetryAfterMs));
  }
  if (m_inFlight.load() >= limits.max_in_flight()) {
    return fail(
        refuse(FailureCode::Overloaded, "this entry has its limit of requests in flight", internal::RetryAfterMs));
  }
  ++m_inFlight;
  ++*counter;
  return counter;
}

Awaitable<Result<schema::Answer>> RequestPath::serve(RequestContext request) {
  Result<View::Counter> counter = admit(request);
  if (!counter) {
    const Failure failure = extractFailure(counter);
    m_context.metrics.count("refused", codeName(failure.code));
    co_return fail(failure);
  }
  const internal::InFlightScope inFlightScope(m_inFlight, *counter);
  m_router.onFirstTry();
  Result<schema::Answer> answer = Failed(Failure{});
  if (request.repeatable) {
    answer = co_await serveRepeatable(request);
  } else {
    answer = co_await serveOnce(request);
  }
  recordTimes(request, bool(answer));
  if (answer) co_return answer;
  Failure failure = extractFailure(answer);
  m_context.metrics.count("refused", codeName(failure.code));
  logFailure(schema::RequestRefused, failure);
  // A retry cannot reveal an outcome that is lost for good; the failure of an outcome that may still become known
  // already has a retry time.
  const unsigned status = codeStatus(failure.code);
  const bool temporary = status == 503 || status == 429 || status >= 502;
  const bool retryHelps = temporary && failure.code != FailureCode::OutcomeUnknown;
  if (retryHelps && failure.retryAfterMs == 0) failure.retryAfterMs = internal::RetryAfterMs;
  co_return fail(std::move(failure));
}

void RequestPath::recordTimes(const RequestContext& request, bool answered) {
  const double ms = toMilliseconds(BootClock::now() - request.arrived);
  m_context.metrics.record(answered ? "request_ms" : "refusal_ms", request.workspace, request.className(), ms);
}

// ---- targets

TargetPointer RequestPath::pick(const RequestContext& request, const std::vector<std::string>& tried) {
  const RcuReadGuard guard;
  const View& view = m_follower.view().read(guard);
  const auto found = view.targets.find(request.service);
  if (found == view.targets.end()) return nullptr;
  return m_router.pick(found->second, tried, BootClock::now(), internal::random_number());
}

TargetPointer RequestPath::findTarget(const std::string& service, const std::string& name) const {
  const RcuReadGuard guard;
  const View& view = m_follower.view().read(guard);
  const auto found = view.targets.find(service);
  if (found == view.targets.end()) return nullptr;
  for (const TargetPointer& target : found->second) {
    if (target->name == name) return target;
  }
  return nullptr;
}

Failure RequestPath::noTargetFailure(const RequestContext& request, const std::optional<Failure>& last) const {
  if (last) return *last;
  return Failure{FailureCode::NoTarget, request.notRun(), "route", request.service, "no target of the service is live",
                 internal::RetryAfterMs};
}

void RequestPath::recordOutcome(const RequestContext& request, Target& target, const Result<schema::Answer>& answer,
                                const Failure& failure) {
  Outcome outcome = Outcome::Answered;
  if (!answer) outcome = internal::is_refusal(failure) ? Outcome::Refused : Outcome::Failed;
  const RcuReadGuard guard;
  const View& view = m_follower.view().read(guard);
  const auto found = view.targets.find(request.service);
  if (found == view.targets.end()) return;
  if (m_router.onOutcome(found->second, target, outcome, BootClock::now())) {
    logEvent(schema::TargetEjected, {{"target", target.name}, {"code", codeName(failure.code)}});
  }
}

bool RequestPath::mayRetry(const Failure& failure, const RequestContext& request) {
  if (request.remainingMs() == 0) return false;
  if (failure.ran != Ran::No && !request.repeatable) return false;
  if (internal::needs_no_budget(failure) || failure.code == FailureCode::Fenced) return true;
  const bool sameEverywhere = failure.code == FailureCode::BadRequest || failure.code == FailureCode::UnknownService ||
                              failure.code == FailureCode::BodyTooLarge ||
                              failure.code == FailureCode::DeadlinePassed || failure.code == FailureCode::Draining;
  return !sameEverywhere && m_router.acquireRetry();
}

Awaitable<Result<schema::Answer>> RequestPath::runOn(const RequestContext& request, TargetPointer target,
                                                     std::optional<schema::Token> token) {
  schema::RunRequest run;
  const std::string exchange = m_exchangePrefix + std::to_string(m_exchanges.fetch_add(1));
  run.set_exchange(exchange);
  run.set_service(request.service);
  run.set_workspace(request.workspace);
  run.set_class_name(request.className());
  run.set_urgency(request.urgency);
  run.set_deadline_ms(request.remainingMs());
  run.set_content_type(request.contentType);
  run.set_body(request.body);
  if (token) *run.mutable_token() = *token;
  ++target->inFlight;
  Result<schema::RunReply> reply =
      co_await target->agent->call<schema::RunReply>("run", run, request.deadline + internal::AnswerGrace);
  --target->inFlight;
  Result<schema::Answer> answer = Failed(Failure{});
  Failure failure;
  if (reply) {
    target->report(reply->load(), BootClock::now());
    target->recordIncarnation(reply->incarnation());
    answer = readAnswer(*reply, exchange, *target);
  } else {
    answer = fail(extractFailure(reply));
  }
  if (!answer) {
    failure = extractFailure(answer);
    answer = fail(failure);
  }
  recordOutcome(request, *target, answer, failure);
  co_return answer;
}

Result<schema::Answer> RequestPath::readAnswer(const schema::RunReply& reply, const std::string& exchange,
                                               const Target& target) {
  if (reply.exchange() != exchange) {
    return fail(Failure{FailureCode::AnswerIncomplete, Ran::Unknown, "agent", target.name,
                        "the answer is another exchange's", 0});
  }
  if (reply.has_failure()) return fail(fromInfo(reply.failure()));
  if (!reply.has_answer()) {
    return fail(
        Failure{FailureCode::AnswerIncomplete, Ran::Unknown, "agent", target.name, "the agent gave no answer", 0});
  }
  return reply.answer();
}

// ---- requests that may be repeated

Awaitable<Result<schema::Answer>> RequestPath::serveRepeatable(RequestContext& request) {
  std::vector<std::string> tried;
  std::optional<Failure> last;
  unsigned unconfirmedTries = 0;
  while (true) {
    const TargetPointer target = pick(request, tried);
    if (!target) co_return fail(noTargetFailure(request, last));
    Result<schema::Answer> answer = co_await runOn(request, target, std::nullopt);
    if (answer) co_return answer;
    Failure failure = extractFailure(answer);
    if (failure.ran != Ran::No) ++unconfirmedTries;
    // If any attempt may have run, the request may have run.
    if (last && last->ran != Ran::No) failure.ran = last->ran;
    last = failure;
    tried.push_back(target->name);
    if (unconfirmedTries >= internal::MaxUnconfirmedTries || !mayRetry(failure, request))
      co_return fail(std::move(failure));
    m_context.metrics.count("retries", codeName(failure.code));
  }
}

// ---- requests that must not be repeated

Awaitable<Result<schema::CommandReply>> RequestPath::openClaim(const RequestContext& request, const Target& target,
                                                               const std::string& opener) {
  schema::Command command;
  schema::OpenClaim* open = command.mutable_open_claim();
  open->mutable_token()->set_workspace(request.workspace);
  open->mutable_token()->set_request_id(request.requestId);
  open->mutable_token()->set_target(target.name);
  open->mutable_token()->set_incarnation(target.incarnationForTokens());
  open->set_digest(request.digest);
  open->set_service(request.service);
  open->set_opener(opener);
  Result<schema::CommandReply> reply = co_await m_follower.control().command(std::move(command), request.deadline);
  if (reply && reply->has_failure()) co_return fail(fromInfo(reply->failure()));
  co_return reply;
}

Awaitable<Result<schema::Answer>> RequestPath::serveOnce(RequestContext& request) {
  std::vector<std::string> tried;
  std::optional<Failure> last;
  for (int round = 0; round < internal::MaxClaimRounds; ++round) {
    const TargetPointer target = pick(request, tried);
    if (!target && !request.claimKnown) co_return co_await answerWithoutTarget(request);
    if (!target) co_return fail(noTargetFailure(request, last));
    const std::string opener = m_exchangePrefix + std::to_string(m_exchanges.fetch_add(1));
    Result<schema::CommandReply> opened = co_await openClaim(request, *target, opener);
    if (!opened) {
      Failure failure = extractFailure(opened);
      const bool digestRefused = failure.code == FailureCode::RequestIdReused;
      // Without the claim it is unknown whether another entry ran the request; this entry has sent nothing.
      if (!digestRefused) failure.ran = request.notRun();
      co_return fail(std::move(failure));
    }
    request.claimKnown = true;
    const schema::Claim claim = opened->claim();
    if (!opened->granted()) {
      Result<schema::Answer> known = co_await answerFromClaim(request, claim);
      if (known) co_return known;
      Failure failure = extractFailure(known);
      if (failure.code != FailureCode::Fenced) co_return fail(std::move(failure));
      request.claimKnown = false;
      last = std::nullopt;
      continue;
    }
    Result<schema::Answer> answer = co_await dispatchClaim(request, target, claim.token());
    if (answer) co_return answer;
    Failure failure = extractFailure(answer);
    // A concurrent call with the same request id voided the token before it reached the agent. The target is not at
    // fault. The other call may run the request, so this one cannot report that it did not run.
    if (failure.code == FailureCode::Fenced) {
      if (request.remainingMs() == 0) co_return fail(internal::contested_failure());
      // The agent may also have a newer incarnation than this entry knows: other targets are tried first, then this one
      // again.
      tried.push_back(target->name);
      if (!pick(request, tried)) tried.clear();
      request.claimKnown = false;
      last = std::nullopt;
      continue;
    }
    if (failure.ran != Ran::No || !mayRetry(failure, request)) co_return fail(std::move(failure));
    last = failure;
    tried.push_back(target->name);
  }
  co_return fail(last.value_or(internal::contested_failure()));
}

/** Serves a request while no target is live: answers from the claim of an earlier attempt if the log has one. */
Awaitable<Result<schema::Answer>> RequestPath::answerWithoutTarget(RequestContext& request) {
  schema::QueryRequest query;
  query.set_kind(schema::QueryClaim);
  query.set_workspace(request.workspace);
  query.set_id(request.requestId);
  Result<schema::QueryReply> reply = co_await m_follower.control().query(std::move(query), request.deadline);
  if (!reply) co_return fail(noTargetFailure(request, std::nullopt));
  request.claimKnown = true;
  const bool known = reply->has_claim() && reply->claim().phase() != schema::ClaimVoid;
  if (!known) co_return fail(noTargetFailure(request, std::nullopt));
  if (reply->claim().digest() != request.digest) {
    co_return fail(Failure{FailureCode::RequestIdReused, Ran::No, "claim", "",
                           "the request id was used with another body or service", 0});
  }
  co_return co_await answerFromClaim(request, reply->claim());
}

/** Answers from a claim that another call opened: with the recorded answer, or with the agent's if the claim is open.
 */
Awaitable<Result<schema::Answer>> RequestPath::answerFromClaim(RequestContext& request, schema::Claim claim) {
  if (claim.phase() == schema::ClaimOpen) co_return co_await resolveClaim(request, claim.token());
  if (claim.answer_dropped()) {
    co_return fail(
        Failure{FailureCode::AnswerNotKept, Ran::Yes, "claim", "", "it ran; its answer was too large to keep", 0});
  }
  schema::ResolveReply outcome;
  outcome.set_fate(claim.phase() == schema::ClaimFinished ? schema::TokenFinished : schema::TokenUnknown);
  *outcome.mutable_answer() = claim.answer();
  co_return co_await concludeClaim(request, claim.token(), std::move(outcome));
}

/** Runs a claimed request on its target and ends the claim. */
Awaitable<Result<schema::Answer>> RequestPath::dispatchClaim(RequestContext& request, TargetPointer target,
                                                             schema::Token token) {
  Result<schema::Answer> answer = co_await runOn(request, target, token);
  if (answer) {
    co_await endClaim(token, schema::ClaimFinished, *answer, request.deadline + internal::AnswerGrace);
    co_return answer;
  }
  Failure failure = extractFailure(answer);
  // A token is sent once, so a fenced delivery means that the run never started.
  if (failure.code == FailureCode::Fenced) failure.ran = Ran::No;
  if (failure.ran == Ran::No) {
    // The agent voided the token or never received it, and no other process may send it.
    co_await endClaim(token, schema::ClaimVoid, {}, request.deadline + internal::AnswerGrace);
    co_return fail(std::move(failure));
  }
  if (request.remainingMs() > 0) co_return co_await resolveClaim(request, token);
  asio::co_spawn(m_context.io, resolveInBackground(token, target), asio::detached);
  failure.retryAfterMs = internal::RetryAfterMs;
  co_return fail(std::move(failure));
}

/** Requests the outcome of a token from the agent of its target. */
Awaitable<Result<schema::Answer>> RequestPath::resolveClaim(RequestContext& request, schema::Token token) {
  const TargetPointer target = findTarget(request.service, token.target());
  const Failure unknown{FailureCode::OutcomeUnknown,
                        Ran::Unknown,
                        "resolve",
                        token.target(),
                        "its target cannot be asked now; ask again with the same request id",
                        internal::RetryAfterMs};
  if (!target) co_return fail(unknown);
  schema::ResolveRequest resolve;
  *resolve.mutable_token() = token;
  resolve.set_deadline_ms(request.remainingMs());
  Result<schema::ResolveReply> outcome =
      co_await target->agent->call<schema::ResolveReply>("resolve", resolve, request.deadline + internal::AnswerGrace);
  if (!outcome) {
    asio::co_spawn(m_context.io, resolveInBackground(token, target), asio::detached);
    co_return fail(unknown);
  }
  co_return co_await concludeClaim(request, token, std::move(*outcome));
}

Awaitable<Result<schema::Answer>> RequestPath::concludeClaim(RequestContext& request, schema::Token token,
                                                             schema::ResolveReply outcome) {
  const Time deadline = request.deadline + internal::AnswerGrace;
  switch (outcome.fate()) {
    case schema::TokenFinished:
      co_await endClaim(token, schema::ClaimFinished, outcome.answer(), deadline);
      co_return outcome.answer();
    case schema::TokenTombstoned:
      co_await endClaim(token, schema::ClaimVoid, {}, deadline);
      co_return fail(
          Failure{FailureCode::Fenced, Ran::No, "resolve", token.target(), "the earlier attempt never ran", 0});
    case schema::TokenRunning:
      co_return fail(Failure{FailureCode::OutcomeUnknown, Ran::Unknown, "resolve", token.target(),
                             "it is still running; ask again with the same request id", internal::RetryAfterMs});
    default:
      break;
  }
  logEvent(schema::ClaimLost, {{"request", token.request_id()}, {"target", token.target()}});
  co_await endClaim(token, schema::ClaimUnknown, {}, deadline);
  co_return fail(Failure{FailureCode::OutcomeUnknown, Ran::Unknown, "claim", token.target(),
                         "its target or agent failed in the middle; whether it ran cannot be known", 0});
}

Awaitable<void> RequestPath::endClaim(schema::Token token, schema::ClaimPhase phase, schema::Answer answer,
                                      Time deadline) {
  schema::Command command;
  schema::EndClaim* end = command.mutable_end_claim();
  *end->mutable_token() = std::move(token);
  end->set_phase(phase);
  if (phase == schema::ClaimFinished) *end->mutable_answer() = std::move(answer);
  Result<schema::CommandReply> reply = co_await m_follower.control().command(std::move(command), deadline);
  // Not fatal: the claim stays open, and the next call with this request id gets the outcome from the agent.
  if (!reply) logFailure(schema::PeerFailed, extractFailure(reply));
}

/** Requests the outcome of a token until it is known, after the caller's call has ended. The answer is then recorded
 * for the caller's retry. */
Awaitable<void> RequestPath::resolveInBackground(schema::Token token, TargetPointer target) {
  const Time end = BootClock::now() + internal::BackgroundResolveLimit;
  while (BootClock::now() < end) {
    schema::ResolveRequest resolve;
    *resolve.mutable_token() = token;
    resolve.set_deadline_ms(static_cast<std::uint32_t>(toMilliseconds(end - BootClock::now())));
    Result<schema::ResolveReply> outcome = co_await target->agent->call<schema::ResolveReply>("resolve", resolve, end);
    if (outcome && outcome->fate() != schema::TokenRunning) {
      const schema::ClaimPhase phase = outcome->fate() == schema::TokenFinished     ? schema::ClaimFinished
                                       : outcome->fate() == schema::TokenTombstoned ? schema::ClaimVoid
                                                                                    : schema::ClaimUnknown;
      co_await endClaim(token, phase, outcome->answer(), end);
      co_return;
    }
    co_await sleepFor(milliseconds(internal::RetryAfterMs));
  }
}

}  // namespace courseloom
