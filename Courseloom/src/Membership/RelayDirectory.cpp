// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Membership/RelayDirectory.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace courseloom {

namespace internal {
namespace {

/** Keeps the best few of what is offered, in order. */
template <class Scored>
void keep_best(std::vector<Scored>& best, const Scored& relay, std::size_t most) {
  if (best.size() == most && !(relay < best.back())) return;
  best.insert(std::upper_bound(best.begin(), best.end(), relay), relay);
  if (best.size() > most) best.pop_back();
}

}  // namespace
}  // namespace internal

std::size_t RelayDirectory::hallNumber(const std::string& name) {
  const auto known = std::find(m_halls.begin(), m_halls.end(), name);
  const auto hall = static_cast<std::size_t>(known - m_halls.begin());
  if (known == m_halls.end()) m_halls.push_back(name);
  return hall;
}

void RelayDirectory::update(const std::vector<RelayAgent>& relays) {
  for (const RelayAgent& relay : relays) {
    const std::size_t hall = hallNumber(relay.dataHall);
    const auto [known, added] = m_places.try_emplace(relay.number, m_relays.size());
    if (!added && m_relays[known->second].hall == hall) continue;
    if (!added) m_relays[known->second].number = 0;
    known->second = m_relays.size();
    m_relays.push_back({relay.number, hall});
  }
  if (m_places.size() > relays.size()) dropGone(relays);
}

void RelayDirectory::dropGone(const std::vector<RelayAgent>& relays) {
  std::set<std::uint32_t> present;
  for (const RelayAgent& relay : relays) present.insert(relay.number);
  for (Relay& relay : m_relays) {
    if (relay.number == 0 || present.count(relay.number) > 0) continue;
    m_places.erase(relay.number);
    relay.number = 0;
  }
  if (m_relays.size() < 2 * m_places.size()) return;
  std::erase_if(m_relays, [](const Relay& relay) { return relay.number == 0; });
  for (std::size_t i = 0; i < m_relays.size(); ++i) m_places[m_relays[i].number] = i;
  m_choices.clear();
}

/** \returns whether all relays that a choice rests on are there. */
bool RelayDirectory::stands(const Choice& choice) const {
  const auto isThere = [this](const Scored& relay) { return relay.number == 0 || m_relays[relay.place].number != 0; };
  return std::all_of(choice.ofHall.begin(), choice.ofHall.end(), isThere) &&
         std::all_of(choice.best.begin(), choice.best.end(), isThere);
}

void RelayDirectory::bringUpToDate(Choice& choice, const std::string& asker) {
  choice.ofHall.resize(m_halls.size());
  const std::uint64_t seed = XXH64(asker.data(), asker.size(), 0);
  for (; choice.seen < m_relays.size(); ++choice.seen) {
    const Relay& relay = m_relays[choice.seen];
    if (relay.number == 0) continue;
    const Scored scored{XXH64(&relay.number, sizeof relay.number, seed), relay.number, choice.seen};
    ++m_scored;
    Scored& first = choice.ofHall[relay.hall];
    if (first.number == 0 || scored < first) first = scored;
    internal::keep_best(choice.best, scored, choice.most);
  }
}

std::vector<std::uint32_t> RelayDirectory::relaysFor(const std::string& asker, std::size_t most) {
  Choice& choice = m_choices[asker];
  if (choice.most != most || !stands(choice)) choice = Choice{most, 0, {}, {}};
  if (choice.seen < m_relays.size()) bringUpToDate(choice, asker);
  std::vector<Scored> ofHall = choice.ofHall;
  std::erase_if(ofHall, [](const Scored& relay) { return relay.number == 0; });
  std::sort(ofHall.begin(), ofHall.end());
  std::vector<std::uint32_t> chosen;
  for (const Scored& relay : ofHall) chosen.push_back(relay.number);
  for (const Scored& relay : choice.best) {
    if (std::find(chosen.begin(), chosen.end(), relay.number) == chosen.end()) chosen.push_back(relay.number);
  }
  if (chosen.size() > most) chosen.resize(most);
  return chosen;
}

}  // namespace courseloom
