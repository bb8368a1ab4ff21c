// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <compare>
#include <cstdint>

namespace courseloom {

/** \class StepKey
 * \brief One step of one occurrence of a workflow.
 */
struct StepKey {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  auto operator<=>(const StepKey&) const = default;
};

/** \class TaskKey
 * \brief One task within its workflow.
 */
struct TaskKey {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;
  auto operator<=>(const TaskKey&) const = default;
  /** \returns the step of the task. */
  StepKey stepKey() const { return {occurrence, step}; }
};

}  // namespace courseloom
