// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <mutex>
#include <string>
#include <vector>

#include "Courseloom/src/Transport/HttpServer.h"
#include "Courseloom/src/Transport/LimitedParser.h"

namespace courseloom {

/** \class HttpClient
 * \brief HTTP/1.1 client of one peer outside courseloom, with a pool of idle connections.
 *
 * A connection carries one exchange at a time. A failure to connect has `ran` no; any later failure has `ran` unknown.
 * A truncated answer is reported as AnswerIncomplete, never as a shorter answer; so is one with a header or another
 * part of its framing that is too long to be kept. All members may be called from any thread.
 */
class HttpClient {
 public:
  /** \param maxIdle largest number of connections kept open between exchanges; 0 keeps none */
  HttpClient(boost::asio::io_context& io, std::string address, unsigned port, std::size_t maxIdle);

  /** Sends a request and reads the answer.
   * \param step name of the step in failures
   * \param limit time for the whole exchange, with connecting
   * \param maxBodyBytes largest body of the answer; a larger one is BodyTooLarge
   */
  Awaitable<Result<HttpResponse>> exchange(std::string step, HttpRequest request, Duration limit,
                                           std::uint64_t maxBodyBytes);
  const std::string& peer() const { return m_peer; }

 private:
  struct Connection {
    explicit Connection(boost::asio::io_context& io);
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    Time idleSince{};
  };
  using ConnectionPointer = std::unique_ptr<Connection>;

  static Awaitable<boost::beast::error_code> readAnswer(Connection& connection, LimitedParser<false>& parser);
  ConnectionPointer acquireIdle();
  void releaseIdle(ConnectionPointer connection);
  void closeIdleSince(Time before);

  boost::asio::io_context& m_io;
  boost::asio::ip::tcp::endpoint m_endpoint;
  std::string m_peer;
  std::size_t m_maxIdle;
  std::mutex m_mutex;
  std::vector<ConnectionPointer> m_idle;
};

}  // namespace courseloom
