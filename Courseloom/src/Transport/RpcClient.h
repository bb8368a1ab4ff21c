// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <memory>
#include <set>
#include <string>

#include "Courseloom/src/Transport/Http2Connection.h"

namespace courseloom {

/** \class SendRule
 * \brief Conditions under which a call is sent. A call that is not sent certainly did not run.
 */
struct SendRule {
  /** A call that could not be sent by then is given up. */
  Time sendBy = Time::max();
  /** A connection on which nothing was received for this long is probed before the call is sent; 0: never. A peer that
   * has lost power neither answers nor closes its connections, and it is unknown whether a call sent to it ran. */
  Duration probeAfter{0};
};

/** \class RpcClient
 * \brief Client of one peer's RPC server.
 *
 * Connects when a call needs it, and again after a failure, a GOAWAY or a call during which nothing was received. All
 * members may be called from any thread. A call that fails before it was fully sent has `ran` no; one that fails later
 * has `ran` unknown, unless the peer's failure says more.
 * \sa RpcServer
 */
class RpcClient : public std::enable_shared_from_this<RpcClient> {
 public:
  RpcClient(boost::asio::io_context& io, std::string address, unsigned port);

  /** Makes one call.
   * \param body serialized request
   * \param deadline instant at which the call is given up
   * \param rule conditions under which it is sent
   * \returns the serialized reply
   */
  Awaitable<Result<std::string>> callBytes(std::string method, std::string body, Time deadline, SendRule rule = {});

  /** Makes one call with a protobuf message and parses the reply. \param deadline, rule as for callBytes() */
  template <class Reply, class Request>
  Awaitable<Result<Reply>> call(std::string method, const Request& request, Time deadline, SendRule rule = {}) {
    std::string body = request.SerializeAsString();
    return readReply<Reply>(shared_from_this(), std::move(method), std::move(body), deadline, rule);
  }

  /** Closes the connection; calls in flight fail. */
  void close();
  /** Closes the connection unless a call is in flight on it; the next call connects anew. */
  void closeIfIdle();
  const std::string& peer() const { return m_peer; }

 private:
  using ConnectionPointer = std::shared_ptr<Http2Connection>;

  template <class Reply>
  static Awaitable<Result<Reply>> readReply(std::shared_ptr<RpcClient> self, std::string method, std::string body,
                                            Time deadline, SendRule rule) {
    Result<std::string> bytes = co_await self->callBytes(method, std::move(body), deadline, rule);
    if (!bytes) co_return fail(extractFailure(bytes));
    Reply reply;
    if (!reply.ParseFromString(*bytes)) {
      co_return fail(
          Failure{FailureCode::PeerFailed, Ran::Unknown, method, self->m_peer, "the reply is not readable", 0});
    }
    co_return reply;
  }

  Awaitable<Result<std::string>> callOnStrand(std::string method, std::string body, Time deadline, SendRule rule);
  Awaitable<void> waitForAttempt(Time deadline);
  Awaitable<Result<ConnectionPointer>> connect(const std::string& step, Time deadline);

  boost::asio::io_context& m_io;
  boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
  std::string m_address;
  unsigned m_port;
  std::string m_peer;
  ConnectionPointer m_connection;
  bool m_connecting = false;
  std::set<boost::asio::steady_timer*>
      m_connectWaiters;  ///< timers of calls that wait for the connection attempt in progress
};

}  // namespace courseloom
