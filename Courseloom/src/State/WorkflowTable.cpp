// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/WorkflowTable.h"

#include <algorithm>
#include <utility>

#include "Courseloom/src/State/WorkflowSize.h"

namespace courseloom {

namespace internal {
namespace {

/** \returns the task at which failures and checkpoint are kept: the first of a gang, otherwise the task itself. */
TaskKey shared_state_key(const WorkflowState& workflow, const TaskKey& key) {
  const bool gang = workflow.step(key.step).gang();
  return gang ? TaskKey{key.occurrence, key.step, 0} : key;
}

/** \returns whether a start may add a run to a task that has `active` runs: there is none, or the start copies the only
 * one to another target. */
bool may_start(const WorkflowState& workflow, const TaskKey& key, const std::vector<schema::ActiveRun>& active,
               const schema::ActiveRun& run) {
  if (active.empty()) return run.copy_of() == 0;
  if (active.size() > 1 || run.copy_of() != active.front().number() || !workflow.mayBeCopied(key)) return false;
  return run.target() != active.front().target() && run.agent() != active.front().agent();
}

bool valid_key(const WorkflowState& workflow, const TaskKey& key) {
  const bool stepExists = key.step < static_cast<std::uint32_t>(workflow.record.spec().steps_size());
  return stepExists && key.occurrence < workflow.occurrences() && key.index < workflow.step(key.step).count();
}

}  // namespace
}  // namespace internal

bool isEnded(schema::WorkflowPhase phase) {
  return phase == schema::WorkflowCompleted || phase == schema::WorkflowFailed || phase == schema::WorkflowCancelled;
}

TaskKey keyOf(const schema::TaskId& id) { return {id.occurrence(), id.step(), id.index()}; }

std::string taskText(const schema::TaskId& id) {
  return id.workflow() + "." + std::to_string(id.occurrence()) + "." + std::to_string(id.step()) + "." +
         std::to_string(id.index());
}

ObservedStep observedStep(const WorkflowState& workflow, const StepKey& key) {
  const schema::StepSpec& step = workflow.step(key.step);
  const std::string name = workflow.record.id() + "." + std::to_string(key.occurrence) + "." + std::to_string(key.step);
  return {name, workflow.record.queue(), static_cast<double>(step.estimate_ms()), step.gang()};
}

schema::Resources heldResources(const schema::StepSpec& step) {
  schema::Resources held = step.need();
  if (step.filler()) held.set_cpu_milli(0);
  return held;
}

schema::TaskId makeTaskId(const std::string& workflow, const TaskKey& key) {
  schema::TaskId id;
  id.set_workflow(workflow);
  id.set_occurrence(key.occurrence);
  id.set_step(key.step);
  id.set_index(key.index);
  return id;
}

// ---- one workflow

const TaskState* WorkflowState::task(const TaskKey& key) const {
  const auto found = tasks.find(key);
  return found == tasks.end() ? nullptr : &found->second;
}

bool WorkflowState::stepDone(const StepKey& key) const {
  const auto found = doneCounts.find(key);
  return found != doneCounts.end() && found->second >= step(key.step).count();
}

bool WorkflowState::hasWaitingTasks(const StepKey& key) const {
  return !stepDone(key) && waiting.waitingTasks(key) > 0;
}

bool WorkflowState::stepReady(const StepKey& key) const {
  const auto& after = step(key.step).after();
  return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
    return stepDone({key.occurrence, earlier});
  });
}

std::uint64_t WorkflowState::dueMs(std::uint32_t occurrence) const {
  const schema::WorkflowSpec& spec = record.spec();
  if (spec.occurrences() == 0) return record.submitted_ms();
  return spec.first_due_ms() + occurrence * spec.interval_ms();
}

std::uint32_t WorkflowState::dueOccurrences(std::uint64_t nowMs) const {
  const std::uint64_t firstMs = dueMs(0);
  if (firstMs > nowMs) return 0;
  const std::uint64_t intervalMs = record.spec().interval_ms();
  if (record.spec().occurrences() == 0 || intervalMs == 0) return occurrences();
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(occurrences(), (nowMs - firstMs) / intervalMs + 1));
}

std::string WorkflowState::checkpointOf(const TaskKey& key) const {
  const TaskState* state = task(internal::shared_state_key(*this, key));
  return state == nullptr ? std::string() : state->checkpoint;
}

bool WorkflowState::onLastAttempt(const TaskKey& key) const {
  const TaskState* state = task(internal::shared_state_key(*this, key));
  return (state == nullptr ? 0 : state->failures) + 1 >= record.max_attempts();
}

bool WorkflowState::mayBeCopied(const TaskKey& key) const {
  const schema::StepSpec& spec = step(key.step);
  return spec.speculative() && !spec.gang() && !spec.long_running() && !onLastAttempt(key);
}

bool WorkflowState::isSuperseded(const TaskKey& key) const {
  const TaskState* state = step(key.step).gang() ? nullptr : task(key);
  return state != nullptr && state->done;
}

std::size_t WorkflowState::crashedTargets() const {
  std::set<std::string> targets;
  for (const TaskKey& key : suspectTasks) {
    for (const schema::TargetCrash& crash : tasks.at(key).crashes.crashes()) targets.insert(crash.target());
  }
  return targets.size();
}

/** If several targets crashed during tasks of one workflow, these tasks are more likely at fault than one such task
 * alone, so each of them needs a trial start. */
bool WorkflowState::onTrial(const TaskKey& key) const {
  const TaskState* state = suspectTasks.empty() ? nullptr : task(key);
  if (state == nullptr || !state->crashes.suspected()) return false;
  return state->crashes.needsTrial() || crashedTargets() > 1;
}

std::uint32_t WorkflowState::nextRun(const TaskKey& key) const {
  const TaskState* own = task(key);
  std::uint32_t last = own == nullptr ? 0 : own->lastRun;
  if (step(key.step).gang()) {
    for (std::uint32_t i = 0; i < step(key.step).count(); ++i) {
      const TaskState* member = task({key.occurrence, key.step, i});
      if (member != nullptr) last = std::max(last, member->lastRun);
    }
  }
  return last + 1;
}

bool WorkflowState::ended() const { return isEnded(record.phase()); }

// ---- commands

void WorkflowTable::putConfiguration(const schema::QueueConfiguration& configuration) {
  if (configuration.version() <= m_configuration.version()) return;
  keepQueueProperties();
  m_configuration = configuration;
  m_workspaceUsage.retain([this](const std::string& workspace) { return hasTenant(workspace); });
  m_runTimeDistributions.keepOnly(configuration);
}

void WorkflowTable::keepQueueProperties() {
  std::map<std::string, const schema::Queue*> queues;
  for (const schema::Queue& queue : m_configuration.queues()) queues.emplace(queue.name(), &queue);
  for (const std::string& id : m_open) {
    schema::Workflow& record = m_workflows.at(id).record;
    const auto queue = queues.find(record.queue());
    if (queue == queues.end()) continue;
    if (queue->second->has_advice()) *record.mutable_advice() = queue->second->advice();
    // Workflows that earlier versions accepted have no host.
    if (!record.queue_host().empty()) continue;
    record.set_queue_host(queue->second->host());
    record.set_queue_path_prefix(queue->second->path_prefix());
  }
}

bool WorkflowTable::hasTenant(const std::string& name) const {
  const auto& tenants = m_configuration.tenants();
  return std::any_of(tenants.begin(), tenants.end(), [&name](const schema::Tenant& one) { return one.name() == name; });
}

const WorkflowState* WorkflowTable::find(const std::string& id) const {
  const auto found = m_workflows.find(id);
  return found == m_workflows.end() ? nullptr : &found->second;
}

bool WorkflowTable::submit(const schema::Workflow& workflow, std::uint64_t timeMs) {
  const auto [entry, added] = m_workflows.try_emplace(workflow.id());
  if (!added) return false;
  WorkflowState& state = entry->second;
  state.record = workflow;
  state.record.clear_tasks();
  state.record.set_phase(schema::WorkflowQueued);
  state.record.set_submitted_ms(timeMs);
  state.waiting = WaitingSteps(state.record.spec());
  state.acceptedBytes = workflowBytes(state.record);
  countBytes(state);
  m_open.insert(workflow.id());
  return true;
}

bool WorkflowTable::cancel(const std::string& id, std::uint64_t timeMs) {
  const auto found = m_workflows.find(id);
  if (found == m_workflows.end()) return false;
  if (!found->second.ended()) endWorkflow(found->second, schema::WorkflowCancelled, "cancelled by its caller", timeMs);
  return true;
}

void WorkflowTable::record(const schema::RecordRuns& runs, std::uint64_t timeMs) {
  for (const schema::RunEnd& end : runs.ends()) recordEnd(end, timeMs);
  for (const schema::RunStart& start : runs.starts()) recordStart(start, timeMs);
  for (const schema::StartReport& row : runs.begun()) {
    if (schema::ActiveRun* run = findActiveRun(row)) run->set_begun(true);
  }
  for (const schema::StartReport& row : runs.lived()) {
    if (schema::ActiveRun* run = findActiveRun(row)) run->set_lived(true);
  }
  if (runs.lease_ms() != 0) m_leaseMs = runs.lease_ms();
}

/** \returns the active run that a row names, or null. */
schema::ActiveRun* WorkflowTable::findActiveRun(const schema::StartReport& row) {
  const auto found = m_workflows.find(row.task().workflow());
  if (found == m_workflows.end()) return nullptr;
  const auto task = found->second.tasks.find(keyOf(row.task()));
  if (task == found->second.tasks.end()) return nullptr;
  for (schema::ActiveRun& run : task->second.active) {
    if (run.number() == row.run()) return &run;
  }
  return nullptr;
}

void WorkflowTable::recordStart(const schema::RunStart& start, std::uint64_t timeMs) {
  const auto found = m_workflows.find(start.task().workflow());
  if (found == m_workflows.end()) return;
  WorkflowState& workflow = found->second;
  const TaskKey key = keyOf(start.task());
  if (workflow.ended() || !internal::valid_key(workflow, key)) return;
  TaskState& task = workflow.tasks[key];
  if (task.done || start.run().number() <= task.lastRun) return;
  if (!internal::may_start(workflow, key, task.active, start.run())) return;
  task.lastRun = start.run().number();
  task.crashes.started();
  task.active.push_back(start.run());
  task.active.back().set_started_ms(timeMs);
  ++workflow.activeRuns;
  countBytes(workflow);
  updateWaiting(workflow, key);
  m_runChanges.push_back({start.task(), task.active.back(), true, schema::RunDone, timeMs, false, false});
  if (workflow.record.phase() == schema::WorkflowQueued) {
    workflow.record.set_phase(schema::WorkflowRunning);
    workflow.record.set_started_ms(timeMs);
  }
}

void WorkflowTable::recordEnd(const schema::RunEnd& end, std::uint64_t timeMs) {
  const auto found = m_workflows.find(end.task().workflow());
  if (found == m_workflows.end()) return;
  WorkflowState& workflow = found->second;
  const TaskKey key = keyOf(end.task());
  const auto taskFound = workflow.tasks.find(key);
  if (taskFound == workflow.tasks.end()) return;
  std::vector<schema::ActiveRun>& active = taskFound->second.active;
  const auto run = std::find_if(active.begin(), active.end(), [&](const auto& r) { return r.number() == end.run(); });
  if (run == active.end()) return;
  m_runChanges.push_back({end.task(), *run, false, end.kind(), timeMs, workflow.isSuperseded(key), end.wants_ticket()});
  if (end.wants_ticket()) workflow.record.set_wants_ticket(true);
  const schema::ActiveRun ended = *run;
  active.erase(run);
  updateWaiting(workflow, key);
  --workflow.activeRuns;
  chargeRun(workflow, ended, key.step, timeMs);
  if (workflow.isSuperseded(key)) return recordSupersededEnd(workflow, ended, end);
  if (!taskFound->second.done) recordRunTimeRatio(workflow, ended, end);
  recordRunTime(workflow, ended, end, timeMs);
  if (!end.checkpoint().empty())
    workflow.tasks[internal::shared_state_key(workflow, key)].checkpoint = end.checkpoint();
  if (!workflow.ended() && end.kind() == schema::RunDone && !workflow.step(key.step).long_running()) {
    markDone(workflow, key);
  }
  if (!workflow.ended() && end.kind() == schema::RunFailed) countFailure(workflow, key, end.run(), timeMs);
  noteCrash(workflow, key, ended, end, timeMs);
  finishIfDone(workflow, timeMs);
  closeIfFinished(workflow);
}

void WorkflowTable::recordSupersededEnd(WorkflowState& workflow, const schema::ActiveRun& run,
                                        const schema::RunEnd& end) {
  if (end.kind() == schema::RunTargetLost) m_runTimeEstimator.forget(run.target());
  closeIfFinished(workflow);
}

/** Unlike failures, crashes also limit the starts of long-running tasks, and are counted for each member of a gang. */
void WorkflowTable::noteCrash(WorkflowState& workflow, const TaskKey& key, const schema::ActiveRun& run,
                              const schema::RunEnd& end, std::uint64_t timeMs) {
  TaskState& task = workflow.tasks[key];
  if (task.done) return;
  const bool accusedBefore = task.crashes.suspected();
  task.crashes.ended(run, end);
  if (accusedBefore && !task.crashes.suspected()) workflow.suspectTasks.erase(key);
  if (!accusedBefore && task.crashes.suspected()) workflow.suspectTasks.insert(key);
  // While a second run goes on, the task may still be done without another start.
  if (workflow.ended() || !task.active.empty() || !task.crashes.shouldGiveUp()) return;
  endWorkflow(
      workflow, schema::WorkflowFailed,
      "targets crashed under " + taskText(makeTaskId(workflow.record.id(), key)) + ": " + task.crashes.evidence(),
      timeMs);
}

/** Of a gang only the first end counts, since its members end together. The ratio depends on the estimates before this
 * run, so that it shows by how much the run differed from what was expected of it. */
void WorkflowTable::recordRunTimeRatio(const WorkflowState& workflow, const schema::ActiveRun& run,
                                       const schema::RunEnd& end) {
  const schema::StepSpec& step = workflow.step(end.task().step());
  if (end.kind() != schema::RunDone || step.long_running() || step.estimate_ms() == 0) return;
  const std::string& queue = workflow.record.queue();
  const double expectedMs = m_runTimeEstimator.expectedMs(queue, static_cast<double>(step.estimate_ms())) *
                            m_runTimeEstimator.timeFactor(run.target());
  m_runTimeDistributions.record(queue, static_cast<double>(end.whole_ms()) / expectedMs);
}

void WorkflowTable::recordRunTime(const WorkflowState& workflow, const schema::ActiveRun& run,
                                  const schema::RunEnd& end, std::uint64_t timeMs) {
  if (end.kind() == schema::RunTargetLost) return m_runTimeEstimator.forget(run.target());
  const StepKey step = keyOf(end.task()).stepKey();
  m_runTimeEstimator.recordRunTime(observedStep(workflow, step), run.target(), static_cast<double>(end.whole_ms()),
                                   timeMs);
}

void WorkflowTable::chargeRun(const WorkflowState& workflow, const schema::ActiveRun& run, std::uint32_t step,
                              std::uint64_t timeMs) {
  const schema::Workflow& record = workflow.record;
  if (!hasTenant(record.tenant())) return;
  m_workspaceUsage.record(record.tenant(), record.service(), heldResources(workflow.step(step)), run.started_ms(),
                          timeMs);
}

/** Marks a task as done. All members of a gang are done when one of them is. */
void WorkflowTable::markDone(WorkflowState& workflow, const TaskKey& key) {
  const bool gang = workflow.step(key.step).gang();
  const std::uint32_t first = gang ? 0 : key.index;
  const std::uint32_t last = gang ? workflow.step(key.step).count() - 1 : key.index;
  const bool wasDone = workflow.stepDone(key.stepKey());
  for (std::uint32_t index = first; index <= last; ++index) {
    const TaskKey member{key.occurrence, key.step, index};
    TaskState& task = workflow.tasks[member];
    if (!task.done) ++workflow.doneCounts[key.stepKey()];
    task.done = true;
    task.checkpoint.clear();
    workflow.suspectTasks.erase(member);
    task.crashes = CrashRecord();
    if (!wasDone) workflow.waiting.update(member, false);
  }
  if (!wasDone && workflow.stepDone(key.stepKey())) workflow.waiting.finishStep(key.stepKey());
  countBytes(workflow);
}

std::uint64_t WorkflowTable::heldBytes(const std::string& workspace) const {
  const auto held = m_heldByWorkspace.find(workspace);
  return held == m_heldByWorkspace.end() ? 0 : held->second;
}

void WorkflowTable::countBytes(WorkflowState& workflow) {
  const std::uint64_t bytes = workflow.acceptedBytes + workflow.tasks.size() * StartedTaskBytes;
  if (bytes == workflow.heldBytes) return;
  discountBytes(workflow);
  workflow.heldBytes = bytes;
  m_heldBytes += workflow.heldBytes;
  m_heldByWorkspace[workflow.record.tenant()] += workflow.heldBytes;
}

void WorkflowTable::discountBytes(const WorkflowState& workflow) {
  m_heldBytes -= workflow.heldBytes;
  const auto held = m_heldByWorkspace.find(workflow.record.tenant());
  if (held == m_heldByWorkspace.end()) return;
  held->second -= workflow.heldBytes;
  if (held->second == 0) m_heldByWorkspace.erase(held);
}

void WorkflowTable::updateWaiting(WorkflowState& workflow, const TaskKey& key) {
  ++workflow.changes;
  if (workflow.stepDone(key.stepKey())) return;
  const TaskState& task = workflow.tasks.at(key);
  workflow.waiting.update(key, !task.done && task.active.empty());
}

void WorkflowTable::countFailure(WorkflowState& workflow, const TaskKey& key, std::uint32_t run, std::uint64_t timeMs) {
  if (workflow.step(key.step).long_running()) return;
  TaskState& lead = workflow.tasks[internal::shared_state_key(workflow, key)];
  if (lead.done || lead.failedRun == run) return;
  lead.failedRun = run;
  ++lead.failures;
  if (lead.failures < workflow.record.max_attempts()) return;
  endWorkflow(workflow, schema::WorkflowFailed,
              "step " + std::to_string(key.step) + " failed " + std::to_string(lead.failures) + " times", timeMs);
}

void WorkflowTable::finishIfDone(WorkflowState& workflow, std::uint64_t timeMs) {
  if (workflow.ended()) return;
  const std::uint64_t steps = std::uint64_t{workflow.occurrences()} * workflow.record.spec().steps_size();
  if (workflow.waiting.finishedSteps() < steps) return;
  endWorkflow(workflow, schema::WorkflowCompleted, "every task is done", timeMs);
}

void WorkflowTable::endWorkflow(WorkflowState& workflow, schema::WorkflowPhase phase, const std::string& reason,
                                std::uint64_t timeMs) {
  workflow.record.set_phase(phase);
  workflow.record.set_reason(reason);
  workflow.record.set_ended_ms(timeMs);
  m_ended.emplace_back(timeMs, workflow.record.id());
  m_justEnded.push_back(workflow.record.id());
  closeIfFinished(workflow);
}

std::vector<RunChange> WorkflowTable::consumeRunChanges() { return std::exchange(m_runChanges, {}); }

std::vector<std::string> WorkflowTable::consumeEnded() { return std::exchange(m_justEnded, {}); }

void WorkflowTable::closeIfFinished(const WorkflowState& workflow) {
  if (!workflow.ended() || workflow.activeRuns > 0) return;
  if (m_open.erase(workflow.record.id()) > 0) m_runTimeEstimator.closeWorkflow(workflow.record.id());
}

void WorkflowTable::expire(std::uint64_t nowMs) {
  while (!m_ended.empty() && m_ended.front().first + m_retentionMs < nowMs) {
    const std::string id = m_ended.front().second;
    if (m_open.count(id) > 0) return;
    const auto expired = m_workflows.find(id);
    if (expired != m_workflows.end()) {
      discountBytes(expired->second);
      m_workflows.erase(expired);
    }
    m_ended.pop_front();
  }
}

// ---- snapshots

void WorkflowTable::save(schema::StateSnapshot& snapshot) const {
  saveWithoutWorkflows(snapshot);
  std::string last;
  while (saveNextWorkflow(last, snapshot)) continue;
}

void WorkflowTable::saveWithoutWorkflows(schema::StateSnapshot& snapshot) const {
  m_runTimeEstimator.save(snapshot);
  m_workspaceUsage.save(snapshot);
  m_runTimeDistributions.save(snapshot);
  snapshot.set_lease_ms(m_leaseMs);
  *snapshot.mutable_configuration() = m_configuration;
}

bool WorkflowTable::saveNextWorkflow(std::string& after, schema::StateSnapshot& snapshot) const {
  const auto next = m_workflows.upper_bound(after);
  if (next == m_workflows.end()) return false;
  after = next->first;
  const WorkflowState& workflow = next->second;
  schema::Workflow* saved = snapshot.add_workflows();
  *saved = workflow.record;
  for (const auto& [key, task] : workflow.tasks) {
    schema::TaskRecord* row = saved->add_tasks();
    *row->mutable_id() = makeTaskId("", key);
    row->set_done(task.done);
    row->set_failures(task.failures);
    row->set_failed_run(task.failedRun);
    row->set_last_run(task.lastRun);
    row->set_checkpoint(task.checkpoint);
    task.crashes.save(*row);
    for (const schema::ActiveRun& run : task.active) *row->add_active() = run;
  }
  return true;
}

void WorkflowTable::load(const schema::StateSnapshot& snapshot) {
  m_runTimeEstimator.load(snapshot);
  m_workspaceUsage.load(snapshot);
  m_runTimeDistributions.load(snapshot);
  m_leaseMs = snapshot.lease_ms();
  m_configuration = snapshot.configuration();
  std::multimap<std::uint64_t, std::string> ended;
  for (const schema::Workflow& saved : snapshot.workflows()) {
    WorkflowState& workflow = m_workflows[saved.id()];
    workflow.record = saved;
    workflow.record.clear_tasks();
    workflow.waiting = WaitingSteps(saved.spec());
    for (const schema::TaskRecord& row : saved.tasks()) {
      const TaskKey key = keyOf(row.id());
      TaskState& task = workflow.tasks[key];
      task.done = row.done();
      task.failures = row.failures();
      task.failedRun = row.failed_run();
      task.lastRun = row.last_run();
      task.checkpoint = row.checkpoint();
      task.crashes.load(row);
      if (task.crashes.suspected()) workflow.suspectTasks.insert(key);
      task.active.assign(row.active().begin(), row.active().end());
      workflow.activeRuns += static_cast<unsigned>(task.active.size());
      if (task.done) ++workflow.doneCounts[key.stepKey()];
      workflow.waiting.update(key, !task.done && task.active.empty());
      if (task.done && workflow.stepDone(key.stepKey())) workflow.waiting.finishStep(key.stepKey());
    }
    workflow.acceptedBytes = workflowBytes(workflow.record);
    countBytes(workflow);
    if (workflow.ended()) ended.emplace(saved.ended_ms(), saved.id());
    m_open.insert(saved.id());
    closeIfFinished(workflow);
  }
  m_ended.assign(ended.begin(), ended.end());
}

}  // namespace courseloom
