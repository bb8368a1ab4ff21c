// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Reclaim of an owner's shape from backfills of others, on real processes.

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <csignal>
#include <thread>

#include "generated/platform.pb.h"
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

std::vector<schema::LeaseReport> runningLeases(Deployment& deployment) {
  schema::PlatformReport report;
  google::protobuf::util::JsonStringToMessage(send({deployment.http("platform"), "GET", "/v1/report"}).body, &report);
  std::vector<schema::LeaseReport> running;
  std::copy_if(report.leases().begin(), report.leases().end(), std::back_inserter(running),
               [](const schema::LeaseReport& lease) { return lease.phase() == schema::TaskRunning; });
  return running;
}

/** Loses a worker of a running gang that must run only once, while the platform answers each stop with a status and
 * does not stop anything. The gang must not be started again, and is lost once the platform stops it. */
void checkRefusedStops(const std::string& status) {
  Deployment deployment({3, 1, 1, "--workers 6", "", ""});
  deployment.setUp();
  cr_assert_eq(deployment.apply(GuaranteeJson).status, 200);
  deployment.submit(job("andes", 2, R"("notRepeatable":true,"expectedMs":60000)"));
  cr_assert(deployment.until({deployment.http("entry-1"), "GET", "/v1/jobs/job-1"}, "JobRunning"));
  const std::vector<schema::LeaseReport> first = runningLeases(deployment);
  cr_assert_eq(first.size(), 2);
  const std::string platform = deployment.http("platform");
  send({platform, "POST", "/behave?stopStatus=" + status});
  send({platform, "POST", "/worker?name=" + first[0].worker() + "&live=0"});
  const Time end = BootClock::now() + milliseconds(1500);
  while (BootClock::now() < end) {
    const std::vector<schema::LeaseReport> running = runningLeases(deployment);
    const bool again = std::any_of(running.begin(), running.end(), [&first](const schema::LeaseReport& lease) {
      return lease.number() > std::max(first[0].number(), first[1].number());
    });
    cr_assert(!again, "it runs again; %zu of its tasks run now", running.size());
  }
  cr_assert(send({deployment.http("entry-1"), "GET", "/v1/jobs/job-1"}).has("JobStopping"));
  send({platform, "POST", "/behave?stopStatus=0"});
  const HttpReply done = deployment.waitJob("job-1", 20000);
  cr_assert(done.has("JobLost"), "%s", done.body.c_str());
  cr_assert(send({platform, "GET", "/audit"}).has("\"job-1\":2"), "each task started once");
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
  // The two jobs that were stopped for it continue from their checkpoints.
  cr_assert(deployment.until({deployment.http("entry-1"), "GET", "/v1/jobs"}, "-checkpoint-"));
}

Test(reclaim, a_guarantee_beyond_the_clusters_capacity_is_refused_with_the_nearest) {
  Deployment deployment({1, 1, 1, "--workers 3", "", ""});
  deployment.setUp();
  const HttpReply reply = deployment.apply(
      R"({"objects":[{"name":"g","guarantee":{"workspace":"andes","shape":{"tasks":4,"accelerators":8,"adjacency":"SameRack"}}}]})");
  cr_assert_eq(reply.status, 422, "%u %s", reply.status, reply.body.c_str());
  cr_assert(reply.has("has 3 tasks") && reply.has("\"ran\":\"no\""), "%s", reply.body.c_str());
}

Test(reclaim, a_gang_with_a_member_that_cannot_start_is_stopped_completely) {
  Deployment deployment({3, 1, 1, "--workers 3", "", ""});
  deployment.setUp();
  send({deployment.http("platform"), "POST", "/behave?refuseStart=worker-2"});
  deployment.submit(job("retail", 3, R"("expectedMs":60000)"));
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  cr_assert_not(send({deployment.http("entry-1"), "GET", "/v1/jobs/job-1"}).has("JobRunning"), "a part ran");
  send({deployment.http("platform"), "POST", "/behave?refuseStart="});
  cr_assert(deployment.until({deployment.http("entry-1"), "GET", "/v1/jobs/job-1"}, "JobRunning"));
}

// The followers are paused for less than an election timeout, but for longer than the leader's read lease lasts without
// them.
Test(reclaim, a_leader_that_briefly_lost_contact_continues_to_start_a_gang) {
  Deployment deployment({3, 1, 1, "--workers 3", "", ""});
  deployment.setUp();
  send({deployment.http("platform"), "POST", "/behave?refuseStart=worker-2"});
  deployment.submit(job("retail", 3, R"("expectedMs":60000)"));
  for (int i = 0; i < 6; ++i) {
    const std::string leader = deployment.leader();
    for (const int signal : {SIGSTOP, SIGCONT}) {
      for (const char* name : {"control-1", "control-2", "control-3"}) {
        if (name != leader) deployment.process(name).signal(signal);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(385));
    }
  }
  send({deployment.http("platform"), "POST", "/behave?refuseStart="});
  cr_assert(deployment.until({deployment.http("entry-1"), "GET", "/v1/jobs/job-1"}, "JobRunning"));
}

Test(reclaim, a_leader_killed_while_a_gang_starts_leaves_one_run) {
  Deployment deployment({3, 1, 1, "--workers 6", "", ""});
  deployment.setUp();
  cr_assert_eq(deployment.apply(GuaranteeJson).status, 200);
  deployment.submit(job("andes", 2, R"("notRepeatable":true,"expectedMs":1500)"));
  deployment.kill(deployment.leader());
  const HttpReply done = deployment.waitJob("job-1", 20000);
  cr_assert(done.has("JobFinished") || deployment.waitJob("job-1", 20000).has("JobFinished"), "%s", done.body.c_str());
  cr_assert(send({deployment.http("platform"), "GET", "/audit"}).has("\"job-1\":2"), "each task started once");
}

Test(reclaim, a_gang_is_not_started_again_while_the_platform_refuses_its_stop) { checkRefusedStops("200"); }

Test(reclaim, a_gang_is_not_started_again_while_the_platform_is_too_busy_to_stop_it) { checkRefusedStops("503"); }

Test(reclaim, the_workers_of_a_busy_platform_do_not_count_as_lost) {
  Deployment deployment({3, 1, 1, "--workers 3", "", ""});
  deployment.setUp();
  deployment.submit(job("retail", 3, R"("expectedMs":60000)"));
  cr_assert(deployment.until({deployment.http("entry-1"), "GET", "/v1/jobs/job-1"}, "JobRunning"));
  send({deployment.http("platform"), "POST", "/behave?reportStatus=503"});
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  send({deployment.http("platform"), "POST", "/behave?reportStatus=0"});
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  cr_assert_eq(runningLeases(deployment).size(), 3);
  cr_assert(send({deployment.http("platform"), "GET", "/audit"}).has("\"job-1\":3"), "the gang was stopped");
}
