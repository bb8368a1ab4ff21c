// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of WorkflowRunner that determines the shares of workspaces in the services, and the bands of their steps.

#include <algorithm>

#include "Courseloom/src/Control/WorkflowRunner.h"
#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace internal {
namespace {

/** Interval at which the shares of workspaces are recorded as a metric. */
constexpr Duration ShareRecordInterval = milliseconds(1000);
constexpr double Percent = 100.0;

}  // namespace
}  // namespace internal

/** Sets the bands of waiting steps from the shares of their workspaces. */
void WorkflowRunner::assignBands(std::vector<PlannedStep>& steps) {
  FairShareOptions options;
  options.burst = m_context.settings.policy().share_burst();
  const WorkspaceDemands demands = workspaceDemands(steps, wallClockMs());
  const FairShare shares(serviceCapacities(), demands, WorkspaceUsage::windowS(), options);
  for (PlannedStep& step : steps) {
    const schema::Workflow& record = step.workflow->record;
    step.band = shares.bandOf(record.tenant(), record.service());
  }
  reportShares(shares);
}

/** \returns the use and the demand of workspaces, by service. Covers the services that have open workflows, and for
 * each of them all workspaces of the configuration. */
WorkspaceDemands WorkflowRunner::workspaceDemands(const std::vector<PlannedStep>& steps, std::uint64_t nowMs) const {
  WorkspaceDemands demands;
  for (const std::string& id : table().open()) {
    const WorkflowState* workflow = table().find(id);
    WorkspaceDemand& demand = demands[workflow->record.service()][workflow->record.tenant()];
    if (workflow->activeRuns > 0) demand.active.add(activeUse(*workflow, nowMs));
  }
  for (const PlannedStep& step : steps) {
    const schema::Workflow& record = step.workflow->record;
    if (step.rank != GuaranteedRank) demands[record.service()][record.tenant()].waiting = true;
  }
  for (auto& [service, workspaces] : demands) {
    for (const schema::Tenant& tenant : table().configuration().tenants()) {
      WorkspaceDemand& demand = workspaces[tenant.name()];
      demand.past = table().workspaceUsage().usageOf(tenant.name(), service, nowMs);
      demand.weight = std::max(1U, tenant.weight());
    }
  }
  return demands;
}

/** \returns the use of a workflow's active runs since their committed starts. */
ResourceTime WorkflowRunner::activeUse(const WorkflowState& workflow, std::uint64_t nowMs) const {
  ResourceTime use;
  for (const auto& [key, track] : m_ledger.runsOf(workflow.record.id())) {
    const TaskState* task = workflow.task(key.task);
    if (task == nullptr) continue;
    const schema::Resources held = heldResources(workflow.step(key.task.step));
    for (const schema::ActiveRun& active : task->active) {
      if (active.number() != key.run) continue;
      use.add(WorkspaceUsage::useBetween(held, active.started_ms(), nowMs));
    }
  }
  return use;
}

/** Logs the workspaces that begin or cease to be served after others, and records the shares at ShareRecordInterval. */
void WorkflowRunner::reportShares(const FairShare& shares) {
  for (const ShareReview::Change& change : m_shareReview.update(shares)) {
    logEvent(change.over ? schema::WorkspaceOverShare : schema::WorkspaceWithinShare,
             {{"workspace", change.workspace},
              {"service", change.service},
              {"sharePercent", static_cast<std::uint64_t>(internal::Percent * change.relativeShare)}});
  }
  const Time now = BootClock::now();
  if (now < m_nextShareRecord) return;
  m_nextShareRecord = now + internal::ShareRecordInterval;
  for (const auto& [key, share] : shares.relativeShares()) {
    if (share == 0.0) continue;  // most workspaces use few of the services
    m_context.metrics.record("workspace_share_percent", key.second, key.first, internal::Percent * share);
  }
}

}  // namespace courseloom
