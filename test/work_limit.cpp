// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The memory of accepted workflows: what is counted, and how workspaces share it.

#include "Courseloom/src/Control/WorkLimit.h"

#include "Courseloom/src/State/WorkflowSize.h"
#include "test/main.h"

using namespace courseloom;

namespace {

constexpr std::uint64_t Limit = 10ULL * 1024 * 1024;

schema::Workflow workflowOf(const std::string& id, const std::string& workspace, int steps) {
  schema::Workflow workflow;
  workflow.set_id(id);
  workflow.set_tenant(workspace);
  workflow.set_max_attempts(2);
  for (int i = 0; i < steps; ++i) {
    schema::StepSpec* step = workflow.mutable_spec()->add_steps();
    step->set_count(4);
    step->mutable_need()->set_cpu_milli(1000);
  }
  return workflow;
}

/** Submits workflows of a workspace while they are admitted. \returns their number */
unsigned flood(WorkflowTable& table, const WorkLimit& limit, const std::string& workspace, int steps) {
  for (unsigned i = 0;; ++i) {
    const schema::Workflow workflow = workflowOf(workspace + std::to_string(i), workspace, steps);
    if (!limit.admits(table, workspace, workflowBytes(workflow))) return i;
    table.submit(workflow, 10);
  }
}

}  // namespace

Test(work_limit, one_workspace_leaves_room_to_the_others) {
  WorkflowTable table;
  const WorkLimit limit(Limit);
  cr_assert_gt(flood(table, limit, "a", 100), 0);
  cr_assert_gt(flood(table, limit, "b", 100), 0);
  cr_assert_gt(flood(table, limit, "c", 100), 0);
  cr_assert_leq(table.heldBytes(), Limit);
}

Test(work_limit, what_is_counted_ends_with_the_workflow) {
  WorkflowTable table(1000);
  table.submit(workflowOf("w", "a", 100), 10);
  cr_assert_gt(table.heldBytes("a"), 0);
  cr_assert_eq(table.heldBytes(), table.heldBytes("a"));
  table.cancel("w", 20);
  cr_assert_gt(table.heldBytes(), 0, "ended workflows are kept for a time");
  table.expire(2000);
  cr_assert_eq(table.heldBytes(), 0);
  cr_assert_eq(table.heldBytes("a"), 0);
}

Test(work_limit, started_tasks_are_counted_also_after_a_snapshot) {
  WorkflowTable table;
  table.submit(workflowOf("w", "a", 1), 10);
  const std::uint64_t before = table.heldBytes();
  schema::RecordRuns runs;
  schema::RunStart* start = runs.add_starts();
  *start->mutable_task() = makeTaskId("w", {0, 0, 2});
  start->mutable_run()->set_number(1);
  table.record(runs, 20);
  cr_assert_eq(table.heldBytes(), before + StartedTaskBytes);
  schema::StateSnapshot snapshot;
  table.save(snapshot);
  WorkflowTable loaded;
  loaded.load(snapshot);
  cr_assert_gt(loaded.heldBytes(), before);
  cr_assert_eq(loaded.heldBytes("a"), loaded.heldBytes());
}

Test(work_limit, commits_in_progress_count) {
  const WorkflowTable table;
  WorkLimit limit(Limit);
  const schema::Workflow workflow = workflowOf("w", "a", 1);
  const WorkLimit::Commit commit(limit, workflow, Limit / 2);
  cr_assert(limit.admits(table, "a", Limit / 2));
  cr_assert_not(limit.admits(table, "a", Limit / 2 + 1));
  cr_assert(limit.admits(table, "b", Limit / 2));
}

// A rejection states that the workflow will never run, so one that may be committed must not be rejected.
Test(work_limit, a_workflow_is_pending_until_its_last_submission_has_ended) {
  WorkLimit limit(Limit);
  const schema::Workflow workflow = workflowOf("w", "a", 1);
  {
    const WorkLimit::Commit first(limit, workflow, 100);
    { const WorkLimit::Commit second(limit, workflow, 100); }
    cr_assert(limit.isPending("w"));
  }
  cr_assert_not(limit.isPending("w"));
}

// Each copy counts, and each step costs more than its text.
Test(work_limit, the_estimate_counts_copies) {
  schema::Workflow payload = workflowOf("w", "a", 1);
  const std::uint64_t before = workflowBytes(payload);
  payload.mutable_spec()->set_payload(std::string(4000, 'x'));
  cr_assert_geq(workflowBytes(payload) - before, 6 * 4000);
  cr_assert_geq(workflowBytes(workflowOf("w", "a", 8000)), 8000 * 350);
}
