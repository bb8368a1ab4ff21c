// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "Courseloom/src/Core/Failure.h"

namespace courseloom {

/** \class Endpoint
 * \brief An IP address and a port.
 */
struct Endpoint {
  std::string address;
  unsigned port = 0;
};

/** Splits an endpoint that the check of the settings has accepted. \param text IP address, colon, port */
Endpoint splitEndpoint(const std::string& text);
/** Opens and binds an acceptor and listens. \param port port, or 0 for a free one \param bufferBytes size of the
 * kernel's buffers of each connection, each way; 0 is the system's default \returns the port in use */
Result<unsigned> listenOn(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address, unsigned port,
                          int bufferBytes = 0);
/** Makes the kernel close a connection whose sent data stays unacknowledged for 2 s (TCP_USER_TIMEOUT), so that a
 * network partition that drops packets silently does not keep it open. */
void setUserTimeout(int socket);
/** Waits 20 ms after a failed accept, for instance when no file descriptors are left, so that the accept loop does not
 * spin. */
boost::asio::awaitable<void> pauseAccept(boost::asio::io_context& io);

}  // namespace courseloom
