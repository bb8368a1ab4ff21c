// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/RunPlan.h"

namespace courseloom {

Rank rankOf(std::uint32_t priority, bool guaranteed) {
  if (priority == 0) return guaranteed ? GuaranteedRank : UrgentRank;
  return UrgentRank + priority;
}

Prospect prospectOf(const PlannedStep& step, double nowMs) {
  const double endMs = nowMs + step.estimateMs;
  if (endMs <= step.objectiveMs) return Prospect::InTime;
  return step.worthlessMs == 0.0 || endMs <= step.worthlessMs ? Prospect::Late : Prospect::Worthless;
}

std::vector<RunPlan::Start> startsInReach(const RunPlan& plan, const std::vector<PlannedStep>& steps,
                                          const std::function<bool(std::size_t target)>& inReach,
                                          std::set<std::size_t>& withheld) {
  std::set<std::size_t> heldGangs;  // by index among the steps
  for (const RunPlan::Start& start : plan.starts) {
    if (inReach(start.target)) continue;
    withheld.insert(start.target);
    const PlannedStep& step = steps[start.step];
    if (step.workflow->step(step.key.step).gang()) heldGangs.insert(start.step);
  }
  std::vector<RunPlan::Start> starts;
  for (const RunPlan::Start& start : plan.starts) {
    if (withheld.count(start.target) == 0 && heldGangs.count(start.step) == 0) starts.push_back(start);
  }
  return starts;
}

}  // namespace courseloom
