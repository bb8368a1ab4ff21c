// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <optional>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Replication/ReplicaTypes.h"

namespace courseloom {

/** \class LeaderSpeedOptions
 * \brief When a leader counts as slow, and how often it may hand over for that reason.
 */
struct LeaderSpeedOptions {
  double factor = 4.0;                       ///< multiple of its peers' median delay from which a leader is slow
  Duration after = milliseconds(3000);       ///< time for which it must have been slow
  Duration interval = milliseconds(30000);   ///< shortest time between two transfers, or from an election to a transfer
  Duration acceptable = milliseconds(20);    ///< a leader with a lower delay is not slow, whatever its peers' delays
  Duration staleAfter = milliseconds(1500);  ///< a peer without a report for this long does not count
};

/** \class LeaderSpeed
 * \brief Decides whether the leader hands over because its instance is much slower than those of its peers.
 *
 * Each replica measures a delay: how late its timers are and how long its disk syncs take. An instance with a throttled
 * processor or a slow disk stays alive, so no election replaces it, and every commit waits for it. The class has no
 * clock.
 */
class LeaderSpeed {
 public:
  explicit LeaderSpeed(LeaderSpeedOptions options = {}) : m_options(options) {}

  /** Begins to lead. Discards what is known of peers. */
  void lead(Time now);
  /** Records the leader's own delay. */
  void recordOwn(Duration delay, Time now);
  /** Records the delay that a peer has reported. */
  void recordPeer(ReplicaId peer, Duration delay, Time now);
  /** \returns whether the leader is slow now; false with fewer than two peers that have reported recently. */
  bool isSlow() const { return m_slowSince.has_value(); }
  /** \returns the peer to which the leader should hand over now, if any: the fastest one. No transfer is started again
   * within the interval. \param changesMembers whether a membership change is not committed yet */
  std::optional<ReplicaId> chooseSuccessor(Time now, bool changesMembers);

 private:
  struct Report {
    Duration delay{};
    Time at{};
  };
  std::map<ReplicaId, Report> recentPeers(Time now) const;
  void updateSlow(Time now);

  LeaderSpeedOptions m_options;
  std::map<ReplicaId, Report> m_peers;
  Duration m_own{};
  Time m_lastTransfer{};  ///< last transfer or election
  std::optional<Time> m_slowSince;
};

}  // namespace courseloom
