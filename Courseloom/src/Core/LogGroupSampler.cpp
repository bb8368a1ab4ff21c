// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Core/LogGroupSampler.h"

#include <algorithm>
#include <utility>

namespace courseloom {

namespace internal {
namespace {

/** Largest number of halvings: one log group in about a million is few enough for any load. */
constexpr unsigned MaxHalvings = 20;
/** A second that used less than the budget divided by this lets one halving be undone, so more groups are written. */
constexpr unsigned LowUsageDivisor = 4;

}  // namespace
}  // namespace internal

void LogGroupSampler::beginSecond(std::int64_t second) {
  const bool lowUsage = m_written * internal::LowUsageDivisor < m_budget;
  const std::int64_t secondsOfLowUsage = second - m_second - (lowUsage ? 0 : 1);
  m_halvings -= static_cast<unsigned>(std::clamp<std::int64_t>(secondsOfLowUsage, 0, m_halvings));
  m_second = second;
  m_written = 0;
  m_halveAt = m_budget;
}

bool LogGroupSampler::admit(std::uint64_t group, std::int64_t second, std::uint64_t& omitted) {
  if (second != m_second) {
    omitted = std::exchange(m_omitted, 0);
    beginSecond(second);
  }
  if (m_written >= m_halveAt && m_halvings < internal::MaxHalvings) {
    ++m_halvings;
    m_halveAt += m_budget / 2;
  }
  if (!isSampled(group)) {
    ++m_omitted;
    return false;
  }
  ++m_written;
  return true;
}

}  // namespace courseloom
