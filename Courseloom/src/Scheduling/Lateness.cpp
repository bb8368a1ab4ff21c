// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/Lateness.h"

#include <algorithm>
#include <cmath>

namespace courseloom {

namespace internal {
namespace {

/** Time from a plan until a run works: commit, order, and the last member of a gang; measured 60 to 150 ms. */
constexpr double BeginMs = 100.0;
/** Spread of the logarithm of a run time beside that of its target's pace. */
constexpr double TimeSpread = 0.15;

double chance_beyond(double limit, double mean, double error) {
  const double spread = std::sqrt(error * error + TimeSpread * TimeSpread);
  return 0.5 * std::erfc((limit - mean) / (spread * std::sqrt(2.0)));
}

}  // namespace
}  // namespace internal

double slownessLimit(double leftMs, double usualMs) {
  return std::log(std::max(1.0, leftMs - internal::BeginMs) / std::max(1.0, usualMs));
}

LateChance::LateChance(double limit) : m_limit(limit), m_usual(internal::chance_beyond(limit, 0.0, 0.0)) {}

double LateChance::on(const TargetPace& pace) const {
  return std::max(0.0, internal::chance_beyond(m_limit, pace.slowness, pace.error) - m_usual);
}

}  // namespace courseloom
