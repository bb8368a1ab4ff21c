// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of RunPlanner: on which targets tasks start, and which runs are stopped for which steps.

#include "Courseloom/src/Scheduling/RunPlanner.h"

#include <algorithm>
#include <deque>

#include "test/main.h"

using namespace courseloom;

namespace {

constexpr double NowMs = 1000000.0;

/** \class PlannerInput
 * \brief Input of the planner in one test: targets, runs and steps. By default four targets with 8 accelerators each in
 * two racks.
 */
class PlannerInput {
 public:
  explicit PlannerInput(std::size_t targets = 4) {
    for (std::size_t i = 0; i < targets; ++i) {
      PlannedTarget& target = m_targets.emplace_back();
      target.id = "t" + std::to_string(i);
      target.agent = "a" + std::to_string(i);
      target.service = "s";
      target.rack = "r" + std::to_string(i / 2);
      target.labels = {"kind", target.rack};
      target.capacity = {64000, 64000, 8};
      target.open = true;
    }
  }

  PlannedTarget& target(std::size_t i) { return m_targets[i]; }
  double nowMs = NowMs;

  /** Adds a step all of whose tasks wait, in a workflow of its own. */
  PlannedStep& addWaitingStep(unsigned count, unsigned accelerators, Rank rank, bool gang = false) {
    WorkflowState& workflow = m_workflows.emplace_back();
    workflow.record.set_id("w" + std::to_string(m_workflows.size()));
    workflow.record.set_service("s");
    schema::StepSpec* spec = workflow.record.mutable_spec()->add_steps();
    spec->set_count(count);
    spec->set_gang(gang);
    spec->mutable_need()->set_accelerators(accelerators);
    spec->mutable_need()->set_cpu_milli(1000);
    spec->mutable_need()->set_memory_mb(100);
    PlannedStep& step = m_steps.emplace_back();
    step.workflow = &workflow;
    step.rank = rank;
    step.estimateMs = 2000.0;
    step.taskWork = 100.0;
    step.objectiveMs = NowMs + 4000.0;
    for (std::uint32_t i = 0; i < count; ++i) step.tasks.push_back(i);
    return step;
  }
  schema::StepSpec& specOf(PlannedStep& step) {
    return *m_workflows.back().record.mutable_spec()->mutable_steps(static_cast<int>(step.key.step));
  }

  /** Adds a run on a target. */
  PlannedRun& addRun(std::size_t target, unsigned accelerators, Rank rank, double remainingMs = 9000.0) {
    PlannedRun& run = m_runs.emplace_back();
    run.key = {"running" + std::to_string(m_runs.size()), {0, 0, 0}, 1};
    run.target = target;
    run.need = {1000, 100, static_cast<std::int64_t>(accelerators)};
    run.rank = rank;
    run.remainingMs = remainingMs;
    run.lostWork = 10.0;
    return run;
  }

  RunPlan plan(unsigned keepFullyFree = 0, RunPlannerOptions options = {}) {
    RunPlanner planner(options);
    return planWith(planner, keepFullyFree);
  }
  /** Makes a pass with a given planner, which keeps state from pass to pass. */
  RunPlan planWith(RunPlanner& planner, unsigned keepFullyFree = 0) {
    return planner.plan(m_targets, m_runs, m_steps, keepFullyFree, nowMs);
  }
  void removeRuns() { m_runs.clear(); }
  WorkflowState& workflow(std::size_t step) { return m_workflows[step]; }
  /** Removes the workflow of a step, as if it were no longer known. */
  void removeWorkflow(std::size_t step) { m_steps[step].workflow = nullptr; }
  const std::vector<PlannedStep>& steps() const { return m_steps; }

 private:
  std::vector<PlannedTarget> m_targets;
  std::deque<WorkflowState> m_workflows;
  std::vector<PlannedRun> m_runs;
  std::vector<PlannedStep> m_steps;
};

std::set<std::size_t> targetsOf(const RunPlan& plan) {
  std::set<std::size_t> targets;
  for (const RunPlan::Start& start : plan.starts) targets.insert(start.target);
  return targets;
}

constexpr Rank LowRank = 3;

}  // namespace

Test(run_planner, a_gang_is_placed_whole_or_not_at_all) {
  PlannerInput input;
  input.addWaitingStep(5, 8, LowRank, true);
  cr_assert(input.plan().starts.empty());
  PlannerInput fitting;
  fitting.addWaitingStep(4, 8, LowRank, true);
  cr_assert_eq(fitting.plan().starts.size(), 4);
}

Test(run_planner, tasks_outside_gangs_start_as_far_as_capacity_allows) {
  PlannerInput input;
  input.addWaitingStep(5, 8, LowRank);
  cr_assert_eq(input.plan().starts.size(), 4);
}

Test(run_planner, tasks_are_packed_so_that_whole_targets_stay_free) {
  PlannerInput input;
  input.addRun(2, 4, LowRank);
  input.addWaitingStep(4, 1, LowRank);
  const RunPlan plan = input.plan();
  cr_assert_eq(plan.starts.size(), 4);
  cr_assert(targetsOf(plan) == std::set<std::size_t>{2});
}

Test(run_planner, a_gang_of_one_rack_stays_in_it) {
  PlannerInput input;
  input.addRun(0, 8, LowRank);
  PlannedStep& step = input.addWaitingStep(2, 8, UrgentRank, true);
  input.specOf(step).set_same_rack(true);
  cr_assert((targetsOf(input.plan()) == std::set<std::size_t>{2, 3}));
}

// A gang that was spread over racks because a target was briefly paused took 42 s for 8 s of work.
Test(run_planner, a_gang_of_one_rack_waits_for_a_target_that_is_briefly_closed) {
  PlannerInput input;
  input.addRun(0, 8, LowRank);
  input.target(3).open = false;
  PlannedStep& step = input.addWaitingStep(2, 8, LowRank, true);
  input.specOf(step).set_same_rack(true);
  cr_assert(input.plan().starts.empty());
  step.waitedMs = 5000.0;
  cr_assert_eq(input.plan().starts.size(), 2, "after twice its run time, a slower run is better than a later start");
}

Test(run_planner, a_gang_that_exceeds_every_rack_is_spread_at_once) {
  PlannerInput input;
  PlannedStep& step = input.addWaitingStep(3, 8, LowRank, true);
  input.specOf(step).set_same_rack(true);
  cr_assert_eq(input.plan().starts.size(), 3);
}

Test(run_planner, required_labels_limits_per_target_and_closed_targets_are_respected) {
  PlannerInput input;
  input.target(0).open = false;
  input.target(1).service = "other";
  input.target(3).labels.insert("fast");
  PlannedStep& step = input.addWaitingStep(3, 1, LowRank);
  input.specOf(step).set_required_label("fast");
  input.specOf(step).set_max_per_target(2);
  const RunPlan plan = input.plan();
  cr_assert_eq(plan.starts.size(), 2);
  cr_assert(targetsOf(plan) == std::set<std::size_t>{3});
}

Test(run_planner, a_step_that_needs_tickets_starts_only_on_targets_with_a_ticket) {
  PlannerInput input;
  PlannedStep& step = input.addWaitingStep(2, 1, LowRank);
  step.tickets.emplace();
  cr_assert(input.plan().starts.empty());
  step.tickets->emplace("t1", "ticket");
  cr_assert((targetsOf(input.plan()) == std::set<std::size_t>{1}));
}

Test(run_planner, a_step_waits_for_its_preferred_rack_before_it_starts_elsewhere) {
  PlannerInput input;
  input.addRun(2, 8, LowRank);
  input.addRun(3, 8, LowRank);
  PlannedStep& step = input.addWaitingStep(1, 1, LowRank);
  input.specOf(step).set_preferred_rack("r1");
  cr_assert(input.plan().starts.empty());
  step.waitedMs = 3000.0;
  cr_assert_eq(input.plan().starts.size(), 1);
}

Test(run_planner, a_filler_is_placed_regardless_of_its_cpu_demand) {
  PlannerInput input(1);
  PlannedStep& step = input.addWaitingStep(1, 0, LowRank);
  input.specOf(step).mutable_need()->set_cpu_milli(100000);
  cr_assert(input.plan().starts.empty());
  input.specOf(step).set_filler(true);
  cr_assert_eq(input.plan().starts.size(), 1);
}

// Without ranks, guaranteed work would wait for other urgent work for longer than its start bound.
Test(run_planner, guaranteed_work_stops_other_urgent_work) {
  PlannerInput input;
  for (std::size_t i = 0; i < 4; ++i) input.addRun(i, 8, UrgentRank);
  PlannedStep& step = input.addWaitingStep(2, 8, GuaranteedRank, true);
  cr_assert_eq(input.plan().stops.size(), 2);
  step.rank = UrgentRank;
  cr_assert(input.plan().stops.empty(), "urgent work must not stop urgent work");
}

Test(run_planner, starts_on_unreachable_targets_are_withheld_and_gangs_as_a_whole) {
  PlannerInput input(2);
  input.addWaitingStep(2, 8, LowRank);
  const auto reachable = [](std::size_t target) { return target == 0; };
  std::set<std::size_t> withheld;
  cr_assert_eq(startsInReach(input.plan(), input.steps(), reachable, withheld).size(), 1);
  cr_assert(withheld == std::set<std::size_t>{1});
  PlannerInput gang(2);
  gang.addWaitingStep(2, 8, LowRank, true);
  withheld.clear();
  cr_assert(startsInReach(gang.plan(), gang.steps(), reachable, withheld).empty());
  cr_assert(withheld == std::set<std::size_t>{1});
}

// With half of the targets permanently lost, no work of the lowest priority ended under strict ranks.
Test(run_planner, work_of_low_priority_that_waited_long_is_served_by_objective) {
  PlannerInput input(1);
  PlannedStep& higher = input.addWaitingStep(1, 8, rankOf(1, false));
  higher.objectiveMs = NowMs + 9000.0;
  PlannedStep& lower = input.addWaitingStep(1, 8, rankOf(2, false));
  const auto firstServedStep = [&input] { return input.plan().starts.front().step; };
  cr_assert_eq(firstServedStep(), 0);
  lower.waitedMs = 4100.0;
  cr_assert_eq(firstServedStep(), 1, "its objective is earlier");
  RunPlannerOptions strict;
  strict.ageAfterEstimates = 0.0;
  cr_assert_eq(input.plan(0, strict).starts.front().step, 0);
}

Test(run_planner, guaranteed_work_is_never_stopped) {
  PlannerInput input(1);
  input.addRun(0, 8, GuaranteedRank);
  input.addWaitingStep(1, 8, GuaranteedRank);
  cr_assert(input.plan().stops.empty());
}

Test(run_planner, other_steps_choose_a_target_that_is_freed_for_a_step_last) {
  PlannerInput input(2);
  RunPlanner planner;
  input.addRun(0, 8, LowRank);
  input.addRun(1, 8, LowRank).lostWork = 20.0;
  input.addWaitingStep(1, 8, UrgentRank);
  cr_assert(input.planWith(planner).stops.size() == 1);
  input.removeRuns();
  PlannedStep& other = input.addWaitingStep(1, 1, GuaranteedRank);
  other.objectiveMs = NowMs;
  const RunPlan plan = input.planWith(planner);
  cr_assert_eq(plan.starts.size(), 2);
  cr_assert_eq(plan.starts.front().target, 1, "the first target was freed for the urgent step");
}

Test(run_planner, the_cheapest_victims_are_stopped_and_gangs_as_a_whole) {
  PlannerInput input(2);
  PlannedRun& expensive = input.addRun(0, 8, LowRank);
  expensive.lostWork = 500.0;
  PlannedRun& cheap = input.addRun(1, 8, LowRank);
  cheap.lostWork = 20.0;
  input.addWaitingStep(1, 8, UrgentRank);
  const RunPlan plan = input.plan();
  cr_assert_eq(plan.stops.size(), 1);
  cr_assert(plan.stops.front().run.workflow == "running2");
  PlannerInput gang(2);
  for (std::size_t i = 0; i < 2; ++i) gang.addRun(i, 8, LowRank).gang = "g";
  gang.addWaitingStep(1, 8, UrgentRank);
  cr_assert_eq(gang.plan().stops.size(), 2, "a gang must not continue in part");
}

Test(run_planner, urgent_work_outside_guarantees_stops_no_run_whose_loss_is_too_high) {
  PlannerInput input(1);
  input.addRun(0, 8, LowRank).lostWork = 5000.0;
  PlannedStep& step = input.addWaitingStep(1, 8, UrgentRank);
  cr_assert(input.plan().stops.empty());
  step.rank = GuaranteedRank;
  cr_assert_eq(input.plan().stops.size(), 1);
}

// Guaranteed work has to start within a bound. Waiting for one run after another that is about to end must not exceed
// this bound.
Test(run_planner, guaranteed_work_near_its_start_bound_does_not_wait_for_ends) {
  PlannerInput input(1);
  input.addRun(0, 8, LowRank, 300.0);
  PlannedStep& step = input.addWaitingStep(1, 8, GuaranteedRank);
  step.waitedMs = 2200.0;
  cr_assert(input.plan().stops.empty());
  step.waitedMs = 2400.0;
  cr_assert_eq(input.plan().stops.size(), 1);
  step.rank = UrgentRank;
  cr_assert(input.plan().stops.empty(), "urgent work has no start bound");
}

Test(run_planner, a_run_that_is_about_to_end_is_not_stopped) {
  PlannerInput input(1);
  input.addRun(0, 8, LowRank, 300.0).lostWork = 0.0;
  PlannedStep& step = input.addWaitingStep(1, 8, GuaranteedRank);
  step.waitedMs = 2000.0;
  cr_assert(input.plan().stops.empty());
}

// Guards against work that waits for a run past its expected end, as if the run ended at once.
Test(run_planner, nobody_waits_for_a_run_that_has_outlived_its_quantile) {
  PlannerInput input(1);
  PlannedRun& run = input.addRun(0, 8, LowRank, 300.0);
  PlannedStep& step = input.addWaitingStep(1, 8, GuaranteedRank);
  step.waitedMs = 2000.0;
  cr_assert(input.plan().stops.empty(), "it is about to end");
  run.outlived = true;
  cr_assert_eq(input.plan().stops.size(), 1);
  run.outlived = false;
  run.remainingMs = 700.0;
  step.rank = UrgentRank;
  step.waitedMs = 0.0;
  cr_assert(input.plan().stops.empty(), "it ends in time");
  run.outlived = true;
  cr_assert_eq(input.plan().stops.size(), 1, "its end is not forecast");
}

// The copies of the planning pass must not take targets that are reserved or being freed for waiting steps.
Test(run_planner, targets_that_are_reserved_or_being_freed_are_known_after_a_pass) {
  PlannerInput input(2);
  input.addRun(0, 8, LowRank);
  input.addRun(1, 4, LowRank, 3000.0);
  input.addWaitingStep(1, 8, GuaranteedRank).waitedMs = 2500.0;
  RunPlanner planner;
  cr_assert(planner.heldTargets().empty());
  const RunPlan plan = input.planWith(planner);
  cr_assert_eq(plan.stops.size(), 1);
  const std::string freed = plan.stops[0].run.workflow == "running1" ? "t0" : "t1";
  cr_assert_eq(planner.heldTargets().count(freed), 1);
}

Test(run_planner, capacity_of_runs_being_stopped_stays_reserved_and_no_more_runs_are_stopped) {
  PlannerInput input(1);
  input.addRun(0, 8, LowRank).stopping = true;
  input.addWaitingStep(1, 8, UrgentRank);
  input.addWaitingStep(1, 1, LowRank);
  const RunPlan plan = input.plan();
  cr_assert(plan.stops.empty());
  cr_assert(plan.starts.empty());
}

Test(run_planner, urgent_work_waits_for_runs_that_end_in_time) {
  PlannerInput input(1);
  input.addRun(0, 8, LowRank, 700.0);
  PlannedStep& step = input.addWaitingStep(1, 8, UrgentRank);
  cr_assert(input.plan().stops.empty());
  step.rank = GuaranteedRank;
  step.waitedMs = 1200.0;
  cr_assert_eq(input.plan().stops.size(), 1, "guaranteed work waits for a limited time only");
  step.rank = UrgentRank;
  step.waitedMs = 0.0;
  RunPlannerOptions withoutPatience;
  withoutPatience.patience = false;
  cr_assert_eq(input.plan(0, withoutPatience).stops.size(), 1);
}

Test(run_planner, fully_free_targets_are_reserved_for_urgent_work_for_a_limited_time) {
  PlannerInput input(2);
  PlannedStep& step = input.addWaitingStep(2, 8, LowRank);
  cr_assert_eq(input.plan(1).starts.size(), 1);
  step.waitedMs = 5000.0;
  cr_assert_eq(input.plan(1).starts.size(), 2);
  step.waitedMs = 0.0;
  step.rank = UrgentRank;
  cr_assert_eq(input.plan(1).starts.size(), 2);
}

Test(run_planner, a_waiting_gang_is_not_delayed_by_longer_work) {
  PlannerInput input(2);
  input.addRun(0, 8, LowRank, 1000.0);
  PlannedStep& gang = input.addWaitingStep(2, 8, LowRank, true);
  gang.waitedMs = 2000.0;
  gang.objectiveMs = NowMs;
  PlannedStep& later = input.addWaitingStep(1, 8, LowRank);
  later.estimateMs = 5000.0;
  cr_assert(input.plan().starts.empty());
  later.estimateMs = 500.0;
  cr_assert_eq(input.plan().starts.size(), 1, "work that ends before the gang can start may run first");
}

// The expected end of a run that takes longer than expected is always near. A reservation that is dated by it never
// lets other work fill the gap, although the gang waits for much longer.
Test(run_planner, reservations_are_dated_by_the_quantiles_of_runs_if_these_are_known) {
  PlannerInput input(2);
  PlannedRun& run = input.addRun(0, 8, LowRank, 1000.0);
  PlannedStep& gang = input.addWaitingStep(2, 8, LowRank, true);
  gang.waitedMs = 2000.0;
  gang.objectiveMs = NowMs + 2500.0;  // served first
  input.addWaitingStep(1, 8, LowRank).estimateMs = 2000.0;
  RunPlannerOptions options;
  options.quantileDates = true;
  cr_assert(input.plan(0, options).starts.empty(), "no distribution is known: the expected end counts");
  run.remainingQuantileMs = 5000.0;
  cr_assert_eq(input.plan(0, options).starts.size(), 1);
  cr_assert(input.plan().starts.empty(), "with the switch off, the expected end counts");
}

// Guards against work that fills the gap before a reservation and delays the waiting gang.
Test(run_planner, work_whose_quantile_ends_after_the_date_of_a_reservation_does_not_fill_the_gap) {
  PlannerInput input(2);
  input.addRun(0, 8, LowRank, 1000.0).remainingQuantileMs = 5000.0;
  PlannedStep& gang = input.addWaitingStep(2, 8, LowRank, true);
  gang.waitedMs = 2000.0;
  gang.objectiveMs = NowMs + 2500.0;  // served first
  PlannedStep& later = input.addWaitingStep(1, 8, LowRank);
  later.estimateMs = 400.0;
  later.estimateQuantileMs = 5100.0;
  RunPlannerOptions options;
  options.quantileDates = true;
  cr_assert(input.plan(0, options).starts.empty());
  later.estimateQuantileMs = 4900.0;
  cr_assert_eq(input.plan(0, options).starts.size(), 1);
  later.estimateQuantileMs = 5100.0;
  cr_assert_eq(input.plan().starts.size(), 1, "with the switch off, twice its estimate ends before");
}

Test(run_planner, a_step_avoids_targets_where_it_failed_while_another_target_could_hold_it) {
  PlannerInput input(2);
  input.addRun(1, 8, 3);
  PlannedStep& step = input.addWaitingStep(1, 4, 3);
  step.avoided = {"t0"};
  cr_assert(input.plan().starts.empty(),
            "the step started where it had failed, although the other target will have free capacity");
  input.target(1).open = false;
  cr_assert_eq(input.plan().starts.size(), 1, "no other target could hold it");
}

// A gang that had failed on three of four targets waited forever for the fourth. The fourth was on probation and
// accepted one run at a time, and no other work was left that could have ended its probation.
Test(run_planner, a_gang_that_failed_elsewhere_does_not_wait_for_a_target_on_probation) {
  PlannerInput input;
  PlannedStep& step = input.addWaitingStep(4, 1, UrgentRank, true);
  step.avoided = {"t0", "t1", "t2"};
  input.target(3).single = true;
  cr_assert_eq(input.plan().starts.size(), 4);
}

Test(run_planner, a_gang_that_failed_elsewhere_does_not_wait_for_a_target_that_is_not_expected_back) {
  PlannerInput input;
  PlannedStep& step = input.addWaitingStep(4, 1, UrgentRank, true);
  step.avoided = {"t0", "t1", "t2"};
  input.target(3).open = false;
  cr_assert(input.plan().starts.empty(), "the target is expected back soon and is not known to be faulty");
  input.target(3).awaited = false;
  cr_assert_eq(input.plan().starts.size(), 4);
}

Test(run_planner, an_urgent_gang_does_not_wait_for_a_rack_that_has_lost_a_target) {
  PlannerInput input;
  input.addRun(2, 8, GuaranteedRank);
  PlannedStep& step = input.addWaitingStep(2, 8, UrgentRank, true);
  input.specOf(step).set_same_rack(true);
  input.target(0).open = false;
  cr_assert(input.plan().starts.empty(), "one rack will be complete again, the other one free");
  input.target(0).awaited = false;
  input.target(2).awaited = false;
  input.target(2).open = false;
  cr_assert((targetsOf(input.plan()) == std::set<std::size_t>{1, 3}));
}

Test(run_planner, a_target_on_probation_gets_one_run_at_a_time) {
  PlannerInput input(1);
  input.target(0).single = true;
  input.addWaitingStep(4, 1, 3);
  input.addWaitingStep(2, 1, 3);
  cr_assert_eq(input.plan().starts.size(), 1);
  input.addRun(0, 1, 3);
  cr_assert(input.plan().starts.empty());
}

Test(run_planner, steps_that_can_end_in_time_are_served_before_late_ones) {
  PlannerInput input(1);
  PlannedStep& worthless = input.addWaitingStep(1, 8, 3);
  worthless.objectiveMs = NowMs - 9000.0;
  worthless.worthlessMs = NowMs - 1000.0;
  PlannedStep& late = input.addWaitingStep(1, 8, 3);
  late.objectiveMs = NowMs + 500.0;
  late.worthlessMs = NowMs + 9000.0;
  PlannedStep& inTime = input.addWaitingStep(1, 8, 3);
  inTime.objectiveMs = NowMs + 4000.0;
  const RunPlan plan = input.plan();
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert_eq(plan.starts[0].step, 2);
  RunPlannerOptions options;
  options.prospects = false;
  cr_assert_eq(input.plan(0, options).starts[0].step, 0, "the earliest objective first");
}

Test(run_planner, a_gang_that_has_waited_stops_cheap_work_of_lower_priority) {
  PlannerInput input(2);
  input.addRun(0, 8, 4).lostWork = 2.0;
  input.addRun(1, 8, 4).lostWork = 2.0;
  PlannedStep& gang = input.addWaitingStep(2, 8, 3, true);
  gang.taskWork = 100.0;
  RunPlannerOptions options;
  options.gangLossRatio = 0.06;
  gang.waitedMs = 500.0;
  cr_assert(input.plan(0, options).stops.empty(), "the gang has waited too briefly");
  gang.waitedMs = 1500.0;
  cr_assert_eq(input.plan(0, options).stops.size(), 2);
  options.gangLossRatio = 0.0;
  cr_assert(input.plan(0, options).stops.empty());
}

Test(run_planner, an_overdue_run_is_stopped_for_guaranteed_work) {
  PlannerInput input(1);
  input.addRun(0, 8, 3, 100.0);
  PlannedStep& gang = input.addWaitingStep(1, 8, GuaranteedRank, true);
  gang.waitedMs = 1500.0;
  RunPlanner planner;
  cr_assert(input.planWith(planner).stops.empty(), "the run is expected to end by itself");
  input.nowMs += 1500.0;
  cr_assert_eq(input.planWith(planner).stops.size(), 1, "the run is overdue, and the start bound approaches");
}

// While a pass yields, workflows are cancelled, tasks are started otherwise and targets close. A plan that ignored this
// would start cancelled work, start tasks twice, or start on closed targets.
Test(run_planner, outdated_starts_and_stops_are_removed_before_a_plan_is_committed) {
  const auto planBoth = [](PlannerInput& input) {
    input.addWaitingStep(1, 8, LowRank);
    input.addWaitingStep(2, 8, LowRank, true);
    return input.plan();
  };
  const auto startsOf = [](const RunPlan& plan, std::size_t step) {
    return std::count_if(plan.starts.begin(), plan.starts.end(), [&](const auto& start) { return start.step == step; });
  };
  const auto open = [](std::size_t) { return true; };
  PlannerInput unchanged;
  RunPlan plan = planBoth(unchanged);
  removeOutdated(plan, unchanged.steps(), open);
  cr_assert_eq(plan.starts.size(), 3);

  PlannerInput closed;
  plan = planBoth(closed);
  const std::size_t closedTarget = plan.starts.back().target;
  removeOutdated(plan, closed.steps(), [closedTarget](std::size_t target) { return target != closedTarget; });
  cr_assert_eq(startsOf(plan, 0), 1);
  cr_assert_eq(startsOf(plan, 1), 0, "a gang is started as a whole or not at all");

  PlannerInput started;
  plan = planBoth(started);
  started.workflow(1).tasks[{0, 0, 1}].active.emplace_back();
  removeOutdated(plan, started.steps(), open);
  cr_assert_eq(startsOf(plan, 1), 0, "a member of the gang runs already");

  PlannerInput cancelled;
  plan = planBoth(cancelled);
  plan.stops.push_back({RunKey{}, 0});
  cancelled.removeWorkflow(0);
  cancelled.workflow(1).record.set_phase(schema::WorkflowCancelled);
  removeOutdated(plan, cancelled.steps(), open);
  cr_assert(plan.starts.empty());
  cr_assert(plan.stops.empty(), "no run is stopped for a cancelled workflow");
}

// ---- targets of different speed

namespace {

/** Slowdown, with a small error, of a target on which a task takes 1.7 times as long as usual. */
const TargetSlowdown Slow = {0.53, 0.05};
/** Slowdown, with a small error, of a target on which a task takes 0.7 times as long as usual. */
const TargetSlowdown Fast = {-0.36, 0.05};

bool startsOn(const RunPlan& plan, std::size_t target) { return targetsOf(plan).count(target) > 0; }

}  // namespace

Test(run_planner, an_urgent_gang_avoids_a_target_that_would_make_it_late) {
  PlannerInput input(4);
  input.target(1).slowdown = Slow;
  input.addWaitingStep(3, 8, UrgentRank, true).objectiveMs = NowMs + 3250.0;
  const RunPlan plan = input.plan();
  cr_assert_eq(plan.starts.size(), 3);
  cr_assert_not(startsOn(plan, 1));
}

Test(run_planner, an_urgent_gang_uses_slow_targets_if_it_does_not_fit_otherwise) {
  PlannerInput input(4);
  input.target(1).slowdown = Slow;
  input.addWaitingStep(4, 8, UrgentRank, true).objectiveMs = NowMs + 3250.0;
  cr_assert_eq(input.plan().starts.size(), 4);
}

Test(run_planner, urgent_work_that_is_late_on_all_targets_starts_on_a_free_slow_one) {
  PlannerInput input(2);
  input.target(0).slowdown = Slow;
  input.addRun(1, 8, GuaranteedRank);
  input.addWaitingStep(1, 8, UrgentRank).objectiveMs = NowMs - 5000.0;
  cr_assert(startsOn(input.plan(), 0));
}

Test(run_planner, guaranteed_work_that_waited_starts_on_a_slow_target) {
  PlannerInput input(2);
  input.target(0).slowdown = Slow;
  input.addRun(1, 8, GuaranteedRank);
  PlannedStep& step = input.addWaitingStep(1, 8, GuaranteedRank);
  step.objectiveMs = NowMs + 3250.0;
  cr_assert(input.plan().starts.empty(), "it waits briefly for a fast target");
  step.waitedMs = 600.0;
  cr_assert(startsOn(input.plan(), 0), "the guarantee bounds its start, not its end");
}

Test(run_planner, other_work_uses_slow_targets_and_leaves_fast_ones_free) {
  PlannerInput input(4);
  for (const std::size_t fast : {0, 1, 3}) input.target(fast).slowdown = Fast;
  input.target(2).slowdown = Slow;
  input.addWaitingStep(1, 8, rankOf(1, false)).objectiveMs = NowMs + 20000.0;
  cr_assert(startsOn(input.plan(), 2));
}

// Urgent work still ends in time if it takes a quarter longer. Then slow targets are no reason to scatter other work
// over all racks.
Test(run_planner, other_work_is_packed_if_urgent_work_ends_in_time_on_any_target) {
  PlannerInput input(4);
  input.target(3).slowdown = {0.1, 0.02};
  input.addRun(0, 4, rankOf(1, false));
  input.addWaitingStep(1, 4, rankOf(1, false)).objectiveMs = NowMs + 20000.0;
  cr_assert(startsOn(input.plan(), 0));
  RunPlannerOptions belowMean;
  belowMean.slowByUrgentLateness = false;
  belowMean.slowTargetDiscount = 60.0;
  cr_assert(startsOn(input.plan(0, belowMean), 3), "the variant by mean slowdown scatters the work");
}

// Runs that are being stopped occupy their targets for up to 900 ms more. A gang that is late after this time gains
// nothing by the stop.
Test(run_planner, urgent_work_stops_no_run_if_it_would_be_late_after_the_stop) {
  PlannerInput input(1);
  input.addRun(0, 8, LowRank).lostWork = 1.0;
  PlannedStep& step = input.addWaitingStep(1, 8, UrgentRank);
  step.objectiveMs = NowMs + step.estimateMs + 400.0;
  RunPlannerOptions withStopTime;
  withStopTime.stopMs = 900.0;
  cr_assert(input.plan(0, withStopTime).stops.empty());
  cr_assert_eq(input.plan().stops.size(), 1, "without stopMs the run is stopped");
  step.rank = GuaranteedRank;
  cr_assert_eq(input.plan(0, withStopTime).stops.size(), 1, "the guarantee bounds the start");
}

// Steps with the same late chances share cached results of failed placements. With separate late chances for each
// limit, a pass with 900 equal targets and 150 steps took 8.0 ms.
Test(run_planner, late_chances_that_are_about_equal_on_all_targets_are_null) {
  std::vector<PlannedTarget> targets(3);
  TargetIndex equalTargets(targets);
  cr_assert_null(equalTargets.lateChances(0.0));
  targets[1].slowdown = {0.5, 0.05};
  TargetIndex unequalTargets(targets);
  const std::vector<double>* chances = unequalTargets.lateChances(0.2);
  cr_assert_not_null(chances);
  cr_assert_gt((*chances)[1], 0.8, "0.97 on this target, 0.09 on a usual one");
  cr_assert_eq(chances, unequalTargets.lateChances(0.2), "computed once");
  cr_assert_null(unequalTargets.lateChances(1.5), "in time on every target");
  cr_assert_null(unequalTargets.lateChances(-1.5), "late on every target");
}

// A list of targets with tickets belongs to one step. The list of the next step may be allocated at the same address,
// so that a cache keyed by the bare address would confuse them.
Test(run_planner, cached_fast_targets_of_one_step_are_not_used_for_another) {
  PlannerInput input(20);
  for (std::size_t i = 0; i < 20; i += 2) input.target(i).slowdown = Slow;
  for (std::size_t i = 0; i < 10; ++i) {
    PlannedStep& step = input.addWaitingStep(1, 8, UrgentRank);
    step.objectiveMs = NowMs + 3250.0;
    step.tickets.emplace();
    step.tickets->emplace("t" + std::to_string(2 * i), "slow");
    step.tickets->emplace("t" + std::to_string(2 * i + 1), "fast");
  }
  const RunPlan plan = input.plan();
  cr_assert_eq(plan.starts.size(), 10);
  for (const RunPlan::Start& start : plan.starts) {
    cr_assert_eq(start.target, 2 * start.step + 1, "step %zu on target %zu", start.step, start.target);
  }
}

// A target with negative free capacity gets no starts, also if a step needs none of the scarce resource.
Test(run_planner, a_target_with_negative_free_capacity_gets_no_starts) {
  PlannerInput input(2);
  input.addRun(0, 6, rankOf(1, false));
  input.target(0).capacity.accelerators = 4;
  input.target(1).open = false;
  input.target(1).awaited = false;
  input.addWaitingStep(1, 1, UrgentRank);
  input.addWaitingStep(2, 1, rankOf(2, false), true);
  const RunPlan plan = input.plan(1);
  cr_assert(plan.starts.empty());
}

// A target without accelerators must not count as one that is kept fully free for urgent work.
Test(run_planner, a_target_without_accelerators_is_not_kept_fully_free) {
  PlannerInput input(2);
  input.target(0).capacity.accelerators = 0;
  input.target(1).open = false;
  input.addWaitingStep(1, 0, rankOf(2, false));
  cr_assert_eq(input.plan(1).starts.size(), 1);
}

// Guards against single tasks that take the targets of a gang while its members are being stopped after one was lost.
// Guaranteed work must not wait for such a gang.
Test(run_planner, targets_of_a_gang_that_lost_a_member_are_kept_from_steps_of_lower_rank) {
  for (const bool keep : {false, true}) {
    RunPlannerOptions options;
    options.keepGangTargets = keep;
    RunPlanner planner(options);
    PlannerInput input(2);
    input.addRun(0, 8, LowRank);
    input.addRun(1, 8, LowRank);
    input.addWaitingStep(2, 8, UrgentRank, true);
    cr_assert_eq(input.planWith(planner).stops.size(), 2);
    input.removeRuns();
    cr_assert_eq(input.planWith(planner).starts.size(), 2);
    PlannerInput later(2);
    PlannedRun& member = later.addRun(0, 8, UrgentRank);
    member.key = {"w1", {0, 0, 0}, 1};
    member.stopping = true;
    PlannedStep& other = later.addWaitingStep(1, 8, LowRank);
    later.workflow(0).record.set_id("other");
    cr_assert_eq(later.planWith(planner).starts.size(), keep ? 0 : 1);
    other.rank = GuaranteedRank;
    cr_assert_eq(later.planWith(planner).starts.size(), 1);
  }
}

// Guards against a flood of starts on a target that has just been closed because starts never began there, and against
// a target that gets no trial start as long as another run goes on there.
Test(run_planner, a_target_after_a_closure_gets_one_start_beside_its_runs) {
  PlannerInput input(1);
  input.addRun(0, 1, LowRank);
  input.addWaitingStep(3, 1, LowRank);
  input.addWaitingStep(3, 1, LowRank);
  cr_assert_eq(input.plan().starts.size(), 6);
  input.target(0).oneStart = true;
  cr_assert_eq(input.plan().starts.size(), 1);
}

// Guards against a gang that waits for a target which cannot take all of its members, instead of using avoided ones.
Test(run_planner, a_gang_that_needs_several_places_does_not_wait_for_a_target_that_gets_one_start) {
  PlannerInput input;
  PlannedStep& step = input.addWaitingStep(4, 1, UrgentRank, true);
  step.avoided = {"t0", "t1", "t2"};
  input.target(3).oneStart = true;
  cr_assert_eq(input.plan().starts.size(), 4);
}
