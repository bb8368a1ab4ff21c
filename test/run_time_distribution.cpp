// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of the distributions of run times relative to the expected ones, and of their part in the replicated state.

#include "Courseloom/src/State/RunTimeDistribution.h"

#include <cmath>

#include "Courseloom/src/State/WorkflowTable.h"
#include "test/main.h"

using namespace courseloom;

namespace {

/** \returns a distribution in which 3 of 100 runs take seven times as long as expected. */
RunTimeDistribution withStragglers() {
  RunTimeDistribution distribution;
  for (int i = 0; i < 200; ++i) distribution.record(i % 100 < 3 ? 7.0 : 0.8 + 0.002 * (i % 200));
  return distribution;
}

std::string stateOf(const WorkflowTable& table) {
  schema::StateSnapshot snapshot;
  table.save(snapshot);
  return snapshot.SerializeAsString();
}

void submit(WorkflowTable& table, const std::string& queue, unsigned count, bool gang = false) {
  schema::Workflow workflow;
  workflow.set_id("w");
  workflow.set_queue(queue);
  workflow.set_max_attempts(3);
  schema::StepSpec* step = workflow.mutable_spec()->add_steps();
  step->set_count(count);
  step->set_gang(gang);
  step->set_speculative(!gang);
  step->set_estimate_ms(1000);
  table.submit(workflow, 10);
}

void run(WorkflowTable& table, std::uint32_t index, schema::RunEndKind kind, std::uint32_t wholeMs) {
  schema::RecordRuns runs;
  schema::RunStart* start = runs.add_starts();
  *start->mutable_task() = makeTaskId("w", {0, 0, index});
  start->mutable_run()->set_number(1);
  start->mutable_run()->set_target("t");
  start->mutable_run()->set_agent("a");
  table.record(runs, 20);
  runs.Clear();
  schema::RunEnd* end = runs.add_ends();
  *end->mutable_task() = makeTaskId("w", {0, 0, index});
  end->set_run(1);
  end->set_kind(kind);
  end->set_whole_ms(wholeMs);
  table.record(runs, 30);
}

}  // namespace

// Guards against forecasts that expect a run past its expected end to end at once, so that others wait for it again and
// again.
Test(run_time_distribution, a_run_past_its_expected_end_is_expected_to_be_a_slow_one) {
  const RunTimeDistribution distribution = withStragglers();
  cr_assert(distribution.meanRemainingRatio(0.0) > 0.9 && distribution.meanRemainingRatio(0.0) < 1.5);
  cr_assert(distribution.meanRemainingRatio(2.0) > 4.5, "only the slow runs take twice as long as expected");
  cr_assert(distribution.remainingRatio(2.0, 0.5) > 4.5);
  cr_assert(distribution.remainingRatio(0.0, 0.5) < 1.3);
}

// An empirical distribution ends at its largest value: a run beyond it would be expected to end at once.
Test(run_time_distribution, beyond_all_recorded_runs_the_remaining_time_increases_with_the_elapsed_time) {
  const RunTimeDistribution distribution = withStragglers();
  double before = 0.0;
  for (const double passed : {8.0, 10.0, 20.0, 40.0}) {
    cr_assert(distribution.meanRemainingRatio(passed) > before);
    cr_assert(distribution.remainingRatio(passed, 0.9) > distribution.remainingRatio(passed, 0.5));
    before = distribution.meanRemainingRatio(passed);
  }
}

// A new leader or a new queue has few runs or none; one odd run must not determine the forecasts.
Test(run_time_distribution, few_samples_do_not_replace_the_default_distribution) {
  const RunTimeDistribution none;
  RunTimeDistribution few;
  for (std::size_t i = 0; i + 1 < RunTimeDistribution::MinRecorded; ++i) few.record(50.0);
  cr_assert(few.meanRemainingRatio(0.5) == none.meanRemainingRatio(0.5));
  cr_assert(none.meanRemainingRatio(0.0) > 0.8 && none.meanRemainingRatio(0.0) < 1.5);
  cr_assert(none.meanRemainingRatio(3.0) > 1.0, "the default distribution has a heavy tail");
  few.record(50.0);
  cr_assert(few.meanRemainingRatio(0.5) > 40.0);
}

// Values that are not numbers or not above 0 come from runs without a measured run time.
Test(run_time_distribution, results_are_never_negative_and_invalid_ratios_are_ignored) {
  RunTimeDistribution distribution = withStragglers();
  const std::size_t count = distribution.ratios().size();
  for (const double invalid : {0.0, -1.0, std::nan("")}) distribution.record(invalid);
  cr_assert_eq(distribution.ratios().size(), count);
  for (double passed = -1.0; passed < 20.0; passed += 0.25) {
    cr_assert_geq(distribution.meanRemainingRatio(passed), 0.0);
    for (const double quantile : {0.0, 0.5, 0.9, 1.0})
      cr_assert_geq(distribution.remainingRatio(passed, quantile), 0.0);
  }
}

// A step ends with its slowest run, so one slow run in many determines the end of a wide step.
Test(run_time_distribution, a_wide_step_almost_surely_has_a_slow_run) {
  const RunTimeDistribution distribution = withStragglers();
  cr_assert(distribution.slowestExceeds(2.0, 1) > 0.02 && distribution.slowestExceeds(2.0, 1) < 0.04);
  cr_assert(distribution.slowestExceeds(2.0, 100) > 0.9);
  cr_assert(distribution.slowestExceeds(50.0, 1) < 0.001);
  cr_assert_eq(distribution.slowestExceeds(2.0, 0), 0.0);
}

// Without a bound the record would grow with every run; the sorted copy must drop the same ratios.
Test(run_time_distribution, only_the_newest_runs_are_kept) {
  RunTimeDistribution distribution;
  for (std::size_t i = 0; i < RunTimeDistribution::Kept; ++i) distribution.record(10.0);
  for (std::size_t i = 0; i < RunTimeDistribution::Kept; ++i) distribution.record(1.0);
  cr_assert_eq(distribution.ratios().size(), RunTimeDistribution::Kept);
  cr_assert_float_eq(distribution.meanRemainingRatio(0.0), 1.0, 1e-6);
}

// Replicas that apply the same log must hold the same state, also if one of them started from a snapshot.
Test(run_time_distribution, a_replica_from_a_snapshot_records_the_same_state) {
  WorkflowTable table;
  submit(table, "q", 600);
  for (std::uint32_t i = 0; i < 300; ++i) run(table, i, schema::RunDone, 900 + i);
  schema::StateSnapshot snapshot;
  table.save(snapshot);
  cr_assert_eq(snapshot.run_time_ratios_size(), 1);
  cr_assert_eq(static_cast<std::size_t>(snapshot.run_time_ratios(0).ratios_size()), RunTimeDistribution::Kept);
  WorkflowTable loaded;
  loaded.load(snapshot);
  for (WorkflowTable* each : {&table, &loaded}) {
    for (std::uint32_t i = 300; i < 400; ++i) run(*each, i, schema::RunDone, 1200 + i);
  }
  cr_assert(stateOf(table) == stateOf(loaded));
}

// Stopped runs and runs without a measured run time have no ratio, and a gang is one observation.
Test(run_time_distribution, only_measured_runs_that_are_done_are_recorded) {
  WorkflowTable table;
  submit(table, "q", 4);
  run(table, 0, schema::RunStopped, 1000);
  run(table, 1, schema::RunFailed, 1000);
  run(table, 2, schema::RunDone, 0);
  cr_assert(table.runTimeDistribution("q").ratios().empty());
  run(table, 3, schema::RunDone, 2000);
  cr_assert_eq(table.runTimeDistribution("q").ratios().size(), 1);
  cr_assert_float_eq(table.runTimeDistribution("q").ratios()[0], 2.0, 1e-6);
}

// The state of queues that no longer exist would be kept for good.
Test(run_time_distribution, the_record_of_a_removed_queue_is_removed) {
  WorkflowTable table;
  submit(table, "old", 1);
  run(table, 0, schema::RunDone, 2000);
  schema::QueueConfiguration configuration;
  configuration.set_version(1);
  configuration.add_queues()->set_name("new");
  table.putConfiguration(configuration);
  cr_assert(table.runTimeDistribution("old").ratios().empty());
}

// An unbounded table would grow with each name of a queue.
Test(run_time_distribution, the_number_of_queues_is_bounded) {
  RunTimeDistributions distributions;
  for (std::size_t i = 0; i < RunTimeDistributions::MaxQueues + 5; ++i) distributions.record(std::to_string(i), 1.0);
  schema::StateSnapshot snapshot;
  distributions.save(snapshot);
  cr_assert_eq(static_cast<std::size_t>(snapshot.run_time_ratios_size()), RunTimeDistributions::MaxQueues);
}
