// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// What a leader does for agents that have nothing to tell: work is counted, not timed.

#include "test/AgentCrowd.h"
#include "test/WorkflowDeployment.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

constexpr std::size_t Few = 200;
constexpr std::size_t Many = 700;
constexpr std::int64_t MeasuredMs = 3000;

/** \class Followed
 * \brief A deployment whose leader has heard many agents and grants them time.
 */
struct Followed {
  WorkflowDeployment deployment{0};
  std::unique_ptr<AgentCrowd> crowd;
  unsigned leader = 0;

  explicit Followed(std::size_t agents) {
    deployment.setUp();
    crowd = std::make_unique<AgentCrowd>(deployment.cluster(), agents);
    for (int wait = 0; wait < 1000 && crowd->attendedSince(1) < agents; ++wait) pause(10);
    cr_assert_eq(crowd->attendedSince(1), agents);
    leader = deployment.leader();
    cr_assert_neq(leader, 0);
  }
};

}  // namespace

// Each report woke the planner, so that passes came as often as reports did, hundreds a second.
Test(leader_costs, reports_without_news_make_no_plans) {
  Followed test(Few);
  // No target has so many accelerators: the step waits, and there is something to plan.
  const std::string tooLarge = job(1, "100", false, 64);
  cr_assert(test.deployment.until(200, "POST", "/q/00000000000002a0", tooLarge));
  const double plans = test.deployment.metric(test.leader, "courseloom_plan_ms_count");
  const std::size_t reports = test.crowd->reports();
  pause(MeasuredMs);
  const double made = test.deployment.metric(test.leader, "courseloom_plan_ms_count") - plans;
  cr_assert_gt(test.crowd->reports() - reports, Few, "the agents have stopped reporting");
  cr_assert_gt(made, 0.0, "what waits is not planned at all");
  const double ticks = static_cast<double>(MeasuredMs) / 100.0;
  cr_assert_lt(made, 2.0 * ticks, "%.0f plans while nothing changed", made);
}

// A report named all that its agent knew, and each answer all replicas and relays.
Test(leader_costs, reports_without_news_are_few_and_short) {
  Followed test(Many);
  pause(2000);
  const std::size_t reports = test.crowd->reports();
  const std::size_t bytes = test.crowd->bytes();
  pause(MeasuredMs);
  const auto made = static_cast<double>(test.crowd->reports() - reports);
  const double bytesEach = static_cast<double>(test.crowd->bytes() - bytes) / made;
  const double eachSecond = made * 1000.0 / static_cast<double>(MeasuredMs);
  cr_assert_gt(eachSecond, 100.0, "the agents have stopped reporting");
  cr_assert_lt(eachSecond, 1300.0, "%.0f reports a second of the 1,000 that are wanted", eachSecond);
  cr_assert_lt(bytesEach, 100.0, "a report and its answer take %.0f bytes", bytesEach);
}
