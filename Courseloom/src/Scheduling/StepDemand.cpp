// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/StepDemand.h"

#include <algorithm>

#include "Courseloom/src/Scheduling/Lateness.h"

namespace courseloom {

namespace internal {
namespace {

TargetList list_of(std::vector<std::size_t> targets) {
  return std::make_shared<const std::vector<std::size_t>>(std::move(targets));
}

/** \returns those of some targets for which the step has a ticket. The step has to be one that needs tickets. */
TargetList with_tickets(const PlannedStep& step, const TargetIndex& targets, const TargetList& among) {
  std::vector<std::size_t> kept;
  for (const std::size_t i : *among) {
    if (step.tickets->count(targets[i].id) > 0) kept.push_back(i);
  }
  return list_of(std::move(kept));
}

/** \returns those of some targets on which the step has not failed. */
TargetList without_avoided(const PlannedStep& step, const TargetIndex& targets, const TargetList& among) {
  std::vector<std::size_t> kept;
  for (const std::size_t i : *among) {
    if (step.avoided.count(targets[i].id) == 0) kept.push_back(i);
  }
  return list_of(std::move(kept));
}

/** \returns whether the eligible targets could hold a gang, or one task of another step on an open target. For a gang,
 * a target on probation counts with one run: it receives several only after other work has succeeded there. */
bool could_serve(const StepDemand& demand, const TargetIndex& targets) {
  if (demand.gang) return couldHold(demand, targets, *demand.eligible, OnProbation::TakesOne);
  return std::any_of(demand.eligible->begin(), demand.eligible->end(),
                     [&](std::size_t i) { return targets[i].open && targets[i].capacity.holds(demand.need); });
}

}  // namespace
}  // namespace internal

std::size_t StepDemand::remainingOn(std::size_t target) const {
  if (maxPerTarget == Unlimited) return Unlimited;
  const auto found = std::lower_bound(placed.begin(), placed.end(), std::pair<std::size_t, std::size_t>{target, 0});
  const std::size_t has = found != placed.end() && found->first == target ? found->second : 0;
  return maxPerTarget - std::min(maxPerTarget, has);
}

void StepDemand::addTaskOn(std::size_t target) {
  if (maxPerTarget == Unlimited) return;
  const auto at = std::lower_bound(placed.begin(), placed.end(), std::pair<std::size_t, std::size_t>{target, 0});
  if (at != placed.end() && at->first == target) {
    ++at->second;
  } else {
    placed.insert(at, {target, 1});
  }
}

bool StepDemand::isNominated(std::size_t target) const {
  return std::binary_search(nominated.begin(), nominated.end(), target);
}

bool couldHold(const StepDemand& demand, const TargetIndex& targets, const std::vector<std::size_t>& among,
               OnProbation onProbation) {
  std::size_t held = 0;
  for (const std::size_t i : among) {
    const PlannedTarget& target = targets[i];
    if (!target.open && !target.awaited) continue;
    const bool takesOne = (target.single || target.oneStart) && onProbation == OnProbation::TakesOne;
    held += target.capacity.fits(demand.need, std::min(demand.maxPerTarget, takesOne ? 1 : demand.tasks));
    if (held >= demand.tasks) return true;
  }
  return held >= demand.tasks;
}

StepDemand makeDemand(const PlannedStep& step, std::size_t index, TargetIndex& targets, double nowMs, SpeedUse speeds) {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  StepDemand demand;
  demand.step = index;
  demand.rank = step.rank;
  if (step.rank != GuaranteedRank) demand.band = step.band;
  demand.prospect = prospectOf(step, nowMs);
  demand.need = resourceAmountsOf(spec);
  demand.tasks = step.tasks.size();
  demand.gang = spec.gang();
  demand.trial = step.trial;
  demand.sameRack = spec.gang() && spec.same_rack();
  if (!spec.preferred_rack().empty()) demand.dataRack = targets.rackNamed(spec.preferred_rack());
  // A task runs several times as long in another rack than its data, so it first waits for about its run time.
  demand.waitsForData = step.waitedMs < step.estimateMs;
  if (spec.max_per_target() > 0) demand.maxPerTarget = spec.max_per_target();
  demand.estimateMs = step.estimateMs;
  demand.estimateQuantileMs = step.estimateQuantileMs;
  demand.waitedMs = step.waitedMs;
  demand.objectiveMs = step.objectiveMs;
  demand.taskWork = step.taskWork;
  demand.eligible = targets.targetsOf(step.workflow->record.service(), spec.required_label());
  demand.shared = !step.tickets && step.avoided.empty() && !step.trial && spec.max_per_target() == 0;
  if (step.tickets) demand.eligible = internal::with_tickets(step, targets, demand.eligible);
  if (!step.avoided.empty()) {
    const TargetList unfiltered = demand.eligible;
    demand.eligible = internal::without_avoided(step, targets, unfiltered);
    if (!internal::could_serve(demand, targets)) demand.eligible = unfiltered;
  }
  if (speeds != SpeedUse::None) {
    demand.lateChances = targets.lateChances(slowdownLimit(step.objectiveMs - nowMs, step.estimateMs));
  }
  if (speeds == SpeedUse::Choice && demand.isUrgent() && demand.lateChances != nullptr) {
    const TargetList unfiltered = demand.eligible;
    demand.eligible = targets.fastEnough(unfiltered, *demand.lateChances);
    if (!internal::could_serve(demand, targets)) demand.eligible = unfiltered;
  }
  for (const auto& [id, count] : step.placedOn) {
    const std::optional<std::size_t> target = targets.find(id);
    if (target) demand.placed.emplace_back(*target, count);
  }
  std::sort(demand.placed.begin(), demand.placed.end());
  return demand;
}

}  // namespace courseloom
