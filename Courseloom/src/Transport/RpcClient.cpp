// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Transport/RpcClient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "Courseloom/src/Transport/Listen.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {
/** Longest wait for a connection, so that a dead peer is detected before a long deadline ends. */
constexpr Duration ConnectLimit = milliseconds(500);
}  // namespace
}  // namespace internal

RpcClient::RpcClient(asio::io_context& io, std::string address, unsigned port)
    : m_io(io),
      m_strand(asio::make_strand(io)),
      m_address(std::move(address)),
      m_port(port),
      m_peer(m_address + ":" + std::to_string(port)) {}

Awaitable<Result<std::string>> RpcClient::callBytes(std::string method, std::string body, Time deadline,
                                                    SendRule rule) {
  co_return co_await asio::co_spawn(m_strand, callOnStrand(std::move(method), std::move(body), deadline, rule),
                                    asio::use_awaitable);
}

Awaitable<Result<std::string>> RpcClient::callOnStrand(std::string method, std::string body, Time deadline,
                                                       SendRule rule) {
  const auto self = shared_from_this();
  const Time sendBy = std::min(deadline, rule.sendBy);
  Result<ConnectionPointer> connection = co_await connect(method, sendBy);
  if (!connection) co_return fail(extractFailure(connection));
  const ConnectionPointer held = *connection;
  const bool probes = rule.probeAfter > Duration(0) && !held->heardWithin(rule.probeAfter);
  if (probes && !co_await held->probe(sendBy)) {
    co_return fail(Failure{FailureCode::PeerUnreachable, Ran::No, method, m_peer, "no answer to a probe", 0});
  }
  co_return co_await held->call(std::move(method), std::move(body), deadline);
}

/** Waits until the connection attempt in progress has ended, but at most until the call's own deadline. */
Awaitable<void> RpcClient::waitForAttempt(Time deadline) {
  asio::steady_timer timer(m_strand);
  timer.expires_after(std::max(deadline - BootClock::now(), Duration(0)));
  m_connectWaiters.insert(&timer);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  m_connectWaiters.erase(&timer);
}

Awaitable<Result<RpcClient::ConnectionPointer>> RpcClient::connect(const std::string& step, Time deadline) {
  while (m_connecting && BootClock::now() < deadline) co_await waitForAttempt(deadline);
  if (m_connection && m_connection->usable()) co_return m_connection;
  const Failure unreachable{FailureCode::PeerUnreachable, Ran::No, step, m_peer, "cannot connect", 0};
  const Duration left = std::min(deadline - BootClock::now(), internal::ConnectLimit);
  if (m_connecting || left <= Duration(0)) co_return fail(unreachable);
  m_connecting = true;
  boost::beast::tcp_stream stream(m_strand);
  stream.expires_after(left);
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_address), static_cast<std::uint16_t>(m_port));
  const auto [error] = co_await stream.async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
  m_connecting = false;
  for (asio::steady_timer* waiting : m_connectWaiters) waiting->cancel();
  if (error) {
    Failure failure = unreachable;
    failure.detail = "cannot connect: " + error.message();
    co_return fail(failure);
  }
  asio::ip::tcp::socket socket = stream.release_socket();
  socket.set_option(asio::ip::tcp::no_delay(true));
  setUserTimeout(socket.native_handle());
  m_connection = std::make_shared<Http2Connection>(m_io, std::move(socket), Http2Connection::Side::Client, m_peer);
  m_connection->start();
  co_return m_connection;
}

void RpcClient::close() {
  asio::post(m_strand, [self = shared_from_this()] {
    if (self->m_connection) self->m_connection->close();
    self->m_connection.reset();
  });
}

void RpcClient::closeIfIdle() {
  asio::post(m_strand, [self = shared_from_this()] {
    if (!self->m_connection || self->m_connecting || self->m_connection->busy()) return;
    self->m_connection->close();
    self->m_connection.reset();
  });
}

}  // namespace courseloom
