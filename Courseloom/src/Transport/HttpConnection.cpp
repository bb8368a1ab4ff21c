// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Transport/HttpConnection.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

#include "Courseloom/src/Transport/MakeRoom.h"

namespace courseloom {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace internal {
namespace {

/** Bytes that are read at a time: while nothing of a request has arrived, of its header, and of its body. */
constexpr std::size_t FirstReadBytes = 512;
constexpr std::size_t HeaderReadBytes = 4U * 1024;
constexpr std::size_t BodyReadBytes = 16U * 1024;
/** Time for which the bytes of a rejected request are read and dropped. */
constexpr Duration RejectedReadTime = milliseconds(2000);
constexpr std::int64_t MillisecondsPerSecond = 1000;

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

HttpConnection::HttpConnection(asio::ip::tcp::socket socket, const HttpLimits& limits,
                               std::shared_ptr<ConnectionPlaces> places)
    : m_limits(limits),
      m_places(std::move(places)),
      m_stream(std::move(socket)),
      m_buffer(limits.maxHeaderBytes + internal::HeaderReadBytes),
      m_memory(limits.memory),
      m_waitsSince(BootClock::now()) {
  boost::system::error_code ignored;
  m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  const auto remote = m_stream.socket().remote_endpoint(ignored);
  m_peer = remote.address().to_string() + ":" + std::to_string(remote.port());
}

bool HttpConnection::takePlace() {
  m_place = m_places->take([weak = weak_from_this()] {
    const std::shared_ptr<HttpConnection> self = weak.lock();
    if (self) asio::dispatch(self->m_stream.get_executor(), [self] { self->m_stream.close(); });
  });
  return m_place != nullptr;
}

Awaitable<HttpConnection::ReadResult> HttpConnection::readRequest(const HttpBodyCheck& bodyCheck) {
  Parser parser(m_limits.maxHeaderBytes);
  parser.header_limit(m_limits.maxHeaderBytes);
  parser.body_limit(m_limits.maxBodyBytes);
  bool checked = !bodyCheck;
  if (m_buffer.size() > 0) beginRequest();
  while (true) {
    beast::error_code error = parse(parser);
    const std::uint64_t bytes = heldBytes(parser);
    if (!error && !co_await hold(bytes)) co_return ReadResult{{}, problemResponse(withoutRoom(m_memory, bytes))};
    if (!error && parser.is_done()) co_return ReadResult{parser.release(), {}};
    if (!error && !checked && isLarge(parser)) {
      checked = true;
      std::optional<HttpResponse> rejection = co_await check(bodyCheck, parser);
      if (rejection) co_return ReadResult{{}, std::move(rejection)};
    }
    if (!error) error = co_await readMore(parser);
    if (!error) continue;
    const std::optional<Failure> failure = internal::read_failure(error, m_peer);
    if (!failure) co_return ReadResult();
    co_return ReadResult{{}, problemResponse(*failure)};
  }
}

/** Records that the first byte of a request has been read. */
void HttpConnection::beginRequest() {
  m_headBegan = BootClock::now();
  m_place->wait(ConnectionPlaces::State::Peer);
}

/** Passes the bytes in the buffer to the parser, as far as it can take them. */
beast::error_code HttpConnection::parse(Parser& parser) {
  const beast::error_code error = parser.take(m_buffer);
  if (parser.is_header_done() && !m_bodyBegan) m_bodyBegan = BootClock::now();
  return error;
}

/** Reads what has arrived, or waits for it until readDeadline(). */
Awaitable<beast::error_code> HttpConnection::readMore(const Parser& parser) {
  const std::size_t wanted = m_bodyBegan   ? internal::BodyReadBytes
                             : m_headBegan ? internal::HeaderReadBytes
                                           : internal::FirstReadBytes;
  const std::size_t length = std::min(wanted, m_buffer.max_size() - m_buffer.size());
  m_stream.expires_after(std::max(readDeadline(parser) - BootClock::now(), Duration(0)));
  const auto [error, received] =
      co_await m_stream.async_read_some(m_buffer.prepare(length), asio::as_tuple(asio::use_awaitable));
  m_buffer.commit(received);
  if (received > 0 && !m_headBegan) beginRequest();
  if (error == asio::error::eof) co_return m_headBegan ? http::error::partial_message : http::error::end_of_stream;
  co_return error;
}

/** \returns when the present wait for input ends: a header and a body have a time of their own, and that of a body
 * grows with what has arrived. */
Time HttpConnection::readDeadline(const Parser& parser) {
  if (!m_headBegan) return m_waitsSince + m_limits.idleTimeout;
  const Time last = *m_headBegan + m_limits.idleTimeout;
  if (!m_bodyBegan) return std::min(last, *m_headBegan + m_limits.headerTimeout);
  const auto received = static_cast<std::int64_t>(parser.get().body().size());
  const auto rate = static_cast<std::int64_t>(m_limits.minBodyRate);
  const Duration earned = milliseconds(received * internal::MillisecondsPerSecond / rate);
  return std::min(last, *m_bodyBegan + m_limits.headerTimeout + earned);
}

Awaitable<std::optional<HttpResponse>> HttpConnection::check(const HttpBodyCheck& bodyCheck, const Parser& parser) {
  m_stream.expires_never();
  m_place->wait(ConnectionPlaces::State::Server);
  std::optional<HttpResponse> rejection = co_await bodyCheck(parser.get());
  m_place->wait(ConnectionPlaces::State::Peer);
  co_return rejection;
}

bool HttpConnection::isLarge(const Parser& parser) const {
  if (!parser.is_header_done()) return false;
  const auto announced = parser.content_length();
  return (announced && *announced >= m_limits.largeBodyBytes) || parser.get().body().size() >= m_limits.largeBodyBytes;
}

/** \returns the memory that is held for the present request, bytes. */
std::uint64_t HttpConnection::heldBytes(const Parser& parser) const {
  const std::string& body = parser.get().body();
  // Memory that was reserved for the announced length is not in use before it is written.
  const std::uint64_t bodyBytes = parser.chunked() ? body.capacity() : body.size();
  return m_buffer.capacity() + parser.get().target().size() + parser.fieldBytes() + bodyBytes;
}

/** Charges what is held for a request. Other connections are closed for a usual one only. \returns whether there was
 * room */
Awaitable<bool> HttpConnection::hold(std::uint64_t bytes) {
  if (bytes > ByteBudget::SmallShare) co_return m_memory.resize(bytes);
  co_return co_await resizeOrMakeRoom(m_memory, bytes, *m_places, m_stream.get_executor());
}

Awaitable<bool> HttpConnection::holdAnswer(const HttpResponse& response) {
  return resizeOrMakeRoom(m_memory, response.body().size(), *m_places, m_stream.get_executor());
}

bool HttpConnection::beginCall() {
  m_stream.expires_never();
  return m_place->wait(ConnectionPlaces::State::Server);
}

Awaitable<bool> HttpConnection::write(const HttpResponse& response) {
  m_place->wait(ConnectionPlaces::State::Peer);
  m_stream.expires_after(m_limits.idleTimeout);
  // The serializer reads the response only; its other constructor takes a reference that is not const.
  http::response_serializer<http::string_body> serializer(response);
  const auto [error, written] = co_await http::async_write(m_stream, serializer, asio::as_tuple(asio::use_awaitable));
  co_return !error;
}

Awaitable<void> HttpConnection::reject(HttpResponse response) {
  m_buffer.clear();
  m_buffer.shrink_to_fit();
  m_memory.resize(0);
  response.keep_alive(false);
  if (!co_await write(response)) co_return;
  shutDown();
  m_stream.expires_after(internal::RejectedReadTime);
  const std::size_t length =
      m_memory.resize(internal::HeaderReadBytes) ? internal::HeaderReadBytes : internal::FirstReadBytes;
  while (true) {
    const auto [error, received] =
        co_await m_stream.async_read_some(m_buffer.prepare(length), asio::as_tuple(asio::use_awaitable));
    if (error) co_return;
  }
}

void HttpConnection::finishCall() {
  m_headBegan.reset();
  m_bodyBegan.reset();
  m_waitsSince = BootClock::now();
  m_buffer.shrink_to_fit();
  m_memory.resize(0);
  m_place->wait(ConnectionPlaces::State::KeptOpen);
}

void HttpConnection::shutDown() {
  boost::system::error_code ignored;
  m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

}  // namespace courseloom
