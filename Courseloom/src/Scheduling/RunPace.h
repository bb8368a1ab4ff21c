// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <functional>
#include <map>
#include <optional>

#include "Courseloom/src/Scheduling/RunLedger.h"

namespace courseloom {

/** \returns the remaining time of a gang, ms: that of its slowest member, since the gang ends with it. Members without
 * an active run do not count. \param runs all active runs \param member any member of the gang \param count size of the
 * gang \param remainingMs returns the remaining time of one run, ms */
double gangRemainingMs(const std::map<RunKey, RunTrack>& runs, const RunKey& member, std::uint32_t count,
                       const std::function<double(const RunTrack&)>& remainingMs);

/** \returns the duration of a run's task from 0 % to 100 %, ms, extrapolated from the run's own progress; nothing while
 * too little progress was observed. */
std::optional<double> durationFromProgressMs(const RunTrack& track);

/** \returns the remaining time of a run, ms, extrapolated from its own progress; nothing while too little progress was
 * observed. Never negative. */
std::optional<double> remainingFromProgressMs(const RunTrack& track, Time now);

/** \returns a lower bound of the remaining time, ms, of a run that makes steady progress, which is known before there
 * is enough progress to be extrapolated; 0 while too little was observed. \param elapsedMs time for which the run was
 * observed \param firstPercent progress when it was first seen \param percent last reported progress, in whole percents
 */
double leastRemainingMs(double elapsedMs, std::uint32_t firstPercent, std::uint32_t percent);

/** \returns the time for which a task has run, as a multiple of its expected run time: the share that was done when the
 * run was first seen plus the time since the start of the run. \param wholeMs expected run time of the whole task on
 * its target, ms; 0 gives 0 */
double passedRatio(const RunTrack& track, double wholeMs, Time now);
/** \returns the run time since the newest checkpoint that a run has reported, or since its start before the first one,
 * ms. This run time is lost if the run is stopped. Never negative. */
double sinceCheckpointMs(const RunTrack& track, Time now);

}  // namespace courseloom
