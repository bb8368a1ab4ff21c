// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Which relays which nodes are told of.

#include "Courseloom/src/Membership/RelayDirectory.h"

#include <algorithm>
#include <map>
#include <set>

#include "test/main.h"

using namespace courseloom;

namespace {

constexpr std::uint32_t Relays = 240;
constexpr unsigned Halls = 5;
constexpr std::size_t Named = 4;

std::string hallOf(std::uint32_t relay) { return "hall-" + std::to_string(relay % Halls); }

RelayDirectory directory(std::uint32_t without = 0) {
  std::vector<RelayAgent> relays;
  for (std::uint32_t number = 1; number <= Relays; ++number) {
    if (number != without) relays.push_back({number, hallOf(number)});
  }
  return RelayDirectory(relays);
}

}  // namespace

// All to the same few: one relay bore 425 descriptors while 60 nodes were cut off.
Test(relay_directory, nodes_that_are_cut_off_spread_over_the_relays) {
  const RelayDirectory relays = directory();
  std::map<std::uint32_t, unsigned> callers;
  for (int node = 0; node < 120; ++node) ++callers[relays.relaysFor("side-" + std::to_string(node), Named).front()];
  unsigned most = 0;
  for (const auto& [relay, count] : callers) most = std::max(most, count);
  cr_assert_leq(most, 5, "one relay is the first choice of %u nodes of 120", most);
}

Test(relay_directory, a_node_is_told_of_relays_in_different_halls) {
  for (int node = 0; node < 50; ++node) {
    const std::vector<std::uint32_t> named = directory().relaysFor("node-" + std::to_string(node), Named);
    std::set<std::string> halls;
    for (const std::uint32_t relay : named) halls.insert(hallOf(relay));
    cr_assert_eq(named.size(), Named);
    cr_assert_eq(halls.size(), Named);
  }
}

// A relay that goes must not make all others' callers move: each move is a new connection.
Test(relay_directory, a_relay_that_goes_concerns_only_those_who_were_told_of_it) {
  const RelayDirectory before = directory();
  const RelayDirectory after = directory(7);
  for (int node = 0; node < 200; ++node) {
    const std::string name = "node-" + std::to_string(node);
    const std::vector<std::uint32_t> named = before.relaysFor(name, Named);
    const bool toldOfIt = std::find(named.begin(), named.end(), 7) != named.end();
    if (!toldOfIt) cr_assert(named == after.relaysFor(name, Named));
  }
}

Test(relay_directory, with_fewer_halls_than_wanted_the_rest_come_from_the_same) {
  std::vector<RelayAgent> relays;
  for (std::uint32_t number = 1; number <= 10; ++number) relays.push_back({number, "hall"});
  const std::vector<std::uint32_t> named = RelayDirectory(relays).relaysFor("node", Named);
  cr_assert_eq(std::set<std::uint32_t>(named.begin(), named.end()).size(), Named);
  cr_assert(RelayDirectory().relaysFor("node", Named).empty());
}
