// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Measures the time of one pass of the planner with 30 to 900 full targets and a backlog in proportion to them, and the
// time in which the run time estimator reads the active runs.

#include <array>
#include <cstdio>
#include <string>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Scheduling/RunPlanner.h"
#include "bench/Figures.h"
#include "test/PlannerLoad.h"

using namespace courseloom;
using namespace courseloom::bench;
using namespace courseloom::test;

namespace {

constexpr int Rounds = 15;

/** Slowdowns of targets with 0.8, 1 and 1.25 times the usual run time, each with an error of 0.1. */
constexpr std::array<TargetSlowdown, 3> Slowdowns{TargetSlowdown{-0.22, 0.1}, TargetSlowdown{0.0, 0.1},
                                                  TargetSlowdown{0.22, 0.1}};

/** \param backlog multiple of the backlog of PlannerLoad::full() \param unlike whether the targets differ in speed
 * \returns the median time of a pass, ms */
double measure(std::size_t targets, unsigned backlog, bool unlike = false) {
  std::vector<double> times;
  RunPlan plan;
  PlannerLoad load = PlannerLoad::full(targets, backlog, 1);
  for (std::size_t i = 0; unlike && i < targets; ++i) load.targets[i].slowdown = Slowdowns[i % Slowdowns.size()];
  RunPlanner planner;
  for (int round = 0; round < Rounds; ++round) {
    const Time before = BootClock::now();
    plan = planner.plan(load.targets, load.runs, load.steps, 0, load.nowMs);
    times.push_back(toMilliseconds(BootClock::now() - before));
    load.nowMs += 10.0;
  }
  const double median = quantile(times, 0.5);
  const std::string kind = unlike ? " unlike targets, " : " targets, ";
  const std::string name = "pass, " + std::to_string(targets) + kind + std::to_string(load.steps.size()) + " steps (" +
                           std::to_string(plan.starts.size()) + " starts, " + std::to_string(plan.stops.size()) +
                           " stops)";
  figure(name.c_str(), median, "ms");
  return median;
}

/** Measures the time in which a leader updates the run time estimator from its active runs; each target has runs of
 * several steps. */
void measureLearning(std::size_t targets, std::size_t runsEach) {
  std::vector<double> times;
  RunTimeEstimator previous;
  for (int round = 0; round < Rounds; ++round) {
    const Time before = BootClock::now();
    RunTimeEstimator runTimeEstimator = previous;
    for (std::size_t t = 0; t < targets; ++t) {
      for (std::size_t r = 0; r < runsEach; ++r) {
        const ObservedStep step{"workflow-" + std::to_string((t + r) / 20) + ".0.0", "queue", 8000.0, r % 2 == 0};
        runTimeEstimator.recordRunTime(step, "target-" + std::to_string(t) + "@1790000000000",
                                       7000.0 + static_cast<double>(t), 0);
      }
    }
    runTimeEstimator.includeOpenSteps();
    times.push_back(toMilliseconds(BootClock::now() - before));
    previous = std::move(runTimeEstimator);
  }
  const std::string name =
      "learning, " + std::to_string(targets) + " targets, " + std::to_string(targets * runsEach) + " runs";
  figure(name.c_str(), quantile(times, 0.5), "ms");
}

}  // namespace

int main() {
  measureLearning(55, 8);
  measureLearning(300, 8);
  measureLearning(740, 15);

  double at300 = 0.0;
  for (const std::size_t targets : {30, 100, 300, 900}) {
    for (const unsigned backlog : {1, 4, 16}) {
      const double median = measure(targets, backlog);
      if (targets == 300 && backlog == 1) at300 = median;
      if (targets == 900 && backlog == 1) figure("growth from 300 to 900 targets", median / at300, "times");
    }
  }
  for (const std::size_t targets : {300, 900}) {
    for (const unsigned backlog : {1, 4, 16}) measure(targets, backlog, true);
  }
  return 0;
}
