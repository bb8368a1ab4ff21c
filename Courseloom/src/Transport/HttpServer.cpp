// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Transport/HttpServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Courseloom/src/Core/ScopedCount.h"
#include "Courseloom/src/Transport/HttpConnection.h"
#include "Courseloom/src/Transport/Listen.h"

namespace courseloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

HttpServer::HttpServer(asio::io_context& io, HttpLimits limits, HttpHandler handler, HttpBodyCheck bodyCheck)
    : m_io(io),
      m_acceptor(io),
      m_limits(std::move(limits)),
      m_handler(std::move(handler)),
      m_bodyCheck(std::move(bodyCheck)),
      m_places(std::make_shared<ConnectionPlaces>(m_limits.maxConnections)) {}

Result<unsigned> HttpServer::start(const std::string& address, unsigned port) {
  BOOST_LEAF_AUTO(bound, listenOn(m_acceptor, address, port, m_limits.socketBufferBytes));
  asio::co_spawn(m_io, acceptLoop(), asio::detached);
  return bound;
}

void HttpServer::drain() {
  m_draining = true;
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
}

Awaitable<void> HttpServer::acceptLoop() {
  while (m_acceptor.is_open()) {
    auto [error, socket] =
        co_await m_acceptor.async_accept(asio::make_strand(m_io), asio::as_tuple(asio::use_awaitable));
    if (error == asio::error::operation_aborted) co_return;
    if (error) {
      co_await pauseAccept(m_io);
      continue;
    }
    const auto executor = socket.get_executor();
    const auto connection = std::make_shared<HttpConnection>(std::move(socket), m_limits, m_places);
    if (connection->takePlace()) asio::co_spawn(executor, serve(connection), asio::detached);
  }
}

Awaitable<void> HttpServer::serve(std::shared_ptr<HttpConnection> connection) {
  const ScopedCount<std::size_t> counted(m_connections);
  while (!m_draining) {
    HttpConnection::ReadResult read = co_await connection->readRequest(m_bodyCheck);
    if (read.rejection) {
      co_await connection->reject(std::move(*read.rejection));
      co_return;
    }
    if (!read.request || !connection->beginCall()) break;
    if (!co_await answer(*connection, std::move(*read.request))) break;
    connection->finishCall();
  }
  connection->shutDown();
}

/** Serves one call. \returns whether the connection may carry another one */
Awaitable<bool> HttpServer::answer(HttpConnection& connection, HttpRequest request) {
  const ScopedCount<std::size_t> inFlight(m_inFlight);
  const bool keepAlive = request.keep_alive();
  const unsigned version = request.version();
  HttpCaller caller{connection.peer(), connection.memory()};
  HttpResponse response = co_await m_handler(std::move(request), std::move(caller));
  if (!co_await connection.holdAnswer(response)) {
    constexpr std::uint32_t RetryMs = 1000;
    response = problemResponse({FailureCode::Overloaded, Ran::Unknown, "hold answer", connection.peer(),
                                "there is no memory for the answer", RetryMs});
  }
  response.version(version);
  response.keep_alive(keepAlive && !m_draining);
  response.prepare_payload();
  co_return co_await connection.write(response) && response.keep_alive();
}

std::string headerValue(const HttpRequest& request, const std::string& name) {
  const auto found = request.find(name);
  return found == request.end() ? std::string() : std::string(found->value());
}

HttpResponse jsonResponse(unsigned status, std::string body) {
  HttpResponse response;
  response.result(status);
  response.set(http::field::content_type, "application/json");
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

std::string jsonQuote(const std::string& text) {
  static constexpr char Digits[] = "0123456789abcdef";
  std::string quoted = "\"";
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (byte < 0x20) {
      quoted += "\\u00";
      quoted += Digits[byte >> 4U];
      quoted += Digits[byte & 15U];
    } else {
      quoted += c;
    }
  }
  return quoted + "\"";
}

HttpResponse problemResponse(const Failure& failure) {
  constexpr std::uint32_t MillisecondsPerSecond = 1000;
  const unsigned status = codeStatus(failure.code);
  std::string body = "{\"type\":\"about:blank\",\"title\":" + jsonQuote(codeName(failure.code)) +
                     ",\"status\":" + std::to_string(status) + ",\"code\":" + jsonQuote(codeName(failure.code)) +
                     ",\"ran\":\"" + ranName(failure.ran) + "\",\"step\":" + jsonQuote(failure.step) +
                     ",\"peer\":" + jsonQuote(failure.peer) + ",\"detail\":" + jsonQuote(failure.detail);
  if (failure.retryAfterMs > 0) body += ",\"retryAfterMs\":" + std::to_string(failure.retryAfterMs);
  body += "}\n";
  HttpResponse response = jsonResponse(status, std::move(body));
  response.set(http::field::content_type, "application/problem+json");
  response.set("Courseloom-Ran", ranName(failure.ran));
  if (failure.retryAfterMs > 0) {
    const auto seconds = (failure.retryAfterMs + MillisecondsPerSecond - 1) / MillisecondsPerSecond;
    response.set(http::field::retry_after, std::to_string(seconds));
  }
  return response;
}

}  // namespace courseloom
