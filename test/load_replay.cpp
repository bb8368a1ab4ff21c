// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The replay of loads itself, and that the mechanisms that are kept are worth something on the loads they answer.

#include "test/LoadReplay.h"

#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

ReplayPattern patternNamed(const std::string& name, std::uint64_t seed) {
  for (ReplayPattern& pattern : replayPatterns(seed)) {
    if (pattern.name == name) return pattern;
  }
  cr_assert_fail("no pattern is called %s", name.c_str());
  return {};
}

/** \returns the mean worth over some seeds. */
double meanWorth(const std::string& pattern, const RunPlannerOptions& options, std::uint64_t seeds) {
  double sum = 0.0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    sum += LoadReplay(patternNamed(pattern, seed), {"", options}, seed).play().worth();
  }
  return sum / static_cast<double>(seeds);
}

}  // namespace

Test(load_replay, the_same_seed_gives_the_same_result) {
  const ReplayPattern pattern = patternNamed("withdrawals", 3);
  const ReplayResult first = LoadReplay(pattern, {}, 3).play();
  const ReplayResult second = LoadReplay(pattern, {}, 3).play();
  cr_assert(first.worth() == second.worth());
  cr_assert(first.thrownAway == second.thrownAway);
  cr_assert(first.stops == second.stops);
}

Test(load_replay, a_load_that_fits_is_served_in_time_on_equal_targets) {
  cr_assert(meanWorth("equal targets", {}, 4) > 0.8);
}

Test(load_replay, urgent_work_is_in_time_where_a_third_of_the_targets_is_slow) {
  RunPlannerOptions without;
  without.speeds = false;
  const double gain = meanWorth("speeds 0.7 0.7 1.7", {}, 4) - meanWorth("speeds 0.7 0.7 1.7", without, 4);
  cr_assert(gain > 0.1, "%.3f", gain);
}

// A tenth of the targets crashed at once and again, and most of what ran there was held against its tasks.
Test(load_replay, waves_of_crashes_accuse_little_of_what_ran_there_a_while) {
  unsigned byShare = 0;
  unsigned byOthers = 0;
  for (std::uint64_t seed = 1; seed <= 2; ++seed) {
    const ReplayPattern pattern = wavePatterns(seed, 80)[2];
    ReplayVariant share;
    share.together = TogetherRule::AnEighth;
    byShare += LoadReplay(pattern, share, seed).play().suspected;
    byOthers += LoadReplay(pattern, {}, seed).play().suspected;
  }
  cr_assert_lt(2 * byOthers, byShare, "%u runs accused, %u by a share of the fleet", byOthers, byShare);
}

Test(load_replay, urgent_bursts_are_served_worse_without_stops) {
  RunPlannerOptions without;
  without.preemption = false;
  cr_assert(meanWorth("urgent burst", {}, 4) > meanWorth("urgent burst", without, 4));
}
