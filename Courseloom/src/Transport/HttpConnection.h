// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <memory>
#include <optional>
#include <string>

#include "Courseloom/src/Transport/HttpServer.h"
#include "Courseloom/src/Transport/LimitedParser.h"

namespace courseloom {

/** \class HttpConnection
 * \brief One accepted connection of an HttpServer: reads requests and writes answers within HttpLimits.
 *
 * All members but the constructor must be called on the strand of the socket.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  /** \class ReadResult
   * \brief A whole request, or an answer that rejects an incomplete one; neither if the connection has ended.
   */
  struct ReadResult {
    std::optional<HttpRequest> request;
    std::optional<HttpResponse> rejection;
  };

  HttpConnection(boost::asio::ip::tcp::socket socket, const HttpLimits& limits,
                 std::shared_ptr<ConnectionPlaces> places);

  /** Takes a place. \returns whether there was one; without one, no other member may be called */
  bool takePlace();
  /** Reads the next request. \param bodyCheck called at most once, when the body is large; may be empty */
  Awaitable<ReadResult> readRequest(const HttpBodyCheck& bodyCheck);
  /** Records that a call is being served. \returns false if the connection has lost its place, so that the call must
   * not be served */
  bool beginCall();
  /** Charges an answer in place of its request, which has been served. \returns whether there was room */
  Awaitable<bool> holdAnswer(const HttpResponse& response);
  /** Writes an answer. \returns whether it was written */
  Awaitable<bool> write(const HttpResponse& response);
  /** Writes an answer to a request that was not read whole, and reads what arrives for a short time without keeping it:
   * a connection that is closed with unread bytes is reset, and its peer may lose the answer. */
  Awaitable<void> reject(HttpResponse response);
  /** Gives back the memory of the request that was answered, and waits for the next one. */
  void finishCall();
  /** Sends what was written and closes the sending side. */
  void shutDown();

  const std::string& peer() const { return m_peer; }
  ByteShare& memory() { return m_memory; }

 private:
  using Parser = LimitedParser<true>;

  void beginRequest();
  boost::beast::error_code parse(Parser& parser);
  Awaitable<boost::beast::error_code> readMore(const Parser& parser);
  Awaitable<std::optional<HttpResponse>> check(const HttpBodyCheck& bodyCheck, const Parser& parser);
  Awaitable<bool> hold(std::uint64_t bytes);
  bool isLarge(const Parser& parser) const;
  std::uint64_t heldBytes(const Parser& parser) const;
  Time readDeadline(const Parser& parser);

  const HttpLimits& m_limits;
  std::shared_ptr<ConnectionPlaces> m_places;
  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
  ByteShare m_memory;
  std::string m_peer;
  std::unique_ptr<ConnectionPlaces::Place> m_place;
  Time m_waitsSince{};              ///< when the connection began to wait for a request
  std::optional<Time> m_headBegan;  ///< when the first byte of the present request was read
  std::optional<Time> m_bodyBegan;  ///< when its header was complete
};

}  // namespace courseloom
