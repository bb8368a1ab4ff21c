// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// What is learnt of run times: how slow targets are, what queues' estimates are worth, and that a snapshot keeps it.

#include "Courseloom/src/State/RunTimeEstimator.h"

#include <cmath>
#include <random>

#include "Courseloom/src/State/ClusterState.h"
#include "test/main.h"

using namespace courseloom;

namespace {

constexpr double UsualMs = 2000.0;

/** \class Fleet
 * \brief Targets with true time factors, on which steps run.
 */
class Fleet {
 public:
  explicit Fleet(std::vector<double> given) : factors(std::move(given)) {}

  static std::string name(std::size_t target) { return "t" + std::to_string(target); }

  /** One gang on some targets; its estimate is off. */
  void gang(const std::vector<std::size_t>& targets) {
    const double workMs = UsualMs * logNormal(0.5);
    const StepOfRuns step{nextStep(), "urgent", workMs * logNormal(0.5), true};
    for (const std::size_t t : targets)
      runTimeEstimator.ran(step, name(t), workMs * factors[t] * logNormal(0.02), ++m_nowMs);
    runTimeEstimator.closeWorkflow(std::to_string(m_steps));
  }
  /** Single tasks of one step, one in thirty of them a straggler. */
  void pieces(const std::vector<std::size_t>& targets, std::size_t each) {
    const double workMs = 4.0 * UsualMs * logNormal(0.3);
    const StepOfRuns step{nextStep(), "bulk", workMs * logNormal(0.2), false};
    for (const std::size_t t : targets) {
      for (std::size_t i = 0; i < each; ++i) {
        const double straggles = m_random() % 30 == 0 ? 7.0 : 1.0;
        runTimeEstimator.ran(step, name(t), straggles * workMs * factors[t] * logNormal(0.15), ++m_nowMs);
      }
    }
    runTimeEstimator.closeWorkflow(std::to_string(m_steps));
  }
  std::vector<std::size_t> some(std::size_t count) {
    std::vector<std::size_t> targets;
    for (std::size_t i = 0; i < factors.size(); ++i) targets.push_back(i);
    std::shuffle(targets.begin(), targets.end(), m_random);
    targets.resize(std::min(count, targets.size()));
    return targets;
  }
  /** \returns how far apart two targets are believed to be, as a time factor. */
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

Test(run_outlook, one_gang_tells_its_targets_apart) {
  Fleet fleet({0.7, 1.7, 0.7, 0.7});
  fleet.gang({0, 1, 2, 3});
  cr_assert(fleet.ratio(1, 0) > 1.9, "%.2f of 2.43", fleet.ratio(1, 0));
  cr_assert_float_eq(fleet.ratio(2, 0), 1.0, 0.1);
}

Test(run_outlook, a_target_that_was_not_seen_is_usual_with_the_error_of_a_guess) {
  const Fleet fleet({1.0});
  cr_assert_eq(fleet.runTimeEstimator.slowdownOf("t0").slowness, 0.0);
  cr_assert(fleet.runTimeEstimator.slowdownOf("t0").error > 0.3);
}

Test(run_outlook, mixed_work_tells_slow_targets_from_slow_steps) {
  std::vector<double> factors;
  for (int i = 0; i < 30; ++i) factors.push_back(i % 3 == 0 ? 1.25 : i % 3 == 1 ? 1.0 : 0.8);
  Fleet fleet(factors);
  for (int round = 0; round < 15; ++round) {
    fleet.gang(fleet.some(5));
    fleet.pieces(fleet.some(8), 5);
  }
  double off = 0.0;
  for (std::size_t t = 1; t < factors.size(); ++t) {
    off += std::abs(std::log(fleet.ratio(t, 0)) - std::log(factors[t] / factors[0])) / 29.0;
  }
  cr_assert(off < 0.11, "off by %.2f in the mean, half of what lies between two classes", off);
}

Test(run_outlook, one_straggler_does_not_make_its_target_slow) {
  Fleet fleet({1.0, 1.0, 1.0, 1.0});
  for (int round = 0; round < 5; ++round) fleet.gang({0, 1, 2, 3});
  const StepOfRuns step{"straggling.0.0", "bulk", 4000.0, false};
  for (const char* target : {"t0", "t1", "t2", "t3"}) {
    fleet.runTimeEstimator.ran(step, target, std::string(target) == "t3" ? 28000.0 : 4000.0, 100);
  }
  fleet.runTimeEstimator.closeWorkflow("straggling");
  cr_assert(fleet.ratio(3, 0) < 1.35, "%.2f", fleet.ratio(3, 0));
}

Test(run_outlook, a_target_that_turns_slow_and_sound_again_is_told_within_three_steps) {
  Fleet fleet({1.0, 1.0, 1.0, 1.0});
  for (int round = 0; round < 10; ++round) fleet.gang({0, 1, 2, 3});
  fleet.factors[3] = 3.0;
  for (int round = 0; round < 3; ++round) fleet.gang({0, 1, 2, 3});
  cr_assert(fleet.ratio(3, 0) > 2.0, "%.2f of 3", fleet.ratio(3, 0));
  fleet.factors[3] = 1.0;
  for (int round = 0; round < 3; ++round) fleet.gang({0, 1, 2, 3});
  cr_assert(fleet.ratio(3, 0) < 1.5, "%.2f of 1", fleet.ratio(3, 0));
}

Test(run_outlook, the_queue_is_learnt_free_of_its_targets) {
  Fleet fleet({2.0, 0.5, 2.0, 0.5});
  for (int round = 0; round < 20; ++round) fleet.gang({0, 1, 2, 3});
  // All of the queue's next runs lie on the slow targets; what its tasks ask for stays the same.
  const double before = fleet.runTimeEstimator.expectedMs("urgent", UsualMs);
  for (int round = 0; round < 20; ++round) fleet.gang({0, 2});
  cr_assert_float_eq(fleet.runTimeEstimator.expectedMs("urgent", UsualMs) / before, 1.0, 0.35);
}

Test(run_outlook, what_is_remembered_is_bounded) {
  RunTimeEstimator runTimeEstimator;
  for (std::size_t t = 0; t < RunTimeEstimator::MaxTargets + 100; ++t) {
    const std::string workflow = "w" + std::to_string(t);
    runTimeEstimator.ran({workflow + ".0.0", "q", 1000.0, false}, "t" + std::to_string(t), 1500.0, t);
    runTimeEstimator.closeWorkflow(workflow);
  }
  cr_assert_eq(runTimeEstimator.targets(), RunTimeEstimator::MaxTargets);
  cr_assert(runTimeEstimator.slowdownOf("t0").slowness == 0.0, "the one not seen for the longest time went first");
  runTimeEstimator.forget("t200");
  cr_assert_eq(runTimeEstimator.targets(), RunTimeEstimator::MaxTargets - 1);
}

Test(run_outlook, a_workflow_that_ends_leaves_others_whose_names_begin_alike_open) {
  RunTimeEstimator runTimeEstimator;
  runTimeEstimator.ran({"w1.0.0", "q", 1000.0, false}, "t", 1500.0, 1);
  runTimeEstimator.ran({"w10.0.0", "q", 1000.0, false}, "t", 1500.0, 1);
  runTimeEstimator.closeWorkflow("w1");
  cr_assert_eq(runTimeEstimator.openSteps(), 1);
}

// Which target is forgotten first goes by when it was seen; a replica that did not know would forget another one.
Test(run_outlook, a_snapshot_in_the_middle_of_a_step_changes_nothing_that_follows) {
  RunTimeEstimator before;
  before.ran({"w.0.0", "q", 1000.0, true}, "t1", 1500.0, 7000);
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

// A snapshot of another writer may hold rows that say nothing.
Test(run_outlook, rows_of_a_snapshot_that_say_nothing_are_passed_over) {
  schema::StateSnapshot snapshot;
  snapshot.add_step_sights()->set_step("w.0.0");
  snapshot.add_queue_times()->set_queue("q");
  RunTimeEstimator runTimeEstimator;
  runTimeEstimator.load(snapshot);
  runTimeEstimator.closeAll();
  cr_assert_eq(runTimeEstimator.targets(), 0);
  cr_assert_eq(runTimeEstimator.expectedMs("q", 1000.0), 1000.0);
}

Test(run_outlook, values_that_say_nothing_are_passed_over) {
  RunTimeEstimator runTimeEstimator;
  runTimeEstimator.ran({"s", "q", 0.0, false}, "t", 1500.0, 1);
  runTimeEstimator.ran({"s", "q", 1000.0, false}, "t", 0.0, 1);
  cr_assert_eq(runTimeEstimator.openSteps(), 0);
}

namespace {

/** Commits one workflow of a gang of two, whose members run at different speeds on two targets. */
void runGang(ClusterState& state, LogIndex& index, const std::string& id, bool finish, bool gang = true) {
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

Test(run_outlook, a_replica_that_begins_from_a_snapshot_knows_what_the_log_told) {
  ClusterState state;
  LogIndex index = 0;
  for (int i = 0; i < 4; ++i) runGang(state, index, "w" + std::to_string(i), true);
  runGang(state, index, "open", false);
  const RunTimeEstimator& known = state.workflows().runTimeEstimator();
  cr_assert(known.timeFactor("slow") > 1.5 * known.timeFactor("fast"));
  ClusterState restored;
  cr_assert(restored.load(state.save()));
  const RunTimeEstimator& again = restored.workflows().runTimeEstimator();
  cr_assert_eq(again.slowdownOf("slow").slowness, known.slowdownOf("slow").slowness);
  cr_assert_eq(again.slowdownOf("slow").error, known.slowdownOf("slow").error);
  cr_assert_eq(again.expectedMs("q", 1000.0), known.expectedMs("q", 1000.0));
  cr_assert_eq(again.openSteps(), known.openSteps());
  cr_assert_eq(restored.save(), state.save());
}

// Steps of tasks of their own are learnt from, and forgotten, when the last task is done, and when a workflow is
// cancelled.
Test(run_outlook, nothing_is_kept_of_a_workflow_that_has_ended) {
  for (const bool cancelled : {false, true}) {
    ClusterState state;
    LogIndex index = 0;
    runGang(state, index, "w", false, false);
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
