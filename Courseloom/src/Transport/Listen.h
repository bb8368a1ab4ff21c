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
 * \brief An IP number and a port.
 */
struct Endpoint {
  std::string address;
  unsigned port = 0;
};

/** Takes an endpoint apart that the settings' check has passed. \param text IP number, colon, port */
Endpoint splitEndpoint(const std::string& text);
/** Opens, binds and listens. \returns the port in use, which the system picks where `port` is 0 */
Result<unsigned> listenOn(boost::asio::ip::tcp::acceptor& acceptor, const std::string& address, unsigned port);
/** Makes a connection end when what it sent stays unanswered for a while, so that a silent cut does not hold it. */
void limitSilence(int socket);
/** Waits a moment after a failed accept (no file descriptors left, say), so that the loop does not spin. */
boost::asio::awaitable<void> pauseAccept(boost::asio::io_context& io);

}  // namespace courseloom
