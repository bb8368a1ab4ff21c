// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/Trials.h"

#include <algorithm>
#include <functional>

namespace courseloom {

namespace internal {
namespace {

/** Trial starts use at most an eighth of the targets at once, so that most targets remain available for other work. */
constexpr std::size_t TargetsPerTrial = 8;
constexpr std::size_t MinTrials = 2;

}  // namespace
}  // namespace internal

std::size_t trialsAllowed(std::size_t targets, std::size_t pending) {
  const std::size_t most = std::max(internal::MinTrials, targets / internal::TargetsPerTrial);
  return most - std::min(most, pending);
}

std::size_t trialsOfStep(std::size_t pending, std::size_t survived) {
  const std::size_t most = std::max<std::size_t>(1, 2 * survived);
  return most - std::min(most, pending);
}

bool mustStartSoon(const PlannedStep& step) {
  return step.rank == GuaranteedRank || step.workflow->step(step.key.step).long_running();
}

std::vector<PlannedStep> splitForTrial(PlannedStep step, std::size_t most) {
  const WorkflowState& workflow = *step.workflow;
  // The tasks of a gang cannot be started one at a time.
  if (workflow.suspectTasks.empty() || step.isGang()) return {std::move(step)};
  const auto isSuspect = [&](std::uint32_t index) {
    return workflow.onTrial({step.key.occurrence, step.key.step, index});
  };
  const auto firstSuspect = std::stable_partition(step.tasks.begin(), step.tasks.end(), std::not_fn(isSuspect));
  std::vector<std::uint32_t> suspects(firstSuspect, step.tasks.end());
  if (suspects.empty()) return {std::move(step)};
  step.tasks.erase(firstSuspect, step.tasks.end());
  PlannedStep trial = step;
  trial.trial = true;
  trial.tasks.assign(suspects.begin(), suspects.begin() + static_cast<std::ptrdiff_t>(std::min(most, suspects.size())));
  std::vector<PlannedStep> parts;
  if (!trial.tasks.empty()) parts.push_back(std::move(trial));
  // The limit per target would apply to each part of the step separately, and so be exceeded.
  const bool limited = workflow.step(step.key.step).max_per_target() > 0;
  const bool othersMayStart = !limited && (mustStartSoon(step) || workflow.crashedTargets() < 2);
  if (othersMayStart && !step.tasks.empty()) parts.push_back(std::move(step));
  return parts;
}

}  // namespace courseloom
