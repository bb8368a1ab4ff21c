// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <google/protobuf/message.h>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <map>
#include <mutex>
#include <set>
#include <string>

#include "Courseloom/src/Transport/Http2Connection.h"

namespace courseloom {

/** \class RpcLimits
 * \brief Limits of an RPC server.
 */
struct RpcLimits {
  std::size_t maxConnections = 4096;   ///< see ConnectionPlaces
  std::shared_ptr<ByteBudget> memory;  ///< budget of received calls; null is no limit
};

/** \class RpcCost
 * \brief What the calls of a method cost.
 */
struct RpcCost {
  /** Memory of a parsed message for each byte of the serialized one; checked before a large message is parsed. */
  std::uint64_t parsedBytesPerByte = 16;
  std::shared_ptr<ByteBudget> memory;  ///< budget of the method; null is the server's
};

/** \class RpcServer
 * \brief Serves the RPC protocol between courseloom's processes: protobuf messages, one HTTP/2 stream per call.
 *
 * Handlers must be registered before start(). They run on the threads of the io_context.
 * \sa RpcClient
 */
class RpcServer {
 public:
  explicit RpcServer(boost::asio::io_context& io, RpcLimits limits = {})
      : m_io(io),
        m_acceptor(io),
        m_limits(std::move(limits)),
        m_places(std::make_shared<ConnectionPlaces>(m_limits.maxConnections)) {}

  /** Registers the handler of a method.
   * \param handler callable of the form Awaitable<Result<Reply>>(Request, std::string peer)
   */
  template <class Request, class Handler>
  void handle(const std::string& method, Handler handler, RpcCost cost = {}) {
    const std::uint64_t factor = cost.parsedBytesPerByte;
    Method& added = m_methods[method];
    added.memory = cost.memory ? cost.memory : m_limits.memory;
    added.run = [method, handler, factor](RpcCall call) -> Awaitable<Result<std::string>> {
      Request request;
      Result<void> read = readCall(method, call, factor, request);
      if (!read) co_return fail(extractFailure(read));
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
  struct Method {
    RpcDispatcher run;
    std::shared_ptr<ByteBudget> memory;  ///< budget of its calls; null is no limit
  };

  /** \returns the method of a name, or NotFound. */
  Result<const Method*> findMethod(const std::string& name) const;
  /** Parses a call's message and charges it. Small messages keep the charge of their serialized form. */
  static Result<void> readCall(const std::string& method, RpcCall& call, std::uint64_t parsedBytesPerByte,
                               google::protobuf::Message& request);
  Awaitable<void> acceptLoop();
  void registerConnection(const std::shared_ptr<Http2Connection>& connection);
  Awaitable<Result<std::string>> dispatch(RpcCall call);

  boost::asio::io_context& m_io;
  boost::asio::ip::tcp::acceptor m_acceptor;
  RpcLimits m_limits;
  std::shared_ptr<ConnectionPlaces> m_places;
  std::map<std::string, Method> m_methods;
  std::atomic<std::size_t> m_inFlight{0};
  std::atomic<std::size_t> m_pendingGoAways{0};  ///< connections whose GOAWAY is scheduled but not submitted yet
  std::mutex m_mutex;
  std::set<std::weak_ptr<Http2Connection>, std::owner_less<>> m_connections;
  std::size_t m_pruneAt = 0;  ///< number of registered connections at which expired ones are next removed
};

}  // namespace courseloom
