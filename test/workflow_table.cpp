// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of WorkflowTable: the replicated state of workflows, their tasks and their runs.

#include "Courseloom/src/State/WorkflowTable.h"

#include <random>

#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

schema::Workflow makeWorkflow(const std::string& id, unsigned count, bool gang = false) {
  schema::Workflow workflow;
  workflow.set_id(id);
  workflow.set_max_attempts(2);
  schema::StepSpec* step = workflow.mutable_spec()->add_steps();
  step->set_count(count);
  step->set_gang(gang);
  return workflow;
}

void start(WorkflowTable& table, const std::string& id, const TaskKey& key, std::uint32_t run) {
  schema::RecordRuns runs;
  schema::RunStart* row = runs.add_starts();
  *row->mutable_task() = makeTaskId(id, key);
  row->mutable_run()->set_number(run);
  row->mutable_run()->set_target("t");
  row->mutable_run()->set_agent("a");
  table.record(runs, 20);
}

void end(WorkflowTable& table, const std::string& id, const TaskKey& key, std::uint32_t run, schema::RunEndKind kind,
         const std::string& checkpoint = "") {
  schema::RecordRuns runs;
  schema::RunEnd* row = runs.add_ends();
  *row->mutable_task() = makeTaskId(id, key);
  row->set_run(run);
  row->set_kind(kind);
  row->set_checkpoint(checkpoint);
  table.record(runs, 30);
}

schema::WorkflowPhase phaseOf(const WorkflowTable& table, const std::string& id) {
  return table.find(id)->record.phase();
}

/** \returns whether a step has waiting tasks, determined by examining each task. */
bool hasWaitingTasksByScan(const WorkflowState& workflow, const StepKey& step) {
  for (std::uint32_t i = 0; i < workflow.step(step.step).count(); ++i) {
    const TaskState* task = workflow.task({step.occurrence, step.step, i});
    if (task == nullptr || (!task->done && task->active.empty())) return true;
  }
  return false;
}

}  // namespace

Test(workflow_table, the_configuration_with_the_highest_version_is_kept) {
  WorkflowTable table;
  schema::QueueConfiguration configuration;
  configuration.set_version(7);
  configuration.set_source("seven");
  table.putConfiguration(configuration);
  configuration.set_source("seven again");
  table.putConfiguration(configuration);
  configuration.set_version(3);
  table.putConfiguration(configuration);
  cr_assert_eq(table.configuration().version(), 7);
  cr_assert(table.configuration().source() == "seven");
}

Test(workflow_table, a_workflow_with_a_known_id_is_not_submitted_again) {
  WorkflowTable table;
  cr_assert(table.submit(makeWorkflow("w", 1), 10));
  cr_assert_not(table.submit(makeWorkflow("w", 5), 11));
  cr_assert_eq(table.find("w")->step(0).count(), 1);
}

Test(workflow_table, a_task_has_one_run_at_a_time_and_run_numbers_increase) {
  WorkflowTable table;
  table.submit(makeWorkflow("w", 2), 10);
  start(table, "w", {0, 0, 0}, 1);
  start(table, "w", {0, 0, 0}, 2);
  cr_assert_eq(table.find("w")->activeRuns, 1, "a start during an active run must be ignored");
  end(table, "w", {0, 0, 0}, 1, schema::RunLapsed, "half");
  start(table, "w", {0, 0, 0}, 1);
  cr_assert_eq(table.find("w")->activeRuns, 0, "a run number is used once");
  cr_assert_eq(table.find("w")->nextRun({0, 0, 0}), 2);
  cr_assert(table.find("w")->checkpointOf({0, 0, 0}) == "half");
  start(table, "w", {0, 0, 0}, 2);
  end(table, "w", {0, 0, 0}, 2, schema::RunDone);
  start(table, "w", {0, 0, 0}, 3);
  cr_assert_eq(table.find("w")->activeRuns, 0, "a done task is not started again");
}

Test(workflow_table, a_workflow_is_completed_when_every_task_of_every_occurrence_is_done) {
  WorkflowTable table;
  schema::Workflow workflow = makeWorkflow("w", 1);
  workflow.mutable_spec()->add_steps()->set_count(1);
  workflow.mutable_spec()->mutable_steps(1)->add_after(0);
  workflow.mutable_spec()->set_occurrences(2);
  workflow.mutable_spec()->set_first_due_ms(500);
  workflow.mutable_spec()->set_interval_ms(100);
  table.submit(workflow, 10);
  cr_assert_eq(table.find("w")->dueMs(1), 600);
  cr_assert_not(table.find("w")->stepReady({0, 1}));
  for (std::uint32_t occurrence = 0; occurrence < 2; ++occurrence) {
    for (std::uint32_t step = 0; step < 2; ++step) {
      cr_assert_neq(phaseOf(table, "w"), schema::WorkflowCompleted);
      cr_assert(table.find("w")->stepReady({occurrence, step}));
      start(table, "w", {occurrence, step, 0}, 1);
      end(table, "w", {occurrence, step, 0}, 1, schema::RunDone);
    }
  }
  cr_assert_eq(phaseOf(table, "w"), schema::WorkflowCompleted);
}

Test(workflow_table, a_gang_is_done_when_one_member_is_done) {
  WorkflowTable table;
  table.submit(makeWorkflow("w", 3, true), 10);
  for (std::uint32_t i = 0; i < 3; ++i) start(table, "w", {0, 0, i}, 1);
  end(table, "w", {0, 0, 1}, 1, schema::RunDone);
  cr_assert_eq(phaseOf(table, "w"), schema::WorkflowCompleted);
  cr_assert_eq(table.open().count("w"), 1, "its other members are still active");
  end(table, "w", {0, 0, 0}, 1, schema::RunDone);
  end(table, "w", {0, 0, 2}, 1, schema::RunLapsed);
  cr_assert_eq(table.open().count("w"), 0);
}

Test(workflow_table, only_failures_count_as_attempts_and_a_failed_gang_counts_once) {
  WorkflowTable table;
  table.submit(makeWorkflow("w", 2, true), 10);
  for (std::uint32_t run = 1; run <= 4; ++run) {
    for (std::uint32_t i = 0; i < 2; ++i) start(table, "w", {0, 0, i}, run);
    const bool fails = run == 2 || run == 4;
    end(table, "w", {0, 0, 0}, run, fails ? schema::RunFailed : schema::RunLapsed);
    end(table, "w", {0, 0, 1}, run, fails ? schema::RunFailed : schema::RunVoided);
    cr_assert_eq(phaseOf(table, "w"), run == 4 ? schema::WorkflowFailed : schema::WorkflowRunning, "run %u", run);
  }
}

Test(workflow_table, the_last_attempt_is_determined_by_task_or_by_gang) {
  WorkflowTable table;
  table.submit(makeWorkflow("gang", 2, true), 10);
  table.submit(makeWorkflow("pieces", 2), 10);
  for (const char* id : {"gang", "pieces"}) {
    cr_assert_not(table.find(id)->onLastAttempt({0, 0, 0}));
    start(table, id, {0, 0, 0}, 1);
    end(table, id, {0, 0, 0}, 1, schema::RunFailed);
    cr_assert(table.find(id)->onLastAttempt({0, 0, 0}));
  }
  cr_assert(table.find("gang")->onLastAttempt({0, 0, 1}));
  cr_assert_not(table.find("pieces")->onLastAttempt({0, 0, 1}), "this task has not failed");
}

Test(workflow_table, a_long_running_workflow_is_neither_completed_nor_failed) {
  WorkflowTable table;
  schema::Workflow workflow = makeWorkflow("w", 1);
  workflow.mutable_spec()->mutable_steps(0)->set_long_running(true);
  table.submit(workflow, 10);
  for (std::uint32_t run = 1; run <= 5; ++run) {
    start(table, "w", {0, 0, 0}, run);
    end(table, "w", {0, 0, 0}, run, run % 2 == 0 ? schema::RunDone : schema::RunFailed);
  }
  cr_assert_eq(phaseOf(table, "w"), schema::WorkflowRunning);
  cr_assert(table.cancel("w", 40));
  cr_assert_eq(phaseOf(table, "w"), schema::WorkflowCancelled);
  start(table, "w", {0, 0, 0}, 6);
  cr_assert_eq(table.find("w")->activeRuns, 0);
}

Test(workflow_table, starts_of_tasks_outside_a_workflow_are_ignored) {
  WorkflowTable table;
  table.submit(makeWorkflow("w", 1), 10);
  start(table, "w", {0, 0, 1}, 1);
  start(table, "w", {0, 1, 0}, 1);
  start(table, "w", {1, 0, 0}, 1);
  start(table, "other", {0, 0, 0}, 1);
  cr_assert_eq(table.find("w")->activeRuns, 0);
  cr_assert_not(table.cancel("other", 20));
}

Test(workflow_table, a_snapshot_preserves_the_whole_state) {
  WorkflowTable table;
  table.submit(makeWorkflow("w", 2), 10);
  start(table, "w", {0, 0, 0}, 1);
  end(table, "w", {0, 0, 0}, 1, schema::RunFailed, "saved");
  start(table, "w", {0, 0, 0}, 2);
  start(table, "w", {0, 0, 1}, 1);
  end(table, "w", {0, 0, 1}, 1, schema::RunDone);
  schema::StateSnapshot snapshot;
  table.save(snapshot);
  WorkflowTable loaded;
  loaded.load(snapshot);
  schema::StateSnapshot again;
  loaded.save(again);
  cr_assert(snapshot.SerializeAsString() == again.SerializeAsString());
  cr_assert_eq(loaded.find("w")->activeRuns, 1);
  end(loaded, "w", {0, 0, 0}, 2, schema::RunFailed);
  cr_assert_eq(phaseOf(loaded, "w"), schema::WorkflowFailed, "failures before the snapshot count");
}

Test(workflow_table, ended_workflows_expire_after_the_retention_period) {
  WorkflowTable table(1000);
  table.submit(makeWorkflow("w", 1), 10);
  table.cancel("w", 50);
  table.expire(1000);
  cr_assert_neq(table.find("w"), nullptr);
  table.expire(1051);
  cr_assert_eq(table.find("w"), nullptr);
}

// The planner asks for each open step in each pass, so the answer must not need an examination of all tasks. This test
// compares it with such an examination.
Test(workflow_table, waiting_steps_are_known_without_examining_their_tasks) {
  for (std::uint64_t seed = firstSeed(); seed < firstSeed() + seedCount(200); ++seed) {
    std::mt19937_64 random(seed);
    WorkflowTable table;
    const bool gang = random() % 2 == 0;
    const unsigned count = 1 + random() % 4;
    table.submit(makeWorkflow("w", count, gang), 10);
    for (int action = 0; action < 40; ++action) {
      const TaskKey key{0, 0, static_cast<std::uint32_t>(random() % count)};
      const auto run = static_cast<std::uint32_t>(1 + random() % 6);
      const auto kind = static_cast<schema::RunEndKind>(random() % schema::RunEndKind_ARRAYSIZE);
      random() % 2 == 0 ? start(table, "w", key, run) : end(table, "w", key, run, kind);
      if (random() % 8 == 0) {
        schema::StateSnapshot snapshot;
        table.save(snapshot);
        table = WorkflowTable();
        table.load(snapshot);
      }
      const WorkflowState& workflow = *table.find("w");
      cr_assert_eq(workflow.hasWaitingTasks({0, 0}), hasWaitingTasksByScan(workflow, {0, 0}), "seed %llu, action %d",
                   static_cast<unsigned long long>(seed), action);
    }
  }
}
