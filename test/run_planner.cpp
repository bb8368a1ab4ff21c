// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Where runs of workflows go, and what makes room for whom.

#include "Courseloom/src/Scheduling/RunPlanner.h"

#include <algorithm>
#include <deque>

#include "test/main.h"

using namespace courseloom;

namespace {

constexpr double NowMs = 1000000.0;

/** \class PlannerTable
 * \brief Targets, runs and steps of one test; two racks of two targets, 8 accelerators each.
 */
class PlannerTable {
 public:
  explicit PlannerTable(std::size_t targets = 4) {
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

  /** A step of its own workflow that waits with all its tasks. */
  PlannedStep& waits(unsigned count, unsigned accelerators, Rank rank, bool gang = false) {
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

  /** A run on a target. */
  PlannedRun& runs(std::size_t target, unsigned accelerators, Rank rank, double remainingMs = 9000.0) {
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
  /** Plans with a planner that has planned before. */
  RunPlan planWith(RunPlanner& planner, unsigned keepFullyFree = 0) {
    return planner.plan(m_targets, m_runs, m_steps, keepFullyFree, nowMs);
  }
  void endRuns() { m_runs.clear(); }
  WorkflowState& workflow(std::size_t step) { return m_workflows[step]; }
  /** Makes a step one whose workflow is no longer known. */
  void forgetWorkflow(std::size_t step) { m_steps[step].workflow = nullptr; }
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
  PlannerTable table;
  table.waits(5, 8, LowRank, true);
  cr_assert(table.plan().starts.empty());
  PlannerTable fitting;
  fitting.waits(4, 8, LowRank, true);
  cr_assert_eq(fitting.plan().starts.size(), 4);
}

Test(run_planner, tasks_of_their_own_start_as_far_as_there_is_room) {
  PlannerTable table;
  table.waits(5, 8, LowRank);
  cr_assert_eq(table.plan().starts.size(), 4);
}

Test(run_planner, tasks_are_packed_so_that_whole_targets_stay_free) {
  PlannerTable table;
  table.runs(2, 4, LowRank);
  table.waits(4, 1, LowRank);
  const RunPlan plan = table.plan();
  cr_assert_eq(plan.starts.size(), 4);
  cr_assert(targetsOf(plan) == std::set<std::size_t>{2});
}

Test(run_planner, a_gang_of_one_rack_stays_in_it) {
  PlannerTable table;
  table.runs(0, 8, LowRank);
  PlannedStep& step = table.waits(2, 8, UrgentRank, true);
  table.specOf(step).set_same_rack(true);
  cr_assert((targetsOf(table.plan()) == std::set<std::size_t>{2, 3}));
}

// Spread over racks because a target is paused for a moment, a gang took 42 s for 8 s of work.
Test(run_planner, a_gang_of_one_rack_waits_for_a_target_that_is_closed_for_a_moment) {
  PlannerTable table;
  table.runs(0, 8, LowRank);
  table.target(3).open = false;
  PlannedStep& step = table.waits(2, 8, LowRank, true);
  table.specOf(step).set_same_rack(true);
  cr_assert(table.plan().starts.empty());
  step.waitedMs = 5000.0;
  cr_assert_eq(table.plan().starts.size(), 2, "after twice its run time, slower is better than later");
}

Test(run_planner, a_gang_that_no_rack_could_ever_hold_spreads_at_once) {
  PlannerTable table;
  PlannedStep& step = table.waits(3, 8, LowRank, true);
  table.specOf(step).set_same_rack(true);
  cr_assert_eq(table.plan().starts.size(), 3);
}

Test(run_planner, label_limit_and_closed_targets_are_obeyed) {
  PlannerTable table;
  table.target(0).open = false;
  table.target(1).service = "other";
  table.target(3).labels.insert("fast");
  PlannedStep& step = table.waits(3, 1, LowRank);
  table.specOf(step).set_required_label("fast");
  table.specOf(step).set_max_per_target(2);
  const RunPlan plan = table.plan();
  cr_assert_eq(plan.starts.size(), 2);
  cr_assert(targetsOf(plan) == std::set<std::size_t>{3});
}

Test(run_planner, without_a_ticket_nothing_starts) {
  PlannerTable table;
  PlannedStep& step = table.waits(2, 1, LowRank);
  step.tickets.emplace();
  cr_assert(table.plan().starts.empty());
  step.tickets->emplace("t1", "ticket");
  cr_assert((targetsOf(table.plan()) == std::set<std::size_t>{1}));
}

Test(run_planner, work_near_its_data_waits_for_it_before_it_goes_far) {
  PlannerTable table;
  table.runs(2, 8, LowRank);
  table.runs(3, 8, LowRank);
  PlannedStep& step = table.waits(1, 1, LowRank);
  table.specOf(step).set_preferred_rack("r1");
  cr_assert(table.plan().starts.empty());
  step.waitedMs = 3000.0;
  cr_assert_eq(table.plan().starts.size(), 1);
}

Test(run_planner, a_filler_takes_no_processor_time) {
  PlannerTable table(1);
  PlannedStep& step = table.waits(1, 0, LowRank);
  table.specOf(step).mutable_need()->set_cpu_milli(100000);
  cr_assert(table.plan().starts.empty());
  table.specOf(step).set_filler(true);
  cr_assert_eq(table.plan().starts.size(), 1);
}

// Without ranks, guaranteed work waits for other urgent work beyond its bound.
Test(run_planner, guaranteed_work_stops_other_urgent_work) {
  PlannerTable table;
  for (std::size_t i = 0; i < 4; ++i) table.runs(i, 8, UrgentRank);
  PlannedStep& step = table.waits(2, 8, GuaranteedRank, true);
  cr_assert_eq(table.plan().stops.size(), 2);
  step.rank = UrgentRank;
  cr_assert(table.plan().stops.empty(), "urgent work must not stop its like");
}

Test(run_planner, a_start_out_of_reach_waits_and_a_gang_waits_as_a_whole) {
  PlannerTable table(2);
  table.waits(2, 8, LowRank);
  const auto reach = [](std::size_t target) { return target == 0; };
  std::set<std::size_t> withheld;
  cr_assert_eq(startsInReach(table.plan(), table.steps(), reach, withheld).size(), 1);
  cr_assert(withheld == std::set<std::size_t>{1});
  PlannerTable gang(2);
  gang.waits(2, 8, LowRank, true);
  withheld.clear();
  cr_assert(startsInReach(gang.plan(), gang.steps(), reach, withheld).empty());
  cr_assert(withheld == std::set<std::size_t>{1});
}

// With half of the targets gone for good, strict ranks let nothing of the lowest priority end.
Test(run_planner, work_of_low_priority_that_waited_long_gets_its_turn) {
  PlannerTable table(1);
  PlannedStep& higher = table.waits(1, 8, rankOf(1, false));
  higher.objectiveMs = NowMs + 9000.0;
  PlannedStep& lower = table.waits(1, 8, rankOf(2, false));
  const auto servedFirst = [&table] { return table.plan().starts.front().step; };
  cr_assert_eq(servedFirst(), 0);
  lower.waitedMs = 4100.0;
  cr_assert_eq(servedFirst(), 1, "its objective is the earlier one");
  RunPlannerOptions strict;
  strict.ageAfterEstimates = 0.0;
  cr_assert_eq(table.plan(0, strict).starts.front().step, 0);
}

Test(run_planner, guaranteed_work_is_never_stopped) {
  PlannerTable table(1);
  table.runs(0, 8, GuaranteedRank);
  table.waits(1, 8, GuaranteedRank);
  cr_assert(table.plan().stops.empty());
}

Test(run_planner, a_target_that_is_being_freed_for_one_step_is_the_last_choice_of_others) {
  PlannerTable table(2);
  RunPlanner planner;
  table.runs(0, 8, LowRank);
  table.runs(1, 8, LowRank).lostWork = 20.0;
  table.waits(1, 8, UrgentRank);
  cr_assert(table.planWith(planner).stops.size() == 1);
  table.endRuns();
  PlannedStep& other = table.waits(1, 1, GuaranteedRank);
  other.objectiveMs = NowMs;
  const RunPlan plan = table.planWith(planner);
  cr_assert_eq(plan.starts.size(), 2);
  cr_assert_eq(plan.starts.front().target, 1, "the first target was freed for the urgent step");
}

Test(run_planner, the_cheapest_victims_are_chosen_and_gangs_as_a_whole) {
  PlannerTable table(2);
  PlannedRun& dear = table.runs(0, 8, LowRank);
  dear.lostWork = 500.0;
  PlannedRun& member = table.runs(1, 8, LowRank);
  member.lostWork = 20.0;
  table.waits(1, 8, UrgentRank);
  const RunPlan plan = table.plan();
  cr_assert_eq(plan.stops.size(), 1);
  cr_assert(plan.stops.front().run.workflow == "running2");
  PlannerTable gang(2);
  for (std::size_t i = 0; i < 2; ++i) gang.runs(i, 8, LowRank).gang = "g";
  gang.waits(1, 8, UrgentRank);
  cr_assert_eq(gang.plan().stops.size(), 2, "a part of a gang must not go on without the rest");
}

Test(run_planner, urgent_work_outside_guarantees_stops_only_what_it_is_worth) {
  PlannerTable table(1);
  table.runs(0, 8, LowRank).lostWork = 5000.0;
  PlannedStep& step = table.waits(1, 8, UrgentRank);
  cr_assert(table.plan().stops.empty());
  step.rank = GuaranteedRank;
  cr_assert_eq(table.plan().stops.size(), 1);
}

// Guaranteed work has to begin within a bound; runs that are about to end, one after the other, must not use it up.
Test(run_planner, guaranteed_work_near_its_bound_counts_on_no_end) {
  PlannerTable table(1);
  table.runs(0, 8, LowRank, 300.0);
  PlannedStep& step = table.waits(1, 8, GuaranteedRank);
  step.waitedMs = 2200.0;
  cr_assert(table.plan().stops.empty());
  step.waitedMs = 2400.0;
  cr_assert_eq(table.plan().stops.size(), 1);
  step.rank = UrgentRank;
  cr_assert(table.plan().stops.empty(), "no promise bounds it");
}

Test(run_planner, a_run_that_is_about_to_end_is_not_stopped) {
  PlannerTable table(1);
  table.runs(0, 8, LowRank, 300.0).lostWork = 0.0;
  PlannedStep& step = table.waits(1, 8, GuaranteedRank);
  step.waitedMs = 2000.0;
  cr_assert(table.plan().stops.empty());
}

Test(run_planner, what_is_being_stopped_is_enough_and_is_kept_for_whom_it_was_stopped) {
  PlannerTable table(1);
  table.runs(0, 8, LowRank).stopping = true;
  table.waits(1, 8, UrgentRank);
  table.waits(1, 1, LowRank);
  const RunPlan plan = table.plan();
  cr_assert(plan.stops.empty());
  cr_assert(plan.starts.empty());
}

Test(run_planner, urgent_work_waits_for_runs_that_end_in_time) {
  PlannerTable table(1);
  table.runs(0, 8, LowRank, 700.0);
  PlannedStep& step = table.waits(1, 8, UrgentRank);
  cr_assert(table.plan().stops.empty());
  step.rank = GuaranteedRank;
  step.waitedMs = 1200.0;
  cr_assert_eq(table.plan().stops.size(), 1, "its patience has a limit");
  step.rank = UrgentRank;
  step.waitedMs = 0.0;
  RunPlannerOptions impatient;
  impatient.patience = false;
  cr_assert_eq(table.plan(0, impatient).stops.size(), 1);
}

Test(run_planner, whole_targets_are_kept_for_urgent_work_for_a_while) {
  PlannerTable table(2);
  PlannedStep& step = table.waits(2, 8, LowRank);
  cr_assert_eq(table.plan(1).starts.size(), 1);
  step.waitedMs = 5000.0;
  cr_assert_eq(table.plan(1).starts.size(), 2);
  step.waitedMs = 0.0;
  step.rank = UrgentRank;
  cr_assert_eq(table.plan(1).starts.size(), 2);
}

Test(run_planner, a_gang_that_waits_is_not_overtaken_by_longer_work) {
  PlannerTable table(2);
  table.runs(0, 8, LowRank, 1000.0);
  PlannedStep& gang = table.waits(2, 8, LowRank, true);
  gang.waitedMs = 2000.0;
  gang.objectiveMs = NowMs;
  PlannedStep& later = table.waits(1, 8, LowRank);
  later.estimateMs = 5000.0;
  cr_assert(table.plan().starts.empty());
  later.estimateMs = 500.0;
  cr_assert_eq(table.plan().starts.size(), 1, "what ends before the gang could start fills the gap");
}

Test(run_planner, a_workflow_does_not_return_to_where_it_failed_while_others_could_hold_it) {
  PlannerTable test(2);
  test.runs(1, 8, 3);
  PlannedStep& step = test.waits(1, 4, 3);
  step.avoided = {"t0"};
  cr_assert(test.plan().starts.empty(), "it went where it had failed, although the other target will have room");
  test.target(1).open = false;
  cr_assert_eq(test.plan().starts.size(), 1, "no other target could hold it");
}

// A job whose gang failed on three of four targets waited for good for the last one, which was on probation and took
// one run at a time: nothing else was left to show that it works.
Test(run_planner, a_gang_that_failed_elsewhere_does_not_wait_for_a_target_on_probation) {
  PlannerTable table;
  PlannedStep& step = table.waits(4, 1, UrgentRank, true);
  step.avoided = {"t0", "t1", "t2"};
  table.target(3).single = true;
  cr_assert_eq(table.plan().starts.size(), 4);
}

Test(run_planner, a_gang_that_failed_elsewhere_does_not_wait_for_a_target_that_is_gone) {
  PlannerTable table;
  PlannedStep& step = table.waits(4, 1, UrgentRank, true);
  step.avoided = {"t0", "t1", "t2"};
  table.target(3).open = false;
  cr_assert(table.plan().starts.empty(), "it is back in a moment, and sound as far as is known");
  table.target(3).awaited = false;
  cr_assert_eq(table.plan().starts.size(), 4);
}

Test(run_planner, an_urgent_gang_does_not_wait_for_a_rack_that_has_lost_a_target) {
  PlannerTable table;
  table.runs(2, 8, GuaranteedRank);
  PlannedStep& step = table.waits(2, 8, UrgentRank, true);
  table.specOf(step).set_same_rack(true);
  table.target(0).open = false;
  cr_assert(table.plan().starts.empty(), "one rack will be whole again, the other free");
  table.target(0).awaited = false;
  table.target(2).awaited = false;
  table.target(2).open = false;
  cr_assert((targetsOf(table.plan()) == std::set<std::size_t>{1, 3}));
}

Test(run_planner, a_target_that_has_yet_to_show_that_it_works_gets_one_run_at_a_time) {
  PlannerTable test(1);
  test.target(0).single = true;
  test.waits(4, 1, 3);
  test.waits(2, 1, 3);
  cr_assert_eq(test.plan().starts.size(), 1);
  test.runs(0, 1, 3);
  cr_assert(test.plan().starts.empty());
}

Test(run_planner, what_can_still_be_in_time_goes_before_what_is_late) {
  PlannerTable test(1);
  PlannedStep& worthless = test.waits(1, 8, 3);
  worthless.objectiveMs = NowMs - 9000.0;
  worthless.worthlessMs = NowMs - 1000.0;
  PlannedStep& late = test.waits(1, 8, 3);
  late.objectiveMs = NowMs + 500.0;
  late.worthlessMs = NowMs + 9000.0;
  PlannedStep& inTime = test.waits(1, 8, 3);
  inTime.objectiveMs = NowMs + 4000.0;
  const RunPlan plan = test.plan();
  cr_assert_eq(plan.starts.size(), 1);
  cr_assert_eq(plan.starts[0].step, 2);
  RunPlannerOptions options;
  options.prospects = false;
  cr_assert_eq(test.plan(0, options).starts[0].step, 0, "the earliest objective first");
}

Test(run_planner, a_gang_that_has_waited_stops_cheap_work_of_lower_priority) {
  PlannerTable test(2);
  test.runs(0, 8, 4).lostWork = 2.0;
  test.runs(1, 8, 4).lostWork = 2.0;
  PlannedStep& gang = test.waits(2, 8, 3, true);
  gang.taskWork = 100.0;
  RunPlannerOptions options;
  options.gangLossRatio = 0.06;
  gang.waitedMs = 500.0;
  cr_assert(test.plan(0, options).stops.empty(), "it has hardly waited");
  gang.waitedMs = 1500.0;
  cr_assert_eq(test.plan(0, options).stops.size(), 2);
  options.gangLossRatio = 0.0;
  cr_assert(test.plan(0, options).stops.empty());
}

Test(run_planner, a_run_that_should_have_ended_long_ago_is_stopped_for_guaranteed_work) {
  PlannerTable test(1);
  test.runs(0, 8, 3, 100.0);
  PlannedStep& gang = test.waits(1, 8, GuaranteedRank, true);
  gang.waitedMs = 1500.0;
  RunPlanner planner;
  cr_assert(test.planWith(planner).stops.empty(), "it ends by itself");
  test.nowMs += 1500.0;
  cr_assert_eq(test.planWith(planner).stops.size(), 1, "it has not ended, and the bound comes nearer");
}

// While a pass yields, work is cancelled, starts elsewhere, and targets close; none of that may be started all the
// same.
Test(run_planner, a_plan_keeps_only_what_still_fits_when_it_is_committed) {
  const auto planFor = [](PlannerTable& test) {
    test.waits(1, 8, LowRank);
    test.waits(2, 8, LowRank, true);
    return test.plan();
  };
  const auto startsOf = [](const RunPlan& plan, std::size_t step) {
    return std::count_if(plan.starts.begin(), plan.starts.end(), [&](const auto& start) { return start.step == step; });
  };
  const auto open = [](std::size_t) { return true; };
  PlannerTable same;
  RunPlan plan = planFor(same);
  removeOutdated(plan, same.steps(), open);
  cr_assert_eq(plan.starts.size(), 3);

  PlannerTable closed;
  plan = planFor(closed);
  const std::size_t lost = plan.starts.back().target;
  removeOutdated(plan, closed.steps(), [lost](std::size_t target) { return target != lost; });
  cr_assert_eq(startsOf(plan, 0), 1);
  cr_assert_eq(startsOf(plan, 1), 0, "of a gang all or none");

  PlannerTable started;
  plan = planFor(started);
  started.workflow(1).tasks[{0, 0, 1}].active.emplace_back();
  removeOutdated(plan, started.steps(), open);
  cr_assert_eq(startsOf(plan, 1), 0, "a member runs already");

  PlannerTable gone;
  plan = planFor(gone);
  plan.stops.push_back({RunKey{}, 0});
  gone.forgetWorkflow(0);
  gone.workflow(1).record.set_phase(schema::WorkflowCancelled);
  removeOutdated(plan, gone.steps(), open);
  cr_assert(plan.starts.empty());
  cr_assert(plan.stops.empty(), "nothing is stopped for work that is gone");
}

// ---- targets of different speed

namespace {

/** Slowness of a target on which a task takes 1.7 times as long, known well. */
const TargetSlowdown Slow = {0.53, 0.05};
const TargetSlowdown Fast = {-0.36, 0.05};

bool startsOn(const RunPlan& plan, std::size_t target) { return targetsOf(plan).count(target) > 0; }

}  // namespace

Test(run_planner, an_urgent_gang_leaves_out_the_target_that_would_make_it_late) {
  PlannerTable table(4);
  table.target(1).pace = Slow;
  table.waits(3, 8, UrgentRank, true).objectiveMs = NowMs + 3250.0;
  const RunPlan plan = table.plan();
  cr_assert_eq(plan.starts.size(), 3);
  cr_assert_not(startsOn(plan, 1));
}

Test(run_planner, an_urgent_gang_that_only_slow_targets_can_complete_takes_them) {
  PlannerTable table(4);
  table.target(1).pace = Slow;
  table.waits(4, 8, UrgentRank, true).objectiveMs = NowMs + 3250.0;
  cr_assert_eq(table.plan().starts.size(), 4);
}

Test(run_planner, urgent_work_that_is_late_anyway_takes_what_is_free) {
  PlannerTable table(2);
  table.target(0).pace = Slow;
  table.runs(1, 8, GuaranteedRank);
  table.waits(1, 8, UrgentRank).objectiveMs = NowMs - 5000.0;
  cr_assert(startsOn(table.plan(), 0));
}

Test(run_planner, guaranteed_work_that_waited_begins_on_a_slow_target) {
  PlannerTable table(2);
  table.target(0).pace = Slow;
  table.runs(1, 8, GuaranteedRank);
  PlannedStep& step = table.waits(1, 8, GuaranteedRank);
  step.objectiveMs = NowMs + 3250.0;
  cr_assert(table.plan().starts.empty(), "it waits a moment for a fast one");
  step.waitedMs = 600.0;
  cr_assert(startsOn(table.plan(), 0), "its promise is when it begins");
}

Test(run_planner, other_work_takes_slow_targets_and_leaves_the_fast_ones) {
  PlannerTable table(4);
  for (const std::size_t fast : {0, 1, 3}) table.target(fast).pace = Fast;
  table.target(2).pace = Slow;
  table.waits(1, 8, rankOf(1, false)).objectiveMs = NowMs + 20000.0;
  cr_assert(startsOn(table.plan(), 2));
}

// Urgent work bears a quarter more time: slow targets are no reason to scatter other work over all racks.
Test(run_planner, other_work_is_packed_where_urgent_work_would_be_in_time_anywhere) {
  PlannerTable table(4);
  table.target(3).pace = {0.1, 0.02};
  table.runs(0, 4, rankOf(1, false));
  table.waits(1, 4, rankOf(1, false)).objectiveMs = NowMs + 20000.0;
  cr_assert(startsOn(table.plan(), 0));
  RunPlannerOptions belowMean;
  belowMean.slowByUrgentLateness = false;
  belowMean.slowTargetDiscount = 60.0;
  cr_assert(startsOn(table.plan(0, belowMean), 3), "the variant scatters it");
}

// Stopped runs hold their targets for up to 900 ms more; a gang that is late after that gains nothing by the stop.
Test(run_planner, urgent_work_stops_nothing_if_it_would_be_late_once_the_stop_is_done) {
  PlannerTable table(1);
  table.runs(0, 8, LowRank).lostWork = 1.0;
  PlannedStep& step = table.waits(1, 8, UrgentRank);
  step.objectiveMs = NowMs + step.estimateMs + 400.0;
  RunPlannerOptions inTime;
  inTime.stopMs = 900.0;
  cr_assert(table.plan(0, inTime).stops.empty());
  cr_assert_eq(table.plan().stops.size(), 1, "the variant without it stops the run");
  step.rank = GuaranteedRank;
  cr_assert_eq(table.plan(0, inTime).stops.size(), 1, "guaranteed work has a promise to begin");
}

// Steps that share what they asked for in vain are told apart by their chances: 8.0 ms a pass with 900 alike targets
// and 150 steps, where each limit had its own.
Test(run_planner, chances_that_are_about_the_same_on_all_targets_say_nothing) {
  std::vector<PlannedTarget> targets(3);
  TargetIndex alike(targets);
  cr_assert_null(alike.lateChances(0.0));
  targets[1].pace = {0.5, 0.05};
  TargetIndex unlike(targets);
  const std::vector<double>* chances = unlike.lateChances(0.2);
  cr_assert_not_null(chances);
  cr_assert_gt((*chances)[1], 0.8, "0.97 there, 0.09 on a usual one");
  cr_assert_eq(chances, unlike.lateChances(0.2), "worked out once");
  cr_assert_null(unlike.lateChances(1.5), "in time on any");
  cr_assert_null(unlike.lateChances(-1.5), "late on all");
}

// Lists of targets with tickets belong to one step each, and the next one may lie where the last one lay.
Test(run_planner, fast_targets_of_one_step_are_never_taken_for_those_of_another) {
  PlannerTable table(20);
  for (std::size_t i = 0; i < 20; i += 2) table.target(i).pace = Slow;
  for (std::size_t i = 0; i < 10; ++i) {
    PlannedStep& step = table.waits(1, 8, UrgentRank);
    step.objectiveMs = NowMs + 3250.0;
    step.tickets.emplace();
    step.tickets->emplace("t" + std::to_string(2 * i), "slow");
    step.tickets->emplace("t" + std::to_string(2 * i + 1), "fast");
  }
  const RunPlan plan = table.plan();
  cr_assert_eq(plan.starts.size(), 10);
  for (const RunPlan::Start& start : plan.starts) {
    cr_assert_eq(start.target, 2 * start.step + 1, "step %zu on target %zu", start.step, start.target);
  }
}

// A room below zero takes nothing, also beside a step that needs none of what is short.
Test(run_planner, a_target_that_has_shrunk_below_what_runs_there_gets_nothing) {
  PlannerTable test(2);
  test.runs(0, 6, rankOf(1, false));
  test.target(0).capacity.accelerators = 4;
  test.target(1).open = false;
  test.target(1).awaited = false;
  test.waits(1, 1, UrgentRank);
  test.waits(2, 1, rankOf(2, false), true);
  const RunPlan plan = test.plan(1);
  cr_assert(plan.starts.empty());
}

// Without accelerators a target is not one that is kept whole for urgent work.
Test(run_planner, a_target_that_has_lost_its_accelerators_is_not_kept_whole) {
  PlannerTable test(2);
  test.target(0).capacity.accelerators = 0;
  test.target(1).open = false;
  test.waits(1, 0, rankOf(2, false));
  cr_assert_eq(test.plan(1).starts.size(), 1);
}
