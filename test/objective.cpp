// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of objectives: critical paths, waves, and run times estimated from ended runs and from progress.

#include "Courseloom/src/Scheduling/Objective.h"
#include "Courseloom/src/Scheduling/RunPace.h"
#include "Courseloom/src/State/RunTimes.h"

#include "test/main.h"

using namespace courseloom;

namespace {

schema::StepSpec& addStep(schema::WorkflowSpec& spec, unsigned count, unsigned accelerators, std::uint64_t estimateMs) {
  schema::StepSpec& step = *spec.add_steps();
  step.set_count(count);
  step.mutable_need()->set_accelerators(accelerators);
  step.set_estimate_ms(estimateMs);
  return step;
}

double byEstimate(const schema::StepSpec& step) { return static_cast<double>(step.estimate_ms()); }

constexpr ResourceAmounts FourTargets{256000, 256000, 32};

}  // namespace

Test(objective, the_critical_path_is_the_longest_chain_of_steps) {
  schema::WorkflowSpec spec;
  addStep(spec, 1, 1, 1000);
  addStep(spec, 1, 1, 3000);
  addStep(spec, 1, 1, 500).add_after(0);
  cr_assert_eq(criticalPathMs(spec, byEstimate, FourTargets), 3000.0);
  spec.mutable_steps(2)->set_estimate_ms(2500);
  cr_assert_eq(criticalPathMs(spec, byEstimate, FourTargets), 3500.0);
}

Test(objective, a_step_wider_than_a_quarter_of_the_capacity_runs_in_waves) {
  schema::WorkflowSpec spec;
  schema::StepSpec& step = addStep(spec, 8, 1, 1000);
  cr_assert_eq(wavesOf(step, FourTargets), 1);
  step.set_count(9);
  cr_assert_eq(wavesOf(step, FourTargets), 2);
  cr_assert_eq(criticalPathMs(spec, byEstimate, FourTargets), 2000.0);
  cr_assert_eq(criticalPathMs(spec, byEstimate, ResourceAmounts()), 1000.0, "no capacity is known yet");
  step.mutable_need()->set_memory_mb(64000);
  cr_assert_eq(wavesOf(step, FourTargets), 9, "the scarcest resource decides");
}

Test(objective, a_gang_runs_in_one_wave) {
  schema::WorkflowSpec spec;
  schema::StepSpec& step = addStep(spec, 4, 8, 1000);
  step.set_gang(true);
  cr_assert_eq(wavesOf(step, FourTargets), 1);
}

Test(objective, run_times_are_learnt_if_estimates_do_not_predict_them) {
  RunTimes times;
  cr_assert_eq(times.expectedMs("queue", 1000.0), 1000.0);
  for (int i = 0; i < 200; ++i) times.ended("queue", i % 2 == 0 ? 1000.0 : 9000.0, 3000.0);
  cr_assert_float_eq(times.expectedMs("queue", 1000.0), 3000.0, 300.0);
  cr_assert_float_eq(times.expectedMs("queue", 9000.0), 3000.0, 300.0);
  cr_assert_eq(times.expectedMs("other", 1000.0), 1000.0);
}

Test(objective, accurate_estimates_are_kept_and_a_constant_factor_is_corrected) {
  RunTimes accurate;
  RunTimes half;
  for (int i = 1; i <= 100; ++i) accurate.ended("queue", 100.0 * i, 100.0 * i);
  for (int i = 1; i <= 100; ++i) half.ended("queue", 100.0 * i, 200.0 * i);
  cr_assert_float_eq(accurate.expectedMs("queue", 700.0), 700.0, 1.0);
  cr_assert_float_eq(half.expectedMs("queue", 700.0), 1400.0, 150.0);
}

Test(objective, few_runs_change_the_expectation_little) {
  RunTimes times;
  times.ended("queue", 1000.0, 9000.0);
  cr_assert(times.expectedMs("queue", 1000.0) < 1500.0);
}

Test(objective, remaining_time_is_extrapolated_from_progress) {
  RunTrack track;
  const Time begin{milliseconds(1000000)};
  cr_assert_not(remainingFromProgressMs(track, begin).has_value());
  track.firstSeen = begin;
  track.firstPercent = 20;
  track.percent = 25;
  track.percentChanged = begin + milliseconds(100);
  cr_assert_not(remainingFromProgressMs(track, begin + milliseconds(100)).has_value(),
                "too little progress was observed");
  track.percent = 60;
  track.percentChanged = begin + milliseconds(1000);
  cr_assert_float_eq(*remainingFromProgressMs(track, begin + milliseconds(1000)), 1000.0, 1.0);
  cr_assert_float_eq(*remainingFromProgressMs(track, begin + milliseconds(1400)), 600.0, 1.0,
                     "the run progresses between reports");
  cr_assert_eq(*remainingFromProgressMs(track, begin + milliseconds(9000)), 0.0);
}

// A target that leaves before the slowest member of a gang has ended breaks the gang, whatever the progress of its own
// member.
Test(objective, the_remaining_time_of_a_gang_is_that_of_its_slowest_member) {
  std::map<RunKey, RunTrack> runs;
  for (std::uint32_t index = 0; index < 3; ++index) {
    runs[{"w", {0, 0, index}, 2}].percent = 90 - 30 * index;
  }
  runs[{"w", {0, 0, 0}, 1}].percent = 0;  // an earlier run of the gang
  runs[{"w", {0, 1, 0}, 2}].percent = 0;  // another step
  const auto remaining = [](const RunTrack& run) { return 10.0 * (100 - run.percent); };
  cr_assert_eq(gangRemainingMs(runs, {"w", {0, 0, 0}, 2}, 3, remaining), 700.0);
  runs.erase({"w", {0, 0, 2}, 2});
  cr_assert_eq(gangRemainingMs(runs, {"w", {0, 0, 0}, 2}, 3, remaining), 400.0,
               "an ended member has no remaining time");
}

// Guards against a slow run that is recognised only after so much of its work that a copy comes too late.
Test(objective, little_progress_bounds_the_remaining_time_of_a_run) {
  cr_assert_eq(leastRemainingMs(1000.0, 0, 1), 0.0, "the run may have just begun its work");
  cr_assert_float_eq(leastRemainingMs(1000.0, 0, 3), 24000.0, 1e-6);
  cr_assert_float_eq(leastRemainingMs(1000.0, 50, 59), 4000.0, 1e-6);
  for (std::uint32_t percent = 2; percent <= 100; ++percent) {
    const double atLeast = leastRemainingMs(10.0 * percent, 0, percent);
    cr_assert_leq(atLeast, 10.0 * (100 - percent) + 1e-6, "steady work of 1000 ms at %u %%", percent);
    cr_assert_geq(atLeast, 0.0);
  }
}

// The elapsed time of a run that resumed from a checkpoint includes the share that was done before.
Test(objective, the_elapsed_multiple_of_a_run_includes_its_checkpoint) {
  RunTrack track;
  track.startedAt = Time(milliseconds(1000));
  track.firstPercent = 40;
  cr_assert_float_eq(passedRatio(track, 2000.0, Time(milliseconds(2000))), 0.9, 1e-9);
  cr_assert_eq(passedRatio(track, 0.0, Time(milliseconds(2000))), 0.0);
}
