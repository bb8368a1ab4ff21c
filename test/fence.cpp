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
  const std::uint64_t first = fence.nextStep(Now);
  const std::uint64_t second = fence.nextStep(Now);
  cr_assert_lt(Fence::token(first, 3), Fence::token(first, 4));
  cr_assert_lt(Fence::token(first, 3), Fence::token(second, 3), "two lives in the same instant");
}

// A call for a former life may be made under a newer leader than the look that found the next one.
Test(fence, no_term_lifts_a_call_for_a_former_life_above_the_next_one) {
  Fence fence;
  const std::uint64_t former = fence.nextStep(Now);
  const std::uint64_t present = fence.nextStep(Now);
  cr_assert_lt(Fence::token(former, 1ULL << 40U), Fence::token(present, 0));
}

Test(fence, a_restarted_agent_begins_above_what_it_gave) {
  Fence former;
  Fence restarted;
  const std::uint64_t before = former.nextStep(Now);
  cr_assert_lt(Fence::token(before, 9), Fence::token(restarted.nextStep(Now + 1000), 0), "before it knows a leader");
}

Test(fence, a_restarted_agent_whose_clock_went_back_gets_above_what_it_gave) {
  Fence former;
  const std::uint64_t before = former.nextStep(Now);
  Fence restarted;
  unsigned refusals = 0;
  for (; restarted.nextStep(Now - 3600000) < before; ++refusals) restarted.skipAhead();
  cr_assert_leq(refusals, 16, "an hour took %u refusals", refusals);
}

Test(fence, tokens_stay_exact_as_floating_point_numbers) {
  Fence fence;
  const std::uint64_t token = Fence::token(fence.nextStep(Now + 10ULL * 365 * 24 * 3600 * 1000), 1ULL << 40U);
  cr_assert_eq(static_cast<std::uint64_t>(static_cast<double>(token)), token);
}
