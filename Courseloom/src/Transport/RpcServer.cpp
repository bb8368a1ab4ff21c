// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Transport/RpcServer.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Courseloom/src/Core/ScopedCount.h"
#include "Courseloom/src/Transport/Listen.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {
/** Expired connections are not removed while fewer than twice this number are registered. */
constexpr std::size_t MinToPrune = 16;
}  // namespace
}  // namespace internal

Result<unsigned> RpcServer::start(const std::string& address, unsigned port) {
  BOOST_LEAF_AUTO(bound, listenOn(m_acceptor, address, port));
  asio::co_spawn(m_io, acceptLoop(), asio::detached);
  return bound;
}

Awaitable<void> RpcServer::acceptLoop() {
  while (m_acceptor.is_open()) {
    auto [error, socket] =
        co_await m_acceptor.async_accept(asio::make_strand(m_io), asio::as_tuple(asio::use_awaitable));
    if (error == asio::error::operation_aborted) co_return;
    if (error) {
      co_await pauseAccept(m_io);
      continue;
    }
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    setUserTimeout(socket.native_handle());
    const auto remote = socket.remote_endpoint(ignored);
    const std::string peer = remote.address().to_string() + ":" + std::to_string(remote.port());
    const auto connection =
        std::make_shared<Http2Connection>(m_io, std::move(socket), Http2Connection::Side::Server, peer,
                                          [this](RpcCall call) { return dispatch(std::move(call)); });
    const bool admitted = connection->admit(m_places, m_limits.memory,
                                            [this](const std::string& name) -> Result<std::shared_ptr<ByteBudget>> {
                                              BOOST_LEAF_AUTO(method, findMethod(name));
                                              return method->memory;
                                            });
    if (!admitted) continue;
    registerConnection(connection);
    asio::dispatch(connection->executor(), [connection] { connection->start(); });
  }
}

/** Registers a connection. Expired connections are removed only when the number of registered ones has doubled since
 * the last removal, since hundreds of peers may connect at once. */
void RpcServer::registerConnection(const std::shared_ptr<Http2Connection>& connection) {
  const std::lock_guard lock(m_mutex);
  if (m_connections.size() >= m_pruneAt) {
    std::erase_if(m_connections, [](const auto& weak) { return weak.expired(); });
    m_pruneAt = 2 * std::max(internal::MinToPrune, m_connections.size());
  }
  m_connections.insert(connection);
}

Result<void> RpcServer::readCall(const std::string& method, RpcCall& call, std::uint64_t parsedBytesPerByte,
                                 google::protobuf::Message& request) {
  const bool large = call.memory && call.body.size() > ByteBudget::SmallShare;
  const Failure noRoom{FailureCode::Overloaded, Ran::No, method, "", "no memory for the message", 0};
  if (large && !call.memory->resize(call.body.size() * parsedBytesPerByte)) return fail(noRoom);
  if (!request.ParseFromString(call.body)) {
    return fail(Failure{FailureCode::BadRequest, Ran::No, method, call.peer, "the message is not readable", 0});
  }
  std::string().swap(call.body);
  if (large && !call.memory->resize(request.SpaceUsedLong())) return fail(noRoom);
  return {};
}

Result<const RpcServer::Method*> RpcServer::findMethod(const std::string& name) const {
  const auto found = m_methods.find(name);
  if (found != m_methods.end()) return &found->second;
  return fail(Failure{FailureCode::NotFound, Ran::No, name, "", "no such method", 0});
}

Awaitable<Result<std::string>> RpcServer::dispatch(RpcCall call) {
  Result<const Method*> method = findMethod(call.method);
  if (!method) {
    Failure failure = extractFailure(method);
    failure.peer = call.peer;
    co_return fail(std::move(failure));
  }
  const ScopedCount<std::size_t> inFlight(m_inFlight);
  co_return co_await (*method)->run(std::move(call));
}

void RpcServer::goAway() {
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  const std::lock_guard lock(m_mutex);
  for (const auto& weak : m_connections) {
    const auto connection = weak.lock();
    if (!connection) continue;
    ++m_pendingGoAways;
    asio::dispatch(connection->executor(), [this, connection] {
      connection->goAway();
      --m_pendingGoAways;
    });
  }
}

std::size_t RpcServer::inFlight() {
  const std::lock_guard lock(m_mutex);
  const auto busy = std::count_if(m_connections.begin(), m_connections.end(), [](const auto& weak) {
    const auto connection = weak.lock();
    return connection && connection->busy();
  });
  return m_inFlight.load() + m_pendingGoAways.load() + static_cast<std::size_t>(busy);
}

std::size_t RpcServer::connections() {
  const std::lock_guard lock(m_mutex);
  return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto& weak) {
    const auto connection = weak.lock();
    return connection && connection->isOpen();
  }));
}

void RpcServer::close() {
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
  const std::lock_guard lock(m_mutex);
  for (const auto& weak : m_connections) {
    if (const auto connection = weak.lock())
      asio::dispatch(connection->executor(), [connection] { connection->close(); });
  }
}

}  // namespace courseloom
