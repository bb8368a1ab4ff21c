// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// What the replicas' protections are for: each proof fails with one of them switched off, and passes with it.

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

/** Replaces one follower's disk and waits until the others have dropped it. \returns its node */
std::size_t replaceFollower(ReplicaCluster& cluster) {
  const auto leader = static_cast<std::size_t>(cluster.leader());
  const std::size_t follower = (leader + 1) % 3;
  cluster.wipe(follower);
  cluster.restart(follower);
  cluster.advance(milliseconds(500));
  return follower;
}

}  // namespace

Test(replica_proofs, a_wiped_disk_that_votes_overwrites_what_was_committed, .signal = SIGABRT) {
  ReplicaMechanisms mechanisms;
  mechanisms.diskIdentity = false;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    ReplicaCluster cluster(3, seed, {}, mechanisms);
    cluster.run(Steps);
    cluster.healAndCheck();
    // Either the checker sees it, or the replica itself stops before it overwrites a committed entry.
    if (!cluster.violation().empty()) std::abort();
  }
}

Test(replica_proofs, a_wiped_disk_rejoins_by_itself) {
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

Test(replica_proofs, a_second_loss_after_the_repair_loses_nothing) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    ReplicaCluster cluster(3, seed, {0, 0, false, false, false, false, false});
    cluster.advance(milliseconds(2000));
    commitSome(cluster, 30);
    // The new disk cannot be reached, so redundancy is not restored when the second disk is lost.
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

Test(replica_proofs, a_leader_cut_off_in_silence_stops_reading_and_steps_down) {
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

/** Commits beside disks whose syncs take 1.9 s each. \returns whether the leader stayed leader all the time */
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

// Entries refused requests as not fresh beside syncs of 0.4 to 1.9 s: followers answered heartbeats only after them.
Test(replica_proofs, followers_with_slow_disks_leave_the_leader_its_lease) {
  cr_assert(leadsBesideSlowDisks(SlowDisks::Followers, {}));
  ReplicaMechanisms silent;
  silent.contactWhileStoring = false;
  cr_assert(!leadsBesideSlowDisks(SlowDisks::Followers, silent));
}

Test(replica_proofs, a_leader_with_a_slow_disk_keeps_its_lease) {
  cr_assert(leadsBesideSlowDisks(SlowDisks::Leader, {}));
  cr_assert(leadsBesideSlowDisks(SlowDisks::All, {}), "one machine's disks are slow together");
}

Test(replica_proofs, a_standby_takes_the_place_of_a_silent_voter_which_follows_when_it_returns) {
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

Test(replica_proofs, a_replica_gone_for_good_is_forgotten_and_may_return) {
  ReplicaCluster cluster(4, 5, {0, 0, false, false, false, false, false}, {}, {1, milliseconds(200), 3});
  cluster.advance(milliseconds(2000));
  const auto leader = static_cast<std::size_t>(cluster.leader());
  const std::size_t gone = (leader + 1) % 3;
  cluster.cut(gone, true);
  cluster.advance(milliseconds(4000));
  commitSome(cluster, 5);
  cr_assert_eq(cluster.replica(leader)->members().members_size(), 3);
}
