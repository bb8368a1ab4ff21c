// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "Courseloom/src/State/WorkflowTable.h"

namespace courseloom {

/** \class StopBackoffOptions
 * \brief How long further stops for a step are delayed.
 */
struct StopBackoffOptions {
  /** Delay after the first stops, ms. It covers the usual time of a stop and of the start after it, so that no further
   * runs are stopped for a step that is about to start. */
  double firstDelayMs = 800.0;
  double longestDelayMs = 12800.0;  ///< the delay doubles with each further round of stops up to this, ms
};

/** \class StopBackoff
 * \brief Bounds how often runs are stopped for one step that does not start.
 *
 * A step whose starts are voided waits again, and the runs that have started on its targets in the meantime would be
 * stopped repeatedly. Each task of a step may therefore cause one stop of the runs in its way; further stops are
 * delayed until the back-off is over, or until the step makes progress, that is, until all tasks of a gang, or one task
 * of any other step, have begun. The class has no clock. Its records are bounded by the steps that wait or start.
 * \sa RunPlanner
 */
class StopBackoff {
 public:
  /** Whether a step may cause stops. */
  enum class Permission : std::uint8_t {
    Allowed,
    Delayed,
    Overriding,  ///< stops are delayed, but the step would miss its start bound
  };
  /** Identity of a step: its workflow's id, and its key there. */
  using StepName = std::pair<std::string, StepKey>;
  /** Numbers of tasks, by step, that wait, or whose runs have not begun or are being stopped. */
  using PendingTasks = std::map<StepName, std::size_t>;

  explicit StopBackoff(StopBackoffOptions options = {}) : m_options(options) {}

  void clear() { m_records.clear(); }
  /** Adds the steps that have a record, with no tasks. */
  void addSteps(PendingTasks& pending) const;
  /** Begins a pass: removes the records of steps that have made progress or do not wait any more. */
  void update(const PendingTasks& pending);
  /** \returns whether a step may cause stops now. \param missesBound whether the step misses its start bound if it may
   * not. That overrides a delay once: if the start after it is voided too, the bound is missed, and a further stop
   * cannot change that. */
  Permission permissionFor(const StepName& step, bool missesBound, double nowMs) const;
  /** \returns the time until further stops for a delayed step are possible, ms; 0 if its present delay was already
   * returned. */
  double takeNewDelay(const StepName& step, double nowMs);
  /** Records that runs were stopped for a step. \param tasks number of its tasks for which that was done
   * \param waiting number of its tasks that wait \param permission result of permissionFor() for these stops */
  void recordStops(const StepName& step, bool gang, std::size_t tasks, std::size_t waiting, Permission permission,
                   double nowMs);

 private:
  struct Record {
    bool gang = false;
    std::size_t waiting = 0;  ///< number of tasks that waited at the first stops
    std::size_t covered = 0;  ///< number of tasks for which runs were stopped in the present round
    double delayMs = 0.0;
    double untilMs = 0.0;     ///< wall clock until which further stops are delayed, ms since 1970
    bool taken = false;       ///< takeNewDelay() has returned the present delay
    bool overridden = false;  ///< a delay was overridden
  };

  StopBackoffOptions m_options;
  std::map<StepName, Record> m_records;
};

}  // namespace courseloom
