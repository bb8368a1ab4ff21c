// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <optional>
#include <vector>

#include "Courseloom/src/Scheduling/FillLimit.h"
#include "Courseloom/src/Scheduling/StepDemand.h"

namespace courseloom {

/** \class TargetGroups
 * \brief Groups of targets; a step has to be placed within one of them.
 */
struct TargetGroups {
  struct Rack {
    std::size_t rack = 0;              ///< index as in TargetIndex
    std::vector<std::size_t> targets;  ///< targets of the rack that may run the step
  };
  std::vector<Rack> racks;  ///< racks that could hold the whole step
  TargetList anywhere;      ///< targets of all racks; null if the step has to stay within one rack
};

/** \class StepPlacement
 * \brief One target for each task that was placed.
 */
struct StepPlacement {
  std::vector<std::size_t> targets;
  double cost = 0.0;  ///< comparable only among placements of the same step
};

/** \class Reservation
 * \brief Capacity that becomes free in the future and is kept for a waiting gang.
 */
struct Reservation {
  TargetCapacities capacities;  ///< reserved capacity by target
  double untilMs = 0.0;         ///< time until it is free, ms; work that ends before may use it
};

/** \class Placer
 * \brief Chooses targets for the tasks of a step according to their free capacity.
 *
 * Tasks are packed onto the fullest target that holds them (best fit), so that fully free targets remain for tasks
 * that need them. All tasks of a step have the same demand, so the cheapest target is filled before the next one is
 * considered: the cost of a target is computed once per step rather than once per task.
 */
class Placer {
 public:
  /** \param nominations by target: number of steps for which it is being freed
   * \param keepFullyFree number of targets to be kept fully free for priority 0
   * \param urgentLateChances by target: probability that urgent work would be late there; null if it is about the same
   * on all targets \param fillLimits targets kept for gangs outside priority 0; null if there are none */
  Placer(const TargetIndex& targets, const RunPlannerOptions& options, std::vector<unsigned> nominations,
         unsigned keepFullyFree, const std::vector<double>* urgentLateChances, const FillLimits* fillLimits = nullptr);

  /** Adds a reservation, which is observed until the end of the pass. */
  void reserve(Reservation reservation) { m_reservations.push_back(std::move(reservation)); }
  /** \returns the number of reservations. */
  std::size_t reservations() const { return m_reservations.size(); }

  /** \returns a placement of as many tasks as fit on the given targets. \param capacities free capacity by target */
  StepPlacement place(const StepDemand& demand, const std::vector<std::size_t>& among,
                      const TargetCapacities& capacities) const;
  /** \returns a placement of all tasks within one group, or nothing. The cheapest rack is preferred; targets of several
   * racks are used only if no rack suffices. */
  std::optional<StepPlacement> placeWhole(const StepDemand& demand, const TargetGroups& groups,
                                          const TargetCapacities& capacities) const;

  /** \returns how many tasks of a step a target can receive, headroom aside. \param capacity its free capacity */
  std::size_t fittingTasks(const StepDemand& demand, std::size_t target, const ResourceAmounts& capacity) const;
  /** \returns whether the headroom for priority 0 applies to the step. */
  bool respectsHeadroom(const StepDemand& demand) const;
  /** \returns whether the step has to leave fully free targets to gangs. Gangs and urgent steps never have to. */
  bool respectsFillLimit(const StepDemand& demand) const;
  /** \returns the run time, ms, that is assumed for a step's tasks when backfill is checked: a step that starts now
   * delays the reservations that begin earlier than this. */
  double backfillMs(const StepDemand& demand) const;
  /** \returns the number of open targets that have all of their accelerators free. */
  std::size_t countFullyFree(const TargetCapacities& capacities) const;
  /** \returns whether an open target with accelerators has all of them free. \param capacity its free capacity */
  bool isFullyFree(std::size_t target, const ResourceAmounts& capacity) const;
  /** \returns the number of targets that are kept fully free for priority 0. */
  unsigned keepFullyFree() const { return m_keepFullyFree; }
  /** \returns the part of a target's cost for the step that does not depend on its capacity or speed: the penalty of
   * failures, and of being freed for another step. */
  double penaltyOf(const StepDemand& demand, std::size_t target) const;
  /** \returns by how much the probability that the step ends late is higher on a target than on a usual one, 0 to 1. */
  double lateChance(const StepDemand& demand, std::size_t target) const;
  /** Subtracts a demand from a target's free capacity; all of the capacity if the target is limited to one run. */
  void occupy(ResourceAmounts& capacity, std::size_t target, const ResourceAmounts& need) const;

 private:
  class FreeTargetBudget;

  ResourceAmounts unreservedOn(const StepDemand& demand, std::size_t target, const ResourceAmounts& capacity) const;
  double speedCost(const StepDemand& demand, std::size_t target) const;
  double crashCost(const StepDemand& demand, std::size_t target, const ResourceAmounts& capacity) const;
  double costOf(const StepDemand& demand, std::size_t target, const ResourceAmounts& capacity) const;
  double freeAcceleratorsAfter(const StepPlacement& placement, const StepDemand& demand, std::size_t rack,
                               const TargetCapacities& capacities) const;

  const TargetIndex& m_targets;
  const RunPlannerOptions& m_options;
  std::vector<unsigned> m_nominations;
  unsigned m_keepFullyFree;
  const std::vector<double>* m_urgentLateChances;
  const FillLimits* m_fillLimits;
  std::vector<Reservation> m_reservations;
};

}  // namespace courseloom
