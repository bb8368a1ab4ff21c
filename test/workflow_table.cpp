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

schema::Workflow makeSpeculativeWorkflow(const std::string& id, unsigned count) {
  schema::Workflow workflow = makeWorkflow(id, count);
  workflow.set_max_attempts(3);
  workflow.mutable_spec()->mutable_steps(0)->set_speculative(true);
  return workflow;
}

/** Commits the start of a copy of run `of` on another target. */
void startCopy(WorkflowTable& table, const std::string& id, const TaskKey& key, std::uint32_t run, std::uint32_t of,
               const std::string& target = "t2", const std::string& agent = "a2") {
  schema::RecordRuns runs;
  schema::RunStart* row = runs.add_starts();
  *row->mutable_task() = makeTaskId(id, key);
  row->mutable_run()->set_number(run);
  row->mutable_run()->set_target(target);
  row->mutable_run()->set_agent(agent);
  row->mutable_run()->set_copy_of(of);
  table.record(runs, 25);
}

/** \returns a snapshot of a table in its serialised form. */
std::string snapshotOf(const WorkflowTable& table) {
  schema::StateSnapshot snapshot;
  table.save(snapshot);
  return snapshot.SerializeAsString();
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

// ---- copies of slow runs

// Without the rules of recordStart a task of any step could have two runs at the same time.
Test(workflow_table, only_a_start_that_names_the_active_run_of_a_speculative_task_adds_a_second_run) {
  const TaskKey task{0, 0, 0};
  WorkflowTable table;
  table.submit(makeSpeculativeWorkflow("w", 1), 10);
  startCopy(table, "w", task, 1, 1);
  cr_assert_eq(table.find("w")->activeRuns, 0, "there is no run to copy");
  start(table, "w", task, 1);
  start(table, "w", task, 2);
  cr_assert_eq(table.find("w")->activeRuns, 1, "a start that names no run must be ignored");
  startCopy(table, "w", task, 3, 2);
  cr_assert_eq(table.find("w")->activeRuns, 1, "a start that names another run must be ignored");
  startCopy(table, "w", task, 3, 1, "t", "a2");
  startCopy(table, "w", task, 3, 1, "t2", "a");
  cr_assert_eq(table.find("w")->activeRuns, 1, "two runs must not be on one target");
  startCopy(table, "w", task, 1, 1);
  cr_assert_eq(table.find("w")->activeRuns, 1, "a run number is used once");
  startCopy(table, "w", task, 3, 1);
  cr_assert_eq(table.find("w")->activeRuns, 2);
  cr_assert_eq(table.find("w")->nextRun(task), 4);
  startCopy(table, "w", task, 4, 1, "t3", "a3");
  startCopy(table, "w", task, 4, 3, "t3", "a3");
  cr_assert_eq(table.find("w")->activeRuns, 2, "a task has at most two runs");
}

// If the original has ended, its copy would start from an outdated checkpoint, or on a target that was chosen for a
// copy only.
Test(workflow_table, a_copy_of_a_run_that_has_ended_is_not_started) {
  for (const schema::RunEndKind kind : {schema::RunLapsed, schema::RunStopped, schema::RunFailed, schema::RunDone}) {
    WorkflowTable table;
    table.submit(makeSpeculativeWorkflow("w", 1), 10);
    start(table, "w", {0, 0, 0}, 1);
    end(table, "w", {0, 0, 0}, 1, kind);
    startCopy(table, "w", {0, 0, 0}, 2, 1);
    cr_assert_eq(table.find("w")->activeRuns, 0, "%s", schema::RunEndKind_Name(kind).c_str());
  }
}

// Tasks that do not allow it must never run twice at the same time.
Test(workflow_table, steps_that_are_not_speculative_gangs_and_long_running_steps_get_no_copies) {
  schema::Workflow plain = makeSpeculativeWorkflow("plain", 1);
  plain.mutable_spec()->mutable_steps(0)->set_speculative(false);
  schema::Workflow gang = makeSpeculativeWorkflow("gang", 2);
  gang.mutable_spec()->mutable_steps(0)->set_gang(true);
  schema::Workflow endless = makeSpeculativeWorkflow("endless", 1);
  endless.mutable_spec()->mutable_steps(0)->set_long_running(true);
  for (const schema::Workflow& workflow : {plain, gang, endless}) {
    WorkflowTable table;
    table.submit(workflow, 10);
    start(table, workflow.id(), {0, 0, 0}, 1);
    startCopy(table, workflow.id(), {0, 0, 0}, 2, 1);
    cr_assert_eq(table.find(workflow.id())->activeRuns, 1, "%s", workflow.id().c_str());
  }
}

// The second end must not count the task twice, which would complete a step with unfinished tasks.
Test(workflow_table, the_first_of_two_ends_in_one_record_counts) {
  const TaskKey task{0, 0, 0};
  WorkflowTable table;
  table.submit(makeSpeculativeWorkflow("w", 2), 10);
  start(table, "w", task, 1);
  startCopy(table, "w", task, 2, 1);
  schema::RecordRuns runs;
  for (const std::uint32_t run : {2U, 1U}) {
    schema::RunEnd* row = runs.add_ends();
    *row->mutable_task() = makeTaskId("w", task);
    row->set_run(run);
    row->set_kind(schema::RunDone);
  }
  table.record(runs, 30);
  const WorkflowState& workflow = *table.find("w");
  cr_assert(workflow.task(task)->done);
  cr_assert_eq(workflow.doneCounts.at({0, 0}), 1);
  cr_assert_eq(workflow.activeRuns, 0);
  cr_assert(workflow.hasWaitingTasks({0, 0}), "the second task waits");
  cr_assert_eq(phaseOf(table, "w"), schema::WorkflowRunning);
  const std::vector<RunChange> changes = table.consumeRunChanges();
  cr_assert_eq(changes.size(), 4);
  cr_assert_not(changes[2].superseded);
  cr_assert(changes[3].superseded);
}

// A losing run that is stopped, fails or is lost with its target says nothing against its task.
Test(workflow_table, the_end_of_the_losing_run_is_no_failure_no_run_time_and_no_crash) {
  const TaskKey task{0, 0, 0};
  for (const schema::RunEndKind kind : {schema::RunFailed, schema::RunTargetLost, schema::RunDone}) {
    WorkflowTable table;
    schema::Workflow spec = makeSpeculativeWorkflow("w", 2);
    spec.set_queue("q");
    spec.mutable_spec()->mutable_steps(0)->set_estimate_ms(1000);
    table.submit(spec, 10);
    start(table, "w", task, 1);
    startCopy(table, "w", task, 2, 1);
    end(table, "w", task, 2, schema::RunDone);
    const TaskState before = *table.find("w")->task(task);
    schema::RecordRuns runs;
    schema::RunEnd* row = runs.add_ends();
    *row->mutable_task() = makeTaskId("w", task);
    row->set_run(1);
    row->set_kind(kind);
    row->set_whole_ms(7000);
    row->set_checkpoint("late");
    row->set_crash(schema::CrashAtStart);
    table.record(runs, 40);
    const TaskState& after = *table.find("w")->task(task);
    cr_assert_eq(after.failures, before.failures);
    cr_assert_not(after.crashes.suspected());
    cr_assert_eq(table.find("w")->suspectTasks.size(), 0);
    cr_assert(after.checkpoint.empty());
    cr_assert(after.active.empty());
    cr_assert_eq(table.runTimeEstimator().openSteps(), 0, "the run time of a losing run must not be recorded");
  }
}

// If a copy were allowed on the last attempt, two failures at once could exceed the allowed number.
Test(workflow_table, failures_of_both_runs_count_and_never_exceed_the_attempts) {
  const TaskKey task{0, 0, 0};
  WorkflowTable table;
  table.submit(makeSpeculativeWorkflow("w", 1), 10);  // three attempts
  start(table, "w", task, 1);
  startCopy(table, "w", task, 2, 1);
  end(table, "w", task, 2, schema::RunFailed);
  cr_assert_eq(table.find("w")->task(task)->failures, 1);
  cr_assert_eq(phaseOf(table, "w"), schema::WorkflowRunning, "the other run goes on");
  cr_assert_not(table.find("w")->hasWaitingTasks({0, 0}), "the task has a run");
  startCopy(table, "w", task, 3, 1);
  end(table, "w", task, 1, schema::RunFailed);
  end(table, "w", task, 3, schema::RunLapsed);
  cr_assert_eq(table.find("w")->task(task)->failures, 2);
  start(table, "w", task, 4);
  startCopy(table, "w", task, 5, 4);
  cr_assert_eq(table.find("w")->activeRuns, 1, "the last attempt gets no copy");
  end(table, "w", task, 4, schema::RunFailed);
  cr_assert_eq(table.find("w")->task(task)->failures, 3);
  cr_assert_eq(phaseOf(table, "w"), schema::WorkflowFailed);
  start(table, "w", task, 6);
  startCopy(table, "w", task, 6, 4);
  cr_assert_eq(table.find("w")->activeRuns, 0);
}

// A cancelled workflow has to stay open until both of its runs have ended, so that both are stopped.
Test(workflow_table, a_cancelled_workflow_stays_open_until_both_runs_have_ended) {
  WorkflowTable table;
  table.submit(makeSpeculativeWorkflow("w", 1), 10);
  start(table, "w", {0, 0, 0}, 1);
  startCopy(table, "w", {0, 0, 0}, 2, 1);
  table.cancel("w", 40);
  end(table, "w", {0, 0, 0}, 2, schema::RunStopped);
  cr_assert_eq(table.open().count("w"), 1);
  end(table, "w", {0, 0, 0}, 1, schema::RunStopped);
  cr_assert_eq(table.open().count("w"), 0);
  cr_assert_eq(phaseOf(table, "w"), schema::WorkflowCancelled);
}

// A new leader from a snapshot has to know both runs, and which of them is the copy.
Test(workflow_table, a_snapshot_preserves_two_active_runs) {
  const TaskKey task{0, 0, 0};
  WorkflowTable table;
  table.submit(makeSpeculativeWorkflow("w", 2), 10);
  start(table, "w", task, 1);
  startCopy(table, "w", task, 2, 1);
  schema::StateSnapshot snapshot;
  table.save(snapshot);
  WorkflowTable loaded;
  loaded.load(snapshot);
  cr_assert(snapshotOf(loaded) == snapshotOf(table));
  cr_assert_eq(loaded.find("w")->activeRuns, 2);
  cr_assert_eq(loaded.find("w")->waiting.begunTasks(0), 1, "one task is active or done");
  cr_assert_not(loaded.find("w")->task(task)->done, "and it is not done");
  cr_assert_eq(loaded.find("w")->task(task)->active[1].copy_of(), 1);
  for (WorkflowTable* each : {&table, &loaded}) end(*each, "w", task, 1, schema::RunDone);
  for (WorkflowTable* each : {&table, &loaded}) end(*each, "w", task, 2, schema::RunStopped);
  cr_assert(snapshotOf(loaded) == snapshotOf(table));
}

// The counts of active tasks must stay correct when one of two runs ends.
Test(workflow_table, waiting_steps_are_known_with_two_runs_of_a_task) {
  for (std::uint64_t seed = firstSeed(); seed < firstSeed() + seedCount(200); ++seed) {
    std::mt19937_64 random(seed);
    WorkflowTable table;
    const unsigned count = 1 + random() % 3;
    schema::Workflow spec = makeSpeculativeWorkflow("w", count);
    spec.set_max_attempts(6);
    table.submit(spec, 10);
    for (int action = 0; action < 60; ++action) {
      const TaskKey key{0, 0, static_cast<std::uint32_t>(random() % count)};
      const WorkflowState& workflow = *table.find("w");
      const TaskState* task = workflow.task(key);
      const std::uint32_t active = task == nullptr || task->active.empty() ? 0 : task->active.front().number();
      const auto kind = static_cast<schema::RunEndKind>(random() % schema::RunEndKind_ARRAYSIZE);
      const std::uint32_t run = 1 + random() % workflow.nextRun(key);
      if (random() % 3 == 0) start(table, "w", key, workflow.nextRun(key));
      if (random() % 3 == 0) startCopy(table, "w", key, workflow.nextRun(key), active);
      if (random() % 3 == 0) end(table, "w", key, run, kind);
      std::size_t runs = 0;
      for (const auto& [name, state] : workflow.tasks) {
        runs += state.active.size();
        cr_assert_leq(state.active.size(), 2);
        cr_assert_leq(state.failures, 6);
        if (state.active.size() == 2) cr_assert_neq(state.active[0].agent(), state.active[1].agent());
      }
      cr_assert_eq(workflow.activeRuns, runs);
      cr_assert_eq(workflow.hasWaitingTasks({0, 0}), hasWaitingTasksByScan(workflow, {0, 0}), "seed %llu, action %d",
                   static_cast<unsigned long long>(seed), action);
    }
  }
}

// ---- what a workflow needs of its queue

namespace {

schema::QueueConfiguration queueConfiguration(std::uint64_t version, std::uint32_t validityMs, bool removed = false) {
  schema::QueueConfiguration configuration;
  configuration.set_version(version);
  if (removed) return configuration;
  schema::Queue* queue = configuration.add_queues();
  queue->set_name("q");
  queue->set_host("h.example");
  queue->set_path_prefix("/q/");
  if (validityMs > 0) queue->mutable_advice()->set_validity_ms(validityMs);
  return configuration;
}

}  // namespace

// Guards against accepted workflows that lose what the configuration said of their queue when it is changed.
Test(workflow_table, a_workflow_keeps_the_newest_policy_that_its_queue_has_had) {
  WorkflowTable table;
  table.putConfiguration(queueConfiguration(1, 0));
  schema::Workflow workflow = makeWorkflow("w", 1);
  workflow.set_queue("q");
  table.submit(workflow, 10);
  const auto record = [&table]() -> const schema::Workflow& { return table.find("w")->record; };
  table.putConfiguration(queueConfiguration(2, 700));
  cr_assert_not(record().has_advice(), "that of the configuration in force is looked up");
  cr_assert_str_eq(record().queue_host().c_str(), "h.example", "as of an earlier version, which stored none");
  table.putConfiguration(queueConfiguration(3, 900));
  cr_assert_eq(record().advice().validity_ms(), 700);
  table.putConfiguration(queueConfiguration(4, 0, true));
  cr_assert_eq(record().advice().validity_ms(), 900);
  table.putConfiguration(queueConfiguration(5, 0));
  cr_assert_eq(record().advice().validity_ms(), 900);
  schema::StateSnapshot snapshot;
  table.save(snapshot);
  WorkflowTable loaded;
  loaded.load(snapshot);
  cr_assert_eq(loaded.find("w")->record.advice().validity_ms(), 900);
}

Test(workflow_table, a_refusal_for_want_of_a_ticket_is_kept_with_the_workflow) {
  WorkflowTable table;
  table.submit(makeWorkflow("w", 1), 10);
  start(table, "w", {0, 0, 0}, 1);
  table.consumeRunChanges();
  schema::RecordRuns runs;
  schema::RunEnd* end = runs.add_ends();
  *end->mutable_task() = makeTaskId("w", {0, 0, 0});
  end->set_run(1);
  end->set_kind(schema::RunVoided);
  end->set_wants_ticket(true);
  table.record(runs, 20);
  cr_assert(table.find("w")->record.wants_ticket());
  const std::vector<RunChange> changes = table.consumeRunChanges();
  cr_assert_eq(changes.size(), 1);
  cr_assert(changes[0].wantsTicket);
}
