// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/RunPlan.h"

namespace courseloom {

/** \class CopyPlannerOptions
 * \brief Conditions for copies of slow runs, and limits of their number.
 */
struct CopyPlannerOptions {
  /** A copy is started if the run's expected remaining time exceeds a fresh run's by this factor. */
  double margin = 1.5;
  double shareOfRuns = 0.05;          ///< largest share of all active runs that may be copies
  double shareOfFreeCapacity = 0.25;  ///< largest share of the free accelerators that copies may use in one pass
  double shortestRunMs = 500.0;       ///< runs that have been active for less are not copied, ms
};

/** \class CopyCandidate
 * \brief An active run of a speculative step that has no copy yet.
 */
struct CopyCandidate {
  RunKey run;
  std::size_t target = 0;  ///< index among the planned targets
  ResourceAmounts need;
  Rank rank = UrgentRank;
  double ranMs = 0.0;        ///< time since its start, ms
  double remainingMs = 0.0;  ///< expected remaining time, ms
  double freshMs = 0.0;      ///< expected run time of a new run on a usual target from its checkpoint, ms
};

/** \class CopyPlanner
 * \brief Chooses slow runs of speculative steps that get a copy, and the copies' targets.
 *
 * Copies use only capacity that no waiting step of the same or a better rank can use. Of a run and its copy,
 * the one that ends first counts and the other is stopped. The class has no clock.
 */
class CopyPlanner {
 public:
  /** Start of a copy. */
  struct Copy {
    RunKey of;               ///< the slow run
    std::size_t target = 0;  ///< index among the planned targets; never the target of the slow run
  };

  explicit CopyPlanner(CopyPlannerOptions options = {}) : m_options(options) {}
  /** \param free free capacity by target after the starts of the planning pass, without its reservations
   * \param waitingRanks ranks of steps that still wait after the pass \param activeRuns number of all active runs
   * \param activeCopies number of copies among them */
  std::vector<Copy> plan(const std::vector<CopyCandidate>& candidates, const std::vector<PlannedTarget>& targets,
                         std::vector<ResourceAmounts> free, const std::vector<Rank>& waitingRanks,
                         std::size_t activeRuns, std::size_t activeCopies) const;

 private:
  CopyPlannerOptions m_options;
};

}  // namespace courseloom
