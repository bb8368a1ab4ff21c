// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of WorkflowRunner that supplies what the admission of new workflows depends on.

#include <algorithm>

#include "Courseloom/src/Control/WorkflowRunner.h"
#include "Courseloom/src/Scheduling/Objective.h"

namespace courseloom {

namespace internal {
namespace {

/** Age at which the backlogs are computed anew. The computation visits all open workflows; in between, accepted
 * submissions are added one by one. */
constexpr Duration BacklogValidity = milliseconds(100);
constexpr double CpuMilliPerCore = 1000.0;

ResourceWork resource_work(const ResourceAmounts& amounts, double factor) {
  return {static_cast<double>(amounts.accelerators) * factor,
          static_cast<double>(amounts.cpuMilli) / CpuMilliPerCore * factor};
}

/** \returns whether a workflow has scheduled times of its own or runs until it is cancelled. */
bool has_own_times(const schema::WorkflowSpec& spec) {
  return spec.occurrences() > 0 || std::any_of(spec.steps().begin(), spec.steps().end(),
                                               [](const schema::StepSpec& step) { return step.long_running(); });
}

}  // namespace
}  // namespace internal

std::optional<AdmissionInput> WorkflowRunner::admissionInput(const schema::Workflow& workflow) {
  if (!leads() || m_ledger.arriving(BootClock::now()) || internal::has_own_times(workflow.spec())) return std::nullopt;
  updateBacklogs();
  const auto found = m_backlogs.find(workflow.service());
  if (found == m_backlogs.end()) return std::nullopt;
  AdmissionInput input;
  input.backlog = &found->second.entries;
  input.capacity = found->second.capacity;
  Submission& submission = input.submission;
  submission.rank = rankOfSubmission(workflow);
  submission.workspace = workflow.tenant();
  for (const schema::StepSpec& step : workflow.spec().steps())
    submission.work.add(workOf(workflow.queue(), step, step.count()));
  submission.criticalPathMs = computeChainMs(workflow, capacityForWaves(workflow.service()));
  const double objectiveMs = workflow.stretch() * submission.criticalPathMs + workflow.latency_target_ms();
  submission.inTimeMs = objectiveMs;
  submission.usefulMs = WorthlessAfter * objectiveMs;
  submission.objectiveMs = static_cast<double>(wallClockMs()) + objectiveMs;
  return input;
}

void WorkflowRunner::addToBacklog(const std::string& service, const Submission& submission) {
  m_backlogs[service].entries.push_back(
      BacklogEntry{submission.rank, submission.workspace, submission.work, submission.objectiveMs, false});
}

/** \returns the rank of a new workflow. Its guarantee is judged by the open workflows as they are now: the marks of the
 * last plan may be outdated. */
Rank WorkflowRunner::rankOfSubmission(const schema::Workflow& workflow) {
  const std::uint64_t need = widestAccelerators(workflow.spec());
  if (workflow.priority() != 0 || need == 0) return rankOf(workflow.priority(), false);
  std::set<std::string> guaranteed;
  const std::map<std::string, std::uint64_t> left = assignGuarantees(guaranteed);
  const auto own = left.find(workflow.tenant());
  return rankOf(workflow.priority(), own != left.end() && need <= own->second);
}

ResourceWork WorkflowRunner::workOf(const std::string& queue, const schema::StepSpec& step, std::uint64_t tasks) const {
  return internal::resource_work(resourceAmountsOf(step), expectedMs(queue, step) * static_cast<double>(tasks));
}

/** Computes the backlogs and the capacities of all services, unless they are recent. */
void WorkflowRunner::updateBacklogs() {
  const Time now = BootClock::now();
  if (m_backlogsUpdated != Time{} && now < m_backlogsUpdated + internal::BacklogValidity) return;
  m_backlogsUpdated = now;
  m_backlogs.clear();
  m_serviceCapacities.reset();
  m_stepWalksLeft = StepWalksPerPass;
  for (const auto& [agent, track] : m_ledger.targets()) {
    if (!m_ledger.open(track, now) || isDrained(track)) continue;
    m_backlogs[track.report.service()].capacity.add(
        internal::resource_work(resourceAmountsOf(track.report.capacity()), 1.0));
  }
  const std::uint64_t nowMs = wallClockMs();
  for (const std::string& id : table().open()) {
    const WorkflowState& workflow = *table().find(id);
    if (!workflow.ended()) addBacklogOf(workflow, nowMs);
  }
}

/** Adds what a workflow has not started, and subtracts from the capacity what its long-running tasks hold. A workflow
 * whose backlog was never computed is left out while too many steps would have to be walked; the next update, or the
 * one after it, has it. */
void WorkflowRunner::addBacklogOf(const WorkflowState& workflow, std::uint64_t nowMs) {
  const schema::Workflow& record = workflow.record;
  const auto found = m_backlogs.find(record.service());
  const WorkflowBacklog* backlog = found == m_backlogs.end() ? nullptr : backlogOf(workflow, nowMs);
  if (backlog == nullptr) return;
  found->second.capacity.add({-backlog->held.accelerators, -backlog->held.cores});
  BacklogEntry entry{rankOfWorkflow(workflow), record.tenant(), backlog->unstarted, 0.0, false};
  const double chainMs = objectiveChainMs(workflow);
  const double allowedMs = record.stretch() * chainMs + record.latency_target_ms();
  const auto dueMs = static_cast<double>(workflow.dueMs(0));
  entry.objectiveMs = dueMs + allowedMs;
  entry.late = static_cast<double>(nowMs) + chainMs > entry.objectiveMs;
  // The planner serves worthless work last, so it is not ahead of new work.
  const bool worthless = allowedMs > 0.0 && static_cast<double>(nowMs) + chainMs > dueMs + WorthlessAfter * allowedMs;
  if (worthless) return;
  if (entry.work.accelerators > 0.0 || entry.work.cores > 0.0) found->second.entries.push_back(std::move(entry));
}

/** \returns the backlog of a workflow, perhaps that of a former update, or null if it was never computed, while too
 * many steps would have to be walked. */
const WorkflowRunner::WorkflowBacklog* WorkflowRunner::backlogOf(const WorkflowState& workflow, std::uint64_t nowMs) {
  const schema::Workflow& record = workflow.record;
  const std::uint32_t due = workflow.dueOccurrences(nowMs);
  const auto steps = static_cast<std::uint32_t>(record.spec().steps_size());
  std::optional<WorkflowBacklog>& known = m_figures[record.id()].backlog;
  const bool isCurrent =
      known && known->changes == workflow.changes && known->estimates == m_estimatorUpdates && known->due == due;
  if (isCurrent || steps > m_stepWalksLeft) return known ? &*known : nullptr;
  m_stepWalksLeft -= steps;
  WorkflowBacklog& backlog = known.emplace(WorkflowBacklog{{}, {}, workflow.changes, m_estimatorUpdates, due});
  for (std::uint32_t index = 0; index < steps; ++index) {
    const schema::StepSpec& step = workflow.step(index);
    const std::uint64_t begun = workflow.waiting.begunTasks(index);
    const std::uint64_t tasks = std::uint64_t{due} * step.count();
    if (step.long_running()) {
      backlog.held.add(internal::resource_work(resourceAmountsOf(step), static_cast<double>(begun)));
    } else if (begun < tasks) {
      backlog.unstarted.add(workOf(record.queue(), step, tasks - begun));
    }
  }
  return &backlog;
}

}  // namespace courseloom
