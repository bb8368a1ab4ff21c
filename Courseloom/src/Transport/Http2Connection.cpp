// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Transport/Http2Connection.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstring>

#include "Courseloom/src/Transport/MakeRoom.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {

/** Size of a thread's read buffer. */
constexpr std::size_t ReadBytes = 64U * 1024;
/** Size at which a batch of outgoing frames is written to the socket. */
constexpr std::size_t WriteBatchBytes = 256U * 1024;
/** Capacity of the write buffer that is kept for the next batch; a larger buffer is freed after its write. */
constexpr std::size_t KeptWriteBytes = 4U * 1024;
constexpr std::uint32_t StreamWindowBytes = 4U * 1024 * 1024;
constexpr std::int32_t ConnectionWindowBytes = 64 * 1024 * 1024;
constexpr std::uint32_t MaxStreams = 16384;
constexpr std::size_t MaxMethodBytes = 64;
/** Memory of an open stream of a server. */
constexpr std::uint64_t StreamBytes = 1024;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusFailed = 500;
/** Time without any data after a probe from which the connection counts as broken. A busy peer may cause a shorter one.
 */
constexpr Duration ProbeSilence = milliseconds(300);

/** \returns the read buffer of this thread, which all connections served by the thread share in turn. */
std::vector<std::uint8_t>& thread_buffer() {
  thread_local std::vector<std::uint8_t> buffer(ReadBytes);
  return buffer;
}

/** \returns the options of a server's session: closed streams are not kept for the priorities of other streams. */
const nghttp2_option* server_options() {
  static const nghttp2_option* options = [] {
    nghttp2_option* created = nullptr;
    nghttp2_option_new(&created);
    nghttp2_option_set_no_closed_streams(created, 1);
    return created;
  }();
  return options;
}

nghttp2_nv make_header(const char* name, const std::string& value) {
  nghttp2_nv header{};
  header.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name));
  header.namelen = std::strlen(name);
  header.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
  header.valuelen = value.size();
  header.flags = NGHTTP2_NV_FLAG_NONE;
  return header;
}

}  // namespace
}  // namespace internal

Http2Connection::Http2Connection(asio::io_context& io, asio::ip::tcp::socket socket, Side side, std::string peer,
                                 RpcDispatcher dispatcher)
    : m_io(io),
      m_socket(std::move(socket)),
      m_side(side),
      m_peer(std::move(peer)),
      m_dispatcher(std::move(dispatcher)) {
  setUpSession();
}

Http2Connection::~Http2Connection() { nghttp2_session_del(m_session); }

nghttp2_session_callbacks* Http2Connection::callbacks() {
  static nghttp2_session_callbacks* shared = [] {
    nghttp2_session_callbacks* created = nullptr;
    nghttp2_session_callbacks_new(&created);
    nghttp2_session_callbacks_set_on_begin_headers_callback(created, &Http2Connection::onBeginHeaders);
    nghttp2_session_callbacks_set_on_header_callback(created, &Http2Connection::onHeader);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(created, &Http2Connection::onData);
    nghttp2_session_callbacks_set_on_frame_recv_callback(created, &Http2Connection::onFrame);
    nghttp2_session_callbacks_set_on_stream_close_callback(created, &Http2Connection::onStreamClose);
    return created;
  }();
  return shared;
}

void Http2Connection::setUpSession() {
  if (m_side == Side::Client) {
    nghttp2_session_client_new(&m_session, callbacks(), this);
  } else {
    nghttp2_session_server_new2(&m_session, callbacks(), this, internal::server_options());
  }
  const std::array settings{
      nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, internal::MaxStreams},
      nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, internal::StreamWindowBytes},
  };
  nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0, internal::ConnectionWindowBytes);
}

bool Http2Connection::admit(std::shared_ptr<ConnectionPlaces> places, std::shared_ptr<ByteBudget> memory,
                            RpcBudgetOf budgetOf) {
  m_streamMemory = std::move(memory);
  m_writeMemory = std::make_unique<ByteShare>(m_streamMemory);
  m_budgetOf = std::move(budgetOf);
  m_places = std::move(places);
  m_place = m_places->take([weak = weak_from_this()] {
    const std::shared_ptr<Http2Connection> self = weak.lock();
    if (self) asio::dispatch(self->executor(), [self] { self->close(); });
  });
  return m_place != nullptr;
}

void Http2Connection::start() {
  m_lastReceived = BootClock::now();
  asio::co_spawn(
      m_socket.get_executor(), [self = shared_from_this()] { return self->readLoop(); }, asio::detached);
  pump();
}

/** Waits for input without a buffer and reads into the buffer of the thread, since most connections are idle most of
 * the time. */
Awaitable<void> Http2Connection::readLoop() {
  const auto self = shared_from_this();
  boost::system::error_code failed;
  m_socket.non_blocking(true, failed);
  while (m_open && !failed) {
    const auto [error] =
        co_await m_socket.async_wait(asio::ip::tcp::socket::wait_read, asio::as_tuple(asio::use_awaitable));
    if (error || !m_open || !readAvailable()) break;
    pump();
  }
  close();
}

/** Passes received bytes, at most one buffer of them, to the session. \returns whether the connection is still usable
 */
bool Http2Connection::readAvailable() {
  std::vector<std::uint8_t>& buffer = internal::thread_buffer();
  boost::system::error_code error;
  const std::size_t length = m_socket.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block) return true;
  if (error) return false;
  m_lastReceived = BootClock::now();
  m_heard = true;
  // The session consumes all bytes, so that the next connection may use the buffer.
  return nghttp2_session_mem_recv(m_session, buffer.data(), length) >= 0;
}

void Http2Connection::pump() {
  writeMore();
  m_busy = m_open && (m_writeBusy || !m_streams.empty());
  updatePlace();
}

/** Records what a server's connection waits for. One whose peer has not taken a reply waits for its peer, also while
 * further calls are served: otherwise a peer could keep its place by calling on. \returns false if the place is lost */
bool Http2Connection::updatePlace() {
  using State = ConnectionPlaces::State;
  if (!m_place) return true;
  State state = m_serving > 0 ? State::Server : State::KeptOpen;
  const bool incomplete = m_streams.size() > m_serving;
  if (m_writeBusy || m_openReplies > 0 || (m_serving == 0 && incomplete)) state = State::Peer;
  return std::exchange(m_placeState, state) == state || m_place->wait(state);
}

void Http2Connection::writeMore() {
  if (m_writeBusy || !m_open) return;
  m_writing.clear();
  while (m_writing.size() < internal::WriteBatchBytes) {
    const std::uint8_t* data = nullptr;
    const ssize_t length = nghttp2_session_mem_send(m_session, &data);
    if (length < 0) return close();
    if (length == 0) break;
    m_writing.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(length));
  }
  if (m_writing.empty()) {
    const bool finished = nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0;
    if (finished && m_streams.empty()) close();
    return;
  }
  m_writeBusy = true;
  // These bytes cannot be dropped, so another connection makes room for them.
  if (m_writeMemory && !m_writeMemory->resize(m_writing.capacity())) m_places->closeLongestIncomplete();
  asio::async_write(m_socket, asio::buffer(m_writing),
                    [self = shared_from_this()](const boost::system::error_code& error, std::size_t /*length*/) {
                      self->onWritten(error);
                    });
}

void Http2Connection::onWritten(const boost::system::error_code& error) {
  m_writeBusy = false;
  if (m_writing.capacity() > internal::KeptWriteBytes) std::string().swap(m_writing);
  if (m_writeMemory) m_writeMemory->resize(0);
  if (error) return close();
  pump();
}

Awaitable<Result<std::string>> Http2Connection::call(std::string method, std::string body, Time deadline) {
  const auto self = shared_from_this();
  const Failure notSent{FailureCode::PeerUnreachable, Ran::No, method, m_peer, "the connection is closed", 0};
  if (!usable()) co_return fail(notSent);
  auto stream = std::make_shared<Stream>();
  stream->method = std::move(method);
  stream->outgoing = std::move(body);
  stream->finished = std::make_unique<asio::steady_timer>(m_socket.get_executor());
  const std::int32_t id = submitRequest(stream);
  if (id < 0) co_return fail(notSent);
  m_streams[id] = stream;
  const Time sentAt = BootClock::now();
  pump();
  if (!stream->done) {
    stream->finished->expires_after(std::max(deadline - BootClock::now(), Duration(0)));
    co_await stream->finished->async_wait(asio::as_tuple(asio::use_awaitable));
  }
  const bool timedOut = !stream->done;
  if (timedOut) {
    m_streams.erase(id);
    if (m_open) nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
    pump();
    // Nothing has been received since the call was sent, so the connection is taken to be broken. The next call must
    // open a new connection.
    if (m_lastReceived < sentAt) close();
  }
  co_return outcome(*stream, timedOut);
}

Awaitable<bool> Http2Connection::probe(Time deadline) {
  const auto self = shared_from_this();
  if (!usable()) co_return false;
  const std::uint64_t number = ++m_lastProbe;
  std::array<std::uint8_t, sizeof(number)> payload{};
  std::memcpy(payload.data(), &number, sizeof(number));
  if (nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, payload.data()) != 0) co_return false;
  asio::steady_timer timer(m_socket.get_executor());
  m_probes[number] = &timer;
  const Time sentAt = BootClock::now();
  pump();
  timer.expires_after(std::max(deadline - sentAt, Duration(0)));
  if (m_open) co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
  const bool answered = m_probes.erase(number) == 0;
  if (!answered && m_lastReceived < sentAt && BootClock::now() >= sentAt + internal::ProbeSilence) close();
  co_return answered;
}

/** Ends the waits of all probes up to a number as answered: PINGs are answered in their order. */
void Http2Connection::endProbes(std::uint64_t upTo) {
  while (!m_probes.empty() && m_probes.begin()->first <= upTo) {
    m_probes.begin()->second->cancel();
    m_probes.erase(m_probes.begin());
  }
}

std::int32_t Http2Connection::submitRequest(const StreamPointer& stream) {
  static const std::string post = "POST";
  static const std::string scheme = "http";
  const std::string path = "/" + stream->method;
  const std::array headers{internal::make_header(":method", post), internal::make_header(":path", path),
                           internal::make_header(":scheme", scheme), internal::make_header(":authority", m_peer)};
  nghttp2_data_provider provider{};
  provider.source.ptr = stream.get();
  provider.read_callback = &Http2Connection::readOutgoing;
  return nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
}

Result<std::string> Http2Connection::outcome(Stream& stream, bool timedOut) {
  if (!timedOut && stream.status == internal::StatusOk) return std::move(stream.body);
  Failure failure{FailureCode::PeerFailed, Ran::Unknown, stream.method, m_peer, "", 0};
  if (timedOut) {
    failure.detail = "no answer within the deadline";
  } else if (stream.refused) {
    failure.code = FailureCode::PeerUnreachable;
    failure.ran = Ran::No;
    failure.detail = "the peer has refused the call";
  } else if (stream.status == internal::StatusFailed) {
    schema::FailureInfo info;
    if (info.ParseFromString(stream.body)) {
      failure = fromInfo(info);
      if (failure.peer.empty()) failure.peer = m_peer;
    } else {
      failure.detail = "the peer's failure could not be read";
    }
  } else {
    failure.detail = "the stream ended before its answer was whole";
  }
  // A peer handles a call only after it has received all of it. A caller that knows that the call did not run may send
  // it to another peer.
  if (!stream.fullySent) failure.ran = Ran::No;
  return fail(std::move(failure));
}

/** Charges received bytes of a call. \returns whether they may be kept; if not, the call is rejected */
bool Http2Connection::receive(std::int32_t id, const StreamPointer& stream, std::size_t length) {
  if (stream->rejected) return false;
  if (m_side == Side::Client) return true;
  if (stream->body.empty() && m_budgetOf) {
    Result<std::shared_ptr<ByteBudget>> budget = m_budgetOf(stream->method);
    if (!budget) {
      reject(id, stream, extractFailure(budget));
      return false;
    }
    stream->callMemory = std::make_unique<ByteShare>(*budget);
  }
  // The text grows by doubling its memory.
  const std::size_t needed = stream->body.size() + length;
  const std::size_t held = needed <= stream->body.capacity() ? stream->body.capacity() : 2 * needed;
  if (stream->callMemory && !stream->callMemory->resize(held)) {
    reject(id, stream, {FailureCode::Overloaded, Ran::No, stream->method, "", "no memory for the call", 0});
    return false;
  }
  return true;
}

void Http2Connection::reject(std::int32_t id, const StreamPointer& stream, Failure failure) {
  stream->rejected = true;
  std::string().swap(stream->body);
  stream->callMemory.reset();
  respond(id, stream, fail(std::move(failure)));
}

void Http2Connection::dispatch(std::int32_t id, const StreamPointer& stream) {
  if (stream->rejected) return;
  ++m_serving;
  if (!updatePlace()) return;
  auto run = [self = shared_from_this(), id, stream]() -> Awaitable<void> {
    RpcCall call{stream->method, std::move(stream->body), self->m_peer, std::move(stream->callMemory)};
    Result<std::string> reply = co_await self->m_dispatcher(std::move(call));
    co_await asio::post(self->m_socket.get_executor(), asio::use_awaitable);
    if (reply && !co_await self->holdReply(stream, reply->size())) {
      reply = fail(Failure{FailureCode::Overloaded, Ran::Unknown, stream->method, "", "no memory for the reply", 0});
    }
    --self->m_serving;
    self->respond(id, stream, std::move(reply));
    self->updatePlace();
  };
  // The strand only encodes and decodes frames; handlers run on the threads of the io_context.
  asio::co_spawn(m_io, std::move(run), asio::detached);
}

/** Charges a reply to its stream. \returns whether there was room */
Awaitable<bool> Http2Connection::holdReply(const StreamPointer& stream, std::size_t bytes) {
  if (!stream->memory) co_return true;
  co_return co_await resizeOrMakeRoom(*stream->memory, internal::StreamBytes + bytes, *m_places, executor());
}

void Http2Connection::respond(std::int32_t id, const StreamPointer& stream, Result<std::string> reply) {
  if (!m_open || m_streams.find(id) == m_streams.end()) return;
  stream->replied = true;
  ++m_openReplies;
  unsigned status = internal::StatusOk;
  if (reply) {
    stream->outgoing = std::move(*reply);
  } else {
    status = internal::StatusFailed;
    stream->outgoing = toInfo(extractFailure(reply)).SerializeAsString();
  }
  const std::string statusText = std::to_string(status);
  const std::array headers{internal::make_header(":status", statusText)};
  nghttp2_data_provider provider{};
  provider.source.ptr = stream.get();
  provider.read_callback = &Http2Connection::readOutgoing;
  nghttp2_submit_response(m_session, id, headers.data(), headers.size(), &provider);
  pump();
}

void Http2Connection::goAway() {
  if (!m_open || m_goingAway) return;
  m_goingAway = true;
  nghttp2_submit_goaway(m_session, NGHTTP2_FLAG_NONE, nghttp2_session_get_last_proc_stream_id(m_session),
                        NGHTTP2_NO_ERROR, nullptr, 0);
  pump();
}

void Http2Connection::close() {
  if (!m_open) return;
  m_open = false;
  m_busy = false;
  boost::system::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  m_socket.close(ignored);
  auto streams = std::move(m_streams);
  m_streams.clear();
  for (auto& [id, stream] : streams) {
    stream->done = true;
    stream->status = 0;
    if (stream->finished) stream->finished->cancel();
  }
  for (const auto& [number, timer] : m_probes) timer->cancel();
}

ssize_t Http2Connection::readOutgoing(nghttp2_session* /*session*/, std::int32_t id, std::uint8_t* buffer,
                                      std::size_t length, std::uint32_t* flags, nghttp2_data_source* /*source*/,
                                      void* user) {
  auto* self = static_cast<Http2Connection*>(user);
  const auto found = self->m_streams.find(id);
  if (found == self->m_streams.end()) return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  Stream& stream = *found->second;
  const std::size_t part = std::min(length, stream.outgoing.size() - stream.sent);
  std::memcpy(buffer, stream.outgoing.data() + stream.sent, part);
  stream.sent += part;
  stream.fullySent = stream.sent == stream.outgoing.size();
  if (stream.fullySent) *flags |= NGHTTP2_DATA_FLAG_EOF;
  return static_cast<ssize_t>(part);
}

int Http2Connection::onBeginHeaders(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
  auto* self = static_cast<Http2Connection*>(user);
  if (self->m_side == Side::Client || frame->headers.cat != NGHTTP2_HCAT_REQUEST) return 0;
  auto stream = std::make_shared<Stream>();
  stream->memory = std::make_unique<ByteShare>(self->m_streamMemory);
  if (!stream->memory->resize(internal::StreamBytes)) {
    if (self->m_places) self->m_places->closeLongestIncomplete();
    nghttp2_submit_rst_stream(self->m_session, NGHTTP2_FLAG_NONE, frame->hd.stream_id, NGHTTP2_REFUSED_STREAM);
    return 0;
  }
  self->m_streams[frame->hd.stream_id] = std::move(stream);
  return 0;
}

int Http2Connection::onHeader(nghttp2_session* /*session*/, const nghttp2_frame* frame, const std::uint8_t* name,
                              std::size_t nameLength, const std::uint8_t* value, std::size_t valueLength,
                              std::uint8_t /*flags*/, void* user) {
  auto* self = static_cast<Http2Connection*>(user);
  const auto found = self->m_streams.find(frame->hd.stream_id);
  if (found == self->m_streams.end()) return 0;
  const std::string_view key(reinterpret_cast<const char*>(name), nameLength);
  const std::string text(reinterpret_cast<const char*>(value), valueLength);
  // A longer text names no method, and is not kept.
  if (key == ":path" && !text.empty()) found->second->method = text.substr(1, internal::MaxMethodBytes);
  if (key == ":status") found->second->status = static_cast<unsigned>(std::strtoul(text.c_str(), nullptr, 10));
  return 0;
}

int Http2Connection::onData(nghttp2_session* /*session*/, std::uint8_t /*flags*/, std::int32_t id,
                            const std::uint8_t* data, std::size_t length, void* user) {
  auto* self = static_cast<Http2Connection*>(user);
  const auto found = self->m_streams.find(id);
  if (found == self->m_streams.end()) return 0;
  const StreamPointer stream = found->second;
  if (!self->receive(id, stream, length)) return 0;
  std::string& body = stream->body;
  if (body.size() + length > MaxRpcBytes) {
    nghttp2_submit_rst_stream(self->m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
    return 0;
  }
  body.append(reinterpret_cast<const char*>(data), length);
  return 0;
}

int Http2Connection::onFrame(nghttp2_session* /*session*/, const nghttp2_frame* frame, void* user) {
  auto* self = static_cast<Http2Connection*>(user);
  if (frame->hd.type == NGHTTP2_GOAWAY) {
    self->m_goingAway = true;
    return 0;
  }
  if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
    std::uint64_t number = 0;
    std::memcpy(&number, static_cast<const void*>(frame->ping.opaque_data), sizeof(number));
    self->endProbes(number);
    return 0;
  }
  const bool carriesEnd = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
  if (!carriesEnd || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) return 0;
  const auto found = self->m_streams.find(frame->hd.stream_id);
  if (found == self->m_streams.end()) return 0;
  if (self->m_side == Side::Server) {
    self->dispatch(frame->hd.stream_id, found->second);
  } else {
    found->second->done = true;
  }
  return 0;
}

int Http2Connection::onStreamClose(nghttp2_session* /*session*/, std::int32_t id, std::uint32_t error, void* user) {
  auto* self = static_cast<Http2Connection*>(user);
  const auto found = self->m_streams.find(id);
  if (found == self->m_streams.end()) return 0;
  const StreamPointer stream = found->second;
  self->m_streams.erase(found);
  if (stream->replied) --self->m_openReplies;
  if (self->m_side == Side::Client) {
    if (!stream->done) stream->status = 0;
    stream->refused = error == NGHTTP2_REFUSED_STREAM;
    stream->done = true;
    stream->finished->cancel();
  }
  return 0;
}

}  // namespace courseloom
