// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/State/WorkflowTable.h"

namespace courseloom {

/** \class TargetHealthOptions
 * \brief When a target becomes suspect, and for how long it is avoided.
 */
struct TargetHealthOptions {
  /** A target is suspect once this many workflows have had a failed run there since the last run that was done.
   * A workflow that has failed on more targets than this is taken to be at fault itself. */
  unsigned failuresUntilSuspect = 2;
  Duration firstSuspicion = milliseconds(4000);  ///< length of the first suspicion; doubles with each further one
  Duration longestSuspicion = milliseconds(32000);
  /** Time after a suspicion during which the target gets one run at a time. It is limited because a gang that needs
   * capacity for more than one run on the target would otherwise wait forever if no other work arrives. It is longer
   * than most tasks run, so that a trial run can end within it. */
  Duration longestProbation = milliseconds(15000);
  Duration failureCaution = milliseconds(3000);  ///< other targets are preferred for this long after a failure
  /** Time after a failure or a stall for which doubted() returns the target, unless a run is done there in between. */
  Duration doubtTime = milliseconds(15000);
  double suspectPenalty = 500.0;  ///< placement cost of a suspect target, where suspicion does not close it to new runs
  double cautionPenalty = 50.0;   ///< placement cost of a target for failureCaution after a failure
  double maxSuspectShare = 0.5;   ///< if more than this share of the targets is suspect, suspicion closes none of them
  Duration refusalPause = milliseconds(400);  ///< a target gets no new runs for this long after it refused one
  bool voidBackoff = false;       ///< a target on which several starts in a row never began is closed for a time
  unsigned voidsUntilClosed = 3;  ///< number of starts in a row that never began after which a target is closed
  Duration firstVoidClosure = milliseconds(400);  ///< length of the first closure; doubles with each further one
  Duration longestVoidClosure = milliseconds(12800);
  /** Time after a voided start for which its gang avoids the target, if others could hold the gang. It covers the start
   * bound of guaranteed work, within which the gang has to begin elsewhere. */
  Duration voidAvoidance = milliseconds(3000);
};

/** \class VoidedStart
 * \brief A committed start whose run never began on its target.
 */
struct VoidedStart {
  std::string target;
  std::string start;                     ///< identifies the start; the same for all members of one run of a gang
  std::pair<std::string, StepKey> step;  ///< workflow and step of the run
};

/** \class TargetHealth
 * \brief Distinguishes failing, stalling and slow targets from tasks that fail through their own fault.
 *
 * A target is suspect when runs of several workflows have failed on it, or one has stalled, with none done in between.
 * A suspect target gets no new runs for a time. After that it is on probation and gets one run at a time until one is
 * done or the probation ends. A workflow that fails on one target after another is itself at fault, so its failures no
 * longer count against targets.
 *
 * A target on which several starts in a row never began is closed to new runs for a time that doubles with each further
 * closure. After a closure it gets one start at a time, until a run begins there or longestProbation is over.
 * \sa RunPlanner
 */
class TargetHealth {
 public:
  explicit TargetHealth(TargetHealthOptions options = {}) : m_options(options) {}

  void clear();
  /** Removes the record of a workflow that has ended. */
  void forget(const std::string& workflow);
  /** Records the committed end of a run. */
  void ended(const std::string& target, const std::string& workflow, schema::RunEndKind kind, Time now);
  /** Records a start that never began, for which the target itself may be the cause: it was not asked to stop the run,
   * and it was neither draining nor lost. Members of one gang count once. \returns for how long the target is closed
   * by it, or nothing */
  std::optional<Duration> voided(const VoidedStart& start, Time now);
  /** Records that a run has begun on the target. \returns whether that ends a closure by voids or the time after one in
   * which the target gets one start at a time */
  bool began(const std::string& target);
  /** \returns whether starts that never began are counted against the target. */
  bool countsVoids(const std::string& target) const;
  /** Records that a run made no progress on the target. */
  void stalled(const std::string& target, Time now);
  /** Records that the target refused a run or never started it. */
  void refused(const std::string& target, Time now);

  /** \returns whether the target is suspect now. It gets no new runs then, unless tooManySuspect(). */
  bool suspect(const std::string& target, Time now) const;
  /** \returns whether the target's suspicion has ended, but the target may get only one run at a time for now. */
  bool onProbation(const std::string& target, Time now) const;
  /** \returns whether the target is closed to new runs because starts never began there, unless tooManySuspect(). */
  bool closedByVoids(const std::string& target, Time now) const;
  /** \returns whether a closure by voids is over, but the target may get only one start at a time for now. */
  bool onVoidProbation(const std::string& target, Time now) const;
  /** \returns the number of targets that are closed by voids. */
  std::size_t targetsClosedByVoids(Time now) const;
  /** \returns the targets on which starts of a step were voided within voidAvoidance. */
  std::set<std::string> voidedOn(const std::pair<std::string, StepKey>& step, Time now) const;
  /** \returns whether so many of the targets are suspect or closed by voids that the cause is assumed to lie
   * elsewhere. */
  bool tooManySuspect(const std::vector<std::string>& targets, Time now) const;
  /** \returns the cost of placing a run on a target now; zero for one in good health. */
  double penalty(const std::string& target, Time now) const;
  /** \returns the targets on which a workflow has failed. */
  const std::set<std::string>& failedOn(const std::string& workflow) const;
  /** \returns targets on which a run has failed or stalled within doubtTime, with none done since. A task whose next
   * failure would end its workflow should avoid them. */
  std::set<std::string> doubted(Time now) const;
  /** \returns whether the target should get no new runs because it refused one within refusalPause. */
  bool paused(const std::string& target, Time now) const;

 private:
  struct Score {
    std::set<std::string> failed;  ///< workflows with a failed run there since the last run that was done
    bool stalled = false;          ///< whether a run has stalled there since the last run that was done
    Time suspectUntil{};
    Duration suspicion{};  ///< length of the latest suspicion; zero if the target has been trusted since
    Time cautionUntil{};
    Time doubtedUntil{};
    Time pausedUntil{};
    std::set<std::string> voidedStarts;  ///< starts that never began since a run last began there or it was closed
    std::string closedBy;                ///< the start whose void closed the target last
    Time closedUntil{};                  ///< end of the latest closure by voids
    Duration closure{};                  ///< length of that closure; zero if a run has begun there since
  };
  void markSuspect(Score& score, Time now);
  static void clearSuspicion(Score& score);
  static void clearVoids(Score& score);
  void withdrawFailures(const std::string& workflow);

  TargetHealthOptions m_options;
  std::map<std::string, Score> m_targets;
  std::map<std::string, std::set<std::string>> m_failedOn;  ///< by workflow: targets on which it has failed
  std::map<std::pair<std::string, StepKey>, std::map<std::string, Time>>
      m_voidedOn;  ///< by step and target: end of voidAvoidance
};

}  // namespace courseloom
