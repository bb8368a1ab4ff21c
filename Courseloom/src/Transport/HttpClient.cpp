// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Transport/HttpClient.h"

#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

namespace courseloom {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace internal {
namespace {
/** Size of the read buffer, and so the largest size of a header, a trailer or another part of an answer's framing. */
constexpr std::size_t MaxFramingBytes = 64U * 1024;
/** Bytes that are read at a time. */
constexpr std::size_t ReadBytes = 16U * 1024;
}  // namespace
}  // namespace internal

HttpClient::Connection::Connection(asio::io_context& io)
    : stream(asio::make_strand(io)), buffer(internal::MaxFramingBytes) {}

HttpClient::HttpClient(asio::io_context& io, std::string address, unsigned port, std::size_t maxIdle)
    : m_io(io),
      m_endpoint(asio::ip::make_address(address), static_cast<std::uint16_t>(port)),
      m_peer(address + ":" + std::to_string(port)),
      m_maxIdle(maxIdle) {}

HttpClient::ConnectionPointer HttpClient::acquireIdle() {
  const std::lock_guard lock(m_mutex);
  while (!m_idle.empty()) {
    ConnectionPointer connection = std::move(m_idle.back());
    m_idle.pop_back();
    // A reusable idle connection has nothing to read; end of file or unexpected bytes mean that it must not be reused.
    char byte = 0;
    const ssize_t length = ::recv(connection->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool noInput = length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (noInput && connection->buffer.size() == 0) return connection;
  }
  return nullptr;
}

void HttpClient::releaseIdle(ConnectionPointer connection) {
  const std::lock_guard lock(m_mutex);
  connection->idleSince = BootClock::now();
  if (m_idle.size() < m_maxIdle) m_idle.push_back(std::move(connection));
}

/** Closes idle connections that were last used at or before `before`. A network partition that breaks one connection
 * breaks all that were open then, and each of them that is kept would fail one call. */
void HttpClient::closeIdleSince(Time before) {
  const std::lock_guard lock(m_mutex);
  std::erase_if(m_idle, [before](const ConnectionPointer& connection) { return connection->idleSince <= before; });
}

/** Reads an answer until it is whole, or until the connection ends, which is the end of an answer without a length. */
Awaitable<beast::error_code> HttpClient::readAnswer(Connection& connection, LimitedParser<false>& parser) {
  beast::flat_buffer& buffer = connection.buffer;
  while (true) {
    beast::error_code error = parser.take(buffer);
    if (error || parser.is_done()) co_return error;
    const std::size_t length = std::min(internal::ReadBytes, buffer.max_size() - buffer.size());
    const auto [readError, received] =
        co_await connection.stream.async_read_some(buffer.prepare(length), asio::as_tuple(asio::use_awaitable));
    buffer.commit(received);
    if (readError == asio::error::eof) {
      if (!parser.got_some()) co_return http::error::end_of_stream;
      parser.put_eof(error);
      co_return error;
    }
    if (readError) co_return readError;
  }
}

Awaitable<Result<HttpResponse>> HttpClient::exchange(std::string step, HttpRequest request, Duration limit,
                                                     std::uint64_t maxBodyBytes) {
  ConnectionPointer connection = acquireIdle();
  const Time sentAt = BootClock::now();
  const Time deadline = sentAt + limit;
  if (!connection) {
    connection = std::make_unique<Connection>(m_io);
    connection->stream.expires_after(limit);
    const auto [error] = co_await connection->stream.async_connect(m_endpoint, asio::as_tuple(asio::use_awaitable));
    if (error) {
      co_return fail(Failure{FailureCode::TargetUnreachable, Ran::No, step, m_peer, error.message(), 0});
    }
    connection->stream.socket().set_option(asio::ip::tcp::no_delay(true));
  }
  request.version(11);
  request.keep_alive(true);
  if (request.find(http::field::host) == request.end()) request.set(http::field::host, m_peer);
  request.prepare_payload();
  connection->stream.expires_after(std::max(deadline - BootClock::now(), milliseconds(1)));
  const auto [writeError, written] =
      co_await http::async_write(connection->stream, request, asio::as_tuple(asio::use_awaitable));
  if (writeError) {
    closeIdleSince(sentAt);
    co_return fail(Failure{FailureCode::TargetFailed, Ran::Unknown, step, m_peer, writeError.message(), 0});
  }
  LimitedParser<false> parser(internal::MaxFramingBytes);
  parser.body_limit(maxBodyBytes);
  const beast::error_code readError = co_await readAnswer(*connection, parser);
  if (readError) {
    closeIdleSince(sentAt);
    Failure failure{FailureCode::TargetFailed, Ran::Unknown, step, m_peer, readError.message(), 0};
    if (readError == http::error::partial_message || parser.got_some()) failure.code = FailureCode::AnswerIncomplete;
    if (readError == http::error::body_limit) failure.code = FailureCode::BodyTooLarge;
    co_return fail(std::move(failure));
  }
  HttpResponse response = parser.release();
  if (response.keep_alive()) releaseIdle(std::move(connection));
  co_return response;
}

}  // namespace courseloom
