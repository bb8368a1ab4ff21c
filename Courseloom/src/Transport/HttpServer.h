// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <string>

#include "Courseloom/src/Transport/Http2Connection.h"

namespace courseloom {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;
using HttpHandler = std::function<Awaitable<HttpResponse>(HttpRequest, std::string peer)>;

/** \class HttpLimits
 * \brief Limits on the size of a request, the number of connections and the time that a caller may take.
 */
struct HttpLimits {
  std::uint32_t maxHeaderBytes = 16384;           ///< of one request
  std::uint64_t maxBodyBytes = 8U * 1024 * 1024;  ///< of one request
  std::uint32_t maxConnections = 4096;            ///< connections beyond it are closed when they are accepted
  Duration idleTimeout = milliseconds(30000);     ///< longest time to read a request or to write an answer
};

/** \class HttpServer
 * \brief HTTP/1.1 server with keep-alive (Boost.Beast). One coroutine serves each connection.
 *
 * A request that exceeds a limit or is malformed is answered with a problem document with `ran: no`, and its connection
 * is closed.
 */
class HttpServer {
 public:
  HttpServer(boost::asio::io_context& io, HttpLimits limits, HttpHandler handler)
      : m_io(io), m_acceptor(io), m_limits(limits), m_handler(std::move(handler)) {}

  /** Starts to listen. \param port port, or 0 for a free one \returns the port in use */
  Result<unsigned> start(const std::string& address, unsigned port);
  /** Closes the listener. Each connection closes after its next answer, or when it has been idle for idleTimeout. */
  void drain();
  /** \returns the number of requests that were read and whose answers are not written yet. */
  std::size_t inFlight() const { return m_inFlight.load(); }
  /** \returns the number of open connections. */
  std::size_t connections() const { return m_connections.load(); }

 private:
  Awaitable<void> acceptLoop();
  Awaitable<void> serve(boost::asio::ip::tcp::socket socket);

  boost::asio::io_context& m_io;
  boost::asio::ip::tcp::acceptor m_acceptor;
  HttpLimits m_limits;
  HttpHandler m_handler;
  std::atomic<std::size_t> m_inFlight{0};
  std::atomic<std::size_t> m_connections{0};
  std::atomic<bool> m_draining{false};
};

/** \returns the value of a header, or an empty string if it is missing. */
std::string headerValue(const HttpRequest& request, const std::string& name);
/** \returns a response with status, body and content type `application/json`. */
HttpResponse jsonResponse(unsigned status, std::string body);
/** \returns an `application/problem+json` response with code, ran, step, peer and detail, and with Retry-After if the
 * failure has a retry time. */
HttpResponse problemResponse(const Failure& failure);
/** \returns text as a JSON string literal, with quotes. */
std::string jsonQuote(const std::string& text);

}  // namespace courseloom
