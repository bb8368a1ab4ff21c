// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <nghttp2/nghttp2.h>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "Courseloom/src/Core/ByteBudget.h"
#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Core/Failure.h"
#include "Courseloom/src/Transport/ConnectionPlaces.h"

namespace courseloom {

template <class T>
using Awaitable = boost::asio::awaitable<T>;

/** Largest message between courseloom's processes, bytes. */
inline constexpr std::size_t MaxRpcBytes = 96U * 1024 * 1024;

/** \class RpcCall
 * \brief One received call.
 */
struct RpcCall {
  std::string method;
  std::string body;                   ///< serialized request
  std::string peer;                   ///< address and port of the caller
  std::unique_ptr<ByteShare> memory;  ///< what the process holds for the call
};

/** Handles a call. Returns the serialized reply, or a failure that is sent to the caller. */
using RpcDispatcher = std::function<Awaitable<Result<std::string>>(RpcCall)>;
/** \returns the budget that calls of a method are charged to, null for one without limit; or the failure with which
 * calls of an unknown method are rejected */
using RpcBudgetOf = std::function<Result<std::shared_ptr<ByteBudget>>(const std::string& method)>;

/** \class Http2Connection
 * \brief One nghttp2 session on one Asio socket, as client or as server; each call is one stream.
 *
 * All members must be called on the strand of the socket, unless they say otherwise. A call ends with a complete reply
 * or with a failure: a stream that closes before its end gives PeerFailed with `ran` unknown; a stream that the peer
 * refused because it was going away, and a call that was not fully sent, give `ran` no.
 *
 * What a server receives is charged to a budget before it is kept, while a call is still incomplete. A call for which
 * there is no room is answered at once with Overloaded and `ran` no, and the rest of it is dropped. A stream and its
 * reply are charged until the stream closes, and bytes that were passed to the session until the socket has taken them;
 * where there is no room, the connection is closed whose peer has kept the server waiting for the longest time.
 * \sa RpcClient, RpcServer
 */
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
 public:
  enum class Side : std::uint8_t { Client, Server };

  Http2Connection(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket, Side side, std::string peer,
                  RpcDispatcher dispatcher = {});
  ~Http2Connection();
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  /** Takes a place at a server and limits what the connection holds; to be called before start(), on any thread.
   * \param memory budget of open streams and their replies; null for one without limit
   * \returns whether there was a place */
  bool admit(std::shared_ptr<ConnectionPlaces> places, std::shared_ptr<ByteBudget> memory, RpcBudgetOf budgetOf);
  /** Starts to read; must run on the strand. */
  void start();
  /** Makes one call (client side). \param deadline instant at which the call is given up \returns the serialized reply
   */
  Awaitable<Result<std::string>> call(std::string method, std::string body, Time deadline);
  /** Checks with an HTTP/2 PING whether the peer responds (client side). Closes the connection if the probe is not
   * answered by the deadline, nothing else has arrived since, and at least ProbeSilence has passed.
   * \param deadline instant at which the probe is given up \returns whether the peer answered */
  Awaitable<bool> probe(Time deadline);
  /** \returns whether the peer has sent something within a time before now. */
  bool heardWithin(Duration time) const { return m_heard && BootClock::now() < m_lastReceived + time; }
  /** Sends GOAWAY, so that the peer opens no new streams; streams in flight continue. */
  void goAway();
  /** Closes the connection at once; calls in flight fail. */
  void close();
  /** \returns whether new calls may be made: the connection is open, and neither side has sent GOAWAY. */
  bool usable() const { return m_open && !m_goingAway; }
  bool isOpen() const { return m_open; }
  /** \returns whether a stream is unfinished or bytes are not written to the socket yet; may be called from any thread.
   */
  bool busy() const { return m_busy.load(); }
  boost::asio::any_io_executor executor() { return m_socket.get_executor(); }

 private:
  struct Stream {
    std::string method;
    std::string body;        ///< received
    std::string outgoing;    ///< to be sent
    std::size_t sent = 0;    ///< bytes of `outgoing` that have been passed to the session
    bool fullySent = false;  ///< all of `outgoing` has been passed to the session
    unsigned status = 0;     ///< HTTP status of the reply; 0 without headers or if the stream closed before its end
    bool done = false;       ///< the reply is complete, or the stream or the connection has closed
    bool refused = false;    ///< the peer did not process the stream (REFUSED_STREAM)
    bool rejected = false;   ///< answered before it was complete; what else arrives is dropped
    bool replied = false;    ///< `outgoing` is a reply
    std::unique_ptr<ByteShare> memory;      ///< of the stream and its reply, at a server
    std::unique_ptr<ByteShare> callMemory;  ///< of a call that is received
    std::unique_ptr<boost::asio::steady_timer>
        finished;  ///< expires at the deadline; cancelled when a client's stream ends
  };
  using StreamPointer = std::shared_ptr<Stream>;

  void setUpSession();
  void endProbes(std::uint64_t upTo);
  Awaitable<void> readLoop();
  bool readAvailable();
  void pump();
  void writeMore();
  void onWritten(const boost::system::error_code& error);
  bool receive(std::int32_t id, const StreamPointer& stream, std::size_t length);
  void reject(std::int32_t id, const StreamPointer& stream, Failure failure);
  void dispatch(std::int32_t id, const StreamPointer& stream);
  Awaitable<bool> holdReply(const StreamPointer& stream, std::size_t bytes);
  void respond(std::int32_t id, const StreamPointer& stream, Result<std::string> reply);
  bool updatePlace();
  std::int32_t submitRequest(const StreamPointer& stream);
  Result<std::string> outcome(Stream& stream, bool timedOut);

  static nghttp2_session_callbacks* callbacks();
  static ssize_t readOutgoing(nghttp2_session* session, std::int32_t id, std::uint8_t* buffer, std::size_t length,
                              std::uint32_t* flags, nghttp2_data_source* source, void* user);
  static int onBeginHeaders(nghttp2_session* session, const nghttp2_frame* frame, void* user);
  static int onHeader(nghttp2_session* session, const nghttp2_frame* frame, const std::uint8_t* name,
                      std::size_t nameLength, const std::uint8_t* value, std::size_t valueLength, std::uint8_t flags,
                      void* user);
  static int onData(nghttp2_session* session, std::uint8_t flags, std::int32_t id, const std::uint8_t* data,
                    std::size_t length, void* user);
  static int onFrame(nghttp2_session* session, const nghttp2_frame* frame, void* user);
  static int onStreamClose(nghttp2_session* session, std::int32_t id, std::uint32_t error, void* user);

  boost::asio::io_context& m_io;
  boost::asio::ip::tcp::socket m_socket;
  Side m_side;
  std::string m_peer;
  RpcDispatcher m_dispatcher;
  RpcBudgetOf m_budgetOf;
  std::shared_ptr<ByteBudget> m_streamMemory;        ///< budget of the open streams of a server
  std::unique_ptr<ByteShare> m_writeMemory;          ///< of m_writing, at a server
  std::shared_ptr<ConnectionPlaces> m_places;        ///< of a server
  std::unique_ptr<ConnectionPlaces::Place> m_place;  ///< at a server
  ConnectionPlaces::State m_placeState = ConnectionPlaces::State::Peer;
  std::size_t m_serving = 0;      ///< calls whose handlers are running
  std::size_t m_openReplies = 0;  ///< streams that have a reply and are not closed
  nghttp2_session* m_session = nullptr;
  std::map<std::int32_t, StreamPointer> m_streams;
  std::string m_writing;
  bool m_writeBusy = false;
  std::atomic<bool> m_busy{false};
  bool m_open = true;
  bool m_goingAway = false;
  bool m_heard = false;  ///< the peer has sent something on this connection
  Time m_lastReceived{};
  std::uint64_t m_lastProbe = 0;                                 ///< number of the newest probe
  std::map<std::uint64_t, boost::asio::steady_timer*> m_probes;  ///< unanswered probes by number
};

}  // namespace courseloom
