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

namespace internal {
namespace {

/** \returns the starts that fulfil a predicate; for a gang either all of its starts or none. */
std::vector<RunPlan::Start> filter_starts(const std::vector<RunPlan::Start>& starts,
                                          const std::vector<PlannedStep>& steps,
                                          const std::function<bool(const RunPlan::Start&)>& predicate) {
  std::vector<RunPlan::Start> passing;
  std::set<std::size_t> incompleteGangs;  // indexes among the steps
  for (const RunPlan::Start& start : starts) {
    if (predicate(start)) {
      passing.push_back(start);
    } else if (steps[start.step].isGang()) {
      incompleteGangs.insert(start.step);
    }
  }
  std::erase_if(passing, [&](const RunPlan::Start& start) { return incompleteGangs.count(start.step) > 0; });
  return passing;
}

}  // namespace
}  // namespace internal

std::vector<RunPlan::Start> startsInReach(const RunPlan& plan, const std::vector<PlannedStep>& steps,
                                          const std::function<bool(std::size_t target)>& inReach,
                                          std::set<std::size_t>& withheld) {
  return internal::filter_starts(plan.starts, steps, [&](const RunPlan::Start& start) {
    if (inReach(start.target)) return true;
    withheld.insert(start.target);
    return false;
  });
}

bool isWaiting(const PlannedStep& step) {
  return step.workflow != nullptr && !step.workflow->ended() && !step.workflow->stepDone(step.key);
}

void removeOutdated(RunPlan& plan, const std::vector<PlannedStep>& steps,
                    const std::function<bool(std::size_t target)>& isOpen) {
  std::erase_if(plan.stops, [&](const RunPlan::Stop& stop) { return !isWaiting(steps[stop.forStep]); });
  std::erase_if(plan.starts, [&](const RunPlan::Start& start) { return !isWaiting(steps[start.step]); });
  plan.starts = internal::filter_starts(plan.starts, steps, [&](const RunPlan::Start& start) {
    const PlannedStep& step = steps[start.step];
    const TaskState* task = step.workflow->task({step.key.occurrence, step.key.step, start.task});
    const bool waits = task == nullptr || (!task->done && task->active.empty());
    return waits && isOpen(start.target);
  });
}

}  // namespace courseloom
