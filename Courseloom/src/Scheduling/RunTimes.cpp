// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace courseloom {

namespace internal {
namespace {

/** Ended runs that weigh as much as the belief in the estimates; a few steps' worth of tasks. */
constexpr double PriorRuns = 10.0;
/** Variance of the logarithms of estimates that goes with that belief: estimates that differ by half. */
constexpr double PriorVariance = 0.25;
/** Share of a task, percent, that has to be seen before its pace tells when it ends: ten steps of its gauge. */
constexpr std::uint32_t TellingPercent = 10;
constexpr double WholePercent = 100.0;

}  // namespace
}  // namespace internal

void RunTimes::ended(const std::string& queue, double estimateMs, double tookMs) {
  if (estimateMs <= 0.0 || tookMs <= 0.0) return;
  const double x = std::log(estimateMs);
  const double y = std::log(tookMs);
  Sums& sums = m_queues[queue];
  sums.count += 1.0;
  sums.x += x;
  sums.y += y;
  sums.xx += x * x;
  sums.xy += x * y;
}

double RunTimes::expectedMs(const std::string& queue, double estimateMs) const {
  const auto found = m_queues.find(queue);
  if (found == m_queues.end() || estimateMs <= 0.0) return estimateMs;
  const Sums& sums = found->second;
  const double meanX = sums.x / sums.count;
  const double meanY = sums.y / sums.count;
  const double prior = internal::PriorRuns * internal::PriorVariance;
  const double spread = sums.xx - sums.count * meanX * meanX;
  const double together = sums.xy - sums.count * meanX * meanY;
  const double slope = std::clamp((together + prior) / (spread + prior), 0.0, 1.0);
  const double trust = sums.count / (sums.count + internal::PriorRuns);
  const double x = std::log(estimateMs);
  return std::exp(x + trust * (meanY - meanX + (slope - 1.0) * (x - meanX)));
}

double gangRemainingMs(const std::map<RunKey, RunTrack>& runs, const RunKey& member, std::uint32_t count,
                       const std::function<double(const RunTrack&)>& remainingMs) {
  double longest = 0.0;
  for (std::uint32_t index = 0; index < count; ++index) {
    const auto found = runs.find({member.workflow, {member.task.occurrence, member.task.step, index}, member.run});
    if (found != runs.end()) longest = std::max(longest, remainingMs(found->second));
  }
  return longest;
}

std::optional<double> remainingByPaceMs(const RunTrack& track, Time now) {
  const bool seen = track.firstSeen != Time{} && track.percent >= track.firstPercent + internal::TellingPercent;
  const double tookMs = toMilliseconds(track.percentChanged - track.firstSeen);
  if (!seen || tookMs <= 0.0) return std::nullopt;
  const double pace = (track.percent - track.firstPercent) / tookMs;
  const double leftMs = (internal::WholePercent - track.percent) / pace;
  return std::max(0.0, leftMs - toMilliseconds(now - track.percentChanged));
}

}  // namespace courseloom
