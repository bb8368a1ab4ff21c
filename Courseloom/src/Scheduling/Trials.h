// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstddef>
#include <vector>

#include "Courseloom/src/Scheduling/RunPlan.h"

namespace courseloom {

/** \returns how many further trial starts are allowed now. Each keeps one target free of other starts for a while.
 * \param targets number of all targets
 * \param pending number of trial starts that have not ended and whose outcome is not known yet */
std::size_t trialsAllowed(std::size_t targets, std::size_t pending);

/** \returns how many further trial starts one step may have now: up to one at a time, or up to twice the number of its
 * runs that have survived, whichever is more.
 * \param pending number of its trial starts whose outcome is not known yet
 * \param survived number of its active runs of suspect tasks that have survived their trial start */
std::size_t trialsOfStep(std::size_t pending, std::size_t survived);

/** \returns whether the tasks of a step have to start soon even if they are suspect: those within a guarantee, and
 * those of long-running steps. */
bool mustStartSoon(const PlannedStep& step);

/** Divides the waiting tasks of a step into suspect tasks, which get trial starts, and others. The others wait if two
 * or more targets have crashed under the workflow, unless mustStartSoon() is true for the step, and always if the step
 * has a limit per target. \param most largest number of suspect tasks in the result \returns the parts that have tasks;
 * the step unchanged if it is a gang or has no suspect tasks */
std::vector<PlannedStep> splitForTrial(PlannedStep step, std::size_t most);

}  // namespace courseloom
