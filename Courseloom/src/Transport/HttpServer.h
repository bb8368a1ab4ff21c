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
 * \brief Bounds on what a caller may send and for how long it may dally.
 */
struct HttpLimits {
  std::uint32_t maxHeaderBytes = 16384;
  std::uint64_t maxBodyBytes = 8U * 1024 * 1024;
  std::uint32_t maxConnections = 4096;
  Duration idleTimeout = milliseconds(30000);
};

/** \class HttpServer
 * \brief HTTP/1.1 with keep-alive by Boost.Beast. Each connection is one coroutine.
 *
 * A request that breaks a limit or the grammar gets a problem document with `ran: no`, then the connection closes.
 */
class HttpServer {
 public:
  HttpServer(boost::asio::io_context& io, HttpLimits limits, HttpHandler handler)
      : m_io(io), m_acceptor(io), m_limits(limits), m_handler(std::move(handler)) {}

  /** Listens. \returns the port in use */
  Result<unsigned> start(const std::string& address, unsigned port);
  /** Closes the listener; each connection closes after the answer in flight. */
  void drain();
  /** \returns requests that wait for their answer to be written. */
  std::size_t inFlight() const { return m_inFlight.load(); }
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

/** \returns the value of a header, or an empty string. */
std::string headerValue(const HttpRequest& request, const std::string& name);
/** \returns a JSON response. */
HttpResponse jsonResponse(unsigned status, std::string body);
/** \returns an `application/problem+json` response with code, ran, step, peer and Retry-After. */
HttpResponse problemResponse(const Failure& failure);
/** \returns text as a JSON string, with quotes. */
std::string jsonQuote(const std::string& text);

}  // namespace courseloom
