// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Seeded runs of the replicas with lost, delayed and duplicated messages, crashes, freezes, partitions, hand-overs of
// leadership and wiped disks.

#include "test/ReplicaCluster.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

constexpr std::size_t StepsPerSeed = 1500;

/** Runs seeds until the first violation. \returns the violation with its seed, or an empty string */
std::string firstViolation(std::size_t replicas, std::uint64_t seeds, ClusterFaults faults,
                           ReplicaMechanisms mechanisms, ClusterMembership membership = {}) {
  for (std::uint64_t seed = firstSeed(); seed < firstSeed() + seeds; ++seed) {
    ReplicaCluster cluster(replicas, seed, faults, mechanisms, membership);
    cluster.run(StepsPerSeed);
    cluster.healAndCheck();
    if (!cluster.violation().empty()) return "seed " + std::to_string(seed) + ": " + cluster.violation();
  }
  return {};
}

}  // namespace

Test(replica_seeded, three_replicas_violate_no_invariant) {
  const std::string violation = firstViolation(3, seedCount(120), {}, {});
  cr_assert(violation.empty(), "%s", violation.c_str());
}

Test(replica_seeded, five_replicas_violate_no_invariant) {
  const std::string violation = firstViolation(5, seedCount(40), {}, {});
  cr_assert(violation.empty(), "%s", violation.c_str());
}

Test(replica_seeded, replicas_with_standbys_violate_no_invariant) {
  const std::string three = firstViolation(5, seedCount(60), {}, {}, {2, milliseconds(700), 3});
  cr_assert(three.empty(), "%s", three.c_str());
  const std::string five = firstViolation(6, seedCount(40), {}, {}, {3, milliseconds(700), 5});
  cr_assert(five.empty(), "%s", five.c_str());
}

Test(replica_seeded, commands_are_acknowledged_and_disks_are_replaced) {
  std::size_t acknowledged = 0;
  std::size_t wipes = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ReplicaCluster cluster(3, seed, {}, {});
    cluster.run(StepsPerSeed);
    acknowledged += cluster.acknowledged();
    wipes += cluster.wipes();
  }
  cr_assert(acknowledged > 500, "only %zu commands were acknowledged", acknowledged);
  cr_assert(wipes > 10, "only %zu disks were wiped", wipes);
}
