// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of the number of whole targets that small tasks leave free for gangs.

#include "Courseloom/src/Scheduling/FillLimit.h"

#include <deque>

#include "Courseloom/src/Scheduling/RunPlanner.h"
#include "test/main.h"

using namespace courseloom;

namespace {

constexpr double NowMs = 1000000.0;
constexpr ResourceAmounts WholeTarget = {64000, 64000, 8};
constexpr ResourceAmounts OneAccelerator = {1000, 100, 1};

GangDemand waiting(std::size_t targets) { return {targets, false, false}; }
GangDemand running(std::size_t targets) { return {targets, true, false}; }

/** \class LimitsInput
 * \brief Input of FillLimits: targets of the service "s" and gangs of tasks that need whole targets.
 */
class LimitsInput {
 public:
  explicit LimitsInput(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      PlannedTarget& target = targets.emplace_back();
      target.service = "s";
      target.capacity = WholeTarget;
      target.open = true;
    }
  }
  PlannedStep& addWaitingGang(std::uint32_t tasks, std::uint32_t accelerators, Rank rank = rankOf(1, false)) {
    WorkflowState& workflow = m_workflows.emplace_back();
    workflow.record.set_service("s");
    schema::StepSpec* spec = workflow.record.mutable_spec()->add_steps();
    spec->set_count(tasks);
    spec->set_gang(true);
    spec->mutable_need()->set_accelerators(accelerators);
    PlannedStep& step = steps.emplace_back();
    step.workflow = &workflow;
    step.rank = rank;
    for (std::uint32_t i = 0; i < tasks; ++i) step.tasks.push_back(i);
    return step;
  }
  FreeTargets update(FillLimits& limits, std::size_t headroom = 0) const {
    limits.update(targets, runs, steps, headroom, NowMs);
    return limits.keptFor("s");
  }
  std::vector<PlannedTarget> targets;
  std::vector<PlannedRun> runs;
  std::vector<PlannedStep> steps;

 private:
  std::deque<WorkflowState> m_workflows;
};

}  // namespace

// A load without gangs must use all targets: kept targets would only stay idle.
Test(fill_limit, nothing_is_kept_without_gangs) {
  FillLimit limit;
  cr_assert_eq(limit.targetsToKeep(40).targets, 0);
  limit.update({}, NowMs);
  cr_assert_eq(limit.targetsToKeep(40, 3).targets, 0, "the headroom alone is no reason for a limit");
}

// Guards against a limit that counts only one of several gangs that wait at the same time.
Test(fill_limit, targets_are_kept_for_the_gangs_that_wait_at_once) {
  FillLimit limit;
  limit.update({waiting(3), waiting(4)}, NowMs);
  cr_assert_eq(limit.targetsToKeep(40).targets, 7);
}

// A limit that never fell would keep targets free long after the last gang.
Test(fill_limit, the_kept_targets_decay_after_the_last_gang) {
  FillLimit limit;
  limit.update({waiting(8)}, NowMs);
  limit.update({}, NowMs);
  limit.update({}, NowMs + 4000.0);
  limit.update({}, NowMs + 10000.0);
  cr_assert_eq(limit.targetsToKeep(40).targets, 8, "gangs that come back after a gap find all of their targets");
  limit.update({}, NowMs + 30000.0);
  cr_assert_eq(limit.targetsToKeep(40).targets, 3, "after one time constant");
  limit.update({}, NowMs + 120000.0);
  cr_assert_eq(limit.targetsToKeep(40).targets, 0);
}

// There are few updates while nothing waits. The demand of a gang that ran until now must not decay from the last
// update on.
Test(fill_limit, the_demand_is_taken_to_be_unchanged_between_two_updates) {
  FillLimit limit;
  limit.update({running(8)}, NowMs);
  limit.update({}, NowMs + 30000.0);
  cr_assert_eq(limit.targetsToKeep(40).targets, 8);
}

// A step of the wall clock must neither raise the demand nor remove it.
Test(fill_limit, a_clock_that_steps_back_leaves_the_peak) {
  FillLimit limit;
  limit.update({waiting(8)}, NowMs);
  limit.update({}, NowMs - 500000.0);
  cr_assert_eq(limit.targetsToKeep(40).targets, 8);
}

// Targets that gangs already hold must not be kept free a second time.
Test(fill_limit, targets_held_by_running_gangs_are_subtracted) {
  FillLimit limit;
  limit.update({waiting(8)}, NowMs);
  limit.update({running(5)}, NowMs);
  cr_assert_eq(limit.targetsToKeep(40).targets, 3);
  limit.update({running(5), running(6)}, NowMs);
  cr_assert_eq(limit.targetsToKeep(40).targets, 0, "gangs hold all that they needed at once");
}

// Without this bound, waiting gangs of more targets than there are would keep all targets from other work.
Test(fill_limit, at_most_the_share_of_the_targets_is_kept) {
  FillLimitOptions options;
  options.largestShare = 0.25;
  FillLimit limit(options);
  limit.update({waiting(30)}, NowMs);
  cr_assert_eq(limit.targetsToKeep(40).targets, 10);
  cr_assert_eq(limit.targetsToKeep(40, 8).targets, 10);
  cr_assert_eq(limit.targetsToKeep(1).targets, 0);
}

// Gangs outside priority 0 leave the headroom free. If it were not added, they would find fewer targets than they need.
Test(fill_limit, the_headroom_is_added_to_the_demand_of_gangs) {
  FillLimit limit;
  limit.update({waiting(6)}, NowMs);
  cr_assert_eq(limit.targetsToKeep(40, 2).targets, 8);
}

// Guards against a configured share that the observed demand changes.
Test(fill_limit, a_fixed_share_is_kept_whatever_gangs_need) {
  FillLimitOptions options;
  options.fixedShare = 0.2;
  FillLimit limit(options);
  cr_assert_eq(limit.targetsToKeep(40).targets, 8);
  limit.update({waiting(30)}, NowMs);
  cr_assert_eq(limit.targetsToKeep(40).targets, 8);
}

// Targets kept in several racks are of no use to a gang that has to be within one rack.
Test(fill_limit, the_largest_gang_of_one_rack_determines_how_many_are_kept_in_a_rack) {
  FillLimit limit;
  limit.update({{4, false, true}, {3, false, true}, {6, false, false}}, NowMs);
  cr_assert_eq(limit.targetsToKeep(40).inRack, 4);
  limit.update({running(11)}, NowMs);
  cr_assert_eq(limit.targetsToKeep(40).inRack, 2, "no more than are kept at all");
}

// Guards against a limit for work that fits nowhere else or is urgent, and against small tasks that wait for good.
Test(fill_limit, the_limit_applies_to_small_tasks_until_their_longest_wait) {
  const FillLimit limit;
  cr_assert(limit.appliesTo(false, false, OneAccelerator, WholeTarget, 0.0));
  cr_assert_not(limit.appliesTo(true, false, OneAccelerator, WholeTarget, 0.0), "a gang");
  cr_assert_not(limit.appliesTo(false, true, OneAccelerator, WholeTarget, 0.0), "work of priority 0");
  cr_assert_not(limit.appliesTo(false, false, WholeTarget, WholeTarget, 0.0), "it fits nowhere else");
  cr_assert(limit.appliesTo(false, false, OneAccelerator, WholeTarget, 3999.0));
  cr_assert_not(limit.appliesTo(false, false, OneAccelerator, WholeTarget, 4000.0), "no step starves");
}

// Guards against targets kept for gangs that fit on shared targets, or for urgent gangs, for which the headroom is
// kept.
Test(fill_limits, gangs_outside_priority_0_count_with_the_targets_that_they_need_entirely) {
  LimitsInput input(40);
  input.addWaitingGang(3, 8);
  input.addWaitingGang(4, 4);
  input.addWaitingGang(16, 1);
  input.addWaitingGang(9, 8, UrgentRank);
  FillLimits limits;
  cr_assert_eq(input.update(limits).targets, 5, "3 whole targets, and 2 with two tasks each");
  cr_assert(limits.appliesTo("s", false, false, OneAccelerator, 0.0));
  cr_assert_not(limits.appliesTo("other", false, false, OneAccelerator, 0.0));
}

// Guards against targets that are lost to a gang while its runs are being stopped.
Test(fill_limits, runs_of_gangs_hold_their_targets_until_they_are_stopped) {
  LimitsInput input(40);
  for (std::size_t i = 0; i < 4; ++i) {
    PlannedRun& run = input.runs.emplace_back();
    run.target = i;
    run.need = WholeTarget;
    run.rank = rankOf(1, false);
    run.gang = "g";
  }
  FillLimits limits;
  cr_assert_eq(input.update(limits).targets, 0);
  for (PlannedRun& run : input.runs) run.stopping = true;
  cr_assert_eq(input.update(limits).targets, 4, "the gang will need its targets again");
}

// Otherwise a gang of one rack that returns just after its end finds too few of the kept targets in any rack.
Test(fill_limits, the_demand_in_one_rack_does_not_decay_while_the_gang_runs) {
  LimitsInput input(40);
  for (std::size_t i = 0; i < 40; ++i) input.targets[i].rack = "r" + std::to_string(i / 8);
  input.addWaitingGang(8, 8);
  for (std::size_t i = 0; i < 8; ++i) {
    PlannedRun& run = input.runs.emplace_back();
    run.target = i < 4 ? i : 2 * i;
    run.need = WholeTarget;
    run.rank = rankOf(1, false);
    run.gang = i < 4 ? "one rack" : "several racks";
  }
  FillLimits limits;
  cr_assert((input.update(limits) == FreeTargets{8, 4}));
}

// Targets that leave while they are kept free must not raise the share that is kept of the others.
Test(fill_limits, closed_targets_do_not_count_for_the_share) {
  LimitsInput input(8);
  input.addWaitingGang(8, 8);
  FillLimits limits;
  cr_assert_eq(input.update(limits).targets, 4);
  for (std::size_t i = 0; i < 4; ++i) input.targets[i].open = false;
  cr_assert_eq(input.update(limits).targets, 2);
  input.targets.clear();
  cr_assert_eq(input.update(limits).targets, 0);
}

// The demand seen by a former term must not keep targets free under a new one.
Test(fill_limits, a_new_leader_builds_the_demand_from_the_gangs_that_wait) {
  LimitsInput input(40);
  input.addWaitingGang(6, 8);
  FillLimits limits;
  input.update(limits);
  input.steps.clear();
  cr_assert_eq(input.update(limits).targets, 6);
  limits.clear();
  cr_assert_eq(input.update(limits).targets, 0);
  input.addWaitingGang(2, 8);
  cr_assert_eq(input.update(limits).targets, 2);
}

// ---- with the planner

namespace {

constexpr Rank GangRank = UrgentRank + 1;  ///< of priority 1
constexpr Rank BulkRank = UrgentRank + 2;  ///< of priority 2

/** \class PlannerSimulation
 * \brief Plans, starts, stops and ends runs on equal targets with 8 accelerators each, in racks of four.
 */
class PlannerSimulation {
 public:
  /** One step of a workflow, and what became of it. */
  struct Work {
    WorkflowState workflow;
    PlannedStep step;
    double readyMs = 0.0;
    double runMs = 0.0;  ///< run time of each of its tasks
    std::optional<double> waitMs;
    std::size_t ended = 0;  ///< number of its tasks that ended
  };

  explicit PlannerSimulation(std::size_t targets, RunPlannerOptions options) : planner(options) {
    for (std::size_t i = 0; i < targets; ++i) {
      PlannedTarget& target = m_targets.emplace_back();
      target.id = "t" + std::to_string(i);
      target.service = "s";
      target.rack = "r" + std::to_string(i / 4);
      target.capacity = WholeTarget;
      target.open = true;
    }
  }

  Work& add(std::uint32_t tasks, std::uint32_t accelerators, Rank rank, bool gang, double runMs) {
    Work& work = m_work.emplace_back();
    work.workflow.record.set_id("w" + std::to_string(m_work.size()));
    work.workflow.record.set_service("s");
    schema::StepSpec* spec = work.workflow.record.mutable_spec()->add_steps();
    spec->set_count(tasks);
    spec->set_gang(gang);
    spec->mutable_need()->set_accelerators(accelerators);
    work.readyMs = m_nowMs;
    work.runMs = runMs;
    PlannedStep& step = work.step;
    step.workflow = &work.workflow;
    step.rank = rank;
    step.estimateMs = runMs;
    step.objectiveMs = NowMs + m_nowMs + 3.0 * runMs;
    for (std::uint32_t i = 0; i < tasks; ++i) step.tasks.push_back(i);
    return work;
  }

  /** Plans every 100 ms. */
  void advance(double ms) {
    for (const double untilMs = m_nowMs + ms; m_nowMs < untilMs; m_nowMs += 100.0) {
      endRuns();
      plan();
    }
  }
  /** Makes one plan. */
  void plan() {
    std::vector<PlannedStep> steps;
    std::vector<Work*> owners;
    for (Work& work : m_work) {
      if (work.step.tasks.empty()) continue;
      work.step.waitedMs = m_nowMs - work.readyMs;
      steps.push_back(work.step);
      owners.push_back(&work);
    }
    std::vector<PlannedRun> runs;
    for (const Active& active : m_active) runs.push_back(active.run);
    const RunPlan plan = planner.plan(m_targets, runs, steps, 0, NowMs + m_nowMs);
    stops += plan.stops.size();
    for (const RunPlan::Start& start : plan.starts) this->start(*owners[start.step], start);
  }

  PlannedTarget& target(std::size_t i) { return m_targets[i]; }
  /** \returns the targets of the active runs of a step. */
  std::set<std::size_t> targetsOf(const Work& work) const {
    std::set<std::size_t> targets;
    for (const Active& active : m_active) {
      if (active.work == &work) targets.insert(active.run.target);
    }
    return targets;
  }

  RunPlanner planner;
  std::size_t stops = 0;

 private:
  struct Active {
    Work* work = nullptr;
    PlannedRun run;
  };

  void start(Work& work, const RunPlan::Start& start) {
    if (!work.waitMs) work.waitMs = m_nowMs - work.readyMs;
    std::erase(work.step.tasks, start.task);
    PlannedRun run;
    run.key = {work.workflow.record.id(), {0, 0, start.task}, 1};
    run.target = start.target;
    run.need = resourceAmountsOf(work.workflow.step(0));
    run.rank = work.step.rank;
    run.remainingMs = work.runMs;
    if (work.step.isGang()) run.gang = work.workflow.record.id();
    m_active.push_back({&work, run});
  }
  void endRuns() {
    for (Active& active : m_active) {
      active.run.remainingMs -= 100.0;
      if (active.run.remainingMs <= 0.0) ++active.work->ended;
    }
    std::erase_if(m_active, [](const Active& active) { return active.run.remainingMs <= 0.0; });
  }

  double m_nowMs = 0.0;
  std::vector<PlannedTarget> m_targets;
  std::deque<Work> m_work;
  std::vector<Active> m_active;
};

RunPlannerOptions withFillLimit() {
  RunPlannerOptions options;
  options.fillLimit = true;
  return options;
}

/** Waits of gangs that arrive half a second after 200 single tasks. */
struct BulkResult {
  double longestGangWaitMs = 0.0;
  std::size_t stops = 0;
  std::size_t endedTasks = 0;
};

/** Two gangs of eight whole targets run once, so that the demand is known, and come back after the single tasks. */
BulkResult simulateBulk(const RunPlannerOptions& options) {
  PlannerSimulation simulation(40, options);
  simulation.add(8, 8, GangRank, true, 2000.0);
  simulation.add(8, 8, GangRank, true, 2000.0);
  simulation.advance(5000.0);
  const PlannerSimulation::Work& bulk = simulation.add(200, 1, BulkRank, false, 3000.0);
  // The rest of the targets is occupied too, so that the single tasks take everything that is free.
  const PlannerSimulation::Work& more = simulation.add(120, 1, BulkRank, false, 3000.0);
  simulation.advance(500.0);
  const PlannerSimulation::Work& first = simulation.add(8, 8, GangRank, true, 2000.0);
  const PlannerSimulation::Work& second = simulation.add(8, 8, GangRank, true, 2000.0);
  simulation.advance(20000.0);
  return {std::max(first.waitMs.value_or(1e9), second.waitMs.value_or(1e9)), simulation.stops, bulk.ended + more.ended};
}

}  // namespace

// The load for which the limit is made: single tasks occupy each accelerator as soon as it becomes free, and gangs that
// arrive just after them wait until whole targets are free again.
Test(fill_limit_planner, gangs_that_arrive_after_a_bulk_of_single_tasks_start_at_once) {
  const BulkResult off = simulateBulk({});
  const BulkResult on = simulateBulk(withFillLimit());
  cr_assert_gt(off.longestGangWaitMs + 1000.0 * static_cast<double>(off.stops), 1000.0);
  cr_assert_eq(on.longestGangWaitMs, 0.0, "%.0f ms", on.longestGangWaitMs);
  cr_assert_eq(on.stops, 0);
  cr_assert_eq(off.endedTasks, 320);
  cr_assert_eq(on.endedTasks, 320, "the single tasks must not starve");
}

// A gang that can never start keeps targets free for as long as it waits. Small tasks use them after their longest
// wait.
Test(fill_limit_planner, small_tasks_use_the_kept_targets_after_their_longest_wait) {
  PlannerSimulation simulation(8, withFillLimit());
  const PlannerSimulation::Work& used = simulation.add(32, 1, BulkRank, false, 60000.0);
  simulation.plan();
  cr_assert_eq(simulation.targetsOf(used).size(), 4);
  simulation.add(9, 8, GangRank, true, 2000.0);
  const PlannerSimulation::Work& small = simulation.add(8, 1, BulkRank, false, 10000.0);
  simulation.advance(3900.0);
  cr_assert_not(small.waitMs.has_value());
  simulation.advance(500.0);
  cr_assert(small.waitMs.has_value());
  cr_assert_leq(*small.waitMs, 4000.0);
}

// A new leader knows no demand of gangs yet, and must not keep targets free without one.
Test(fill_limit_planner, a_new_leader_decides_as_with_the_switch_off_until_gangs_wait) {
  PlannerSimulation simulation(8, withFillLimit());
  simulation.add(4, 8, GangRank, true, 1000.0);
  simulation.advance(2000.0);
  simulation.planner.clearFillLimits();
  const PlannerSimulation::Work& small = simulation.add(200, 1, BulkRank, false, 10000.0);
  simulation.plan();
  cr_assert_eq(simulation.targetsOf(small).size(), 8);
}

// Targets that leave while they are kept free must not be made up for by keeping more of the others.
Test(fill_limit_planner, small_tasks_use_half_of_the_targets_that_remain) {
  PlannerSimulation simulation(8, withFillLimit());
  simulation.add(4, 8, GangRank, true, 1000.0);
  simulation.advance(2000.0);
  for (const std::size_t left : {4, 5, 6, 7}) simulation.target(left).open = false;
  const PlannerSimulation::Work& small = simulation.add(200, 1, BulkRank, false, 10000.0);
  simulation.plan();
  cr_assert_eq(simulation.targetsOf(small).size(), 2);
}

// Free targets in several racks are of no use to a gang that needs one rack.
Test(fill_limit_planner, targets_are_kept_in_the_rack_that_has_the_most_fully_free_ones) {
  PlannerSimulation simulation(16, withFillLimit());
  for (const std::size_t closed : {0, 4, 5, 8, 9, 12, 13}) simulation.target(closed).open = false;
  PlannerSimulation::Work& gang = simulation.add(4, 8, GangRank, true, 2000.0);
  gang.workflow.record.mutable_spec()->mutable_steps(0)->set_same_rack(true);
  const PlannerSimulation::Work& small = simulation.add(8, 1, BulkRank, false, 10000.0);
  simulation.plan();
  cr_assert(gang.step.tasks.size() == 4, "no rack is complete");
  cr_assert((simulation.targetsOf(small) == std::set<std::size_t>{6}));
}

// A fully free target that is slow would otherwise cost less than a partly used one.
Test(fill_limit_planner, small_tasks_use_partly_used_targets_first) {
  PlannerSimulation simulation(8, withFillLimit());
  simulation.add(2, 8, GangRank, true, 1000.0);
  simulation.advance(1500.0);
  const PlannerSimulation::Work& used = simulation.add(1, 1, BulkRank, false, 10000.0);
  simulation.plan();
  const std::set<std::size_t> partlyUsed = simulation.targetsOf(used);
  for (std::size_t i = 0; i < 8; ++i) {
    if (partlyUsed.count(i) == 0) simulation.target(i).slowdown = {0.53, 0.05};
  }
  const PlannerSimulation::Work& small = simulation.add(1, 1, BulkRank, false, 10000.0);
  simulation.plan();
  cr_assert(simulation.targetsOf(small) == partlyUsed);
}

// Otherwise two gangs that need one rack each find only one rack with enough fully free targets.
Test(fill_limit_planner, small_tasks_use_up_the_racks_with_the_fewest_fully_free_targets_first) {
  PlannerSimulation simulation(16, withFillLimit());
  for (int i = 0; i < 2; ++i) {
    PlannerSimulation::Work& gang = simulation.add(4, 8, GangRank, true, 1000.0);
    gang.workflow.record.mutable_spec()->mutable_steps(0)->set_same_rack(true);
  }
  simulation.advance(2000.0);
  for (const std::size_t closed : {5, 10, 11}) simulation.target(closed).open = false;
  const PlannerSimulation::Work& small = simulation.add(32, 1, BulkRank, false, 10000.0);
  simulation.plan();
  cr_assert((simulation.targetsOf(small) == std::set<std::size_t>{4, 6, 8, 9}));
}
