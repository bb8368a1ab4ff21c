// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
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
  double shareOfRuns = 0.05;  ///< largest share of all active runs that may be copies; 0: no copies
  /** Number of copies that are allowed although they are a larger share: the last slow run of a step may be the only
   * active run. */
  std::size_t alwaysAllowed = 1;
  double shareOfFreeCapacity = 0.25;  ///< largest share of each free resource that copies may use in one pass
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
  std::vector<std::size_t> eligible;  ///< indexes of the planned targets that may run its step
  double ranMs = 0.0;                 ///< time since its start, ms
  double remainingMs = 0.0;           ///< expected remaining time, ms
  double freshMs = 0.0;               ///< expected run time of a new run on a usual target from its checkpoint, ms
};

/** \class WaitingWork
 * \brief A step that still waits after a planning pass.
 */
struct WaitingWork {
  std::string service;
  Rank rank = UrgentRank;  ///< after ageing
};

/** \class CopyPlanner
 * \brief Chooses slow runs of speculative steps that get a copy, and the copies' targets.
 *
 * While a step of the same or a better rank waits at the same service, a run gets no copy. The copy's target must not
 * be known to be slower than that of the slow run. Of a run and its copy, the one that is done first counts and the
 * other is stopped. The class has no clock. Source of the idea: backup tasks of MapReduce (Dean and Ghemawat, OSDI
 * 2004), chosen by the expected time to the end as in LATE (Zaharia et al., OSDI 2008).
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
   * \param waiting steps that still wait after the pass \param activeRuns number of all active runs
   * \param activeCopies number of copies among them */
  std::vector<Copy> plan(const std::vector<CopyCandidate>& candidates, const std::vector<PlannedTarget>& targets,
                         TargetCapacities free, const std::vector<WaitingWork>& waiting, std::size_t activeRuns,
                         std::size_t activeCopies) const;

 private:
  bool isSlow(const CopyCandidate& run) const;
  /** \returns the candidates that may get a copy, those that are served first in front. */
  std::vector<const CopyCandidate*> chooseRuns(const std::vector<CopyCandidate>& candidates,
                                               const std::vector<PlannedTarget>& targets,
                                               const std::vector<WaitingWork>& waiting) const;
  std::optional<std::size_t> chooseTarget(const CopyCandidate& run, const std::vector<PlannedTarget>& targets,
                                          const TargetCapacities& free) const;

  CopyPlannerOptions m_options;
};

}  // namespace courseloom
