// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Short reports, which omit the target's description that the leader has, and the time for which the leader holds
// reports back.

#include "Courseloom/src/Agent/ReportedTarget.h"
#include "Courseloom/src/Scheduling/RunLedger.h"
#include "test/AgentFixture.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

const Time Now = Time(milliseconds(1000000));

schema::TargetReport described(unsigned accelerators = 8) {
  schema::TargetReport target;
  target.set_id("life-1");
  target.set_reachable(true);
  target.mutable_capacity()->set_accelerators(accelerators);
  return target;
}

schema::AttendRequest reportOf(const std::string& agent, std::uint64_t sequence) {
  schema::AttendRequest report;
  report.set_agent(agent);
  report.set_incarnation(1);
  report.set_sequence(sequence);
  return report;
}

schema::AttendReply answerTo(const schema::AttendRequest& report) {
  schema::AttendReply reply;
  reply.set_term(report.term());
  reply.set_target_version(report.target_version());
  return reply;
}

/** \returns a ledger that has received a report with a description from each of `agents` agents. */
RunLedger ledgerWith(std::size_t agents) {
  RunLedger ledger;
  for (std::size_t i = 0; i < agents; ++i) {
    schema::AttendRequest report = reportOf("agent-" + std::to_string(i), 1);
    *report.mutable_target() = described();
    ledger.receiveReport(report, Now);
  }
  return ledger;
}

/** Acknowledges descriptions. Once, it rejects a short report of an end and requests the whole report. */
class ForgetfulLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = leaseReply(LongLeaseMs);
    const bool isWhole = request.has_target() || request.target_version() == 0;
    shortReports += isWhole ? 0 : 1;
    if (request.ends_size() > 0 && !isWhole && !wholeRequested) {
      wholeRequested = true;
      answer.set_grant_ms(0);
      answer.set_whole_wanted(true);
      co_return answer;
    }
    answer.set_target_version(request.target_version());
    endApplied = endApplied || (wholeRequested && isWhole && request.ends_size() > 0);
    orderOnce(request, answer);
    if (request.wait_ms() > 0) co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  unsigned shortReports = 0;
  bool wholeRequested = false;
  bool endApplied = false;
};

}  // namespace

Test(short_reports, a_description_is_omitted_once_the_leader_has_it) {
  ReportedTarget reported;
  schema::AttendRequest first = reportOf("agent", 1);
  reported.put(first, described());
  cr_assert(first.has_target());
  reported.answered(first, answerTo(first));
  schema::AttendRequest second = reportOf("agent", 2);
  reported.put(second, described());
  cr_assert_not(second.has_target());
  schema::AttendRequest changed = reportOf("agent", 3);
  reported.put(changed, described(4));
  cr_assert(changed.has_target());
}

Test(short_reports, the_next_leader_and_one_that_requests_it_get_the_whole_report) {
  ReportedTarget reported;
  schema::AttendRequest first = reportOf("agent", 1);
  reported.put(first, described());
  reported.answered(first, answerTo(first));
  schema::AttendRequest inNextTerm = reportOf("agent", 2);
  inNextTerm.set_term(2);
  reported.put(inNextTerm, described());
  cr_assert(inNextTerm.has_target());
  schema::AttendReply wanted = answerTo(first);
  wanted.set_whole_wanted(true);
  reported.answered(first, wanted);
  schema::AttendRequest again = reportOf("agent", 3);
  reported.put(again, described());
  cr_assert(again.has_target());
}

// A leader of a version before short reports applies only whole reports, and acknowledges no target version.
Test(short_reports, a_leader_that_acknowledges_no_version_always_gets_whole_reports) {
  ReportedTarget reported;
  for (std::uint64_t sequence = 1; sequence < 4; ++sequence) {
    schema::AttendRequest report = reportOf("agent", sequence);
    reported.put(report, described());
    cr_assert(report.has_target());
    schema::AttendReply reply;
    reported.answered(report, reply);
  }
}

Test(short_reports, only_a_report_with_the_known_version_and_incarnation_is_completed) {
  RunLedger ledger;
  schema::AttendRequest whole = reportOf("agent", 1);
  whole.set_target_version(7);
  *whole.mutable_target() = described();
  ledger.receiveReport(whole, Now);
  schema::AttendRequest fits = reportOf("agent", 2);
  fits.set_target_version(7);
  cr_assert(ledger.complete(fits));
  cr_assert_eq(fits.target().capacity().accelerators(), 8);
  schema::AttendRequest otherVersion = reportOf("agent", 3);
  otherVersion.set_target_version(8);
  cr_assert_not(ledger.complete(otherVersion));
  schema::AttendRequest otherIncarnation = fits;
  otherIncarnation.clear_target();
  otherIncarnation.set_incarnation(2);
  cr_assert_not(ledger.complete(otherIncarnation));
  ledger.lead(WorkflowTable(), Now, 2);
  fits.clear_target();
  cr_assert_not(ledger.complete(fits), "a new leader does not have the descriptions of its predecessor");
  schema::AttendRequest ofOldAgent = reportOf("old", 1);
  cr_assert(ledger.complete(ofOldAgent), "a report of an agent that has found no target yet, or sends no versions");
}

// Guards against too many reports without changes: 810 agents sent 2,700 a second although nothing had changed.
Test(short_reports, reports_are_held_longer_the_more_agents_there_are) {
  const RunLedgerOptions options;
  cr_assert_lt(toMilliseconds(ledgerWith(11).reportWait()), 20.0);
  const double atMany = toMilliseconds(ledgerWith(810).reportWait());
  const double atTwice = toMilliseconds(ledgerWith(1620).reportWait());
  cr_assert_float_eq(atMany, 810.0, 1.0);
  cr_assert_gt(atTwice, atMany);
  cr_assert(ledgerWith(4000).reportWait() + milliseconds(1000) <= options.silenceLimit, "agents would count as silent");
}

Test(short_reports, a_rejected_short_report_is_sent_again_whole) {
  ForgetfulLeader leader;
  AgentFixture fixture(leader);  // its target refuses the start
  fixture.run(milliseconds(2500));
  cr_assert_gt(leader.shortReports, 0, "no report omitted the description");
  cr_assert(leader.wholeRequested, "no short report contained an end");
  cr_assert(leader.endApplied, "the end was lost with the rejected report");
}

// Guards against agents that refuse to relay calls between two answers of the leader while their reports are held back
// for long.
Test(short_reports, an_agent_reaches_control_for_as_long_as_two_reports_may_be_held) {
  for (const std::int64_t waitMs : {300, 810, 1500}) {
    const Duration wait = milliseconds(waitMs);
    cr_assert(reachesControl(Now, wait, Now + wait + milliseconds(50)), "between two answers at %ld ms", waitMs);
    cr_assert_not(reachesControl(Now, wait, Now + 2 * wait + milliseconds(300)), "disconnected at %ld ms", waitMs);
  }
}
