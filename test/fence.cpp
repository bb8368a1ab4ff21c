// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Fencing tokens of an agent's calls.

#include "Courseloom/src/Agent/Fence.h"

#include "test/main.h"

using namespace courseloom;

namespace {

constexpr std::uint64_t Now = 1780703512345;

}  // namespace

Test(fence, tokens_rise_with_each_life_and_with_each_term) {
  Fence fence;
  const std::uint64_t unknown = fence.token(3);
  fence.raise(Now);
  const std::uint64_t first = fence.token(3);
  fence.raise(Now);
  const std::uint64_t second = fence.token(3);
  cr_assert_lt(unknown, first);
  cr_assert_lt(first, second, "two lives in the same instant");
  cr_assert_lt(fence.token(3), Fence().token(4), "a term goes before any life");
}

Test(fence, a_restarted_agent_begins_above_what_it_gave) {
  Fence former;
  former.raise(Now);
  Fence restarted;
  restarted.raise(Now + 1000);
  cr_assert_lt(former.token(3), restarted.token(3));
}

Test(fence, a_restarted_agent_whose_clock_went_back_gets_above_what_it_gave) {
  Fence former;
  former.raise(Now);
  Fence restarted;
  restarted.raise(Now - 3600000);
  unsigned refusals = 0;
  for (; restarted.token(3) < former.token(3); ++refusals) restarted.overtake();
  cr_assert_leq(refusals, 16, "an hour took %u refusals", refusals);
}

Test(fence, no_number_of_refusals_reaches_the_next_term) {
  Fence fence;
  for (unsigned i = 0; i < 100000; ++i) fence.overtake();
  cr_assert_lt(fence.token(3), Fence().token(4));
}

Test(fence, tokens_stay_exact_as_floating_point_numbers) {
  Fence fence;
  fence.raise(Now + 10ULL * 365 * 24 * 3600 * 1000);
  const std::uint64_t token = fence.token((1ULL << 20U) - 1);
  cr_assert_eq(static_cast<std::uint64_t>(static_cast<double>(token)), token);
}
