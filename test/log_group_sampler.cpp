// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of LogGroupSampler: which log groups are logged if more lines are logged than the budget allows.

#include "Courseloom/src/Core/LogGroupSampler.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

#include "test/main.h"

using namespace courseloom;

namespace {

constexpr unsigned Budget = 200;
constexpr unsigned GroupCount = 400;

std::uint64_t groupId(std::uint64_t group) { return XXH64(&group, sizeof group, 0); }

/** Results of some seconds in which each group logs a fixed number of lines per second. */
struct SampledLines {
  std::map<std::uint64_t, unsigned> lines;  ///< admitted lines by group
  unsigned maxPerSecond = 0;                ///< maximum number of admitted lines in one second
  std::uint64_t omitted = 0;                ///< as reported by the sampler
};

SampledLines logLines(LogGroupSampler& sampler, std::int64_t fromSecond, std::int64_t seconds,
                      unsigned linesPerSecond) {
  SampledLines sampled;
  for (std::int64_t second = fromSecond; second < fromSecond + seconds; ++second) {
    unsigned admitted = 0;
    for (unsigned line = 0; line < linesPerSecond; ++line) {
      for (std::uint64_t group = 0; group < GroupCount; ++group) {
        std::uint64_t omitted = 0;
        const bool admit = sampler.admit(groupId(group), second, omitted);
        sampled.omitted += omitted;
        sampled.lines[group] += admit ? 1 : 0;
        admitted += admit ? 1 : 0;
      }
    }
    sampled.maxPerSecond = std::max(sampled.maxPerSecond, admitted);
  }
  return sampled;
}

}  // namespace

// With a limit of 100 lines per second for each event, no request could be followed by its id under load.
Test(log_group_sampler, under_load_some_groups_are_logged_completely) {
  LogGroupSampler sampler(Budget);
  const SampledLines sampled = logLines(sampler, 100, 10, 5);
  const auto completeGroups =
      std::count_if(sampled.lines.begin(), sampled.lines.end(), [](const auto& one) { return one.second == 50; });
  cr_assert_geq(completeGroups, 4, "only %td groups are complete", completeGroups);
  cr_assert_lt(sampled.maxPerSecond, 3 * Budget, "%u lines in a second", sampled.maxPerSecond);
  cr_assert_gt(sampled.omitted, 0);
}

Test(log_group_sampler, all_groups_are_logged_again_when_the_load_falls) {
  LogGroupSampler sampler(Budget);
  logLines(sampler, 100, 5, 5);
  std::uint64_t omitted = 0;
  sampler.admit(groupId(1), 130, omitted);
  for (std::uint64_t group = 0; group < Budget; ++group) cr_assert(sampler.admit(groupId(group), 131, omitted));
}

Test(log_group_sampler, all_lines_within_the_budget_are_logged) {
  LogGroupSampler sampler(GroupCount);
  const SampledLines sampled = logLines(sampler, 7, 20, 1);
  cr_assert_eq(sampled.omitted, 0);
}
