// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/PortClaim.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <vector>

#include "test/main.h"

using namespace courseloom::test;

namespace {
constexpr PortRange Few{31600, 8, 4};
}

// If two deployments draw the same ports, all processes of one of them fail to listen.
Test(port_claim, concurrent_deployments_share_no_ports) {
  std::vector<std::unique_ptr<PortClaim>> claims;
  std::set<unsigned> bases;
  for (int i = 0; i < 4; ++i) bases.insert(claims.emplace_back(std::make_unique<PortClaim>(Few))->base());
  cr_assert_eq(bases.size(), 4);
}

Test(port_claim, ports_of_other_listening_programs_are_not_claimed) {
  constexpr PortRange Two{31700, 2, 4};
  boost::asio::io_context io;
  const boost::asio::ip::tcp::acceptor other(io, {boost::asio::ip::make_address("127.0.7.9"), 31702});
  for (int i = 0; i < 8; ++i) cr_assert_eq(PortClaim(Two).base(), 31704);
}
