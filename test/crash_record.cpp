// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Which crashes of targets speak against a task, and when it is started no more.

#include "Courseloom/src/State/WorkflowTable.h"

#include "test/main.h"

using namespace courseloom;

namespace {

schema::Workflow makeWorkflow(unsigned count, bool gang = false, bool lasting = false) {
  schema::Workflow workflow;
  workflow.set_id("w");
  workflow.set_max_attempts(2);
  schema::StepSpec* step = workflow.mutable_spec()->add_steps();
  step->set_count(count);
  step->set_gang(gang);
  step->set_long_running(lasting);
  return workflow;
}

/** \class Runs
 * \brief Starts and ends of one workflow, each start on a target of its own.
 */
class Runs {
 public:
  explicit Runs(const schema::Workflow& workflow) { table.submit(workflow, 10); }

  void start(std::uint32_t index = 0) {
    schema::RecordRuns runs;
    schema::RunStart* row = runs.add_starts();
    *row->mutable_task() = makeTaskId("w", {0, 0, index});
    row->mutable_run()->set_number(workflow().nextRun({0, 0, index}));
    row->mutable_run()->set_target("t" + std::to_string(++m_targets));
    table.record(runs, 20);
  }
  void end(schema::RunEndKind kind, schema::CrashKind crash = schema::NoCrash, bool lived = false,
           std::uint32_t index = 0) {
    const TaskState& task = *workflow().task({0, 0, index});
    schema::RecordRuns runs;
    schema::RunEnd* row = runs.add_ends();
    *row->mutable_task() = makeTaskId("w", {0, 0, index});
    row->set_run(task.lastRun);
    row->set_kind(kind);
    row->set_crash(crash);
    row->set_lived(lived);
    table.record(runs, 30);
  }
  void crash(schema::CrashKind kind, std::uint32_t index = 0) {
    start(index);
    end(schema::RunTargetLost, kind, false, index);
  }
  const WorkflowState& workflow() const { return *table.find("w"); }
  bool givenUp() const { return workflow().record.phase() == schema::WorkflowFailed; }

  WorkflowTable table;

 private:
  unsigned m_targets = 0;
};

}  // namespace

Test(crash_record, three_crashes_right_after_a_start_with_nothing_else_started_convict) {
  Runs runs(makeWorkflow(1));
  runs.crash(schema::CrashAmongStarts);
  runs.crash(schema::CrashAtStart);
  cr_assert_not(runs.givenUp());
  runs.crash(schema::CrashAtStart);
  cr_assert(runs.givenUp());
  const std::string reason = runs.workflow().record.reason();
  cr_assert(reason.find("t1 (run 1, CrashAmongStarts)") != std::string::npos, "%s", reason.c_str());
}

Test(crash_record, crashes_of_any_kind_leave_a_task_two_more_starts) {
  for (const schema::CrashKind kind : {schema::CrashUnclear, schema::CrashAmongStarts}) {
    Runs runs(makeWorkflow(1));
    for (int i = 0; i < 4; ++i) runs.crash(kind);
    cr_assert_not(runs.givenUp());
    runs.crash(kind);
    cr_assert(runs.givenUp());
  }
}

Test(crash_record, starts_after_the_third_crash_count_however_they_end) {
  Runs runs(makeWorkflow(1));
  for (int i = 0; i < 3; ++i) runs.crash(schema::CrashUnclear);
  runs.start();
  runs.end(schema::RunStopped);
  runs.start();
  runs.end(schema::RunVoided);
  cr_assert_not(runs.givenUp(), "what never began is no start");
  runs.start();
  runs.end(schema::RunLapsed);
  cr_assert(runs.givenUp());
}

Test(crash_record, a_run_that_lives_clears_its_task) {
  Runs runs(makeWorkflow(1));
  for (int i = 0; i < 3; ++i) runs.crash(schema::CrashUnclear);
  runs.start();
  runs.end(schema::RunTargetLost, schema::CrashUnclear, true);
  cr_assert_eq(runs.workflow().suspectTasks, 0);
  for (int i = 0; i < 4; ++i) runs.crash(schema::CrashUnclear);
  cr_assert_not(runs.givenUp());
  runs.start();
  runs.end(schema::RunDone);
  cr_assert_eq(runs.workflow().record.phase(), schema::WorkflowCompleted);
}

Test(crash_record, targets_that_leave_or_fall_silent_accuse_no_task) {
  Runs runs(makeWorkflow(1));
  for (int i = 0; i < 20; ++i) {
    runs.start();
    runs.end(i % 2 == 0 ? schema::RunTargetLost : schema::RunLapsed);
  }
  cr_assert_not(runs.givenUp());
  cr_assert_eq(runs.workflow().suspectTasks, 0);
}

Test(crash_record, a_lasting_task_is_bounded_too) {
  Runs runs(makeWorkflow(1, false, true));
  for (int i = 0; i < 3; ++i) runs.crash(schema::CrashAtStart);
  cr_assert(runs.givenUp());
}

Test(crash_record, each_member_of_a_gang_answers_for_itself) {
  Runs runs(makeWorkflow(3, true));
  for (std::uint32_t crashes = 0; crashes < 3; ++crashes) {
    for (std::uint32_t index = 0; index < 3; ++index) runs.start(index);
    for (std::uint32_t index = 0; index < 3; ++index) {
      const bool lost = index == crashes;
      runs.end(lost ? schema::RunTargetLost : schema::RunBroken, lost ? schema::CrashAtStart : schema::NoCrash, false,
               index);
    }
  }
  cr_assert_not(runs.givenUp(), "three members with one crash each");
  for (int i = 0; i < 2; ++i) runs.crash(schema::CrashAtStart, 1);
  cr_assert(runs.givenUp());
}

Test(crash_record, a_snapshot_keeps_crashes_and_starts_since) {
  Runs before(makeWorkflow(1));
  for (int i = 0; i < 4; ++i) before.crash(schema::CrashUnclear);
  schema::StateSnapshot snapshot;
  before.table.save(snapshot);
  Runs after(makeWorkflow(1));
  after.table = WorkflowTable();
  after.table.load(snapshot);
  cr_assert_eq(after.workflow().suspectTasks, 1);
  cr_assert(after.workflow().onTrial({0, 0, 0}));
  after.crash(schema::CrashUnclear);
  cr_assert(after.givenUp(), "one start was left");
}

Test(crash_record, an_end_that_is_told_twice_counts_once) {
  Runs runs(makeWorkflow(1));
  for (int i = 0; i < 2; ++i) {
    runs.crash(schema::CrashAtStart);
    runs.end(schema::RunTargetLost, schema::CrashAtStart);
  }
  cr_assert_not(runs.givenUp());
}

Test(crash_record, tasks_are_on_trial_alone_or_with_others_of_their_workflow) {
  Runs runs(makeWorkflow(2));
  runs.crash(schema::CrashAmongStarts, 0);
  cr_assert_not(runs.workflow().onTrial({0, 0, 0}), "others may have crashed the target");
  runs.crash(schema::CrashAmongStarts, 1);
  cr_assert(runs.workflow().onTrial({0, 0, 0}), "a second target crashed under its workflow");
}
