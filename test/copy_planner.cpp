// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of CopyPlanner: which slow runs get a copy, and on which targets.

#include "Courseloom/src/Scheduling/CopyPlanner.h"

#include <algorithm>
#include <random>

#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

constexpr Rank SomeRank = 3;

/** \class CopyPlannerFixture
 * \brief Four equal targets with four free accelerators each, and slow runs of one accelerator on the first target.
 */
struct CopyPlannerFixture {
  CopyPlannerFixture() {
    for (std::size_t i = 0; i < 4; ++i) {
      PlannedTarget& target = targets.emplace_back();
      target.id = target.agent = "t" + std::to_string(i);
      target.service = "s";
      target.capacity = {32000, 64000, 8};
      target.open = true;
      free.push_back({16000, 32000, 4});
    }
  }

  CopyCandidate& addSlowRun() {
    CopyCandidate& run = candidates.emplace_back();
    run.run = {"w", {0, 0, static_cast<std::uint32_t>(candidates.size())}, 1};
    run.need = {1000, 1000, 1};
    run.rank = SomeRank;
    run.eligible = {0, 1, 2, 3};
    run.ranMs = 1500.0;
    run.remainingMs = 5500.0;
    run.freshMs = 1000.0;
    return run;
  }
  std::vector<CopyPlanner::Copy> plan() const {
    return CopyPlanner(options).plan(candidates, targets, free, waiting, activeRuns, activeCopies);
  }

  CopyPlannerOptions options;
  std::vector<PlannedTarget> targets;
  TargetCapacities free;
  std::vector<CopyCandidate> candidates;
  std::vector<WaitingWork> waiting;
  std::size_t activeRuns = 100;
  std::size_t activeCopies = 0;
};

}  // namespace

// A run that ends about when a copy would must not get one: the copy would be wasted.
Test(copy_planner, only_runs_that_a_copy_would_beat_by_a_margin_get_one) {
  CopyPlannerFixture test;
  test.addSlowRun().remainingMs = 1499.0;
  test.addSlowRun().ranMs = 499.0;
  test.addSlowRun().freshMs = 0.0;
  cr_assert(test.plan().empty());
  test.addSlowRun();
  const std::vector<CopyPlanner::Copy> copies = test.plan();
  cr_assert_eq(copies.size(), 1);
  cr_assert(copies[0].of == test.candidates.back().run);
  cr_assert_neq(copies[0].target, 0);
}

// The number of copies is limited to a share of the runs, including copies that are already active.
Test(copy_planner, the_number_of_copies_is_a_limited_share_of_the_active_runs) {
  CopyPlannerFixture test;
  for (int i = 0; i < 4; ++i) test.addSlowRun();
  test.activeRuns = 60;
  cr_assert_eq(test.plan().size(), 3);
  test.activeCopies = 2;
  cr_assert_eq(test.plan().size(), 1);
  test.activeCopies = 5;
  cr_assert(test.plan().empty());
  test.activeCopies = 0;
  test.activeRuns = 3;
  cr_assert_eq(test.plan().size(), 1, "the last slow run of a step gets a copy although few runs are active");
  test.options.shareOfRuns = 0.0;
  cr_assert(test.plan().empty());
}

// Copies must leave most of the free capacity to work that arrives next.
Test(copy_planner, copies_use_a_limited_share_of_the_free_capacity) {
  CopyPlannerFixture test;
  for (int i = 0; i < 5; ++i) test.addSlowRun();
  cr_assert_eq(test.plan().size(), 4, "a quarter of 16 accelerators");
  test.targets[3].open = false;
  cr_assert_eq(test.plan().size(), 3, "a quarter of 12 accelerators");
  for (ResourceAmounts& free : test.free) free.accelerators = 1;
  cr_assert(test.plan().empty(), "a quarter of 3 accelerators holds no copy");
}

// A copy in front of waiting work would delay it.
Test(copy_planner, waiting_work_of_the_same_or_a_better_rank_prevents_copies_at_its_service) {
  for (const Rank rank : {SomeRank - 1, SomeRank, SomeRank + 1}) {
    CopyPlannerFixture test;
    test.addSlowRun();
    test.waiting.push_back({"s", rank});
    cr_assert_eq(test.plan().empty(), rank <= SomeRank, "rank %u", rank);
    test.waiting.back().service = "another";
    cr_assert_eq(test.plan().size(), 1);
  }
}

// A copy on a slow, closed, doubtful or full target, or on that of the slow run, would not end earlier.
Test(copy_planner, a_copy_gets_another_open_target_that_is_not_slower) {
  CopyPlannerFixture test;
  test.addSlowRun();
  test.targets[0].slowdown.slowness = 0.1;
  test.targets[1].slowdown.slowness = 0.25;
  test.targets[2].slowdown.slowness = 0.1;
  test.targets[3].slowdown.slowness = -0.2;
  cr_assert_eq(test.plan().at(0).target, 3);
  test.targets[3].open = false;
  cr_assert_eq(test.plan().at(0).target, 2);
  test.targets[2].agent = test.targets[0].agent;
  cr_assert(test.plan().empty(), "the same agent has the same target");
  test.targets[2].agent = "t2";
  test.targets[2].single = true;
  cr_assert(test.plan().empty());
  test.targets[2].single = false;
  test.free[2].accelerators = 0;
  cr_assert(test.plan().empty());
  test.free[2].accelerators = 1;
  test.targets[2].service = "another";
  cr_assert(test.plan().empty());
  test.targets[2].service = "s";
  test.candidates[0].eligible = {0, 1, 3};
  cr_assert(test.plan().empty(), "the step must not run there");
}

// Estimated speeds of equal targets differ by their errors. A run on the target that happens to look fastest would get
// no copy if every target with a larger estimate counted as slower.
Test(copy_planner, targets_that_differ_within_the_error_of_their_speeds_count_as_equally_fast) {
  CopyPlannerFixture test;
  test.addSlowRun();
  for (std::size_t i = 1; i < 4; ++i) test.targets[i].slowdown = {0.2, 0.15};
  test.targets[0].slowdown = {0.0, 0.15};
  cr_assert_eq(test.plan().size(), 1);
  for (std::size_t i = 1; i < 4; ++i) test.targets[i].slowdown.error = 0.0;
  test.targets[0].slowdown.error = 0.0;
  cr_assert(test.plan().empty());
  for (std::size_t i = 1; i < 4; ++i) test.targets[i].slowdown.slowness = 0.05;
  cr_assert_eq(test.plan().size(), 1);
}

// Copies on empty targets would break up the whole targets that gangs need.
Test(copy_planner, a_copy_prefers_a_target_without_failures_and_then_a_full_one) {
  CopyPlannerFixture test;
  test.addSlowRun();
  test.free[1].accelerators = 2;
  test.free[2].accelerators = 1;
  test.targets[2].penalty = 1.0;
  cr_assert_eq(test.plan().at(0).target, 1);
}

// Guards against a limited number of copies that is spent on the runs that gain least.
Test(copy_planner, the_best_rank_and_the_largest_gain_are_served_first) {
  CopyPlannerFixture test;
  test.activeRuns = 40;  // two copies
  test.addSlowRun().rank = SomeRank + 1;
  test.addSlowRun();
  test.addSlowRun().remainingMs = 9000.0;
  const std::vector<CopyPlanner::Copy> copies = test.plan();
  cr_assert_eq(copies.size(), 2);
  cr_assert(copies[0].of == test.candidates[2].run);
  cr_assert(copies[1].of == test.candidates[1].run);
}

// All limits hold together: capacity, shares, ranks, targets. Seeded cases find combinations that single cases miss.
Test(copy_planner, all_limits_hold_on_random_cases) {
  for (std::uint64_t seed = firstSeed(); seed < firstSeed() + seedCount(500); ++seed) {
    std::mt19937_64 random(seed);
    CopyPlannerFixture test;
    for (std::size_t i = 0; i < 4; ++i) {
      test.targets[i].open = random() % 4 != 0;
      test.targets[i].slowdown.slowness = 0.2 * static_cast<double>(random() % 3);
      test.free[i].accelerators = static_cast<std::int64_t>(random() % 9) - 1;
    }
    std::int64_t freeAccelerators = 0;
    for (std::size_t i = 0; i < 4; ++i) {
      freeAccelerators += test.targets[i].open ? std::max<std::int64_t>(0, test.free[i].accelerators) : 0;
    }
    for (std::uint64_t i = random() % 8; i > 0; --i) {
      CopyCandidate& run = test.addSlowRun();
      run.target = random() % 4;
      run.need.accelerators = static_cast<std::int64_t>(random() % 3);
      run.rank = static_cast<Rank>(random() % 5);
      run.remainingMs = static_cast<double>(random() % 6000);
    }
    if (random() % 2 == 0) test.waiting.push_back({"s", static_cast<Rank>(random() % 6)});
    test.activeRuns = random() % 120;
    test.activeCopies = random() % 3;
    const std::vector<CopyPlanner::Copy> copies = test.plan();
    const std::size_t allowed = std::max<std::size_t>(1, test.activeRuns / 20);
    if (!copies.empty()) cr_assert_leq(copies.size() + test.activeCopies, allowed);
    std::int64_t used = 0;
    TargetCapacities free = test.free;
    for (const CopyPlanner::Copy& copy : copies) {
      const auto run = std::find_if(test.candidates.begin(), test.candidates.end(),
                                    [&copy](const CopyCandidate& candidate) { return candidate.run == copy.of; });
      cr_assert_neq(copy.target, run->target);
      cr_assert(test.targets[copy.target].open);
      cr_assert_leq(test.targets[copy.target].slowdown.slowness - test.targets[run->target].slowdown.slowness, 0.0);
      cr_assert(free[copy.target].holds(run->need), "seed %llu", static_cast<unsigned long long>(seed));
      for (const WaitingWork& work : test.waiting) cr_assert_gt(work.rank, run->rank);
      free[copy.target].subtract(run->need);
      used += run->need.accelerators;
    }
    cr_assert_leq(4 * used, freeAccelerators, "seed %llu", static_cast<unsigned long long>(seed));
  }
}
