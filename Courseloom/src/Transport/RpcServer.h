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
 * \brief Serves the RPC protocol between courseloom's processes: protobuf messages, one HTTP/2 stream per call.
 *
 * Handlers must be registered before start(). They run on the threads of the io_context.
 * \sa RpcClient
 */
class RpcServer {
 public:
  explicit RpcServer(boost::asio::io_context& io) : m_io(io), m_acceptor(io) {}

  /** Registers the handler of a method.
   * \param handler callable of the form Awaitable<Result<Reply>>(Request, std::string peer)
   */
  template <class Request, class Handler>
  void handle(const std::string& method, Handler handler) {
    m_handlers[method] = [method, handler](RpcCall call) -> Awaitable<Result<std::string>> {
      Request request;
      if (!request.ParseFromString(call.body)) {
        co_return fail(Failure{FailureCode::BadRequest, Ran::No, method, call.peer, "the message is not readable", 0});
      }
      auto reply = co_await handler(std::move(request), std::move(call.peer));
      if (!reply) co_return fail(extractFailure(reply));
      co_return reply->SerializeAsString();
    };
  }

  /** Starts to listen. \param port port, or 0 for a free one \returns the port in use */
  Result<unsigned> start(const std::string& address, unsigned port);
  /** Closes the listener and sends GOAWAY to every peer; calls in flight continue. */
  void goAway();
  /** \returns the number of calls in flight, of connections that still have streams or unsent bytes, and of GOAWAYs not
   * submitted yet. If the process ended before this is 0, callers would not know the outcome of their calls. */
  std::size_t inFlight();
  /** \returns the number of open connections. */
  std::size_t connections();
  /** Closes the listener and every connection; calls in flight fail. */
  void close();

 private:
  Awaitable<void> acceptLoop();
  void registerConnection(const std::shared_ptr<Http2Connection>& connection);
  Awaitable<Result<std::string>> dispatch(RpcCall call);

  boost::asio::io_context& m_io;
  boost::asio::ip::tcp::acceptor m_acceptor;
  std::map<std::string, RpcDispatcher> m_handlers;
  std::atomic<std::size_t> m_inFlight{0};
  std::atomic<std::size_t> m_pendingGoAways{0};  ///< connections whose GOAWAY is scheduled but not submitted yet
  std::mutex m_mutex;
  std::set<std::weak_ptr<Http2Connection>, std::owner_less<>> m_connections;
  std::size_t m_pruneAt = 0;  ///< number of registered connections at which expired ones are next removed
};

}  // namespace courseloom
