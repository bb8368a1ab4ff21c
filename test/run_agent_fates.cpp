// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// A task that must run once ran twice at the same time. Its first start got no answer, so the agent stopped the run to
// make sure of it; the target was overloaded and refused the stop with 429, having done nothing. The agent took the
// refusal for a confirmation, found no such run in the target's lists and told the leader that it had never begun. The
// leader placed the task elsewhere, and 4.1 s after the refusal the target carried out the first start:
//
//     7.2015 RunInDoubt  run=1
//     7.2016 StopRefused run=1 reason=429
//     7.2023 RunSettled  run=1 kind=RunVoided reason="never began"
//     8.3713 RunStarted  run=3, on another target
//     11.347 the first target begins run 1
//
// An agent may call a run over only on a word that proves it. The other tests here are of the same kind: a heartbeat
// that was long on its way says nothing about the target's present incarnation, and an order's copy that arrives after
// its run was settled begins nothing.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

#include "test/AgentStage.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

/** Orders one run, and notes whether it was told that the run is void before the target had confirmed a stop. */
class DoubtfulLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    for (const schema::EndReport& end : request.ends()) {
      told = told || end.kind() == schema::RunVoided;
      toldTooSoon = toldTooSoon || target->stopsTaken == 0;
    }
    schema::AttendReply answer = grantReply(LongGrantMs);
    if (!orderOnce(request, answer)) co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  bool told = false;
  bool toldTooSoon = false;
};

/** Notes the lives of the target in the order in which it is told of them. */
class LivesLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    const std::string& incarnation = request.target().id();
    if (!incarnation.empty() && (lives.empty() || lives.back() != incarnation)) lives.push_back(incarnation);
    if (request.wait_ms() > 0) co_await sleepFor(milliseconds(20));
    co_return grantReply(LongGrantMs);
  }
  std::vector<std::string> lives;
};

/** Orders one run of incarnation i-1 once it is told to, in terms that rise. */
class OrderingLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    co_await sleepFor(milliseconds(20));
    schema::AttendReply answer = grantReply(LongGrantMs);
    if (orders) answer.set_term(2);
    if (orders) orderOnce(request, answer);
    co_return answer;
  }
  bool orders = false;
};

/** Orders one run; a copy of the order goes out before the leader is told of the run's end, and arrives after that. */
class CopyLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = grantReply(LongGrantMs);
    if (request.ends_size() > 0 && !settled) {
      settled = true;
      startsBefore = target->starts;
      target->silent = false;
    }
    if (orderOnce(request, answer)) {
      target->silent = true;
      co_return answer;
    }
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
  bool copyArrived = false;  ///< after the end was told
  unsigned startsBefore = 0;

 private:
  bool m_copied = false;
};

/** A leader with a real ledger, in whose log the run is active from before the agent's restart; answers with orders are
 * on their way for a while. */
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
      take(m_ledger.expire(BootClock::now()));
    }
  }
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    const Time now = BootClock::now();
    if (m_ledger.isOvertaken(request)) co_return fail(Failure{FailureCode::Fenced, Ran::No, "test", "", "", 0});
    take(m_ledger.receiveReport(request, now));
    schema::AttendReply answer;
    answer.set_term(1);
    if (!m_ledger.isCurrent(request)) co_return answer;
    for (schema::RunOrder& order : m_ledger.issueOrders("agent", m_table, now)) *answer.add_orders() = std::move(order);
    answer.set_grant_ms(static_cast<std::uint32_t>(toMilliseconds(m_ledger.grant("agent", now))));
    co_await sleepFor(milliseconds(answer.orders_size() > 0 ? 750 : 20));
    co_return answer;
  }
  bool over = false;  ///< the run's end is in the log, and the task may run elsewhere
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
  void take(std::vector<schema::RunEnd> ends) {
    if (ends.empty()) return;
    schema::RecordRuns runs;
    for (schema::RunEnd& end : ends) *runs.add_ends() = std::move(end);
    commit(runs);
    over = true;
    startsBefore = target->starts;
    target->silent = false;
  }

  WorkflowTable m_table;
  RunLedger m_ledger;
};

/** Orders one run; another leader answers the report of its end, and takes in only what carries its own term. */
class NextLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    if (request.ends_size() > 0) m_term = 2;
    toldAgain = toldAgain || (request.term() == 2 && request.ends_size() > 0);
    schema::AttendReply answer = grantReply(LongGrantMs);
    answer.set_term(m_term);
    orderOnce(request, answer);
    co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  bool toldAgain = false;

 private:
  std::uint64_t m_term = 1;
};

/** Orders one run when another incarnation has taken the place of the one that is meant, and notes what is told of
 * both. */
class LateLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = grantReply(LongGrantMs);
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

/** Takes the ends of the target in. */
class TakingLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = grantReply(LongGrantMs);
    answer.set_ends_target(request.target().id());
    for (const schema::EndReport& end : request.ends()) answer.set_ends_taken(end.number());
    if (request.wait_ms() > 0) co_await sleepFor(milliseconds(20));
    co_return answer;
  }
};

}  // namespace

// Each order to a incarnation that had gone was answered by its successor, counted as a crash under the task, and was
// given again within milliseconds: five innocent runs in a row gave its workflow up.
Test(run_agent_fates, a_start_that_another_life_answers_accuses_nothing_and_closes_the_target) {
  LateLeader leader;
  Stage stage(leader);
  stage.run(milliseconds(800));
  cr_assert(leader.ended, "the run was not settled");
  cr_assert_not(leader.suspected, "a run that never began is held against its task");
  cr_assert_not(leader.reachable, "the leader goes on giving orders to a life that is over");
}

// A look with the number of ends that the former incarnation was to forget reached its successor, which forgot its own
// first ones: a run that was done began again.
Test(run_agent_fates, ends_are_kept_while_another_life_has_announced_itself) {
  TakingLeader leader;
  Stage stage(leader);
  schema::EndReport& end = stage.target.ends.emplace_back();
  end.set_number(5);
  *end.mutable_task() = startOrder().task();
  end.set_run(1);
  stage.run(milliseconds(600));
  cr_assert_eq(stage.target.lastSeen, 5);
  stage.target.busyFor = "i-2";
  stage.announce("i-2", 1);
  stage.run(milliseconds(400));
  cr_assert_eq(stage.target.lastSeen, 0);
}

Test(run_agent_fates, a_refused_stop_is_no_proof_that_a_run_never_began) {
  DoubtfulLeader leader;
  Stage stage(leader);
  stage.target.startsGetNoAnswer = true;
  stage.target.stopsRefused = 3;
  stage.run(milliseconds(2000));
  cr_assert_eq(stage.target.starts, 1);
  cr_assert_not(leader.toldTooSoon, "told that the run is void after %u stops, none of which was taken",
                stage.target.stopsRefused);
  cr_assert(stage.target.stopsTaken > 0, "the stop was not sent again");
  cr_assert(leader.told, "once the stop is confirmed, the run is surely void");
}

Test(run_agent_fates, a_list_that_leaves_ends_out_is_no_proof_that_a_run_never_began) {
  DoubtfulLeader leader;
  Stage stage(leader);
  stage.target.moreEnds = true;
  stage.run(milliseconds(800));
  cr_assert(stage.target.stopsTaken > 0);
  cr_assert_not(leader.told, "its end may be among those that were left out");
  stage.target.moreEnds = false;
  stage.run(milliseconds(800));
  cr_assert(leader.told, "once the list is whole, the run is surely void");
}

Test(run_agent_fates, a_late_heartbeat_of_a_former_life_ends_nothing) {
  LivesLeader leader;
  Stage stage(leader);
  stage.beginNextLife();
  stage.run(milliseconds(300));
  stage.announce("i-1", 2);
  stage.run(milliseconds(500));
  const std::vector<std::string> expected{"i-1", "i-2"};
  cr_assert(leader.lives == expected, "%zu lives were told of, the last is %s", leader.lives.size(),
            leader.lives.empty() ? "none" : leader.lives.back().c_str());
}

Test(run_agent_fates, a_restarted_agent_believes_no_heartbeat_of_a_former_life) {
  LivesLeader leader;
  Stage stage(leader);
  stage.target.incarnation = "i-2";  // the first heartbeat that the agent sees is a late one, of i-1
  stage.run(milliseconds(400));
  cr_assert(leader.lives.empty(), "told of %s, which is over", leader.lives.empty() ? "" : leader.lives[0].c_str());
  stage.announce("i-2", 1);
  stage.run(milliseconds(400));
  const std::vector<std::string> expected{"i-2"};
  cr_assert(leader.lives == expected, "the present life must be found all the same");
}

Test(run_agent_fates, a_new_life_is_found_once_it_answers) {
  LivesLeader leader;
  Stage stage(leader);
  stage.beginNextLife(true);
  stage.run(milliseconds(400));
  cr_assert(leader.lives.back() == "i-1", "a life that has not answered is no proof that the one before is over");
  stage.target.silent = false;
  stage.run(milliseconds(600));
  cr_assert(leader.lives.back() == "i-2", "its one heartbeat must do, however late it answers");
}

// The next incarnation has been asked, and its answer is on its way, when an order for the former one comes. If both
// carried the same token, the order would be carried out after the answer, whose lists do not show its run.
Test(run_agent_fates, an_order_for_the_present_life_has_a_lower_token_than_the_look_at_the_next) {
  OrderingLeader ordering;
  Stage stage(ordering);
  stage.run(milliseconds(300));
  stage.target.answersAfter = milliseconds(300);
  stage.beginNextLife();
  stage.run(milliseconds(50));
  ordering.orders = true;
  stage.run(milliseconds(800));
  cr_assert(stage.target.startTokens.count("i-1") > 0, "the order did not come");
  cr_assert(stage.target.lookTokens.count("i-2") > 0, "the next life was not found");
  cr_assert_lt(stage.target.startTokens["i-1"], stage.target.lookTokens["i-2"]);
}

Test(run_agent_fates, a_refusal_confirms_no_life) {
  LivesLeader leader;
  Stage stage(leader);
  stage.target.incarnation = "i-2";
  stage.target.busy = true;  // the heartbeat is a late one of i-1
  stage.run(milliseconds(400));
  cr_assert(leader.lives.empty(), "a target that refuses has not told which life it is");
  stage.target.busy = false;
  stage.announce("i-2", 1);
  stage.run(milliseconds(600));
  const std::vector<std::string> expected{"i-2"};
  cr_assert(leader.lives == expected);
}

Test(run_agent_fates, a_late_heartbeat_does_not_displace_a_new_life_that_has_not_answered_yet) {
  LivesLeader leader;
  Stage stage(leader);
  stage.beginNextLife(true);
  stage.run(milliseconds(200));
  stage.announce("i-0", 7);
  stage.run(milliseconds(200));
  stage.target.silent = false;
  stage.run(milliseconds(800));
  const std::vector<std::string> expected{"i-1", "i-2"};
  cr_assert(leader.lives == expected, "the new life waits for another heartbeat");
}

Test(run_agent_fates, a_copy_of_an_order_begins_nothing_after_its_run_was_settled) {
  CopyLeader leader;
  Stage stage(leader, false, 300);
  stage.target.refusesStarts = false;
  stage.run(milliseconds(3000));
  cr_assert(leader.settled, "the silent target's run was not given up");
  cr_assert(leader.copyArrived);
  cr_assert_eq(stage.target.starts, leader.startsBefore, "a run that the leader counts as over was begun");
}

// The target hangs while its agent restarts, and answers when the leader has just counted its run as lapsed; an order
// to start that run is still on its way to the agent then.
Test(run_agent_fates, a_run_that_lapsed_while_its_target_was_unknown_is_not_begun) {
  LedgerLeader leader;
  Stage stage(leader);
  stage.target.silent = true;
  stage.target.refusesStarts = false;
  boost::asio::co_spawn(stage.io, leader.expireLoop(), boost::asio::detached);
  stage.run(milliseconds(3500));
  cr_assert(leader.over, "the leader waited for a target that was not known for longer than a grant");
  cr_assert_eq(stage.target.starts, leader.startsBefore, "begun after the leader counted it as lapsed");
}

Test(run_agent_fates, what_a_new_leader_has_not_taken_in_is_told_again) {
  NextLeader leader;
  Stage stage(leader);
  stage.run(milliseconds(1000));
  cr_assert(leader.toldAgain, "the end of a run was told to the new leader only with the former one's term");
}
