// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of TargetHealth for targets on which runs stall or starts never begin. Lengths of closures are those of
// docs/design/hard-load.md: 0.4 s, doubling up to 12.8 s.

#include "Courseloom/src/Scheduling/TargetHealth.h"

#include "test/main.h"

using namespace courseloom;

namespace {

TargetHealthOptions withBackoff() {
  TargetHealthOptions options;
  options.voidBackoff = true;
  return options;
}

/** \class VoidingTarget
 * \brief The health of targets, and a clock.
 */
class VoidingTarget {
 public:
  explicit VoidingTarget(TargetHealthOptions options = withBackoff()) : health(options) {}

  /** Voids a start. \param start identifies the start; each call without it is another start
   * \returns the length of the closure that follows; 0 for none */
  Duration voidStart(const std::string& start = {}, const std::string& target = "t") {
    const std::string name = start.empty() ? "start" + std::to_string(++m_starts) : start;
    return health.voided({target, name, {"w", {0, 0}}}, now).value_or(Duration(0));
  }
  Duration voidStarts(int count) {
    Duration closure{};
    for (int i = 0; i < count; ++i) closure = voidStart();
    return closure;
  }
  bool closed() const { return health.closedByVoids("t", now); }

  TargetHealth health;
  Time now = Time(milliseconds(1000000));

 private:
  int m_starts = 0;
};

}  // namespace

// Guards against a target that voids every start and is chosen again at once each time.
Test(target_health, a_target_is_closed_after_three_voided_starts_in_a_row) {
  VoidingTarget test;
  cr_assert_eq(test.voidStarts(2), Duration(0));
  cr_assert_not(test.closed());
  cr_assert_eq(test.voidStart(), Duration(milliseconds(400)));
  cr_assert(test.closed());
  cr_assert_eq(test.health.targetsClosedByVoids(test.now), 1);
  test.now += milliseconds(400);
  cr_assert_not(test.closed());
}

// Guards against frequent retries without an end at a target that never starts anything.
Test(target_health, each_further_closure_is_twice_as_long_up_to_a_limit) {
  VoidingTarget test;
  Duration closure = test.voidStarts(3);
  for (const int expectedMs : {800, 1600, 3200, 6400, 12800, 12800}) {
    test.now += closure;
    closure = test.voidStart();
    cr_assert_eq(closure, Duration(milliseconds(expectedMs)), "expected a closure of %d ms", expectedMs);
  }
}

// Guards against a closure that grows because of starts that were ordered before it.
Test(target_health, voids_during_a_closure_do_not_prolong_it) {
  VoidingTarget test;
  test.voidStarts(3);
  test.now += milliseconds(200);
  cr_assert_eq(test.voidStarts(5), Duration(0));
  test.now += milliseconds(200);
  cr_assert_not(test.closed());
}

// Guards against many starts on a target right after its closure, and against a target that never again gets several
// starts at once.
Test(target_health, a_target_gets_one_start_at_a_time_after_a_closure_for_a_limited_time) {
  VoidingTarget test;
  test.voidStarts(3);
  cr_assert_not(test.health.onVoidProbation("t", test.now));
  test.now += milliseconds(400);
  cr_assert(test.health.onVoidProbation("t", test.now));
  test.now += TargetHealthOptions().longestProbation;
  cr_assert_not(test.health.onVoidProbation("t", test.now));
}

// Guards against a target that works again and remains closed or limited to one start.
Test(target_health, one_begun_run_restores_a_target) {
  VoidingTarget test;
  test.voidStarts(3);
  cr_assert(test.health.began("t"), "the closure ended by this run was not reported");
  cr_assert_not(test.closed());
  cr_assert_not(test.health.onVoidProbation("t", test.now + milliseconds(400)));
  cr_assert_not(test.health.began("t"));
  cr_assert_eq(test.voidStarts(2), Duration(0), "counting begins anew");
  cr_assert_eq(test.voidStart(), Duration(milliseconds(400)), "the length of the closure begins anew");
}

// Guards against a closure of a target that starts most of its runs.
Test(target_health, voids_with_a_begun_run_in_between_are_not_in_a_row) {
  VoidingTarget test;
  for (int i = 0; i < 5; ++i) {
    cr_assert_eq(test.voidStarts(2), Duration(0));
    cr_assert_not(test.health.began("t"), "the target was not closed");
  }
  cr_assert_not(test.closed());
}

// Guards against a gang with three members on one target that closes it by one failed start.
Test(target_health, the_members_of_one_gang_count_once) {
  VoidingTarget test;
  for (int member = 0; member < 8; ++member) cr_assert_eq(test.voidStart("gang/1"), Duration(0));
  test.voidStart("gang/2");
  cr_assert_gt(test.voidStart("gang/3"), Duration(0));
  test.now += milliseconds(400);
  cr_assert_eq(test.voidStart("gang/3"), Duration(0), "the gang that closed the target closed it again");
  cr_assert_gt(test.voidStart("gang/4"), Duration(0));
}

// Guards against a service without any open target: if many targets void starts at once, the cause lies elsewhere.
Test(target_health, a_mass_of_targets_that_void_at_once_is_recognised) {
  VoidingTarget test;
  const std::vector<std::string> targets{"t0", "t1", "t2", "t3"};
  for (const std::string& target : targets) {
    cr_assert_eq(test.health.tooManySuspect(targets, test.now), test.health.targetsClosedByVoids(test.now) > 2);
    for (int i = 0; i < 3; ++i) test.voidStart({}, target);
  }
  cr_assert(test.health.tooManySuspect(targets, test.now));
}

// A new leader clears the health: it has not seen what the former one counted.
Test(target_health, after_a_change_of_leader_counting_begins_anew) {
  VoidingTarget test;
  test.voidStarts(3);
  test.health.clear();
  cr_assert_not(test.closed());
  cr_assert_not(test.health.onVoidProbation("t", test.now + milliseconds(400)));
  cr_assert_eq(test.voidStarts(2), Duration(0));
  cr_assert_eq(test.voidStart(), Duration(milliseconds(400)));
}

// Guards against a change of behaviour with the setting off.
Test(target_health, without_the_switch_voids_close_no_target) {
  VoidingTarget test{TargetHealthOptions()};
  cr_assert_eq(test.voidStarts(100), Duration(0));
  cr_assert_not(test.closed());
  cr_assert_not(test.health.countsVoids("t"));
}

// Guards against records that outlive their workflow.
Test(target_health, a_step_knows_for_a_limited_time_on_which_targets_its_starts_were_voided) {
  VoidingTarget test;
  test.voidStart();
  cr_assert((test.health.voidedOn({"w", {0, 0}}, test.now) == std::set<std::string>{"t"}));
  cr_assert(test.health.voidedOn({"w", {0, 1}}, test.now).empty());
  cr_assert(test.health.voidedOn({"w", {0, 0}}, test.now + TargetHealthOptions().voidAvoidance).empty());
  test.health.forget("w");
  cr_assert(test.health.voidedOn({"w", {0, 0}}, test.now).empty());
}

// Guards against healthy targets that stay empty while work waits: a target that hung for a moment with five runs was
// avoided for 32 s, since each of them doubled the suspicion.
Test(target_health, runs_that_stall_together_make_a_target_suspect_once) {
  TargetHealth health;
  Time now = Time(milliseconds(1000000));
  for (int run = 0; run < 5; ++run) health.stalled("t", now);
  health.stalled("t", now + milliseconds(2000));
  cr_assert(health.suspect("t", now + milliseconds(3999)));
  cr_assert_not(health.suspect("t", now + milliseconds(4000)), "runs that stalled together count repeatedly");
  cr_assert(health.onProbation("t", now + milliseconds(4000)));
}

Test(target_health, a_stall_after_a_suspicion_doubles_the_next_one) {
  TargetHealth health;
  Time now = Time(milliseconds(1000000));
  health.stalled("t", now);
  now += milliseconds(5000);
  health.stalled("t", now);
  cr_assert(health.suspect("t", now + milliseconds(7999)));
  cr_assert_not(health.suspect("t", now + milliseconds(8000)));
}
