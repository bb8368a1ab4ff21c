// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <vector>

namespace courseloom::test {

/** Queries the kernel for the socket at one end of an open TCP connection on this machine.
 *
 * A sock_diag query by both addresses and ports takes the same time however many closed connections the kernel keeps.
 * Reading /proc/net/tcp took 1.6 s with 131,000 of them (one reading, on a loaded machine); a proxy that reads it for
 * each caller cannot answer in time.
 * \param local the end that is queried \param remote its peer \returns inode of the socket, or 0 if there is none
 */
std::uint32_t inodeOfConnection(const boost::asio::ip::tcp::endpoint& local,
                                const boost::asio::ip::tcp::endpoint& remote);
/** \returns which of the given process ids owns the local end of a connection; 0 if none does. */
int ownerOfConnection(const boost::asio::ip::tcp::endpoint& local, const boost::asio::ip::tcp::endpoint& remote,
                      const std::vector<int>& pids);

}  // namespace courseloom::test
