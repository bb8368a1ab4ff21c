// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of WorkflowRunner that starts copies of slow runs of speculative steps, and observes how they end.

#include <algorithm>
#include <cmath>

#include "Courseloom/src/Control/WorkflowRunner.h"
#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Scheduling/Objective.h"

namespace courseloom {

namespace internal {
namespace {

constexpr double WholePercent = 100.0;
constexpr double MillisecondsPerSecond = 1000.0;

}  // namespace
}  // namespace internal

/** Adds copies of slow runs to the starts of a plan. They use what the plan has left free. */
void WorkflowRunner::addCopies(const RunPlan& plan, const std::vector<PlannedStep>& steps,
                               const std::vector<PlannedTarget>& targets, unsigned keepFullyFree,
                               schema::RecordRuns& runs) {
  // Runs may have ended or been stopped while the planning pass yielded, so they are read again.
  const std::vector<PlannedRun> active = planRuns(targets);
  std::size_t activeCopies = 0;
  const std::vector<CopyCandidate> candidates = copyCandidates(active, targets, activeCopies);
  if (candidates.empty()) return;
  TargetCapacities free = freeForCopies(plan, steps, targets, active, keepFullyFree);
  const std::vector<CopyPlanner::Copy> copies = m_copyPlanner.plan(
      candidates, targets, std::move(free), workStillWaiting(plan, steps), active.size(), activeCopies);
  for (const CopyPlanner::Copy& copy : copies) recordCopyStart(copy.of, targets[copy.target], runs);
}

/** \returns the active runs that may get a copy and are expected to take longer than a new run.
 * \param activeCopies set to the number of active copies */
std::vector<CopyCandidate> WorkflowRunner::copyCandidates(const std::vector<PlannedRun>& active,
                                                          const std::vector<PlannedTarget>& targets,
                                                          std::size_t& activeCopies) {
  activeCopies = 0;
  const Time now = BootClock::now();
  std::map<StepName, std::vector<std::size_t>> eligible;
  std::vector<CopyCandidate> candidates;
  for (const PlannedRun& run : active) {
    const WorkflowState* workflow = table().find(run.key.workflow);
    const bool speculative = workflow != nullptr && workflow->step(run.key.task.step).speculative();
    if (!speculative || workflow->ended()) continue;
    activeCopies += isCopy(run.key) ? 1 : 0;
    const TaskState* task = workflow->task(run.key.task);
    const bool single = task != nullptr && !task->done && task->active.size() == 1;
    if (!single || !workflow->mayBeCopied(run.key.task) || task->crashes.suspected()) continue;
    const RunTrack& track = m_ledger.runs().at(run.key);
    if (run.stopping || track.endProposed || !track.confirmed || track.firstSeen == Time{}) continue;
    const double left = track.checkpoint.empty() ? 1.0 : 1.0 - track.percent / internal::WholePercent;
    const double freshMs = left * expectedMs(workflow->record.queue(), workflow->step(run.key.task.step));
    const double seenMs = toMilliseconds(now - track.firstSeen);
    const double remaining = std::max(run.remainingMs, leastRemainingMs(seenMs, track.firstPercent, track.percent));
    if (remaining <= freshMs) continue;
    const StepName name{run.key.workflow, run.key.task.stepKey()};
    const auto [found, added] = eligible.try_emplace(name);
    if (added) found->second = eligibleForCopy(*workflow, run.key.task.stepKey(), targets);
    CopyCandidate& candidate = candidates.emplace_back();
    candidate.run = run.key;
    candidate.target = run.target;
    candidate.need = run.need;
    candidate.rank = run.rank;
    candidate.eligible = found->second;
    candidate.ranMs = seenMs;
    candidate.remainingMs = remaining;
    candidate.freshMs = freshMs;
  }
  return candidates;
}

/** \returns indexes of the targets on which a copy of a step's task may be started now. */
std::vector<std::size_t> WorkflowRunner::eligibleForCopy(const WorkflowState& workflow, const StepKey& key,
                                                         const std::vector<PlannedTarget>& targets) {
  const schema::StepSpec& spec = workflow.step(key.step);
  const std::set<std::string> avoided = m_health.failedOn(workflow.record.id());
  const bool askFirst = m_context.settings.policy().ask_first();
  const std::optional<TicketCache::Tickets> tickets = ticketsOf(workflow, key);
  std::map<std::string, unsigned> placed;
  if (spec.max_per_target() > 0) placed = activeByTarget({workflow.record.id(), key});
  std::vector<std::size_t> eligible;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const PlannedTarget& target = targets[i];
    if (target.service != workflow.record.service() || avoided.count(target.id) > 0) continue;
    if (!spec.required_label().empty() && target.labels.count(spec.required_label()) == 0) continue;
    if (!spec.preferred_rack().empty() && target.rack != spec.preferred_rack()) continue;
    if (spec.max_per_target() > 0 && placed[target.id] >= spec.max_per_target()) continue;
    if (tickets && tickets->count(target.id) == 0) continue;
    if (askFirst && !m_ledger.fresh(target.agent, BootClock::now())) continue;
    if (target.open && acceptsStarts(target)) eligible.push_back(i);
  }
  return eligible;
}

/** \returns the free capacity that copies may use, by target: what runs and the plan's starts leave. It is zero on
 * targets that are reserved or being freed for waiting steps, get a trial start, or are kept fully free for priority 0.
 */
TargetCapacities WorkflowRunner::freeForCopies(const RunPlan& plan, const std::vector<PlannedStep>& steps,
                                               const std::vector<PlannedTarget>& targets,
                                               const std::vector<PlannedRun>& active, unsigned keepFullyFree) const {
  TargetCapacities free;
  free.reserve(targets.size());
  for (const PlannedTarget& target : targets) free.push_back(target.capacity);
  for (const PlannedRun& run : active) free[run.target].subtract(run.need);
  std::set<std::string> withheld = m_planner.heldTargets();
  for (const RunPlan::Start& start : plan.starts) {
    const PlannedStep& step = steps[start.step];
    free[start.target].subtract(resourceAmountsOf(step.workflow->step(step.key.step)));
    if (step.trial) withheld.insert(targets[start.target].id);
  }
  const unsigned most = m_context.settings.policy().headroom() ? keepFullyFree : 0;
  unsigned kept = 0;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const bool fullyFree = free[i] == targets[i].capacity && targets[i].capacity.accelerators > 0;
    const bool keep = fullyFree && targets[i].open && kept < most;
    kept += keep ? 1 : 0;
    if (keep || withheld.count(targets[i].id) > 0) free[i] = {};
  }
  return free;
}

/** \returns the steps with tasks that a plan does not start. */
std::vector<WaitingWork> WorkflowRunner::workStillWaiting(const RunPlan& plan,
                                                          const std::vector<PlannedStep>& steps) const {
  std::vector<std::size_t> left;
  left.reserve(steps.size());
  for (const PlannedStep& step : steps) left.push_back(isWaiting(step) ? step.waitingTasks : 0);
  for (const RunPlan::Start& start : plan.starts) left[start.step] -= std::min<std::size_t>(1, left[start.step]);
  std::vector<WaitingWork> waiting;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if (left[i] > 0) waiting.push_back({steps[i].workflow->record.service(), m_planner.agedRank(steps[i])});
  }
  return waiting;
}

void WorkflowRunner::recordCopyStart(const RunKey& slow, const PlannedTarget& target, schema::RecordRuns& runs) {
  const WorkflowState& workflow = *table().find(slow.workflow);
  const RunTrack& track = m_ledger.runs().at(slow);
  schema::RunStart* row = runs.add_starts();
  *row->mutable_task() = makeTaskId(slow.workflow, slow.task);
  row->mutable_run()->set_number(workflow.nextRun(slow.task));
  row->mutable_run()->set_target(target.id);
  row->mutable_run()->set_agent(target.agent);
  row->mutable_run()->set_copy_of(slow.run);
  // The slow run's checkpoint is newer than the committed one, which is from the task's last end.
  row->mutable_run()->set_checkpoint(track.checkpoint.empty() ? workflow.checkpointOf(slow.task) : track.checkpoint);
  const std::optional<TicketCache::Tickets> tickets = ticketsOf(workflow, slow.task.stepKey());
  if (tickets && tickets->count(target.id) > 0) row->mutable_run()->set_ticket(tickets->at(target.id));
  logEvent(schema::CopyStarted, {{"task", taskText(row->task())},
                                 {"run", std::uint64_t{row->run().number()}},
                                 {"copyOf", std::uint64_t{slow.run}},
                                 {"target", target.id},
                                 {"percent", std::uint64_t{track.percent}}});
}

/** \returns whether an active run is a copy of a run that is also active. */
bool WorkflowRunner::isCopy(const RunKey& key) const {
  const TaskState* task = table().find(key.workflow)->task(key.task);
  if (task == nullptr || task->active.size() < 2) return false;
  return std::any_of(task->active.begin(), task->active.end(),
                     [&key](const schema::ActiveRun& run) { return run.number() == key.run && run.copy_of() != 0; });
}

/** Notifies the agent of the remaining run once a task is done, so that the run is stopped without delay, and counts
 * how copies end. */
void WorkflowRunner::observeCopies(const RunChange& change) {
  const WorkflowState* workflow = table().find(change.task.workflow());
  if (workflow == nullptr) return;
  const schema::StepSpec& step = workflow->step(change.task.step());
  if (!step.speculative()) return;
  const std::string& queue = workflow->record.queue();
  const bool copy = change.run.copy_of() != 0;
  if (change.started) {
    if (copy) m_context.metrics.count("copies_started", queue);
    return;
  }
  const TaskState* task = workflow->task(keyOf(change.task));
  if (task != nullptr && task->done) {
    for (const schema::ActiveRun& other : task->active) notifyAgent(other.agent());
  }
  if (change.superseded) {
    const auto ranMs = static_cast<double>(change.timeMs - std::min(change.timeMs, change.run.started_ms()));
    m_lostCopySeconds += coresOf(step) * ranMs / internal::MillisecondsPerSecond;
    m_context.metrics.set("copies_lost_core_seconds", m_lostCopySeconds);
  }
  if (!copy) return;
  const bool doneFirst = change.kind == schema::RunDone && !change.superseded;
  if (doneFirst) m_context.metrics.count("copies_done_first", queue);
  logEvent(schema::CopyEnded, {{"task", taskText(change.task)},
                               {"run", std::uint64_t{change.run.number()}},
                               {"copyOf", std::uint64_t{change.run.copy_of()}},
                               {"target", change.run.target()},
                               {"kind", schema::RunEndKind_Name(change.kind)},
                               {"doneFirst", std::uint64_t{doneFirst ? 1U : 0U}}});
}

}  // namespace courseloom
