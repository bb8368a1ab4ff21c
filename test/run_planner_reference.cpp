// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The planner against its plain form: on the same load the same decisions, or better ones.

#include <map>
#include <numeric>
#include <set>

#include "Courseloom/src/Scheduling/RunPlanner.h"
#include "test/PlannerLoad.h"
#include "test/main.h"
#include "test/reference/FormerPlanner.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

constexpr std::uint64_t Loads = 1000;
constexpr int PassesEach = 3;

/** What a plan starts, and what it costs others, in core-seconds. */
struct Account {
  double started = 0.0;
  double startedUrgent = 0.0;
  double lost = 0.0;
  std::size_t stops = 0;

  void add(const Account& other) {
    started += other.started;
    startedUrgent += other.startedUrgent;
    lost += other.lost;
    stops += other.stops;
  }
};

Account accountOf(const PlannerLoad& load, const RunPlan& plan) {
  Account account;
  for (const RunPlan::Start& start : plan.starts) {
    const PlannedStep& step = load.steps[start.step];
    account.started += step.taskWork;
    if (step.isUrgent()) account.startedUrgent += step.taskWork;
  }
  std::map<RunKey, double> lost;
  for (const PlannedRun& run : load.runs) lost[run.key] = run.lostWork;
  for (const RunPlan::Stop& stop : plan.stops) account.lost += lost.at(stop.run);
  account.stops = plan.stops.size();
  return account;
}

bool mayHave(const PlannedTarget& target, const PlannedStep& step) {
  const std::string& label = step.workflow->step(0).required_label();
  const bool fits = target.service == step.workflow->record.service() && (label.empty() || target.labels.count(label));
  return target.open && fits && (!step.tickets || step.tickets->count(target.id) > 0);
}

/** \returns what is wrong with the starts of a plan, or an empty string. */
std::string faultOfStarts(const PlannerLoad& load, const RunPlan& plan) {
  TargetCapacities rooms;
  for (const PlannedTarget& target : load.targets) rooms.push_back(target.capacity);
  std::vector<unsigned> running(load.targets.size(), 0);
  for (const PlannedRun& run : load.runs) {
    rooms[run.target].subtract(run.need);
    ++running[run.target];
  }
  std::map<std::size_t, std::map<std::size_t, unsigned>> onTargets;  // by step
  std::map<std::size_t, std::set<std::uint32_t>> tasks;
  for (const RunPlan::Start& start : plan.starts) {
    const PlannedStep& step = load.steps[start.step];
    if (!mayHave(load.targets[start.target], step)) return "a target that may not have it";
    const ResourceAmounts need = resourceAmountsOf(step.workflow->step(0));
    if (!rooms[start.target].holds(need)) return "no room";
    rooms[start.target].subtract(need);
    if (load.targets[start.target].single && ++running[start.target] > 1)
      return "several runs on a target on probation";
    if (!tasks[start.step].insert(start.task).second) return "a task twice";
    const unsigned most = step.workflow->step(0).max_per_target();
    const auto before = step.placedOn.find(load.targets[start.target].id);
    const unsigned has = ++onTargets[start.step][start.target] + (before == step.placedOn.end() ? 0 : before->second);
    if (most > 0 && has > most) return "more than its limit on one target";
  }
  for (const auto& [index, started] : tasks) {
    const bool gang = load.steps[index].workflow->step(0).gang();
    if (gang && started.size() != load.steps[index].tasks.size()) return "a part of a gang";
  }
  return {};
}

/** \returns what is wrong with the stops of a plan, or an empty string. */
std::string faultOfStops(const PlannerLoad& load, const RunPlan& plan) {
  std::map<RunKey, const PlannedRun*> byKey;
  for (const PlannedRun& run : load.runs) byKey[run.key] = &run;
  std::set<RunKey> stopped;
  std::set<std::string> gangs;
  for (const RunPlan::Stop& stop : plan.stops) {
    const PlannedRun& run = *byKey.at(stop.run);
    if (!stopped.insert(stop.run).second) return "a run twice";
    if (run.stopping || !run.preemptible) return "a run that is not to be stopped";
    if (run.rank <= load.steps[stop.forStep].rank) return "a run of the same rank or a higher one";
    if (!run.gang.empty()) gangs.insert(run.gang);
  }
  for (const PlannedRun& run : load.runs) {
    if (gangs.count(run.gang) > 0 && stopped.count(run.key) == 0 && run.remainingMs > 500.0)
      return "a part of a gang is stopped";
  }
  return {};
}

/** \returns by step how many tasks start in each rack. */
std::map<std::size_t, std::map<std::string, unsigned>> racksOf(const PlannerLoad& load, const RunPlan& plan) {
  std::map<std::size_t, std::map<std::string, unsigned>> racks;
  for (const RunPlan::Start& start : plan.starts) ++racks[start.step][load.targets[start.target].rack];
  return racks;
}

}  // namespace

Test(run_planner_reference, on_1000_loads_the_rules_hold_and_no_less_is_placed) {
  Account now;
  Account former;
  std::size_t same = 0;
  for (std::uint64_t seed = 1; seed <= Loads; ++seed) {
    PlannerLoad load = PlannerLoad::mixed(seed);
    RunPlanner planner;
    FormerPlanner reference;
    for (int pass = 0; pass < PassesEach; ++pass) {
      const RunPlan plan = planner.plan(load.targets, load.runs, load.steps, load.keepFullyFree, load.nowMs);
      const RunPlan other = reference.plan(load.targets, load.runs, load.steps, load.keepFullyFree, load.nowMs);
      const std::string fault = faultOfStarts(load, plan) + faultOfStops(load, plan);
      cr_assert(fault.empty(), "seed %lu, pass %d: %s", seed, pass, fault.c_str());
      now.add(accountOf(load, plan));
      former.add(accountOf(load, other));
      const bool equal = racksOf(load, plan) == racksOf(load, other) && plan.stops.size() == other.stops.size();
      same += equal ? 1 : 0;
      if (!equal) cr_log_info("seed %lu, pass %d: another plan", seed, pass);
      load.pass(300.0);
    }
  }
  cr_log_info(
      "%zu of %lu plans alike; started %.0f against %.0f core-seconds, urgent %.0f against %.0f, lost %.0f "
      "against %.0f in %zu against %zu stops",
      same, Loads * PassesEach, now.started, former.started, now.startedUrgent, former.startedUrgent, now.lost,
      former.lost, now.stops, former.stops);
  cr_assert_geq(now.started, former.started);
  cr_assert_geq(now.startedUrgent, former.startedUrgent);
  cr_assert_leq(now.lost, former.lost);
}

// The load of a full cluster, on which the planner's time is measured: nothing is decided differently there.
Test(run_planner_reference, on_a_full_cluster_as_much_is_started_and_stopped) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const PlannerLoad load = PlannerLoad::full(60, 4, seed);
    RunPlanner planner;
    FormerPlanner reference;
    const RunPlan plan = planner.plan(load.targets, load.runs, load.steps, 4, load.nowMs);
    const RunPlan other = reference.plan(load.targets, load.runs, load.steps, 4, load.nowMs);
    cr_assert_eq(plan.starts.size(), other.starts.size());
    cr_assert_eq(plan.stops.size(), other.stops.size());
    cr_assert_eq(accountOf(load, plan).lost, accountOf(load, other).lost);
  }
}

// A pass that yields between steps decides what one in a single go decides.
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
