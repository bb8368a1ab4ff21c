// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Entry/AcknowledgementTimes.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace courseloom {

namespace internal {
namespace {
/** Least number of recorded times for a quantile; with fewer, single values would determine it. */
constexpr std::size_t FewestTimes = 8;
}  // namespace
}  // namespace internal

void AcknowledgementTimes::record(Duration took) {
  const double ms = std::clamp(toMilliseconds(took), 0.0, static_cast<double>(LongestMs));
  const std::uint64_t place = m_count.fetch_add(1) % Kept;
  m_newestMs[place].store(static_cast<std::uint32_t>(std::ceil(ms)));
}

Duration AcknowledgementTimes::quantile(double quantile, Duration initial) const {
  const std::size_t kept = std::min<std::uint64_t>(m_count.load(), Kept);
  if (kept < internal::FewestTimes) return initial;
  std::vector<std::uint32_t> times;
  for (std::size_t i = 0; i < kept; ++i) times.push_back(m_newestMs[i].load());
  const double share = std::clamp(quantile, 0.0, 1.0);
  const auto position = static_cast<std::ptrdiff_t>(std::ceil(share * static_cast<double>(kept - 1)));
  std::nth_element(times.begin(), times.begin() + position, times.end());
  return milliseconds(times[static_cast<std::size_t>(position)]);
}

}  // namespace courseloom
