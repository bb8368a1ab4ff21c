// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/RunPace.h"

#include <algorithm>

namespace courseloom {

namespace internal {
namespace {

/** Progress, percent, that has to be observed before it is extrapolated: ten steps of the reported percentage. */
constexpr std::uint32_t MinObservedPercent = 10;
/** Progress, percent, that has to be observed before it bounds the remaining time: with less, the time that a run needs
 * to begin its work would look like slow work. */
constexpr std::uint32_t MinPercentForBound = 2;
constexpr double WholePercent = 100.0;

}  // namespace
}  // namespace internal

double gangRemainingMs(const std::map<RunKey, RunTrack>& runs, const RunKey& member, std::uint32_t count,
                       const std::function<double(const RunTrack&)>& remainingMs) {
  double longest = 0.0;
  for (std::uint32_t index = 0; index < count; ++index) {
    const auto found = runs.find({member.workflow, {member.task.occurrence, member.task.step, index}, member.run});
    if (found != runs.end()) longest = std::max(longest, remainingMs(found->second));
  }
  return longest;
}

std::optional<double> durationFromProgressMs(const RunTrack& track) {
  const bool seen = track.firstSeen != Time{} && track.percent >= track.firstPercent + internal::MinObservedPercent;
  const double elapsedMs = toMilliseconds(track.percentChanged - track.firstSeen);
  if (!seen || elapsedMs <= 0.0) return std::nullopt;
  return internal::WholePercent * elapsedMs / (track.percent - track.firstPercent);
}

double leastRemainingMs(double elapsedMs, std::uint32_t firstPercent, std::uint32_t percent) {
  if (percent < firstPercent + internal::MinPercentForBound || percent + 1 >= internal::WholePercent) return 0.0;
  // The reported percentage is rounded down.
  const double leastWholeMs = internal::WholePercent * elapsedMs / (percent - firstPercent + 1);
  return leastWholeMs * (internal::WholePercent - percent - 1) / internal::WholePercent;
}

double passedRatio(const RunTrack& track, double wholeMs, Time now) {
  if (wholeMs <= 0.0) return 0.0;
  return track.firstPercent / internal::WholePercent + toMilliseconds(now - track.startedAt) / wholeMs;
}

std::optional<double> remainingFromProgressMs(const RunTrack& track, Time now) {
  const std::optional<double> durationMs = durationFromProgressMs(track);
  if (!durationMs) return std::nullopt;
  const double leftMs = *durationMs * (internal::WholePercent - track.percent) / internal::WholePercent;
  return std::max(0.0, leftMs - toMilliseconds(now - track.percentChanged));
}

double sinceCheckpointMs(const RunTrack& track, Time now) {
  return std::max(0.0, toMilliseconds(now - std::max(track.startedAt, track.checkpointAt)));
}

}  // namespace courseloom
