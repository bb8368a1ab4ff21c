// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Scheduling/RunPlanner.h"

namespace courseloom::test {

/** \class ReferencePlanner
 * \brief Simple form of RunPlanner without indexes and caches, with whose plans tests compare those of RunPlanner.
 *
 * The class examines every target and every expected end again for each task. It decides on which targets waiting tasks
 * start, and which runs are stopped for steps of higher rank.
 *
 * The class uses no clock and does no input or output. Steps are served by rank, then by prospect, then by objective. A
 * gang is placed as a whole or not at all. Tasks are packed onto the fullest target that holds them, so that whole
 * targets stay free for tasks that need them. The preferred rack of the data and the common rack of a gang have
 * precedence over packing.
 */
class ReferencePlanner {
 public:
  explicit ReferencePlanner(RunPlannerOptions options = {}) : m_options(options) {}

  /** Makes a whole pass. \param keepFullyFree number of targets to be kept fully free for priority 0
   * \param nowMs wall clock, ms since 1970 */
  RunPlan plan(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs,
               std::vector<PlannedStep> steps, unsigned keepFullyFree = 0, double nowMs = 0.0);

 private:
  using TargetCapacities = std::vector<ResourceAmounts>;
  using StepName = std::pair<std::string, StepKey>;
  /** Targets chosen for the tasks of a step. */
  struct Placement {
    std::vector<std::size_t> targets;  ///< one for each task
    double cost = 0.0;                 ///< 0 or more; the group with the least cost is chosen
  };

  /** Capacity that is reserved for a waiting gang. */
  struct Reservation {
    TargetCapacities capacities;  ///< by target: reserved capacity
    double untilMs = 0.0;         ///< time from now until it is free, ms; work that ends earlier may use it
  };

  /** Runs that may be stopped for a step, as indexes of the given runs. */
  struct Stoppable {
    std::map<std::size_t, std::vector<std::size_t>> byTarget;  ///< by target, the cheapest first
    std::map<std::string, std::vector<std::size_t>> gangs;     ///< members by gang
    std::map<std::size_t, double> losses;  ///< by run: core-seconds lost if it and the rest of its gang are stopped
  };
  /** Runs to be stopped so that a target can hold one more task. */
  struct TargetVictims {
    std::size_t target = 0;
    std::vector<std::size_t> victims;
    double loss = 0.0;  ///< lost work, core-seconds, plus the target's penalty
  };

  void applyAging();
  std::vector<std::size_t> servingOrder() const;
  std::vector<std::size_t> orderedByBands(std::vector<std::size_t> order) const;
  void serve(std::size_t index);
  void serveTasks(std::size_t index);
  void serveGang(std::size_t index);
  bool placeGang(const PlannedStep& step, const TargetCapacities& capacities, Placement& placement) const;
  bool placeInBestGroup(const PlannedStep& step, const std::vector<std::vector<std::size_t>>& groups,
                        const TargetCapacities& capacities, Placement& placement) const;
  bool placeInGroup(const PlannedStep& step, const std::vector<std::size_t>& among, TargetCapacities capacities,
                    Placement& placement) const;
  std::optional<std::size_t> bestTarget(const PlannedStep& step, const std::vector<std::size_t>& among,
                                        const TargetCapacities& capacities,
                                        const std::map<std::string, unsigned>& placed) const;
  double penaltyOf(const PlannedStep& step, const PlannedTarget& target) const;
  bool mayStart(const PlannedStep& step, const PlannedTarget& target) const;
  bool preempt(std::size_t index);
  bool preemptForGang(std::size_t index);
  double acceptableLoss(const PlannedStep& step) const;
  bool reliesOnEnds(const PlannedStep& step) const;
  const TargetCapacities& freeAfterEndsFor(const PlannedStep& step) const {
    return reliesOnEnds(step) ? m_freeAfterEnds : m_freeAfterStops;
  }
  Stoppable stoppableFor(const PlannedStep& step) const;
  std::vector<std::size_t> runsEndingWith(const Stoppable& stoppable, std::size_t run) const;
  std::optional<TargetVictims> victimsOn(const PlannedStep& step, std::size_t target, const Stoppable& stoppable,
                                         const std::vector<bool>& stopped, ResourceAmounts capacity) const;
  bool selectVictims(const PlannedStep& step, const std::vector<std::size_t>& among, Placement& placement,
                     std::vector<std::size_t>& victims, double& cost) const;
  void reserve(const PlannedStep& step);
  bool keptForReservations(const PlannedStep& step, std::size_t target, const ResourceAmounts& capacity,
                           const ResourceAmounts& need) const;
  std::optional<double> delayUntilFree(const PlannedStep& step, Placement& placement,
                                       const std::vector<std::size_t>* among = nullptr) const;
  std::vector<std::size_t> lastReservedTargets(const PlannedStep& step) const;
  bool waitsForEnds(const PlannedStep& step);
  bool keptForUrgent(const PlannedStep& step, std::size_t target, const TargetCapacities& capacities) const;
  static StepName nameOf(const PlannedStep& step) { return {step.workflow->record.id(), step.key}; }
  bool nominatedForOther(const PlannedStep& step, const std::string& target) const;
  void reserveAndNominate(const PlannedStep& step, const Placement& placement);
  void addStarts(std::size_t index, const std::vector<std::size_t>& chosen);
  void findRunsEndingSoon();
  void orderByEnd();
  static bool reachedTaskLimit(const schema::StepSpec& spec, const std::string& target,
                               const std::map<std::string, unsigned>& placed);
  bool hasOtherTargets(const PlannedStep& step) const;
  void occupy(TargetCapacities& capacities, std::size_t target, const ResourceAmounts& need) const;
  bool couldHold(const PlannedStep& step, const std::vector<std::size_t>& among) const;
  bool matches(const PlannedStep& step, const PlannedTarget& target) const;
  std::vector<std::vector<std::size_t>> gangGroups(const PlannedStep& step) const;
  std::vector<std::size_t> allTargets() const;

  RunPlannerOptions m_options;
  const std::vector<PlannedTarget>* m_targets = nullptr;
  const std::vector<PlannedRun>* m_runs = nullptr;
  std::vector<PlannedStep> m_steps;
  TargetCapacities m_free;            ///< by target: free capacity now
  TargetCapacities m_freeAfterEnds;   ///< the same after the runs that are being stopped or end soon have ended
  TargetCapacities m_freeAfterStops;  ///< the same after the runs that are being stopped have ended
  std::vector<Reservation> m_reservations;
  unsigned m_keepFullyFree = 0;
  unsigned m_gangStops = 0;  ///< number of gangs outside priority 0 for which this plan tried to stop runs
  double m_nowMs = 0.0;
  std::map<StepName, std::set<std::string>>
      m_lastNominated;  ///< ids of targets being freed for a step, of the last plan
  std::map<StepName, std::set<std::string>> m_nominatedNow;  ///< the same, of this plan
  std::map<StepName, std::set<std::string>> m_lastReserved;  ///< ids of targets reserved for a gang, of the last plan
  std::map<StepName, std::set<std::string>> m_reservedNow;   ///< the same, of this plan
  std::map<RunKey, double> m_soonSince;  ///< wall clock since when a run is expected to end soon, ms since 1970
  std::vector<bool> m_endsSoon;          ///< by run: expected to end soon, for no longer than endsSoonLimitMs
  std::vector<std::size_t> m_byEnd;      ///< indexes of the runs in the order of their expected ends
  std::vector<bool> m_stopped;           ///< by run: chosen as victim in this plan
  RunPlan m_plan;
};

}  // namespace courseloom::test
