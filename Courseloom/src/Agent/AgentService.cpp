// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Agent/AgentService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <random>

#include "Courseloom/src/Core/Assert.h"
#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace internal {
namespace {

/** Part of the memory for received calls. */
constexpr std::uint64_t CallMemoryParts = 4;
/** Time between checks of the queue for deadlines. */
constexpr Duration TickInterval = milliseconds(10);
/** How long an exchange may outlive its caller's deadline before its connection is closed. */
constexpr Duration LingerLimit = milliseconds(60000);
constexpr std::uint64_t MaxAnswerBytes = 64ULL * 1024 * 1024;
const char* const ExchangeHeader = "Courseloom-Exchange";

/** \returns a number that grows with every start: the time of day, ms, above 16 random bits for two starts within one
 * millisecond. */
std::uint64_t new_incarnation() { return (wallClockMs() << 16U) | (std::random_device()() & 0xffffU); }

AdmissionOptions admission_options(const schema::AgentSettings& agent) {
  AdmissionOptions options;
  options.slots = agent.slots();
  options.queueLimit = agent.queue_limit();
  return options;
}

}  // namespace
}  // namespace internal

AgentService::AgentService(const DaemonContext& context)
    : m_context(context),
      m_strand(asio::make_strand(context.io)),
      m_target(context.io, context.settings.agent().target_address(), context.settings.agent().target_port(),
               context.settings.agent().connections()),
      m_admission(internal::admission_options(context.settings.agent())),
      m_tokens(internal::new_incarnation(), context.settings.agent().max_kept_answers()),
      m_follower(
          context.io, context.settings.cluster(), [this] { return status(); },
          ViewBuilder([](const std::string&, unsigned) { return std::shared_ptr<RpcClient>(); })),
      m_limits(0),
      m_rpc(context.io, m_limits.rpcLimits(m_limits.budget(internal::CallMemoryParts))),
      m_http(
          context.io, m_limits.probeLimits(),
          [this](HttpRequest request, HttpCaller) -> Awaitable<HttpResponse> {
            const bool ready = m_follower.fresh() && !m_stopping;
            if (auto admin = answerAdmin(request, ready, m_context.metrics)) co_return std::move(*admin);
            co_return problemResponse(makeFailure(FailureCode::NotFound, Ran::No, "route", "callers talk to an entry"));
          }),
      m_incarnation(m_tokens.incarnation()) {}

Result<ListeningPorts> AgentService::start() {
  const schema::NodeSettings& node = m_context.settings.node();
  m_rpc.handle<schema::RunRequest>("run", [this](schema::RunRequest request, std::string) {
    return asio::co_spawn(m_strand, run(std::move(request)), asio::use_awaitable);
  });
  m_rpc.handle<schema::ResolveRequest>("resolve", [this](schema::ResolveRequest request, std::string) {
    return asio::co_spawn(m_strand, resolve(std::move(request)), asio::use_awaitable);
  });
  BOOST_LEAF_ASSIGN(m_listening.rpcPort, m_rpc.start(node.address(), node.rpc_port()));
  BOOST_LEAF_ASSIGN(m_listening.httpPort, m_http.start(node.address(), node.http_port()));
  if (m_context.settings.agent().settle_ms() > 0) m_admission.setSettling(m_context.settings.agent().slots());
  m_follower.onView([this](const View& view) { applyView(view); });
  m_follower.start();
  asio::co_spawn(m_strand, tickLoop(), asio::detached);
  return m_listening;
}

void AgentService::applyView(const View& view) {
  std::map<std::string, unsigned> guaranteed;
  std::map<std::string, unsigned> weights;
  for (const auto& [name, object] : view.guarantees) {
    const schema::GuaranteeSpec& spec = object.guarantee();
    const bool here = spec.service() == m_context.settings.agent().service() && spec.slots() > 0;
    if (here && !object.paused()) guaranteed[spec.workspace()] += spec.slots();
  }
  for (const auto& [name, object] : view.workspaces) weights[name] = std::max(1U, object.workspace().weight());
  asio::post(m_strand, [this, guaranteed = std::move(guaranteed), weights = std::move(weights)]() mutable {
    m_admission.setShares(std::move(guaranteed), std::move(weights));
  });
}

schema::AgentLoad AgentService::load() const {
  schema::AgentLoad load;
  load.set_running(m_running.load());
  load.set_queued(m_queued.load());
  load.set_slots(m_context.settings.agent().slots());
  load.set_leaving(m_stopping || m_follower.leaving());
  return load;
}

schema::NodeStatus AgentService::status() const {
  const schema::NodeSettings& node = m_context.settings.node();
  schema::NodeStatus status;
  status.set_name(node.name());
  status.set_role(schema::AgentRole);
  status.set_address(node.address());
  status.set_rpc_port(m_listening.rpcPort);
  status.set_http_port(m_listening.httpPort);
  status.set_data_hall(node.data_hall());
  status.set_service(m_context.settings.agent().service());
  status.set_target(m_context.settings.agent().target());
  status.set_incarnation(m_incarnation.load());
  *status.mutable_load() = load();
  status.set_leaving(m_stopping);
  return status;
}

Failure AgentService::makeFailure(FailureCode code, Ran ran, const std::string& step, const std::string& detail) const {
  return Failure{code, ran, step, m_context.settings.agent().target(), detail, 0};
}

std::optional<Failure> AgentService::refusalOfNewWork(const schema::RunRequest& request) const {
  const auto refuse = [&](FailureCode code, const std::string& detail) {
    Failure failure = makeFailure(code, Ran::No, "agent", detail);
    failure.retryAfterMs = m_context.settings.cluster().freshness_lease_ms();
    return failure;
  };
  if (m_stopping) return refuse(FailureCode::Stopping, "the agent is stopping");
  if (m_follower.leaving()) return refuse(FailureCode::Leaving, "the target is leaving");
  if (!m_follower.fresh())
    return refuse(FailureCode::NotFresh, "the agent has not heard from the control leader lately");
  if (request.service() != m_context.settings.agent().service()) {
    return makeFailure(FailureCode::UnknownService, Ran::No, "agent", "the target serves another service");
  }
  const RcuReadGuard guard;
  const schema::Object* service = m_follower.view().read(guard).service(request.service());
  if (service != nullptr && service->draining()) return refuse(FailureCode::Draining, "the service is draining");
  return std::nullopt;
}

// ---- running a request

Awaitable<Result<schema::RunReply>> AgentService::run(schema::RunRequest request) {
  const Time deadline = BootClock::now() + milliseconds(request.deadline_ms());
  const std::string exchange = request.exchange();
  schema::RunReply reply = co_await admitAndRun(std::move(request), deadline);
  reply.set_exchange(exchange);
  *reply.mutable_load() = load();
  reply.set_incarnation(m_incarnation.load());
  co_return reply;
}

Awaitable<schema::RunReply> AgentService::admitAndRun(schema::RunRequest request, Time deadline) {
  schema::RunReply reply;
  if (const std::optional<Failure> refused = refusalOfNewWork(request)) {
    if (request.has_token()) m_tokens.tombstone(request.token());
    *reply.mutable_failure() = toInfo(*refused);
    co_return reply;
  }
  const bool begins = !request.has_token() || m_tokens.begin(request.token());
  // A full table starts a new incarnation when it refuses a token.
  m_incarnation = m_tokens.incarnation();
  if (!begins) {
    logEvent(schema::TokenFenced,
             {{"request", request.token().request_id()}, {"attempt", std::uint64_t{request.token().attempt()}}});
    *reply.mutable_failure() =
        toInfo(makeFailure(FailureCode::Fenced, Ran::Unknown, "agent", "the token is used, void or of a former life"));
    co_return reply;
  }
  const std::uint64_t id = m_nextExchange++;
  const std::optional<Failure> refused = co_await admit(id, request, deadline);
  if (refused) {
    if (request.has_token()) m_tokens.tombstone(request.token());
    m_tokenChanged.notify();
    *reply.mutable_failure() = toInfo(*refused);
    co_return reply;
  }
  auto finished = std::make_shared<OneShot<schema::RunReply>>(m_strand);
  asio::co_spawn(m_strand, execute(id, std::move(request), deadline, finished), asio::detached);
  std::optional<schema::RunReply> done = co_await finished->wait(deadline);
  if (done) co_return std::move(*done);
  *reply.mutable_failure() =
      toInfo(makeFailure(FailureCode::DeadlinePassed, Ran::Unknown, "target", "the target has not answered in time"));
  co_return reply;
}

/** Waits for a slot. \returns the reason for a refusal, or none once the request has a slot */
Awaitable<std::optional<Failure>> AgentService::admit(std::uint64_t id, const schema::RunRequest& request,
                                                      Time deadline) {
  AdmissionAction action = m_admission.arrive({id, request.workspace(), request.urgency(), deadline}, BootClock::now());
  if (action.verdict == Verdict::Queue) {
    const auto admitted = std::make_shared<OneShot<AdmissionAction>>(m_strand);
    m_waiting[id] = admitted;
    m_queued = m_admission.queued();
    // Admission decides before the deadline; the margin covers a late tick.
    std::optional<AdmissionAction> later = co_await admitted->wait(deadline + milliseconds(1000));
    m_waiting.erase(id);
    courseloom_assert(later.has_value());
    action = std::move(*later);
  }
  m_running = m_admission.running();
  m_queued = m_admission.queued();
  if (action.verdict == Verdict::Start) co_return std::nullopt;
  action.failure.peer = m_context.settings.agent().target();
  co_return std::move(action.failure);
}

Awaitable<void> AgentService::execute(std::uint64_t id, schema::RunRequest request, Time deadline, Finished finished) {
  const Time begun = BootClock::now();
  Result<schema::Answer> answer = co_await exchange(id, request, deadline);
  schema::RunReply reply;
  Ran ran = Ran::Yes;
  if (answer) {
    *reply.mutable_answer() = *answer;
  } else {
    const Failure failure = extractFailure(answer);
    ran = failure.ran;
    *reply.mutable_failure() = toInfo(failure);
  }
  if (request.has_token()) settleToken(request.token(), answer, ran);
  finished->set(std::move(reply));
  const Time now = BootClock::now();
  deliver(m_admission.finish(id, now - begun, now));
  m_context.metrics.record("target_ms", request.workspace(), request.class_name(), toMilliseconds(now - begun));
}

void AgentService::settleToken(const schema::Token& token, const Result<schema::Answer>& answer, Ran ran) {
  if (ran == Ran::Yes) {
    m_tokens.finish(token, *answer);
  } else if (ran == Ran::No) {
    m_tokens.tombstone(token);
  } else {
    m_tokens.markUnknown(token);
  }
  m_tokenChanged.notify();
}

Awaitable<Result<schema::Answer>> AgentService::exchange(std::uint64_t id, const schema::RunRequest& request,
                                                         Time deadline) {
  HttpRequest outgoing(http::verb::post, "/run", 11);
  const std::string number = std::to_string(m_incarnation.load()) + "-" + std::to_string(id);
  outgoing.set(internal::ExchangeHeader, number);
  outgoing.set("Courseloom-Workspace", request.workspace());
  if (request.has_token()) outgoing.set("Courseloom-Request-Id", request.token().request_id());
  outgoing.set(http::field::content_type, request.content_type());
  outgoing.body() = request.body();
  const Duration limit = std::max(deadline - BootClock::now(), Duration(0)) + internal::LingerLimit;
  Result<HttpResponse> response =
      co_await m_target.exchange("target", std::move(outgoing), limit, internal::MaxAnswerBytes);
  if (!response) {
    Failure failure = extractFailure(response);
    failure.peer = m_context.settings.agent().target();
    co_return fail(std::move(failure));
  }
  const auto echoed = response->find(internal::ExchangeHeader);
  if (echoed != response->end() && echoed->value() != number) {
    co_return fail(makeFailure(FailureCode::AnswerIncomplete, Ran::Unknown, "target",
                               "the target gave the answer of another exchange"));
  }
  schema::Answer answer;
  answer.set_status(response->result_int());
  answer.set_content_type(std::string((*response)[http::field::content_type]));
  answer.set_body(std::move(response->body()));
  co_return answer;
}

void AgentService::deliver(std::vector<AdmissionAction> actions) {
  for (AdmissionAction& action : actions) {
    const auto waiting = m_waiting.find(action.id);
    courseloom_assert(waiting != m_waiting.end());
    waiting->second->set(std::move(action));
  }
  m_running = m_admission.running();
  m_queued = m_admission.queued();
}

Awaitable<void> AgentService::tickLoop() {
  const Time settled = BootClock::now() + milliseconds(m_context.settings.agent().settle_ms());
  while (true) {
    if (BootClock::now() >= settled) m_admission.setSettling(0);
    deliver(m_admission.tick(BootClock::now()));
    co_await sleepFor(internal::TickInterval);
  }
}

// ---- tokens

Awaitable<Result<schema::ResolveReply>> AgentService::resolve(schema::ResolveRequest request) {
  const Time deadline = BootClock::now() + milliseconds(request.deadline_ms());
  while (true) {
    schema::ResolveReply reply = m_tokens.resolve(request.token());
    m_incarnation = m_tokens.incarnation();
    const bool waits = reply.fate() == schema::TokenRunning && BootClock::now() < deadline;
    if (!waits) co_return reply;
    co_await m_tokenChanged.wait(deadline);
  }
}

Awaitable<std::size_t> AgentService::stop() {
  m_stopping = true;
  co_await m_follower.announceLeaving();
  const Duration limit = milliseconds(m_context.settings.agent().drain_limit_ms());
  const std::size_t cut =
      co_await drainToZero([this] { return m_rpc.inFlight() + m_running.load() + m_queued.load(); }, limit);
  m_rpc.goAway();
  m_http.drain();
  co_await drainToZero([this] { return m_rpc.inFlight(); }, milliseconds(500));
  co_return cut;
}

}  // namespace courseloom
