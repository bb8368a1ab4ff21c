// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/PortClaim.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <random>
#include <string>

namespace courseloom::test {

namespace {

/** \returns whether all ports of a run can be bound at any address. A port cannot be bound while a program listens on
 * it or shortly afterwards. */
bool portsAreFree(unsigned base, unsigned ports) {
  boost::asio::io_context io;
  for (unsigned port = base; port < base + ports; ++port) {
    boost::asio::ip::tcp::acceptor acceptor(io);
    boost::system::error_code error;
    acceptor.open(boost::asio::ip::tcp::v4(), error);
    acceptor.bind({boost::asio::ip::tcp::v4(), static_cast<std::uint16_t>(port)}, error);
    if (error) return false;
  }
  return true;
}

}  // namespace

PortClaim::PortClaim(const PortRange& range) {
  std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<unsigned> run(0, range.runs - 1);
  while (m_base == 0) {
    const unsigned base = range.first + run(random) * range.portsPerRun;
    if (claim(base, range.portsPerRun)) m_base = base;
  }
}

PortClaim::~PortClaim() {
  if (m_lock >= 0) ::close(m_lock);
}

bool PortClaim::claim(unsigned base, unsigned ports) {
  const std::string name = "/tmp/courseloom-ports-" + std::to_string(base);
  m_lock = ::open(name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
  if (m_lock >= 0 && ::flock(m_lock, LOCK_EX | LOCK_NB) == 0 && portsAreFree(base, ports)) return true;
  if (m_lock >= 0) ::close(m_lock);
  m_lock = -1;
  return false;
}

}  // namespace courseloom::test
