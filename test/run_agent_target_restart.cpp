// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Restarts of a target under the same identity. An incarnation of a target is its identity together with its start
// time.
//
// These tests guard against an agent that takes the new incarnation of a restarted target for the former one, and keeps
// what it knew of that: the number of acknowledged ends, the number of the newest heartbeat, the clock and the runs.
// The next poll then let the new incarnation discard as many ends, so that its first ends were lost before they were
// read: a task that must run once was done, the leader did not learn of it, and when the agent terminated with its
// machine the task was started again elsewhere. The runs of the former incarnation were never reported as over, so that
// neither those tasks nor their gangs were placed again. The events of such a case:
//
//     5.1517 TargetLost     target=i-6d156750ae
//     5.7567 TargetRegained target=i-6d156750ae, without a TargetRegistered in between
//     6.4042 RunStarted     run=1
//    14.902  the target ends run 1, done, and receives an acknowledgement of the end
//    41.4974 RunExpired     run=1, at the leader
//    41.7295 RunStarted     run=2, on another target
//
// The agent runs between a leader with a real table and ledger, and a target that speaks the platform's protocol.

#include "test/RestartFixture.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

Test(run_agent_target_restart, runs_of_a_former_incarnation_are_started_again) {
  RestartFixture fixture;
  fixture.leader.submit("a", "600", 3);
  cr_assert(fixture.waitFor([&] { return fixture.starts("a.0.0.2") == 1; }));
  fixture.callTarget("/crash?same=1");
  cr_assert(fixture.waitForDone("a"), "the leader still counts the runs that the crash ended as running");
  cr_assert_eq(fixture.starts("a.0.0.2"), 2);
}

Test(run_agent_target_restart, ends_of_a_new_incarnation_are_reported_although_their_numbers_were_acknowledged_before) {
  RestartFixture fixture;
  fixture.leader.submit("a", "30", 4);
  cr_assert(fixture.waitForDone("a"));
  fixture.run(300);
  fixture.callTarget("/crash?same=1");
  fixture.run(600);
  fixture.leader.submit("b", "30", 2);
  cr_assert(fixture.waitForDone("b"), "the target discarded ends that were not read");
  cr_assert_eq(fixture.starts("b.0.0.0"), 1);
}

Test(run_agent_target_restart, a_run_whose_end_was_not_reported_before_the_crash_is_started_again) {
  RestartFixture fixture;
  fixture.leader.submit("a", "30", 4);
  cr_assert(fixture.waitForDone("a"));
  fixture.leader.submit("b", "100");
  cr_assert(fixture.waitFor([&] { return fixture.starts("b.0.0.0") == 1; }));
  fixture.callTarget("/mute?ms=300");  // polls get no list of ends
  fixture.run(200);
  fixture.callTarget("/crash?same=1");
  cr_assert(fixture.waitForDone("b"),
            "the end was never reported and its incarnation is over, but the run was not started again");
}

Test(run_agent_target_restart, heartbeats_of_a_new_incarnation_are_accepted_although_their_numbers_are_lower) {
  RestartFixture fixture;
  fixture.run(1500);
  fixture.callTarget("/crash?same=1");
  fixture.run(200);
  fixture.callTarget("/drain");
  cr_assert(fixture.waitFor([&] { return fixture.leader.draining; }), "the target is draining but would get new runs");
  cr_assert_eq(fixture.leader.incarnations.size(), 2);
}

Test(run_agent_target_restart, late_heartbeats_of_a_former_incarnation_change_nothing) {
  RestartFixture fixture;
  fixture.run(500);
  fixture.callTarget("/crash?same=1&late=250&times=4");
  fixture.run(300);
  fixture.leader.submit("a", "200", 2);
  cr_assert(fixture.waitForDone("a"));
  fixture.callTarget("/former?times=4");
  fixture.leader.submit("b", "200", 2);
  cr_assert(fixture.waitForDone("b"));
  cr_assert_eq(fixture.leader.incarnations.size(), 2, "%zu incarnations were reported",
               fixture.leader.incarnations.size());
  cr_assert_eq(fixture.starts("a.0.0.1") + fixture.starts("b.0.0.1"), 2);
}

Test(run_agent_target_restart, a_late_deregistration_of_a_former_incarnation_does_not_close_the_present_one) {
  RestartFixture fixture;
  const std::string startTime = fixture.leader.incarnations[0].substr(fixture.leader.incarnations[0].find('@') + 1);
  fixture.callTarget("/crash?same=1");
  cr_assert(fixture.waitFor([&] { return fixture.leader.incarnations.size() == 2; }));
  const std::string path = "/-/Instances.Deregister/" + fixture.identity();
  cr_assert_eq(fixture.sendToAgent(path, R"({"born":)" + startTime + "}"), 200);
  cr_assert_eq(fixture.sendToAgent(path, ""), 200);
  cr_assert_eq(fixture.sendToAgent(path, R"({"born":"then"})"), 400);
  fixture.leader.submit("a", "30");
  cr_assert(fixture.waitForDone("a"), "the present incarnation gets no starts");
}

Test(run_agent_target_restart, two_restarts_of_a_target_within_a_second_lose_no_ends) {
  RestartFixture fixture;
  fixture.leader.submit("a", "30", 4);
  cr_assert(fixture.waitForDone("a"));
  fixture.leader.submit("b", "500", 2);
  cr_assert(fixture.waitFor([&] { return fixture.starts("b.0.0.1") == 1; }));
  fixture.callTarget("/crash?same=1");
  fixture.run(300);
  fixture.callTarget("/crash?same=1&late=100&times=2");
  cr_assert(fixture.waitForDone("b"));
  fixture.leader.submit("c", "30", 4);
  cr_assert(fixture.waitForDone("c"), "ends of the third incarnation were not reported");
  cr_assert_eq(fixture.starts("c.0.0.3"), 1);
}

Test(run_agent_target_restart, a_change_of_leader_at_the_crash_leaves_no_run_behind) {
  RestartFixture fixture;
  fixture.leader.submit("a", "30", 4);
  cr_assert(fixture.waitForDone("a"));
  fixture.leader.submit("b", "400", 2);
  cr_assert(fixture.waitFor([&] { return fixture.starts("b.0.0.1") == 1; }));
  fixture.callTarget("/crash?same=1");
  fixture.leader.replaceLeader();
  cr_assert(fixture.waitForDone("b"), "the new leader counts the runs that the crash ended as running");
  fixture.leader.submit("c", "30", 4);
  cr_assert(fixture.waitForDone("c"));
  cr_assert_eq(fixture.starts("c.0.0.3"), 1);
}

// The order gets no answer and its run is stopped. After the crash the delayed order reaches an incarnation that knows
// nothing of the stop, and whose clock is before the order's deadline. It was polled under a newer token by then.
Test(run_agent_target_restart, an_order_to_a_former_incarnation_starts_nothing_in_the_next) {
  RestartFixture fixture;
  fixture.submitWithDelayedStart("30", 150, 1500);
  fixture.run(500);
  fixture.callTarget("/crash?same=1");
  fixture.run(2000);
  cr_assert_eq(fixture.countOf("cameLate"), 1);
  cr_assert_eq(fixture.starts("a.0.0.0"), 0, "the next incarnation carried out the order");
  fixture.run(2500);
  cr_assert(fixture.waitForDone("a"));
  fixture.run(300);
  cr_assert_eq(fixture.starts("a.0.0.0"), 1, "the task was started again after its end was acknowledged");
}

// Guards against two concurrent runs of a task. A start order that is sent just after a restart reaches the new
// incarnation, which has not announced itself yet and carries out the start late. By the clock of the former
// incarnation the hold has ended, and the leader places the next run once the run is reported as lapsed. By the clock
// of the new one the order is not late, and without a newer token the first run would begin beside the next one.
Test(run_agent_target_restart, a_run_lapses_only_when_the_next_incarnation_cannot_start_it_any_more) {
  RestartFixture fixture;
  fixture.run(4500);  // a new agent assumes that holds of its former incarnation last up to 6 s
  fixture.callTarget("/hush?ms=5500");
  fixture.callTarget("/refuse?ms=4000&of=run-stop");
  fixture.callTarget("/late?ms=400&of=run-start&after=2800");
  fixture.callTarget("/crash?same=1");
  fixture.leader.submit("a", "200");
  cr_assert(fixture.waitFor([&] { return fixture.leader.hasActiveRun("a"); }), "no run was placed");
  fixture.run(5700);
  cr_assert(fixture.leader.hasActiveRun("a"), "the run is over while its start is in transit");
  cr_assert_eq(fixture.countOf("cameLate"), 1);
  cr_assert_eq(fixture.starts("a.0.0.0"), 0, "the next incarnation, which was polled under a newer token, began it");
  cr_assert(fixture.waitFor([&] { return !fixture.leader.hasActiveRun("a"); }), "the run did not lapse");
  cr_assert(fixture.waitForDone("a"));
  fixture.run(300);
  cr_assert_eq(fixture.starts("a.0.0.0"), 1);
}

// The successor has begun the run and lists it, so the run must not lapse by the former incarnation's clock.
Test(run_agent_target_restart, a_run_that_the_next_incarnation_has_started_does_not_lapse) {
  RestartFixture fixture;
  fixture.run(4500);
  fixture.callTarget("/hush?ms=3000");
  fixture.callTarget("/crash?same=1");
  fixture.leader.submit("a", "2500");
  cr_assert(fixture.waitFor([&] { return fixture.leader.hasActiveRun("a"); }), "no run was placed");
  fixture.run(2300);
  cr_assert_eq(fixture.starts("a.0.0.0"), 1);
  cr_assert(fixture.leader.hasActiveRun("a"), "the run lapsed while the next incarnation was running it");
  cr_assert(fixture.waitForDone("a"));
}

Test(run_agent_target_restart, a_message_without_a_valid_start_time_changes_nothing) {
  RestartFixture fixture;
  const std::string path = "/-/Instances.Heartbeat/" + fixture.identity();
  const std::string heartbeat = R"({"service":"s","state":"draining","seq":1000000,"clock_ms":5)";
  fixture.sendToAgent(path, heartbeat + "}");
  cr_assert_eq(fixture.sendToAgent(path, heartbeat + R"(,"born":"1780703512345"})"), 400);
  cr_assert_eq(fixture.sendToAgent(path, heartbeat + R"(,"born":1780703512345.5})"), 400);
  fixture.run(800);
  cr_assert_not(fixture.leader.draining, "a heartbeat of another sender was accepted");
  cr_assert_eq(fixture.leader.incarnations.size(), 1);
  fixture.leader.submit("a", "30");
  cr_assert(fixture.waitForDone("a"));
}

Test(run_agent_target_restart, a_target_that_states_no_start_time_is_known_by_its_identity) {
  RestartFixture fixture(false);
  fixture.leader.submit("a", "100", 2);
  cr_assert(fixture.waitForDone("a"));
  fixture.callTarget("/crash");
  fixture.leader.submit("b", "100", 2);
  cr_assert(fixture.waitForDone("b"));
  cr_assert_eq(fixture.leader.incarnations.size(), 2);
}

// Guards against two concurrent runs of a task. The next incarnation has announced itself, refuses polls and stops, and
// carries out the former incarnation's start after the hold has ended by the former incarnation's clock.
Test(run_agent_target_restart, a_run_does_not_lapse_while_an_announced_incarnation_can_still_start_it) {
  RestartFixture fixture;
  fixture.restartWithDelayedStart("/refuse?ms=4500&of=hold,run-stop");
  cr_assert(fixture.waitFor([&] { return fixture.starts("a.0.0.0") == 1; }), "the delayed start was not carried out");
  cr_assert(fixture.leader.hasActiveRun("a"), "the run began after the leader had counted it as lapsed");
  cr_assert(fixture.waitForDone("a"));
  cr_assert_eq(fixture.starts("a.0.0.0"), 1);
}

// As above, with an incarnation whose heartbeats do not arrive: refusals after unanswered calls may be its own.
Test(run_agent_target_restart, a_run_does_not_lapse_while_an_incarnation_that_refuses_calls_can_still_start_it) {
  RestartFixture fixture;
  fixture.callTarget("/hush?ms=9500");
  fixture.restartWithDelayedStart("/refuse?ms=4500&of=hold,run-stop");
  cr_assert(fixture.waitFor([&] { return fixture.starts("a.0.0.0") == 1; }), "the delayed start was not carried out");
  cr_assert(fixture.leader.hasActiveRun("a"), "the run began after the leader had counted it as lapsed");
  cr_assert(fixture.waitForDone("a"));
  cr_assert_eq(fixture.starts("a.0.0.0"), 1);
}

// Guards against a task that is never started again since its target refuses calls for good.
Test(run_agent_target_restart, a_run_lapses_although_the_next_incarnation_refuses_all_calls) {
  RestartFixture fixture;
  fixture.restartWithDelayedStart("/refuse?ms=30000&of=hold,run-stop", 60000);
  fixture.run(9500);
  cr_assert(fixture.leader.hasActiveRun("a"), "a start that the next incarnation can carry out does not lapse yet");
  cr_assert(fixture.waitFor([&] { return !fixture.leader.hasActiveRun("a"); }), "the task is never started again");
}

// A start that the former incarnation has carried out cannot reach the next one, so its run lapses with the hold.
Test(run_agent_target_restart, a_run_that_the_former_incarnation_has_listed_lapses_with_its_hold) {
  RestartFixture fixture;
  fixture.run(4500);
  fixture.leader.submit("a", "9000");
  cr_assert(fixture.waitFor([&] { return fixture.starts("a.0.0.0") == 1; }));
  fixture.run(300);
  fixture.callTarget("/refuse?ms=5500&of=hold,run-stop");
  fixture.callTarget("/crash?same=1");
  cr_assert(fixture.waitFor([&] { return !fixture.leader.hasActiveRun("a"); }), "the run did not lapse");
}

// Guards against a run that is started again after its end was noted. A poll of the former incarnation, carried out by
// the next one, must not let that one discard the end of a run that it has begun in the meantime.
Test(run_agent_target_restart, a_delayed_poll_of_the_former_incarnation_discards_no_ends_of_the_next) {
  RestartFixture fixture;
  fixture.leader.submit("b", "30", 4);
  cr_assert(fixture.waitForDone("b"));
  fixture.run(300);
  fixture.submitWithDelayedStart("200", 400, 1000);
  fixture.callTarget("/late?ms=400&of=hold&after=1600");
  cr_assert(fixture.waitFor([&] { return fixture.countOf("onTheirWay") == 2; }), "no poll was delayed");
  fixture.callTarget("/refuse?ms=2500&of=hold,run-stop");
  fixture.callTarget("/crash?same=1");
  cr_assert(fixture.waitForDone("a"));
  cr_assert_eq(fixture.starts("a.0.0.0"), 1, "the task was started again after its end had been discarded");
}

// Guards against a start after the task's end was noted. The start call outlives two incarnations: the second one would
// have refused it, and the third one, which has seen no token, carries it out.
Test(run_agent_target_restart, a_start_that_outlives_two_incarnations_begins_no_second_run) {
  RestartFixture fixture;
  fixture.run(2000);  // the clock of the third incarnation is then before the deadline of the call
  fixture.submitWithDelayedStart("200", 400, 2500);
  fixture.callTarget("/late?ms=0");
  fixture.callTarget("/crash?same=1");
  cr_assert(fixture.waitFor([&] { return fixture.leader.incarnations.size() == 2; }));
  fixture.run(800);
  fixture.callTarget("/refuse?ms=2500&of=hold,run-stop");
  fixture.callTarget("/crash?same=1");
  cr_assert(fixture.waitFor([&] { return fixture.countOf("cameLate") == 1; }), "the delayed start was not carried out");
  cr_assert(fixture.waitForDone("a"));
  fixture.run(300);
  cr_assert_eq(fixture.starts("a.0.0.0"), 1, "a second run began");
}

// Guards against a task that waits for good: the start call is never carried out.
Test(run_agent_target_restart, a_start_that_is_lost_with_its_incarnation_is_repeated) {
  RestartFixture fixture;
  fixture.submitWithDelayedStart("200", 400, 60000);
  fixture.callTarget("/late?ms=0");
  fixture.callTarget("/crash?same=1");
  fixture.run(4000);
  cr_assert_eq(fixture.starts("a.0.0.0"), 0, "the task was started again while its first start could still begin");
  cr_assert(fixture.waitForDone("a"), "the task was never started again");
}

// Guards against a start after the task's end was noted. The target confirms the stop of a start that it has not
// answered; its next incarnation, which knows of no stop, carries the start out.
Test(run_agent_target_restart, a_start_whose_stop_was_confirmed_begins_no_second_run) {
  RestartFixture fixture;
  fixture.run(2000);  // the clock of the next incarnation is then before the deadline of the call
  fixture.submitWithDelayedStart("200", 300, 2500);
  fixture.run(900);
  fixture.callTarget("/refuse?ms=2500&of=hold,run-stop");
  fixture.callTarget("/crash?same=1");
  cr_assert(fixture.waitFor([&] { return fixture.countOf("cameLate") == 1; }), "the delayed start was not carried out");
  cr_assert(fixture.waitForDone("a"));
  fixture.run(300);
  cr_assert_eq(fixture.starts("a.0.0.0"), 1, "a second run began");
}

// Guards against two concurrent runs of a task. The next incarnation shows no sign of itself, and carries out the
// former incarnation's start after the hold has ended.
Test(run_agent_target_restart, a_run_does_not_lapse_while_an_incarnation_that_shows_no_sign_can_still_start_it) {
  RestartFixture fixture;
  fixture.callTarget("/hush?ms=9500");
  fixture.restartWithDelayedStart("/mute?ms=4500");
  cr_assert(fixture.waitFor([&] { return fixture.starts("a.0.0.0") == 1; }), "the delayed start was not carried out");
  cr_assert(fixture.leader.hasActiveRun("a"), "the run began after the leader had counted it as lapsed");
  cr_assert(fixture.waitForDone("a"));
  cr_assert_eq(fixture.starts("a.0.0.0"), 1);
}

// Guards against a task that is never started again: its start is stopped and never carried out.
Test(run_agent_target_restart, a_start_whose_stop_was_confirmed_is_repeated_once_it_is_not_in_transit) {
  RestartFixture fixture;
  fixture.submitWithDelayedStart("200", 300, 60000);
  fixture.run(4000);
  cr_assert_eq(fixture.starts("a.0.0.0"), 0, "the task was started again while its first start was in transit");
  cr_assert(fixture.waitForDone("a"), "the task was never started again");
}
