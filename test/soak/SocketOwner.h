// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <vector>

namespace courseloom::test {

/** Asks the kernel for one end of an open TCP connection on this machine.
 *
 * One question by its four numbers costs the same however many closed connections the kernel remembers; to read
 * /proc/net/tcp took 1.6 s beside 131,000 of them (one reading, machine loaded), and a proxy that does so for each
 * caller answers nobody in time.
 * \param local the end that is asked for \param remote its other end \returns inode of its socket, or 0 if there is
 * none
 */
std::uint32_t inodeOfConnection(const boost::asio::ip::tcp::endpoint& local,
                                const boost::asio::ip::tcp::endpoint& remote);
/** \returns the process, of those given by id, that has the local end of a connection; 0 if none. */
int ownerOfConnection(const boost::asio::ip::tcp::endpoint& local, const boost::asio::ip::tcp::endpoint& remote,
                      const std::vector<int>& pids);

}  // namespace courseloom::test
