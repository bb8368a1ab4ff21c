// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Which connection loses its place when there are too many.

#include "Courseloom/src/Transport/ConnectionPlaces.h"

#include <string>
#include <vector>

#include "test/main.h"

using namespace courseloom;

namespace {

using State = ConnectionPlaces::State;

/** Connections that are named by letters. */
struct Connections {
  explicit Connections(std::size_t limit) : places(std::make_shared<ConnectionPlaces>(limit)) {}
  std::unique_ptr<ConnectionPlaces::Place> take(char name) {
    return places->take([this, name] { closed += name; });
  }
  std::shared_ptr<ConnectionPlaces> places;
  std::string closed;
};

}  // namespace

Test(connection_places, the_one_that_has_waited_longest_is_closed) {
  Connections connections(2);
  const auto a = connections.take('a');
  const auto b = connections.take('b');
  const auto c = connections.take('c');
  cr_assert(c != nullptr);
  cr_assert_eq(connections.closed, "a");
  const auto d = connections.take('d');
  cr_assert_eq(connections.closed, "ab");
}

Test(connection_places, one_that_is_kept_open_without_a_call_goes_first) {
  Connections connections(2);
  const auto a = connections.take('a');
  const auto b = connections.take('b');
  cr_assert(b->wait(State::Server));
  cr_assert(b->wait(State::KeptOpen));
  const auto c = connections.take('c');
  cr_assert_eq(connections.closed, "b");
}

Test(connection_places, a_call_that_is_served_keeps_its_place) {
  Connections connections(2);
  const auto a = connections.take('a');
  const auto b = connections.take('b');
  cr_assert(a->wait(State::Server));
  cr_assert(b->wait(State::Server));
  cr_assert(connections.take('c') == nullptr);
  cr_assert(connections.closed.empty());
}

// A call that began after the place was lost would be cut while it runs.
Test(connection_places, a_connection_without_its_place_serves_no_call) {
  Connections connections(1);
  const auto a = connections.take('a');
  const auto b = connections.take('b');
  cr_assert_not(a->wait(State::Server));
  cr_assert(b->wait(State::Server));
}

Test(connection_places, a_place_is_given_back) {
  Connections connections(1);
  connections.take('a').reset();
  const auto b = connections.take('b');
  cr_assert(b != nullptr);
  cr_assert(connections.closed.empty());
}

Test(connection_places, places_outlive_their_server) {
  std::unique_ptr<ConnectionPlaces::Place> place;
  {
    Connections connections(1);
    place = connections.take('a');
  }
  cr_assert(place->wait(State::Server));
}

// Only a connection whose request or answer is incomplete holds memory.
Test(connection_places, memory_is_freed_by_the_longest_incomplete_request) {
  Connections connections(3);
  const auto a = connections.take('a');
  const auto b = connections.take('b');
  cr_assert(a->wait(State::Server));
  cr_assert(a->wait(State::KeptOpen));
  cr_assert(connections.places->closeLongestIncomplete());
  cr_assert_eq(connections.closed, "b");
  cr_assert_not(connections.places->closeLongestIncomplete());
}
