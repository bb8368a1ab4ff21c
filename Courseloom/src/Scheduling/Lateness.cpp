// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/Lateness.h"

#include <algorithm>
#include <cmath>

namespace courseloom {

namespace internal {
namespace {

/** Time from a plan until a run does work: commit, start order, and start of the last run of a gang; measured 60 to
 * 150 ms. */
constexpr double StartDelayMs = 100.0;
/** Standard deviation of the logarithm of a run time, in addition to the error of its target's slowdown. */
constexpr double RunTimeSpread = 0.15;

/** \returns the probability that a normally distributed logarithm of a run time exceeds a limit. */
double probability_above(double limit, double mean, double error) {
  const double spread = std::sqrt(error * error + RunTimeSpread * RunTimeSpread);
  return 0.5 * std::erfc((limit - mean) / (spread * std::sqrt(2.0)));
}

}  // namespace
}  // namespace internal

double slowdownLimit(double leftMs, double usualMs) {
  return std::log(std::max(1.0, leftMs - internal::StartDelayMs) / std::max(1.0, usualMs));
}

LateChance::LateChance(double limit) : m_limit(limit), m_usualChance(internal::probability_above(limit, 0.0, 0.0)) {}

double LateChance::on(const TargetSlowdown& pace) const {
  return std::max(0.0, internal::probability_above(m_limit, pace.slowness, pace.error) - m_usualChance);
}

}  // namespace courseloom
