// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <optional>
#include <vector>

#include "Courseloom/src/Scheduling/Placer.h"

namespace courseloom {

/** \class EndForecast
 * \brief Tells when enough runs will have ended by themselves for a step to be placed.
 *
 * Counts what each target could take and follows the ends in their order, so that one end costs one count; places are
 * looked for only once the counts suffice. Trying a whole placement after each of 2,400 ends took 80 ms a step.
 */
class EndForecast {
 public:
  struct Wait {
    double waitMs = 0.0;
    StepPlacement placement;  ///< the places that are free then
  };

  EndForecast(const std::vector<PlannedRun>& runs, const TargetIndex& targets, const Placer& placer)
      : m_runs(runs), m_targets(targets), m_placer(placer) {}

  /** \returns the wait for a place of all tasks of a step, or nothing if it is longer than a limit.
   * \param free room that there is now \param limitMs longest wait of interest */
  std::optional<Wait> waitFor(const StepDemand& demand, const TargetGroups& groups, const Rooms& free, double limitMs);

 private:
  void orderByEnd();

  const std::vector<PlannedRun>& m_runs;
  const TargetIndex& m_targets;
  const Placer& m_placer;
  std::vector<std::size_t> m_byEnd;  ///< the first to end first; empty until it is needed
};

}  // namespace courseloom
