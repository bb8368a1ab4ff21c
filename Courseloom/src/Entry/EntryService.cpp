// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Entry/EntryService.h"

#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/Transport/Listen.h"

namespace courseloom {

namespace http = boost::beast::http;

namespace internal {
namespace {

/** Part of the memory that is for what callers make the process hold. */
constexpr std::uint64_t CallerMemoryParts = 4;
/** Size of the kernel's buffers of a caller's connection, each way. */
constexpr int CallerSocketBytes = 16 * 1024;
/** Part of the callers' connections that the own HTTP interface may have where they use another one. */
constexpr std::uint32_t OwnConnectionParts = 8;
constexpr std::uint32_t FewestOwnConnections = 16;
/** Memory for each byte of a body while a call of the own HTTP interface is served: copies of a request's body, and at
 * most the messages that an operator's body is parsed into. */
constexpr std::uint64_t RequestBytesPerByte = 4;
constexpr std::uint64_t ParsedBytesPerByte = 64;

/** \returns whether there is memory for a call; a small one keeps the charge of its body. */
Result<void> chargeCall(const HttpRequest& request, ByteShare& memory, std::uint64_t bytesPerByte) {
  const std::uint64_t served = request.body().size() * bytesPerByte;
  if (served <= ByteBudget::SmallShare || memory.grow(served)) return {};
  return fail(withoutRoom(memory, memory.bytes() + served));
}

}  // namespace
}  // namespace internal

EntryService::EntryService(const DaemonContext& context, EntryProtocol protocol)
    : m_context(context),
      m_protocol(std::move(protocol)),
      m_limits(deriveEntryLimits(context.settings.entry(), descriptorLimit())),
      m_processLimits(context.settings.entry().memory_mb()),
      m_memory(m_processLimits.budget(internal::CallerMemoryParts)),
      m_follower(
          context.io, context.settings.cluster(), [this] { return status(); },
          ViewBuilder([&io = context.io](const std::string& address, unsigned port) {
            return std::make_shared<RpcClient>(io, address, port);
          })),
      m_requests(context, m_follower),
      m_operators(m_follower.control(), context.settings.node().name()),
      m_queues(m_follower.control(), context.settings.entry().early_answers(),
               context.settings.entry().instance_limits() ? std::optional(m_limits) : std::nullopt),
      m_http(context.io, callerLimits(ownConnections()),
             [this](HttpRequest request, HttpCaller caller) { return handle(std::move(request), std::move(caller)); }),
      m_callers(
          context.io, callerLimits(m_limits.connections),
          [this](HttpRequest request, HttpCaller caller) {
            return m_protocol.answerCaller(std::move(request), m_queues, caller.memory);
          },
          bodyCheck()),
      m_readiness(context.io, m_processLimits.probeLimits(),
                  [this](HttpRequest request, HttpCaller) -> Awaitable<HttpResponse> {
                    co_return m_protocol.answerReadiness(request, ready());
                  }) {}

/** \returns the check of queue calls with large bodies; an empty function if the protocol has none. */
HttpBodyCheck EntryService::bodyCheck() {
  if (!m_protocol.checkCaller) return {};
  return [this](const HttpRequest& head) { return m_protocol.checkCaller(head, m_queues); };
}

HttpLimits EntryService::callerLimits(std::uint32_t connections) const {
  const schema::EntrySettings& entry = m_context.settings.entry();
  HttpLimits limits;
  limits.maxBodyBytes = entry.max_body_bytes();
  limits.maxHeaderBytes = entry.max_header_bytes();
  limits.maxConnections = connections;
  limits.socketBufferBytes = internal::CallerSocketBytes;
  limits.idleTimeout = milliseconds(entry.idle_timeout_ms());
  limits.memory = m_memory;
  return limits;
}

/** \returns the limit of connections to the own HTTP interface. */
std::uint32_t EntryService::ownConnections() const {
  if (m_context.settings.edge().client_endpoint().empty()) return m_limits.connections;
  return std::max(m_limits.connections / internal::OwnConnectionParts, internal::FewestOwnConnections);
}

Result<ListeningPorts> EntryService::start() {
  const schema::NodeSettings& node = m_context.settings.node();
  BOOST_LEAF_ASSIGN(m_listening.httpPort, m_http.start(node.address(), node.http_port()));
  BOOST_LEAF_CHECK(startProtocolListeners());
  m_follower.start();
  publishLimits();
  return m_listening;
}

/** Logs derived limits and publishes them as gauges, so that an operator sees what this instance admits. */
void EntryService::publishLimits() const {
  if (!m_context.settings.entry().instance_limits()) return;
  m_context.metrics.set("entry_limit_connections", m_limits.connections);
  m_context.metrics.set("entry_limit_in_flight", m_limits.inFlight);
  m_context.metrics.set("entry_limit_body_bytes", static_cast<double>(m_limits.bodyBytes));
  logEvent(schema::EntryLimitsDerived, {{"connections", std::uint64_t{m_limits.connections}},
                                        {"inFlight", std::uint64_t{m_limits.inFlight}},
                                        {"bodyBytes", m_limits.bodyBytes}});
}

Result<void> EntryService::startProtocolListeners() {
  const auto listen = [](HttpServer& server, const std::string& text) {
    const Endpoint endpoint = splitEndpoint(text);
    return server.start(endpoint.address, endpoint.port);
  };
  const schema::EdgeSettings& edge = m_context.settings.edge();
  if (m_protocol.answerCaller && !edge.client_endpoint().empty()) {
    BOOST_LEAF_CHECK(listen(m_callers, edge.client_endpoint()));
  }
  if (m_protocol.answerReadiness && !edge.readiness_endpoint().empty()) {
    BOOST_LEAF_CHECK(listen(m_readiness, edge.readiness_endpoint()));
  }
  return {};
}

schema::NodeStatus EntryService::status() const {
  const schema::NodeSettings& node = m_context.settings.node();
  schema::NodeStatus status;
  status.set_name(node.name());
  status.set_role(schema::EntryRole);
  status.set_address(node.address());
  status.set_http_port(m_listening.httpPort);
  status.set_data_hall(node.data_hall());
  status.set_leaving(m_stopping);
  return status;
}

Awaitable<HttpResponse> EntryService::handle(HttpRequest request, HttpCaller caller) {
  if (request.target() == "/metrics") {
    m_context.metrics.set("entry_calls_rejected", static_cast<double>(m_queues.rejected()));
  }
  if (std::optional<HttpResponse> admin = answerAdmin(request, ready(), m_context.metrics)) co_return std::move(*admin);
  const std::string requestTarget(request.target());
  const std::size_t queryStart = requestTarget.find('?');
  std::vector<std::string> path = splitPath(requestTarget.substr(0, queryStart));
  std::string query = queryStart == std::string::npos ? std::string() : requestTarget.substr(queryStart + 1);
  if (path.size() < 2 || path.front() != "v1") {
    co_return problemResponse(Failure{FailureCode::NotFound, Ran::No, "route", "", "no such path", 0});
  }
  path.erase(path.begin());
  const bool isRequest = path.size() == 3 && path[0] == "services" && path[2] == "requests";
  Result<void> charged = internal::chargeCall(request, caller.memory,
                                              isRequest ? internal::RequestBytesPerByte : internal::ParsedBytesPerByte);
  if (!charged) co_return problemResponse(extractFailure(charged));
  if (isRequest) co_return co_await serveRequest(std::move(request), path[1]);
  co_return co_await m_operators.answer(std::move(request), std::move(path), std::move(query));
}

Awaitable<HttpResponse> EntryService::serveRequest(HttpRequest request, std::string service) {
  if (request.method() != http::verb::post) {
    co_return problemResponse(Failure{FailureCode::MethodNotAllowed, Ran::No, "route", "", "use POST", 0});
  }
  Result<RequestContext> context =
      readRequest(std::move(request), std::move(service), m_context.settings.entry().default_deadline_ms());
  if (!context) co_return problemResponse(extractFailure(context));
  Result<schema::Answer> answer = co_await m_requests.serve(std::move(*context));
  if (!answer) co_return problemResponse(extractFailure(answer));
  HttpResponse response;
  response.result(answer->status());
  if (!answer->content_type().empty()) response.set(http::field::content_type, answer->content_type());
  response.set("Courseloom-Ran", "yes");
  response.body() = std::move(*answer->mutable_body());
  response.prepare_payload();
  co_return response;
}

Awaitable<std::size_t> EntryService::stop() {
  const schema::EntrySettings& entry = m_context.settings.entry();
  // Reports not ready first and keeps serving, so that the load balancer stops sending requests before the listener
  // closes.
  m_stopping = true;
  co_await sleepFor(milliseconds(entry.not_ready_ms()));
  m_http.drain();
  m_callers.drain();
  co_return co_await drainToZero([this] { return m_http.inFlight() + m_callers.inFlight(); },
                                 milliseconds(entry.drain_limit_ms()));
}

void EntryService::reload(const schema::Settings& settings) { m_follower.control().setSeeds(settings.cluster()); }

}  // namespace courseloom
