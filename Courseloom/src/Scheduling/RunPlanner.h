// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/EndForecast.h"
#include "Courseloom/src/Scheduling/KeptTargets.h"
#include "Courseloom/src/Scheduling/PlacementCache.h"
#include "Courseloom/src/Scheduling/Placer.h"
#include "Courseloom/src/Scheduling/RunPlan.h"
#include "Courseloom/src/Scheduling/StopBackoff.h"
#include "Courseloom/src/Scheduling/VictimSelector.h"

namespace courseloom {

/** \class RunPlanner
 * \brief Decides on which targets waiting tasks start, and which runs are stopped for steps of higher rank.
 *
 * The class uses no clock and does no input or output. Steps are served in the order of rank, then band, then
 * prospect, then objective. A gang is placed as a whole or not at all. Placer chooses the targets of tasks, EndForecast
 * predicts when enough capacity becomes free without stopping a run, and VictimSelector chooses the runs to stop.
 */
class RunPlanner {
 public:
  /** \param options parameters of all passes */
  explicit RunPlanner(RunPlannerOptions options = {}) : m_options(options), m_fillLimits(fillLimitOptions(options)) {}

  /** Makes a whole pass. \param keepFullyFree number of targets to be kept fully free for priority 0
   * \param nowMs wall clock, ms since 1970 */
  RunPlan plan(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs,
               const std::vector<PlannedStep>& steps, unsigned keepFullyFree = 0, double nowMs = 0.0);

  /** Updates the observed demand of gangs while no step waits, so that it decays after their ends. */
  void observe(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs, double nowMs);

  /** Begins a pass that is made in parts. The vectors have to stay valid until finish(). The workflows of the steps are
   * read only here, so they may change during the pass. \param keepFullyFree, nowMs as for plan() */
  void begin(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs,
             const std::vector<PlannedStep>& steps, unsigned keepFullyFree, double nowMs);
  /** Serves steps in their order until all are served or the time limit is reached; called between begin() and
   * finish(). \param timeIsUp called after each step; true ends this call \returns whether all steps are served */
  bool advance(const std::function<bool()>& timeIsUp);
  /** \returns the id of each step's workflow, in the order of the given steps; called between begin() and finish(). */
  std::vector<std::string> workflowsOfSteps() const;
  /** \returns the targets kept for gangs, as of the last begin(); empty without fillLimit. */
  const FillLimits& fillLimits() const { return m_fillLimits; }
  /** \returns the number of open targets that had all of their accelerators free at the last begin(). */
  std::size_t fullyFreeTargets() const { return m_fullyFreeTargets; }
  /** Forgets what was observed of the demand of gangs, as at a change of leader. */
  void clearFillLimits() { m_fillLimits.clear(); }
  /** Ends a pass. \returns the decisions of the pass */
  RunPlan finish();
  /** Discards the records of steps for which runs were stopped or that were started, and that have not begun since.
   * Called when a replica begins or ceases to lead; a pass may be under way. */
  void forgetUnstartedSteps();
  /** \returns ids of the targets that are reserved or being freed for waiting steps, as of the last finished pass. */
  std::set<std::string> heldTargets() const;
  /** \returns the steps for which the planner keeps something from pass to pass: reserved, kept or nominated targets,
   * or stops that wait for their effect. They have to be among the steps of the next pass while they wait. */
  std::set<StopBackoff::StepName> rememberedSteps() const;
  /** \returns the rank of a waiting step after ageing. */
  Rank agedRank(const PlannedStep& step) const { return agedRank(step.rank, step.waitedMs, step.estimateMs); }

 private:
  /** Initial slowdown up to which urgent work is assumed to end in time: 0.4, a run time about 1.5 times the usual. */
  static constexpr double FirstUrgentLimit = 0.4;
  /** Identity of a step across passes: its workflow's id, and its key there. */
  using StepName = StopBackoff::StepName;
  using TargetIds = std::map<StepName, std::set<std::string>>;

  /** State of one pass. */
  struct Pass {
    Pass(const std::vector<PlannedTarget>& givenTargets, const std::vector<PlannedRun>& givenRuns,
         const std::vector<PlannedStep>& givenSteps);

    const std::vector<PlannedRun>& runs;
    const std::vector<PlannedStep>& steps;
    TargetIndex targets;
    std::vector<StepDemand> demands;  ///< by step
    std::vector<StepName> names;      ///< by step
    std::vector<std::size_t> order;   ///< step indexes in the order of serving
    std::size_t next = 0;             ///< position in the order of the next step to be served
    std::vector<bool> endsSoon;       ///< by run: expected to end soon, for no longer than endsSoonLimitMs
    TargetCapacities free;            ///< by target: free capacity now
    TargetCapacities freeAfterEnds;   ///< the same after the runs that are being stopped or end soon have ended
    TargetCapacities freeAfterStops;  ///< the same after the runs that are being stopped have ended
    unsigned gangStops = 0;           ///< number of gangs outside priority 0 for which runs were to be stopped
    double nowMs = 0.0;
    std::unique_ptr<Placer> placer;
    std::unique_ptr<EndForecast> forecast;
    std::unique_ptr<VictimSelector> victimSelector;
    PlacementCache cache;
    TargetIds nominatedTargets;  ///< ids of the targets that are being freed for a step
    TargetIds reservedTargets;   ///< ids of the targets that are reserved for a gang
    std::vector<KeptTargets::Entry>
        holds;  ///< kept for gangs that do not wait yet, until steps of lower rank are served
    RunPlan plan;
  };

  static FillLimitOptions fillLimitOptions(const RunPlannerOptions& options);
  void readSteps();
  void applyAging(StepDemand& demand) const;
  Rank agedRank(Rank rank, double waitedMs, double estimateMs) const;
  void updateUrgentLimit();
  void orderSteps();
  void orderByBands();
  std::vector<unsigned> loadNominations();
  void updateUnstartedSteps();
  std::map<std::string, std::size_t> runsByTarget(const StepName& step) const;
  void findHolds();
  void applyHolds(Rank rank);
  void keepTargets(const StepDemand& demand, const StepPlacement& placement);
  void holdKeptTargets(const StepDemand& demand);
  void findRunsEndingSoon();
  void computeFreeCapacities();
  PlacementCache::Entry* cacheEntryFor(const StepDemand& demand);
  bool maySpread(const StepDemand& demand) const;
  void serve(StepDemand& demand);
  void serveTasks(StepDemand& demand);
  void serveGang(StepDemand& demand);
  std::optional<StepPlacement> placeNow(const StepDemand& demand);
  const TargetGroups& groupsFor(const StepDemand& demand);
  TargetGroups makeGroups(const StepDemand& demand) const;
  double reservationDelayMs(const StepDemand& demand) const;
  void occupy(std::size_t target, const ResourceAmounts& need);
  void close(std::size_t target);
  void addStarts(StepDemand& demand, const StepPlacement& placement);
  void nominateTargets(const StepDemand& demand, const StepPlacement& placement);
  bool waitForEnds(const StepDemand& demand);
  bool preempt(const StepDemand& demand);
  bool preemptForGang(const StepDemand& demand);
  StopBackoff::Permission stopPermission(const StepDemand& demand);
  bool nominateUpcoming(const StepDemand& demand, const TargetCapacities& capacities);
  void recordStops(const StepDemand& demand, const VictimSelector::Selection& selection,
                   const TargetCapacities& capacities, StopBackoff::Permission permission);
  double acceptableLoss(const StepDemand& demand) const;
  bool reliesOnEnds(const StepDemand& demand) const;
  void stop(const StepDemand& demand, const std::vector<std::size_t>& victims);
  void reserve(const StepDemand& demand);
  TargetList lastReservedTargets(const StepDemand& demand) const;

  RunPlannerOptions m_options;
  FillLimits m_fillLimits;             ///< whole targets kept for gangs outside priority 0
  std::size_t m_fullyFreeTargets = 0;  ///< open targets with all accelerators free at the start of the pass
  std::unique_ptr<Pass> m_pass;
  TargetGroups m_unsharedGroups;  ///< target groups of the step being served, if its targets are not shared
  TargetIds m_lastNominated;      ///< targets being freed, of the last pass
  TargetIds m_lastReserved;       ///< reserved targets, of the last pass
  StopBackoff m_stopBackoff;
  KeptTargets m_keptTargets;
  double m_urgentLimit = FirstUrgentLimit;  ///< moving average of the slowdown that new urgent work allows
  std::map<RunKey, double> m_soonSince;     ///< wall clock since when a run is expected to end soon, ms since 1970
};

}  // namespace courseloom
