// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Courseloom/src/Core/Clock.h"

namespace courseloom::test {

/** Kinds of events that a back end writes about its runs. Acknowledged: the agent has acknowledged the end of a
 * run; Lapsed: the hold ran out; IncarnationOver: the back end has crashed, which ends all its runs. */
enum class RunEventKind { Started, Ended, Acknowledged, Lapsed, IncarnationOver };

/** \class RunEvent
 * \brief One line of a back end's event file: `MICROSECONDS KIND INCARNATION TASK RUN HOW`.
 */
struct RunEvent {
  Time at{};
  RunEventKind kind = RunEventKind::Started;
  std::string incarnation;
  std::string task;  ///< ID.OCCURRENCE.STEP.INDEX; empty for Lapsed and IncarnationOver
  std::uint64_t run = 0;
  std::string how;  ///< of Ended: done, failed, stopped or lapsed
};

/** \returns the event of a line, or nothing if the line is incomplete. */
std::optional<RunEvent> parseRunEvent(const std::string& line);

/** Outcome of a job as its caller has seen it; Open: no end seen yet. */
enum class JobOutcome { Open, Completed, Failed, Cancelled };

/** \class ExpectedJob
 * \brief One job as its caller knows it. A zero time means that the event has not happened.
 */
struct ExpectedJob {
  std::string id;
  unsigned tasks = 1;
  bool gang = false;
  bool mayFail = false;  ///< its tasks may end as `failed` through no fault of the platform
  bool crashes = false;  ///< its tasks crash every back end that starts them
  bool accepted = false;
  bool inDoubt = false;  ///< an attempt to submit it got no clear answer
  Time cancelSent{};
  Time cancelAcked{};
  JobOutcome outcome = JobOutcome::Open;
  Time outcomeSeen{};
};

/** \class RunHistory
 * \brief Checks the runs of the back ends against the answers that callers received.
 *
 * Does no input or output. Events of each back end are added in order of time. Violations are: two runs of a task at
 * once; a start after an acknowledged end `done` (unless the hold ran out before the end was acknowledged); a refused
 * job that ran; a gang of which only a part runs for long; a job shown as completed that is not; tasks that still run
 * after all jobs have ended; a task that crashes its back ends and is started three more times after the third crash.
 */
class RunHistory {
 public:
  void add(const RunEvent& event);
  /** \param healed whether all faults have ended and every accepted job has to have ended
   * \returns a description of each violation */
  std::vector<std::string> check(const std::map<std::string, ExpectedJob>& jobs, Time now, bool healed) const;
  /** \returns the number of tasks of a job that have ended as `done`. */
  unsigned doneTasks(const std::string& job) const;
  /** \returns the number of starts of all tasks so far. */
  std::size_t starts() const { return m_starts; }

 private:
  struct Run {
    std::string incarnation;
    std::uint64_t number = 0;
    Time began{};
    Time ended = Time::max();
    std::string how;
    bool endAcknowledged = false;
    bool crashed = false;  ///< its back end crashed while it ran
    bool lapsed = false;   ///< the hold ran out after its end and before the end was acknowledged
  };
  void checkTask(const std::string& task, const std::vector<Run>& runs, std::vector<std::string>& found) const;
  void checkGang(const ExpectedJob& job, Time now, std::vector<std::string>& found) const;
  void checkCrashes(const std::string& task, const std::vector<Run>& runs, std::vector<std::string>& found) const;
  bool mayBeGivenUp(const std::string& job) const;
  void checkJob(const ExpectedJob& job, bool healed, std::vector<std::string>& found) const;
  static std::string jobOf(const std::string& task) { return task.substr(0, task.find('.')); }

  std::map<std::string, std::vector<Run>> m_runs;        ///< by task
  std::map<std::string, std::set<std::string>> m_tasks;  ///< by job
  std::size_t m_starts = 0;
};

}  // namespace courseloom::test
