// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The leader's account of runs, one case at a time.

#include "Courseloom/src/Scheduling/RunLedger.h"

#include "Courseloom/src/Scheduling/TargetHealth.h"
#include "test/main.h"

using namespace courseloom;

namespace {

/** \class LedgerTable
 * \brief A table with one workflow, its ledger and a clock.
 */
class LedgerTable {
 public:
  explicit LedgerTable(unsigned count = 1, bool gang = false) {
    schema::Workflow workflow;
    workflow.set_id("w");
    workflow.set_max_attempts(3);
    schema::StepSpec* step = workflow.mutable_spec()->add_steps();
    step->set_count(count);
    step->set_gang(gang);
    table.submit(workflow, 1);
    ledger.lead(table, now);
  }

  void start(std::uint32_t index, std::uint32_t run, const std::string& target = "life-1") {
    schema::RecordRuns runs;
    schema::RunStart* row = runs.add_starts();
    *row->mutable_task() = makeTaskId("w", {0, 0, index});
    row->mutable_run()->set_number(run);
    row->mutable_run()->set_target(target);
    row->mutable_run()->set_agent("agent");
    commit(runs);
  }
  void commit(const schema::RecordRuns& runs) {
    table.record(runs, 2);
    ledger.apply(table.consumeRunChanges(), now);
  }
  void commitEnds(std::vector<schema::RunEnd> ends) {
    schema::RecordRuns runs;
    for (schema::RunEnd& end : ends) *runs.add_ends() = std::move(end);
    commit(runs);
  }
  schema::AttendRequest report(const std::string& life = "life-1") const {
    schema::AttendRequest request;
    request.set_agent("agent");
    request.set_incarnation(incarnation);
    request.mutable_target()->set_id(life);
    request.mutable_target()->set_reachable(true);
    return request;
  }
  std::vector<schema::RunOrder> attend(const schema::AttendRequest& request) {
    commitEnds(ledger.receiveReport(request, now));
    std::vector<schema::RunOrder> orders = ledger.issueOrders("agent", table, now);
    grantedUntil = std::max(grantedUntil, now + ledger.grant("agent", now));
    return orders;
  }
  void pass(std::int64_t ms) { now += milliseconds(ms); }

  WorkflowTable table;
  RunLedger ledger;
  Time now = Time(milliseconds(1000000));
  Time grantedUntil{};  ///< as far as the agent may have a target hold its runs
  std::uint64_t incarnation = 1;
};

schema::AttendRequest withRunning(schema::AttendRequest request, std::uint32_t index, std::uint32_t run,
                                  std::uint32_t percent = 1) {
  schema::RunReport* row = request.add_running();
  *row->mutable_task() = makeTaskId("w", {0, 0, index});
  row->set_run(run);
  row->set_percent(percent);
  row->set_checkpoint("saved");
  return request;
}

schema::AttendRequest withEnd(schema::AttendRequest request, std::uint32_t index, std::uint32_t run,
                              schema::RunEndKind kind) {
  schema::EndReport* row = request.add_ends();
  row->set_number(5);
  *row->mutable_task() = makeTaskId("w", {0, 0, index});
  row->set_run(run);
  row->set_kind(kind);
  return request;
}

}  // namespace

Test(run_ledger, a_start_is_ordered_once_and_again_after_a_while) {
  LedgerTable test;
  cr_assert(test.attend(test.report()).empty());
  test.start(0, 1);
  const std::vector<schema::RunOrder> orders = test.attend(test.report());
  cr_assert_eq(orders.size(), 1);
  cr_assert_eq(orders[0].kind(), schema::OrderStart);
  cr_assert(orders[0].target() == "life-1");
  cr_assert(test.attend(test.report()).empty());
  test.pass(2000);
  cr_assert_eq(test.attend(test.report()).size(), 1, "its answer may have been lost");
  cr_assert(test.attend(withRunning(test.report(), 0, 1)).empty());
  test.pass(2000);
  cr_assert(test.attend(test.report()).empty(), "it is known to run");
}

// An agent drops orders for a target that it does not know; counted as delivered, they would wait to be given again.
Test(run_ledger, orders_wait_until_the_agent_reports_the_target_that_they_are_for) {
  LedgerTable test(2);
  test.attend(withRunning(test.report(), 1, 1));
  test.start(0, 1);
  test.start(1, 1);
  test.incarnation = 2;
  cr_assert(test.attend(test.report("")).empty());
  cr_assert_not(test.ledger.hasDueOrders("agent", test.table, test.now));
  const std::vector<schema::RunOrder> starts = test.attend(withRunning(test.report(), 1, 1));
  cr_assert_eq(starts.size(), 1);
  cr_assert_eq(starts[0].kind(), schema::OrderStart);
  test.table.cancel("w", 5);
  test.incarnation = 3;
  cr_assert(test.attend(test.report("")).empty());
  cr_assert_not(test.ledger.hasDueOrders("agent", test.table, test.now));
  const std::vector<schema::RunOrder> stops = test.attend(withRunning(test.report(), 1, 1));
  cr_assert_eq(stops.size(), 2);
  cr_assert_eq(stops[0].kind(), schema::OrderStop);
}

Test(run_ledger, a_restarted_agent_is_told_again) {
  LedgerTable test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.incarnation = 2;
  cr_assert_eq(test.attend(test.report()).size(), 1);
  test.incarnation = 3;
  cr_assert(test.attend(withRunning(test.report(), 0, 1)).empty());
}

Test(run_ledger, another_life_of_the_target_ends_its_runs) {
  LedgerTable test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.attend(test.report("life-2"));
  cr_assert(test.ledger.runs().empty());
  cr_assert(test.table.find("w")->checkpointOf({0, 0, 0}) == "saved", "what was saved is not lost with the target");
}

Test(run_ledger, a_report_without_target_ends_nothing_at_once) {
  LedgerTable test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.attend(test.report(""));
  cr_assert_eq(test.ledger.runs().size(), 1);
  for (int i = 0; i < 70; ++i) {
    test.pass(100);
    test.attend(test.report(""));
  }
  cr_assert_eq(test.ledger.expire(test.now).size(), 1, "nobody can have held it for so long");
}

// An agent may find its target between two reports, have it hold its runs, and be cut off before the next one.
Test(run_ledger, runs_are_not_over_while_an_agent_that_reported_no_target_may_hold_them) {
  LedgerTable test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.incarnation = 2;
  for (int i = 0; i < 80; ++i) {
    test.pass(100);
    if (i < 55) test.attend(test.report(""));
    if (test.now < test.grantedUntil) cr_assert(test.ledger.expire(test.now).empty(), "after %d00 ms", i + 1);
  }
}

Test(run_ledger, runs_are_not_over_while_an_agent_that_has_died_since_may_hold_them) {
  LedgerTable test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  for (int i = 0; i < 80; ++i) {
    test.pass(100);
    test.incarnation = i < 50 ? 2 : 3;
    if (i % 50 == 0 || i == 49) test.attend(test.report(""));
    if (test.now < test.grantedUntil) cr_assert(test.ledger.expire(test.now).empty(), "after %d00 ms", i + 1);
  }
}

Test(run_ledger, a_grant_outlasts_the_outage_that_the_settings_name) {
  schema::ControlSettings settings;
  settings.set_run_grant_ms(5500);
  cr_assert(leaseLength(settings) == milliseconds(5500));
  settings.set_outage_s(12);
  cr_assert(leaseLength(settings) == milliseconds(14000),
            "runs go on while nobody leads, and until somebody does again");
  settings.set_run_grant_ms(20000);
  cr_assert(leaseLength(settings) == milliseconds(20000), "never shorter than asked for");
}

Test(run_ledger, an_agent_that_was_not_heard_lately_gets_nothing_new_although_its_grant_is_long) {
  LedgerTable test;
  test.attend(test.report());
  cr_assert(test.ledger.open("agent", test.now));
  test.pass(2600);
  cr_assert_not(test.ledger.open("agent", test.now));
}

// A gang whose member is ordered to an agent that has just been cut off stands still for a whole grant.
Test(run_ledger, an_agent_that_was_asked_for_a_sign_of_life_gets_nothing_until_it_gives_one) {
  LedgerTable test;
  test.attend(test.report());
  cr_assert(test.ledger.fresh("agent", test.now));
  test.pass(200);
  cr_assert_not(test.ledger.fresh("agent", test.now));
  test.ledger.requestReport("agent", test.now);
  cr_assert(test.ledger.reportRequested("agent"));
  test.pass(100);
  test.ledger.requestReport("agent", test.now);
  cr_assert(test.ledger.open("agent", test.now), "its answer may be on its way");
  test.pass(100);
  cr_assert_not(test.ledger.open("agent", test.now), "asking again does not give it more time");
  test.attend(test.report());
  cr_assert_not(test.ledger.reportRequested("agent"));
  cr_assert(test.ledger.open("agent", test.now));
  cr_assert(test.ledger.fresh("agent", test.now));
}

// Runs on a target that is only cut off must not be moved for standing still.
Test(run_ledger, a_report_that_was_long_on_its_way_tells_of_the_past) {
  LedgerTable test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1, 10));
  const RunKey key{"w", {0, 0, 0}, 1};
  const Time first = test.now;
  test.pass(3000);
  schema::AttendRequest old = withRunning(test.report(), 0, 1, 10);
  old.set_running_age_ms(2900);
  test.attend(old);
  const RunTrack& track = test.ledger.runs().at(key);
  cr_assert(track.percentChanged == first);
  cr_assert(track.seen == first + milliseconds(100), "for all that is known, it stood still for 100 ms");
}

// A report that was sent before this leader was elected may be older than what the log says.
Test(run_ledger, only_an_agent_that_this_leader_has_answered_ends_runs_of_another_life) {
  LedgerTable test;
  test.ledger.lead(test.table, test.now, 2);
  test.start(0, 1, "life-2");
  test.attend(test.report("life-1"));
  cr_assert_eq(test.ledger.runs().size(), 1);
  schema::AttendRequest answered = test.report("life-3");
  answered.set_term(2);
  test.attend(answered);
  cr_assert(test.ledger.runs().empty());
}

// Reports of one agent come on several connections and through relays, so that one may be overtaken.
Test(run_ledger, a_report_that_was_overtaken_is_known) {
  LedgerTable test;
  schema::AttendRequest first = test.report("life-1");
  first.set_sequence(1);
  schema::AttendRequest second = test.report("life-2");
  second.set_sequence(2);
  cr_assert_not(test.ledger.isOvertaken(first));
  test.attend(second);
  cr_assert(test.ledger.isOvertaken(first), "it would end every run of the new life");
  test.incarnation = 2;
  schema::AttendRequest restarted = test.report("life-2");
  restarted.set_sequence(1);
  cr_assert_not(test.ledger.isOvertaken(restarted));
  test.attend(restarted);
  second.set_sequence(3);
  cr_assert(test.ledger.isOvertaken(second), "of a former life of the agent");
}

// A new leader knows no incarnation of any agent yet, and the first report that it gets may be of long ago.
Test(run_ledger, a_late_report_of_a_former_agent_does_not_shut_the_present_one_out) {
  LedgerTable test;
  test.ledger.lead(test.table, test.now, 2);
  const auto hear = [&test](std::uint64_t incarnation, std::uint64_t term, std::uint64_t sequence) {
    test.incarnation = incarnation;
    schema::AttendRequest report = test.report();
    report.set_term(term);
    report.set_sequence(sequence);
    if (test.ledger.isOvertaken(report)) return false;
    test.attend(report);
    return true;
  };
  cr_assert(hear(22, 1, 1));
  hear(11, 1, 90);
  cr_assert(hear(22, 2, 2), "it has had this leader's answer");
  cr_assert(hear(22, 2, 3));
  cr_assert_eq(test.ledger.targets().at("agent").incarnation, 22);
  cr_assert(hear(33, 0, 1), "a restarted agent knows of no leader");
  cr_assert(hear(33, 2, 2));
  cr_assert_not(hear(22, 2, 4), "it was answered, but before the present one began");
  cr_assert(hear(33, 2, 3));
  cr_assert_eq(test.ledger.targets().at("agent").incarnation, 33);
}

Test(run_ledger, an_answered_agent_that_another_one_followed_is_overtaken_although_its_report_comes_last) {
  LedgerTable test;
  test.ledger.lead(test.table, test.now, 2);
  schema::AttendRequest former = test.report();
  test.attend(former);
  test.incarnation = 2;
  schema::AttendRequest present = test.report();
  test.attend(present);
  present.set_term(2);
  present.set_sequence(2);
  test.attend(present);
  former.set_term(2);
  former.set_sequence(2);
  cr_assert(test.ledger.isOvertaken(former));
  cr_assert_not(test.ledger.isOvertaken(present));
}

// An agent that has died since may have taken a run for lapsed that its successor was ordered to start.
Test(run_ledger, only_an_agent_that_this_leader_has_answered_ends_runs) {
  LedgerTable test;
  test.ledger.lead(test.table, test.now, 2);
  test.start(0, 1);
  schema::AttendRequest report = withEnd(test.report(), 0, 1, schema::RunLapsed);
  report.set_term(1);
  test.attend(report);
  cr_assert_eq(test.ledger.runs().size(), 1);
  cr_assert_not(test.ledger.open("agent", test.now), "nor is it known that the agent is still there");
  report.set_term(2);
  test.attend(report);
  cr_assert(test.ledger.runs().empty());
}

Test(run_ledger, relays_are_agents_that_were_heard_lately_and_directly) {
  LedgerTable test;
  const auto hear = [&test](const std::string& agent, std::uint32_t relay, const std::string& hall, bool relayed) {
    schema::AttendRequest report = test.report();
    report.set_agent(agent);
    report.set_relay(relay);
    report.set_relayed(relayed);
    report.mutable_target()->set_data_hall(hall);
    test.ledger.receiveReport(report, test.now);
  };
  hear("a", 1, "hall-1", false);
  hear("b", 2, "hall-1", false);
  hear("c", 3, "hall-2", false);
  hear("d", 4, "hall-3", true);
  hear("e", 0, "hall-3", false);
  std::map<std::uint32_t, std::string> halls;
  for (const RelayAgent& relay : test.ledger.relays(test.now)) halls[relay.number] = relay.dataHall;
  cr_assert(halls == (std::map<std::uint32_t, std::string>({{1, "hall-1"}, {2, "hall-1"}, {3, "hall-2"}})));
  test.pass(3000);
  cr_assert(test.ledger.relays(test.now).empty());
}

// With full grants a gang waits 17 s for a member whose target and agent have left for good.
Test(run_ledger, an_agent_whose_target_leaves_gets_shorter_grants) {
  LedgerTable test;
  RunLedgerOptions options;
  options.grant = milliseconds(14000);
  test.ledger = RunLedger(options);
  test.ledger.lead(test.table, test.now);
  test.start(0, 1);
  schema::AttendRequest leaving = withRunning(test.report(), 0, 1);
  leaving.mutable_target()->set_draining(true);
  test.attend(leaving);
  // What a former leader granted may be longer.
  test.pass(14200);
  cr_assert(test.ledger.expire(test.now).empty());
  test.attend(leaving);
  test.pass(5700);
  cr_assert(test.ledger.expire(test.now).empty());
  test.pass(200);
  cr_assert_eq(test.ledger.expire(test.now).size(), 1);
}

Test(run_ledger, a_silent_agents_runs_lapse_only_after_its_grant) {
  LedgerTable test;
  test.start(0, 1);
  test.attend(test.report());
  test.pass(5500);
  cr_assert(test.ledger.expire(test.now).empty());
  test.pass(400);
  cr_assert_eq(test.ledger.expire(test.now).size(), 1);
}

Test(run_ledger, a_new_leader_counts_on_the_grants_of_the_former_one) {
  LedgerTable test;
  test.start(0, 1);
  test.pass(60000);
  test.ledger.lead(test.table, test.now);
  cr_assert(test.ledger.expire(test.now).empty());
  test.pass(5400);
  cr_assert(test.ledger.expire(test.now).empty());
  test.pass(500);
  cr_assert_eq(test.ledger.expire(test.now).size(), 1);
}

Test(run_ledger, what_nobody_knows_is_stopped) {
  LedgerTable test;
  const std::vector<schema::RunOrder> orders = test.attend(withRunning(test.report(), 0, 9));
  cr_assert_eq(orders.size(), 1);
  cr_assert_eq(orders[0].kind(), schema::OrderStop);
  cr_assert_eq(orders[0].run(), 9);
}

Test(run_ledger, runs_of_a_cancelled_workflow_are_stopped) {
  LedgerTable test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.table.cancel("w", 5);
  cr_assert(test.ledger.hasDueOrders("agent", test.table, test.now));
  const std::vector<schema::RunOrder> orders = test.attend(withRunning(test.report(), 0, 1));
  cr_assert_eq(orders.size(), 1);
  cr_assert_eq(orders[0].kind(), schema::OrderStop);
  test.attend(withEnd(test.report(), 0, 1, schema::RunStopped));
  cr_assert(test.table.open().empty());
}

Test(run_ledger, an_end_counts_only_from_the_target_that_was_meant) {
  LedgerTable test;
  test.start(0, 1);
  test.attend(withEnd(test.report(""), 0, 1, schema::RunDone));
  cr_assert_eq(test.ledger.runs().size(), 1);
  test.attend(withEnd(test.report(), 0, 1, schema::RunDone));
  cr_assert_eq(test.table.find("w")->record.phase(), schema::WorkflowCompleted);
  cr_assert(test.attend(withEnd(test.report(), 0, 1, schema::RunDone)).empty(), "the same end may come twice");
}

Test(run_ledger, what_ran_in_a_former_life_under_the_same_identity_is_lost_with_it) {
  LedgerTable test;
  test.start(0, 1, "i-1@1000");
  test.attend(withRunning(test.report("i-1@1000"), 0, 1));
  test.attend(test.report("i-1@2000"));
  cr_assert(test.ledger.runs().empty());
}

// The target began again between the order and its start: the run is where the leader meant it to be, but in a life
// that was not meant. It is over only once that life has ended it.
Test(run_ledger, a_run_that_a_later_life_began_is_stopped_there_before_it_is_over) {
  LedgerTable test;
  test.start(0, 1, "i-1@1000");
  test.attend(test.report("i-1@1000"));
  const std::vector<schema::RunOrder> orders = test.attend(withRunning(test.report("i-1@2000"), 0, 1));
  cr_assert_eq(test.ledger.runs().size(), 1, "called over while it runs");
  cr_assert_eq(orders.size(), 1);
  cr_assert_eq(orders[0].kind(), schema::OrderStop);
  cr_assert(orders[0].target() == "i-1@2000");
  test.attend(withEnd(test.report("i-1@2000"), 0, 1, schema::RunDone));
  cr_assert_eq(test.table.find("w")->record.phase(), schema::WorkflowCompleted, "it was done before the stop came");
}

Test(run_ledger, another_identity_cannot_have_begun_what_was_meant_for_this_one) {
  LedgerTable test;
  test.start(0, 1, "i-1@1000");
  test.attend(withRunning(test.report("i-2@2000"), 0, 1));
  cr_assert(test.ledger.runs().empty());
}

Test(run_ledger, other_members_of_a_gang_that_is_done_get_time_to_end) {
  LedgerTable test(2, true);
  test.start(0, 1);
  test.start(1, 1);
  test.attend(withRunning(withRunning(test.report(), 0, 1), 1, 1));
  cr_assert(test.attend(withEnd(test.report(), 0, 1, schema::RunDone)).empty());
  test.pass(800);
  cr_assert_eq(test.attend(test.report()).size(), 1, "what is still there is stopped");
}

Test(run_ledger, targets_that_fail_several_workflows_are_suspect) {
  TargetHealth health;
  const Time now = Time(milliseconds(1000));
  health.ended("t", "w1", schema::RunFailed, now);
  health.ended("t", "w1", schema::RunFailed, now);
  cr_assert_not(health.suspect("t", now), "one workflow may be at fault itself");
  health.ended("t", "w2", schema::RunFailed, now);
  cr_assert(health.suspect("t", now));
  cr_assert_not(health.suspect("t", now + milliseconds(5000)));
  cr_assert(health.onProbation("t", now + milliseconds(5000)), "it has not shown yet that it works");
  health.stalled("t", now);
  health.ended("t", "w3", schema::RunDone, now);
  cr_assert_not(health.suspect("t", now), "what is done there speaks for it");
  cr_assert_not(health.onProbation("t", now));
  health.ended("t", "w4", schema::RunVoided, now);
  cr_assert(health.paused("t", now));
}

// A gang that needed several places of a target on probation waited for good, since no other work came to be tried
// there.
Test(run_ledger, a_target_to_which_nothing_comes_is_on_probation_for_a_while_only) {
  TargetHealth health;
  health.stalled("t", Time(milliseconds(0)));
  const Time afterSuspicion = Time(TargetHealthOptions().firstSuspicion);
  cr_assert(health.onProbation("t", afterSuspicion));
  cr_assert(health.onProbation("t", afterSuspicion + milliseconds(10000)), "longer than most tasks run");
  cr_assert_not(health.onProbation("t", afterSuspicion + milliseconds(30000)));
  health.stalled("t", afterSuspicion + milliseconds(30000));
  cr_assert(health.suspect("t", afterSuspicion + milliseconds(37000)), "a second suspicion lasts longer all the same");
}

Test(run_ledger, a_target_is_doubted_from_a_failure_until_something_is_done_there) {
  TargetHealth health;
  const Time now{milliseconds(1000)};
  health.ended("t1", "w1", schema::RunFailed, now);
  health.stalled("t2", now);
  cr_assert((health.doubted(now) == std::set<std::string>{"t1", "t2"}));
  health.ended("t1", "w2", schema::RunDone, now);
  cr_assert((health.doubted(now) == std::set<std::string>{"t2"}));
  cr_assert(health.doubted(now + milliseconds(16000)).empty(), "it would be kept from work for good");
  for (const char* target : {"t3", "t4", "t5"}) health.ended(target, "w3", schema::RunFailed, now);
  cr_assert((health.doubted(now) == std::set<std::string>{"t2"}), "w3 is at fault itself");
}

// What is waited for beyond this is gone for good, as far as anybody can tell.
Test(run_ledger, a_target_is_awaited_until_its_runs_would_be_over) {
  LedgerTable test;
  cr_assert_not(test.ledger.awaited("agent", test.now), "nothing is known of it");
  schema::AttendRequest silent = test.report();
  silent.mutable_target()->set_reachable(false);
  test.attend(test.report());
  test.pass(5000);
  test.attend(silent);
  cr_assert_not(test.ledger.open("agent", test.now));
  cr_assert(test.ledger.awaited("agent", test.now));
  test.pass(1000);
  test.attend(silent);
  cr_assert_not(test.ledger.awaited("agent", test.now), "its agent is there, the target is not");
  test.attend(test.report());
  cr_assert(test.ledger.awaited("agent", test.now));
  schema::AttendRequest leaving = test.report();
  leaving.mutable_target()->set_draining(true);
  test.attend(leaving);
  cr_assert_not(test.ledger.awaited("agent", test.now));
}

Test(run_ledger, no_start_is_ordered_while_its_end_is_on_its_way_into_the_log) {
  LedgerTable test;
  test.attend(test.report());
  test.start(0, 1);
  test.pass(6000);
  cr_assert_eq(test.ledger.expire(test.now).size(), 1);
  // The agent is heard again before the end is committed: the next run may begin elsewhere at any moment.
  cr_assert(test.attend(test.report()).empty());
}

Test(run_ledger, work_that_fails_everywhere_casts_no_suspicion_on_targets) {
  TargetHealth health;
  const Time now = Time(milliseconds(1000));
  for (const char* poison : {"p1", "p2"}) {
    for (const char* target : {"t1", "t2"}) health.ended(target, poison, schema::RunFailed, now);
  }
  cr_assert(health.suspect("t1", now));
  cr_assert(health.tooManySuspect({"t1", "t2", "t3"}, now), "most targets cannot be at fault at once");
  for (const char* poison : {"p1", "p2"}) health.ended("t3", poison, schema::RunFailed, now);
  cr_assert_not(health.suspect("t1", now), "what failed on three targets is at fault itself");
  cr_assert_not(health.onProbation("t1", now));
}

// A restarted agent has heard of no target, is granted all the same, and may find the target while an order is on its
// way to it: the order then begins the run.
Test(run_ledger, a_run_is_not_over_while_an_order_may_still_begin_it) {
  LedgerTable test;
  test.start(0, 1);
  test.attend(test.report());
  test.incarnation = 2;
  Time orderedAt{};
  for (int i = 0; i < 70; ++i) {
    for (const schema::RunOrder& order : test.attend(test.report(""))) {
      if (order.kind() == schema::OrderStart) orderedAt = test.now;
    }
    test.pass(100);
    if (test.ledger.expire(test.now).empty()) continue;
    cr_assert(orderedAt == Time{} || test.now > orderedAt + test.ledger.options().grant,
              "over %lld ms after a start was ordered under a grant of %lld ms",
              static_cast<long long>(toMilliseconds(test.now - orderedAt)),
              static_cast<long long>(toMilliseconds(test.ledger.options().grant)));
    return;
  }
}

// That a run lapsed is sure only as long as the agent that says so lives: the next one may have begun it since.
Test(run_ledger, a_former_agents_word_that_a_run_lapsed_is_doubted_by_a_new_leader) {
  LedgerTable test;
  test.ledger.lead(test.table, test.now, 1);
  test.start(0, 1);
  schema::AttendRequest late = test.report();
  late.set_term(1);
  test.attend(late);
  schema::EndReport* fate = late.add_ends();
  *fate->mutable_task() = makeTaskId("w", {0, 0, 0});
  fate->set_run(1);
  fate->set_kind(schema::RunLapsed);
  fate->set_reason("the target is silent");
  late.set_sequence(1);  // stays on its way; the agent restarts
  test.incarnation = 2;
  schema::AttendRequest next = test.report();
  next.set_term(1);
  cr_assert_eq(test.attend(next).size(), 1, "the next agent is ordered to begin the run, and does");
  test.pass(1000);
  test.ledger.lead(test.table, test.now, 2);
  cr_assert_not(test.ledger.isOvertaken(late));
  cr_assert(test.ledger.receiveReport(late, test.now).empty(), "the run goes on under the next agent");
}

// A new leader knows no former agents, so the late report of one looks like the word of a restarted agent.
Test(run_ledger, a_late_report_of_a_former_agent_does_not_displace_the_present_one) {
  LedgerTable test;
  test.ledger.lead(test.table, test.now, 2);
  schema::AttendRequest late = test.report();
  late.set_term(1);
  late.set_sequence(900);
  test.incarnation = 2;
  schema::AttendRequest present = test.report();
  present.set_term(2);
  present.set_sequence(5);
  test.attend(present);
  if (!test.ledger.isOvertaken(late)) test.attend(late);
  present.set_sequence(6);
  cr_assert_not(test.ledger.isOvertaken(present), "every later report of the agent is refused in this term");
}

namespace {

/** The agent's words on a run that went away with its target. */
schema::AttendRequest withLost(schema::AttendRequest request, std::uint32_t run, schema::CrashKind kind,
                               std::uint32_t afterMs = 0) {
  schema::LostRun* row = request.add_lost();
  *row->mutable_task() = makeTaskId("w", {0, 0, 0});
  row->set_run(run);
  row->set_crash(kind);
  row->set_after_ms(afterMs);
  return request;
}

}  // namespace

Test(run_ledger, a_run_that_goes_with_its_target_carries_what_its_agent_saw) {
  LedgerTable test;
  test.attend(test.report());
  test.start(0, 1);
  test.attend(test.report());
  test.commitEnds(test.ledger.receiveReport(withLost(test.report("life-2"), 1, schema::CrashAtStart, 120), test.now));
  const std::vector<schema::TargetCrash>& crashes = test.table.find("w")->task({0, 0, 0})->crashes.crashes();
  cr_assert_eq(crashes.size(), 1);
  cr_assert_eq(crashes[0].kind(), schema::CrashAtStart);
  cr_assert_eq(crashes[0].after_ms(), 120);
  cr_assert(crashes[0].target() == "life-1");
}

Test(run_ledger, a_run_whose_start_was_never_ordered_is_not_accused) {
  LedgerTable test;
  test.attend(test.report());
  test.start(0, 1);
  test.attend(test.report("life-2"));
  cr_assert_eq(test.table.find("w")->suspectTasks, 0);
}

// An agent that was started anew knows nothing of the order that its former life carried out.
Test(run_ledger, a_run_that_a_former_agent_began_is_accused_when_its_target_is_gone) {
  LedgerTable test;
  test.attend(test.report());
  test.start(0, 1);
  test.attend(test.report());
  test.incarnation = 2;
  test.attend(test.report("life-2"));
  cr_assert_eq(test.table.find("w")->suspectTasks, 1);
}

Test(run_ledger, a_run_that_a_former_leader_ordered_is_accused_unless_its_target_was_leaving) {
  for (const bool leaving : {false, true}) {
    LedgerTable test;
    test.attend(test.report());
    test.start(0, 1);
    test.ledger.lead(test.table, test.now);
    schema::AttendRequest last = test.report();
    last.mutable_target()->set_draining(leaving);
    test.attend(last);
    test.attend(test.report("life-2"));
    cr_assert_eq(test.table.find("w")->suspectTasks, leaving ? 0 : 1);
  }
}

// A leader that was started with all other replicas begins before its predecessor's last starts are applied.
Test(run_ledger, a_run_that_a_former_leader_ordered_is_accused_though_its_start_is_applied_late) {
  for (const bool inherited : {false, true}) {
    LedgerTable test;
    test.attend(test.report());
    schema::RecordRuns runs;
    schema::RunStart* row = runs.add_starts();
    *row->mutable_task() = makeTaskId("w", {0, 0, 0});
    row->mutable_run()->set_number(1);
    row->mutable_run()->set_target("life-1");
    row->mutable_run()->set_agent("agent");
    test.table.record(runs, 2);
    test.ledger.apply(test.table.consumeRunChanges(), test.now, inherited);
    test.attend(test.report("life-2"));
    cr_assert_eq(test.table.find("w")->suspectTasks, inherited ? 1 : 0);
  }
}

// Many targets go at one moment: what ran there for a while did not cause it, what had just been started may have.
Test(run_ledger, targets_that_go_together_accuse_only_what_had_just_been_started) {
  for (const schema::CrashKind kind : {schema::CrashUnclear, schema::CrashAtStart}) {
    LedgerTable test;
    const auto others = [&](bool reachable) {
      for (const char* name : {"b", "c"}) {
        schema::AttendRequest report = test.report(std::string("life-") + name);
        report.set_agent(name);
        report.mutable_target()->set_reachable(reachable);
        test.ledger.receiveReport(report, test.now);
      }
    };
    test.attend(test.report());
    others(true);
    test.start(0, 1);
    test.attend(test.report());
    others(false);
    test.attend(withLost(test.report("life-2"), 1, kind, 900));
    cr_assert_eq(test.table.find("w")->suspectTasks, kind == schema::CrashAtStart ? 1 : 0);
  }
}

namespace {

/** A run that was there for a while is lost, in a fleet of many targets, with others that go at that moment.
 * \returns suspected tasks \param others so many targets go too \param sameWork they run another task of the workflow
 */
unsigned accusedBeside(unsigned others, bool sameWork) {
  constexpr unsigned Fleet = 100;
  LedgerTable test(1 + others);
  const auto report = [&test](unsigned number, bool reachable) {
    schema::AttendRequest request = test.report("life-of-" + std::to_string(number));
    request.set_agent("other-" + std::to_string(number));
    request.mutable_target()->set_reachable(reachable);
    test.commitEnds(test.ledger.receiveReport(request, test.now));
  };
  test.attend(test.report());
  for (unsigned i = 1; i <= Fleet; ++i) report(i, true);
  test.start(0, 1);
  for (unsigned i = 1; sameWork && i <= others; ++i) {
    schema::RecordRuns runs;
    schema::RunStart* row = runs.add_starts();
    *row->mutable_task() = makeTaskId("w", {0, 0, i});
    row->mutable_run()->set_number(1);
    row->mutable_run()->set_target("life-of-" + std::to_string(i));
    row->mutable_run()->set_agent("other-" + std::to_string(i));
    test.commit(runs);
  }
  test.attend(test.report());
  for (unsigned i = 1; i <= others; ++i) report(i, false);
  test.pass(300);
  test.attend(withLost(test.report("life-2"), 1, schema::CrashUnclear, 900));
  return test.table.find("w")->suspectTasks;
}

}  // namespace

// An eighth of a large fleet had to go at once before what ran there for a while was cleared of it.
Test(run_ledger, a_few_targets_that_go_together_clear_what_ran_there_in_a_fleet_of_any_size) {
  cr_assert_eq(accusedBeside(1, false), 1);
  cr_assert_eq(accusedBeside(2, false), 0);
  cr_assert_eq(accusedBeside(10, false), 0);
}

// Each pass of the planner copied the names, labels and rooms of all targets.
Test(run_ledger, descriptions_change_only_with_what_targets_say_of_themselves) {
  LedgerTable test;
  test.attend(test.report());
  test.start(0, 1);
  const std::uint64_t before = test.ledger.descriptions();
  for (std::uint32_t percent = 1; percent < 50; ++percent) {
    test.pass(100);
    test.attend(withRunning(test.report(), 0, 1, percent));
  }
  test.ledger.requestReport("agent", test.now);
  cr_assert_eq(test.ledger.descriptions(), before);
  schema::AttendRequest shrunk = test.report();
  shrunk.mutable_target()->mutable_capacity()->set_accelerators(4);
  test.attend(shrunk);
  cr_assert_neq(test.ledger.descriptions(), before);
  const std::uint64_t after = test.ledger.descriptions();
  test.ledger.requestReport("another", test.now);
  cr_assert_neq(test.ledger.descriptions(), after, "a target that is not planned yet has come");
}

// Guarantees were said to exceed the room while 810 targets were still arriving after a cold start, though all of their
// agents had been heard.
Test(run_ledger, targets_are_arriving_until_few_of_the_known_ones_are_new) {
  LedgerTable test;
  for (unsigned i = 1; i <= 100; ++i) {
    schema::AttendRequest request = test.report("");
    request.set_agent("other-" + std::to_string(i));
    test.ledger.receiveReport(request, test.now);
  }
  test.pass(3000);
  const auto arrive = [&test](unsigned number) {
    schema::AttendRequest request = test.report("life-of-" + std::to_string(number));
    request.set_agent("other-" + std::to_string(number));
    test.ledger.receiveReport(request, test.now);
  };
  for (unsigned i = 1; i <= 100; ++i) {
    arrive(i);
    test.pass(40);
  }
  cr_assert(test.ledger.arriving(test.now), "62 of 100 came within the last 2.5 s");
  test.pass(2600);
  cr_assert_not(test.ledger.arriving(test.now));
  arrive(101);
  cr_assert_not(test.ledger.arriving(test.now), "one new agent among a hundred");
}

Test(run_ledger, targets_that_ran_the_same_workflow_do_not_clear_it) { cr_assert_eq(accusedBeside(10, true), 1); }

Test(run_ledger, a_run_lives_once_it_was_seen_for_the_start_phase) {
  LedgerTable test;
  test.attend(test.report());
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.pass(1900);
  test.attend(withRunning(test.report(), 0, 1));
  cr_assert_not(test.ledger.lived({"w", {0, 0, 0}, 1}, 1));
  test.pass(200);
  test.attend(withRunning(test.report(), 0, 1));
  cr_assert(test.ledger.lived({"w", {0, 0, 0}, 1}, 1));
}

// A gang works once all are there: until then none of its members has shown anything.
Test(run_ledger, a_member_lives_only_beside_the_others_of_its_gang) {
  LedgerTable test(2, true);
  test.attend(test.report());
  test.start(0, 1);
  test.start(1, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.pass(3000);
  test.attend(withRunning(withRunning(test.report(), 0, 1), 1, 1));
  cr_assert_not(test.ledger.lived({"w", {0, 0, 0}, 1}, 2));
  test.pass(2000);
  test.attend(withRunning(withRunning(test.report(), 0, 1), 1, 1));
  cr_assert(test.ledger.lived({"w", {0, 0, 0}, 1}, 2));
}
