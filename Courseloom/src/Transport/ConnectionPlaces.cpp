// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Transport/ConnectionPlaces.h"

#include <utility>

namespace courseloom {

ConnectionPlaces::Place::~Place() {
  const std::lock_guard lock(m_places->m_mutex);
  m_places->leave(*this);
}

bool ConnectionPlaces::Place::wait(State state) {
  const std::lock_guard lock(m_places->m_mutex);
  if (!m_taken) return false;
  m_places->leave(*this);
  m_state = state;
  std::list<Place*>& list = m_places->listOf(state);
  m_position = list.insert(list.end(), this);
  m_taken = true;
  return true;
}

std::unique_ptr<ConnectionPlaces::Place> ConnectionPlaces::take(std::function<void()> close) {
  auto place = std::make_unique<Place>(shared_from_this(), std::move(close));
  std::function<void()> closeOther;
  {
    const std::lock_guard lock(m_mutex);
    if (m_keptOpen.size() + m_peer.size() + m_server.size() >= m_limit) {
      closeOther = removeFirst(m_keptOpen.empty() ? m_peer : m_keptOpen);
      if (!closeOther) return nullptr;
    }
    place->m_position = m_peer.insert(m_peer.end(), place.get());
    place->m_taken = true;
  }
  if (closeOther) closeOther();
  return place;
}

bool ConnectionPlaces::closeLongestIncomplete() {
  std::function<void()> closeOther;
  {
    const std::lock_guard lock(m_mutex);
    closeOther = removeFirst(m_peer);
  }
  if (!closeOther) return false;
  closeOther();
  return true;
}

std::list<ConnectionPlaces::Place*>& ConnectionPlaces::listOf(State state) {
  if (state == State::KeptOpen) return m_keptOpen;
  return state == State::Peer ? m_peer : m_server;
}

void ConnectionPlaces::leave(Place& place) {
  if (std::exchange(place.m_taken, false)) listOf(place.m_state).erase(place.m_position);
}

/** Takes the place of the connection that has waited longest in a list. \returns a function that closes it, to be
 * called without the lock; an empty one if the list is empty */
std::function<void()> ConnectionPlaces::removeFirst(std::list<Place*>& list) {
  if (list.empty()) return {};
  Place& place = *list.front();
  leave(place);
  return std::move(place.m_close);
}

}  // namespace courseloom
