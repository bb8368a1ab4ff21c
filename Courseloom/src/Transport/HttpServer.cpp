// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Transport/HttpServer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "Courseloom/src/Core/ScopedCount.h"
#include "Courseloom/src/Transport/Listen.h"

namespace courseloom {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace internal {
namespace {

/** \returns the failure to answer for a request that could not be read, or nothing if the connection was closed,
 * failed or timed out. */
std::optional<Failure> read_failure(const beast::error_code& error, const std::string& peer) {
  Failure failure{FailureCode::BadRequest, Ran::No, "read request", peer, error.message(), 0};
  if (error == http::error::header_limit || error == http::error::buffer_overflow) {
    failure.code = FailureCode::HeaderTooLarge;
  } else if (error == http::error::body_limit) {
    failure.code = FailureCode::BodyTooLarge;
  } else if (error == http::error::partial_message) {
    failure.detail = "the request was cut before its end";
  } else if (error.category() != beast::error_code(http::error::bad_method).category()) {
    return std::nullopt;
  }
  if (error == http::error::end_of_stream) return std::nullopt;
  return failure;
}

}  // namespace
}  // namespace internal

Result<unsigned> HttpServer::start(const std::string& address, unsigned port) {
  BOOST_LEAF_AUTO(bound, listenOn(m_acceptor, address, port));
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
    if (m_connections.load() >= m_limits.maxConnections) continue;
    const auto executor = socket.get_executor();
    asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
  }
}

Awaitable<void> HttpServer::serve(asio::ip::tcp::socket socket) {
  const ScopedCount<std::size_t> connection(m_connections);
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto remote = socket.remote_endpoint(ignored);
  const std::string peer = remote.address().to_string() + ":" + std::to_string(remote.port());
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  while (!m_draining) {
    http::request_parser<http::string_body> parser;
    parser.header_limit(m_limits.maxHeaderBytes);
    parser.body_limit(m_limits.maxBodyBytes);
    stream.expires_after(m_limits.idleTimeout);
    const auto [readError, readBytes] =
        co_await http::async_read(stream, buffer, parser, asio::as_tuple(asio::use_awaitable));
    if (readError) {
      const std::optional<Failure> failure = internal::read_failure(readError, peer);
      if (!failure) break;
      HttpResponse response = problemResponse(*failure);
      response.keep_alive(false);
      stream.expires_after(m_limits.idleTimeout);
      co_await http::async_write(stream, response, asio::as_tuple(asio::use_awaitable));
      break;
    }
    const ScopedCount<std::size_t> inFlight(m_inFlight);
    HttpRequest request = parser.release();
    const bool keepAlive = request.keep_alive();
    const unsigned version = request.version();
    stream.expires_never();
    HttpResponse response = co_await m_handler(std::move(request), peer);
    response.version(version);
    response.keep_alive(keepAlive && !m_draining);
    response.prepare_payload();
    stream.expires_after(m_limits.idleTimeout);
    const auto [writeError, written] =
        co_await http::async_write(stream, response, asio::as_tuple(asio::use_awaitable));
    if (writeError || !response.keep_alive()) break;
  }
  stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
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
