// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <optional>
#include <vector>

#include <array>

#include "Courseloom/src/Scheduling/Placer.h"

namespace courseloom {

/** By which ends of runs EndForecast predicts. */
enum class EndDates : std::uint8_t {
  Expected,  ///< expected ends
  Quantile,  ///< quantiles of the ends where they are known, otherwise expected ends
};

/** \class EndForecast
 * \brief Predicts when enough runs will have ended, without being stopped, for a step to be placed.
 *
 * It processes the expected ends in their order and keeps an upper bound of the tasks that fit; each end changes the
 * count of one target. A placement is searched for only when the bound suffices. A full search after each of 2,400 ends
 * took 80 ms per step.
 */
class EndForecast {
 public:
  /** Expected wait of a step, and its placement afterwards. */
  struct Wait {
    double waitMs = 0.0;      ///< time until the placement is possible, ms
    StepPlacement placement;  ///< targets of all tasks at that time
  };

  /** All arguments have to outlive the object. */
  EndForecast(const std::vector<PlannedRun>& runs, const TargetIndex& targets, const Placer& placer)
      : m_runs(runs), m_targets(targets), m_placer(placer) {}

  /** \returns the expected wait until all tasks of a step can be placed, or nothing if it exceeds a limit.
   * \param free free capacity now, by target \param limitMs longest acceptable wait, ms
   * \param dates by which ends of runs the wait is predicted */
  std::optional<Wait> waitFor(const StepDemand& demand, const TargetGroups& groups, const TargetCapacities& free,
                              double limitMs, EndDates dates = EndDates::Expected);

 private:
  double endMs(const PlannedRun& run, EndDates dates) const;
  const std::vector<std::size_t>& orderByEnd(EndDates dates);

  const std::vector<PlannedRun>& m_runs;
  const TargetIndex& m_targets;
  const Placer& m_placer;
  /** By kind of date: indexes of runs in the order of their ends; empty until needed. */
  std::array<std::vector<std::size_t>, 2> m_byEnd;
};

}  // namespace courseloom
