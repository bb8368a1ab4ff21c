// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <functional>

#include "Courseloom/src/Scheduling/RunPlanner.h"

namespace courseloom {

/** \returns expected run time of one task of a step, ms. */
using TaskTime = std::function<double(const schema::StepSpec& step)>;

/** \returns how often a step has to fill its share of a service's room until all its tasks have run; 1 for a gang.
 *
 * \param room all that the service's targets have; where it is not known yet, one wave is assumed */
unsigned wavesOf(const schema::StepSpec& step, const Room& room);

/** \returns run time of the longest chain of steps, ms, each step with its waves.
 *
 * A caller is promised a workflow's end by this time, stretched by its queue's factor. */
double longestChainMs(const schema::WorkflowSpec& spec, const TaskTime& taskMs, const Room& room);

}  // namespace courseloom
