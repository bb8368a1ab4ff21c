// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The agent may report a run as over only when the outcome is certain.
//
// These tests guard against two concurrent runs of one task. A start got no answer, so the agent stopped the run. The
// overloaded target refused the stop with 429 and did nothing. The agent took the refusal for a confirmation, did not
// find the run in the target's lists and reported that it had never started. The leader placed the task elsewhere, and
// 4.1 s after the refusal the first target carried out the delayed start:
//
//     7.2015 RunInDoubt  run=1
//     7.2016 StopRefused run=1 reason=429
//     7.2023 RunSettled  run=1 kind=RunVoided reason="never began"
//     8.3713 RunStarted  run=3, on another target
//     11.347 the first target starts run 1
//
// The other tests check similar cases: a delayed heartbeat does not show the target's present incarnation, and a copy
// of an order that arrives after the run was settled does not start the run.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

#include "test/AgentFixture.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

/** Orders one run, and records whether the run was reported as voided, and whether an end was reported before the
 * target accepted a stop. */
class OutcomeLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    for (const schema::EndReport& end : request.ends()) {
      reportedVoided = reportedVoided || end.kind() == schema::RunVoided;
      reportedTooSoon = reportedTooSoon || target->stopsAccepted == 0;
    }
    schema::AttendReply answer = leaseReply(LongLeaseMs);
    if (!orderOnce(request, answer)) co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  bool reportedVoided = false;
  bool reportedTooSoon = false;
};

/** Records the incarnations of the target in the order in which they are reported. */
class IncarnationsLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    const std::string& incarnation = request.target().id();
    if (!incarnation.empty() && (incarnations.empty() || incarnations.back() != incarnation))
      incarnations.push_back(incarnation);
    if (request.wait_ms() > 0) co_await sleepFor(milliseconds(20));
    co_return leaseReply(LongLeaseMs);
  }
  std::vector<std::string> incarnations;
};

/** Orders one run of incarnation i-1 once `orders` is set, and answers in term 2 from then on. */
class OrderingLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    co_await sleepFor(milliseconds(20));
    schema::AttendReply answer = leaseReply(LongLeaseMs);
    if (orders) answer.set_term(2);
    if (orders) orderOnce(request, answer);
    co_return answer;
  }
  bool orders = false;
};

/** Orders one run. A copy of the order is sent before the run's end is reported, and arrives afterwards. */
class CopyLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = leaseReply(LongLeaseMs);
    if (request.ends_size() > 0 && !settled) {
      settled = true;
      startsBefore = target->starts;
      target->refusesStarts = false;
    }
    if (orderOnce(request, answer)) co_return answer;
    if (m_ordered && !m_copied && request.wait_ms() > 0) {
      m_copied = true;
      for (int i = 0; i < 100 && !settled; ++i) co_await sleepFor(milliseconds(10));
      co_await sleepFor(milliseconds(100));
      copyArrived = settled;
      *answer.add_orders() = startOrder();
      co_return answer;
    }
    co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  bool settled = false;
  bool copyArrived = false;  ///< the copy was delivered after the end was reported
  unsigned startsBefore = 0;

 private:
  bool m_copied = false;
};

/** A leader with a real ledger, in which the run is active from before the agent's restart. Answers with orders are
 * delayed by 750 ms. */
class LedgerLeader : public FakeLeader {
 public:
  LedgerLeader() : m_ledger(options()) {
    schema::Workflow workflow;
    workflow.set_id(startOrder().task().workflow());
    workflow.set_max_attempts(3);
    workflow.mutable_spec()->add_steps()->set_count(1);
    m_table.submit(workflow, 1);
    m_ledger.lead(m_table, BootClock::now(), 1);
    schema::RecordRuns runs;
    schema::RunStart* row = runs.add_starts();
    *row->mutable_task() = startOrder().task();
    row->mutable_run()->set_number(1);
    row->mutable_run()->set_target("i-1");
    row->mutable_run()->set_agent("agent");
    commit(runs);
  }
  Awaitable<void> expireLoop() {
    while (true) {
      co_await sleepFor(milliseconds(10));
      commitEnds(m_ledger.expire(BootClock::now()));
    }
  }
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    const Time now = BootClock::now();
    if (m_ledger.isSuperseded(request)) co_return fail(Failure{FailureCode::Fenced, Ran::No, "test", "", "", 0});
    commitEnds(m_ledger.receiveReport(request, now));
    schema::AttendReply answer;
    answer.set_term(1);
    if (!m_ledger.isCurrent(request)) co_return answer;
    for (schema::RunOrder& order : m_ledger.issueOrders("agent", m_table, now)) *answer.add_orders() = std::move(order);
    answer.set_grant_ms(static_cast<std::uint32_t>(toMilliseconds(m_ledger.grant("agent", now))));
    co_await sleepFor(milliseconds(answer.orders_size() > 0 ? 750 : 20));
    co_return answer;
  }
  bool expired = false;  ///< the run's end is committed, so that the task may run elsewhere
  unsigned startsBefore = 0;

 private:
  static RunLedgerOptions options() {
    RunLedgerOptions options;
    options.grant = milliseconds(1500);
    options.slack = milliseconds(100);
    options.retryOrdersAfter = milliseconds(250);
    return options;
  }
  void commit(const schema::RecordRuns& runs) {
    m_table.record(runs, 2);
    m_ledger.apply(m_table.consumeRunChanges(), BootClock::now());
  }
  void commitEnds(std::vector<schema::RunEnd> ends) {
    if (ends.empty()) return;
    schema::RecordRuns runs;
    for (schema::RunEnd& end : ends) *runs.add_ends() = std::move(end);
    commit(runs);
    expired = true;
    startsBefore = target->starts;
    target->silent = false;
  }

  WorkflowTable m_table;
  RunLedger m_ledger;
};

/** Orders one run. From the first report of its end on, a new leader of term 2 answers, which applies only reports that
 * carry its own term. */
class NextLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    if (request.ends_size() > 0) m_term = 2;
    reportedAgain = reportedAgain || (request.term() == 2 && request.ends_size() > 0);
    schema::AttendReply answer = leaseReply(LongLeaseMs);
    answer.set_term(m_term);
    orderOnce(request, answer);
    co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  bool reportedAgain = false;

 private:
  std::uint64_t m_term = 1;
};

/** Orders one run for an incarnation that another one has replaced, and records what is reported of both. */
class LateOrderLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = leaseReply(LongLeaseMs);
    if (request.target().id() == "i-1") target->incarnation = "i-2";
    for (const schema::EndReport& end : request.ends()) ended = ended || end.kind() == schema::RunTargetLost;
    for (const schema::LostRun& lost : request.lost()) suspected = suspected || lost.crash() != schema::NoCrash;
    if (ended) reachable = request.target().reachable();
    orderOnce(request, answer);
    if (request.wait_ms() > 0) co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  bool ended = false;
  bool suspected = false;
  bool reachable = true;
};

/** Acknowledges the ends of the target. */
class AcknowledgingLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = leaseReply(LongLeaseMs);
    answer.set_ends_target(request.target().id());
    for (const schema::EndReport& end : request.ends()) answer.set_ends_taken(end.number());
    if (request.wait_ms() > 0) co_await sleepFor(milliseconds(20));
    co_return answer;
  }
};

}  // namespace

// Guards against false crash reports: each order to a former incarnation was answered by its successor, counted as a
// crash caused by the task, and was sent again within milliseconds. After five such runs in a row the workflow was
// given up.
Test(run_agent_outcomes, a_start_answered_by_another_incarnation_reports_no_crash_and_closes_the_target) {
  LateOrderLeader leader;
  AgentFixture fixture(leader);
  fixture.run(milliseconds(800));
  cr_assert(leader.ended, "the run was not settled");
  cr_assert_not(leader.suspected, "a run that never started is reported as a crash");
  cr_assert_not(leader.reachable, "the leader still sends orders to the former incarnation");
}

// Guards against lost ends: a poll with the number up to which the former incarnation was to discard ends reached its
// successor, which discarded its own first ends. A run that was done was started again.
Test(run_agent_outcomes, ends_are_kept_while_another_incarnation_has_announced_itself) {
  AcknowledgingLeader leader;
  AgentFixture fixture(leader);
  schema::EndReport& end = fixture.target.ends.emplace_back();
  end.set_number(5);
  *end.mutable_task() = startOrder().task();
  end.set_run(1);
  fixture.run(milliseconds(6600));  // until then, starts of a former process of the agent may be in transit
  cr_assert_eq(fixture.target.lastSeen, 5);
  fixture.target.busyIncarnation = "i-2";
  fixture.announce("i-2", 1);
  fixture.run(milliseconds(400));
  cr_assert_eq(fixture.target.lastSeen, 0);
}

Test(run_agent_outcomes, a_refused_stop_is_no_proof_that_a_run_never_started) {
  OutcomeLeader leader;
  AgentFixture fixture(leader);
  fixture.target.startsGetNoAnswer = true;
  fixture.target.stopsToRefuse = 3;
  fixture.run(milliseconds(2000));
  cr_assert_eq(fixture.target.starts, 1);
  cr_assert_not(leader.reportedTooSoon, "an end was reported after %u stops, none of which was accepted",
                fixture.target.stopsToRefuse);
  cr_assert(fixture.target.stopsAccepted > 0, "the stop was not sent again");
  cr_assert_not(leader.reportedVoided, "the next incarnation could still carry the start out");
  fixture.run(milliseconds(4700));
  cr_assert(leader.reportedVoided, "a run whose stop is confirmed was not reported as voided");
}

Test(run_agent_outcomes, an_incomplete_list_of_ends_is_no_proof_that_a_run_never_started) {
  OutcomeLeader leader;
  AgentFixture fixture(leader);
  fixture.target.moreEnds = true;
  fixture.run(milliseconds(800));
  cr_assert(fixture.target.stopsAccepted > 0);
  cr_assert_not(leader.reportedVoided, "the end of the run may be among the omitted ones");
  fixture.target.moreEnds = false;
  fixture.run(milliseconds(800));
  cr_assert(leader.reportedVoided, "a run that a complete list does not contain was not reported as voided");
}

Test(run_agent_outcomes, a_late_heartbeat_of_a_former_incarnation_ends_nothing) {
  IncarnationsLeader leader;
  AgentFixture fixture(leader);
  fixture.startNextIncarnation();
  fixture.run(milliseconds(300));
  fixture.announce("i-1", 2);
  fixture.run(milliseconds(500));
  const std::vector<std::string> expected{"i-1", "i-2"};
  cr_assert(leader.incarnations == expected, "%zu incarnations were reported, the last is %s",
            leader.incarnations.size(), leader.incarnations.empty() ? "none" : leader.incarnations.back().c_str());
}

Test(run_agent_outcomes, a_restarted_agent_ignores_heartbeats_of_a_former_incarnation) {
  IncarnationsLeader leader;
  AgentFixture fixture(leader);
  fixture.target.incarnation = "i-2";  // the first heartbeat that the agent receives is a late one of i-1
  fixture.run(milliseconds(400));
  cr_assert(leader.incarnations.empty(), "the former incarnation %s was reported",
            leader.incarnations.empty() ? "" : leader.incarnations[0].c_str());
  fixture.announce("i-2", 1);
  fixture.run(milliseconds(400));
  const std::vector<std::string> expected{"i-2"};
  cr_assert(leader.incarnations == expected, "the present incarnation was not found");
}

Test(run_agent_outcomes, a_new_incarnation_is_found_once_it_answers) {
  IncarnationsLeader leader;
  AgentFixture fixture(leader);
  fixture.startNextIncarnation(true);
  fixture.run(milliseconds(400));
  cr_assert(leader.incarnations.back() == "i-1",
            "the heartbeat of an incarnation that has not answered is no proof that the former one is over");
  fixture.target.silent = false;
  fixture.run(milliseconds(600));
  cr_assert(leader.incarnations.back() == "i-2", "one heartbeat has to suffice, however late the incarnation answers");
}

// The next incarnation has been polled and its answer is in transit when an order for the former one arrives. If both
// calls carried the same token, the order could be carried out after that answer, whose lists do not contain the run.
Test(run_agent_outcomes, an_order_for_the_present_incarnation_has_a_lower_token_than_the_poll_of_the_next) {
  OrderingLeader ordering;
  AgentFixture fixture(ordering);
  fixture.run(milliseconds(300));
  fixture.target.answerDelay = milliseconds(300);
  fixture.startNextIncarnation();
  fixture.run(milliseconds(50));
  ordering.orders = true;
  fixture.run(milliseconds(800));
  cr_assert(fixture.target.startTokens.count("i-1") > 0, "the order did not arrive");
  cr_assert(fixture.target.pollTokens.count("i-2") > 0, "the next incarnation was not found");
  cr_assert_lt(fixture.target.startTokens["i-1"], fixture.target.pollTokens["i-2"]);
}

Test(run_agent_outcomes, a_refused_poll_confirms_no_incarnation) {
  IncarnationsLeader leader;
  AgentFixture fixture(leader);
  fixture.target.incarnation = "i-2";
  fixture.target.busy = true;  // the heartbeat is a late one of i-1
  fixture.run(milliseconds(400));
  cr_assert(leader.incarnations.empty(), "a refusal does not show the incarnation of the target");
  fixture.target.busy = false;
  fixture.announce("i-2", 1);
  fixture.run(milliseconds(600));
  const std::vector<std::string> expected{"i-2"};
  cr_assert(leader.incarnations == expected);
}

Test(run_agent_outcomes, a_late_heartbeat_does_not_displace_a_new_incarnation_that_has_not_answered_yet) {
  IncarnationsLeader leader;
  AgentFixture fixture(leader);
  fixture.startNextIncarnation(true);
  fixture.run(milliseconds(200));
  fixture.announce("i-0", 7);
  fixture.run(milliseconds(200));
  fixture.target.silent = false;
  fixture.run(milliseconds(800));
  const std::vector<std::string> expected{"i-1", "i-2"};
  cr_assert(leader.incarnations == expected, "the new incarnation was not found without another heartbeat");
}

Test(run_agent_outcomes, a_copy_of_an_order_does_not_start_a_settled_run) {
  CopyLeader leader;
  AgentFixture fixture(leader, false, 300);
  fixture.run(milliseconds(3000));
  cr_assert(leader.settled, "the run that the target refused was not settled");
  cr_assert(leader.copyArrived);
  cr_assert_eq(fixture.target.starts, leader.startsBefore, "a run that the leader counts as over was started");
}

// The target hangs while its agent restarts, and answers when the leader has just counted its run as lapsed. At that
// time an order to start the run is still in transit to the agent.
Test(run_agent_outcomes, a_run_that_lapsed_while_its_target_was_unknown_is_not_started) {
  LedgerLeader leader;
  AgentFixture fixture(leader);
  fixture.target.silent = true;
  fixture.target.refusesStarts = false;
  boost::asio::co_spawn(fixture.io, leader.expireLoop(), boost::asio::detached);
  fixture.run(milliseconds(3500));
  cr_assert(leader.expired, "the leader waited for an unknown target for longer than a lease");
  cr_assert_eq(fixture.target.starts, leader.startsBefore,
               "the run was started after the leader had counted it as lapsed");
}

Test(run_agent_outcomes, an_end_that_a_new_leader_has_not_applied_is_reported_again) {
  NextLeader leader;
  AgentFixture fixture(leader);
  fixture.run(milliseconds(1000));
  cr_assert(leader.reportedAgain,
            "the end of the run was reported to the new leader only with the term of the former one");
}
