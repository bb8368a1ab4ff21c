// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Proofs of the replicas' safety mechanisms: with a mechanism switched off its failure occurs, with it the check
// passes.

#include <csignal>

#include "test/ReplicaCluster.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

constexpr std::size_t Steps = 1500;

void commitSome(ReplicaCluster& cluster, int count) {
  for (int i = 0; i < count; ++i) {
    cluster.propose();
    cluster.advance(milliseconds(60));
  }
}

/** Replaces one follower's disk with an empty one and waits 500 ms. \returns its node */
std::size_t replaceFollower(ReplicaCluster& cluster) {
  const auto leader = static_cast<std::size_t>(cluster.leader());
  const std::size_t follower = (leader + 1) % 3;
  cluster.wipe(follower);
  cluster.restart(follower);
  cluster.advance(milliseconds(500));
  return follower;
}

}  // namespace

Test(replica_proofs, without_disk_identity_a_wiped_disk_overwrites_committed_entries, .signal = SIGABRT) {
  ReplicaMechanisms mechanisms;
  mechanisms.diskIdentity = false;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    ReplicaCluster cluster(3, seed, {}, mechanisms);
    cluster.run(Steps);
    cluster.healAndCheck();
    // Either the checker finds the violation, or the replica itself aborts before it overwrites a committed entry.
    if (!cluster.violation().empty()) std::abort();
  }
}

Test(replica_proofs, a_replica_with_a_wiped_disk_rejoins_without_an_operator) {
  ReplicaCluster cluster(3, 7, {0, 0, false, false, false, false, false});
  cluster.advance(milliseconds(2000));
  commitSome(cluster, 100);
  const std::size_t wiped = replaceFollower(cluster);
  commitSome(cluster, 20);
  cluster.advance(milliseconds(2000));
  cr_assert(cluster.violation().empty(), "%s", cluster.violation().c_str());
  cr_assert(cluster.replica(wiped)->isVoter(), "the new disk was not promoted");
  cr_assert_eq(cluster.missingOnDisk(wiped), 0);
}

Test(replica_proofs, commands_during_a_repair_are_on_both_remaining_disks) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    ReplicaCluster cluster(3, seed, {0, 0, false, false, false, false, false});
    cluster.advance(milliseconds(2000));
    commitSome(cluster, 30);
    // The new disk cannot be reached, so redundancy is not restored and each command has to be on both other disks.
    const auto leader = static_cast<std::size_t>(cluster.leader());
    const std::size_t first = (leader + 1) % 3;
    const std::size_t second = (leader + 2) % 3;
    cluster.wipe(first);
    cluster.restart(first);
    cluster.advance(milliseconds(30));
    cluster.cut(first, true);
    cluster.advance(milliseconds(500));
    commitSome(cluster, 10);
    const std::size_t acknowledged = cluster.acknowledged();
    cr_assert(acknowledged >= 30, "seed %lu: only %zu acknowledged", seed, acknowledged);
    cr_assert_eq(cluster.missingOnDisk(leader), 0, "seed %lu: the leader's disk misses commands", seed);
    cr_assert_eq(cluster.missingOnDisk(second), 0, "seed %lu: the other voter's disk misses commands", seed);
  }
}

Test(replica_proofs, a_leader_that_is_cut_off_stops_serving_reads_and_steps_down) {
  ReplicaCluster cluster(3, 3, {0, 0, false, false, false, false, false});
  cluster.advance(milliseconds(2000));
  commitSome(cluster, 5);
  const auto old = static_cast<std::size_t>(cluster.leader());
  cluster.cut(old, true);
  cluster.advance(milliseconds(290));
  cr_assert_not(cluster.replica(old)->canRead(cluster.now()), "the lease outlived the election timeout");
  cluster.advance(milliseconds(2000));
  cr_assert_not(cluster.replica(old)->isLeader());
  cr_assert(cluster.leader() >= 0 && static_cast<std::size_t>(cluster.leader()) != old);
}

namespace {

enum class SlowDisks { Followers, Leader, All };

/** Commits commands with slow disks, whose syncs take 1.9 s each. \returns whether the leader could serve reads all the
 * time */
bool leadsBesideSlowDisks(SlowDisks slow, const ReplicaMechanisms& mechanisms) {
  ReplicaCluster cluster(3, 11, {0, 0, false, false, false, false, false}, mechanisms);
  cluster.advance(milliseconds(2000));
  const int leader = cluster.leader();
  for (std::size_t node = 0; node < 3; ++node) {
    const bool leads = static_cast<int>(node) == leader;
    if (slow == SlowDisks::All || leads == (slow == SlowDisks::Leader)) cluster.slowDisk(node, milliseconds(1900));
  }
  bool reads = true;
  for (int i = 0; i < 100; ++i) {
    cluster.propose();
    cluster.advance(milliseconds(60));
    reads = reads && cluster.leader() == leader;
  }
  cr_assert(cluster.violation().empty(), "%s", cluster.violation().c_str());
  return reads;
}

}  // namespace

// Guards against followers that answer heartbeats only after their sync: with syncs of 0.4 to 1.9 s the leader lost its
// lease, and entries refused requests as not fresh.
Test(replica_proofs, a_leader_of_followers_with_slow_disks_keeps_its_lease) {
  cr_assert(leadsBesideSlowDisks(SlowDisks::Followers, {}));
  ReplicaMechanisms silent;
  silent.contactWhileStoring = false;
  cr_assert(!leadsBesideSlowDisks(SlowDisks::Followers, silent));
}

Test(replica_proofs, a_leader_with_a_slow_disk_keeps_its_lease) {
  cr_assert(leadsBesideSlowDisks(SlowDisks::Leader, {}));
  cr_assert(leadsBesideSlowDisks(SlowDisks::All, {}), "all disks of one machine may be slow together");
}

Test(replica_proofs, a_standby_replaces_a_silent_voter_which_follows_when_it_returns) {
  ReplicaCluster cluster(4, 5, {0, 0, false, false, false, false, false}, {}, {1, milliseconds(400), 3});
  cluster.advance(milliseconds(2000));
  commitSome(cluster, 10);
  cr_assert_not(cluster.replica(3)->isVoter(), "a standby was promoted beyond the wanted voters");
  cr_assert_eq(cluster.missingOnDisk(3), 0, "the standby does not follow");
  const auto leader = static_cast<std::size_t>(cluster.leader());
  const std::size_t silent = (leader + 1) % 3;
  cluster.cut(silent, true);
  cluster.advance(milliseconds(1000));
  commitSome(cluster, 10);
  cr_assert(cluster.replica(3)->isVoter(), "the standby did not take the place");
  cluster.cut(silent, false);
  cluster.advance(milliseconds(1000));
  cr_assert_not(cluster.replica(silent)->isVoter());
  cr_assert_eq(cluster.missingOnDisk(silent), 0, "the former voter does not follow");
  cr_assert_eq(cluster.replica(silent)->members().retired_disks_size(), 0, "a sound disk was retired");
}

Test(replica_proofs, a_replica_that_stays_unreachable_is_removed_from_the_members) {
  ReplicaCluster cluster(4, 5, {0, 0, false, false, false, false, false}, {}, {1, milliseconds(200), 3});
  cluster.advance(milliseconds(2000));
  const auto leader = static_cast<std::size_t>(cluster.leader());
  const std::size_t unreachable = (leader + 1) % 3;
  cluster.cut(unreachable, true);
  cluster.advance(milliseconds(4000));
  commitSome(cluster, 5);
  cr_assert_eq(cluster.replica(leader)->members().members_size(), 3);
}
