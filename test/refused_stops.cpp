// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Targets that answer polls and refuse stops.

#include "test/RestartFixture.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

// Guards against a task that is never started again, since its start got no answer and every stop is refused.
Test(refused_stops, a_run_in_doubt_ends_although_its_target_refuses_every_stop) {
  RestartFixture fixture;
  fixture.callTarget("/late?ms=400&of=run-start&after=60000");
  fixture.leader.submit("a", "200");
  cr_assert(fixture.waitFor([&] { return fixture.countOf("onTheirWay") == 1; }), "no start call was delayed");
  fixture.callTarget("/refuse?ms=60000&of=run-stop");
  fixture.run(5000);
  cr_assert_eq(fixture.starts("a.0.0.0"), 0, "the task was started again while its first start could still begin");
  cr_assert(fixture.waitForDone("a"), "the task was never started again");
  cr_assert_eq(fixture.starts("a.0.0.0"), 1);
}

// Guards against a run that goes on after its workflow was cancelled: a refused stop of a run that has begun has to be
// sent again, however long ago the run was started.
Test(refused_stops, a_refused_stop_of_a_running_run_is_sent_again) {
  RestartFixture fixture;
  fixture.leader.submit("a", "60000");
  cr_assert(fixture.waitFor([&] { return fixture.countOf("running") == 1; }));
  fixture.run(7000);
  fixture.callTarget("/refuse?ms=400&of=run-stop");
  fixture.leader.cancel("a");
  cr_assert(fixture.waitFor([&] { return fixture.countOf("refused") > 0; }), "no stop was refused");
  fixture.leader.unreachable = true;
  fixture.run(1000);
  cr_assert_eq(fixture.countOf("running"), 0, "the agent did not send the stop again");
}
