// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <set>
#include <string>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/State/WorkflowTable.h"

namespace courseloom {

/** \class TargetHealthOptions
 * \brief When a target is taken to be unsound, and for how long.
 */
struct TargetHealthOptions {
  unsigned failuresSuspect = 2;                  ///< failed runs of different workflows without one that was done
  Duration firstSuspicion = milliseconds(4000);  ///< doubles with each further one
  Duration longestSuspicion = milliseconds(32000);
  Duration failureCaution = milliseconds(3000);  ///< after one failure others are preferred for this long
  double suspectPenalty = 500.0;              ///< cost of a suspect target: used only where nothing else holds the task
  double failedTherePenalty = 300.0;          ///< of a target on which the same workflow has failed
  double cautionPenalty = 50.0;               ///< of a target on which anything has failed lately
  Duration refusalPause = milliseconds(400);  ///< no new runs after the target refused one
};

/** \class TargetHealth
 * \brief Tells failing, hanging and slow targets from tasks that fail by their own fault.
 *
 * A target is suspect when runs of several workflows failed or stalled on it with none done in between. A workflow that
 * fails on several targets counts once for each, so a task that can never be done casts suspicion on no single one.
 * \sa RunPlanner
 */
class TargetHealth {
 public:
  explicit TargetHealth(TargetHealthOptions options = {}) : m_options(options) {}

  void clear();
  /** Forgets a workflow that has ended. */
  void forget(const std::string& workflow) { m_failedOn.erase(workflow); }
  /** Takes a committed end in. */
  void ended(const std::string& target, const std::string& workflow, schema::RunEndKind kind, Time now);
  /** A run stood still there. */
  void stalled(const std::string& target, Time now);
  /** The target refused a run, or never began it. */
  void refused(const std::string& target, Time now);

  /** \returns whether new runs should go elsewhere if they can. */
  bool suspect(const std::string& target, Time now) const;
  /** \returns the cost of placing anything on a target now. */
  double penalty(const std::string& target, Time now) const;
  /** \returns the further cost of placing a workflow on the targets on which it has failed. */
  const std::map<std::string, double>& penaltiesOf(const std::string& workflow) const;
  /** \returns whether the target should get nothing for a moment. */
  bool paused(const std::string& target, Time now) const;

 private:
  struct Score {
    std::set<std::string> failed;  ///< workflows that failed there since the last success
    Time suspectUntil{};
    Duration suspicion{};
    Time cautionUntil{};
    Time pausedUntil{};
  };
  void suspectNow(Score& score, Time now);

  TargetHealthOptions m_options;
  std::map<std::string, Score> m_targets;
  std::map<std::string, std::map<std::string, double>> m_failedOn;  ///< by workflow: targets with their cost
};

}  // namespace courseloom
