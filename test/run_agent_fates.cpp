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
// that was long on its way says nothing about the target's present life, and an order's copy that arrives after its run
// was settled begins nothing.

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
    const bool order = !m_ordered && request.target().id() == "i-1";
    if (order) *answer.add_orders() = startOrder();
    m_ordered = m_ordered || order;
    if (!order) co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  bool told = false;
  bool toldTooSoon = false;

 private:
  bool m_ordered = false;
};

/** Notes the lives of the target in the order in which it is told of them. */
class LivesLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    const std::string& life = request.target().id();
    if (!life.empty() && (lives.empty() || lives.back() != life)) lives.push_back(life);
    if (request.wait_ms() > 0) co_await sleepFor(milliseconds(20));
    co_return grantReply(LongGrantMs);
  }
  std::vector<std::string> lives;
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
    const bool present = request.target().id() == "i-1";
    if (present && !m_ordered) {
      m_ordered = true;
      target->silent = true;
      *answer.add_orders() = startOrder();
      co_return answer;
    }
    if (m_ordered && !m_copied && request.wait_ms() > 0) {
      m_copied = true;
      co_await sleepFor(milliseconds(900));
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
  bool m_ordered = false;
  bool m_copied = false;
};

}  // namespace

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

Test(run_agent_fates, a_late_heartbeat_of_a_former_life_ends_nothing) {
  LivesLeader leader;
  Stage stage(leader);
  stage.run(milliseconds(300));
  stage.target.life = "i-2";
  stage.announce("i-2", 1);
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
  stage.target.life = "i-2";  // the first heartbeat that the agent sees is a late one, of i-1
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
  stage.run(milliseconds(300));
  stage.target.life = "i-2";
  stage.target.silent = true;
  stage.announce("i-2", 1);
  stage.run(milliseconds(400));
  cr_assert(leader.lives.back() == "i-1", "a life that has not answered is no proof that the one before is over");
  stage.target.silent = false;
  stage.run(milliseconds(600));
  cr_assert(leader.lives.back() == "i-2", "its one heartbeat must do, however late it answers");
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
