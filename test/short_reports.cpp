// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Reports that leave out what the leader has, and how long it holds them back.

#include "Courseloom/src/Agent/ReportedTarget.h"
#include "Courseloom/src/Scheduling/RunLedger.h"
#include "test/AgentStage.h"
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

/** Has many agents with a description each heard by a ledger. */
RunLedger ledgerWith(std::size_t agents) {
  RunLedger ledger;
  for (std::size_t i = 0; i < agents; ++i) {
    schema::AttendRequest report = reportOf("agent-" + std::to_string(i), 1);
    *report.mutable_target() = described();
    ledger.receiveReport(report, Now);
  }
  return ledger;
}

/** Takes descriptions in, and once asks for all of a report that tells of an end. */
class ForgetfulLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = grantReply(LongGrantMs);
    const bool whole = request.has_target() || request.target_version() == 0;
    shortReports += whole ? 0 : 1;
    if (request.ends_size() > 0 && !whole && !asked) {
      asked = true;
      answer.set_grant_ms(0);
      answer.set_whole_wanted(true);
      co_return answer;
    }
    answer.set_target_version(request.target_version());
    endTaken = endTaken || (asked && whole && request.ends_size() > 0);
    orderOnce(request, answer);
    if (request.wait_ms() > 0) co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  unsigned shortReports = 0;
  bool asked = false;
  bool endTaken = false;
};

}  // namespace

Test(short_reports, a_description_is_left_out_once_the_leader_has_it) {
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

Test(short_reports, the_next_leader_and_one_that_asks_are_told_everything) {
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

// A leader from before an upgrade takes only whole reports, and names no number.
Test(short_reports, a_leader_that_names_no_number_is_always_told_everything) {
  ReportedTarget reported;
  for (std::uint64_t sequence = 1; sequence < 4; ++sequence) {
    schema::AttendRequest report = reportOf("agent", sequence);
    reported.put(report, described());
    cr_assert(report.has_target());
    schema::AttendReply reply;
    reported.answered(report, reply);
  }
}

Test(short_reports, only_a_report_that_fits_what_is_known_is_completed) {
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
  schema::AttendRequest otherLife = fits;
  otherLife.clear_target();
  otherLife.set_incarnation(2);
  cr_assert_not(ledger.complete(otherLife));
  ledger.lead(WorkflowTable(), Now, 2);
  fits.clear_target();
  cr_assert_not(ledger.complete(fits), "a new leader knows nothing of what its predecessor was told");
  schema::AttendRequest ofOldAgent = reportOf("old", 1);
  cr_assert(ledger.complete(ofOldAgent), "an agent that has found no target yet, or numbers nothing");
}

// 810 agents made 2,700 reports a second, though nothing had changed.
Test(short_reports, the_more_agents_the_longer_each_report_is_held) {
  const RunLedgerOptions options;
  cr_assert_lt(toMilliseconds(ledgerWith(11).reportWait()), 20.0);
  const double atMany = toMilliseconds(ledgerWith(810).reportWait());
  const double atTwice = toMilliseconds(ledgerWith(1620).reportWait());
  cr_assert_float_eq(atMany, 810.0, 1.0);
  cr_assert_gt(atTwice, atMany);
  cr_assert(ledgerWith(4000).reportWait() + milliseconds(1000) <= options.silenceLimit, "agents would seem silent");
}

Test(short_reports, what_a_leader_did_not_take_in_is_told_again_whole) {
  ForgetfulLeader leader;
  Stage stage(leader);
  stage.target.startsGetNoAnswer = true;
  stage.run(milliseconds(2500));
  cr_assert_gt(leader.shortReports, 0, "no report left the description out");
  cr_assert(leader.asked, "no short report told of an end");
  cr_assert(leader.endTaken, "the end was lost with the report that was not taken in");
}

// Agents whose reports are held back for long refused to relay calls between two answers.
Test(short_reports, an_agent_reaches_control_for_as_long_as_two_reports_may_be_held) {
  for (const std::int64_t waitMs : {300, 810, 1500}) {
    const Duration wait = milliseconds(waitMs);
    cr_assert(reachesControl(Now, wait, Now + wait + milliseconds(50)), "between two answers at %ld ms", waitMs);
    cr_assert_not(reachesControl(Now, wait, Now + 2 * wait + milliseconds(300)), "cut off at %ld ms", waitMs);
  }
}
