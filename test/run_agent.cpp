// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The agent of runs between a fake leader and a fake target.

#include <set>

#include "test/AgentFixture.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

/** Orders one run, and records how many stops the target had received when the agent first reported an end. */
class RefusedLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = leaseReply(LongLeaseMs);
    if (request.ends_size() > 0 && reports++ == 0) stopsBefore = target->stops;
    if (!orderOnce(request, answer)) co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  unsigned reports = 0;
  unsigned stopsBefore = 0;
};

/** Repeats the order for one run until an end is reported, as after a restart of the agent, and records the kinds of
 * the reported ends. */
class RepeatingLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = leaseReply(LongLeaseMs);
    for (const schema::EndReport& end : request.ends()) kinds.insert(end.kind());
    if (request.target().id() == "i-1" && kinds.empty()) {
      schema::RunOrder* order = answer.add_orders();
      *order = startOrder();
      order->set_kind(kind);
    }
    co_await sleepFor(answerAfter);
    co_return answer;
  }
  std::set<schema::RunEndKind> kinds;
  schema::RunOrderKind kind = schema::OrderStart;
  Duration answerAfter = milliseconds(20);
};

/** Orders one run in an answer that is delayed for longer than its lease. Other requests are answered without delay. */
class DelayedLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    const bool delay = !delayed && request.wait_ms() > 0 && request.target().id() == "i-1";
    if (!delay) {
      co_await sleepFor(milliseconds(20));
      co_return leaseReply(LongLeaseMs);
    }
    delayed = true;
    co_await sleepFor(milliseconds(700));
    schema::AttendReply stale = leaseReply(300);
    *stale.add_orders() = startOrder();
    co_return stale;
  }
  bool delayed = false;
};

/** Holds reports back as an idle leader does, and records the longest reported time without progress. */
class ProgressLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    for (const schema::RunReport& row : request.running()) longestStillMs = std::max(longestStillMs, row.still_ms());
    if (request.wait_ms() > 0) co_await sleepFor(milliseconds(700));
    co_return leaseReply(LongLeaseMs);
  }
  std::uint32_t longestStillMs = 0;
};

/** Orders one run, and records the lost runs that the agent reports. */
class CrashLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = leaseReply(LongLeaseMs);
    for (const schema::LostRun& row : request.lost()) lost.push_back(row);
    if (!orderOnce(request, answer)) co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  std::vector<schema::LostRun> lost;
};

/** Orders runs that need four accelerators each, one in each answer, until `wanted` were ordered. */
class CapacityLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = leaseReply(LongLeaseMs);
    accelerators = request.target().capacity().accelerators();
    for (const schema::EndReport& end : request.ends()) {
      kinds.insert(end.kind());
      if (end.kind() == schema::RunVoided) voided = end;
    }
    if (ordered < wanted) {
      schema::RunOrder& order = *answer.add_orders();
      order = startOrder();
      order.mutable_task()->set_index(ordered++);
      order.mutable_need()->set_accelerators(4);
    }
    co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  unsigned wanted = 0;
  unsigned ordered = 0;
  std::uint64_t accelerators = 0;  ///< as last reported
  std::set<schema::RunEndKind> kinds;
  schema::EndReport voided;  ///< the newest report of a start that never began
};

/** Orders a run and acknowledges its end. Then orders another run, which needs all accelerators of the target. */
class NextRunLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = leaseReply(LongLeaseMs);
    answer.set_ends_target(request.target().id());
    for (const schema::EndReport& end : request.ends()) answer.set_ends_taken(end.number());
    if (!orderOnce(request, answer) && ordersNext && !m_orderedNext) {
      m_orderedNext = true;
      schema::RunOrder& order = *answer.add_orders();
      order = startOrder();
      order.mutable_task()->set_index(1);
      order.mutable_need()->set_accelerators(8);
    }
    co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  bool ordersNext = false;

 private:
  bool m_orderedNext = false;
};

/** \returns the agent's report of a run whose target is lost after a time. \param length time from the start to the
 * loss
 */
schema::LostRun lostAfter(Duration length) {
  CrashLeader leader;
  AgentFixture fixture(leader);
  fixture.target.refusesStarts = false;
  for (int i = 0; i < 200 && fixture.target.starts == 0; ++i) fixture.run(milliseconds(5));
  fixture.run(length);
  fixture.target.silent = true;
  fixture.startNextIncarnation();
  fixture.run(milliseconds(600));
  cr_assert(!leader.lost.empty(), "the lost run was not reported");
  return leader.lost.front();
}

}  // namespace

// If the agent waited for its next regular report, a run would stay on a hanging target for 2 s, the time of two
// reports.
Test(run_agent, a_run_without_progress_is_reported_at_once) {
  ProgressLeader leader;
  AgentFixture fixture(leader);
  fixture.target.reportsStalledRun = true;
  fixture.run(milliseconds(1000));
  cr_assert(leader.longestStillMs >= 600, "the longest reported time without progress is %u ms", leader.longestStillMs);
}

Test(run_agent, a_refused_start_is_stopped_at_the_target_before_it_is_reported) {
  RefusedLeader leader;
  AgentFixture fixture(leader);
  fixture.run(milliseconds(1500));
  cr_assert_eq(fixture.target.starts, 1);
  cr_assert(leader.reports > 0, "the refusal was not reported");
  cr_assert(leader.stopsBefore > 0, "reported as never started while a copy of the order could still start it");
}

Test(run_agent, an_order_is_carried_out_only_within_the_lease_of_its_answer) {
  DelayedLeader leader;
  AgentFixture fixture(leader);
  fixture.run(milliseconds(2000));
  cr_assert(leader.delayed);
  cr_assert_eq(fixture.target.starts, 0, "an order whose lease had expired was carried out");
}

Test(run_agent, a_run_that_ended_under_a_former_agent_is_not_voided_when_its_target_drains) {
  RepeatingLeader leader;
  AgentFixture fixture(leader, true);
  schema::EndReport& end = fixture.target.ends.emplace_back();
  end.set_number(1);
  *end.mutable_task() = startOrder().task();
  end.set_run(1);
  end.set_kind(schema::RunDone);
  fixture.run(milliseconds(1500));
  cr_assert_eq(fixture.target.starts, 0, "a draining target gets no new runs");
  cr_assert(leader.kinds.count(schema::RunDone) > 0, "its end was not reported");
  cr_assert(leader.kinds.count(schema::RunVoided) == 0, "reported as never started although its end is listed");
}

Test(run_agent, a_restarted_agent_does_not_assume_the_end_of_a_silent_targets_hold) {
  RepeatingLeader leader;
  leader.kind = schema::OrderStop;
  leader.answerAfter = milliseconds(400);  // by then the agent has found the target to be silent
  AgentFixture fixture(leader);
  for (int i = 0; i < 100 && fixture.target.polls == 0; ++i) fixture.run(milliseconds(5));
  cr_assert(fixture.target.polls > 0, "the agent never polled the target");
  fixture.target.silent = true;
  fixture.run(milliseconds(1500));
  cr_assert(fixture.target.stops > 0, "the order to stop did not arrive");
  cr_assert(leader.kinds.count(schema::RunLapsed) == 0,
            "the former incarnation of the agent may have made the target hold its runs");
}

Test(run_agent, a_target_lost_right_after_a_start_is_reported_as_a_crash_at_start) {
  const schema::LostRun lost = lostAfter(Duration(0));
  cr_assert_eq(lost.crash(), schema::CrashAtStart);
  cr_assert(lost.after_ms() < 500, "%u ms", lost.after_ms());
}

Test(run_agent, a_target_lost_a_while_after_a_start_is_reported_as_an_unclear_crash) {
  cr_assert_eq(lostAfter(milliseconds(900)).crash(), schema::CrashUnclear);
}

// A target that does not check its free capacity would start every ordered run.
Test(run_agent, a_start_that_exceeds_a_reduced_capacity_is_not_sent) {
  CapacityLeader leader;
  AgentFixture fixture(leader);
  fixture.target.refusesStarts = false;
  fixture.run(milliseconds(200));
  fixture.resize(2, 8);
  fixture.run(milliseconds(200));
  cr_assert_eq(leader.accelerators, 8);
  leader.wanted = 1;
  fixture.run(milliseconds(300));
  cr_assert_eq(fixture.target.starts, 1);
  fixture.resize(3, 6);
  leader.wanted = 2;
  fixture.run(milliseconds(400));
  cr_assert_eq(fixture.target.starts, 1, "the second run does not fit beside the first");
  cr_assert(leader.kinds.count(schema::RunVoided) > 0, "the refusal was not reported to the leader");
  cr_assert_eq(leader.accelerators, 6);
  fixture.resize(4, 8);
  fixture.run(milliseconds(100));
  leader.wanted = 3;
  fixture.run(milliseconds(300));
  cr_assert_eq(fixture.target.starts, 2);
}

// Guards against refusals without a cause: the text `no room left` alone does not show what the agent counts as used.
Test(run_agent, a_refusal_for_lack_of_capacity_names_what_is_counted_and_a_blocking_run) {
  CapacityLeader leader;
  AgentFixture fixture(leader);
  fixture.target.refusesStarts = false;
  fixture.run(milliseconds(200));
  fixture.resize(2, 6);
  fixture.run(milliseconds(200));
  leader.wanted = 2;
  fixture.run(milliseconds(500));
  cr_assert_eq(fixture.target.starts, 1);
  cr_assert_eq(leader.voided.task().index(), 1, "the second run was not refused");
  cr_assert_str_eq(leader.voided.reason().c_str(), "never began");
  cr_assert_eq(leader.voided.counted().accelerators(), 4);
  cr_assert(leader.voided.has_blocking(), "no blocking run was named");
  cr_assert_eq(leader.voided.blocking().index(), 0);
}

// A run that the target itself refuses was not refused for lack of capacity by the agent.
Test(run_agent, a_refusal_by_the_target_names_no_counted_resources) {
  CapacityLeader leader;
  AgentFixture fixture(leader);
  fixture.run(milliseconds(200));
  leader.wanted = 1;
  fixture.run(milliseconds(500));
  cr_assert(leader.kinds.count(schema::RunVoided) > 0);
  cr_assert_not(leader.voided.has_counted());
  cr_assert_not(leader.voided.has_blocking());
}

// Guards against a target that starts nothing more: an older list of the target, which arrives after a newer one, must
// not bring back a run whose end is committed already. Beside a run of unknown demand no start counts as fitting on the
// target.
Test(run_agent, a_delayed_list_of_the_target_brings_back_no_ended_run) {
  NextRunLeader leader;
  AgentFixture fixture(leader);
  fixture.target.refusesStarts = false;
  fixture.run(milliseconds(200));
  cr_assert_eq(fixture.target.starts, 1);
  fixture.resize(2, 8);
  schema::EndReport& end = fixture.target.ends.emplace_back();
  end.set_number(1);
  *end.mutable_task() = startOrder().task();
  end.set_run(1);
  fixture.run(milliseconds(6600));  // until then, starts of a former process of the agent may be in transit
  cr_assert_eq(fixture.target.lastSeen, 1, "the end was not acknowledged");
  fixture.target.ends.clear();
  fixture.target.answersLateWithFirstRun = true;
  fixture.run(milliseconds(400));
  cr_assert_not(fixture.target.answersLateWithFirstRun);
  leader.ordersNext = true;
  fixture.run(milliseconds(400));
  cr_assert_eq(fixture.target.starts, 2, "the second run was not started on an empty target");
}
