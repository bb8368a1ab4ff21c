// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Whose lines are logged when there are too many.

#include "Courseloom/src/Core/LogGroupSampler.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

#include "test/main.h"

using namespace courseloom;

namespace {

constexpr unsigned Budget = 200;
constexpr unsigned Stories = 400;

std::uint64_t nameOf(std::uint64_t story) { return XXH64(&story, sizeof story, 0); }

/** What came of some seconds in which each story writes so many lines a second. */
struct Told {
  std::map<std::uint64_t, unsigned> lines;  ///< by story
  unsigned mostInASecond = 0;
  std::uint64_t omitted = 0;
};

Told tell(LogGroupSampler& choice, std::int64_t fromSecond, std::int64_t seconds, unsigned linesEach) {
  Told told;
  for (std::int64_t second = fromSecond; second < fromSecond + seconds; ++second) {
    unsigned written = 0;
    for (unsigned line = 0; line < linesEach; ++line) {
      for (std::uint64_t story = 0; story < Stories; ++story) {
        std::uint64_t omitted = 0;
        const bool write = choice.admit(nameOf(story), second, omitted);
        told.omitted += omitted;
        told.lines[story] += write ? 1 : 0;
        written += write ? 1 : 0;
      }
    }
    told.mostInASecond = std::max(told.mostInASecond, written);
  }
  return told;
}

}  // namespace

// Each event dropped what came after its hundredth line of a second, so that no request could be followed by its id.
Test(story_choice, under_load_some_stories_are_told_whole) {
  LogGroupSampler choice(Budget);
  const Told told = tell(choice, 100, 10, 5);
  const auto whole =
      std::count_if(told.lines.begin(), told.lines.end(), [](const auto& one) { return one.second == 50; });
  cr_assert_geq(whole, 4, "only %td stories are whole", whole);
  cr_assert_lt(told.mostInASecond, 3 * Budget, "%u lines in a second", told.mostInASecond);
  cr_assert_gt(told.omitted, 0);
}

Test(story_choice, all_are_told_again_once_there_is_room) {
  LogGroupSampler choice(Budget);
  tell(choice, 100, 5, 5);
  std::uint64_t omitted = 0;
  choice.admit(nameOf(1), 130, omitted);
  for (std::uint64_t story = 0; story < Budget; ++story) cr_assert(choice.admit(nameOf(story), 131, omitted));
}

Test(story_choice, what_fits_the_budget_is_all_told) {
  LogGroupSampler choice(Stories);
  const Told told = tell(choice, 7, 20, 1);
  cr_assert_eq(told.omitted, 0);
}
