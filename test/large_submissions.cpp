// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The largest workflows that the interface accepts, on real processes. While they wait, the workflow of another
// workspace has to be served. Guards against planning passes that grow with what one client has submitted: they took
// longer than the leader's lease, so that no replica could lead any more.

#include <cinttypes>
#include <functional>
#include <random>

#include "test/WorkflowDeployment.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

/** Largest body of a submission, bytes: the platform's default for limits.max_body_bytes. */
constexpr std::size_t MaxBodyBytes = 262144;
/** Time within which a workflow of one short task, submitted by another workspace, has to be done. */
constexpr Duration OthersLimit = milliseconds(10000);
const std::string LargeKey = "key-1";
const std::string OtherKey = "key-2";

/** \returns a configuration with a queue for each workspace; work of the second one is urgent. */
std::string twoWorkspaces() {
  return configurationOf(1, route("q", "q") + "," + route("urgent", "urgent", 0),
                         tenant("t", LargeKey) + "," + tenant("u", OtherKey));
}

/** \returns a workflow of as many of the given steps as there are, or as fit into a body.
 * \param step returns a step by its index \param more members of the workflow, with a leading comma */
std::string workflowOf(std::size_t steps, const std::function<std::string(std::size_t)>& step,
                       const std::string& more = "") {
  std::string body = R"({"spec":"2500","steps":[)";
  for (std::size_t i = 0; i < steps; ++i) {
    const std::string one = (i == 0 ? "" : ",") + step(i);
    if (body.size() + one.size() + more.size() + 8 > MaxBodyBytes) break;
    body += one;
  }
  return body + "]" + more + "}";
}

std::string stepOf(unsigned count, const std::string& more = "") {
  return R"({"count":)" + std::to_string(count) + R"(,"cpu":1000,"gpu":1)" + more + "}";
}

/** \class LargeSubmissions
 * \brief A deployment with two workspaces, the first of which submits large workflows.
 */
class LargeSubmissions {
 public:
  explicit LargeSubmissions(const std::string& policy = "{}") : m_deployment(2, policy) {
    cr_assert_eq(m_deployment.configure(twoWorkspaces()), 200);
    cr_assert(m_deployment.until(200, "GET", "/q/", "", "pending"));
    m_deployment.call("POST", "/urgent/" + workflowId(1), job(1, "20"), OtherKey);
    awaitDone(workflowId(1), "before any large workflow");
  }

  WorkflowDeployment& deployment() { return m_deployment; }

  void submitLarge(const std::string& body) {
    const unsigned status = m_deployment.call("POST", "/q/" + workflowId(++m_large + 0x10000), body, LargeKey).status;
    cr_assert_eq(status, 200, "workflow %u: answered %u", m_large, status);
  }

  /** Requires that workflows of the other workspace, one after another, are accepted and done in time. */
  void requireOthersServed(const char* beside, unsigned workflows = 3) {
    for (unsigned i = 0; i < workflows; ++i) {
      const std::string id = workflowId(++m_others + 0x20000);
      const Time end = BootClock::now() + OthersLimit;
      unsigned status = 0;
      while (status != 200 && BootClock::now() < end) {
        status = m_deployment.call("POST", "/urgent/" + id, job(1, "20"), OtherKey).status;
      }
      cr_assert_eq(status, 200, "beside %s: not accepted", beside);
      awaitDone(id, beside);
    }
    report(beside);
  }

  void restartControl() {
    for (unsigned i = 1; i <= 3; ++i) m_deployment.kill("control-" + std::to_string(i));
    for (unsigned i = 1; i <= 3; ++i) m_deployment.control(i, false);
  }

 private:
  void awaitDone(const std::string& id, const char* beside) {
    const Time end = BootClock::now() + OthersLimit;
    while (BootClock::now() < end) {
      if (m_deployment.call("GET", "/urgent/" + id, "", OtherKey).has("completed")) return;
      pause(20);
    }
    cr_assert_fail("beside %s: workflow %s of the other workspace was not done in time", beside, id.c_str());
  }

  void report(const char* beside) {
    const unsigned leader = m_deployment.leader();
    const double plans = m_deployment.metric(leader, "courseloom_plan_ms_count");
    std::printf("beside %s: term %.0f, %.0f plans of %.1f ms on average, %.0f steps waiting, %.0f examined\n", beside,
                m_deployment.metric(leader, "courseloom_term"), plans,
                m_deployment.metric(leader, "courseloom_plan_ms_sum") / std::max(1.0, plans),
                m_deployment.metric(leader, "courseloom_steps_waiting"),
                m_deployment.metric(leader, "courseloom_steps_examined"));
  }

  WorkflowDeployment m_deployment;
  unsigned m_large = 0;
  unsigned m_others = 0;
};

const std::string AllDue = R"(,"repeat_count":100000,"start_at_ms":1,"interval_ms":1)";

}  // namespace

Test(large_submissions, many_steps) {
  LargeSubmissions test;
  test.submitLarge(workflowOf(8000, [](std::size_t) { return stepOf(1); }));
  test.requireOthersServed("8,000 steps of one task");
  // The workflow is in the log, so a later leader plans it too.
  test.restartControl();
  test.requireOthersServed("the same after a restart of all replicas");
}

Test(large_submissions, many_occurrences_that_are_all_due) {
  LargeSubmissions test;
  test.submitLarge(workflowOf(
      10, [](std::size_t) { return stepOf(1); }, AllDue));
  test.requireOthersServed("100,000 occurrences of 10 steps");
  test.restartControl();
  test.requireOthersServed("the same after a restart of all replicas");
}

Test(large_submissions, many_steps_of_many_tasks) {
  LargeSubmissions test;
  test.submitLarge(workflowOf(6000, [](std::size_t) { return stepOf(100000); }));
  test.requireOthersServed("6,000 steps of 100,000 tasks");
}

Test(large_submissions, many_large_gangs) {
  LargeSubmissions test;
  test.submitLarge(workflowOf(5000, [](std::size_t) { return stepOf(5000, R"(,"gang":true)"); }));
  test.requireOthersServed("5,000 gangs of 5,000 tasks");
}

Test(large_submissions, many_steps_that_need_different_targets) {
  LargeSubmissions test;
  test.submitLarge(workflowOf(4000, [](std::size_t i) {
    return stepOf(50, R"(,"anti_affinity":2,"constraints":"l)" + std::to_string(i) + R"(","estimate_ms":)" +
                          std::to_string(1000 + i));
  }));
  test.requireOthersServed("4,000 steps with a limit per target and a label that no target has");
}

Test(large_submissions, many_workflows_of_many_steps) {
  LargeSubmissions test;
  for (int i = 0; i < 60; ++i) test.submitLarge(workflowOf(400, [](std::size_t) { return stepOf(2); }));
  test.requireOthersServed("60 workflows of 400 steps");
}

// A snapshot is due after 64 entries of the log; the state has half a million steps by then.
Test(large_submissions, many_workflows_of_the_largest_number_of_steps) {
  LargeSubmissions test;
  for (int i = 0; i < 70; ++i) test.submitLarge(workflowOf(8000, [](std::size_t) { return stepOf(1); }));
  test.requireOthersServed("70 workflows of 8,000 steps");
  test.restartControl();
  test.requireOthersServed("the same after a restart of all replicas");
}

Test(large_submissions, many_workflows_of_many_steps_under_admission) {
  LargeSubmissions test("{admission: true, fairShares: true}");
  for (int i = 0; i < 60; ++i) {
    test.deployment().call("POST", "/q/" + workflowId(0x30000U + static_cast<unsigned>(i)),
                           workflowOf(400, [](std::size_t) { return stepOf(2, R"(,"estimate_ms":2500)"); }), LargeKey);
  }
  test.deployment().call("POST", "/q/" + workflowId(0x40000U),
                         workflowOf(
                             10, [](std::size_t) { return stepOf(1); }, AllDue),
                         LargeKey);
  test.requireOthersServed("60 workflows of 400 steps under admission");
}

// Draws workflows of all shapes that the interface takes, up to the largest body.
Test(large_submissions, shapes_drawn_at_random) {
  const std::uint64_t seed = firstSeed();
  std::mt19937_64 random(seed);
  LargeSubmissions test;
  for (int round = 0; round < 4; ++round) {
    const std::size_t steps = std::size_t{1} << (random() % 14);
    const unsigned count = 1U << (random() % 17);
    const bool gang = random() % 3 == 0;
    const bool chained = random() % 3 == 0;
    const bool limited = random() % 3 == 0;
    const bool repeated = random() % 3 == 0;
    const auto step = [&](std::size_t i) {
      std::string more = gang ? R"(,"gang":true)" : "";
      if (chained && i > 0) more += R"(,"after":[)" + std::to_string(random() % i) + "]";
      if (limited) more += R"(,"anti_affinity":1)";
      return stepOf(std::min(count, 100000U), more);
    };
    test.submitLarge(workflowOf(steps, step, repeated ? AllDue : ""));
    std::printf("seed %" PRIu64 ": %zu steps of %u tasks%s%s%s%s\n", seed, steps, count, gang ? ", gangs" : "",
                chained ? ", chained" : "", limited ? ", limited per target" : "", repeated ? ", repeated" : "");
    test.requireOthersServed("drawn shapes", 1);
  }
}
