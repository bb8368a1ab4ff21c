// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <deque>
#include <random>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/RunPlan.h"

namespace courseloom::test {

/** \class PlannerLoad
 * \brief Input of a planner drawn from a seed: targets, runs and waiting steps. The same seed gives the same load.
 */
class PlannerLoad {
 public:
  /** Wall clock at the beginning, ms since 1970. */
  static constexpr double NowMs = 1000000.0;

  /** \returns a load in which single tasks occupy all targets, with a backlog in proportion: for each 30 targets one
   * gang of 25 tasks with 4 accelerators, three urgent gangs of 8 tasks with 4, and 78 single tasks. \param backlog
   * multiple of this backlog */
  static PlannerLoad full(std::size_t targets, unsigned backlog, std::uint64_t seed);
  /** \returns a random mix of sizes, racks, services, labels, limits, ranks and gangs, with some targets closed or on
   * probation. */
  static PlannerLoad mixed(std::uint64_t seed);

  /** Advances the clock: the remaining times of runs shrink, some runs outside gangs end, and steps wait longer. */
  void advance(double ms);

  std::vector<PlannedTarget> targets;
  std::vector<PlannedRun> runs;
  std::vector<PlannedStep> steps;
  unsigned keepFullyFree = 0;  ///< number of targets to be kept fully free for priority 0
  double nowMs = NowMs;        ///< wall clock, ms since 1970

 private:
  explicit PlannerLoad(std::uint64_t seed) : m_random(seed) {}

  /** \returns a random number of at least 0 and less than a bound. */
  std::uint32_t below(std::uint32_t bound) { return static_cast<std::uint32_t>(m_random() % bound); }
  double between(double least, double most) { return std::uniform_real_distribution<double>(least, most)(m_random); }
  bool chance(double share) { return between(0, 1) < share; }
  void addTargets(std::size_t count, std::size_t perRack);
  PlannedStep& addStep(std::uint32_t count, std::uint32_t accelerators, Rank rank, bool gang);
  schema::StepSpec& specOf(const PlannedStep& step);
  void addRun(std::size_t target, std::int64_t accelerators, Rank rank, double remainingMs);
  void drawTarget(PlannedTarget& target);
  void drawRuns(std::size_t target);
  void drawGang(std::uint32_t number);
  void drawStep();

  std::mt19937_64 m_random;
  std::deque<WorkflowState> m_workflows;  ///< one for each step; a deque, since steps point to its elements
};

}  // namespace courseloom::test
