// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// What a workflow knows of its waiting steps and tasks, compared with an examination of all of them.

#include "Courseloom/src/State/WaitingSteps.h"

#include <map>
#include <random>

#include "Courseloom/src/State/WorkflowTable.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

constexpr std::size_t NoLimit = 1000000;

schema::WorkflowSpec specOf(unsigned steps, unsigned count, unsigned occurrences) {
  schema::WorkflowSpec spec;
  spec.set_occurrences(occurrences);
  for (unsigned i = 0; i < steps; ++i) spec.add_steps()->set_count(count);
  return spec;
}

std::vector<StepKey> selectAll(const WaitingSteps& waiting, std::uint32_t due) {
  std::uint32_t turn = 0;
  return waiting.select(due, NoLimit, turn);
}

/** \returns the ready steps with waiting tasks of due occurrences, found by examining each task of each step. */
std::vector<StepKey> selectByScan(const WorkflowState& workflow, std::uint32_t due) {
  std::vector<StepKey> found;
  for (std::uint32_t occurrence = 0; occurrence < due; ++occurrence) {
    for (std::uint32_t step = 0; step < static_cast<std::uint32_t>(workflow.record.spec().steps_size()); ++step) {
      const StepKey key{occurrence, step};
      bool waits = false;
      for (std::uint32_t i = 0; i < workflow.step(step).count(); ++i) {
        const TaskState* task = workflow.task({occurrence, step, i});
        waits |= task == nullptr || (!task->done && task->active.empty());
      }
      if (waits && workflow.stepReady(key)) found.push_back(key);
    }
  }
  return found;
}

std::vector<std::uint32_t> tasksByScan(const WorkflowState& workflow, const StepKey& key) {
  std::vector<std::uint32_t> found;
  for (std::uint32_t i = 0; i < workflow.step(key.step).count(); ++i) {
    const TaskState* task = workflow.task({key.occurrence, key.step, i});
    if (task == nullptr || (!task->done && task->active.empty())) found.push_back(i);
  }
  return found;
}

/** Starts or ends a run of a random task of the workflow "w". */
void act(WorkflowTable& table, std::mt19937_64& random) {
  const WorkflowState& workflow = *table.find("w");
  const auto steps = static_cast<std::uint32_t>(workflow.record.spec().steps_size());
  const auto step = static_cast<std::uint32_t>(random() % steps);
  const TaskKey key{static_cast<std::uint32_t>(random() % workflow.occurrences()), step,
                    static_cast<std::uint32_t>(random() % workflow.step(step).count())};
  schema::RecordRuns runs;
  const TaskState* task = workflow.task(key);
  if (task != nullptr && !task->active.empty()) {
    schema::RunEnd* end = runs.add_ends();
    *end->mutable_task() = makeTaskId("w", key);
    end->set_run(task->active.front().number());
    end->set_kind(random() % 3 == 0 ? schema::RunStopped : schema::RunDone);
  } else if (workflow.stepReady(key.stepKey())) {
    schema::RunStart* start = runs.add_starts();
    *start->mutable_task() = makeTaskId("w", key);
    start->mutable_run()->set_number(workflow.nextRun(key));
  }
  table.record(runs, 20);
}

}  // namespace

// Guards against a pass over all steps of all due occurrences: its time grew with what a client had submitted.
Test(waiting_steps, changes_keep_what_an_examination_of_all_tasks_finds) {
  for (std::uint64_t seed = firstSeed(); seed < firstSeed() + seedCount(200); ++seed) {
    std::mt19937_64 random(seed);
    schema::Workflow workflow;
    workflow.set_id("w");
    workflow.set_max_attempts(1000);
    *workflow.mutable_spec() = specOf(1 + random() % 5, 1, random() % 4);
    workflow.mutable_spec()->set_interval_ms(1);
    for (int i = 0; i < workflow.spec().steps_size(); ++i) {
      schema::StepSpec& step = *workflow.mutable_spec()->mutable_steps(i);
      step.set_count(1 + random() % 4);
      step.set_gang(random() % 4 == 0);
      for (int earlier = 0; earlier < i; ++earlier) {
        if (random() % 3 == 0) step.add_after(static_cast<std::uint32_t>(earlier));
      }
      if (step.after_size() > 0 && random() % 2 == 0) step.add_after(step.after(0));
    }
    WorkflowTable table;
    table.submit(workflow, 10);
    for (int action = 0; action < 80; ++action) {
      act(table, random);
      if (random() % 16 == 0) {
        schema::StateSnapshot snapshot;
        table.save(snapshot);
        table = WorkflowTable();
        table.load(snapshot);
      }
      const WorkflowState& state = *table.find("w");
      if (state.ended()) break;
      const auto due = static_cast<std::uint32_t>(random() % (state.occurrences() + 1));
      const std::vector<StepKey> expected = selectByScan(state, due);
      cr_assert(selectAll(state.waiting, due) == expected, "seed %llu, action %d", (unsigned long long)seed, action);
      cr_assert_eq(state.waiting.count(due, NoLimit), expected.size());
      for (const StepKey& key : expected) {
        cr_assert(state.waiting.contains(key));
        cr_assert(state.waiting.tasksOf(key, NoLimit) == tasksByScan(state, key));
        cr_assert_eq(state.waiting.waitingTasks(key), tasksByScan(state, key).size());
      }
    }
  }
}

Test(waiting_steps, each_step_has_a_share_and_the_steps_take_turns) {
  const WaitingSteps occurrences(specOf(2, 1, 100));
  std::uint32_t turn = 0;
  const std::vector<StepKey> shares = occurrences.select(100, 4, turn);
  cr_assert(shares == (std::vector<StepKey>{{0, 0}, {0, 1}, {1, 0}, {1, 1}}));
  cr_assert_eq(turn, 0);
  const WaitingSteps steps(specOf(5, 1, 1));
  cr_assert(steps.select(1, 2, turn) == (std::vector<StepKey>{{0, 0}, {0, 1}}));
  cr_assert(steps.select(1, 2, turn) == (std::vector<StepKey>{{0, 2}, {0, 3}}));
  cr_assert(steps.select(1, 2, turn) == (std::vector<StepKey>{{0, 0}, {0, 4}}), "it goes on with the first");
}

// Guards against a gang that is started in part: its limit was determined while some members were active, and the pass
// yielded before its tasks were listed.
Test(waiting_steps, a_limit_does_not_divide_a_gang) {
  schema::WorkflowSpec spec = specOf(2, 8, 1);
  spec.mutable_steps(0)->set_gang(true);
  WaitingSteps waiting(spec);
  cr_assert_eq(waiting.tasksOf({0, 0}, 3).size(), 8);
  cr_assert_eq(waiting.tasksOf({0, 1}, 3).size(), 3);
}

Test(waiting_steps, occurrences_that_are_not_due_do_not_count) {
  const WaitingSteps waiting(specOf(3, 2, 100000));
  cr_assert(waiting.any());
  cr_assert(selectAll(waiting, 0).empty());
  cr_assert_eq(selectAll(waiting, 2).size(), 6);
  cr_assert_eq(waiting.count(100000, 7), 7);
}

// Guards against memory and time that grow with occurrences and tasks that were never started.
Test(waiting_steps, only_what_was_started_takes_memory) {
  IndexSet set = IndexSet::full(100000);
  for (std::uint32_t i = 0; i < 50000; ++i) cr_assert(set.erase(i));
  cr_assert_eq(set.next(0), 50000);
  cr_assert_eq(set.size(), 50000);
  cr_assert(set.insert(49999));
  cr_assert_not(set.insert(49999));
  cr_assert_eq(set.next(0), 49999);
  cr_assert(set.erase(60000));
  cr_assert_not(set.contains(60000));
  cr_assert_eq(set.next(60000), 60001);
  cr_assert_eq(set.size(), 50000);
}
