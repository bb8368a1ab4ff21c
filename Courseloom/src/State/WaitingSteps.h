// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "Courseloom/src/State/IndexSet.h"
#include "Courseloom/src/State/TaskKey.h"
#include "generated/workflow.pb.h"

namespace courseloom {

/** \class WaitingSteps
 * \brief The waiting tasks of one workflow, and the steps that are ready and have some; updated with each change.
 *
 * A task waits if it is neither done nor has an active run. A step is ready if all steps that it depends on are done.
 * Whether an occurrence is due is left to the caller, since it changes with the time alone.
 *
 * The size of a workflow is set by whoever submits it: its steps, the tasks of a step, and its occurrences. No function
 * walks all of them. Each update takes the time of a few look-ups, and of the successors of a step that becomes done;
 * select() takes the time of the steps that it returns and of the steps (not occurrences) that wait. The memory is that
 * of the steps, and of the tasks and occurrences that were started.
 * \sa WorkflowTable, StepSelection
 */
class WaitingSteps {
 public:
  WaitingSteps() = default;
  /** All tasks of all occurrences wait. */
  explicit WaitingSteps(const schema::WorkflowSpec& spec);

  /** Records whether a task waits. To be called whenever that may have changed, until the task's step is done. */
  void update(const TaskKey& task, bool waits);
  /** Records that all tasks of a step are done. To be called once for a step. */
  void finishStep(const StepKey& step);

  /** \returns whether any ready step has waiting tasks, in an occurrence that may not be due yet. */
  bool any() const { return !m_steps.empty(); }
  /** \returns whether a step is ready and has waiting tasks. */
  bool contains(const StepKey& step) const;
  /** \returns the number of waiting tasks of a step, ready or not. */
  std::uint32_t waitingTasks(const StepKey& step) const;
  /** \returns the indexes of the waiting tasks of a step, the lowest ones; of a gang all of them, since it is started
   * as a whole. \param most largest number of them, unless the step is a gang */
  std::vector<std::uint32_t> tasksOf(const StepKey& step, std::size_t most) const;
  /** \returns how many ready steps with waiting tasks there are in the occurrences below `due`, or `most` if there are
   * more. */
  std::size_t count(std::uint32_t due, std::size_t most) const;
  /** Selects ready steps with waiting tasks of the occurrences below `due`, in ascending order: all, if there are no
   * more than `most`. Otherwise each step of the specification in turn has a share: first the earliest occurrence of
   * each, then the second, and so on.
   * \param turn step with which the turn begins; set to the one that follows if the turn did not reach all steps */
  std::vector<StepKey> select(std::uint32_t due, std::size_t most, std::uint32_t& turn) const;

  /** \returns the number of tasks of a step, over all occurrences, that do not wait: active or done ones. */
  std::uint64_t begunTasks(std::uint32_t step) const { return m_begun[step]; }
  /** \returns the number of steps, over all occurrences, of which all tasks are done. */
  std::uint64_t finishedSteps() const { return m_finishedSteps; }

 private:
  bool isReady(const StepKey& step) const;
  IndexSet& tasksOf(const StepKey& step);
  void updateStep(const StepKey& step);

  std::uint32_t m_occurrences = 0;
  std::vector<bool> m_gangs;                             ///< whether it is a gang, by step
  std::vector<std::uint32_t> m_counts;                   ///< tasks, by step
  std::vector<std::uint32_t> m_predecessors;             ///< number of different steps that it depends on, by step
  std::vector<std::vector<std::uint32_t>> m_successors;  ///< steps that depend on it, by step; empty if none does
  std::vector<std::uint64_t> m_begun;                    ///< tasks that do not wait, over all occurrences, by step
  std::vector<IndexSet> m_waiting;      ///< occurrences in which it is ready and has waiting tasks, by step
  std::set<std::uint32_t> m_steps;      ///< steps for which there are such occurrences
  std::map<StepKey, IndexSet> m_tasks;  ///< waiting tasks; without steps of which no task has begun, or all are done
  /** Number of predecessors that are not done, of steps with predecessors of which some are done. */
  std::map<StepKey, std::uint32_t> m_openPredecessors;
  std::uint64_t m_finishedSteps = 0;
};

}  // namespace courseloom
