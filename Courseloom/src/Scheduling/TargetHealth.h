// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

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
  /** Time after a suspicion for which the target has to show that it works; a gang that needs more of it than one run
   * would wait for good where no other work comes. Longer than most tasks run, so that one that is tried may end. */
  Duration longestProbation = milliseconds(15000);
  Duration failureCaution = milliseconds(3000);  ///< after one failure others are preferred for this long
  /** Time after a failure or a standstill for which a target without anything done since is doubted. */
  Duration doubt = milliseconds(15000);
  double suspectPenalty = 500.0;              ///< cost of a suspect target where suspicion does not close it
  double cautionPenalty = 50.0;               ///< of a target on which anything has failed lately
  double mostSuspects = 0.5;                  ///< share of the targets beyond which suspicion closes none
  Duration refusalPause = milliseconds(400);  ///< no new runs after the target refused one
};

/** \class TargetHealth
 * \brief Tells failing, hanging and slow targets from tasks that fail by their own fault.
 *
 * A target is suspect when runs of several workflows failed or stalled on it with none done in between. It gets nothing
 * for a while, then one run at a time until one is done or a while has passed. A workflow that fails on one target
 * after another is at fault itself, and what it said against targets is taken back.
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

  /** \returns whether the target gets nothing new, unless too many are suspect. */
  bool suspect(const std::string& target, Time now) const;
  /** \returns whether the target, suspect before, has yet to show that it works: one run at a time. */
  bool onProbation(const std::string& target, Time now) const;
  /** \returns whether so many of the targets are suspect that the fault must lie elsewhere. */
  bool tooManySuspect(const std::vector<std::string>& targets, Time now) const;
  /** \returns the cost of placing anything on a target now. */
  double penalty(const std::string& target, Time now) const;
  /** \returns the targets on which a workflow has failed. */
  const std::set<std::string>& failedOn(const std::string& workflow) const;
  /** \returns targets on which what ended last has failed or stood still, a while ago at most: not for a task whose
   * next failure ends its workflow. */
  std::set<std::string> doubted(Time now) const;
  /** \returns whether the target should get nothing for a moment. */
  bool paused(const std::string& target, Time now) const;

 private:
  struct Score {
    std::set<std::string> failed;  ///< workflows that failed there since the last success
    bool stalled = false;          ///< a run stood still there since the last success
    Time suspectUntil{};
    Duration suspicion{};
    Time cautionUntil{};
    Time doubtedUntil{};
    Time pausedUntil{};
  };
  void suspectNow(Score& score, Time now);
  static void trust(Score& score);
  void takeBack(const std::string& workflow);

  TargetHealthOptions m_options;
  std::map<std::string, Score> m_targets;
  std::map<std::string, std::set<std::string>> m_failedOn;  ///< targets by workflow
};

}  // namespace courseloom
