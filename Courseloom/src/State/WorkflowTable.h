// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Courseloom/src/Core/Failure.h"
#include "Courseloom/src/State/CrashRecord.h"
#include "Courseloom/src/State/RunTimeDistribution.h"
#include "Courseloom/src/State/RunTimeEstimator.h"
#include "Courseloom/src/State/TaskKey.h"
#include "Courseloom/src/State/WaitingSteps.h"
#include "Courseloom/src/State/WorkspaceUsage.h"
#include "generated/state.pb.h"
#include "generated/workflow.pb.h"

namespace courseloom {

/** \class TaskState
 * \brief Replicated state of one task.
 */
struct TaskState {
  bool done = false;
  std::uint32_t failures = 0;   ///< runs that failed; a gang's are counted at its first task
  std::uint32_t failedRun = 0;  ///< newest run counted in `failures`; 0 is none
  std::uint32_t lastRun = 0;    ///< highest run number that was committed; 0 is none
  std::string checkpoint;       ///< newest one, empty if there is none; a gang's is kept at its first task
  CrashRecord crashes;          ///< of targets during its runs; each member of a gang has its own record
  /** Runs that were committed as started and not as ended: at most one, or a run and its copy. */
  std::vector<schema::ActiveRun> active;
};

/** \class WorkflowState
 * \brief Replicated state of one workflow. A task that was never started may have no entry in `tasks`.
 */
struct WorkflowState {
  schema::Workflow record;  ///< without the states of its tasks, which are in `tasks`
  std::map<TaskKey, TaskState> tasks;
  std::map<StepKey, std::uint32_t> doneCounts;  ///< tasks that are done, by step
  WaitingSteps waiting;                         ///< kept by WorkflowTable with each change of a task
  unsigned activeRuns = 0;                      ///< of all tasks
  std::uint64_t changes = 0;                    ///< number of starts and ends that were applied to it
  std::set<TaskKey> suspectTasks;               ///< tasks whose crash record is not empty
  std::uint64_t acceptedBytes = 0;              ///< workflowBytes() of the record
  std::uint64_t heldBytes = 0;                  ///< what is counted for it in WorkflowTable::heldBytes()

  /** \returns the specification of a step; the index must be valid. */
  const schema::StepSpec& step(std::uint32_t index) const { return record.spec().steps(static_cast<int>(index)); }
  /** \returns how often the steps run, at least 1. */
  std::uint32_t occurrences() const { return std::max(1U, record.spec().occurrences()); }
  /** \returns the state of a task, or nullptr if it has none, as before its first start. */
  const TaskState* task(const TaskKey& key) const;
  /** \returns whether all tasks of a step are done. */
  bool stepDone(const StepKey& key) const;
  /** \returns whether any task of a step is neither done nor has an active run. */
  bool hasWaitingTasks(const StepKey& key) const;
  /** \returns whether all steps that a step depends on are done. */
  bool stepReady(const StepKey& key) const;
  /** \returns the number of occurrences that are due. \param nowMs wall-clock time, ms since 1970 */
  std::uint32_t dueOccurrences(std::uint64_t nowMs) const;
  /** \returns the wall-clock time at which an occurrence is due, ms since 1970; of a workflow without occurrences the
   * time at which it was submitted. */
  std::uint64_t dueMs(std::uint32_t occurrence) const;
  /** \returns the checkpoint from which the next run of a task, or of its gang, must start; empty if there is none. */
  std::string checkpointOf(const TaskKey& key) const;
  /** \returns the number that the next run of a task, or of its gang, must have. */
  std::uint32_t nextRun(const TaskKey& key) const;
  /** \returns whether the next failure of a task, or of its gang, ends the workflow. */
  bool onLastAttempt(const TaskKey& key) const;
  /** \returns whether a task may get a copy of its only active run. No copy is made on the last attempt: the failures
   * of both runs count, and together they must not exceed the allowed attempts. */
  bool mayBeCopied(const TaskKey& key) const;
  /** \returns whether a run is active although its task is done, because another run of the task was done first. */
  bool isSuperseded(const TaskKey& key) const;
  /** \returns the number of different targets in the crash records of the workflow's tasks. */
  std::size_t crashedTargets() const;
  /** \returns whether the next start of a task must be a trial start, at a target that is kept free of other starts. */
  bool onTrial(const TaskKey& key) const;
  /** \returns whether the workflow has ended; it may still have active runs. */
  bool ended() const;
};

/** \returns the properties of a step that its tasks' run times depend on. */
ObservedStep observedStep(const WorkflowState& workflow, const StepKey& key);

/** \class RunChange
 * \brief One committed start or end of a run.
 */
struct RunChange {
  schema::TaskId task;
  schema::ActiveRun run;
  bool started = false;                       ///< whether the run started; otherwise it ended
  schema::RunEndKind kind = schema::RunDone;  ///< of an end; without meaning for a start
  std::uint64_t timeMs = 0;                   ///< time of the command that recorded it, ms since 1970
  bool superseded = false;                    ///< of an end: another run of the task was done before; not for gangs
  bool wantsTicket = false;                   ///< of an end: its target refused the start for want of a valid ticket
};

/** \returns whether a workflow has ended: completed, failed or cancelled. */
bool isEnded(schema::WorkflowPhase phase);
/** \returns the part of a task's id that identifies it within its workflow. */
TaskKey keyOf(const schema::TaskId& id);
/** \returns the name of a task in log events and messages: "ID.OCCURRENCE.STEP.INDEX". */
std::string taskText(const schema::TaskId& id);
/** \returns the id of a task of a workflow. */
schema::TaskId makeTaskId(const std::string& workflow, const TaskKey& key);

/** \returns the resources that a run of a step's task holds; no processors for a filler, which uses only idle processor
 * time. */
schema::Resources heldResources(const schema::StepSpec& step);

/** \class WorkflowTable
 * \brief The replicated state of queues and workflows: configuration, workflows, and every run that may exist.
 *
 * A start is recorded before the leader sends its order, and an end is recorded before the target may discard it. A
 * task of a speculative step may have a second run, a copy of a slow one; the first of them that is done counts. The
 * table depends only on the commands and their times, so replicas that apply the same commands hold the same table.
 * \sa ClusterState, RunLedger
 */
class WorkflowTable {
 public:
  /** \param retentionMs time for which ended workflows are kept */
  explicit WorkflowTable(std::uint64_t retentionMs = 300000) : m_retentionMs(retentionMs) {}

  /** Replaces the configuration; one whose version is not above the current one is ignored. */
  void putConfiguration(const schema::QueueConfiguration& configuration);
  /** Adds a workflow; does nothing if there is one with the same id. \returns whether it was added */
  bool submit(const schema::Workflow& workflow, std::uint64_t timeMs);
  /** Ends a workflow as cancelled, unless it has ended before. \returns false if there is no such workflow */
  bool cancel(const std::string& id, std::uint64_t timeMs);
  /** Records ends of runs, then starts. Entries that no longer fit the state are ignored. */
  void record(const schema::RecordRuns& runs, std::uint64_t timeMs);
  /** \returns the recorded length of the leases that leaders grant to agents, ms; 0 if none is recorded. */
  std::uint32_t leaseMs() const { return m_leaseMs; }
  /** Removes workflows that ended longer than the retention time ago and have no active runs. */
  void expire(std::uint64_t nowMs);

  /** \returns the current configuration; its version is 0 if there is none. */
  const schema::QueueConfiguration& configuration() const { return m_configuration; }
  /** \returns whether there is a configuration; version 0 means none. */
  bool configured() const { return m_configuration.version() != 0; }
  /** \returns the workflow, or nullptr if there is none. */
  const WorkflowState* find(const std::string& id) const;
  /** \returns the ids of workflows that have not ended or still have active runs. */
  const std::set<std::string>& open() const { return m_open; }
  /** \returns the number of workflows, also of those that ended and are still kept. */
  std::size_t size() const { return m_workflows.size(); }
  /** \returns an upper estimate of the memory of all kept workflows, bytes. */
  std::uint64_t heldBytes() const { return m_heldBytes; }
  /** \returns the same of the workflows of a workspace. */
  std::uint64_t heldBytes(const std::string& workspace) const;
  /** \returns the run time estimator, updated from the committed runs. */
  const RunTimeEstimator& runTimeEstimator() const { return m_runTimeEstimator; }
  /** \returns the past use of services by workspaces, updated from the committed ends of runs. */
  const WorkspaceUsage& workspaceUsage() const { return m_workspaceUsage; }
  /** \returns the distribution of a queue's run times relative to the expected ones, from the committed runs. */
  const RunTimeDistribution& runTimeDistribution(const std::string& queue) const {
    return m_runTimeDistributions.of(queue);
  }
  /** \returns the starts and ends of runs that were committed since the last call, in order, and clears the list. */
  std::vector<RunChange> consumeRunChanges();
  /** \returns the ids of workflows that ended since the last call, and clears the list; some may still have active
   * runs. */
  std::vector<std::string> consumeEnded();

  /** Adds the configuration, the workflows, the run time estimates and distributions, and the use by workspaces to a
   * snapshot. */
  void save(schema::StateSnapshot& snapshot) const;
  /** Adds everything but the workflows to a snapshot. */
  void saveWithoutWorkflows(schema::StateSnapshot& snapshot) const;
  /** Adds the first workflow whose id comes after the given one to a snapshot. \param after set to its id
   * \returns whether there is one */
  bool saveNextWorkflow(std::string& after, schema::StateSnapshot& snapshot) const;
  /** Reads the table from a snapshot. To be called only on a table without workflows: existing ones are kept. */
  void load(const schema::StateSnapshot& snapshot);

 private:
  /** Stores in the open workflows what only the present configuration says of their queues. A workflow is kept although
   * its queue may be replaced or removed, so what it needs of the queue is kept with it. */
  void keepQueueProperties();
  void recordEnd(const schema::RunEnd& end, std::uint64_t timeMs);
  schema::ActiveRun* findActiveRun(const schema::StartReport& row);
  void recordStart(const schema::RunStart& start, std::uint64_t timeMs);
  /** Records the end of a run whose task was done by another run: it only ceases to be active. */
  void recordSupersededEnd(WorkflowState& workflow, const schema::ActiveRun& run, const schema::RunEnd& end);
  /** Records the run time of a task that was not done before, relative to the one expected on its target. */
  void recordRunTimeRatio(const WorkflowState& workflow, const schema::ActiveRun& run, const schema::RunEnd& end);
  void recordRunTime(const WorkflowState& workflow, const schema::ActiveRun& run, const schema::RunEnd& end,
                     std::uint64_t timeMs);
  /** Charges an ended run to its workspace, unless the configuration no longer contains the workspace: its use was
   * removed with it. */
  void chargeRun(const WorkflowState& workflow, const schema::ActiveRun& run, std::uint32_t step, std::uint64_t timeMs);
  bool hasTenant(const std::string& name) const;
  void markDone(WorkflowState& workflow, const TaskKey& key);
  /** Counts a failed run, once for all members of a gang; the last allowed failure ends the workflow as failed. */
  void countFailure(WorkflowState& workflow, const TaskKey& key, std::uint32_t run, std::uint64_t timeMs);
  /** Updates a task's crash record from an end; ends the workflow as failed if the task must not be started again. */
  void noteCrash(WorkflowState& workflow, const TaskKey& key, const schema::ActiveRun& run, const schema::RunEnd& end,
                 std::uint64_t timeMs);
  /** Ends a workflow as completed if all steps of all its occurrences are done. */
  void finishIfDone(WorkflowState& workflow, std::uint64_t timeMs);
  /** Updates the waiting tasks of a workflow after a change of one of its tasks. */
  static void updateWaiting(WorkflowState& workflow, const TaskKey& key);
  /** Updates the memory that is counted for a workflow. */
  void countBytes(WorkflowState& workflow);
  /** Stops counting the memory of a workflow that is removed. */
  void discountBytes(const WorkflowState& workflow);
  void endWorkflow(WorkflowState& workflow, schema::WorkflowPhase phase, const std::string& reason,
                   std::uint64_t timeMs);
  /** Removes a workflow that ended and has no active runs from the open ones, and updates the estimator from its steps.
   */
  void closeIfFinished(const WorkflowState& workflow);

  std::uint64_t m_retentionMs;
  schema::QueueConfiguration m_configuration;
  std::uint32_t m_leaseMs = 0;
  std::map<std::string, WorkflowState> m_workflows;
  std::uint64_t m_heldBytes = 0;
  std::map<std::string, std::uint64_t> m_heldByWorkspace;  ///< parts of m_heldBytes; without workspaces that have none
  std::set<std::string> m_open;                            ///< ids of workflows that have not ended or have active runs
  RunTimeEstimator m_runTimeEstimator;
  WorkspaceUsage m_workspaceUsage;
  RunTimeDistributions m_runTimeDistributions;
  std::vector<RunChange> m_runChanges;                        ///< since the last call of consumeRunChanges()
  std::vector<std::string> m_justEnded;                       ///< ended since the last call of consumeEnded()
  std::deque<std::pair<std::uint64_t, std::string>> m_ended;  ///< time of the end and id, oldest first
};

}  // namespace courseloom
