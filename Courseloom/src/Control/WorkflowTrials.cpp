// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of WorkflowRunner that handles suspect tasks, under which targets have crashed: it records the evidence and
// plans their trial starts.

#include <algorithm>

#include "Courseloom/src/Control/WorkflowRunner.h"
#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Scheduling/Trials.h"

namespace courseloom {

/** Stores in a run's end whether the run survived its start phase, so that each replica clears the task of suspicion
 * when it applies the end. */
void WorkflowRunner::recordStartSurvived(schema::RunEnd& end) const {
  const WorkflowState* workflow = table().find(end.task().workflow());
  if (workflow == nullptr) return;
  const schema::StepSpec& step = workflow->step(end.task().step());
  end.set_lived(m_ledger.lived(runKeyOf(end.task(), end.run()), step.gang() ? step.count() : 1));
}

/** Logs a target crash if the change has just added it to the evidence against its task. */
void WorkflowRunner::logCrash(const RunChange& change) const {
  const WorkflowState* workflow = table().find(change.task.workflow());
  const TaskState* task = workflow == nullptr ? nullptr : workflow->task(keyOf(change.task));
  if (task == nullptr || !task->crashes.suspected()) return;
  const schema::TargetCrash& crash = task->crashes.crashes().back();
  if (crash.run() != change.run.number()) return;
  m_context.metrics.count("task_crashes", schema::CrashKind_Name(crash.kind()));
  logEvent(schema::TaskAccused, {{"task", taskText(change.task)},
                                 {"run", std::uint64_t{crash.run()}},
                                 {"target", crash.target()},
                                 {"crash", schema::CrashKind_Name(crash.kind())},
                                 {"afterMs", std::uint64_t{crash.after_ms()}},
                                 {"crashes", std::uint64_t{task->crashes.crashes().size()}}});
}

void WorkflowRunner::logGivenUpTasks(const WorkflowState& workflow) const {
  if (workflow.record.phase() != schema::WorkflowFailed) return;
  for (const auto& [key, task] : workflow.tasks) {
    if (!task.crashes.shouldGiveUp()) continue;
    m_context.metrics.count("tasks_given_up", workflow.record.queue());
    logEvent(schema::TaskGivenUp,
             {{"task", taskText(makeTaskId(workflow.record.id(), key))}, {"evidence", task.crashes.evidence()}});
  }
}

/** \returns whether a run is a trial start of a suspect task that has not survived StartPhase yet. */
bool WorkflowRunner::isTrialStart(const WorkflowState& workflow, const RunKey& key, const RunTrack& track) const {
  if (!workflow.onTrial(key.task)) return false;
  return track.firstSeen == Time{} || track.seen - track.firstSeen < StartPhase;
}

/** \returns whether a run's target is reachable and of the same incarnation, according to its agent's last report. */
bool WorkflowRunner::isTargetReachable(const RunTrack& track) const {
  const auto target = m_ledger.targets().find(track.agent);
  if (target == m_ledger.targets().end()) return false;
  return target->second.report.reachable() && target->second.report.id() == track.target;
}

/** Finds the agents whose targets run a trial start, so that nothing else is started there. Usually no workflow has a
 * suspect task, and no run has to be examined. */
void WorkflowRunner::findTrialAgents() {
  m_trialAgents.clear();
  for (const std::string& id : table().open()) {
    const WorkflowState& workflow = *table().find(id);
    if (workflow.suspectTasks.empty()) continue;
    for (const auto& [key, track] : m_ledger.runsOf(id)) {
      const bool runsTrial = isTrialStart(workflow, key, track) && isTargetReachable(track);
      if (runsTrial) m_trialAgents.insert(track.agent);
    }
  }
  m_trialsLeft = trialsAllowed(m_ledger.targets().size(), m_trialAgents.size());
}

/** \returns how many waiting tasks of a step may get a trial start now. */
std::size_t WorkflowRunner::newTrialsAllowed(const PlannedStep& step) const {
  std::size_t underWay = 0;
  std::size_t survived = 0;
  for (const auto& [key, track] : m_ledger.runsOf(step.workflow->record.id(), step.key)) {
    if (isTrialStart(*step.workflow, key, track)) {
      ++underWay;
    } else if (step.workflow->onTrial(key.task)) {
      ++survived;
    }
  }
  if (mustStartSoon(step)) return step.tasks.size();
  // A workflow without active runs must not wait for the trial starts of other workflows.
  const std::size_t left = step.workflow->activeRuns == 0 ? std::max<std::size_t>(1, m_trialsLeft) : m_trialsLeft;
  return std::min(left, trialsOfStep(underWay, survived));
}

/** Adds a waiting step to a plan; divides it into parts if some of its tasks need a trial start. */
void WorkflowRunner::addStepParts(PlannedStep step, std::vector<PlannedStep>& steps) {
  if (step.workflow->suspectTasks.empty()) return steps.push_back(std::move(step));
  const std::size_t most = newTrialsAllowed(step);
  for (PlannedStep& part : splitForTrial(std::move(step), most)) {
    if (part.trial) m_trialsLeft -= std::min(m_trialsLeft, part.tasks.size());
    steps.push_back(std::move(part));
  }
}

}  // namespace courseloom
