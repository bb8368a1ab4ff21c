// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Control replicas as processes: paused leaders, followers far behind, lost disks, leaving targets and planned stops.

#include <atomic>
#include <csignal>
#include <thread>

#include "test/Processes.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

void pause(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

std::string weightOf(int weight) {
  return R"({"objects":[{"name":"andes","workspace":{"weight":)" + std::to_string(weight) + "}}]}";
}

/** Applies objects with the same command id until they are accepted, at most 40 times, as an operator would. */
HttpReply applyUntilAccepted(Deployment& deployment, const std::string& json, const std::string& id) {
  HttpReply reply;
  for (int i = 0; i < 40 && reply.status != 200; ++i) reply = deployment.apply(json, id);
  return reply;
}

/** \returns the number of voting replicas in a status answer. */
std::size_t votersIn(const std::string& status) {
  std::size_t count = 0;
  for (std::size_t at = 0; (at = status.find("\"voter\": true", at)) != std::string::npos; ++at) ++count;
  return count;
}

bool shows(Deployment& deployment, const std::string& text) {
  return deployment.until({deployment.http("entry-1"), "GET", "/v1/objects?selector=name%3Dandes"}, text,
                          milliseconds(10000));
}

}  // namespace

Test(control_processes, a_leader_that_resumes_after_a_pause_reverts_nothing) {
  Deployment deployment({3, 1, 1, "", "", ""});
  deployment.setUp();
  const std::string old = deployment.leader();
  cr_assert_eq(applyUntilAccepted(deployment, weightOf(5), "first").status, 200);
  deployment.process(old).signal(SIGSTOP);
  cr_assert_eq(applyUntilAccepted(deployment, weightOf(6), "second").status, 200);
  deployment.process(old).signal(SIGCONT);
  cr_assert_neq(deployment.leader(), old);
  cr_assert(shows(deployment, "\"weight\": 6"));
  // The first command, sent again after the second, gets its original answer and changes nothing.
  const HttpReply again = applyUntilAccepted(deployment, weightOf(5), "first");
  cr_assert(again.has("\"replayed\": true"), "%s", again.body.c_str());
  cr_assert(shows(deployment, "\"weight\": 6"));
}

Test(control_processes, two_disks_lost_in_turn_lose_no_accepted_change) {
  Deployment deployment({3, 1, 1, "", "", "control: {snapshotEntries: 50}\n"});
  deployment.setUp();
  for (int i = 1; i <= 60; ++i)
    cr_assert_eq(applyUntilAccepted(deployment, weightOf(i), "c" + std::to_string(i)).status, 200);
  for (const char* lost : {"control-1", "control-2"}) {
    deployment.kill(lost);
    deployment.wipe(lost);
    deployment.start(lost);
    // The leader admits the replica without an operator: its new disk votes again, like the two others.
    const std::string founding = "founding-test-" + std::string(lost).substr(8);
    const auto promoted = [&] {
      const std::string body = deployment.status().body;
      return votersIn(body) == 3 && body.find(founding) == std::string::npos;
    };
    const Time end = BootClock::now() + milliseconds(15000);
    while (!promoted() && BootClock::now() < end) pause(50);
    cr_assert(promoted(), "%s was not promoted", lost);
    cr_assert(shows(deployment, "\"weight\": 60"));
  }
  deployment.kill("control-3");
  cr_assert_eq(applyUntilAccepted(deployment, weightOf(61), "last").status, 200);
  cr_assert(shows(deployment, "\"weight\": 61"));
}

Test(control_processes, two_disks_lost_at_once_are_recovered_from_the_third_by_an_operator) {
  Deployment deployment({3, 1, 1, "", "", ""});
  deployment.setUp();
  cr_assert_eq(applyUntilAccepted(deployment, weightOf(7), "before").status, 200);
  pause(500);
  const std::string last = deployment.leader();
  for (const char* name : {"control-1", "control-2", "control-3"}) deployment.kill(name);
  for (const char* name : {"control-1", "control-2", "control-3"}) {
    if (name != last) deployment.wipe(name);
  }
  cr_assert_eq(deployment.runOption(last, "--inspect"), 0);
  cr_assert_eq(deployment.runOption(last, "--recover"), 0);
  for (const char* name : {"control-1", "control-2", "control-3"}) deployment.start(name);
  cr_assert(shows(deployment, "\"weight\": 7"));
  cr_assert_eq(applyUntilAccepted(deployment, weightOf(8), "after").status, 200);
  const HttpCall status{deployment.http("entry-1"), "GET", "/v1/status"};
  const auto voters = [&] { return votersIn(send(status).body); };
  const Time end = BootClock::now() + milliseconds(15000);
  while (voters() < 3 && BootClock::now() < end) pause(50);
  cr_assert_eq(voters(), 3, "the two new disks were not promoted");
}

Test(control_processes, a_follower_and_an_entry_back_after_500_changes_catch_up) {
  Deployment deployment({3, 2, 1, "", "", ""});
  deployment.setUp();
  std::string follower = deployment.leader() == "control-1" ? "control-2" : "control-1";
  deployment.kill(follower);
  deployment.process("entry-2").signal(SIGSTOP);
  for (int i = 1; i <= 500; ++i)
    cr_assert_eq(applyUntilAccepted(deployment, weightOf(i), "c" + std::to_string(i)).status, 200);
  deployment.process("entry-2").signal(SIGCONT);
  deployment.start(follower);
  cr_assert(deployment.until({deployment.http("entry-2"), "GET", "/readyz"}, "ready\n"));
  // From here the cluster needs the follower that was behind for its quorum.
  deployment.kill(deployment.leader());
  cr_assert_eq(applyUntilAccepted(deployment, weightOf(501), "last").status, 200);
  cr_assert(shows(deployment, "\"weight\": 501"));
}

Test(control_processes, an_entry_without_control_refuses_requests_as_not_run) {
  Deployment deployment({1, 1, 1, "", "", ""});
  deployment.setUp();
  deployment.process("control-1").signal(SIGSTOP);
  cr_assert(deployment.until(deployment.request("entry-1", "x"), "not-fresh", milliseconds(10000)));
  const HttpReply refused = send(deployment.request("entry-1", "x"));
  cr_assert(refused.has("\"ran\":\"no\"") && refused.has("retryAfterMs"), "%s", refused.body.c_str());
  deployment.process("control-1").signal(SIGCONT);
  cr_assert(deployment.until(deployment.request("entry-1", "x"), "answers", milliseconds(10000)));
}

Test(control_processes, a_leaving_target_gets_no_requests_after_three_seconds) {
  Deployment deployment({1, 2, 2, "--lag-ms 300", "", ""});
  deployment.setUp();
  send({deployment.http("platform"), "POST", "/instance?name=target-1&leaving=1"});
  pause(3000);
  for (int i = 0; i < 60; ++i) {
    const HttpReply reply = send(deployment.request(i % 2 == 0 ? "entry-1" : "entry-2", "x"));
    cr_assert(reply.body == "target-2 answers: x", "%s", reply.body.c_str());
  }
}

Test(control_processes, a_rolling_restart_under_load_fails_and_repeats_no_request) {
  Deployment deployment({3, 2, 2, "", "queueLimit: 1000", "entry: {notReadyMs: 300}\n"});
  deployment.setUp();
  deployment.behave("target-1", "late", 20);
  deployment.behave("target-2", "late", 20);
  std::atomic<bool> done{false};
  std::atomic<int> sent{0};
  std::vector<std::string> wrong;
  std::thread load([&] {
    // Acts as a load balancer: only ready entries get new requests, on new connections.
    for (int round = 0; !done; ++round) {
      std::vector<HttpCall> calls;
      for (const char* entry : {"entry-1", "entry-2"}) {
        if (send({deployment.http(entry), "GET", "/readyz"}).status != 200) continue;
        for (int i = 0; i < 8; ++i) {
          const std::string id = "roll-" + std::to_string(round) + "-" + entry + "-" + std::to_string(i);
          calls.push_back(deployment.request(entry, id, i % 4 == 0 ? id : ""));
        }
      }
      const std::vector<HttpReply> replies = sendAll(calls);
      for (std::size_t i = 0; i < replies.size(); ++i) {
        ++sent;
        if (replies[i].status != 200 || !replies[i].has("answers: " + calls[i].body))
          wrong.push_back(calls[i].body + ": " + replies[i].body);
        if (replies[i].status == 200 && calls[i].headers.size() > 1 && deployment.runs(calls[i].body) != 1)
          wrong.push_back(calls[i].body + " did not run once");
      }
    }
  });
  for (const char* name : {"agent-1", "control-1", "agent-2", "control-2", "control-3"}) {
    deployment.process(name).signal(SIGTERM);
    const int code = deployment.process(name).wait(milliseconds(15000));
    cr_expect_eq(code, 0, "%s ended with %d", name, code);
    deployment.start(name);
    pause(3000);
  }
  deployment.process("entry-2").signal(SIGTERM);
  cr_expect_eq(deployment.process("entry-2").wait(milliseconds(15000)), 0);
  done = true;
  load.join();
  for (const std::string& one : wrong) cr_log_error("%s", one.c_str());
  cr_assert(sent > 100, "only %d requests were sent", sent.load());
  cr_assert(wrong.empty(), "%zu of %d requests went wrong", wrong.size(), sent.load());
}
