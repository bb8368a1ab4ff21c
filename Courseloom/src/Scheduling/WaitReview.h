// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Scheduling/RunPlan.h"
#include "Courseloom/src/Scheduling/StopBackoff.h"
#include "Courseloom/src/Scheduling/TargetIndex.h"

namespace courseloom {

/** What keeps the tasks of a ready step from being started. */
enum class WaitGate : std::uint8_t {
  GangActive,  ///< other members of the gang are still active
  Trial,       ///< its tasks are suspect, and no further trial start is allowed now
  NoTarget,    ///< no target of the service that may run it is open
  NoRoom,      ///< no open target has room for it
  RoomKept,    ///< there is room, but it is kept for other steps, or the agents there have not reported
};
/** \returns the name of a gate in logs. */
const char* nameOf(WaitGate gate);

/** \class WaitGates
 * \brief Finds what keeps planned steps from being started, as far as the targets and runs of one pass show it.
 */
class WaitGates {
 public:
  /** \param targets as given to the planner; have to outlive the object \param runs as given to the planner */
  WaitGates(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs);
  /** \returns the gate of a step; never GangActive or Trial. */
  WaitGate find(const PlannedStep& step);

 private:
  TargetIndex m_targets;
  std::vector<ResourceAmounts> m_free;  ///< free capacity, by index of the target
};

/** \class WaitReview
 * \brief Finds the ready steps that have waited for long without a start, so that each can be logged with its gate.
 */
class WaitReview {
 public:
  using StepName = StopBackoff::StepName;

  /** Updates the set of ready steps with waiting tasks. \returns those to report now: without a start for ReportAfter,
   * and not reported within ReportInterval */
  std::vector<StepName> update(const std::set<StepName>& waiting, Time now);
  /** Records the start of a task of a step. */
  void recordStart(const StepName& step, Time now);
  /** \returns for how long a step has waited without a start. */
  Duration waited(const StepName& step, Time now) const;
  /** \returns the steps of the last update. */
  std::vector<StepName> steps() const;
  void clear() { m_waits.clear(); }

  /** A step is reported after this time without a start. */
  static constexpr Duration ReportAfter = milliseconds(5000);
  static constexpr Duration ReportInterval = milliseconds(5000);

 private:
  struct Wait {
    Time since{};
    Time reported{};
  };
  std::map<StepName, Wait> m_waits;
};

}  // namespace courseloom
