// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Compares RunPlanner with ReferencePlanner: on the same load its decisions have to be the same or better.

#include <map>
#include <numeric>
#include <set>

#include "Courseloom/src/Scheduling/RunPlanner.h"
#include "test/PlannerLoad.h"
#include "test/main.h"
#include "test/reference/ReferencePlanner.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

constexpr std::uint64_t LoadCount = 1000;
constexpr int PassesPerLoad = 3;

/** Totals of plans: work that is started, and work that is lost by stops, in core-seconds. */
struct PlanTotals {
  double started = 0.0;
  double startedUrgent = 0.0;
  double lost = 0.0;
  std::size_t stops = 0;

  void add(const PlanTotals& other) {
    started += other.started;
    startedUrgent += other.startedUrgent;
    lost += other.lost;
    stops += other.stops;
  }
};

PlanTotals totalsOf(const PlannerLoad& load, const RunPlan& plan) {
  PlanTotals totals;
  for (const RunPlan::Start& start : plan.starts) {
    const PlannedStep& step = load.steps[start.step];
    totals.started += step.taskWork;
    if (step.isUrgent()) totals.startedUrgent += step.taskWork;
  }
  std::map<RunKey, double> lost;
  for (const PlannedRun& run : load.runs) lost[run.key] = run.lostWork;
  for (const RunPlan::Stop& stop : plan.stops) totals.lost += lost.at(stop.run);
  totals.stops = plan.stops.size();
  return totals;
}

bool mayStartOn(const PlannedTarget& target, const PlannedStep& step) {
  const std::string& label = step.workflow->step(0).required_label();
  const bool fits = target.service == step.workflow->record.service() && (label.empty() || target.labels.count(label));
  return target.open && fits && (!step.tickets || step.tickets->count(target.id) > 0);
}

/** \returns which rule the starts of a plan violate, or an empty string. */
std::string faultOfStarts(const PlannerLoad& load, const RunPlan& plan) {
  TargetCapacities freeCapacities;
  for (const PlannedTarget& target : load.targets) freeCapacities.push_back(target.capacity);
  std::vector<unsigned> running(load.targets.size(), 0);
  for (const PlannedRun& run : load.runs) {
    freeCapacities[run.target].subtract(run.need);
    ++running[run.target];
  }
  std::map<std::size_t, std::map<std::size_t, unsigned>> onTargets;  // by step
  std::map<std::size_t, std::set<std::uint32_t>> tasks;
  for (const RunPlan::Start& start : plan.starts) {
    const PlannedStep& step = load.steps[start.step];
    if (!mayStartOn(load.targets[start.target], step)) return "a start on a target that the step may not use";
    const ResourceAmounts need = resourceAmountsOf(step.workflow->step(0));
    if (!freeCapacities[start.target].holds(need)) return "a start without free capacity";
    freeCapacities[start.target].subtract(need);
    if (load.targets[start.target].single && ++running[start.target] > 1)
      return "several runs on a target on probation";
    if (!tasks[start.step].insert(start.task).second) return "a task started twice";
    const unsigned limit = step.workflow->step(0).max_per_target();
    const auto before = step.placedOn.find(load.targets[start.target].id);
    const unsigned count = ++onTargets[start.step][start.target] + (before == step.placedOn.end() ? 0 : before->second);
    if (limit > 0 && count > limit) return "more tasks of a step on one target than allowed";
  }
  for (const auto& [index, started] : tasks) {
    const bool gang = load.steps[index].workflow->step(0).gang();
    if (gang && started.size() != load.steps[index].tasks.size()) return "a gang started in part";
  }
  return {};
}

/** \returns which rule the stops of a plan violate, or an empty string. */
std::string faultOfStops(const PlannerLoad& load, const RunPlan& plan) {
  std::map<RunKey, const PlannedRun*> byKey;
  for (const PlannedRun& run : load.runs) byKey[run.key] = &run;
  std::set<RunKey> stopped;
  std::set<std::string> gangs;
  for (const RunPlan::Stop& stop : plan.stops) {
    const PlannedRun& run = *byKey.at(stop.run);
    if (!stopped.insert(stop.run).second) return "a run stopped twice";
    if (run.stopping || !run.preemptible) return "a run that must not be stopped";
    if (run.rank <= load.steps[stop.forStep].rank) return "a run of the same rank or a higher one";
    if (!run.gang.empty()) gangs.insert(run.gang);
  }
  for (const PlannedRun& run : load.runs) {
    if (gangs.count(run.gang) > 0 && stopped.count(run.key) == 0 && run.remainingMs > 500.0)
      return "a gang stopped in part";
  }
  return {};
}

/** \returns by step and rack how many tasks start. */
std::map<std::size_t, std::map<std::string, unsigned>> racksOf(const PlannerLoad& load, const RunPlan& plan) {
  std::map<std::size_t, std::map<std::string, unsigned>> racks;
  for (const RunPlan::Start& start : plan.starts) ++racks[start.step][load.targets[start.target].rack];
  return racks;
}

}  // namespace

Test(run_planner_reference, on_1000_loads_the_rules_hold_and_no_less_work_is_started) {
  PlanTotals current;
  PlanTotals expected;
  std::size_t equalPlans = 0;
  for (std::uint64_t seed = 1; seed <= LoadCount; ++seed) {
    PlannerLoad load = PlannerLoad::mixed(seed);
    RunPlanner planner;
    ReferencePlanner reference;
    for (int pass = 0; pass < PassesPerLoad; ++pass) {
      const RunPlan plan = planner.plan(load.targets, load.runs, load.steps, load.keepFullyFree, load.nowMs);
      const RunPlan other = reference.plan(load.targets, load.runs, load.steps, load.keepFullyFree, load.nowMs);
      const std::string fault = faultOfStarts(load, plan) + faultOfStops(load, plan);
      cr_assert(fault.empty(), "seed %lu, pass %d: %s", seed, pass, fault.c_str());
      current.add(totalsOf(load, plan));
      expected.add(totalsOf(load, other));
      const bool equal = racksOf(load, plan) == racksOf(load, other) && plan.stops.size() == other.stops.size();
      equalPlans += equal ? 1 : 0;
      if (!equal) cr_log_info("seed %lu, pass %d: different plan", seed, pass);
      load.advance(300.0);
    }
  }
  cr_log_info(
      "%zu of %lu plans equal; started %.0f against %.0f core-seconds, urgent %.0f against %.0f, lost %.0f "
      "against %.0f in %zu against %zu stops",
      equalPlans, LoadCount * PassesPerLoad, current.started, expected.started, current.startedUrgent,
      expected.startedUrgent, current.lost, expected.lost, current.stops, expected.stops);
  cr_assert_geq(current.started, expected.started);
  cr_assert_geq(current.startedUrgent, expected.startedUrgent);
  cr_assert_leq(current.lost, expected.lost);
}

// Bands must not break a rule, and the order with them has to be the same in both planners.
Test(run_planner_reference, on_200_loads_with_bands_the_rules_hold_and_no_less_work_is_started) {
  PlanTotals current;
  PlanTotals expected;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    PlannerLoad load = PlannerLoad::mixed(seed);
    for (std::size_t i = 0; i < load.steps.size(); ++i) load.steps[i].band = static_cast<unsigned>((seed + 7 * i) % 4);
    RunPlanner planner;
    ReferencePlanner reference;
    for (int pass = 0; pass < PassesPerLoad; ++pass) {
      const RunPlan plan = planner.plan(load.targets, load.runs, load.steps, load.keepFullyFree, load.nowMs);
      const RunPlan other = reference.plan(load.targets, load.runs, load.steps, load.keepFullyFree, load.nowMs);
      const std::string fault = faultOfStarts(load, plan) + faultOfStops(load, plan);
      cr_assert(fault.empty(), "seed %lu, pass %d: %s", seed, pass, fault.c_str());
      current.add(totalsOf(load, plan));
      expected.add(totalsOf(load, other));
      load.advance(300.0);
    }
  }
  cr_log_info("started %.0f against %.0f core-seconds, urgent %.0f against %.0f", current.started, expected.started,
              current.startedUrgent, expected.startedUrgent);
  cr_assert_geq(current.started, expected.started);
  cr_assert_geq(current.startedUrgent, expected.startedUrgent);
  cr_assert_leq(current.lost, expected.lost);
}

// On the load of a full cluster, with which the planner's time is measured, both planners decide the same.
Test(run_planner_reference, on_a_full_cluster_as_much_is_started_and_stopped) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const PlannerLoad load = PlannerLoad::full(60, 4, seed);
    RunPlanner planner;
    ReferencePlanner reference;
    const RunPlan plan = planner.plan(load.targets, load.runs, load.steps, 4, load.nowMs);
    const RunPlan other = reference.plan(load.targets, load.runs, load.steps, 4, load.nowMs);
    cr_assert_eq(plan.starts.size(), other.starts.size());
    cr_assert_eq(plan.stops.size(), other.stops.size());
    cr_assert_eq(totalsOf(load, plan).lost, totalsOf(load, other).lost);
  }
}

// A pass that yields after each step decides the same as an uninterrupted pass.
Test(run_planner_reference, a_pass_made_in_parts_decides_the_same) {
  const PlannerLoad load = PlannerLoad::full(60, 4, 5);
  RunPlanner whole;
  const RunPlan plan = whole.plan(load.targets, load.runs, load.steps, 4, load.nowMs);
  RunPlanner parts;
  parts.begin(load.targets, load.runs, load.steps, 4, load.nowMs);
  int count = 1;
  while (!parts.advance([] { return true; })) ++count;
  const RunPlan other = parts.finish();
  cr_assert_eq(count, static_cast<int>(load.steps.size()));
  cr_assert_eq(plan.starts.size(), other.starts.size());
  cr_assert_eq(plan.stops.size(), other.stops.size());
}
