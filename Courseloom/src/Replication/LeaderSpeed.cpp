// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Replication/LeaderSpeed.h"

#include <algorithm>
#include <vector>

namespace courseloom {

namespace internal {
namespace {

/** Share of the factor below which a slow leader counts as recovered. The gap keeps a delay near the limit from
 * restarting the time for which the leader must have been slow. */
constexpr double RecoveredShare = 0.5;
/** With a single peer it is unknown whether the leader is slow or the peer is fast. */
constexpr std::size_t FewestPeers = 2;

double median_ms(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace
}  // namespace internal

void LeaderSpeed::lead(Time now) {
  m_peers.clear();
  m_slowSince.reset();
  m_lastTransfer = now;
}

void LeaderSpeed::recordOwn(Duration delay, Time now) {
  m_own = delay;
  updateSlow(now);
}

void LeaderSpeed::recordPeer(ReplicaId peer, Duration delay, Time now) { m_peers[peer] = {delay, now}; }

std::map<ReplicaId, LeaderSpeed::Report> LeaderSpeed::recentPeers(Time now) const {
  std::map<ReplicaId, Report> recent;
  for (const auto& [peer, report] : m_peers) {
    if (now <= report.at + m_options.staleAfter) recent.emplace(peer, report);
  }
  return recent;
}

void LeaderSpeed::updateSlow(Time now) {
  const std::map<ReplicaId, Report> peers = recentPeers(now);
  if (peers.size() < internal::FewestPeers || m_own < m_options.acceptable) return m_slowSince.reset();
  std::vector<double> delays;
  for (const auto& [peer, report] : peers) delays.push_back(toMilliseconds(report.delay));
  const double limit = m_options.factor * internal::median_ms(delays);
  const double own = toMilliseconds(m_own);
  if (own < internal::RecoveredShare * limit) return m_slowSince.reset();
  if (own >= limit && !m_slowSince) m_slowSince = now;
}

std::optional<ReplicaId> LeaderSpeed::chooseSuccessor(Time now, bool changesMembers) {
  updateSlow(now);
  const bool due = m_slowSince && now >= *m_slowSince + m_options.after && now >= m_lastTransfer + m_options.interval;
  if (!due || changesMembers) return std::nullopt;
  const std::map<ReplicaId, Report> peers = recentPeers(now);
  const auto fastest = std::min_element(peers.begin(), peers.end(),
                                        [](const auto& a, const auto& b) { return a.second.delay < b.second.delay; });
  if (fastest == peers.end()) return std::nullopt;
  m_lastTransfer = now;
  return fastest->first;
}

}  // namespace courseloom
