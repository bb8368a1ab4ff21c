// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <algorithm>
#include <cstdio>
#include <vector>

namespace courseloom::bench {

/** Prints one figure the way tools read it. */
inline void figure(const char* name, double value, const char* unit) {
  std::printf("figure: %s %.3f %s\n", name, value, unit);
  std::fflush(stdout);
}

/** \returns a quantile, 0 to 1, of some values; 0 if there are none. */
inline double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

}  // namespace courseloom::bench
