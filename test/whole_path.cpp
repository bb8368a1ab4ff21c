// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The path of a request through separate processes: wrong and late answers of targets, and invalid input.

#include <csignal>

#include "test/Processes.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

Test(whole_path, each_of_500_callers_gets_its_own_complete_answer) {
  Deployment deployment({3, 2, 2, "", "queueLimit: 1000", ""});
  deployment.setUp();
  deployment.behave("target-1", "late", 40);
  deployment.behave("target-2", "late", 40);
  std::vector<HttpCall> calls;
  std::vector<std::string> bodies;
  for (int i = 0; i < 500; ++i) {
    bodies.push_back("request " + std::to_string(i) + " " + std::string(static_cast<std::size_t>(i) * 7, 'x') + " end");
    calls.push_back(deployment.request(i % 2 == 0 ? "entry-1" : "entry-2", bodies.back()));
  }
  const std::vector<HttpReply> replies = sendAll(calls);
  for (std::size_t i = 0; i < replies.size(); ++i) {
    cr_assert_eq(replies[i].status, 200, "request %zu: %u %s", i, replies[i].status, replies[i].body.c_str());
    const std::string wanted = " answers: " + bodies[i];
    cr_assert(replies[i].body.size() > wanted.size() && replies[i].body.substr(8) == wanted, "request %zu got '%s'", i,
              replies[i].body.c_str());
  }
  for (const char* target : {"target-1", "target-2"}) {
    const int peak = std::atoi(send({deployment.http(target), "GET", "/peak"}).body.c_str());
    cr_assert(peak <= 8, "%s ran %d requests at once on 8 slots", target, peak);
  }
}

Test(whole_path, wrong_answers_of_a_target_never_reach_a_caller) {
  Deployment deployment({1, 1, 2, "", "", ""});
  deployment.setUp();
  for (const char* mode : {"cut", "truncate", "cross", "drop"}) {
    // With one faulty target, a repeatable request gets the complete answer of the other one.
    deployment.behave("target-1", mode);
    for (int i = 0; i < 6; ++i) {
      const HttpReply reply = send(deployment.request("entry-1", "whole"));
      cr_assert(reply.status == 200 && reply.body == "target-2 answers: whole", "%s: %u %s", mode, reply.status,
                reply.body.c_str());
    }
    // With two, the caller gets an error that says that the request may have run, never a truncated answer.
    deployment.behave("target-2", mode);
    const HttpReply reply = send(deployment.request("entry-1", "whole"));
    cr_assert(reply.status >= 500 && reply.has("\"ran\":\"unknown\""), "%s: %u %s", mode, reply.status,
              reply.body.c_str());
    deployment.behave("target-1", "ok");
    deployment.behave("target-2", "ok");
    deployment.until(deployment.request("entry-1", "again"), "target-1 answers");
  }
}

// Guards against a repeatable request that crashes its target being retried on every target.
Test(whole_path, a_request_that_crashes_its_target_is_retried_at_most_twice) {
  Deployment deployment({1, 1, 5, "", "", ""});
  deployment.setUp();
  for (int i = 1; i <= 5; ++i) deployment.behave("target-" + std::to_string(i), "cut");
  const HttpReply reply = send(deployment.request("entry-1", "ends its target"));
  cr_assert(reply.status >= 500 && reply.has("\"ran\":\"unknown\""), "%u %s", reply.status, reply.body.c_str());
  const std::string metrics = send({deployment.http("entry-1"), "GET", "/metrics"}).body;
  const std::string counter = "courseloom_retries_total{kind=\"target-failed\"} ";
  const std::size_t at = metrics.find(counter);
  cr_assert(at != std::string::npos, "%s", metrics.c_str());
  const int retries = std::atoi(metrics.c_str() + at + counter.size());
  cr_assert(retries <= 2, "it was retried on %d further targets", retries);
}

Test(whole_path, invalid_input_gets_a_4xx_and_does_not_run) {
  Deployment deployment({1, 1, 1, "", "", "entry: {maxBodyBytes: 4096, idleTimeoutMs: 1000}\n"});
  deployment.setUp();
  const std::string entry = deployment.http("entry-1");
  const Headers workspace{{"Courseloom-Workspace", "andes"}};
  const Headers json{{"Content-Type", "application/json"}};
  const std::string path = "/v1/services/quotes/requests";
  struct Case {
    HttpCall call;
    unsigned status;
    std::string code;
  };
  const std::string job = R"({"workspace":"andes","service":"quotes","shape":)";
  const std::vector<Case> cases{
      {{entry, "POST", "/v1/services/other/requests", "x", workspace}, 404, "unknown-service"},
      {{entry, "POST", path, "x", {{"Courseloom-Workspace", "nobody"}}}, 403, "unknown-workspace"},
      {{entry, "POST", path, "x", {}}, 400, "bad-request"},
      {{entry, "GET", path, "", workspace}, 405, "method-not-allowed"},
      {{entry, "POST", path, std::string(5000, 'x'), workspace}, 413, "body-too-large"},
      {{entry, "POST", path, "x", {{"Courseloom-Workspace", std::string(20000, 'w')}}}, 431, "header-too-large"},
      {{entry, "POST", path, "x", {{"Courseloom-Workspace", "andes"}, {"Courseloom-Repeatable", "maybe"}}},
       400,
       "bad-request"},
      {{entry, "POST", path, "x", {{"Courseloom-Workspace", "andes"}, {"Courseloom-Repeatable", "false"}}},
       400,
       "bad-request"},
      {{entry, "POST", path, "x", {{"Courseloom-Workspace", "andes"}, {"Courseloom-Deadline-Ms", "-1"}}},
       400,
       "bad-request"},
      {{entry, "POST", "/v1/jobs", "{", json}, 400, "bad-request"},
      {{entry, "POST", "/v1/jobs", "{}", {}}, 415, "unsupported-media-type"},
      {{entry, "POST", "/v1/jobs", R"({"workspace":"andes"})", json}, 400, "bad-request"},
      {{entry, "POST", "/v1/jobs", job + R"({"tasks":9,"accelerators":8,"adjacency":"SameRack"}})", json},
       422,
       "impossible-shape"},
      {{entry, "POST", "/v1/jobs", job + R"({"tasks":1},"notRepeatable":true})", json}, 422, "impossible-shape"},
      {{entry, "POST", "/v1/actions", R"({"kind":"Pause","selector":"a=("})", json}, 400, "bad-selector"},
      {{entry, "POST", "/v1/objects", R"({"objects":[{"name":"x"}]})", json}, 400, "bad-request"},
      {{entry, "POST", "/v1/objects", R"({"objects":[{"name":"x","wrong":1}]})", json}, 400, "bad-request"},
      {{entry, "GET", "/nowhere", "", {}}, 404, "not-found"},
  };
  for (const Case& one : cases) {
    const HttpReply reply = send(one.call);
    cr_assert_eq(reply.status, one.status, "%s %s: %u %s", one.call.method.c_str(), one.call.path.c_str(), reply.status,
                 reply.body.c_str());
    cr_assert(reply.has("\"code\":\"" + one.code + "\"") && reply.has("\"ran\":\"no\""), "%s", reply.body.c_str());
  }
  const std::string head = "POST " + path + " HTTP/1.1\r\nHost: x\r\nCourseloom-Workspace: andes\r\n";
  for (const std::string& bytes : {head + "Content-Length: 100\r\n\r\nhalf a body", head,
                                   std::string("no grammar\r\n\r\n"), head + "Content-Length: many\r\n\r\n"}) {
    const std::string answer = sendRaw(entry, bytes);
    const bool refused = answer.rfind("HTTP/1.1 400", 0) == 0 && answer.find("\"ran\":\"no\"") != std::string::npos;
    cr_assert(refused, "'%s' got '%s'", bytes.c_str(), answer.c_str());
  }
  cr_assert_eq(send(deployment.request("entry-1", "still here")).status, 200);
}

Test(whole_path, a_job_and_a_gang_run_to_their_end) {
  Deployment deployment({3, 1, 1, "", "", ""});
  deployment.setUp();
  const std::string gang =
      R"({"workspace":"andes","service":"quotes","shape":{"tasks":2,"accelerators":8,"adjacency":"SameRack"},"expectedMs":300})";
  const HttpReply accepted = deployment.submit(gang);
  cr_assert(accepted.status == 201 && accepted.has("job-1"), "%u %s", accepted.status, accepted.body.c_str());
  const HttpReply done = deployment.waitJob("job-1");
  cr_assert(done.has("JobFinished"), "%s", done.body.c_str());
  cr_assert(send({deployment.http("platform"), "GET", "/audit"}).has("\"job-1\":2"), "each task starts once");
}
