// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Runs of an agent that no longer reports.

#include "test/RestartFixture.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

// Guards against two concurrent runs of a task. The leader counts the runs of a silent agent as lapsed after its lease,
// and the target has restarted under its identity and carries out a start after that.
Test(silent_agent, a_run_does_not_lapse_while_a_restarted_target_beside_a_silent_agent_can_start_it) {
  RestartFixture fixture;
  fixture.restartWithDelayedStart("/refuse?ms=9000&of=hold,run-stop");
  fixture.leader.unreachable = true;
  bool startedWhileActive = false;
  const auto hasStarted = [&] {
    fixture.leader.expire();
    startedWhileActive = fixture.leader.hasActiveRun("a");
    return fixture.starts("a.0.0.0") == 1;
  };
  cr_assert(fixture.waitFor(hasStarted), "the delayed start was not carried out");
  cr_assert(startedWhileActive, "the run began after the leader had counted it as lapsed");
}
