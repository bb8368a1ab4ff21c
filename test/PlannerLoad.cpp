// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/PlannerLoad.h"

#include <algorithm>

namespace courseloom::test {

namespace {

constexpr std::int64_t AcceleratorsPerTarget = 8;
constexpr std::size_t TargetsPerRack = 8;
/** Number of targets for each unit of the backlog of full(). */
constexpr std::size_t TargetsPerBacklog = 30;
constexpr ResourceAmounts TargetCapacity = {128000, 262144, AcceleratorsPerTarget};

}  // namespace

void PlannerLoad::addTargets(std::size_t count, std::size_t perRack) {
  for (std::size_t i = 0; i < count; ++i) {
    PlannedTarget& target = targets.emplace_back();
    target.id = "target-" + std::to_string(i);
    target.agent = "agent-" + std::to_string(i);
    target.service = "s";
    target.rack = "rack-" + std::to_string(i / perRack);
    target.labels = {target.rack, "any"};
    target.capacity = TargetCapacity;
    target.open = true;
  }
}

PlannedStep& PlannerLoad::addStep(std::uint32_t count, std::uint32_t accelerators, Rank rank, bool gang) {
  WorkflowState& workflow = m_workflows.emplace_back();
  workflow.record.set_id("waiting-" + std::to_string(m_workflows.size()));
  workflow.record.set_service("s");
  schema::StepSpec* spec = workflow.record.mutable_spec()->add_steps();
  spec->set_count(count);
  spec->set_gang(gang);
  spec->mutable_need()->set_accelerators(accelerators);
  spec->mutable_need()->set_cpu_milli(1000 + 4000 * accelerators);
  spec->mutable_need()->set_memory_mb(1000);
  PlannedStep& step = steps.emplace_back();
  step.workflow = &workflow;
  step.rank = rank;
  step.estimateMs = rank <= UrgentRank ? 2500.0 : 8500.0;
  step.waitedMs = below(6000);
  step.taskWork = step.estimateMs * (1.0 + 8.0 * accelerators) / 1000.0;
  step.objectiveMs = nowMs + 1.5 * step.estimateMs - step.waitedMs;
  step.worthlessMs = nowMs + 4.5 * step.estimateMs - step.waitedMs;
  for (std::uint32_t i = 0; i < count; ++i) step.tasks.push_back(i);
  return step;
}

schema::StepSpec& PlannerLoad::specOf(const PlannedStep& step) {
  const auto found = std::find_if(m_workflows.begin(), m_workflows.end(),
                                  [&step](const WorkflowState& workflow) { return &workflow == step.workflow; });
  return *found->record.mutable_spec()->mutable_steps(0);
}

void PlannerLoad::addRun(std::size_t target, std::int64_t accelerators, Rank rank, double remainingMs) {
  PlannedRun& run = runs.emplace_back();
  run.key = {"running-" + std::to_string(runs.size()), {0, 0, 0}, 1};
  run.target = target;
  run.need = {1000 + 4000 * accelerators, 1000, accelerators};
  run.rank = rank;
  run.remainingMs = remainingMs;
  run.lostWork = between(0, 200);
}

PlannerLoad PlannerLoad::full(std::size_t targets, unsigned backlog, std::uint64_t seed) {
  PlannerLoad load(seed);
  load.addTargets(targets, TargetsPerRack);
  for (std::size_t i = 0; i < targets; ++i) {
    for (std::int64_t a = 0; a < AcceleratorsPerTarget; ++a) load.addRun(i, 1, rankOf(2, false), load.between(0, 9500));
  }
  for (std::size_t i = 0; i < backlog * targets / TargetsPerBacklog; ++i) {
    load.addStep(25, 4, rankOf(1, false), true);
    for (int urgent = 0; urgent < 3; ++urgent) load.addStep(8, 4, UrgentRank, true);
    load.addStep(78, 1, rankOf(2, false), false);
  }
  return load;
}

void PlannerLoad::drawTarget(PlannedTarget& target) {
  if (chance(0.1)) target.service = "other";
  if (chance(0.3)) target.labels.insert("fast");
  if (chance(0.05)) target.open = false;
  if (chance(0.04)) target.single = true;
  if (chance(0.1)) target.penalty = below(30);
  if (chance(0.1)) target.capacity.accelerators /= 2;
}

void PlannerLoad::drawRuns(std::size_t target) {
  std::int64_t left = targets[target].capacity.accelerators - below(4);
  while (left > 0 && !chance(0.1)) {
    const std::int64_t accelerators = std::min<std::int64_t>(left, std::int64_t{1} << below(4));
    addRun(target, accelerators, below(5), chance(0.2) ? below(600) : between(0, 9000));
    if (chance(0.05)) runs.back().stopping = true;
    if (chance(0.05)) runs.back().preemptible = false;
    left -= accelerators;
  }
}

/** Joins some of the runs to a gang. */
void PlannerLoad::drawGang(std::uint32_t number) {
  const Rank rank = below(5);
  const double remainingMs = below(9000);
  for (std::uint32_t i = 0; i < 2 + below(5) && !runs.empty(); ++i) {
    PlannedRun& run = runs[below(static_cast<std::uint32_t>(runs.size()))];
    if (!run.gang.empty()) continue;
    run.gang = "gang-" + std::to_string(number);
    run.rank = rank;
    run.remainingMs = remainingMs;
    run.stopping = false;
    run.preemptible = true;
  }
}

void PlannerLoad::drawStep() {
  const bool gang = chance(0.5);
  PlannedStep& step = addStep(1 + below(gang ? 12 : 30), 1U << below(4), below(5), gang);
  schema::StepSpec& spec = specOf(step);
  if (gang && chance(0.5)) spec.set_same_rack(true);
  if (chance(0.2)) spec.set_required_label("fast");
  if (chance(0.2)) spec.set_max_per_target(1 + below(3));
  if (chance(0.2)) spec.set_preferred_rack("rack-" + std::to_string(below(4)));
  if (chance(0.1)) step.avoided.insert("target-" + std::to_string(below(6)));
  if (chance(0.2)) step.placedOn["target-" + std::to_string(below(6))] = 1 + below(2);
  if (chance(0.2)) step.objectiveMs = nowMs + below(20000) - 6000.0;
  if (!chance(0.1)) return;
  step.tickets.emplace();
  for (unsigned i = below(6); i > 0; --i) step.tickets->emplace("target-" + std::to_string(below(12)), "ticket");
}

PlannerLoad PlannerLoad::mixed(std::uint64_t seed) {
  PlannerLoad load(seed);
  load.addTargets(3 + load.below(30), 2 + load.below(6));
  for (PlannedTarget& target : load.targets) load.drawTarget(target);
  for (std::size_t i = 0; i < load.targets.size(); ++i) load.drawRuns(i);
  for (std::uint32_t i = load.below(6); i > 0; --i) load.drawGang(i);
  for (std::uint32_t i = 1 + load.below(24); i > 0; --i) load.drawStep();
  load.keepFullyFree = load.below(4);
  return load;
}

void PlannerLoad::advance(double ms) {
  nowMs += ms;
  for (PlannedStep& step : steps) step.waitedMs += ms;
  for (PlannedRun& run : runs) run.remainingMs = std::max(0.0, run.remainingMs - ms);
  std::erase_if(runs,
                [this](const PlannedRun& run) { return run.gang.empty() && run.remainingMs == 0.0 && chance(0.7); });
}

}  // namespace courseloom::test
