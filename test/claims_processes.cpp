// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Requests that must not be repeated never run twice, also when real processes are killed meanwhile.

#include <csignal>
#include <thread>

#include "test/Processes.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

void pause(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/** Retries a request with the same id through both entries in turn until the answer is final, for at most 25 s. */
HttpReply retryUntilFinal(Deployment& deployment, const std::string& id, const std::string& body) {
  HttpReply reply;
  const Time end = BootClock::now() + milliseconds(25000);
  for (int i = 0; BootClock::now() < end; ++i) {
    reply = send(deployment.request(i % 2 == 0 ? "entry-1" : "entry-2", body, id));
    const bool retry = reply.status == 0 || reply.has("ask again") || reply.has("retryAfterMs");
    if (!retry) return reply;
    pause(100);
  }
  return reply;
}

/** \returns several calls with the same request, to both entries in turn. */
std::vector<HttpCall> concurrentCalls(const std::string& id, int count, const Deployment& deployment) {
  std::vector<HttpCall> calls;
  for (int i = 0; i < count; ++i) calls.push_back(deployment.request(i % 2 == 0 ? "entry-1" : "entry-2", "alert", id));
  return calls;
}

}  // namespace

Test(claims_processes, concurrent_calls_with_the_same_request_run_it_once) {
  Deployment deployment({3, 2, 2, "", "", ""});
  deployment.setUp();
  deployment.behave("target-1", "slow", 100);
  deployment.behave("target-2", "slow", 100);
  unsigned answered = 0;
  HttpReply other;
  for (const HttpReply& reply : sendAll(concurrentCalls("r1", 20, deployment))) {
    const bool whole = reply.status == 200 && reply.has("answers: alert");
    answered += whole ? 1 : 0;
    if (!whole) other = reply;
  }
  cr_assert_eq(answered, 20, "%u of 20 got the answer; another reply: %u %s", answered, other.status,
               other.body.c_str());
  cr_assert_eq(deployment.runs("r1"), 1);
}

// With one target, an attempt that another caller has fenced cannot go to another target.
Test(claims_processes, callers_that_fence_each_other_all_get_the_answer) {
  Deployment deployment({3, 2, 1, "", "", ""});
  deployment.setUp();
  for (int round = 0; round < 15; ++round) {
    const std::string id = "contested-" + std::to_string(round);
    for (const HttpReply& reply : sendAll(concurrentCalls(id, 40, deployment))) {
      cr_assert(reply.status == 200 && reply.has("answers: alert"), "%s: %u %s", id.c_str(), reply.status,
                reply.body.c_str());
    }
    cr_assert_eq(deployment.runs(id), 1, "%s", id.c_str());
  }
}

// An agent whose token table is full starts a new incarnation of it, which entries learn only from the next heartbeat.
Test(claims_processes, a_full_token_table_refuses_no_request) {
  Deployment deployment({3, 2, 1, "", "maxKeptAnswers: 64", ""});
  deployment.setUp();
  unsigned refused = 0;
  std::string first;
  for (int round = 0; round < 60; ++round) {
    std::vector<HttpCall> calls;
    for (int i = 0; i < 8; ++i) {
      const std::string id = "kept-" + std::to_string(round) + "-" + std::to_string(i);
      calls.push_back(deployment.request(i % 2 == 0 ? "entry-1" : "entry-2", "alert", id));
    }
    for (const HttpReply& reply : sendAll(calls)) {
      if (reply.status == 200) continue;
      ++refused;
      if (first.empty()) first = reply.body;
    }
  }
  cr_assert_eq(refused, 0, "%u of 480 were refused, the first with %s", refused, first.c_str());
}

// After one caller was fenced, another may run the request, so the first caller's deadline does not prove that it did
// not run. Only an attempt that the agent refused for lack of time certainly did not run.
Test(claims_processes, a_request_that_one_caller_ran_is_not_reported_to_another_as_not_run) {
  Deployment deployment({3, 2, 1, "", "", ""});
  deployment.setUp();
  for (int round = 0; round < 40; ++round) {
    const std::string id = "hurried-" + std::to_string(round);
    std::vector<HttpCall> calls = concurrentCalls(id, 40, deployment);
    int deadlineMs = 5;
    for (HttpCall& call : calls) {
      call.headers.emplace_back("Courseloom-Deadline-Ms", std::to_string(deadlineMs));
      deadlineMs += 2;
    }
    const std::vector<HttpReply> replies = sendAll(calls);
    pause(50);
    if (deployment.runs(id) == 0) continue;
    for (const HttpReply& reply : replies) {
      const bool refused = reply.has("\"step\":\"admission\"");
      cr_assert(refused || !reply.has("\"ran\":\"no\""), "%s ran: %u %s", id.c_str(), reply.status, reply.body.c_str());
    }
  }
}

Test(claims_processes, a_request_that_ran_is_not_reported_as_not_run_after_its_service_is_deleted) {
  Deployment deployment({3, 2, 1, "", "", ""});
  deployment.setUp();
  const HttpCall call = deployment.request("entry-1", "alert", "gone");
  cr_assert_eq(send(call).status, 200);
  const std::string entry = deployment.http("entry-1");
  cr_assert_eq(send({entry, "DELETE", "/v1/objects/service/quotes"}).status, 200);
  cr_assert(deployment.until(call, "unknown-service"));
  const HttpReply reply = send(call);
  cr_assert(reply.has("\"ran\":\"unknown\""), "it ran once: %u %s", reply.status, reply.body.c_str());
}

Test(claims_processes, an_entry_killed_during_a_request_leaves_one_run_and_its_answer) {
  Deployment deployment({3, 2, 2, "", "", ""});
  deployment.setUp();
  deployment.behave("target-1", "slow", 400);
  deployment.behave("target-2", "slow", 400);
  for (int i = 0; i < 4; ++i) {
    const std::string id = "killed-" + std::to_string(i);
    std::thread caller([&] { send(deployment.request("entry-1", "statement", id)); });
    pause(20 + 110 * i);
    deployment.kill("entry-1");
    caller.join();
    const HttpReply reply = send(deployment.request("entry-2", "statement", id));
    cr_assert(reply.status == 200 && reply.has("answers: statement"), "%u %s", reply.status, reply.body.c_str());
    cr_assert_eq(deployment.runs(id), 1, "%s", id.c_str());
    deployment.start("entry-1");
    deployment.until({deployment.http("entry-1"), "GET", "/readyz"}, "ready\n");
  }
}

Test(claims_processes, an_agent_killed_during_a_request_leaves_an_unknown_outcome) {
  Deployment deployment({3, 2, 1, "", "", ""});
  deployment.setUp();
  deployment.behave("target-1", "slow", 500);
  std::thread caller([&] {
    const HttpReply reply = send(deployment.request("entry-1", "bill", "lost"));
    cr_assert(reply.has("\"ran\":\"unknown\""), "%u %s", reply.status, reply.body.c_str());
  });
  pause(200);
  deployment.restart("agent-1");
  caller.join();
  const HttpReply reply = retryUntilFinal(deployment, "lost", "bill");
  cr_assert(reply.has("outcome-unknown") && reply.has("\"ran\":\"unknown\""), "%u %s", reply.status,
            reply.body.c_str());
  cr_assert(deployment.runs("lost") <= 1);
}

Test(claims_processes, a_leader_killed_during_claims_runs_no_request_twice) {
  Deployment deployment({3, 2, 2, "", "", ""});
  deployment.setUp();
  std::vector<HttpCall> calls;
  for (int i = 0; i < 60; ++i)
    calls.push_back(deployment.request(i % 2 == 0 ? "entry-1" : "entry-2", "body", "c" + std::to_string(i)));
  const std::string leader = deployment.leader();
  std::thread callers([&] { sendAll(calls); });
  pause(15);
  deployment.kill(leader);
  callers.join();
  for (int i = 0; i < 60; ++i) {
    const std::string id = "c" + std::to_string(i);
    const HttpReply reply = retryUntilFinal(deployment, id, "body");
    cr_assert(reply.status == 200, "%s: %u %s", id.c_str(), reply.status, reply.body.c_str());
    cr_assert_eq(deployment.runs(id), 1, "%s ran %d times", id.c_str(), deployment.runs(id));
  }
}
