// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <vector>

namespace courseloom::test {

/** Returns the inode of the socket at one end of an open TCP connection on this machine, by asking the kernel.
 *
 * A sock_diag query by both addresses and ports takes the same time however many closed connections the kernel still
 * lists. Reading /proc/net/tcp took 1.6 s with 131,000 of them (one measurement, on a loaded machine): too slow for
 * FaultProxy, which looks up the process of each caller and then could not answer in time.
 * \param local address of that end \param remote address of its peer \returns inode of the socket, or 0 if there is
 * none
 */
std::uint32_t inodeOfConnection(const boost::asio::ip::tcp::endpoint& local,
                                const boost::asio::ip::tcp::endpoint& remote);
/** \returns which of the given process ids owns the local end of a connection; 0 if none does. */
int ownerOfConnection(const boost::asio::ip::tcp::endpoint& local, const boost::asio::ip::tcp::endpoint& remote,
                      const std::vector<int>& pids);

}  // namespace courseloom::test
