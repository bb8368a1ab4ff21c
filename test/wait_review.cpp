// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/WaitReview.h"

#include "test/main.h"

using namespace courseloom;

namespace {

/** A step of two tasks of 2 accelerators each, and one target of the step's service with 4. */
struct WaitFixture {
  explicit WaitFixture(bool gang = false) {
    schema::Workflow workflow;
    workflow.set_id("w");
    workflow.set_service("s");
    schema::StepSpec* spec = workflow.mutable_spec()->add_steps();
    spec->set_count(2);
    spec->set_gang(gang);
    spec->mutable_need()->set_accelerators(2);
    table.submit(workflow, 1);
    step.workflow = table.find("w");
    step.tasks = {0, 1};
    targets.emplace_back();
    targets[0].service = "s";
    targets[0].open = true;
    targets[0].capacity.accelerators = 4;
  }
  void occupy(std::int64_t accelerators) {
    PlannedRun& run = runs.emplace_back();
    run.need.accelerators = accelerators;
  }
  WaitGate gate() const { return WaitGates(targets, runs).find(step); }

  WorkflowTable table;
  PlannedStep step;
  std::vector<PlannedTarget> targets;
  std::vector<PlannedRun> runs;
};

}  // namespace

Test(wait_review, room_that_a_step_does_not_get_is_kept_from_it) {
  WaitFixture test;
  test.occupy(2);
  cr_assert_eq(test.gate(), WaitGate::RoomKept);
  test.occupy(1);
  cr_assert_eq(test.gate(), WaitGate::NoRoom);
}

Test(wait_review, a_gang_needs_room_for_all_members) {
  WaitFixture test(true);
  cr_assert_eq(test.gate(), WaitGate::RoomKept);
  test.occupy(2);
  cr_assert_eq(test.gate(), WaitGate::NoRoom);
}

Test(wait_review, closed_targets_and_those_of_other_services_do_not_count) {
  WaitFixture test;
  test.targets[0].open = false;
  cr_assert_eq(test.gate(), WaitGate::NoTarget);
  test.targets[0].open = true;
  test.targets[0].service = "other";
  cr_assert_eq(test.gate(), WaitGate::NoTarget);
}

Test(wait_review, a_step_is_reported_after_a_while_and_not_at_each_review) {
  WaitReview review;
  const WaitReview::StepName step{"w", StepKey{0, 0}};
  Time now = BootClock::now();
  cr_assert(review.update({step}, now).empty());
  now += WaitReview::ReportAfter;
  cr_assert_eq(review.update({step}, now).size(), 1);
  now += milliseconds(1000);
  cr_assert(review.update({step}, now).empty());
  now += WaitReview::ReportInterval;
  cr_assert_eq(review.update({step}, now).size(), 1);
}

Test(wait_review, a_start_or_an_end_of_the_wait_begins_it_anew) {
  WaitReview review;
  const WaitReview::StepName step{"w", StepKey{0, 0}};
  Time now = BootClock::now();
  review.update({step}, now);
  now += WaitReview::ReportAfter - milliseconds(1);
  review.recordStart(step, now);
  now += milliseconds(1000);
  cr_assert(review.update({step}, now).empty());
  cr_assert_eq(review.waited(step, now), milliseconds(1000));
  review.update({}, now);
  now += WaitReview::ReportAfter;
  cr_assert(review.update({step}, now).empty());
}
