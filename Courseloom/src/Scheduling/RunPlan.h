// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/ResourceAmounts.h"
#include "Courseloom/src/Scheduling/RunLedger.h"
#include "Courseloom/src/State/RunTimeEstimator.h"

namespace courseloom {

/** Order in which steps are served, and which of them may preempt runs of others: a lower rank is served first. */
using Rank = std::uint32_t;
/** Work of priority 0 within its tenant's guarantee; it may stop runs of every other rank. */
inline constexpr Rank GuaranteedRank = 0;
/** Other work of priority 0; it may stop runs of lower priority. */
inline constexpr Rank UrgentRank = 1;
/** \returns the rank of a workflow.
 * \param priority the workflow's priority; 0 is the highest
 * \param guaranteed whether the workflow lies within its tenant's guarantee */
Rank rankOf(std::uint32_t priority, bool guaranteed);

/** \class PlannedTarget
 * \brief State of one target as input of a planning pass.
 */
struct PlannedTarget {
  std::string id;
  std::string agent;
  std::string service;
  std::string rack;
  std::set<std::string> labels;
  ResourceAmounts capacity;  ///< total capacity
  bool open = false;         ///< whether new runs may be started on it
  bool awaited = true;       ///< if it is not open: whether it is expected to open soon
  bool single = false;       ///< limited to one run at a time, until a run shows that it works
  bool oneStart = false;     ///< limited to one new run in a pass, beside those that run there
  double penalty = 0.0;      ///< added to its placement cost, so that failing targets are chosen last
  TargetSlowdown slowdown;
};

/** \class PlannedRun
 * \brief State of one active run as input of a planning pass.
 */
struct PlannedRun {
  RunKey key;
  std::size_t target = 0;  ///< index among the planned targets
  ResourceAmounts need;
  Rank rank = UrgentRank;
  bool begun = false;                ///< whether it is known to have begun
  bool stopping = false;             ///< whether a stop has been ordered
  bool preemptible = true;           ///< whether it may be preempted
  bool outlived = false;             ///< has run longer than a quantile of its run time: its end is not relied on
  std::string gang;                  ///< identifies the gang's run; empty for a task outside a gang
  double lostWork = 0.0;             ///< core-seconds of work since its last checkpoint
  double remainingMs = 0.0;          ///< expected time until it ends, ms
  double remainingQuantileMs = 0.0;  ///< quantile of the time until it ends, ms; 0 if no distribution is known
};

/** \class PlannedStep
 * \brief The tasks of one step that wait for free capacity.
 */
struct PlannedStep {
  const WorkflowState* workflow = nullptr;
  StepKey key;
  /** Indexes of waiting tasks: all of a gang; of another step the first ones, as many as a pass examines. */
  std::vector<std::uint32_t> tasks;
  std::size_t waitingTasks = 0;  ///< number of its waiting tasks, in `tasks` or not
  Rank rank = UrgentRank;
  unsigned band = 0;                ///< steps of a lower band are served first within a rank; see FairShare::bandOf()
  double objectiveMs = 0.0;         ///< wall clock by which the workflow should end, ms since 1970
  double worthlessMs = 0.0;         ///< wall clock after which its result has no value, ms since 1970; 0: never
  double taskWork = 0.0;            ///< estimated work of one task, core-seconds
  double estimateMs = 0.0;          ///< expected run time of one task, ms
  double waitedMs = 0.0;            ///< time since the step became ready, ms
  double estimateQuantileMs = 0.0;  ///< quantile of the run time of one task, ms; 0 if no distribution is known
  bool isUrgent() const { return rank <= UrgentRank; }
  bool isGang() const { return workflow->step(key.step).gang(); }
  std::set<std::string> avoided;  ///< targets on which it has failed; used only if no other target could hold it
  std::map<std::string, unsigned> placedOn;  ///< number of its tasks by target id, for the limit per target
  /** Whether its tasks are suspect: each gets a trial start on a separate target, preferably one with few runs that a
   * crash would end, and nothing else is started on that target in the same pass. */
  bool trial = false;
  /** Admission tickets by id of the targets that may run it; no value if it needs no admission. */
  std::optional<std::map<std::string, std::string>> tickets;
};

/** Whether a step's workflow can still end by its objective, or before its result has no value. Within a rank, steps of
 * a lower prospect are served first. */
enum class Prospect : std::uint8_t { InTime, Late, Worthless };
/** \returns the prospect of a step that starts now. \param nowMs wall clock, ms since 1970 */
Prospect prospectOf(const PlannedStep& step, double nowMs);

/** \class RunPlan
 * \brief The runs to start and the runs to stop, as decided by one planning pass.
 */
struct RunPlan {
  /** Start of a task's run on a target. */
  struct Start {
    std::size_t step = 0;  ///< index among the given steps
    std::uint32_t task = 0;
    std::size_t target = 0;  ///< index among the given targets
  };
  /** Stop of a run whose capacity a step needs. */
  struct Stop {
    RunKey run;
    std::size_t forStep = 0;  ///< index among the given steps: the step that gets the freed capacity
  };
  /** A delay of the stops for a step, reported when the delay begins or is overridden. */
  struct StopDelay {
    std::size_t step = 0;     ///< index among the given steps
    double delayMs = 0.0;     ///< time until further stops are possible, ms; 0 if the delay was overridden
    bool overridden = false;  ///< runs were stopped so that a guaranteed step starts within its bound
  };
  std::vector<Start> starts;
  std::vector<Stop> stops;
  std::vector<StopDelay> stopDelays;  ///< delays that began or were overridden in this pass
};

/** \returns the starts whose targets can be reached now; for a gang either all of its starts or none.
 * \param inReach whether the target with an index can be reached
 * \param withheld the indexes of targets that cannot be reached and for which the plan has a start are added here */
std::vector<RunPlan::Start> startsInReach(const RunPlan& plan, const std::vector<PlannedStep>& steps,
                                          const std::function<bool(std::size_t target)>& inReach,
                                          std::set<std::size_t>& withheld);

/** \returns whether a step's workflow is known and has not ended, and the step is not done. */
bool isWaiting(const PlannedStep& step);

/** Removes decisions from a plan that changes committed during planning have made outdated: starts of tasks that are
 * done or already have a run, starts on targets that are no longer open, and starts and stops for a step that no longer
 * waits. If one start of a gang is removed, all of its starts are.
 * \param steps the planned steps, with the current states of their workflows; null for one that no longer exists
 * \param isOpen whether the target with an index is open */
void removeOutdated(RunPlan& plan, const std::vector<PlannedStep>& steps,
                    const std::function<bool(std::size_t target)>& isOpen);

/** \class RunPlannerOptions
 * \brief Parameters of the planner. WorkflowRunner sets some of them from the policy and control settings; tests and
 * benchmarks turn individual mechanisms off.
 */
struct RunPlannerOptions {
  bool preemption = true;  ///< work of priority 0 may stop runs of lower rank
  /** A step whose priority number is above 0 gets the rank of priority 1 once it has waited this multiple of its
   * estimated run time, so that lasting overload starves no class; 0: never. */
  double ageAfterEstimates = 2.0;
  bool prospects = true;      ///< steps that can still end in time are served before late ones
  unsigned reservations = 8;  ///< largest number of waiting gangs that hold a reservation
  /** Multiple of its estimated run time that a gang waits for space in one rack before it may be spread over several
   * racks, where it runs slower. */
  double spreadAfterEstimates = 2.0;
  double reserveAfterMs = 1000.0;  ///< wait after which a gang gets a reservation, ms
  /** Other work may use reserved capacity (backfill) if this multiple of its estimated run time ends before the
   * reservation begins. */
  double backfillMargin = 2.0;
  bool stickyReservations = true;  ///< a gang keeps its reserved targets from one pass to the next
  /** Work of priority 0 waits for runs that are expected to end in time, instead of stopping others. */
  bool patience = true;
  double endsSoonMs = 500.0;  ///< a run expected to end within this time, ms, is about to end: others wait for it
  /** Time, ms, for which a run may be expected to end soon; after that its end is not relied on any more. */
  double endsSoonLimitMs = 1000.0;
  /** Wait, ms, after which guaranteed work relies on no expected end any more and stops the runs in its way: the wait
   * that is promised at most, less the time that a stop takes. */
  double guaranteedStopAfterMs = 2300.0;
  /** Share of its slack (time to its objective less its estimated run time) that guaranteed work may wait for ends. */
  double patienceShare = 0.5;
  double urgentPatienceShare = 0.8;  ///< the same for urgent work outside guarantees, which has no promised start
  double patienceLimitMs = 1400.0;   ///< longest total wait of guaranteed work before runs are stopped for it, ms
  /** Work of others that may be lost per unit of urgent work outside guarantees; guaranteed work has no such limit. */
  double lossRatio = 0.8;
  /** The same for a waiting gang of any other priority, which may stop runs of lower rank; 0: it stops none. */
  double gangLossRatio = 0.0;
  double gangStopsAfterMs = 1000.0;  ///< wait after which such a gang may stop others, ms
  unsigned maxGangStopsPerPlan = 4;  ///< largest number of such gangs per plan
  bool nominations = true;           ///< a target that is being freed for a step is a last choice for other steps
  bool yields = true;                ///< work outside guarantees that would be late stops no runs
  /** Urgent work is placed on targets where it ends in time, other work preferably on slow targets. */
  bool speeds = true;
  /** Cost of a target on which work is sure to end late although it would end in time on a usual target, in units of
   * one accelerator left free on the target. */
  double lateCost = 30.0;
  double slowTargetCost = 2.0;       ///< cost of a target for urgent work per unit of the target's slowdown
  double slowTargetDiscount = 10.0;  ///< subtracted for other work per unit of slowdown or, with slowByUrgentLateness,
                                     ///< of the chance that urgent work is late: fast targets stay free for urgent work
  /** Wait, ms, after which guaranteed work may be placed on any target with free capacity, fast or slow: its promise
   * concerns only the time of its start. */
  double guaranteedAnyTargetAfterMs = 500.0;
  /** Other work prefers targets on which urgent work would be late, rather than targets of a high slowdown. */
  bool slowByUrgentLateness = true;
  /** Time from a stop order to the end of the run, ms. With `yields`, work outside guarantees that would be late after
   * this time stops no runs; 0 ignores it. */
  double stopMs = 0.0;
  /** A gang that lost a member before its start keeps the targets that were cleared for it. Requires `nominations`. */
  bool keepGangTargets = false;
  bool stopBackoff = false;  ///< further stops for a step that does not start are delayed
  /** Reservations are dated, and backfill is checked, by quantiles of run times where they are known. */
  bool quantileDates = false;
  bool fillLimit = false;        ///< steps of small tasks leave fully free targets to gangs outside priority 0
  double fillShare = 0.5;        ///< largest share of the targets that they leave free
  double fillFixedShare = 0.0;   ///< share that they always leave free, regardless of the demand of gangs; 0: by demand
  double fillHoldMs = 10000.0;   ///< time for which the observed demand of gangs is kept before it decays, ms
  double fillDecayMs = 20000.0;  ///< time constant of this decay, ms
  bool headroom = true;          ///< fully free targets are kept for priority 0
  double headroomWaitMs = 4000.0;  ///< wait after which other work may use these targets, ms
};

}  // namespace courseloom
