// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of CrashRecord: which crashes of targets make a task suspect, and when the task is given up.

#include "Courseloom/src/State/WorkflowTable.h"

#include "test/main.h"

using namespace courseloom;

namespace {

schema::Workflow makeWorkflow(unsigned count, bool gang = false, bool longRunning = false) {
  schema::Workflow workflow;
  workflow.set_id("w");
  workflow.set_max_attempts(2);
  schema::StepSpec* step = workflow.mutable_spec()->add_steps();
  step->set_count(count);
  step->set_gang(gang);
  step->set_long_running(longRunning);
  return workflow;
}

/** \class RecordedRuns
 * \brief Records starts and ends of the runs of one workflow. Each start is on another target.
 */
class RecordedRuns {
 public:
  explicit RecordedRuns(const schema::Workflow& workflow) { table.submit(workflow, 10); }

  void start(std::uint32_t index = 0) {
    schema::RecordRuns runs;
    schema::RunStart* row = runs.add_starts();
    *row->mutable_task() = makeTaskId("w", {0, 0, index});
    row->mutable_run()->set_number(workflow().nextRun({0, 0, index}));
    row->mutable_run()->set_target("t" + std::to_string(++m_targets));
    table.record(runs, 20);
  }
  void end(schema::RunEndKind kind, schema::CrashKind crash = schema::NoCrash, bool survivedStart = false,
           std::uint32_t index = 0) {
    const TaskState& task = *workflow().task({0, 0, index});
    schema::RecordRuns runs;
    schema::RunEnd* row = runs.add_ends();
    *row->mutable_task() = makeTaskId("w", {0, 0, index});
    row->set_run(task.lastRun);
    row->set_kind(kind);
    row->set_crash(crash);
    row->set_lived(survivedStart);
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

Test(crash_record, a_task_is_given_up_after_three_crashes_at_its_start_of_which_two_are_isolated) {
  RecordedRuns runs(makeWorkflow(1));
  runs.crash(schema::CrashAmongStarts);
  runs.crash(schema::CrashAtStart);
  cr_assert_not(runs.givenUp());
  runs.crash(schema::CrashAtStart);
  cr_assert(runs.givenUp());
  const std::string reason = runs.workflow().record.reason();
  cr_assert(reason.find("t1 (run 1, CrashAmongStarts)") != std::string::npos, "%s", reason.c_str());
}

Test(crash_record, after_three_crashes_of_any_kind_a_task_has_two_more_starts) {
  for (const schema::CrashKind kind : {schema::CrashUnclear, schema::CrashAmongStarts}) {
    RecordedRuns runs(makeWorkflow(1));
    for (int i = 0; i < 4; ++i) runs.crash(kind);
    cr_assert_not(runs.givenUp());
    runs.crash(kind);
    cr_assert(runs.givenUp());
  }
}

Test(crash_record, starts_after_the_third_crash_count_whatever_their_end) {
  RecordedRuns runs(makeWorkflow(1));
  for (int i = 0; i < 3; ++i) runs.crash(schema::CrashUnclear);
  runs.start();
  runs.end(schema::RunStopped);
  runs.start();
  runs.end(schema::RunVoided);
  cr_assert_not(runs.givenUp(), "a voided run does not count as a start");
  runs.start();
  runs.end(schema::RunLapsed);
  cr_assert(runs.givenUp());
}

Test(crash_record, a_run_that_survives_its_start_clears_the_record_of_its_task) {
  RecordedRuns runs(makeWorkflow(1));
  for (int i = 0; i < 3; ++i) runs.crash(schema::CrashUnclear);
  runs.start();
  runs.end(schema::RunTargetLost, schema::CrashUnclear, true);
  cr_assert_eq(runs.workflow().suspectTasks.size(), 0);
  for (int i = 0; i < 4; ++i) runs.crash(schema::CrashUnclear);
  cr_assert_not(runs.givenUp());
  runs.start();
  runs.end(schema::RunDone);
  cr_assert_eq(runs.workflow().record.phase(), schema::WorkflowCompleted);
}

Test(crash_record, targets_that_leave_or_become_unreachable_make_no_task_suspect) {
  RecordedRuns runs(makeWorkflow(1));
  for (int i = 0; i < 20; ++i) {
    runs.start();
    runs.end(i % 2 == 0 ? schema::RunTargetLost : schema::RunLapsed);
  }
  cr_assert_not(runs.givenUp());
  cr_assert_eq(runs.workflow().suspectTasks.size(), 0);
}

Test(crash_record, a_long_running_task_is_given_up_too) {
  RecordedRuns runs(makeWorkflow(1, false, true));
  for (int i = 0; i < 3; ++i) runs.crash(schema::CrashAtStart);
  cr_assert(runs.givenUp());
}

Test(crash_record, crashes_are_counted_for_each_member_of_a_gang_separately) {
  RecordedRuns runs(makeWorkflow(3, true));
  for (std::uint32_t crashingIndex = 0; crashingIndex < 3; ++crashingIndex) {
    for (std::uint32_t index = 0; index < 3; ++index) runs.start(index);
    for (std::uint32_t index = 0; index < 3; ++index) {
      const bool lost = index == crashingIndex;
      runs.end(lost ? schema::RunTargetLost : schema::RunBroken, lost ? schema::CrashAtStart : schema::NoCrash, false,
               index);
    }
  }
  cr_assert_not(runs.givenUp(), "three members with one crash each");
  for (int i = 0; i < 2; ++i) runs.crash(schema::CrashAtStart, 1);
  cr_assert(runs.givenUp());
}

Test(crash_record, a_snapshot_preserves_crashes_and_later_starts) {
  RecordedRuns before(makeWorkflow(1));
  for (int i = 0; i < 4; ++i) before.crash(schema::CrashUnclear);
  schema::StateSnapshot snapshot;
  before.table.save(snapshot);
  RecordedRuns after(makeWorkflow(1));
  after.table = WorkflowTable();
  after.table.load(snapshot);
  cr_assert_eq(after.workflow().suspectTasks.size(), 1);
  cr_assert(after.workflow().onTrial({0, 0, 0}));
  after.crash(schema::CrashUnclear);
  cr_assert(after.givenUp(), "only one start was left");
}

Test(crash_record, an_end_that_is_recorded_twice_counts_once) {
  RecordedRuns runs(makeWorkflow(1));
  for (int i = 0; i < 2; ++i) {
    runs.crash(schema::CrashAtStart);
    runs.end(schema::RunTargetLost, schema::CrashAtStart);
  }
  cr_assert_not(runs.givenUp());
}

Test(crash_record, a_task_is_on_trial_after_a_second_crash_under_its_workflow) {
  RecordedRuns runs(makeWorkflow(2));
  runs.crash(schema::CrashAmongStarts, 0);
  cr_assert_not(runs.workflow().onTrial({0, 0, 0}), "another run may have crashed the target");
  runs.crash(schema::CrashAmongStarts, 1);
  cr_assert(runs.workflow().onTrial({0, 0, 0}), "a second target crashed under its workflow");
}
