// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Which relays which nodes are told of.

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
  RelayDirectory relays = directory();
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
  RelayDirectory before = directory();
  RelayDirectory after = directory(7);
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

// An agent reports before its target has told its hall.
Test(relay_directory, a_relay_counts_in_the_hall_that_it_named_last) {
  RelayDirectory relays({{1, ""}, {2, "hall-1"}, {3, "hall-1"}});
  relays.relaysFor("node", 2);
  relays.update({{1, "hall-2"}, {2, "hall-1"}, {3, "hall-1"}});
  const std::vector<std::uint32_t> named = relays.relaysFor("node", 2);
  cr_assert_eq(named.size(), 2);
  cr_assert(std::find(named.begin(), named.end(), 1) != named.end(), "both relays are of one hall");
  cr_assert(relays.relaysFor("node", 3).size() == 3);
}

// Each answer to each report scored all relays, so that the work grew with the square of the fleet.
Test(relay_directory, an_answer_scores_only_relays_that_have_come_since) {
  RelayDirectory relays = directory();
  relays.relaysFor("node", Named);
  const std::uint64_t first = relays.scored();
  for (int answer = 0; answer < 100; ++answer) relays.relaysFor("node", Named);
  cr_assert_eq(relays.scored(), first);
  std::vector<RelayAgent> more;
  for (std::uint32_t number = 1; number <= Relays + 3; ++number) more.push_back({number, hallOf(number)});
  relays.update(more);
  relays.relaysFor("node", Named);
  cr_assert_eq(relays.scored(), first + 3);
}

Test(relay_directory, what_was_kept_is_what_would_be_worked_out_anew) {
  std::mt19937 random(1);
  std::vector<bool> there(Relays + 1, false);
  RelayDirectory kept;
  for (int change = 0; change < 300; ++change) {
    for (int i = 0; i < 4; ++i) there[1 + random() % Relays].flip();
    if (change % 50 == 49) there.assign(Relays + 1, false);
    std::vector<RelayAgent> relays;
    for (std::uint32_t number = 1; number <= Relays; ++number) {
      if (there[number]) relays.push_back({number, hallOf(number)});
    }
    kept.update(relays);
    for (const char* node : {"one", "two", "three"}) {
      cr_assert(kept.relaysFor(node, Named) == RelayDirectory(relays).relaysFor(node, Named), "change %d", change);
    }
  }
}
