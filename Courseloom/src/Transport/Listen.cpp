// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Transport/Listen.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace courseloom {

namespace asio = boost::asio;

Endpoint splitEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  return {text.substr(0, colon), static_cast<unsigned>(std::stoul(text.substr(colon + 1)))};
}

namespace internal {
namespace {

/** Sets the size of the buffers of the connections that an acceptor will accept; a peer learns the size of its window
 * when it connects. */
void set_buffers(asio::ip::tcp::acceptor& acceptor, int bytes) {
  boost::system::error_code ignored;
  acceptor.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
  acceptor.set_option(asio::socket_base::send_buffer_size(bytes), ignored);
}

}  // namespace
}  // namespace internal

Result<unsigned> listenOn(asio::ip::tcp::acceptor& acceptor, const std::string& address, unsigned port,
                          int bufferBytes) {
  const std::string peer = address + ":" + std::to_string(port);
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address, error);
  const asio::ip::tcp::endpoint endpoint(ip, static_cast<std::uint16_t>(port));
  if (!error) acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error && bufferBytes > 0) internal::set_buffers(acceptor, bufferBytes);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) return fail(Failure{FailureCode::Internal, Ran::No, "listen", peer, error.message(), 0});
  return acceptor.local_endpoint().port();
}

void setUserTimeout(int socket) {
  constexpr unsigned UserTimeoutMs = 2000;
  // If the option cannot be set, the deadlines of the calls still detect a broken connection.
  ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMs, sizeof(UserTimeoutMs));
}

boost::asio::awaitable<void> pauseAccept(asio::io_context& io) {
  asio::steady_timer timer(io, std::chrono::milliseconds(20));
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

}  // namespace courseloom
