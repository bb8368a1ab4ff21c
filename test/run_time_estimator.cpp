// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of RunTimeEstimator: slowdowns of targets, corrections of queues' estimates, and snapshots of both.

#include "Courseloom/src/State/RunTimeEstimator.h"

#include <cmath>
#include <random>

#include "Courseloom/src/State/ClusterState.h"
#include "test/main.h"

using namespace courseloom;

namespace {

constexpr double UsualMs = 2000.0;

/** \class SimulatedTargets
 * \brief Simulated targets with known time factors, and an estimator that observes the runs on them.
 */
class SimulatedTargets {
 public:
  explicit SimulatedTargets(std::vector<double> given) : factors(std::move(given)) {}

  static std::string name(std::size_t target) { return "t" + std::to_string(target); }

  /** Runs one gang on some targets, with an inaccurate estimate. */
  void runGang(const std::vector<std::size_t>& targets) {
    const double workMs = UsualMs * logNormal(0.5);
    const ObservedStep step{nextStep(), "urgent", workMs * logNormal(0.5), true};
    for (const std::size_t t : targets)
      runTimeEstimator.recordRunTime(step, name(t), workMs * factors[t] * logNormal(0.02), ++m_nowMs);
    runTimeEstimator.closeWorkflow(std::to_string(m_steps));
  }
  /** Runs single tasks of one step, of which one in thirty is a straggler. \param each number of tasks on each target
   */
  void runSingleTasks(const std::vector<std::size_t>& targets, std::size_t each) {
    const double workMs = 4.0 * UsualMs * logNormal(0.3);
    const ObservedStep step{nextStep(), "bulk", workMs * logNormal(0.2), false};
    for (const std::size_t t : targets) {
      for (std::size_t i = 0; i < each; ++i) {
        const double stragglerFactor = m_random() % 30 == 0 ? 7.0 : 1.0;
        runTimeEstimator.recordRunTime(step, name(t), stragglerFactor * workMs * factors[t] * logNormal(0.15),
                                       ++m_nowMs);
      }
    }
    runTimeEstimator.closeWorkflow(std::to_string(m_steps));
  }
  /** \returns some targets in random order. */
  std::vector<std::size_t> randomTargets(std::size_t count) {
    std::vector<std::size_t> targets;
    for (std::size_t i = 0; i < factors.size(); ++i) targets.push_back(i);
    std::shuffle(targets.begin(), targets.end(), m_random);
    targets.resize(std::min(count, targets.size()));
    return targets;
  }
  /** \returns the estimated time factor of one target relative to another. */
  double ratio(std::size_t a, std::size_t b) const {
    return runTimeEstimator.timeFactor(name(a)) / runTimeEstimator.timeFactor(name(b));
  }

  std::vector<double> factors;
  RunTimeEstimator runTimeEstimator;

 private:
  std::string nextStep() { return std::to_string(++m_steps) + ".0.0"; }
  double logNormal(double spread) { return std::exp(std::normal_distribution<double>(0.0, spread)(m_random)); }

  std::mt19937_64 m_random{1};
  std::size_t m_steps = 0;
  std::uint64_t m_nowMs = 0;
};

}  // namespace

Test(run_time_estimator, one_gang_reveals_the_relative_speeds_of_its_targets) {
  SimulatedTargets simulated({0.7, 1.7, 0.7, 0.7});
  simulated.runGang({0, 1, 2, 3});
  cr_assert(simulated.ratio(1, 0) > 1.9, "%.2f of 2.43", simulated.ratio(1, 0));
  cr_assert_float_eq(simulated.ratio(2, 0), 1.0, 0.1);
}

Test(run_time_estimator, an_unobserved_target_has_no_slowdown_and_a_large_error) {
  const SimulatedTargets simulated({1.0});
  cr_assert_eq(simulated.runTimeEstimator.slowdownOf("t0").slowness, 0.0);
  cr_assert(simulated.runTimeEstimator.slowdownOf("t0").error > 0.3);
}

Test(run_time_estimator, mixed_work_separates_slow_targets_from_slow_steps) {
  std::vector<double> factors;
  for (int i = 0; i < 30; ++i) factors.push_back(i % 3 == 0 ? 1.25 : i % 3 == 1 ? 1.0 : 0.8);
  SimulatedTargets simulated(factors);
  for (int round = 0; round < 15; ++round) {
    simulated.runGang(simulated.randomTargets(5));
    simulated.runSingleTasks(simulated.randomTargets(8), 5);
  }
  double meanError = 0.0;
  for (std::size_t t = 1; t < factors.size(); ++t) {
    meanError += std::abs(std::log(simulated.ratio(t, 0)) - std::log(factors[t] / factors[0])) / 29.0;
  }
  cr_assert(meanError < 0.11, "mean error %.2f, about half the distance between two speed classes", meanError);
}

Test(run_time_estimator, one_straggler_does_not_make_its_target_slow) {
  SimulatedTargets simulated({1.0, 1.0, 1.0, 1.0});
  for (int round = 0; round < 5; ++round) simulated.runGang({0, 1, 2, 3});
  const ObservedStep step{"straggling.0.0", "bulk", 4000.0, false};
  for (const char* target : {"t0", "t1", "t2", "t3"}) {
    simulated.runTimeEstimator.recordRunTime(step, target, std::string(target) == "t3" ? 28000.0 : 4000.0, 100);
  }
  simulated.runTimeEstimator.closeWorkflow("straggling");
  cr_assert(simulated.ratio(3, 0) < 1.35, "%.2f", simulated.ratio(3, 0));
}

Test(run_time_estimator, a_change_of_a_targets_speed_is_detected_within_three_steps) {
  SimulatedTargets simulated({1.0, 1.0, 1.0, 1.0});
  for (int round = 0; round < 10; ++round) simulated.runGang({0, 1, 2, 3});
  simulated.factors[3] = 3.0;
  for (int round = 0; round < 3; ++round) simulated.runGang({0, 1, 2, 3});
  cr_assert(simulated.ratio(3, 0) > 2.0, "%.2f of 3", simulated.ratio(3, 0));
  simulated.factors[3] = 1.0;
  for (int round = 0; round < 3; ++round) simulated.runGang({0, 1, 2, 3});
  cr_assert(simulated.ratio(3, 0) < 1.5, "%.2f of 1", simulated.ratio(3, 0));
}

Test(run_time_estimator, a_queues_estimate_does_not_depend_on_the_targets_of_its_runs) {
  SimulatedTargets simulated({2.0, 0.5, 2.0, 0.5});
  for (int round = 0; round < 20; ++round) simulated.runGang({0, 1, 2, 3});
  // All later runs of the queue are on the slow targets. The work of its tasks stays the same.
  const double before = simulated.runTimeEstimator.expectedMs("urgent", UsualMs);
  for (int round = 0; round < 20; ++round) simulated.runGang({0, 2});
  cr_assert_float_eq(simulated.runTimeEstimator.expectedMs("urgent", UsualMs) / before, 1.0, 0.35);
}

Test(run_time_estimator, the_number_of_targets_is_bounded) {
  RunTimeEstimator runTimeEstimator;
  for (std::size_t t = 0; t < RunTimeEstimator::MaxTargets + 100; ++t) {
    const std::string workflow = "w" + std::to_string(t);
    runTimeEstimator.recordRunTime({workflow + ".0.0", "q", 1000.0, false}, "t" + std::to_string(t), 1500.0, t);
    runTimeEstimator.closeWorkflow(workflow);
  }
  cr_assert_eq(runTimeEstimator.targets(), RunTimeEstimator::MaxTargets);
  cr_assert(runTimeEstimator.slowdownOf("t0").slowness == 0.0,
            "the target not observed for the longest time is evicted first");
  runTimeEstimator.forget("t200");
  cr_assert_eq(runTimeEstimator.targets(), RunTimeEstimator::MaxTargets - 1);
}

Test(run_time_estimator, closing_a_workflow_leaves_others_with_the_same_id_prefix_open) {
  RunTimeEstimator runTimeEstimator;
  runTimeEstimator.recordRunTime({"w1.0.0", "q", 1000.0, false}, "t", 1500.0, 1);
  runTimeEstimator.recordRunTime({"w10.0.0", "q", 1000.0, false}, "t", 1500.0, 1);
  runTimeEstimator.closeWorkflow("w1");
  cr_assert_eq(runTimeEstimator.openSteps(), 1);
}

// The target not observed for the longest time is evicted first. A replica that lost these times with a snapshot would
// evict another target.
Test(run_time_estimator, a_snapshot_during_a_step_does_not_change_later_states) {
  RunTimeEstimator before;
  before.recordRunTime({"w.0.0", "q", 1000.0, true}, "t1", 1500.0, 7000);
  schema::StateSnapshot snapshot;
  before.save(snapshot);
  RunTimeEstimator after;
  after.load(snapshot);
  schema::StateSnapshot ofBefore;
  schema::StateSnapshot ofAfter;
  before.closeWorkflow("w");
  before.save(ofBefore);
  after.closeWorkflow("w");
  after.save(ofAfter);
  cr_assert_eq(ofBefore.target_paces(0).seen_ms(), 7000);
  cr_assert(ofBefore.SerializeAsString() == ofAfter.SerializeAsString());
}

// A snapshot of another version may have rows without values.
Test(run_time_estimator, rows_of_a_snapshot_without_values_are_ignored) {
  schema::StateSnapshot snapshot;
  snapshot.add_step_sights()->set_step("w.0.0");
  snapshot.add_queue_times()->set_queue("q");
  RunTimeEstimator runTimeEstimator;
  runTimeEstimator.load(snapshot);
  runTimeEstimator.includeOpenSteps();
  cr_assert_eq(runTimeEstimator.targets(), 0);
  cr_assert_eq(runTimeEstimator.expectedMs("q", 1000.0), 1000.0);
}

Test(run_time_estimator, zero_estimates_and_run_times_are_ignored) {
  RunTimeEstimator runTimeEstimator;
  runTimeEstimator.recordRunTime({"s", "q", 0.0, false}, "t", 1500.0, 1);
  runTimeEstimator.recordRunTime({"s", "q", 1000.0, false}, "t", 0.0, 1);
  cr_assert_eq(runTimeEstimator.openSteps(), 0);
}

namespace {

/** Applies the commands of a workflow of two tasks, which run on a fast and a slow target.
 * \param finish whether the tasks end \param gang whether they form a gang */
void applyWorkflow(ClusterState& state, LogIndex& index, const std::string& id, bool finish, bool gang = true) {
  const std::uint64_t timeMs = 1000 * (index + 1);
  schema::Command submit;
  submit.set_time_ms(timeMs);
  schema::Workflow& workflow = *submit.mutable_submit_workflow()->mutable_workflow();
  workflow.set_id(id);
  workflow.set_queue("q");
  workflow.set_max_attempts(1);
  schema::StepSpec& step = *workflow.mutable_spec()->add_steps();
  step.set_count(2);
  step.set_gang(gang);
  step.set_estimate_ms(1000);
  state.apply(++index, submit);
  schema::Command starts;
  starts.set_time_ms(timeMs + 1);
  schema::Command ends;
  ends.set_time_ms(timeMs + 2000);
  for (std::uint32_t i = 0; i < 2; ++i) {
    schema::RunStart& start = *starts.mutable_record_runs()->add_starts();
    *start.mutable_task() = makeTaskId(id, {0, 0, i});
    start.mutable_run()->set_number(1);
    start.mutable_run()->set_target(i == 0 ? "fast" : "slow");
    schema::RunEnd& end = *ends.mutable_record_runs()->add_ends();
    *end.mutable_task() = start.task();
    end.set_run(1);
    end.set_kind(schema::RunDone);
    end.set_whole_ms(i == 0 ? 800 : 1900);
  }
  state.apply(++index, starts);
  if (finish) state.apply(++index, ends);
}

}  // namespace

Test(run_time_estimator, a_replica_restored_from_a_snapshot_has_the_estimates_from_the_log) {
  ClusterState state;
  LogIndex index = 0;
  for (int i = 0; i < 4; ++i) applyWorkflow(state, index, "w" + std::to_string(i), true);
  applyWorkflow(state, index, "open", false);
  const RunTimeEstimator& original = state.workflows().runTimeEstimator();
  cr_assert(original.timeFactor("slow") > 1.5 * original.timeFactor("fast"));
  ClusterState restored;
  cr_assert(restored.load(state.save()));
  const RunTimeEstimator& restoredEstimator = restored.workflows().runTimeEstimator();
  cr_assert_eq(restoredEstimator.slowdownOf("slow").slowness, original.slowdownOf("slow").slowness);
  cr_assert_eq(restoredEstimator.slowdownOf("slow").error, original.slowdownOf("slow").error);
  cr_assert_eq(restoredEstimator.expectedMs("q", 1000.0), original.expectedMs("q", 1000.0));
  cr_assert_eq(restoredEstimator.openSteps(), original.openSteps());
  cr_assert_eq(restored.save(), state.save());
}

// A step without a gang is evaluated and closed when its last task is done, or after its workflow is cancelled.
Test(run_time_estimator, no_step_of_an_ended_workflow_stays_open) {
  for (const bool cancelled : {false, true}) {
    ClusterState state;
    LogIndex index = 0;
    applyWorkflow(state, index, "w", false, false);
    if (cancelled) {
      schema::Command cancel;
      cancel.set_time_ms(5000);
      cancel.mutable_cancel_workflow()->set_id("w");
      state.apply(++index, cancel);
    }
    for (std::uint32_t i = 0; i < 2; ++i) {
      schema::Command ends;
      ends.set_time_ms(6000 + i);
      schema::RunEnd& end = *ends.mutable_record_runs()->add_ends();
      *end.mutable_task() = makeTaskId("w", {0, 0, i});
      end.set_run(1);
      end.set_kind(cancelled ? schema::RunStopped : schema::RunDone);
      end.set_whole_ms(i == 0 ? 800 : 1900);
      state.apply(++index, ends);
    }
    cr_assert(state.workflows().find("w")->ended());
    cr_assert_eq(state.workflows().runTimeEstimator().openSteps(), 0);
    cr_assert(state.workflows().runTimeEstimator().timeFactor("slow") >
              state.workflows().runTimeEstimator().timeFactor("fast"));
  }
}
