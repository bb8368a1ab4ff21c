// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Courseloom/src/Core/ByteBudget.h"
#include "Courseloom/src/Transport/ConnectionPlaces.h"
#include "Courseloom/src/Transport/Http2Connection.h"

namespace courseloom {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** \class HttpCaller
 * \brief The sender of a request, for its handler.
 */
struct HttpCaller {
  std::string peer;   ///< address and port
  ByteShare& memory;  ///< what the process holds for the request; the handler adjusts it to what it holds
};

/** Serves a request. The caller's members are valid until the answer is returned. */
using HttpHandler = std::function<Awaitable<HttpResponse>(HttpRequest, HttpCaller)>;
/** Decides on a request whose body is large, before the body is read. \returns an answer that rejects it, or nothing */
using HttpBodyCheck = std::function<Awaitable<std::optional<HttpResponse>>(const HttpRequest& head)>;

/** \class HttpLimits
 * \brief Limits on the size of a request, the number of connections, their memory and the time that a caller may take.
 */
struct HttpLimits {
  std::uint32_t maxHeaderBytes = 16384;           ///< of one request; also of each further part of its framing
  std::uint64_t maxBodyBytes = 8U * 1024 * 1024;  ///< of one request
  std::uint64_t largeBodyBytes = 16U * 1024;      ///< size from which a body is large
  std::uint32_t maxConnections = 4096;            ///< see ConnectionPlaces
  int socketBufferBytes = 0;                      ///< of a connection, each way; 0 is the system's default
  Duration idleTimeout = milliseconds(30000);     ///< longest time to read a request or to write an answer
  Duration headerTimeout = milliseconds(10000);   ///< longest time from the first byte of a header to its end
  std::uint64_t minBodyRate = 16U * 1024;         ///< bytes each second, after the first headerTimeout of a body
  std::shared_ptr<ByteBudget> memory;             ///< budget of the process for its callers; null is no limit
};

class HttpConnection;

/** \class HttpServer
 * \brief HTTP/1.1 server with keep-alive (Boost.Beast). One coroutine serves each connection.
 *
 * A request that exceeds a limit or is malformed is answered with a problem document with `ran: no`, and its connection
 * is closed.
 *
 * Callers are not trusted. Whatever they send, and however slowly, each part of a message that a connection holds has a
 * limit, also before the part is complete: the framing by the size of the read buffer, the rest by the budget of the
 * process. A connection that keeps the server waiting loses its place to one that does not.
 * \sa HttpConnection, ByteBudget, ConnectionPlaces
 */
class HttpServer {
 public:
  HttpServer(boost::asio::io_context& io, HttpLimits limits, HttpHandler handler, HttpBodyCheck bodyCheck = {});

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
  Awaitable<void> serve(std::shared_ptr<HttpConnection> connection);
  Awaitable<bool> answer(HttpConnection& connection, HttpRequest request);

  boost::asio::io_context& m_io;
  boost::asio::ip::tcp::acceptor m_acceptor;
  HttpLimits m_limits;
  HttpHandler m_handler;
  HttpBodyCheck m_bodyCheck;
  std::shared_ptr<ConnectionPlaces> m_places;
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
