// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/RunPlan.h"

namespace courseloom {

/** \defgroup StepSelection Selection of the steps that one planning pass examines
 *
 * The rule: the work of a planning pass has an upper limit that does not depend on what clients have submitted. A pass
 * examines at most MaxStepsPerPass waiting steps and about MaxTasksPerPass of their tasks. If more wait, each workspace
 * has an equal share of the steps, and each workflow an equal share within its workspace; what one workspace or
 * workflow leaves, the others get. Within a workflow the steps take turns from pass to pass, see
 * WaitingSteps::select(), so that a step which cannot be placed does not hide the others. If no more wait, all are
 * examined, and the plan is that of a planner without a limit.
 *
 * \sa WorkflowRunner::collectSteps()
 */

/** Largest number of waiting steps that one planning pass examines. */
inline constexpr std::size_t MaxStepsPerPass = 2048;
/** Number of waiting tasks that one planning pass examines: those of gangs, and as many of other steps. At least one
 * task of each selected step, and one gang, are examined in any case. */
inline constexpr std::size_t MaxTasksPerPass = 16384;

/** \returns the largest limit for which a total suffices if each demand gets the limit or, if it is lower, what it
 * demands (max-min fairness); at least 1. */
std::size_t fairLimit(std::vector<std::size_t> demands, std::size_t total);

/** \class WorkflowDemand
 * \brief The ready steps of one workflow, as input of shareSteps().
 */
struct WorkflowDemand {
  std::string workflow;  ///< its id
  std::string workspace;
  Rank rank = UrgentRank;
  std::uint64_t submittedMs = 0;  ///< wall clock, ms since 1970
  std::size_t steps = 0;          ///< number of its ready steps with waiting tasks
};

/** \returns by index of the demand the number of steps of each workflow that a pass examines. If a workspace has more
 * workflows than its share has steps, half of the share goes to the first ones by rank and time of submission, and the
 * other half to the others in turn.
 * \param most largest number of steps; exceeded only if there are more workspaces than that
 * \param turn number of the pass, by which those in turn are chosen */
std::vector<std::size_t> shareSteps(const std::vector<WorkflowDemand>& demands, std::size_t most, std::uint64_t turn);

}  // namespace courseloom
