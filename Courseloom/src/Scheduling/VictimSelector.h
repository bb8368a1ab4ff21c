// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Courseloom/src/Scheduling/Placer.h"

namespace courseloom {

/** \class VictimSelector
 * \brief Selects runs to be stopped so that a step finds capacity, such that the least work is lost.
 *
 * If one run of a gang is stopped, all of them are. The prices of stops are computed once per rank; the price of
 * placing one more task on a target is computed again only after the target has changed.
 */
class VictimSelector {
 public:
  /** Placement of tasks of a step, and the runs to be stopped for it. */
  struct Selection {
    StepPlacement placement;
    std::vector<std::size_t> victims;  ///< indexes of runs
  };

  /** \param endsSoon by run: whether it is about to end. All arguments have to outlive the object. */
  VictimSelector(const std::vector<PlannedRun>& runs, const TargetIndex& targets, const Placer& placer,
                 const std::vector<bool>& endsSoon);

  /** \returns the selection of the least cost within one group of targets: for a gang all tasks, otherwise as many as
   * cost at most \p maxLoss each; nothing if no task, or not all of a gang, can be placed so.
   * \param reliesOnEnds whether the step relies on runs that are about to end; these are then not selected
   * \param maxLoss work of other runs, core-seconds, that may be lost for one task
   * \param capacities capacity that becomes free without this selection, by target */
  std::optional<Selection> select(const StepDemand& demand, const TargetGroups& groups, bool reliesOnEnds,
                                  double maxLoss, const TargetCapacities& capacities);
  /** Marks runs as stopped, so that they are not selected again. */
  void stop(const std::vector<std::size_t>& victims);

 private:
  /** Runs that steps of one rank may stop. */
  struct Stoppable {
    std::vector<std::vector<std::size_t>> byTarget;  ///< indexes of runs, in ascending order of price
    std::vector<std::vector<std::size_t>> byGang;
    std::vector<double> prices;  ///< by run: work lost if it and the other runs of its gang are stopped,
                                 ///< core-seconds
  };
  class Group;

  const Stoppable& stoppableFor(Rank rank, bool reliesOnEnds);
  Stoppable makeStoppable(Rank rank, bool reliesOnEnds) const;
  std::optional<Selection> selectWithin(const StepDemand& demand, const std::vector<std::size_t>& among,
                                        const Stoppable& stoppable, double maxLoss, double limit,
                                        const TargetCapacities& capacities);

  const std::vector<PlannedRun>& m_runs;
  const TargetIndex& m_targets;
  const Placer& m_placer;
  const std::vector<bool>& m_endsSoon;
  std::vector<std::size_t> m_gangOf;  ///< by run: index of its gang; m_gangs for a run outside a gang
  std::size_t m_gangs = 0;
  std::vector<bool> m_selected;  ///< by run: whether it was selected before
  std::map<std::pair<Rank, bool>, Stoppable> m_stoppable;
};

}  // namespace courseloom
