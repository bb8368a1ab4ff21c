// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/Room.h"

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

void Room::add(const Room& other) {
  cpuMilli += other.cpuMilli;
  memoryMb += other.memoryMb;
  accelerators += other.accelerators;
}

void Room::subtract(const Room& other) {
  cpuMilli -= other.cpuMilli;
  memoryMb -= other.memoryMb;
  accelerators -= other.accelerators;
}

bool Room::holds(const Room& need) const {
  const bool cpu = need.cpuMilli == 0 || cpuMilli >= need.cpuMilli;
  const bool memory = need.memoryMb == 0 || memoryMb >= need.memoryMb;
  return cpu && memory && (need.accelerators == 0 || accelerators >= need.accelerators);
}

std::size_t Room::fits(const Room& need, std::size_t most) const {
  // Under load most targets are full, and a comparison costs less than the divisions below.
  if (!holds(need)) return 0;
  std::size_t count = most;
  internal::limit_to(count, accelerators, need.accelerators);
  internal::limit_to(count, cpuMilli, need.cpuMilli);
  internal::limit_to(count, memoryMb, need.memoryMb);
  return count;
}

Room roomOf(const schema::Resources& resources) {
  return {static_cast<std::int64_t>(resources.cpu_milli()), static_cast<std::int64_t>(resources.memory_mb()),
          static_cast<std::int64_t>(resources.accelerators())};
}

Room roomOf(const schema::StepSpec& step) {
  Room need = roomOf(step.need());
  if (step.filler()) need.cpuMilli = 0;
  return need;
}

Room roomOf(const schema::RunOrder& order) {
  Room need = roomOf(order.need());
  if (order.filler()) need.cpuMilli = 0;
  return need;
}

}  // namespace courseloom
