// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// An owner's shape among others' backfills, in the scheduler and on real processes.

#include <thread>

#include "test/Processes.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

const std::string GuaranteeJson =
    R"({"objects":[{"name":"g","guarantee":{"workspace":"andes","shape":{"tasks":2,"accelerators":8,"adjacency":"SameRack"}}}]})";

std::string job(const std::string& workspace, unsigned tasks, const std::string& more) {
  return R"({"workspace":")" + workspace + R"(","service":"quotes","shape":{"tasks":)" + std::to_string(tasks) +
         R"(,"accelerators":8,"adjacency":"SameRack"},)" + more + "}";
}

}  // namespace

Test(reclaim, an_owner_gets_its_shape_back_from_a_cluster_full_of_backfills) {
  Deployment deployment({3, 1, 1, "--workers 6", "", ""});
  deployment.setUp();
  cr_assert_eq(deployment.apply(GuaranteeJson).status, 200);
  for (int i = 0; i < 6; ++i)
    deployment.submit(job("retail", 1, R"("checkpointable":true,"urgency":"Low","expectedMs":600000)"));
  cr_assert(deployment.until({deployment.http("entry-1"), "GET", "/v1/jobs/job-6"}, "JobRunning"));
  send({deployment.http("platform"), "POST", "/behave?checkpointMs=500"});
  const Time begun = BootClock::now();
  deployment.submit(job("andes", 2, R"("notRepeatable":true,"urgency":"Urgent","expectedMs":300)"));
  const HttpReply done = deployment.waitJob("job-7", 20000);
  cr_assert(done.has("JobFinished"), "%s after %.0f ms", done.body.c_str(), toMilliseconds(BootClock::now() - begun));
  // The two that made room go on from their checkpoints.
  cr_assert(deployment.until({deployment.http("entry-1"), "GET", "/v1/jobs"}, "-checkpoint-"));
}

Test(reclaim, a_guarantee_beyond_the_cluster_is_refused_with_the_nearest) {
  Deployment deployment({1, 1, 1, "--workers 3", "", ""});
  deployment.setUp();
  const HttpReply reply = deployment.apply(
      R"({"objects":[{"name":"g","guarantee":{"workspace":"andes","shape":{"tasks":4,"accelerators":8,"adjacency":"SameRack"}}}]})");
  cr_assert_eq(reply.status, 422, "%u %s", reply.status, reply.body.c_str());
  cr_assert(reply.has("has 3 tasks") && reply.has("\"ran\":\"no\""), "%s", reply.body.c_str());
}

Test(reclaim, a_gang_whose_member_refuses_to_start_is_stopped_whole) {
  Deployment deployment({3, 1, 1, "--workers 3", "", ""});
  deployment.setUp();
  send({deployment.http("platform"), "POST", "/behave?refuseStart=worker-2"});
  deployment.submit(job("retail", 3, R"("expectedMs":60000)"));
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  cr_assert_not(send({deployment.http("entry-1"), "GET", "/v1/jobs/job-1"}).has("JobRunning"), "a part ran");
  send({deployment.http("platform"), "POST", "/behave?refuseStart="});
  cr_assert(deployment.until({deployment.http("entry-1"), "GET", "/v1/jobs/job-1"}, "JobRunning"));
}

Test(reclaim, the_leader_killed_while_a_gang_starts_leaves_one_run) {
  Deployment deployment({3, 1, 1, "--workers 6", "", ""});
  deployment.setUp();
  cr_assert_eq(deployment.apply(GuaranteeJson).status, 200);
  deployment.submit(job("andes", 2, R"("notRepeatable":true,"expectedMs":1500)"));
  deployment.kill(deployment.leader());
  const HttpReply done = deployment.waitJob("job-1", 20000);
  cr_assert(done.has("JobFinished") || deployment.waitJob("job-1", 20000).has("JobFinished"), "%s", done.body.c_str());
  cr_assert(send({deployment.http("platform"), "GET", "/audit"}).has("\"job-1\":2"), "each task started once");
}
