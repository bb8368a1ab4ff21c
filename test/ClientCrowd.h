// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <sys/types.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>
#include <vector>

#include "Courseloom/src/Transport/HttpServer.h"

namespace courseloom::test {

/** \class ClientScript
 * \brief What one client sends on its connection, in this order.
 */
struct ClientScript {
  std::string begin = {};
  std::string repeated = {};      ///< sent again and again
  std::size_t repeatedBytes = 0;  ///< bytes of `repeated` in all
  std::string end = {};
  std::size_t pieceBytes = 64U * 1024;  ///< bytes that are sent at a time
  Duration pause{};                     ///< between two pieces
  bool reads = true;                    ///< whether it reads what it is sent
  bool returns = false;                 ///< whether it connects again and begins anew once its connection is closed
};

/** \class ClientCrowd
 * \brief Clients that send bytes of any kind to one endpoint, all at the same time, on a thread of their own.
 *
 * A client that has sent everything keeps its connection open until the server or the destructor closes it.
 */
class ClientCrowd {
 public:
  ClientCrowd(const std::string& endpoint, std::vector<ClientScript> clients);
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  /** Waits until no client has sent or received anything for some time, or all have been closed, or until the limit. */
  void awaitQuiet(Duration limit = milliseconds(20000));
  /** \returns the number of connections that the server has closed. */
  std::size_t closed() const { return m_closed.load(); }

 private:
  struct Connection;
  Awaitable<void> play(const ClientScript& script);
  Awaitable<void> sendScript(Connection& connection, const ClientScript& script);
  Awaitable<void> sendText(Connection& connection, const std::string& text, const ClientScript& script);

  boost::asio::io_context m_io;
  boost::asio::ip::tcp::endpoint m_endpoint;
  std::vector<ClientScript> m_clients;
  std::atomic<std::uint64_t> m_progress{0};  ///< number of pieces that were sent or received
  std::atomic<std::size_t> m_closed{0};
  std::thread m_thread;
};

/** \class ProcessUsage
 * \brief What a process of a test takes.
 */
struct ProcessUsage {
  double peakMb = 0.0;       ///< largest resident memory since its start
  double queuedMb = 0.0;     ///< bytes in the kernel that its connections have received or sent and nobody has read
  unsigned descriptors = 0;  ///< open now
};

/** \param address IPv4 address at which no other process listens */
ProcessUsage usageOf(pid_t process, const std::string& address);

}  // namespace courseloom::test
