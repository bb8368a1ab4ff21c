// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <compare>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Courseloom/src/Core/Failure.h"
#include "Courseloom/src/State/CrashRecord.h"
#include "Courseloom/src/State/RunOutlook.h"
#include "generated/state.pb.h"
#include "generated/workflow.pb.h"

namespace courseloom {

/** \class StepKey
 * \brief One step of one occurrence of a workflow.
 */
struct StepKey {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  auto operator<=>(const StepKey&) const = default;
};

/** \class TaskKey
 * \brief One task within its workflow.
 */
struct TaskKey {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  auto operator<=>(const TaskKey&) const = default;
  StepKey stepKey() const { return {occurrence, step}; }
};

/** \class TaskState
 * \brief What the log knows of one task.
 */
struct TaskState {
  bool done = false;
  std::uint32_t failures = 0;   ///< runs that ended failed; of a gang kept with its first task
  std::uint32_t failedRun = 0;  ///< newest run that counted as a failure
  std::uint32_t lastRun = 0;    ///< highest run number ever committed
  std::string checkpoint;       ///< newest one; of a gang kept with its first task
  CrashRecord crashes;          ///< of targets under its runs; each member of a gang has its own
  std::vector<schema::ActiveRun> active;
};

/** \class WorkflowState
 * \brief One workflow with its tasks; a task that was never started has no entry.
 */
struct WorkflowState {
  schema::Workflow record;  ///< without its tasks
  std::map<TaskKey, TaskState> tasks;
  std::map<StepKey, std::uint32_t> doneCounts;
  std::map<StepKey, std::uint32_t> activeCounts;  ///< tasks that are not done and have a run
  unsigned activeRuns = 0;
  unsigned accusedTasks = 0;  ///< tasks under which targets have crashed lately

  const schema::StepSpec& step(std::uint32_t index) const { return record.spec().steps(static_cast<int>(index)); }
  std::uint32_t occurrences() const { return std::max(1U, record.spec().occurrences()); }
  /** \returns the task's state, or nothing if it was never started. */
  const TaskState* task(const TaskKey& key) const;
  bool stepDone(const StepKey& key) const;
  /** \returns whether any task of a step is neither done nor running. */
  bool stepWaits(const StepKey& key) const;
  /** \returns whether all steps that a step waits for are done. */
  bool stepReady(const StepKey& key) const;
  /** \returns wall clock at which an occurrence is due, ms since 1970. */
  std::uint64_t dueMs(std::uint32_t occurrence) const;
  /** \returns checkpoint that the next run of a task has to bring. */
  std::string checkpointOf(const TaskKey& key) const;
  /** \returns the number that the next run of a task, or of its gang, must have. */
  std::uint32_t nextRun(const TaskKey& key) const;
  /** \returns whether the next failure of a task, or of its gang, ends the workflow. */
  bool onLastAttempt(const TaskKey& key) const;
  /** \returns different targets that have crashed lately under tasks of the workflow. */
  std::size_t crashedTargets() const;
  /** \returns whether a task has to be tried where nothing else is started meanwhile. */
  bool onTrial(const TaskKey& key) const;
  bool ended() const;
};

/** \returns what run times of a step are known by. */
StepOfRuns stepOfRuns(const WorkflowState& workflow, const StepKey& key);

/** \class RunChange
 * \brief One run that was committed as started, or as ended.
 */
struct RunChange {
  schema::TaskId task;
  schema::ActiveRun run;
  bool started = false;  ///< otherwise ended
  schema::RunEndKind kind = schema::RunDone;
  std::uint64_t timeMs = 0;  ///< wall clock of the commit
};

/** \returns whether a workflow has come to its end. */
bool isEnded(schema::WorkflowPhase phase);
TaskKey keyOf(const schema::TaskId& id);
/** \returns "ID.OCCURRENCE.STEP.INDEX", as logs name a task. */
std::string taskText(const schema::TaskId& id);
schema::TaskId makeTaskId(const std::string& workflow, const TaskKey& key);

/** \class WorkflowTable
 * \brief The replicated part of queues and workflows: configuration, workflows, and every run that may exist.
 *
 * A start is in here before its order leaves the leader, and an end is in here before the target may forget it.
 * Applying depends on nothing but the commands and their times. \sa ClusterState, RunLedger
 */
class WorkflowTable {
 public:
  explicit WorkflowTable(std::uint64_t retentionMs = 300000) : m_retentionMs(retentionMs) {}

  /** The highest version holds; one that is not above it is passed over. */
  void putConfiguration(const schema::QueueConfiguration& configuration);
  /** The same id again is the same workflow. \returns whether it is new */
  bool submit(const schema::Workflow& workflow, std::uint64_t timeMs);
  /** \returns false if there is no such workflow */
  bool cancel(const std::string& id, std::uint64_t timeMs);
  /** Takes ends in, then starts; what no longer fits the state is passed over. */
  void record(const schema::RecordRuns& runs, std::uint64_t timeMs);
  void expire(std::uint64_t nowMs);

  const schema::QueueConfiguration& configuration() const { return m_configuration; }
  bool configured() const { return m_configuration.version() != 0; }
  const WorkflowState* find(const std::string& id) const;
  /** \returns ids of workflows that have not ended or still have runs. */
  const std::set<std::string>& open() const { return m_open; }
  std::size_t size() const { return m_workflows.size(); }
  /** \returns what the log tells of run times. */
  const RunOutlook& outlook() const { return m_outlook; }
  /** \returns runs that started or ended since the last call, in order. */
  std::vector<RunChange> takeRunChanges();
  /** \returns workflows that ended since the last call; some may still have active runs. */
  std::vector<std::string> takeEnded();

  void save(schema::StateSnapshot& snapshot) const;
  void load(const schema::StateSnapshot& snapshot);

 private:
  void recordEnd(const schema::RunEnd& end, std::uint64_t timeMs);
  void recordStart(const schema::RunStart& start, std::uint64_t timeMs);
  void learnFrom(const WorkflowState& workflow, const schema::ActiveRun& run, const schema::RunEnd& end,
                 std::uint64_t timeMs);
  void markDone(WorkflowState& workflow, const TaskKey& key);
  void countFailure(WorkflowState& workflow, const TaskKey& key, std::uint32_t run, std::uint64_t timeMs);
  void noteCrash(WorkflowState& workflow, const TaskKey& key, const schema::ActiveRun& run, const schema::RunEnd& end,
                 std::uint64_t timeMs);
  void finishIfDone(WorkflowState& workflow, std::uint64_t timeMs);
  void endWorkflow(WorkflowState& workflow, schema::WorkflowPhase phase, const std::string& reason,
                   std::uint64_t timeMs);
  void review(const WorkflowState& workflow);

  std::uint64_t m_retentionMs;
  schema::QueueConfiguration m_configuration;
  std::map<std::string, WorkflowState> m_workflows;
  std::set<std::string> m_open;
  RunOutlook m_outlook;
  std::vector<RunChange> m_runChanges;
  std::vector<std::string> m_justEnded;
  std::deque<std::pair<std::uint64_t, std::string>> m_ended;  ///< time and id, oldest first
};

}  // namespace courseloom
