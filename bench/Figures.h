// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace courseloom::bench {

/** Prints one measured figure as a line "figure: NAME VALUE UNIT". */
inline void figure(const char* name, double value, const char* unit) {
  std::printf("figure: %s %.3f %s\n", name, value, unit);
  std::fflush(stdout);
}

/** \returns a quantile of the values; 0 if there are none. \param share which quantile, 0 to 1 */
inline double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

/** Resource usage of a process since its start. */
struct ProcessUsage {
  double cpuSeconds = 0;  ///< user and system time
  double residentMb = 0;  ///< resident memory, 10^6 bytes
};

/** \returns the resource usage of a process, from /proc; zeros if the process has ended. */
inline ProcessUsage usageOf(pid_t pid) {
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(stat, text);
  const std::size_t name = text.rfind(')');
  if (name == std::string::npos) return {};
  std::istringstream fields(text.substr(name + 2));
  std::vector<std::string> words;
  for (std::string word; fields >> word;) words.push_back(word);
  constexpr std::size_t UserTime = 11;
  constexpr std::size_t SystemTime = 12;
  constexpr std::size_t ResidentPages = 21;
  ProcessUsage usage;
  if (words.size() <= ResidentPages) return usage;
  const double ticks = std::stod(words[UserTime]) + std::stod(words[SystemTime]);
  usage.cpuSeconds = ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
  usage.residentMb = std::stod(words[ResidentPages]) * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
  return usage;
}

}  // namespace courseloom::bench
