// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Workflows on real processes: replicas found through seeds, agents with stand-ins for back ends, and an entry. Faults:
// kills, a lost disk, a replica at another address, and back ends that crash, stall (execute no orders for a time) or
// leave.

#include <csignal>

#include "test/WorkflowDeployment.h"

using namespace courseloom;
using namespace courseloom::test;

Test(workflows_processes, a_workflow_from_submission_to_its_end) {
  WorkflowDeployment test;
  cr_assert_eq(test.call("POST", "/q/00000000000000aa", job(1, "100")).status, 503, "no configuration yet");
  cr_assert_eq(test.configure("{"), 400);
  test.setUp();
  cr_assert_eq(test.call("POST", "/q/00000000000000aa", job(1, "100"), "wrong").status, 401);
  cr_assert_eq(test.call("POST", "/other/00000000000000aa", job(1, "100")).status, 404);
  cr_assert_eq(test.call("POST", "/q/00000000000000aa", "{}").status, 400);
  cr_assert_eq(test.call("GET", "/q/00000000000000aa").status, 410);
  cr_assert_eq(test.call("POST", "/q/00000000000000aa", job(3, "100")).status, 200);
  cr_assert_eq(test.call("POST", "/q/00000000000000aa", job(3, "100")).status, 200, "the same again");
  cr_assert(test.until(200, "GET", "/q/00000000000000aa", "", "completed"));
  cr_assert_eq(test.call("POST", "/q/00000000000000ab", job(1, "fail")).status, 200);
  cr_assert(test.until(200, "GET", "/q/00000000000000ab", "", "failed"));
  cr_assert_eq(test.call("POST", "/q/00000000000000ac", job(2, "forever")).status, 200);
  cr_assert(test.until(200, "GET", "/q/00000000000000ac", "", "running"));
  cr_assert_eq(test.call("DELETE", "/q/00000000000000ac").status, 200);
  cr_assert(test.until(200, "GET", "/q/00000000000000ac", "", "cancelled"));
  for (unsigned i = 1; i <= 2; ++i) {
    for (int wait = 0; wait < 200 && !test.runner(i, "GET", "/starts").has("\"running\":0"); ++wait) pause(20);
    cr_assert(test.runner(i, "GET", "/starts").has("\"running\":0"));
  }
  // A lower version changes nothing, and the configuration is read back byte for byte.
  cr_assert_eq(test.configure(configuration(5, "key-2")), 200);
  cr_assert_eq(test.configure(configuration(3, "key-3")), 200);
  cr_assert(test.readBack() == configuration(5, "key-2"));
  cr_assert_eq(test.call("GET", "/q/").status, 401, "its key was taken away");
}

Test(workflows_processes, a_killed_leader_and_a_restarted_agent_lose_and_repeat_no_task) {
  WorkflowDeployment test;
  test.setUp();
  for (int i = 0; i < 6; ++i) {
    cr_assert_eq(test.call("POST", "/q/00000000000000b" + std::to_string(i), job(2, "1500")).status, 200);
  }
  pause(300);
  const unsigned leader = test.leader();
  test.kill("control-" + std::to_string(leader));
  test.kill("agent-1");
  test.agent(1);
  for (int i = 0; i < 6; ++i) {
    const std::string id = "00000000000000b" + std::to_string(i);
    cr_assert(test.until(200, "GET", "/q/" + id, "", "completed"));
    for (int task = 0; task < 2; ++task) {
      const std::string name = "\"" + id + ".0.0." + std::to_string(task) + "\":";
      cr_assert_eq(test.counted(name), 1, "%s ran on two back ends", name.c_str());
    }
  }
  test.control(leader, false);
  cr_assert(test.until(200, "POST", "/q/00000000000000bf", job(1, "50")));
}

Test(workflows_processes, a_lost_disk_is_replaced_and_a_lost_replica_by_another_address) {
  WorkflowDeployment test;
  test.setUp();
  cr_assert_eq(test.call("POST", "/q/00000000000000c0", job(1, "50")).status, 200);
  const unsigned first = test.leader();
  test.kill("control-" + std::to_string(first));
  test.wipe(first);
  test.control(first, false);
  cr_assert(test.until(200, "GET", "/q/00000000000000c0", "", "completed"));
  pause(2500);
  // One replica is lost for good and a fourth joins with an empty disk; then a second of the first three is killed.
  const unsigned second = test.leader();
  test.kill("control-" + std::to_string(second));
  test.control(4, false);
  cr_assert(test.until(200, "GET", "/q/00000000000000c0", "", "completed"));
  pause(4000);
  const unsigned third = test.leader();
  cr_assert_neq(third, 0);
  test.kill("control-" + std::to_string(third));
  cr_assert(test.until(200, "POST", "/q/00000000000000c1", job(1, "50")));
  cr_assert(test.until(200, "GET", "/q/00000000000000c1", "", "completed"));
  cr_assert(test.readBack() == configuration(1));
}

Test(workflows_processes, workflows_complete_while_back_ends_crash_stall_or_leave) {
  WorkflowDeployment test;
  test.setUp();
  for (int i = 0; i < 6; ++i) {
    cr_assert_eq(test.call("POST", "/q/00000000000000d" + std::to_string(i), job(2, "800")).status, 200);
  }
  pause(200);
  test.runner(1, "POST", "/crash");
  test.runner(2, "POST", "/mute?ms=1500");
  for (int i = 0; i < 6; ++i) {
    cr_assert(test.until(200, "GET", "/q/00000000000000d" + std::to_string(i), "", "completed"));
  }
  test.runner(1, "POST", "/drain");
  pause(600);
  cr_assert_eq(test.call("POST", "/q/00000000000000df", job(4, "50")).status, 200);
  cr_assert(test.until(200, "GET", "/q/00000000000000df", "", "completed"));
  cr_assert_not(test.runner(1, "GET", "/starts").has("00000000000000df"), "a leaving target gets no new work");
}

Test(workflows_processes, sighup_reloads_settings_and_sigterm_stops_cleanly) {
  WorkflowDeployment test;
  test.setUp();
  for (const char* name : {"control-1", "control-2", "control-3", "agent-1", "agent-2", "entry-1"}) {
    test.process(name).signal(SIGHUP);
  }
  pause(1500);
  cr_assert(test.until(200, "POST", "/q/00000000000000e0", job(1, "50")));
  const unsigned leader = test.leader();
  test.process("control-" + std::to_string(leader)).signal(SIGTERM);
  cr_assert_eq(test.process("control-" + std::to_string(leader)).wait(milliseconds(6000)), 0);
  cr_assert(test.until(200, "POST", "/q/00000000000000e1", job(1, "50")));
  test.process("agent-1").signal(SIGTERM);
  cr_assert_eq(test.process("agent-1").wait(milliseconds(6000)), 0);
  test.process("entry-1").signal(SIGTERM);
  cr_assert_eq(test.process("entry-1").wait(milliseconds(40000)), 0);
}

// The drain has to survive the loss of the leader and of a disk.
Test(workflows_processes, a_drained_data_hall_gets_no_new_work_until_the_drain_ends) {
  WorkflowDeployment test;
  test.setUp();
  cr_assert_eq(test.order("/-/Evacuations.Start/no/hall"), 400);
  cr_assert_eq(test.call("POST", "/q/00000000000000f0", job(12, "1500")).status, 200);
  // The scheduler keeps both targets free for urgent work during the first four seconds.
  for (int wait = 0; wait < 1000 && !test.runner(2, "GET", "/starts").has("00000000000000f0"); ++wait) pause(20);
  cr_assert(test.runner(2, "GET", "/starts").has("00000000000000f0"));
  cr_assert_eq(test.order("/-/Evacuations.Start/hall-2"), 200);
  cr_assert_eq(test.order("/-/Evacuations.Start/hall-2"), 200, "the same again");
  cr_assert_eq(test.call("POST", "/q/00000000000000f1", job(4, "100")).status, 200);
  cr_assert(test.until(200, "GET", "/q/00000000000000f1", "", "completed"));
  cr_assert(test.until(200, "GET", "/q/00000000000000f0", "", "completed"), "what runs there ends by itself");
  const unsigned leader = test.leader();
  test.kill("control-" + std::to_string(leader));
  test.wipe(leader);
  test.control(leader, false);
  cr_assert(test.until(200, "POST", "/q/00000000000000f2", job(4, "100")));
  cr_assert(test.until(200, "GET", "/q/00000000000000f2", "", "completed"));
  const std::string drained = test.runner(2, "GET", "/starts").body;
  cr_assert(drained.find("00000000000000f1") == std::string::npos, "started in a drained hall: %s", drained.c_str());
  cr_assert(drained.find("00000000000000f2") == std::string::npos, "a new leader forgot the drain: %s",
            drained.c_str());
  cr_assert_eq(test.order("/-/Evacuations.Finish/hall-2"), 200);
  cr_assert(test.until(200, "POST", "/q/00000000000000f3", job(16, "300")));
  cr_assert(test.until(200, "GET", "/q/00000000000000f3", "", "completed"));
  cr_assert(test.runner(2, "GET", "/starts").has("00000000000000f3"), "its targets are used again");
}

// The slowdown of a target is estimated from its runs; a new leader has to know it without another run.
Test(workflows_processes, a_new_leader_knows_which_target_is_slow) {
  WorkflowDeployment test;
  test.setUp();
  cr_assert_eq(test.runner(2, "POST", "/slow?percent=300").status, 200);
  for (int i = 0; i < 3; ++i) {
    const std::string id = "00000000000001a" + std::to_string(i);
    cr_assert_eq(test.call("POST", "/q/" + id, job(14, "400")).status, 200);
    cr_assert(test.until(200, "GET", "/q/" + id, "", "completed"));
  }
  const double before = test.timeFactor(2) / test.timeFactor(1);
  cr_assert(before > 1.5, "%.2f of 3", before);
  test.kill("control-" + std::to_string(test.leader()));
  cr_assert(test.until(200, "GET", "/q/", "", "pending"));
  double after = 0.0;
  for (int wait = 0; wait < 200 && !(after > 1.5); ++wait) {
    pause(20);
    after = test.timeFactor(2) / test.timeFactor(1);
  }
  cr_assert(after > 1.5, "%.2f at the new leader", after);
}

// Guards against a gang that waits forever for the only target where it has not failed, while that target is on
// probation.
Test(workflows_processes, a_gang_that_fails_ends_beside_a_target_on_probation) {
  WorkflowDeployment test;
  test.setUp();
  cr_assert_eq(test.order("/-/Evacuations.Start/hall-1"), 200);
  for (const char* id : {"00000000000001b1", "00000000000001b2"}) {
    cr_assert_eq(test.call("POST", std::string("/q/") + id, job(1, "fail")).status, 200);
    cr_assert(test.until(200, "GET", std::string("/q/") + id, "", "failed"));
  }
  cr_assert_eq(test.order("/-/Evacuations.Finish/hall-1"), 200);
  cr_assert_eq(test.call("POST", "/q/00000000000001b3", gang(4, "fail")).status, 200);
  cr_assert(test.until(200, "GET", "/q/00000000000001b3", "", "failed"));
}

// Guards against a second and last attempt on a target where another job failed 10 ms before.
Test(workflows_processes, the_last_attempt_avoids_targets_where_others_failed) {
  WorkflowDeployment test(3);
  test.setUp();
  cr_assert_eq(test.call("POST", "/q/00000000000001c0", job(8, "14000")).status, 200);
  cr_assert(test.until(200, "GET", "/q/00000000000001c0", "", "running"));
  pause(300);
  unsigned full = 0;
  for (unsigned i = 1; i <= 3; ++i) {
    if (test.runner(i, "GET", "/starts").has("00000000000001c0")) {
      full = i;
    } else {
      test.runner(i, "POST", "/fail?ms=30000");
    }
  }
  cr_assert_neq(full, 0);
  cr_assert_eq(test.call("POST", "/q/00000000000001c1", job(1, "50")).status, 200);
  cr_assert(test.until(200, "GET", "/q/00000000000001c1", "", "failed"),
            "neither failing target was known to fail yet");
  cr_assert_eq(test.call("POST", "/q/00000000000001c2", job(1, "50")).status, 200);
  cr_assert(test.until(200, "GET", "/q/00000000000001c2", "", "completed"));
  cr_assert(test.runner(full, "GET", "/starts").has("00000000000001c2"));
}

// The recorded use has to reach the plans of the leader and of the leader after it. Without prospects and ageing, work
// of a workspace that submits little waits for the whole backlog of one that submitted before.
Test(workflows_processes, fair_shares_hold_after_a_change_of_leader) {
  WorkflowDeployment test(2, "{fairShares: true, prospects: false, ageing: false, headroom: false}");
  std::string two = configuration(1);
  two.replace(two.find(R"("tenants":[)"), 11, R"("tenants":[{"name":"u","api_keys":["key-2"]},)");
  cr_assert_eq(test.configure(two), 200);
  cr_assert(test.until(200, "GET", "/q/", "", "pending"));
  // 16 tasks run at once, so this is work for 18 s.
  for (int i = 0; i < 8; ++i) {
    cr_assert_eq(test.call("POST", "/q/00000000000000e" + std::to_string(i), job(24, "1500")).status, 200);
  }
  const auto submit = [&](const std::string& id) {
    const auto accepted = [&] { return test.call("POST", "/q/" + id, job(1, "100"), "key-2").status == 200; };
    for (int tries = 0; tries < 100 && !accepted(); ++tries) pause(50);
  };
  const auto awaitEnd = [&](const std::string& id) {
    const auto done = [&] { return test.call("GET", "/q/" + id, "", "key-2").has("completed"); };
    for (int tries = 0; tries < 400 && !done(); ++tries) pause(20);
    cr_assert(done(), "%s: %s", id.c_str(), test.call("GET", "/q/" + id, "", "key-2").body.c_str());
    cr_assert_not(test.call("GET", "/q/00000000000000e7").has("completed"), "the backlog of the large one remains");
  };
  cr_assert(test.until(200, "GET", "/q/00000000000000e3", "", "completed"));
  submit("00000000000001e0");
  awaitEnd("00000000000001e0");
  const unsigned leader = test.leader();
  cr_assert_gt(test.metric(leader, "courseloom_workspace_share_percent_count"), 0.0);
  test.kill("control-" + std::to_string(leader));
  submit("00000000000001e1");
  awaitEnd("00000000000001e1");
  cr_assert_gt(test.metric(test.leader(), "courseloom_workspace_share_percent_count"), 0.0, "the new leader has them");
}

// Guards against a slow run of a speculative step that determines the end of its workflow, and against one that runs to
// its end although its copy is done.
Test(workflows_processes, a_copy_of_a_slow_run_is_done_first_and_the_slow_run_is_stopped) {
  WorkflowDeployment test(2, "{copies: true, remainingTimes: true, headroom: false}");
  test.setUp();
  for (unsigned i = 1; i <= 2; ++i) cr_assert_eq(test.runner(i, "POST", "/slow?percent=1000").status, 200);
  const std::string id = "00000000000001d0";
  std::string spec = job(1, "1500");
  spec.insert(spec.find("\"checkpointing\""), "\"speculative\":true,");
  cr_assert_eq(test.call("POST", "/q/" + id, spec).status, 200);
  for (int wait = 0; wait < 200 && test.counted(id) == 0; ++wait) pause(20);
  cr_assert_eq(test.counted(id), 1);
  for (unsigned i = 1; i <= 2; ++i) cr_assert_eq(test.runner(i, "POST", "/slow?percent=100").status, 200);
  const Time started = BootClock::now();
  cr_assert(test.until(200, "GET", "/q/" + id, "", "completed"));
  cr_assert(BootClock::now() - started < milliseconds(12000), "the slow run takes 15 s");
  cr_assert_eq(test.counted(id), 2, "the copy is on the other back end");
  for (unsigned i = 1; i <= 2; ++i) {
    for (int wait = 0; wait < 100 && !test.runner(i, "GET", "/starts").has("\"running\":0"); ++wait) pause(20);
    cr_assert(test.runner(i, "GET", "/starts").has("\"running\":0"));
  }
  cr_assert_eq(test.metric(test.leader(), "courseloom_copies_started_total"), 1.0);
  cr_assert_eq(test.metric(test.leader(), "courseloom_copies_done_first_total"), 1.0);
}

// Guards against a backlog that grows without bound: once new work cannot end while its result is of use, it is
// rejected as work that did not run, and it is accepted after the backlog is gone. A workflow that is known
// already is accepted all the same.
Test(workflows_processes, a_rejected_submission_did_not_run_and_is_accepted_later) {
  WorkflowDeployment test(2, "{admission: true}");
  test.setUp();
  // Until the targets have arrived, everything is accepted.
  pause(6000);
  const auto idOf = [](unsigned i) { return "/q/00000000000f" + std::to_string(1000 + i); };
  unsigned accepted = 0;
  std::string answer;
  while (accepted < 400) {
    answer = test.submitRaw(idOf(accepted), job(8, "1000"));
    if (answer.find(" 200 ") == std::string::npos) break;
    ++accepted;
  }
  cr_assert_geq(accepted, 3, "an empty system takes work");
  cr_assert_lt(accepted, 400, "nothing was rejected");
  cr_assert(answer.find(" 503 ") != std::string::npos, "%s", answer.c_str());
  cr_assert(answer.find("Retry-After: ") != std::string::npos, "%s", answer.c_str());
  cr_assert_eq(test.call("GET", idOf(accepted)).status, 410, "it did not run");
  cr_assert_eq(test.call("POST", idOf(0), job(8, "1000")).status, 200, "it is known already");
  const unsigned leader = test.leader();
  cr_assert_geq(test.metric(leader, "courseloom_workflow_rejections_total"), 1.0);
  for (unsigned i = 0; i < accepted; ++i) cr_assert_eq(test.call("DELETE", idOf(i)).status, 200);
  cr_assert(test.until(200, "POST", idOf(accepted), job(8, "50")));
  cr_assert(test.until(200, "GET", idOf(accepted), "", "completed"));
}

// Guards against a rejection that outlives its leader: the next one knows neither the place nor the backlog's forecast
// of its predecessor, and the caller that returns is served like a new one.
Test(workflows_processes, a_caller_that_was_rejected_by_a_lost_leader_is_accepted_by_the_next) {
  WorkflowDeployment test(2, "{admission: true}");
  test.setUp();
  pause(6000);
  const auto idOf = [](unsigned i) { return "/q/00000000000e" + std::to_string(1000 + i); };
  unsigned accepted = 0;
  while (accepted < 400 && test.call("POST", idOf(accepted), job(8, "50")).status == 200) ++accepted;
  cr_assert_lt(accepted, 400, "nothing was rejected");
  test.kill("control-" + std::to_string(test.leader()));
  cr_assert(test.until(200, "POST", idOf(accepted), job(8, "50")));
  cr_assert(test.until(200, "GET", idOf(accepted), "", "completed"));
  cr_assert(test.until(200, "GET", idOf(0), "", "completed"), "it was accepted by the lost leader");
}

// Guards against workflows that are no longer counted as pending once their queue has got another name.
Test(workflows_processes, pending_counts_workflows_that_were_accepted_under_a_former_name_of_the_queue) {
  WorkflowDeployment test;
  test.setUp();
  // No target has so many accelerators.
  const std::string waiting = job(1, "100", false, 64);
  for (int i = 0; i < 3; ++i) {
    cr_assert_eq(test.call("POST", "/q/00000000000005a" + std::to_string(i), waiting).status, 200);
  }
  cr_assert(test.until(200, "GET", "/q/", "", R"("pending":3)"));
  std::string renamed = configuration(2);
  const std::string name = R"("name":"q")";
  renamed.replace(renamed.find(name), name.size(), R"("name":"q-now")");
  cr_assert_eq(test.configure(renamed), 200);
  cr_assert_eq(test.call("POST", "/q/00000000000005af", waiting).status, 200);
  cr_assert(test.until(200, "GET", "/q/", "", R"("pending":4)"));
}
