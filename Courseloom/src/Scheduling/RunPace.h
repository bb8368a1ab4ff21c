// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <functional>
#include <map>
#include <optional>

#include "Courseloom/src/Scheduling/RunLedger.h"

namespace courseloom {

/** \returns the longest time that a member of a gang's run still needs, ms: the gang ends with its slowest member.
 * \param runs all active runs \param member any member \param count members that the gang has
 * \param remainingMs tells how long one run still needs, ms */
double gangRemainingMs(const std::map<RunKey, RunTrack>& runs, const RunKey& member, std::uint32_t count,
                       const std::function<double(const RunTrack&)>& remainingMs);

/** \returns the time that a run's task takes from its beginning to its end by the run's own pace, ms, or nothing while
 * too little of it was seen. */
std::optional<double> wholeByPaceMs(const RunTrack& track);

/** \returns the time that a run still needs by its own pace, ms, or nothing while too little of it was seen. */
std::optional<double> remainingByPaceMs(const RunTrack& track, Time now);

}  // namespace courseloom
