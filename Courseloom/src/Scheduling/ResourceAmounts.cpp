// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/ResourceAmounts.h"

#include <algorithm>

namespace courseloom {

namespace internal {
namespace {

/** Lowers a count to what the available amount of one resource allows. */
void limit_to(std::size_t& count, std::int64_t available, std::int64_t need) {
  if (need > 0) count = std::min(count, static_cast<std::size_t>(std::max<std::int64_t>(0, available) / need));
}

}  // namespace
}  // namespace internal

void ResourceAmounts::add(const ResourceAmounts& other) {
  cpuMilli += other.cpuMilli;
  memoryMb += other.memoryMb;
  accelerators += other.accelerators;
}

void ResourceAmounts::subtract(const ResourceAmounts& other) {
  cpuMilli -= other.cpuMilli;
  memoryMb -= other.memoryMb;
  accelerators -= other.accelerators;
}

bool ResourceAmounts::holds(const ResourceAmounts& need) const {
  const bool cpu = need.cpuMilli == 0 || cpuMilli >= need.cpuMilli;
  const bool memory = need.memoryMb == 0 || memoryMb >= need.memoryMb;
  return cpu && memory && (need.accelerators == 0 || accelerators >= need.accelerators);
}

std::size_t ResourceAmounts::fits(const ResourceAmounts& need, std::size_t most) const {
  // Under load most targets are full, and a comparison costs less than the divisions below.
  if (!holds(need)) return 0;
  std::size_t count = most;
  internal::limit_to(count, accelerators, need.accelerators);
  internal::limit_to(count, cpuMilli, need.cpuMilli);
  internal::limit_to(count, memoryMb, need.memoryMb);
  return count;
}

ResourceAmounts resourceAmountsOf(const schema::Resources& resources) {
  return {static_cast<std::int64_t>(resources.cpu_milli()), static_cast<std::int64_t>(resources.memory_mb()),
          static_cast<std::int64_t>(resources.accelerators())};
}

schema::Resources resourcesOf(const ResourceAmounts& amounts) {
  schema::Resources resources;
  resources.set_cpu_milli(static_cast<std::uint64_t>(amounts.cpuMilli));
  resources.set_memory_mb(static_cast<std::uint64_t>(amounts.memoryMb));
  resources.set_accelerators(static_cast<std::uint32_t>(amounts.accelerators));
  return resources;
}

std::string resourcesText(const schema::Resources& resources) {
  return std::to_string(resources.cpu_milli()) + " cpu_milli, " + std::to_string(resources.memory_mb()) +
         " memory_mb, " + std::to_string(resources.accelerators()) + " accelerators";
}

ResourceAmounts resourceAmountsOf(const schema::StepSpec& step) {
  ResourceAmounts need = resourceAmountsOf(step.need());
  if (step.filler()) need.cpuMilli = 0;
  return need;
}

ResourceAmounts resourceAmountsOf(const schema::RunOrder& order) {
  ResourceAmounts need = resourceAmountsOf(order.need());
  if (order.filler()) need.cpuMilli = 0;
  return need;
}

}  // namespace courseloom
