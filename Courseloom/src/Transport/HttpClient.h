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

namespace courseloom {

/** \class HttpClient
 * \brief Speaks HTTP/1.1 to one outside peer over kept connections; one exchange on a connection at a time.
 *
 * A failure before anything was sent is ran no; after that, ran unknown. An answer that is cut is AnswerIncomplete,
 * never a short success. Safe from any thread.
 */
class HttpClient {
 public:
  /** \param maxIdle connections kept open between exchanges */
  HttpClient(boost::asio::io_context& io, std::string address, unsigned port, std::size_t maxIdle);

  /** One exchange. \param step name of the step for failures \param limit time for all of it */
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

  ConnectionPointer takeIdle();
  void putIdle(ConnectionPointer connection);
  void dropIdleSince(Time before);

  boost::asio::io_context& m_io;
  boost::asio::ip::tcp::endpoint m_endpoint;
  std::string m_peer;
  std::size_t m_maxIdle;
  std::mutex m_mutex;
  std::vector<ConnectionPointer> m_idle;
};

}  // namespace courseloom
