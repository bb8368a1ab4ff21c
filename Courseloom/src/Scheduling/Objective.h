// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <functional>

#include "Courseloom/src/Scheduling/RunPlanner.h"

namespace courseloom {

/** A workflow is worthless to its caller once it takes this many times its objective. */
inline constexpr double WorthlessAfter = 3.0;

/** Returns the expected run time of one task of a step, ms. */
using TaskTime = std::function<double(const schema::StepSpec& step)>;

/** \returns the number of waves in which a step's tasks run on its share of a service's capacity; 1 for a gang.
 *
 * \param capacity total capacity of the service's targets; an amount of 0 is not known yet and does not limit */
unsigned wavesOf(const schema::StepSpec& step, const ResourceAmounts& capacity);

/** \returns the cores that a task of a step takes, with each of its accelerators counted as eight cores. */
double coresOf(const schema::StepSpec& step);

/** \returns the accelerators that the step with the highest demand takes if all its tasks run at once. */
std::uint64_t widestAccelerators(const schema::WorkflowSpec& spec);

/** \returns the length of a workflow's critical path, ms: the longest chain of steps, where each step takes the run
 * time of a task times its number of waves.
 *
 * The objective promised to a caller is this time multiplied by the factor of the workflow's queue.
 * \param capacity as for wavesOf() */
double criticalPathMs(const schema::WorkflowSpec& spec, const TaskTime& taskMs, const ResourceAmounts& capacity);

}  // namespace courseloom
