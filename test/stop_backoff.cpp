// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of StopBackoff and KeptTargets, and of passes of RunPlanner with them: how often runs are stopped for a gang
// whose starts are voided.

#include "Courseloom/src/Scheduling/StopBackoff.h"

#include <algorithm>
#include <deque>

#include "Courseloom/src/Scheduling/RunPlanner.h"
#include "Courseloom/src/Scheduling/TargetHealth.h"
#include "test/main.h"

using namespace courseloom;

namespace {

using Permission = StopBackoff::Permission;

constexpr Rank LowRank = 3;
constexpr std::size_t GangSize = 5;
constexpr std::size_t Accelerators = 8;
/** Runs that are stopped if each target of the gang but the one that voids its starts is cleared once. */
constexpr std::size_t ClearedOnce = (GangSize - 1) * Accelerators;
constexpr double StartMs = 1000000.0;
constexpr double PassMs = 100.0;
/** Time from the order to stop a run to its end, as in docs/design/hard-load.md. */
constexpr double StopMs = 400.0;

const StopBackoff::StepName Step{"w", {0, 0}};

/** \class VoidingCluster
 * \brief Passes of a planner at targets of which the first voids all starts.
 *
 * A gang of five whole targets waits, and single tasks of low rank take each free accelerator. Targets 1 to 4 are full
 * of single tasks. Further targets are occupied by guaranteed runs until releaseMs.
 */
class VoidingCluster {
 public:
  VoidingCluster(const RunPlannerOptions& options, double releaseMs, Rank gangRank = GuaranteedRank)
      : m_options(options), m_planner(options), m_releaseMs(releaseMs), m_gangRank(gangRank) {
    TargetHealthOptions health;
    health.voidBackoff = options.keepGangTargets;
    m_health = TargetHealth(health);
    addWorkflow("gang", GangSize, Accelerators, true);
    addWorkflow("singles", 1000, 1, false);
    for (std::size_t i = 0; i <= GangSize; ++i) addTarget(i);
    for (std::size_t i = 1; i < GangSize; ++i) {
      for (std::size_t n = 0; n < Accelerators; ++n) m_runs.push_back(makeRun("singles", m_nextSingle++, i, true));
    }
    m_runs.push_back(makeRun("guaranteed", 0, GangSize, true));
  }

  /** Makes passes until a time after the start is reached or the gang has begun. */
  void runUntil(double ms) {
    for (; m_now < StartMs + ms && !gangBegun(); m_now += PassMs) {
      endRuns();
      beginRuns();
      pass();
    }
  }
  bool gangBegun() const {
    return std::count_if(m_runs.begin(), m_runs.end(), [](const Run& run) {
             return run.planned.key.workflow == "gang" && run.planned.begun && !run.planned.stopping;
           }) == static_cast<std::ptrdiff_t>(GangSize);
  }

  std::size_t stops = 0;          ///< number of runs stopped for the gang
  std::size_t stopRounds = 0;     ///< number of passes with such stops
  std::size_t gangStarts = 0;     ///< number of planned starts of the whole gang
  std::size_t overridden = 0;     ///< number of overridden delays
  std::size_t delays = 0;         ///< number of reported delays
  std::set<std::string> begunOn;  ///< targets on which single tasks have begun since the gang's first start

 private:
  struct Run {
    PlannedRun planned;
    double endsMs = 0.0;  ///< wall clock at which a run that is being stopped ends
  };

  void addWorkflow(const std::string& id, unsigned count, unsigned accelerators, bool gang) {
    WorkflowState& workflow = m_workflows.emplace_back();
    workflow.record.set_id(id);
    workflow.record.set_service("s");
    schema::StepSpec* spec = workflow.record.mutable_spec()->add_steps();
    spec->set_count(count);
    spec->set_gang(gang);
    spec->mutable_need()->set_accelerators(accelerators);
    spec->mutable_need()->set_cpu_milli(1000);
    spec->mutable_need()->set_memory_mb(100);
  }
  void addTarget(std::size_t index) {
    PlannedTarget& target = m_targets.emplace_back();
    target.id = "t" + std::to_string(index);
    target.agent = "a" + std::to_string(index);
    target.service = "s";
    target.capacity = {64000, 64000, static_cast<std::int64_t>(Accelerators)};
  }
  static Run makeRun(const std::string& workflow, std::uint32_t task, std::size_t target, bool begun) {
    Run run;
    run.planned.key = {workflow, {0, 0, task}, 1};
    run.planned.target = target;
    run.planned.need = {1000, 100, workflow == "singles" ? 1 : static_cast<std::int64_t>(Accelerators)};
    run.planned.rank = workflow == "singles" ? LowRank : GuaranteedRank;
    run.planned.begun = begun;
    run.planned.lostWork = 10.0;
    run.planned.remainingMs = 9000.0;
    if (workflow == "gang") run.planned.gang = "gang";
    return run;
  }

  void endRuns() {
    std::erase_if(m_runs, [this](const Run& run) {
      const bool released = run.planned.key.workflow == "guaranteed" && m_now >= StartMs + m_releaseMs;
      return released || (run.planned.stopping && m_now >= run.endsMs);
    });
  }
  /** Runs that were started by the last pass begin, except on the first target. If a member of the gang does not begin,
   * the others are stopped. */
  void beginRuns() {
    const auto isVoided = [](const Run& run) { return !run.planned.begun && run.planned.target == 0; };
    bool gangLost = false;
    for (const Run& run : m_runs) {
      if (!isVoided(run)) continue;
      const RunKey& key = run.planned.key;
      const bool gang = key.workflow == "gang";
      gangLost = gangLost || gang;
      const std::string start = gang ? "gang/" + std::to_string(gangStarts) : std::to_string(key.task.index);
      m_health.refused("t0", now());
      m_health.voided({"t0", start, {key.workflow, {0, 0}}}, now());
    }
    std::erase_if(m_runs, isVoided);
    for (Run& run : m_runs) {
      const bool stopped = gangLost && run.planned.key.workflow == "gang";
      if (stopped) stop(run, PassMs);
      if (!stopped && !run.planned.begun && run.planned.key.workflow == "singles" && gangStarts > 0)
        begunOn.insert(m_targets[run.planned.target].id);
      if (!stopped) run.planned.begun = true;
    }
  }
  void stop(Run& run, double afterMs) const {
    run.planned.stopping = true;
    run.endsMs = m_now + afterMs;
  }
  Time now() const { return Time(milliseconds(static_cast<std::int64_t>(m_now))); }

  void pass() {
    for (PlannedTarget& target : m_targets) {
      target.open = !m_health.paused(target.id, now()) && !m_health.closedByVoids(target.id, now());
      target.oneStart = m_health.onVoidProbation(target.id, now());
    }
    std::vector<PlannedRun> runs;
    for (const Run& run : m_runs) runs.push_back(run.planned);
    std::vector<PlannedStep> steps;
    const bool gangActive =
        std::any_of(runs.begin(), runs.end(), [](const PlannedRun& run) { return run.key.workflow == "gang"; });
    if (!gangActive) steps.push_back(gangStep());
    steps.push_back(singlesStep());
    const RunPlan plan = m_planner.plan(m_targets, runs, steps, 0, m_now);
    apply(plan, steps);
  }
  PlannedStep gangStep() const {
    PlannedStep step;
    step.workflow = &m_workflows[0];
    step.rank = m_gangRank;
    step.estimateMs = 2000.0;
    step.taskWork = 1000.0;
    step.objectiveMs = m_now + 4000.0;
    step.waitedMs = m_now - StartMs;
    for (std::uint32_t i = 0; i < GangSize; ++i) step.tasks.push_back(i);
    if (m_options.keepGangTargets) step.avoided = m_health.voidedOn({"gang", {0, 0}}, now());
    return step;
  }
  PlannedStep singlesStep() const {
    PlannedStep step;
    step.workflow = &m_workflows[1];
    step.rank = LowRank;
    step.estimateMs = 1000.0;  // short enough for backfill ahead of the gang's reservation
    step.taskWork = 10.0;
    step.objectiveMs = m_now + 40000.0;
    for (std::uint32_t i = 0; i < 100; ++i) step.tasks.push_back(m_nextSingle + i);
    return step;
  }
  void apply(const RunPlan& plan, const std::vector<PlannedStep>& steps) {
    for (const RunPlan::Stop& planned : plan.stops) {
      const auto run = std::find_if(m_runs.begin(), m_runs.end(),
                                    [&](const Run& other) { return other.planned.key == planned.run; });
      stop(*run, StopMs);
    }
    stops += plan.stops.size();
    stopRounds += plan.stops.empty() ? 0 : 1;
    for (const RunPlan::StopDelay& delay : plan.stopDelays) ++(delay.overridden ? overridden : delays);
    bool gang = false;
    for (const RunPlan::Start& start : plan.starts) {
      const std::string& workflow = steps[start.step].workflow->record.id();
      gang = gang || workflow == "gang";
      m_runs.push_back(makeRun(workflow, start.task, start.target, false));
      if (workflow == "singles") m_nextSingle = std::max(m_nextSingle, start.task + 1);
    }
    gangStarts += gang ? 1 : 0;
  }

  RunPlannerOptions m_options;
  RunPlanner m_planner;
  TargetHealth m_health;
  double m_releaseMs;
  Rank m_gangRank;
  std::deque<WorkflowState> m_workflows;
  std::vector<PlannedTarget> m_targets;
  std::vector<Run> m_runs;
  std::uint32_t m_nextSingle = 0;
  double m_now = StartMs;
};

RunPlannerOptions withSwitches(bool keepGangTargets, bool stopBackoff) {
  RunPlannerOptions options;
  options.keepGangTargets = keepGangTargets;
  options.stopBackoff = stopBackoff;
  return options;
}

}  // namespace

// Guards against runs that are stopped without a limit for a step that never starts.
Test(stop_backoff, further_stops_are_delayed_by_a_backoff_that_doubles) {
  StopBackoff backoff;
  cr_assert(backoff.permissionFor(Step, false, StartMs) == Permission::Allowed);
  double now = StartMs;
  double delayMs = StopBackoffOptions().firstDelayMs;
  for (int round = 0; round < 8; ++round) {
    backoff.recordStops(Step, true, 5, 5, Permission::Allowed, now);
    cr_assert(backoff.permissionFor(Step, false, now + delayMs - 1.0) == Permission::Delayed, "round %d", round);
    cr_assert_float_eq(backoff.takeNewDelay(Step, now), delayMs, 0.1);
    cr_assert_float_eq(backoff.takeNewDelay(Step, now), 0.0, 0.1, "each delay is reported once");
    now += delayMs;
    cr_assert(backoff.permissionFor(Step, false, now) == Permission::Allowed, "round %d", round);
    delayMs = std::min(2.0 * delayMs, StopBackoffOptions().longestDelayMs);
  }
}

// Guards against delayed stops for tasks of a step for which no run was stopped before.
Test(stop_backoff, each_task_of_a_step_may_cause_stops_once_without_delay) {
  StopBackoff backoff;
  backoff.recordStops(Step, false, 2, 5, Permission::Allowed, StartMs);
  cr_assert(backoff.permissionFor(Step, false, StartMs) == Permission::Allowed);
  backoff.recordStops(Step, false, 3, 3, Permission::Allowed, StartMs);
  cr_assert(backoff.permissionFor(Step, false, StartMs) == Permission::Delayed);
}

// Guards against a delay that outlives its reason.
Test(stop_backoff, progress_of_a_step_ends_its_delay) {
  StopBackoff tasks;
  tasks.recordStops(Step, false, 5, 5, Permission::Allowed, StartMs);
  tasks.update({{Step, 5}});
  cr_assert(tasks.permissionFor(Step, false, StartMs) == Permission::Delayed);
  tasks.update({{Step, 4}});
  cr_assert(tasks.permissionFor(Step, false, StartMs) == Permission::Allowed);
  StopBackoff gang;
  gang.recordStops(Step, true, 5, 5, Permission::Allowed, StartMs);
  gang.update({{Step, 1}});
  cr_assert(gang.permissionFor(Step, false, StartMs) == Permission::Delayed, "a gang begins with its last member");
  gang.update({{Step, 0}});
  cr_assert(gang.permissionFor(Step, false, StartMs) == Permission::Allowed);
}

// Guards against a guaranteed step that misses its bound because of a delay, and against one that causes stops without
// a bound because its bound is missed already.
Test(stop_backoff, a_missed_bound_overrides_a_delay_once) {
  StopBackoff backoff;
  cr_assert(backoff.permissionFor(Step, true, StartMs) == Permission::Allowed, "nothing is delayed");
  backoff.recordStops(Step, true, 5, 5, Permission::Allowed, StartMs);
  cr_assert(backoff.permissionFor(Step, true, StartMs) == Permission::Overriding);
  backoff.recordStops(Step, true, 5, 5, Permission::Overriding, StartMs);
  cr_assert(backoff.permissionFor(Step, true, StartMs) == Permission::Delayed);
}

// Guards against records that outlive their steps.
Test(stop_backoff, steps_that_no_longer_wait_are_forgotten) {
  StopBackoff backoff;
  backoff.recordStops(Step, true, 5, 5, Permission::Allowed, StartMs);
  StopBackoff::PendingTasks pending;
  backoff.addSteps(pending);
  cr_assert_eq(pending.size(), 1);
  backoff.update(pending);
  pending.clear();
  backoff.addSteps(pending);
  cr_assert(pending.empty());
}

// A new leader does not know which stops led to a start meanwhile, so outdated delays must not remain.
Test(stop_backoff, after_a_change_of_leader_nothing_is_delayed) {
  StopBackoff backoff;
  backoff.recordStops(Step, true, 5, 5, Permission::Allowed, StartMs);
  backoff.clear();
  cr_assert(backoff.permissionFor(Step, false, StartMs) == Permission::Allowed);
}

// Guards against targets that stay free after their gang has begun, or for a gang that never begins.
Test(stop_backoff, targets_are_kept_until_the_gang_has_begun_or_the_time_is_over) {
  KeptTargets kept;
  kept.keep(Step, {GuaranteedRank, {}, {{"t1", 1}}, 0.0}, StartMs);
  kept.update({{Step, 1}}, StartMs + 100.0);
  cr_assert_not_null(kept.find(Step));
  kept.update({{Step, 1}}, StartMs + KeptTargetsOptions().longestMs);
  cr_assert_null(kept.find(Step), "they were kept for longer than allowed");
  kept.keep(Step, {GuaranteedRank, {}, {{"t1", 1}}, 0.0}, StartMs);
  kept.update({{Step, 0}}, StartMs + 100.0);
  cr_assert_null(kept.find(Step), "the gang has begun");
}

// Shows the fault with the switches off: each time a start of the gang is voided, single tasks take its other targets,
// and are stopped for it again.
Test(stop_backoff, without_the_switches_runs_are_stopped_again_for_each_voided_start) {
  VoidingCluster cluster(RunPlannerOptions(), 6000.0);
  cluster.runUntil(6000.0);
  cr_assert_geq(cluster.gangStarts, 4);
  cr_assert_geq(cluster.stops, 4 * ClearedOnce, "%zu runs were stopped in %zu rounds for %zu starts", cluster.stops,
                cluster.stopRounds, cluster.gangStarts);
  cr_assert_eq(cluster.delays + cluster.overridden, 0);
}

// Guards against the same fault: each target is cleared once, and is then kept for the gang.
Test(stop_backoff, a_gang_whose_starts_are_voided_keeps_its_targets_and_starts) {
  VoidingCluster cluster(withSwitches(true, true), 6000.0);
  cluster.runUntil(6000.0);
  cr_assert_leq(cluster.stops, ClearedOnce, "%zu runs were stopped", cluster.stops);
  cr_assert_geq(cluster.gangStarts, 1);
  cluster.runUntil(9000.0);
  cr_assert(cluster.gangBegun(), "the gang did not take the target that became free");
}

// Guards against stops without a bound where the targets are not kept. The delays of 0.8, 1.6 and 3.2 s allow four
// rounds in 6 s, and the start bound of guaranteed work allows one more.
Test(stop_backoff, stops_for_a_gang_that_does_not_start_are_bounded_by_the_backoff) {
  VoidingCluster cluster(withSwitches(false, true), 6000.0);
  cluster.runUntil(6000.0);
  cr_assert_leq(cluster.stopRounds, 5);
  cr_assert_leq(cluster.overridden, 1);
  cr_assert_geq(cluster.delays, 1);
  cluster.runUntil(20000.0);
  cr_assert(cluster.gangBegun(), "the gang did not start although enough targets could be cleared");
}

// Guards against targets that stay free for a gang which cannot start: they are kept for a limited time. The delays of
// 0.8 s, doubling up to 12.8 s, allow eight rounds of stops in 60 s.
Test(stop_backoff, kept_targets_are_released_after_a_while) {
  VoidingCluster cluster(withSwitches(true, true), 1e9, UrgentRank);
  cluster.runUntil(60000.0);
  cr_assert_not(cluster.gangBegun());
  cr_assert_leq(cluster.stopRounds, 8);
  cr_assert_geq(cluster.begunOn.size(), 1, "no single task ran beside a gang that never starts");
}
