// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Single cases of the leader's run ledger and of the health records of targets.

#include "Courseloom/src/Scheduling/RunLedger.h"

#include "Courseloom/src/Scheduling/RunPace.h"
#include "Courseloom/src/Scheduling/TargetHealth.h"
#include "test/main.h"

using namespace courseloom;

namespace {

/** \class LedgerFixture
 * \brief A table with one workflow of one step, its ledger, a clock and the reports of the agent "agent".
 */
class LedgerFixture {
 public:
  explicit LedgerFixture(unsigned count = 1, bool gang = false, bool speculative = false) {
    schema::Workflow workflow;
    workflow.set_id("w");
    workflow.set_max_attempts(3);
    schema::StepSpec* step = workflow.mutable_spec()->add_steps();
    step->set_count(count);
    step->set_gang(gang);
    step->set_speculative(speculative);
    table.submit(workflow, 1);
    ledger.lead(table, now);
  }

  /** Commits the start of a run of task `index` on a target of the agent. */
  void start(std::uint32_t index, std::uint32_t run, const std::string& target = "life-1") {
    schema::RecordRuns runs;
    schema::RunStart* row = runs.add_starts();
    *row->mutable_task() = makeTaskId("w", {0, 0, index});
    row->mutable_run()->set_number(run);
    row->mutable_run()->set_target(target);
    row->mutable_run()->set_agent("agent");
    commit(runs);
  }
  /** Commits the start of a copy of run `of` of task `index` on the target "copy-1" of the agent "agent2". */
  void startCopy(std::uint32_t index, std::uint32_t run, std::uint32_t of) {
    schema::RecordRuns runs;
    schema::RunStart* row = runs.add_starts();
    *row->mutable_task() = makeTaskId("w", {0, 0, index});
    row->mutable_run()->set_number(run);
    row->mutable_run()->set_target("copy-1");
    row->mutable_run()->set_agent("agent2");
    row->mutable_run()->set_copy_of(of);
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
  /** Commits which runs have begun. */
  void recordBegun() {
    schema::RecordRuns runs;
    for (schema::StartReport& begun : ledger.consumeBegun()) *runs.add_begun() = std::move(begun);
    commit(runs);
  }
  /** \returns a report of the agent. \param target name of the target's incarnation; empty while the agent knows none
   */
  schema::AttendRequest report(const std::string& target = "life-1") const {
    schema::AttendRequest request;
    request.set_agent("agent");
    request.set_incarnation(incarnation);
    request.mutable_target()->set_id(target);
    request.mutable_target()->set_reachable(true);
    return request;
  }
  /** Applies a report, commits the ends that follow from it and renews the lease. \returns the orders for the agent */
  std::vector<schema::RunOrder> attend(const schema::AttendRequest& request) {
    commitEnds(ledger.receiveReport(request, now));
    std::vector<schema::RunOrder> orders = ledger.issueOrders(request.agent(), table, now);
    leaseUntil = std::max(leaseUntil, now + ledger.grant(request.agent(), now));
    return orders;
  }
  void advance(std::int64_t ms) { now += milliseconds(ms); }

  WorkflowTable table;
  RunLedger ledger;
  Time now = Time(milliseconds(1000000));
  Time leaseUntil{};              ///< end of the latest lease under which the agent may have a target hold its runs
  std::uint64_t incarnation = 1;  ///< of the agent
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

Test(run_ledger, an_unconfirmed_start_order_is_retried_after_a_while) {
  LedgerFixture test;
  cr_assert(test.attend(test.report()).empty());
  test.start(0, 1);
  const std::vector<schema::RunOrder> orders = test.attend(test.report());
  cr_assert_eq(orders.size(), 1);
  cr_assert_eq(orders[0].kind(), schema::OrderStart);
  cr_assert(orders[0].target() == "life-1");
  cr_assert(test.attend(test.report()).empty());
  test.advance(2000);
  cr_assert_eq(test.attend(test.report()).size(), 1, "the answer with the order may have been lost");
  cr_assert(test.attend(withRunning(test.report(), 0, 1)).empty());
  test.advance(2000);
  cr_assert(test.attend(test.report()).empty(), "the run is known to be running");
}

// An agent drops orders for a target that it does not know. If the ledger counted them as delivered, they would be
// delayed until the retry interval had passed.
Test(run_ledger, orders_wait_until_the_agent_reports_the_target_that_they_are_for) {
  LedgerFixture test(2);
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

Test(run_ledger, orders_are_sent_again_to_a_restarted_agent) {
  LedgerFixture test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.incarnation = 2;
  cr_assert_eq(test.attend(test.report()).size(), 1);
  test.incarnation = 3;
  cr_assert(test.attend(withRunning(test.report(), 0, 1)).empty());
}

Test(run_ledger, a_new_incarnation_of_the_target_ends_the_runs_of_the_former_one) {
  LedgerFixture test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.attend(test.report("life-2"));
  cr_assert(test.ledger.runs().empty());
  cr_assert(test.table.find("w")->checkpointOf({0, 0, 0}) == "saved", "the checkpoint is not lost with the target");
}

Test(run_ledger, a_report_without_a_target_ends_runs_only_after_the_lease) {
  LedgerFixture test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.attend(test.report(""));
  cr_assert_eq(test.ledger.runs().size(), 1);
  for (int i = 0; i < 70; ++i) {
    test.advance(100);
    test.attend(test.report(""));
  }
  cr_assert_eq(test.ledger.expire(test.now).size(), 1, "no agent can have held the run for so long");
}

// An agent may find its target between two reports, make it hold its runs, and be disconnected before the next report.
Test(run_ledger, runs_do_not_expire_while_an_agent_that_reported_no_target_may_hold_them) {
  LedgerFixture test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.incarnation = 2;
  for (int i = 0; i < 80; ++i) {
    test.advance(100);
    if (i < 55) test.attend(test.report(""));
    if (test.now < test.leaseUntil) cr_assert(test.ledger.expire(test.now).empty(), "after %d00 ms", i + 1);
  }
}

Test(run_ledger, runs_do_not_expire_while_a_former_incarnation_of_the_agent_may_have_them_held) {
  LedgerFixture test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  for (int i = 0; i < 80; ++i) {
    test.advance(100);
    test.incarnation = i < 50 ? 2 : 3;
    if (i % 50 == 0 || i == 49) test.attend(test.report(""));
    if (test.now < test.leaseUntil) cr_assert(test.ledger.expire(test.now).empty(), "after %d00 ms", i + 1);
  }
}

Test(run_ledger, a_lease_is_longer_than_the_configured_outage) {
  schema::ControlSettings settings;
  settings.set_run_grant_ms(5500);
  cr_assert(leaseLength(settings) == milliseconds(5500));
  settings.set_outage_s(12);
  cr_assert(leaseLength(settings) == milliseconds(14000),
            "runs have to continue during an outage of the leader and until the next one is elected");
  settings.set_run_grant_ms(20000);
  cr_assert(leaseLength(settings) == milliseconds(20000), "the lease is never shorter than configured");
}

Test(run_ledger, a_silent_agent_gets_no_new_runs_although_its_lease_is_still_valid) {
  LedgerFixture test;
  test.attend(test.report());
  cr_assert(test.ledger.open("agent", test.now));
  test.advance(2600);
  cr_assert_not(test.ledger.open("agent", test.now));
}

// If a member of a gang is ordered to an agent that has just been disconnected, the gang makes no progress for a
// whole lease.
Test(run_ledger, an_agent_that_does_not_answer_a_request_for_a_report_gets_no_new_runs) {
  LedgerFixture test;
  test.attend(test.report());
  cr_assert(test.ledger.fresh("agent", test.now));
  test.advance(200);
  cr_assert_not(test.ledger.fresh("agent", test.now));
  test.ledger.requestReport("agent", test.now);
  cr_assert(test.ledger.reportRequested("agent"));
  test.advance(100);
  test.ledger.requestReport("agent", test.now);
  cr_assert(test.ledger.open("agent", test.now), "its answer may be on its way");
  test.advance(100);
  cr_assert_not(test.ledger.open("agent", test.now), "a second request does not extend the time limit");
  test.attend(test.report());
  cr_assert_not(test.ledger.reportRequested("agent"));
  cr_assert(test.ledger.open("agent", test.now));
  cr_assert(test.ledger.fresh("agent", test.now));
}

// Runs on a target that was only disconnected must not be moved because of missing progress.
Test(run_ledger, progress_in_a_delayed_report_counts_from_the_time_of_its_observation) {
  LedgerFixture test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1, 10));
  const RunKey key{"w", {0, 0, 0}, 1};
  const Time first = test.now;
  test.advance(3000);
  schema::AttendRequest old = withRunning(test.report(), 0, 1, 10);
  old.set_running_age_ms(2900);
  test.attend(old);
  const RunTrack& track = test.ledger.runs().at(key);
  cr_assert(track.percentChanged == first);
  cr_assert(track.seen == first + milliseconds(100), "the run is known to have made no progress for 100 ms only");
}

// A report that was sent before this leader was elected may be older than the state in the log.
Test(run_ledger, only_an_agent_that_this_leader_has_answered_ends_runs_of_another_incarnation) {
  LedgerFixture test;
  test.ledger.lead(test.table, test.now, 2);
  test.start(0, 1, "life-2");
  test.attend(test.report("life-1"));
  cr_assert_eq(test.ledger.runs().size(), 1);
  schema::AttendRequest answered = test.report("life-3");
  answered.set_term(2);
  test.attend(answered);
  cr_assert(test.ledger.runs().empty());
}

// The reports of an agent arrive over several connections and through relays, so that a newer one may arrive first.
Test(run_ledger, an_overtaken_report_is_recognised) {
  LedgerFixture test;
  schema::AttendRequest first = test.report("life-1");
  first.set_sequence(1);
  schema::AttendRequest second = test.report("life-2");
  second.set_sequence(2);
  cr_assert_not(test.ledger.isSuperseded(first));
  test.attend(second);
  cr_assert(test.ledger.isSuperseded(first), "the report would end every run of the new incarnation");
  test.incarnation = 2;
  schema::AttendRequest restarted = test.report("life-2");
  restarted.set_sequence(1);
  cr_assert_not(test.ledger.isSuperseded(restarted));
  test.attend(restarted);
  second.set_sequence(3);
  cr_assert(test.ledger.isSuperseded(second), "the report is of a former incarnation of the agent");
}

// A new leader knows no incarnation of any agent yet, and the first report that it receives may have been delayed for
// long.
Test(run_ledger, a_late_report_of_a_former_agent_does_not_block_the_present_one) {
  LedgerFixture test;
  test.ledger.lead(test.table, test.now, 2);
  const auto receive = [&test](std::uint64_t incarnation, std::uint64_t term, std::uint64_t sequence) {
    test.incarnation = incarnation;
    schema::AttendRequest report = test.report();
    report.set_term(term);
    report.set_sequence(sequence);
    if (test.ledger.isSuperseded(report)) return false;
    test.attend(report);
    return true;
  };
  cr_assert(receive(22, 1, 1));
  receive(11, 1, 90);
  cr_assert(receive(22, 2, 2), "this leader has answered the agent");
  cr_assert(receive(22, 2, 3));
  cr_assert_eq(test.ledger.targets().at("agent").incarnation, 22);
  cr_assert(receive(33, 0, 1), "a restarted agent knows no leader");
  cr_assert(receive(33, 2, 2));
  cr_assert_not(receive(22, 2, 4), "this incarnation was answered, but before the present one started");
  cr_assert(receive(33, 2, 3));
  cr_assert_eq(test.ledger.targets().at("agent").incarnation, 33);
}

Test(run_ledger, a_report_of_a_replaced_agent_is_overtaken_although_it_arrives_last) {
  LedgerFixture test;
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
  cr_assert(test.ledger.isSuperseded(former));
  cr_assert_not(test.ledger.isSuperseded(present));
}

// An agent that has terminated since may have counted a run as lapsed which its successor was ordered to start.
Test(run_ledger, only_an_agent_that_this_leader_has_answered_ends_runs) {
  LedgerFixture test;
  test.ledger.lead(test.table, test.now, 2);
  test.start(0, 1);
  schema::AttendRequest report = withEnd(test.report(), 0, 1, schema::RunLapsed);
  report.set_term(1);
  test.attend(report);
  cr_assert_eq(test.ledger.runs().size(), 1);
  cr_assert_not(test.ledger.open("agent", test.now), "the agent is not known to be still running");
  report.set_term(2);
  test.attend(report);
  cr_assert(test.ledger.runs().empty());
}

Test(run_ledger, relays_are_agents_with_recent_and_direct_contact) {
  LedgerFixture test;
  const auto receive = [&test](const std::string& agent, std::uint32_t relay, const std::string& hall, bool relayed) {
    schema::AttendRequest report = test.report();
    report.set_agent(agent);
    report.set_relay(relay);
    report.set_relayed(relayed);
    report.mutable_target()->set_data_hall(hall);
    test.ledger.receiveReport(report, test.now);
  };
  receive("a", 1, "hall-1", false);
  receive("b", 2, "hall-1", false);
  receive("c", 3, "hall-2", false);
  receive("d", 4, "hall-3", true);
  receive("e", 0, "hall-3", false);
  std::map<std::uint32_t, std::string> halls;
  for (const RelayAgent& relay : test.ledger.relays(test.now)) halls[relay.number] = relay.dataHall;
  cr_assert(halls == (std::map<std::uint32_t, std::string>({{1, "hall-1"}, {2, "hall-1"}, {3, "hall-2"}})));
  test.advance(3000);
  cr_assert(test.ledger.relays(test.now).empty());
}

// With leases of full length a gang waits 17 s for a member whose target and agent have been shut down.
Test(run_ledger, an_agent_with_a_draining_target_gets_shorter_leases) {
  LedgerFixture test;
  RunLedgerOptions options;
  options.grant = milliseconds(14000);
  test.ledger = RunLedger(options);
  test.ledger.lead(test.table, test.now);
  test.start(0, 1);
  schema::AttendRequest leaving = withRunning(test.report(), 0, 1);
  leaving.mutable_target()->set_draining(true);
  test.attend(leaving);
  // A lease granted by a former leader may be longer.
  test.advance(14200);
  cr_assert(test.ledger.expire(test.now).empty());
  test.attend(leaving);
  test.advance(5700);
  cr_assert(test.ledger.expire(test.now).empty());
  test.advance(200);
  cr_assert_eq(test.ledger.expire(test.now).size(), 1);
}

Test(run_ledger, runs_of_a_silent_agent_expire_only_after_its_lease) {
  LedgerFixture test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.advance(5500);
  cr_assert(test.ledger.expire(test.now).empty());
  test.advance(400);
  cr_assert_eq(test.ledger.expire(test.now).size(), 1);
}

// Guards against two runs of a task at once. The start of a run that its target has not listed may be in transit when
// its agent falls silent: the next incarnation begins it up to 6 s after the lease and keeps it for up to 6 s.
Test(run_ledger, a_run_that_was_not_listed_expires_once_the_next_incarnation_cannot_have_it) {
  LedgerFixture test;
  test.start(0, 1);
  cr_assert_eq(test.attend(test.report()).size(), 1);
  test.advance(5500 + 6000 + 6122);
  cr_assert(test.ledger.expire(test.now).empty());
  test.advance(400);
  cr_assert_eq(test.ledger.expire(test.now).size(), 1);
}

Test(run_ledger, a_run_that_was_never_ordered_expires_with_the_lease) {
  LedgerFixture test;
  test.attend(test.report());
  test.start(0, 1);
  test.advance(5900);
  cr_assert_eq(test.ledger.expire(test.now).size(), 1);
}

Test(run_ledger, a_new_leader_waits_longer_for_runs_that_are_not_recorded_as_begun) {
  LedgerFixture test(2);
  test.start(0, 1);
  test.start(1, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.recordBegun();
  test.ledger.lead(test.table, test.now);
  test.advance(5900);
  const std::vector<schema::RunEnd> ends = test.ledger.expire(test.now);
  cr_assert_eq(ends.size(), 1);
  cr_assert_eq(ends[0].task().index(), 0);
  test.advance(6000 + 6122);
  cr_assert_eq(test.ledger.expire(test.now).size(), 2);
}

// Guards against a start after the task's end was noted. The agent that was ordered to start the run has ended, and
// with it what it knew of calls in transit.
Test(run_ledger, a_run_that_a_former_agent_may_have_started_is_not_lost_while_its_start_is_in_transit) {
  LedgerFixture test;
  test.start(0, 1, "i-1@1");
  cr_assert_eq(test.attend(test.report("i-1@1")).size(), 1);
  ++test.incarnation;
  schema::AttendRequest next = test.report("i-1@2");
  next.set_former_calls_in_transit(true);
  cr_assert(test.ledger.receiveReport(next, test.now).empty());
  next.set_former_calls_in_transit(false);
  cr_assert_eq(test.ledger.receiveReport(next, test.now).size(), 1);
}

Test(run_ledger, an_order_tells_an_agent_that_a_former_one_may_have_been_ordered) {
  LedgerFixture test;
  test.start(0, 1);
  const std::vector<schema::RunOrder> first = test.attend(test.report());
  cr_assert_eq(first.size(), 1);
  cr_assert_not(first[0].ordered_before());
  ++test.incarnation;
  const std::vector<schema::RunOrder> second = test.attend(test.report());
  cr_assert_eq(second.size(), 1);
  cr_assert(second[0].ordered_before());
}

Test(run_ledger, a_new_leader_assumes_leases_of_the_former_one) {
  LedgerFixture test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.recordBegun();
  test.advance(60000);
  test.ledger.lead(test.table, test.now);
  cr_assert(test.ledger.expire(test.now).empty());
  test.advance(5400);
  cr_assert(test.ledger.expire(test.now).empty());
  test.advance(500);
  cr_assert_eq(test.ledger.expire(test.now).size(), 1);
}

// A replica that has restarted applies the log of former leaders only once it leads.
Test(run_ledger, what_former_leaders_recorded_counts_also_if_it_is_applied_after_the_change_of_leader) {
  LedgerFixture test;
  schema::RecordRuns records;
  schema::StartReport* row = records.add_lived();
  *row->mutable_task() = makeTaskId("w", {0, 0, 0});
  row->set_run(1);
  *records.add_begun() = *row;
  records.set_lease_ms(10000);
  test.start(0, 1);
  test.commit(records);
  test.ledger.readRecords(test.table);
  cr_assert(test.ledger.lived({"w", {0, 0, 0}, 1}, 1));
  test.advance(10200);
  cr_assert(test.ledger.expire(test.now).empty(), "a lease of the recorded length may still be valid");
  test.advance(200);
  cr_assert_eq(test.ledger.expire(test.now).size(), 1, "the run has begun, so that it cannot begin late");
}

// Guards against two runs of a task at once after a change of settings that shortens leases: an agent that is silent
// from the change of leader holds its runs under a lease of the former length.
Test(run_ledger, a_new_leader_with_shorter_leases_assumes_leases_of_the_recorded_length) {
  LedgerFixture test;
  schema::RecordRuns lease;
  lease.set_lease_ms(10000);
  test.commit(lease);
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.recordBegun();
  RunLedgerOptions options;
  options.grant = milliseconds(2000);
  test.ledger = RunLedger(options);
  test.ledger.lead(test.table, test.now);
  test.advance(10200);
  cr_assert(test.ledger.expire(test.now).empty());
  cr_assert_eq(test.ledger.leaseToRecord(test.table.leaseMs(), test.now), 0);
  test.advance(200);
  cr_assert_eq(test.ledger.expire(test.now).size(), 1);
  cr_assert_eq(test.ledger.leaseToRecord(test.table.leaseMs(), test.now), 2000);
}

// Guards against tasks that wait for trial starts after an outage of leader and targets: a new leader has not seen
// their runs, and would suspect each of them of having crashed its target.
Test(run_ledger, a_new_leader_does_not_suspect_runs_that_lived_under_the_former_one) {
  LedgerFixture test;
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.advance(2100);
  test.attend(withRunning(test.report(), 0, 1));
  const RunKey key{"w", {0, 0, 0}, 1};
  cr_assert(test.ledger.lived(key, 1));
  schema::RecordRuns runs;
  schema::StartReport* row = runs.add_lived();
  *row->mutable_task() = makeTaskId("w", {0, 0, 0});
  row->set_run(1);
  test.commit(runs);
  test.ledger.lead(test.table, test.now);
  cr_assert(test.ledger.lived(key, 1), "the new leader does not know that the run has survived its start");
  ++test.incarnation;
  std::vector<schema::RunEnd> ends = test.ledger.receiveReport(test.report("life-2"), test.now);
  cr_assert_eq(ends.size(), 1);
  ends[0].set_lived(test.ledger.lived(key, 1));
  test.commitEnds(ends);
  cr_assert_not(test.table.find("w")->task({0, 0, 0})->crashes.suspected());
}

Test(run_ledger, longer_leases_are_recorded_before_they_are_granted) {
  LedgerFixture test;
  cr_assert_eq(test.ledger.leaseToRecord(test.table.leaseMs(), test.now), 5500);
  schema::RecordRuns lease;
  lease.set_lease_ms(5500);
  test.commit(lease);
  cr_assert_eq(test.ledger.leaseToRecord(test.table.leaseMs(), test.now), 0);
  schema::StateSnapshot snapshot;
  test.table.save(snapshot);
  WorkflowTable restored;
  restored.load(snapshot);
  cr_assert_eq(restored.leaseMs(), 5500);
}

Test(run_ledger, an_unknown_run_is_stopped) {
  LedgerFixture test;
  const std::vector<schema::RunOrder> orders = test.attend(withRunning(test.report(), 0, 9));
  cr_assert_eq(orders.size(), 1);
  cr_assert_eq(orders[0].kind(), schema::OrderStop);
  cr_assert_eq(orders[0].run(), 9);
}

Test(run_ledger, runs_of_a_cancelled_workflow_are_stopped) {
  LedgerFixture test;
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

Test(run_ledger, an_end_counts_only_from_the_target_of_the_run) {
  LedgerFixture test;
  test.start(0, 1);
  test.attend(withEnd(test.report(""), 0, 1, schema::RunDone));
  cr_assert_eq(test.ledger.runs().size(), 1);
  test.attend(withEnd(test.report(), 0, 1, schema::RunDone));
  cr_assert_eq(test.table.find("w")->record.phase(), schema::WorkflowCompleted);
  cr_assert(test.attend(withEnd(test.report(), 0, 1, schema::RunDone)).empty(), "the same end may be reported twice");
}

Test(run_ledger, runs_of_a_former_incarnation_with_the_same_identity_end_with_it) {
  LedgerFixture test;
  test.start(0, 1, "i-1@1000");
  test.attend(withRunning(test.report("i-1@1000"), 0, 1));
  test.attend(test.report("i-1@2000"));
  cr_assert(test.ledger.runs().empty());
}

// The target restarted between the order and the start: the run is on the intended target, but in another incarnation
// of it. The run is over only once that incarnation has ended it.
Test(run_ledger, a_run_started_by_a_later_incarnation_is_over_only_after_it_ended_there) {
  LedgerFixture test;
  test.start(0, 1, "i-1@1000");
  test.attend(test.report("i-1@1000"));
  const std::vector<schema::RunOrder> orders = test.attend(withRunning(test.report("i-1@2000"), 0, 1));
  cr_assert_eq(test.ledger.runs().size(), 1, "counted as over while it runs");
  cr_assert_eq(orders.size(), 1);
  cr_assert_eq(orders[0].kind(), schema::OrderStop);
  cr_assert(orders[0].target() == "i-1@2000");
  test.attend(withEnd(test.report("i-1@2000"), 0, 1, schema::RunDone));
  cr_assert_eq(test.table.find("w")->record.phase(), schema::WorkflowCompleted,
               "the run was done before the stop order arrived");
}

Test(run_ledger, a_target_with_another_identity_cannot_have_started_the_run) {
  LedgerFixture test;
  test.start(0, 1, "i-1@1000");
  test.attend(withRunning(test.report("i-2@2000"), 0, 1));
  cr_assert(test.ledger.runs().empty());
}

Test(run_ledger, the_other_members_of_a_finished_gang_get_time_to_end) {
  LedgerFixture test(2, true);
  test.start(0, 1);
  test.start(1, 1);
  test.attend(withRunning(withRunning(test.report(), 0, 1), 1, 1));
  cr_assert(test.attend(withEnd(test.report(), 0, 1, schema::RunDone)).empty());
  test.advance(800);
  cr_assert_eq(test.attend(test.report()).size(), 1, "a member that is still running is stopped");
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
  cr_assert(health.onProbation("t", now + milliseconds(5000)), "no run has succeeded there yet");
  health.stalled("t", now);
  health.ended("t", "w3", schema::RunDone, now);
  cr_assert_not(health.suspect("t", now), "a run that is done there clears the target");
  cr_assert_not(health.onProbation("t", now));
  health.ended("t", "w4", schema::RunVoided, now);
  cr_assert(health.paused("t", now));
}

// Guards against an unlimited probation: a gang that needed several places of a target on probation waited forever,
// since no other task arrived for a trial start there.
Test(run_ledger, probation_of_a_target_without_runs_is_limited) {
  TargetHealth health;
  health.stalled("t", Time(milliseconds(0)));
  const Time afterSuspicion = Time(TargetHealthOptions().firstSuspicion);
  cr_assert(health.onProbation("t", afterSuspicion));
  cr_assert(health.onProbation("t", afterSuspicion + milliseconds(10000)),
            "probation lasts longer than most tasks run");
  cr_assert_not(health.onProbation("t", afterSuspicion + milliseconds(30000)));
  health.stalled("t", afterSuspicion + milliseconds(30000));
  cr_assert(health.suspect("t", afterSuspicion + milliseconds(37000)), "a second suspicion nevertheless lasts longer");
}

Test(run_ledger, a_target_is_doubted_from_a_failure_until_a_run_is_done_there) {
  TargetHealth health;
  const Time now{milliseconds(1000)};
  health.ended("t1", "w1", schema::RunFailed, now);
  health.stalled("t2", now);
  cr_assert((health.doubted(now) == std::set<std::string>{"t1", "t2"}));
  health.ended("t1", "w2", schema::RunDone, now);
  cr_assert((health.doubted(now) == std::set<std::string>{"t2"}));
  cr_assert(health.doubted(now + milliseconds(16000)).empty(),
            "an unlimited doubt would keep the target without runs forever");
  for (const char* target : {"t3", "t4", "t5"}) health.ended(target, "w3", schema::RunFailed, now);
  cr_assert((health.doubted(now) == std::set<std::string>{"t2"}), "the fault is in w3 itself");
}

// A target that has not returned after this time is not expected to return.
Test(run_ledger, a_target_is_awaited_until_its_runs_would_expire) {
  LedgerFixture test;
  cr_assert_not(test.ledger.awaited("agent", test.now), "the agent is unknown");
  schema::AttendRequest silent = test.report();
  silent.mutable_target()->set_reachable(false);
  test.attend(test.report());
  test.advance(5000);
  test.attend(silent);
  cr_assert_not(test.ledger.open("agent", test.now));
  cr_assert(test.ledger.awaited("agent", test.now));
  test.advance(1000);
  test.attend(silent);
  cr_assert_not(test.ledger.awaited("agent", test.now), "the agent reports, but its target is unreachable");
  test.attend(test.report());
  cr_assert(test.ledger.awaited("agent", test.now));
  schema::AttendRequest leaving = test.report();
  leaving.mutable_target()->set_draining(true);
  test.attend(leaving);
  cr_assert_not(test.ledger.awaited("agent", test.now));
}

Test(run_ledger, no_start_is_ordered_while_the_end_of_the_run_is_being_committed) {
  LedgerFixture test;
  test.attend(test.report());
  test.start(0, 1);
  test.advance(6000);
  cr_assert_eq(test.ledger.expire(test.now).size(), 1);
  // The agent reports again before the end is committed: the next run may start elsewhere at any time.
  cr_assert(test.attend(test.report()).empty());
}

Test(run_ledger, workflows_that_fail_on_all_targets_do_not_make_targets_suspect) {
  TargetHealth health;
  const Time now = Time(milliseconds(1000));
  for (const char* failingWorkflow : {"p1", "p2"}) {
    for (const char* target : {"t1", "t2"}) health.ended(target, failingWorkflow, schema::RunFailed, now);
  }
  cr_assert(health.suspect("t1", now));
  cr_assert(health.tooManySuspect({"t1", "t2", "t3"}, now), "most targets cannot be at fault at once");
  for (const char* failingWorkflow : {"p1", "p2"}) health.ended("t3", failingWorkflow, schema::RunFailed, now);
  cr_assert_not(health.suspect("t1", now), "a workflow that failed on three targets is at fault itself");
  cr_assert_not(health.onProbation("t1", now));
}

// A restarted agent knows no target yet but gets a lease nevertheless. It may find the target while an order is in
// transit; the order then starts the run.
Test(run_ledger, a_run_does_not_expire_while_an_order_in_transit_may_start_it) {
  LedgerFixture test;
  test.start(0, 1);
  test.attend(test.report());
  test.incarnation = 2;
  Time orderedAt{};
  for (int i = 0; i < 70; ++i) {
    for (const schema::RunOrder& order : test.attend(test.report(""))) {
      if (order.kind() == schema::OrderStart) orderedAt = test.now;
    }
    test.advance(100);
    if (test.ledger.expire(test.now).empty()) continue;
    cr_assert(orderedAt == Time{} || test.now > orderedAt + test.ledger.options().grant,
              "expired %lld ms after a start was ordered under a lease of %lld ms",
              static_cast<long long>(toMilliseconds(test.now - orderedAt)),
              static_cast<long long>(toMilliseconds(test.ledger.options().grant)));
    return;
  }
}

// A lapsed run is certain not to be started again only while the reporting agent exists: the next incarnation of the
// agent may have started the run since.
Test(run_ledger, a_new_leader_rejects_the_report_of_a_former_agent_that_a_run_lapsed) {
  LedgerFixture test;
  test.ledger.lead(test.table, test.now, 1);
  test.start(0, 1);
  schema::AttendRequest late = test.report();
  late.set_term(1);
  test.attend(late);
  schema::EndReport* end = late.add_ends();
  *end->mutable_task() = makeTaskId("w", {0, 0, 0});
  end->set_run(1);
  end->set_kind(schema::RunLapsed);
  end->set_reason("the target is silent");
  late.set_sequence(1);  // delayed in transit while the agent restarts
  test.incarnation = 2;
  schema::AttendRequest next = test.report();
  next.set_term(1);
  cr_assert_eq(test.attend(next).size(), 1, "the restarted agent is ordered to start the run");
  test.advance(1000);
  test.ledger.lead(test.table, test.now, 2);
  cr_assert_not(test.ledger.isSuperseded(late));
  cr_assert(test.ledger.receiveReport(late, test.now).empty(), "the run continues under the restarted agent");
}

// A new leader does not know former incarnations of agents, so it cannot distinguish a late report of one from that
// of a restarted agent.
Test(run_ledger, a_late_report_of_a_former_agent_does_not_displace_the_present_one) {
  LedgerFixture test;
  test.ledger.lead(test.table, test.now, 2);
  schema::AttendRequest late = test.report();
  late.set_term(1);
  late.set_sequence(900);
  test.incarnation = 2;
  schema::AttendRequest present = test.report();
  present.set_term(2);
  present.set_sequence(5);
  test.attend(present);
  if (!test.ledger.isSuperseded(late)) test.attend(late);
  present.set_sequence(6);
  cr_assert_not(test.ledger.isSuperseded(present), "every later report of the agent is refused in this term");
}

namespace {

/** Adds what the agent observed of a run that was lost with its target. \param afterMs time from start to loss, ms */
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

Test(run_ledger, a_run_lost_with_its_target_records_the_crash_that_its_agent_observed) {
  LedgerFixture test;
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

Test(run_ledger, a_task_whose_start_was_never_ordered_is_not_suspected) {
  LedgerFixture test;
  test.attend(test.report());
  test.start(0, 1);
  test.attend(test.report("life-2"));
  cr_assert_eq(test.table.find("w")->suspectTasks.size(), 0);
}

// A restarted agent does not know the order that its former incarnation carried out.
Test(run_ledger, a_task_started_by_a_former_agent_is_suspected_when_its_target_is_lost) {
  LedgerFixture test;
  test.attend(test.report());
  test.start(0, 1);
  test.attend(test.report());
  test.incarnation = 2;
  test.attend(test.report("life-2"));
  cr_assert_eq(test.table.find("w")->suspectTasks.size(), 1);
}

Test(run_ledger, a_task_ordered_by_a_former_leader_is_suspected_unless_its_target_was_draining) {
  for (const bool leaving : {false, true}) {
    LedgerFixture test;
    test.attend(test.report());
    test.start(0, 1);
    test.ledger.lead(test.table, test.now);
    schema::AttendRequest last = test.report();
    last.mutable_target()->set_draining(leaving);
    test.attend(last);
    test.attend(test.report("life-2"));
    cr_assert_eq(test.table.find("w")->suspectTasks.size(), leaving ? 0 : 1);
  }
}

// After a restart of all replicas a leader begins before the last starts of its predecessor are applied.
Test(run_ledger, a_task_ordered_by_a_former_leader_is_suspected_although_its_start_is_applied_late) {
  for (const bool inherited : {false, true}) {
    LedgerFixture test;
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
    cr_assert_eq(test.table.find("w")->suspectTasks.size(), inherited ? 1 : 0);
  }
}

// Many targets are lost at the same time: runs that had been there for a while did not cause the loss, but runs that
// had just been started may have.
Test(run_ledger, the_loss_of_many_targets_makes_only_just_started_tasks_suspect) {
  for (const schema::CrashKind kind : {schema::CrashUnclear, schema::CrashAtStart}) {
    LedgerFixture test;
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
    cr_assert_eq(test.table.find("w")->suspectTasks.size(), kind == schema::CrashAtStart ? 1 : 0);
  }
}

namespace {

/** In a fleet of 100 targets and one more, a run that has been there for a while is lost with its target, together with
 * other targets.
 * \param others number of other targets lost at the same time \param sameWorkflow whether each of them runs another
 * task of the workflow \returns number of suspect tasks */
unsigned suspectsAfterLoss(unsigned others, bool sameWorkflow) {
  constexpr unsigned Fleet = 100;
  LedgerFixture test(1 + others);
  const auto report = [&test](unsigned number, bool reachable) {
    schema::AttendRequest request = test.report("life-of-" + std::to_string(number));
    request.set_agent("other-" + std::to_string(number));
    request.mutable_target()->set_reachable(reachable);
    test.commitEnds(test.ledger.receiveReport(request, test.now));
  };
  test.attend(test.report());
  for (unsigned i = 1; i <= Fleet; ++i) report(i, true);
  test.start(0, 1);
  for (unsigned i = 1; sameWorkflow && i <= others; ++i) {
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
  test.advance(300);
  test.attend(withLost(test.report("life-2"), 1, schema::CrashUnclear, 900));
  return test.table.find("w")->suspectTasks.size();
}

}  // namespace

// Guards against a limit relative to the size of the fleet: an eighth of a large fleet had to be lost at once before
// longer runs were no longer suspected.
Test(run_ledger, the_loss_of_a_few_targets_at_once_clears_longer_runs_in_a_fleet_of_any_size) {
  cr_assert_eq(suspectsAfterLoss(1, false), 1);
  cr_assert_eq(suspectsAfterLoss(2, false), 0);
  cr_assert_eq(suspectsAfterLoss(10, false), 0);
}

// Guards against a planner that copies the names, labels and capacities of all targets in each advance.
Test(run_ledger, descriptions_change_only_with_the_reported_descriptions_of_targets) {
  LedgerFixture test;
  test.attend(test.report());
  test.start(0, 1);
  const std::uint64_t before = test.ledger.descriptions();
  for (std::uint32_t percent = 1; percent < 50; ++percent) {
    test.advance(100);
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
  cr_assert_neq(test.ledger.descriptions(), after, "a target that the plan does not contain yet was added");
}

// Guards against premature reports that guarantees exceed the total capacity: after a cold start, all agents had
// reported, but 810 targets were still arriving.
Test(run_ledger, targets_are_arriving_until_few_of_the_known_ones_are_new) {
  LedgerFixture test;
  for (unsigned i = 1; i <= 100; ++i) {
    schema::AttendRequest request = test.report("");
    request.set_agent("other-" + std::to_string(i));
    test.ledger.receiveReport(request, test.now);
  }
  test.advance(3000);
  const auto reportTarget = [&test](unsigned number) {
    schema::AttendRequest request = test.report("life-of-" + std::to_string(number));
    request.set_agent("other-" + std::to_string(number));
    test.ledger.receiveReport(request, test.now);
  };
  for (unsigned i = 1; i <= 100; ++i) {
    reportTarget(i);
    test.advance(40);
  }
  cr_assert(test.ledger.arriving(test.now), "62 of 100 targets arrived within the last 2.5 s");
  test.advance(2600);
  cr_assert_not(test.ledger.arriving(test.now));
  reportTarget(101);
  cr_assert_not(test.ledger.arriving(test.now), "there is one new target among a hundred");
}

Test(run_ledger, lost_targets_that_ran_the_same_workflow_do_not_clear_it) {
  cr_assert_eq(suspectsAfterLoss(10, true), 1);
}

Test(run_ledger, a_run_has_lived_once_it_was_seen_for_the_start_phase) {
  LedgerFixture test;
  test.attend(test.report());
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.advance(1900);
  test.attend(withRunning(test.report(), 0, 1));
  cr_assert_not(test.ledger.lived({"w", {0, 0, 0}, 1}, 1));
  test.advance(200);
  test.attend(withRunning(test.report(), 0, 1));
  cr_assert(test.ledger.lived({"w", {0, 0, 0}, 1}, 1));
}

// A gang works only once all members are running; until then no member can show that it survives its start phase.
Test(run_ledger, a_gang_member_has_lived_only_while_all_members_are_running) {
  LedgerFixture test(2, true);
  test.attend(test.report());
  test.start(0, 1);
  test.start(1, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.advance(3000);
  test.attend(withRunning(withRunning(test.report(), 0, 1), 1, 1));
  cr_assert_not(test.ledger.lived({"w", {0, 0, 0}, 1}, 2));
  test.advance(2000);
  test.attend(withRunning(withRunning(test.report(), 0, 1), 1, 1));
  cr_assert(test.ledger.lived({"w", {0, 0, 0}, 1}, 2));
}

namespace {

/** \returns a ledger whose agent got a start order for run 1 of task 0 on life-1. */
LedgerFixture withOrderedStart() {
  LedgerFixture test;
  test.attend(test.report());
  test.start(0, 1);
  test.attend(test.report());
  return test;
}

const RunKey OrderedRun{"w", {0, 0, 0}, 1};

}  // namespace

// Guards against closing a healthy target: starts are also voided where the target was about to leave, or where the run
// was to be stopped before it began, as with the other members of a gang that lost one.
Test(run_ledger, a_voided_start_counts_only_against_a_target_that_could_have_begun_it) {
  LedgerFixture test = withOrderedStart();
  cr_assert(test.ledger.blamesTarget(OrderedRun));
  test.ledger.requestStop(OrderedRun);
  cr_assert_not(test.ledger.blamesTarget(OrderedRun), "its stop was requested");
  LedgerFixture draining = withOrderedStart();
  schema::AttendRequest leaving = draining.report();
  leaving.mutable_target()->set_draining(true);
  draining.ledger.receiveReport(leaving, draining.now);
  cr_assert_not(draining.ledger.blamesTarget(OrderedRun), "its target drains");
  LedgerFixture lost = withOrderedStart();
  schema::AttendRequest silent = lost.report();
  silent.mutable_target()->set_reachable(false);
  lost.ledger.receiveReport(silent, lost.now);
  cr_assert_not(lost.ledger.blamesTarget(OrderedRun), "its target is out of reach");
  lost.ledger.receiveReport(lost.report(), lost.now);
  cr_assert_not(lost.ledger.blamesTarget(OrderedRun), "its target was out of reach after the order");
  LedgerFixture restarted = withOrderedStart();
  restarted.ledger.receiveReport(restarted.report("life-2"), restarted.now);
  cr_assert_not(restarted.ledger.blamesTarget(OrderedRun), "its target was restarted");
  LedgerFixture agent = withOrderedStart();
  agent.incarnation = 2;
  agent.ledger.receiveReport(agent.report(), agent.now);
  cr_assert_not(agent.ledger.blamesTarget(OrderedRun), "another incarnation of the agent got the order");
}

// A new leader does not know what became of an order of its predecessor, and must not close a healthy target for it.
Test(run_ledger, a_start_that_a_former_leader_ordered_counts_against_no_target) {
  LedgerFixture test = withOrderedStart();
  test.ledger.lead(test.table, test.now);
  test.attend(test.report());
  cr_assert_not(test.ledger.blamesTarget(OrderedRun));
}

// Guards against a target that counts as working because a run that began long ago is listed again.
Test(run_ledger, a_run_is_newly_begun_only_once) {
  LedgerFixture test = withOrderedStart();
  cr_assert(test.ledger.newlyBegun(test.report()).empty());
  const schema::AttendRequest running = withRunning(test.report(), 0, 1);
  cr_assert_eq(test.ledger.newlyBegun(running).size(), 1);
  cr_assert(test.ledger.hasUnconfirmedStart("agent"));
  test.attend(running);
  cr_assert(test.ledger.newlyBegun(running).empty());
  cr_assert_not(test.ledger.hasUnconfirmedStart("agent"));
  test.incarnation = 2;
  test.attend(test.report());
  cr_assert(test.ledger.newlyBegun(withRunning(test.report(), 0, 1)).empty(), "only its agent was restarted");
}

// ---- copies of slow runs

namespace {

schema::AttendRequest fromSecondAgent(schema::AttendRequest report, const std::string& target = "copy-1") {
  report.set_agent("agent2");
  report.mutable_target()->set_id(target);
  return report;
}

/** \class CopyFixture
 * \brief A run on "agent" and its copy on "agent2", both reported as running.
 */
class CopyFixture : public LedgerFixture {
 public:
  CopyFixture() : LedgerFixture(1, false, true) {
    attend(report());
    attend(fromSecondAgent(report()));
    start(0, 1);
    attend(withRunning(report(), 0, 1));
    startCopy(0, 2, 1);
    attend(withRunning(fromSecondAgent(report()), 0, 2));
  }
  const TaskState& task() const { return *table.find("w")->task({0, 0, 0}); }
};

}  // namespace

// The losing run would go on until its own end if it were treated like the members of a gang that is done, which end
// by themselves.
Test(run_ledger, the_losing_run_is_stopped_at_once) {
  for (const bool copyLoses : {false, true}) {
    CopyFixture test;
    const schema::AttendRequest first = withRunning(test.report(), 0, 1, 40);
    const schema::AttendRequest second = withRunning(fromSecondAgent(test.report()), 0, 2, 60);
    test.attend(first);
    test.attend(second);
    const schema::AttendRequest& loser = copyLoses ? second : first;
    test.attend(
        withEnd(copyLoses ? test.report() : fromSecondAgent(test.report()), 0, copyLoses ? 1 : 2, schema::RunDone));
    cr_assert(test.task().done);
    cr_assert(test.ledger.hasDueOrders(loser.agent(), test.table, test.now));
    const std::vector<schema::RunOrder> orders = test.attend(loser);
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].kind(), schema::OrderStop);
    cr_assert_eq(orders[0].run(), copyLoses ? 2 : 1);
  }
}

// A copy whose start was committed and not yet ordered must not begin after the task is done.
Test(run_ledger, a_copy_is_not_started_after_the_task_is_done) {
  LedgerFixture test(1, false, true);
  test.attend(test.report());
  test.attend(fromSecondAgent(test.report()));
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.startCopy(0, 2, 1);
  test.attend(withEnd(test.report(), 0, 1, schema::RunDone));
  for (const schema::RunOrder& order : test.attend(fromSecondAgent(test.report()))) {
    cr_assert_neq(order.kind(), schema::OrderStart);
  }
}

// A new leader has to order the copy that its predecessor committed, and must not order the first run again.
Test(run_ledger, a_leader_lost_between_the_two_starts_leaves_both_runs_to_the_next_one) {
  LedgerFixture test(1, false, true);
  test.attend(test.report());
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.startCopy(0, 2, 1);
  test.ledger.lead(test.table, test.now);
  cr_assert_eq(test.ledger.runs().size(), 2);
  cr_assert(test.attend(withRunning(test.report(), 0, 1)).empty());
  const std::vector<schema::RunOrder> orders = test.attend(fromSecondAgent(test.report()));
  cr_assert_eq(orders.size(), 1);
  cr_assert_eq(orders[0].kind(), schema::OrderStart);
  cr_assert_eq(orders[0].run(), 2);
}

// The end of a copy with its target must not end the first run, nor free the task for a third one.
Test(run_ledger, a_copy_on_a_target_that_restarts_ends_alone) {
  CopyFixture test;
  test.attend(fromSecondAgent(test.report(), "copy-2"));
  cr_assert_eq(test.ledger.runs().size(), 1);
  cr_assert_eq(test.task().active.size(), 1);
  cr_assert_eq(test.task().active[0].number(), 1);
  cr_assert_eq(test.task().failures, 0);
  cr_assert_not(test.table.find("w")->hasWaitingTasks({0, 0}));
  test.attend(withEnd(test.report(), 0, 1, schema::RunDone));
  cr_assert(test.table.find("w")->ended());
}

// The silence of one agent must not end the other run, and the task must not be started a third time.
Test(run_ledger, one_of_two_runs_lapses_alone) {
  CopyFixture test;
  for (int i = 0; i < 8; ++i) {
    test.advance(1000);
    test.attend(withRunning(fromSecondAgent(test.report()), 0, 2));
  }
  const std::vector<schema::RunEnd> ends = test.ledger.expire(test.now);
  cr_assert_eq(ends.size(), 1);
  cr_assert_eq(ends[0].run(), 1);
  test.commitEnds(ends);
  cr_assert_eq(test.task().active.size(), 1);
  cr_assert_not(test.table.find("w")->hasWaitingTasks({0, 0}));
}

// Both runs of a cancelled workflow occupy capacity until they are stopped.
Test(run_ledger, both_runs_of_a_cancelled_workflow_are_stopped) {
  CopyFixture test;
  test.table.cancel("w", 5);
  for (const schema::AttendRequest& report :
       {withRunning(test.report(), 0, 1), withRunning(fromSecondAgent(test.report()), 0, 2)}) {
    const std::vector<schema::RunOrder> orders = test.attend(report);
    cr_assert_eq(orders.size(), 1);
    cr_assert_eq(orders[0].kind(), schema::OrderStop);
  }
}

// The late end of the losing run must be accepted, or its target could never discard it, and must change nothing.
Test(run_ledger, the_end_of_the_losing_run_is_committed_without_effect) {
  CopyFixture test;
  test.attend(withEnd(fromSecondAgent(test.report()), 0, 2, schema::RunDone));
  test.attend(withEnd(test.report(), 0, 1, schema::RunFailed));
  cr_assert(test.ledger.runs().empty());
  cr_assert_eq(test.task().failures, 0);
  cr_assert_eq(test.table.find("w")->record.phase(), schema::WorkflowCompleted);
}

// An order in transit could begin the copy after the end of the first run was committed.
Test(run_ledger, an_end_waits_while_an_order_for_the_other_run_is_in_transit) {
  LedgerFixture test(1, false, true);
  test.attend(test.report());
  test.attend(fromSecondAgent(test.report()));
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  test.startCopy(0, 2, 1);
  cr_assert_eq(test.attend(fromSecondAgent(test.report())).size(), 1);
  const schema::AttendRequest done = withEnd(test.report(), 0, 1, schema::RunDone);
  test.attend(done);
  cr_assert_not(test.table.find("w")->task({0, 0, 0})->done);
  cr_assert_eq(test.ledger.withholds("agent")->withheldEnd, 5, "the end must not be acknowledged");
  cr_assert(test.ledger.withholds("agent")->withheldFor == "agent2");
  const std::vector<schema::RunOrder> stops = test.attend(fromSecondAgent(test.report()));
  cr_assert_eq(stops.size(), 1);
  cr_assert_eq(stops[0].kind(), schema::OrderStop);
  test.attend(withEnd(fromSecondAgent(test.report()), 0, 2, schema::RunStopped));
  test.attend(done);
  cr_assert(test.table.find("w")->task({0, 0, 0})->done);
  cr_assert_eq(test.ledger.withholds("agent"), nullptr);
}

// A copy whose start is committed while the end of the first run is being committed must not be ordered.
Test(run_ledger, a_copy_is_not_ordered_while_the_end_of_the_other_run_is_being_committed) {
  LedgerFixture test(1, false, true);
  test.attend(test.report());
  test.attend(fromSecondAgent(test.report()));
  test.start(0, 1);
  test.attend(withRunning(test.report(), 0, 1));
  std::vector<schema::RunEnd> ends = test.ledger.receiveReport(withEnd(test.report(), 0, 1, schema::RunDone), test.now);
  cr_assert_eq(ends.size(), 1);
  test.startCopy(0, 2, 1);
  for (const schema::RunOrder& order : test.attend(fromSecondAgent(test.report()))) {
    cr_assert_neq(order.kind(), schema::OrderStart);
  }
  test.commitEnds(std::move(ends));
  cr_assert(test.table.find("w")->task({0, 0, 0})->done);
}

// After a change of leader neither run is known to have begun. The ends of both must not wait for each other for good.
Test(run_ledger, the_ends_of_two_runs_that_are_both_done_do_not_wait_for_each_other) {
  CopyFixture test;
  test.ledger.lead(test.table, test.now);
  test.attend(withEnd(test.report(), 0, 1, schema::RunDone));
  cr_assert_not(test.task().done, "the copy may not have begun yet");
  test.attend(withEnd(fromSecondAgent(test.report()), 0, 2, schema::RunDone));
  cr_assert(test.task().done);
  test.attend(withEnd(test.report(), 0, 1, schema::RunDone));
  cr_assert(test.ledger.runs().empty());
}

// If lost work were the same at any time since the newest checkpoint, runs would be stopped as often just before a
// checkpoint as just after one.
Test(run_ledger, the_time_since_the_newest_checkpoint_is_known_from_reports) {
  LedgerFixture test;
  test.start(0, 1);
  test.attend(test.report());
  const auto reportCheckpoint = [&test](const std::string& checkpoint) {
    schema::AttendRequest report = withRunning(test.report(), 0, 1);
    report.mutable_running(0)->set_checkpoint(checkpoint);
    test.attend(report);
  };
  const auto lostMs = [&test] { return sinceCheckpointMs(test.ledger.runs().begin()->second, test.now); };
  test.advance(700);
  cr_assert_eq(lostMs(), 700.0, "there is no checkpoint yet");
  reportCheckpoint("first");
  cr_assert_eq(lostMs(), 0.0);
  test.advance(400);
  reportCheckpoint("first");
  cr_assert_eq(lostMs(), 400.0, "the same checkpoint");
  test.advance(400);
  reportCheckpoint("second");
  test.advance(100);
  cr_assert_eq(lostMs(), 100.0);
}
