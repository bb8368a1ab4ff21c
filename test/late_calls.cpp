// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Calls in transit: a start that the target does not answer, and polls that let it discard ends. The next incarnation
// of the target may carry out both, and then discard the end of the run before it was read.

#include "Courseloom/src/Scheduling/LateCalls.h"
#include "test/AgentFixture.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

/** After this time, starts of a former process of the agent are not in transit any more. */
constexpr Duration FirstTransit = LateCallLimit + milliseconds(600);

/** Acknowledges the ends of the target, and orders one run once `orders` is set. */
class EndsLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = leaseReply(LongLeaseMs);
    answer.set_ends_target(request.target().id());
    for (const schema::EndReport& end : request.ends()) {
      answer.set_ends_taken(std::max(answer.ends_taken(), end.number()));
    }
    if (orders) orderOnce(request, answer);
    co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  bool orders = false;
};

/** Adds an end of another task to the ends that the target lists. */
void addEnd(TargetScript& target, std::uint64_t number) {
  schema::EndReport& end = target.ends.emplace_back();
  end.set_number(number);
  *end.mutable_task() = makeTaskId("00000000000000bb", TaskKey{0, 0, static_cast<std::uint32_t>(number)});
  end.set_run(1);
}

}  // namespace

// Guards against an end that the next incarnation discards before it was read: it carries out the start, and then a
// poll that was sent after it.
Test(late_calls, polls_name_no_ends_while_a_start_is_in_transit) {
  EndsLeader leader;
  AgentFixture fixture(leader);
  fixture.run(FirstTransit);
  fixture.target.startsGetNoAnswer = true;
  leader.orders = true;
  fixture.run(milliseconds(400));
  cr_assert_eq(fixture.target.starts, 1);
  addEnd(fixture.target, 1);
  fixture.run(milliseconds(1000));
  cr_assert_eq(fixture.target.discardToken, 0, "a poll named ends while a start was in transit");
  fixture.run(LateCallLimit);
  cr_assert_eq(fixture.target.lastSeen, 1, "the end is never discarded");
}

// As above, with a start whose answer does not show the incarnation that gave it.
Test(late_calls, polls_name_no_ends_until_an_accepted_start_is_listed) {
  EndsLeader leader;
  AgentFixture fixture(leader);
  fixture.run(FirstTransit);
  fixture.target.refusesStarts = false;
  fixture.target.busy = true;
  leader.orders = true;
  fixture.run(milliseconds(400));
  cr_assert_eq(fixture.target.running.size(), 1);
  fixture.target.running.clear();
  addEnd(fixture.target, 1);
  fixture.target.busy = false;
  fixture.target.moreEnds = true;
  fixture.run(milliseconds(600));
  cr_assert_eq(fixture.target.discardToken, 0, "a poll named ends although the run is not listed");
}

// Guards against the same end with the calls the other way round: the poll is in transit when the start is sent. The
// incarnation that has carried out the start then refuses the poll.
Test(late_calls, a_start_has_a_higher_token_than_an_unanswered_poll_that_names_ends) {
  EndsLeader leader;
  AgentFixture fixture(leader);
  fixture.target.discardsToIgnore = 1;
  addEnd(fixture.target, 1);
  fixture.run(FirstTransit);
  cr_assert_neq(fixture.target.ignoredToken, 0, "no poll named ends");
  leader.orders = true;
  fixture.run(milliseconds(400));
  cr_assert_eq(fixture.target.starts, 1);
  cr_assert_gt(fixture.target.startTokens["i-1"], fixture.target.ignoredToken);
}

Test(late_calls, runs_are_over_after_the_longest_transit_and_the_longest_hold) {
  const Time sent = BootClock::now();
  cr_assert_eq(toMilliseconds(latestEndOfLateRuns(sent, milliseconds(980)) - sent), 7000);
}
