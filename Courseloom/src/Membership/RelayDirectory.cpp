// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Membership/RelayDirectory.h"

#include <xxhash.h>

#include <algorithm>

namespace courseloom {

namespace internal {
namespace {

/** A relay's place in the order of one node; the highest score goes first. */
struct ScoredRelay {
  std::uint64_t score = 0;
  std::uint32_t number = 0;
  bool operator<(const ScoredRelay& other) const {
    return score != other.score ? score > other.score : number < other.number;
  }
};

/** Keeps the best few of what is offered, in order. */
void keep_best(std::vector<ScoredRelay>& best, const ScoredRelay& relay, std::size_t most) {
  if (best.size() == most && !(relay < best.back())) return;
  best.insert(std::upper_bound(best.begin(), best.end(), relay), relay);
  if (best.size() > most) best.pop_back();
}

}  // namespace
}  // namespace internal

RelayDirectory::RelayDirectory(const std::vector<RelayAgent>& relays) {
  m_relays.reserve(relays.size());
  for (const RelayAgent& relay : relays) {
    const auto known = std::find(m_halls.begin(), m_halls.end(), relay.dataHall);
    const auto hall = static_cast<std::size_t>(known - m_halls.begin());
    if (known == m_halls.end()) m_halls.push_back(relay.dataHall);
    m_relays.push_back({relay.number, hall});
  }
}

std::vector<std::uint32_t> RelayDirectory::relaysFor(const std::string& asker, std::size_t most) const {
  const std::uint64_t seed = XXH64(asker.data(), asker.size(), 0);
  std::vector<internal::ScoredRelay> ofHall(m_halls.size());
  std::vector<internal::ScoredRelay> best;
  for (const Relay& relay : m_relays) {
    const internal::ScoredRelay scored{XXH64(&relay.number, sizeof relay.number, seed), relay.number};
    internal::ScoredRelay& first = ofHall[relay.hall];
    if (first.number == 0 || scored < first) first = scored;
    internal::keep_best(best, scored, most);
  }
  std::sort(ofHall.begin(), ofHall.end());
  std::vector<std::uint32_t> chosen;
  for (const internal::ScoredRelay& relay : ofHall) chosen.push_back(relay.number);
  for (const internal::ScoredRelay& relay : best) {
    if (std::find(chosen.begin(), chosen.end(), relay.number) == chosen.end()) chosen.push_back(relay.number);
  }
  if (chosen.size() > most) chosen.resize(most);
  return chosen;
}

}  // namespace courseloom
