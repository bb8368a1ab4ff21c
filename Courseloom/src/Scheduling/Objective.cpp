// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/Objective.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace courseloom {

namespace internal {
namespace {

/** Share of a service's capacity that one step is assumed to get; a step that needs more runs in waves. Source: the
 * users' rule on credit. */
constexpr double StepShare = 0.25;

/** \returns the number of waves that one resource requires; 1 if none is needed or its amount is not known. */
double waves_in(std::uint32_t count, std::int64_t need, std::int64_t capacity) {
  if (need == 0 || capacity == 0) return 1.0;
  const double atOnce =
      std::max(1.0, std::floor(StepShare * static_cast<double>(capacity) / static_cast<double>(need)));
  return std::ceil(count / atOnce);
}

}  // namespace
}  // namespace internal

unsigned wavesOf(const schema::StepSpec& step, const ResourceAmounts& capacity) {
  if (step.gang()) return 1;
  const ResourceAmounts need = resourceAmountsOf(step);
  const double waves = std::max({internal::waves_in(step.count(), need.cpuMilli, capacity.cpuMilli),
                                 internal::waves_in(step.count(), need.memoryMb, capacity.memoryMb),
                                 internal::waves_in(step.count(), need.accelerators, capacity.accelerators)});
  return static_cast<unsigned>(waves);
}

double coresOf(const schema::StepSpec& step) {
  constexpr double CpuMilliPerCore = 1000.0;
  constexpr double AcceleratorCores = 8.0;
  return static_cast<double>(step.need().cpu_milli()) / CpuMilliPerCore + AcceleratorCores * step.need().accelerators();
}

std::uint64_t widestAccelerators(const schema::WorkflowSpec& spec) {
  std::uint64_t widest = 0;
  for (const schema::StepSpec& step : spec.steps()) {
    widest = std::max(widest, std::uint64_t{step.count()} * step.need().accelerators());
  }
  return widest;
}

double criticalPathMs(const schema::WorkflowSpec& spec, const TaskTime& taskMs, const ResourceAmounts& capacity) {
  std::vector<double> ends;
  double longest = 0.0;
  for (const schema::StepSpec& step : spec.steps()) {
    double begins = 0.0;
    for (const std::uint32_t earlier : step.after()) begins = std::max(begins, ends[earlier]);
    ends.push_back(begins + taskMs(step) * wavesOf(step, capacity));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

}  // namespace courseloom
