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
