// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "Courseloom/src/Transport/Http2Connection.h"

namespace courseloom {

/** \class RpcServer
 * \brief Serves the system's own protocol: protobuf messages, one nghttp2 stream a call.
 *
 * Handlers are registered before start() and run on the context's threads.
 * \sa RpcClient
 */
class RpcServer {
 public:
  explicit RpcServer(boost::asio::io_context& io) : m_io(io), m_acceptor(io) {}

  /** Registers a handler: Awaitable<Result<Reply>>(Request, std::string peer). */
  template <class Request, class Handler>
  void handle(const std::string& method, Handler handler) {
    m_handlers[method] = [method, handler](RpcCall call) -> Awaitable<Result<std::string>> {
      Request request;
      if (!request.ParseFromString(call.body)) {
        co_return fail(Failure{FailureCode::BadRequest, Ran::No, method, call.peer, "the message is not readable", 0});
      }
      auto reply = co_await handler(std::move(request), std::move(call.peer));
      if (!reply) co_return fail(takeFailure(reply));
      co_return reply->SerializeAsString();
    };
  }

  /** Listens. \returns the port in use */
  Result<unsigned> start(const std::string& address, unsigned port);
  /** Closes the listener and tells every peer to go away; calls in flight go on. */
  void goAway();
  /** \returns calls in flight, and connections with answers or a farewell that the socket has not taken yet: a process
   * that ended before would leave those calls in doubt. */
  std::size_t inFlight();
  /** \returns connections that are open. */
  std::size_t connections();
  /** Closes every connection. */
  void close();

 private:
  Awaitable<void> acceptLoop();
  void remember(const std::shared_ptr<Http2Connection>& connection);
  Awaitable<Result<std::string>> dispatch(RpcCall call);

  boost::asio::io_context& m_io;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::map<std::string, RpcDispatcher> m_handlers;
  std::atomic<std::size_t> m_inFlight{0};
  std::atomic<std::size_t> m_farewells{0};  ///< connections that goAway() has not reached yet
  std::mutex m_mutex;
  std::set<std::weak_ptr<Http2Connection>, std::owner_less<>> m_connections;
  std::size_t m_forgetAt = 0;  ///< so many connections are known when those that are gone are next forgotten
};

}  // namespace courseloom
