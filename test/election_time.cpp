// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Time without a leader after all replicas have lost power.

#include <algorithm>
#include <random>

#include "test/ReplicaCluster.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

/** Election timeout of the replicas of ReplicaCluster. */
constexpr Duration ElectionTimeout = milliseconds(300);
constexpr Duration Step = milliseconds(5);
constexpr ClusterFaults NoFaults{0.0, 0.0, false, false, false, false, false};

/** Stops all replicas of a cluster and starts them again within one election timeout of each other.
 * \returns the time from the last start until a leader serves reads, which needs a commit of its term */
Duration timeToLeader(std::size_t replicas, std::uint64_t seed) {
  ReplicaCluster cluster(replicas, seed, NoFaults);
  cluster.advance(10 * ElectionTimeout);
  for (std::size_t i = 0; i < replicas; ++i) cluster.crash(i);
  cluster.advance(10 * ElectionTimeout);
  std::mt19937_64 random(seed);
  std::vector<Duration> starts;
  for (std::size_t i = 0; i < replicas; ++i) {
    starts.emplace_back(std::uniform_int_distribution<Duration::rep>(0, ElectionTimeout.count())(random));
  }
  std::sort(starts.begin(), starts.end());
  Duration passed{};
  for (std::size_t i = 0; i < replicas; ++i) {
    cluster.advance(starts[i] - passed);
    passed = starts[i];
    cluster.restart(i);
  }
  Duration waited{};
  for (; cluster.leader() < 0 && waited < 20 * ElectionTimeout; waited += Step) cluster.advance(Step);
  return waited;
}

}  // namespace

// Guards against submissions that are lost in an outage of all replicas because the election takes too long: a voter
// refuses votes for one time-out after its start, and a pre-vote that comes earlier is only repeated after a random
// one.
Test(election_time, a_leader_is_elected_soon_after_all_replicas_have_started) {
  for (const std::size_t replicas : {3, 5}) {
    std::vector<Duration> times;
    for (std::uint64_t seed = firstSeed(); seed < firstSeed() + seedCount(200); ++seed) {
      times.push_back(timeToLeader(replicas, seed));
    }
    std::sort(times.begin(), times.end());
    const auto percentile = [&](std::size_t percent) {
      return static_cast<long>(toMilliseconds(times[(times.size() - 1) * percent / 100]));
    };
    std::fprintf(stderr, "%zu replicas: 50%% %ld ms, 90%% %ld ms, 99%% %ld ms, all %ld ms\n", replicas, percentile(50),
                 percentile(90), percentile(99), percentile(100));
    // One time-out in which no vote is granted, one for the first candidate.
    cr_assert_leq(percentile(90), 2 * toMilliseconds(ElectionTimeout));
  }
}
