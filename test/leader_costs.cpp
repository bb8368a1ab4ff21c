// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The work of a leader for agents that report no changes. The tests count plans, reports and bytes and measure no
// times.

#include "test/SimulatedAgents.h"
#include "test/WorkflowDeployment.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

constexpr std::size_t FewAgents = 200;
constexpr std::size_t ManyAgents = 700;
constexpr std::int64_t MeasuredMs = 3000;

/** \class LeaderWithAgents
 * \brief A deployment whose leader has received reports of all agents and granted them leases.
 */
struct LeaderWithAgents {
  WorkflowDeployment deployment{0};
  std::unique_ptr<SimulatedAgents> simulatedAgents;
  unsigned leader = 0;

  explicit LeaderWithAgents(std::size_t agents) {
    deployment.setUp();
    simulatedAgents = std::make_unique<SimulatedAgents>(deployment.cluster(), agents);
    for (int wait = 0; wait < 1000 && simulatedAgents->agentsWithLeaseSince(1) < agents; ++wait) pause(10);
    cr_assert_eq(simulatedAgents->agentsWithLeaseSince(1), agents);
    leader = deployment.leader();
    cr_assert_neq(leader, 0);
  }
};

}  // namespace

// Guards against a planner that each report triggers: it ran hundreds of times a second, as often as reports arrived.
Test(leader_costs, reports_without_changes_trigger_no_plans) {
  LeaderWithAgents test(FewAgents);
  // No target has so many accelerators, so the step waits and the planner has something to plan.
  const std::string tooLarge = job(1, "100", false, 64);
  cr_assert(test.deployment.until(200, "POST", "/q/00000000000002a0", tooLarge));
  const double plans = test.deployment.metric(test.leader, "courseloom_plan_ms_count");
  const std::size_t reports = test.simulatedAgents->reports();
  pause(MeasuredMs);
  const double made = test.deployment.metric(test.leader, "courseloom_plan_ms_count") - plans;
  cr_assert_gt(test.simulatedAgents->reports() - reports, FewAgents, "the agents have stopped reporting");
  cr_assert_gt(made, 0.0, "the waiting step is not planned at all");
  const double ticks = static_cast<double>(MeasuredMs) / 100.0;
  cr_assert_lt(made, 2.0 * ticks, "%.0f plans while nothing changed", made);
}

// Guards against full reports and answers: each report contained the agent's whole state, and each answer all replicas
// and relays.
Test(leader_costs, reports_without_changes_are_few_and_short) {
  LeaderWithAgents test(ManyAgents);
  pause(2000);
  const std::size_t reports = test.simulatedAgents->reports();
  const std::size_t bytes = test.simulatedAgents->bytes();
  pause(MeasuredMs);
  const auto made = static_cast<double>(test.simulatedAgents->reports() - reports);
  const double bytesEach = static_cast<double>(test.simulatedAgents->bytes() - bytes) / made;
  const double eachSecond = made * 1000.0 / static_cast<double>(MeasuredMs);
  cr_assert_gt(eachSecond, 100.0, "the agents have stopped reporting");
  cr_assert_lt(eachSecond, 1300.0, "%.0f reports a second of the 1,000 that are wanted", eachSecond);
  cr_assert_lt(bytesEach, 100.0, "a report and its answer take %.0f bytes", bytesEach);
}
