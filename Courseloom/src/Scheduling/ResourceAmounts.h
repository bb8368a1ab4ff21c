// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "generated/workflow.pb.h"

namespace courseloom {

/** \class ResourceAmounts
 * \brief Amounts of resources: the total or free capacity of a target, or the demand of a task. Free capacity falls
 * below zero where more is reserved than is free.
 */
struct ResourceAmounts {
  std::int64_t cpuMilli = 0;  ///< thousandths of a processor core
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;

  /** Adds each amount of another one. */
  void add(const ResourceAmounts& other);
  /** Subtracts each amount of another one. */
  void subtract(const ResourceAmounts& other);
  /** \returns whether a demand fits; a resource of which nothing is demanded is not checked. */
  bool holds(const ResourceAmounts& need) const;
  /** \returns how many times a demand fits at once. \param most upper limit of the result */
  std::size_t fits(const ResourceAmounts& need, std::size_t most) const;
  auto operator<=>(const ResourceAmounts&) const = default;
};

/** Capacities of targets, by index among the planned targets. */
using TargetCapacities = std::vector<ResourceAmounts>;

/** \returns the amounts of a resource message. */
ResourceAmounts resourceAmountsOf(const schema::Resources& resources);
/** \returns a resource message of amounts that are not negative. */
schema::Resources resourcesOf(const ResourceAmounts& amounts);
/** \returns the text of a resource message in log events. */
std::string resourcesText(const schema::Resources& resources);
/** \returns the demand of one task of a step; 0 cpuMilli for a filler, which uses only idle processor time. */
ResourceAmounts resourceAmountsOf(const schema::StepSpec& step);
/** \returns the same for an order to start a run. */
ResourceAmounts resourceAmountsOf(const schema::RunOrder& order);

}  // namespace courseloom
