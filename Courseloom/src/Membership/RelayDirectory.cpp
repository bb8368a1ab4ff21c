// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Membership/RelayDirectory.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace courseloom {

namespace internal {
namespace {

/** Inserts a relay into a sorted list that keeps only the best `maxCount` relays. */
template <class Scored>
void keep_best(std::vector<Scored>& best, const Scored& relay, std::size_t maxCount) {
  if (best.size() == maxCount && !(relay < best.back())) return;
  best.insert(std::upper_bound(best.begin(), best.end(), relay), relay);
  if (best.size() > maxCount) best.pop_back();
}

}  // namespace
}  // namespace internal

std::size_t RelayDirectory::hallIndex(const std::string& name) {
  const auto known = std::find(m_halls.begin(), m_halls.end(), name);
  const auto hall = static_cast<std::size_t>(known - m_halls.begin());
  if (known == m_halls.end()) m_halls.push_back(name);
  return hall;
}

void RelayDirectory::update(const std::vector<RelayAgent>& relays) {
  for (const RelayAgent& relay : relays) {
    const std::size_t hall = hallIndex(relay.dataHall);
    const auto [known, added] = m_positions.try_emplace(relay.number, m_relays.size());
    if (!added && m_relays[known->second].hall == hall) continue;
    if (!added) m_relays[known->second].number = 0;
    known->second = m_relays.size();
    m_relays.push_back({relay.number, hall});
  }
  if (m_positions.size() > relays.size()) removeAbsent(relays);
}

void RelayDirectory::removeAbsent(const std::vector<RelayAgent>& relays) {
  std::set<std::uint32_t> present;
  for (const RelayAgent& relay : relays) present.insert(relay.number);
  for (Relay& relay : m_relays) {
    if (relay.number == 0 || present.count(relay.number) > 0) continue;
    m_positions.erase(relay.number);
    relay.number = 0;
  }
  if (m_relays.size() < 2 * m_positions.size()) return;
  std::erase_if(m_relays, [](const Relay& relay) { return relay.number == 0; });
  for (std::size_t i = 0; i < m_relays.size(); ++i) m_positions[m_relays[i].number] = i;
  m_choices.clear();
}

/** \returns whether all relays of a choice are still present. */
bool RelayDirectory::isValid(const Choice& choice) const {
  const auto isPresent = [this](const Scored& relay) {
    return relay.number == 0 || m_relays[relay.position].number != 0;
  };
  return std::all_of(choice.bestOfHall.begin(), choice.bestOfHall.end(), isPresent) &&
         std::all_of(choice.best.begin(), choice.best.end(), isPresent);
}

void RelayDirectory::scoreNewRelays(Choice& choice, const std::string& node) {
  choice.bestOfHall.resize(m_halls.size());
  const std::uint64_t seed = XXH64(node.data(), node.size(), 0);
  for (; choice.processed < m_relays.size(); ++choice.processed) {
    const Relay& relay = m_relays[choice.processed];
    if (relay.number == 0) continue;
    const Scored scored{XXH64(&relay.number, sizeof relay.number, seed), relay.number, choice.processed};
    ++m_scored;
    Scored& first = choice.bestOfHall[relay.hall];
    if (first.number == 0 || scored < first) first = scored;
    internal::keep_best(choice.best, scored, choice.maxCount);
  }
}

std::vector<std::uint32_t> RelayDirectory::relaysFor(const std::string& node, std::size_t maxCount) {
  Choice& choice = m_choices[node];
  if (choice.maxCount != maxCount || !isValid(choice)) choice = Choice{maxCount, 0, {}, {}};
  if (choice.processed < m_relays.size()) scoreNewRelays(choice, node);
  std::vector<Scored> bestOfHall = choice.bestOfHall;
  std::erase_if(bestOfHall, [](const Scored& relay) { return relay.number == 0; });
  std::sort(bestOfHall.begin(), bestOfHall.end());
  std::vector<std::uint32_t> chosen;
  for (const Scored& relay : bestOfHall) chosen.push_back(relay.number);
  for (const Scored& relay : choice.best) {
    if (std::find(chosen.begin(), chosen.end(), relay.number) == chosen.end()) chosen.push_back(relay.number);
  }
  if (chosen.size() > maxCount) chosen.resize(maxCount);
  return chosen;
}

}  // namespace courseloom
