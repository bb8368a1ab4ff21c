// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of LeaderSpeed and of transfers of leadership. A leader on a slow instance answers its peers in time to stay
// leader, while each commit waits for it.

#include "Courseloom/src/Replication/LeaderSpeed.h"

#include <random>

#include "test/ReplicaCluster.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

constexpr Duration Tick = milliseconds(30);

/** Feeds delays to a leader of three peers, tick by tick. */
class SpeedRun {
 public:
  explicit SpeedRun(std::uint64_t seed) : m_random(seed) { m_speed.lead(m_now); }
  /** Runs for a time. \param ownMs, peerMs mean delays; each measurement is off by up to half \returns the successors
   * that were chosen */
  std::vector<ReplicaId> run(Duration length, double ownMs, double peerMs, bool changesMembers = false) {
    std::vector<ReplicaId> chosen;
    for (const Time end = m_now + length; m_now < end; m_now += Tick) {
      for (const ReplicaId peer : peers) m_speed.recordPeer(peer, draw(peer == fastest ? peerMs / 2 : peerMs), m_now);
      m_speed.recordOwn(draw(ownMs), m_now);
      const std::optional<ReplicaId> successor = m_speed.chooseSuccessor(m_now, changesMembers);
      if (successor) chosen.push_back(*successor);
    }
    return chosen;
  }
  std::vector<ReplicaId> peers = {2, 3, 4};
  ReplicaId fastest = 3;

 private:
  Duration draw(double meanMs) {
    const double ms = std::uniform_real_distribution<double>(0.5, 1.5)(m_random) * meanMs;
    return Duration(static_cast<Duration::rep>(ms * 1000));
  }
  std::mt19937_64 m_random;
  Time m_now = Time(milliseconds(100000));
  LeaderSpeed m_speed;
};

}  // namespace

// Guards against commits that wait for a slow leader for good, and against transfers while its delay is usual.
Test(leader_speed, a_leader_that_is_much_slower_than_its_peers_hands_over_to_the_fastest) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SpeedRun speed(seed);
    cr_assert(speed.run(milliseconds(40000), 8.0, 6.0).empty(), "seed %lu", seed);
    const std::vector<ReplicaId> chosen = speed.run(milliseconds(10000), 200.0, 6.0);
    cr_assert_eq(chosen.size(), 1, "seed %lu: %zu transfers", seed, chosen.size());
    cr_assert_eq(chosen.front(), 3, "seed %lu", seed);
  }
}

// Under a load that slows all replicas alike, a transfer would only add an election.
Test(leader_speed, no_transfer_if_all_replicas_are_slow) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SpeedRun speed(seed);
    cr_assert(speed.run(milliseconds(60000), 200.0, 150.0).empty(), "seed %lu", seed);
  }
}

// Guards against leadership that moves back and forth between slow replicas.
Test(leader_speed, transfers_are_limited_to_one_per_interval) {
  SpeedRun speed(1);
  speed.run(milliseconds(31000), 6.0, 6.0);
  cr_assert_eq(speed.run(milliseconds(29000), 300.0, 6.0).size(), 1);
}

// Guards against a transfer, which interrupts commits, for a delay that ends by itself.
Test(leader_speed, a_short_stall_is_no_reason_for_a_transfer) {
  SpeedRun speed(1);
  speed.run(milliseconds(31000), 6.0, 6.0);
  for (int i = 0; i < 10; ++i) {
    cr_assert(speed.run(milliseconds(2000), 300.0, 6.0).empty());
    cr_assert(speed.run(milliseconds(1000), 4.0, 6.0).empty());
  }
}

// A transfer must not interrupt a membership change that is not committed yet.
Test(leader_speed, no_transfer_during_a_membership_change) {
  SpeedRun speed(1);
  speed.run(milliseconds(31000), 6.0, 6.0);
  cr_assert(speed.run(milliseconds(10000), 300.0, 6.0, true).empty());
  cr_assert_eq(speed.run(milliseconds(1000), 300.0, 6.0).size(), 1);
}

// A peer that has failed reports nothing more, and must not be chosen for its last report.
Test(leader_speed, a_peer_without_recent_reports_is_not_chosen) {
  SpeedRun speed(1);
  speed.run(milliseconds(31000), 6.0, 6.0);
  speed.peers = {2, 4};
  const std::vector<ReplicaId> chosen = speed.run(milliseconds(10000), 300.0, 6.0);
  cr_assert_eq(chosen.size(), 1);
  cr_assert_neq(chosen.front(), 3);
  SpeedRun alone(1);
  alone.peers = {2};
  cr_assert(alone.run(milliseconds(60000), 300.0, 6.0).empty(), "with one peer it is unknown which of the two is slow");
}

// The successor may fail while it is being elected. The cluster must then elect another leader and lose nothing.
Test(leader_speed, a_transfer_to_a_replica_that_fails_leaves_the_cluster_with_a_leader) {
  ClusterFaults none{0.0, 0.0, false, false, false, false, false};
  ReplicaCluster cluster(5, 7, none);
  cluster.advance(milliseconds(3000));
  const int first = cluster.leader();
  cr_assert_geq(first, 0);
  cluster.propose();
  cluster.advance(milliseconds(200));
  const std::size_t successor = first == 0 ? 1 : 0;
  cluster.handOver(static_cast<std::size_t>(first), successor);
  cluster.crash(successor);
  cluster.advance(milliseconds(4000));
  cr_assert_geq(cluster.leader(), 0, "no leader after an interrupted transfer");
  cr_assert(cluster.propose());
  cluster.restart(successor);
  cluster.healAndCheck();
  cr_assert(cluster.violation().empty(), "%s", cluster.violation().c_str());
}

// Guards against a transfer that another replica wins.
Test(leader_speed, a_transfer_reaches_the_chosen_replica) {
  ClusterFaults none{0.0, 0.0, false, false, false, false, false};
  ReplicaCluster cluster(5, 8, none);
  cluster.advance(milliseconds(3000));
  const int first = cluster.leader();
  cr_assert_geq(first, 0);
  const std::size_t successor = first == 4 ? 3 : 4;
  cluster.handOver(static_cast<std::size_t>(first), successor);
  cluster.advance(milliseconds(1000));
  cr_assert_eq(cluster.leader(), static_cast<int>(successor));
}
