// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Assignment of relays to nodes.

#include "Courseloom/src/Membership/RelayDirectory.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "test/main.h"

using namespace courseloom;

namespace {

constexpr std::uint32_t Relays = 240;
constexpr unsigned Halls = 5;
constexpr std::size_t RelaysPerNode = 4;

std::string hallOf(std::uint32_t relay) { return "hall-" + std::to_string(relay % Halls); }

RelayDirectory directory(std::uint32_t without = 0) {
  std::vector<RelayAgent> relays;
  for (std::uint32_t number = 1; number <= Relays; ++number) {
    if (number != without) relays.push_back({number, hallOf(number)});
  }
  return RelayDirectory(relays);
}

}  // namespace

// Guards against giving all nodes the same few relays: one relay had 425 descriptors while 60 nodes were cut off.
Test(relay_directory, nodes_that_are_cut_off_spread_over_the_relays) {
  RelayDirectory relays = directory();
  std::map<std::uint32_t, unsigned> callers;
  for (int node = 0; node < 120; ++node)
    ++callers[relays.relaysFor("side-" + std::to_string(node), RelaysPerNode).front()];
  unsigned most = 0;
  for (const auto& [relay, count] : callers) most = std::max(most, count);
  cr_assert_leq(most, 5, "one relay is the first choice of %u nodes of 120", most);
}

Test(relay_directory, a_node_gets_relays_in_different_halls) {
  for (int node = 0; node < 50; ++node) {
    const std::vector<std::uint32_t> assigned = directory().relaysFor("node-" + std::to_string(node), RelaysPerNode);
    std::set<std::string> halls;
    for (const std::uint32_t relay : assigned) halls.insert(hallOf(relay));
    cr_assert_eq(assigned.size(), RelaysPerNode);
    cr_assert_eq(halls.size(), RelaysPerNode);
  }
}

// The loss of a relay must not move the callers of other relays, since each move costs a new connection.
Test(relay_directory, the_loss_of_a_relay_changes_only_the_nodes_that_had_it) {
  RelayDirectory before = directory();
  RelayDirectory after = directory(7);
  for (int node = 0; node < 200; ++node) {
    const std::string name = "node-" + std::to_string(node);
    const std::vector<std::uint32_t> assigned = before.relaysFor(name, RelaysPerNode);
    const bool hadIt = std::find(assigned.begin(), assigned.end(), 7) != assigned.end();
    if (!hadIt) cr_assert(assigned == after.relaysFor(name, RelaysPerNode));
  }
}

Test(relay_directory, with_fewer_halls_than_relays_wanted_halls_are_used_again) {
  std::vector<RelayAgent> relays;
  for (std::uint32_t number = 1; number <= 10; ++number) relays.push_back({number, "hall"});
  const std::vector<std::uint32_t> assigned = RelayDirectory(relays).relaysFor("node", RelaysPerNode);
  cr_assert_eq(std::set<std::uint32_t>(assigned.begin(), assigned.end()).size(), RelaysPerNode);
  cr_assert(RelayDirectory().relaysFor("node", RelaysPerNode).empty());
}

// An agent may report before its target has reported its hall.
Test(relay_directory, a_relay_counts_in_the_hall_that_it_reported_last) {
  RelayDirectory relays({{1, ""}, {2, "hall-1"}, {3, "hall-1"}});
  relays.relaysFor("node", 2);
  relays.update({{1, "hall-2"}, {2, "hall-1"}, {3, "hall-1"}});
  const std::vector<std::uint32_t> assigned = relays.relaysFor("node", 2);
  cr_assert_eq(assigned.size(), 2);
  cr_assert(std::find(assigned.begin(), assigned.end(), 1) != assigned.end(), "both relays are of one hall");
  cr_assert(relays.relaysFor("node", 3).size() == 3);
}

// Guards against scoring all relays for each answer to a report, which makes the work grow with the square of the
// fleet.
Test(relay_directory, an_answer_scores_only_relays_added_since_the_last_one) {
  RelayDirectory relays = directory();
  relays.relaysFor("node", RelaysPerNode);
  const std::uint64_t first = relays.scored();
  for (int answer = 0; answer < 100; ++answer) relays.relaysFor("node", RelaysPerNode);
  cr_assert_eq(relays.scored(), first);
  std::vector<RelayAgent> more;
  for (std::uint32_t number = 1; number <= Relays + 3; ++number) more.push_back({number, hallOf(number)});
  relays.update(more);
  relays.relaysFor("node", RelaysPerNode);
  cr_assert_eq(relays.scored(), first + 3);
}

Test(relay_directory, cached_relays_equal_those_computed_anew) {
  std::mt19937 random(1);
  std::vector<bool> present(Relays + 1, false);
  RelayDirectory cached;
  for (int change = 0; change < 300; ++change) {
    for (int i = 0; i < 4; ++i) present[1 + random() % Relays].flip();
    if (change % 50 == 49) present.assign(Relays + 1, false);
    std::vector<RelayAgent> relays;
    for (std::uint32_t number = 1; number <= Relays; ++number) {
      if (present[number]) relays.push_back({number, hallOf(number)});
    }
    cached.update(relays);
    for (const char* node : {"one", "two", "three"}) {
      cr_assert(cached.relaysFor(node, RelaysPerNode) == RelayDirectory(relays).relaysFor(node, RelaysPerNode),
                "change %d", change);
    }
  }
}
