// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Fencing tokens of an agent's calls to its target.

#include "Courseloom/src/Agent/Fence.h"

#include "test/main.h"

using namespace courseloom;

namespace {

constexpr std::uint64_t Now = 1780703512345;  ///< ms since 1970

}  // namespace

Test(fence, tokens_rise_with_each_incarnation_and_with_each_term) {
  Fence fence;
  const std::uint64_t first = fence.nextStep(Now);
  const std::uint64_t second = fence.nextStep(Now);
  cr_assert_lt(Fence::token(first, 3), Fence::token(first, 4));
  cr_assert_lt(Fence::token(first, 3), Fence::token(second, 3), "two incarnations at the same time");
}

// A call for a former incarnation may be made under a newer leader than the poll that found the next one.
Test(fence, no_term_raises_the_token_of_a_former_incarnation_above_the_next_one) {
  Fence fence;
  const std::uint64_t former = fence.nextStep(Now);
  const std::uint64_t present = fence.nextStep(Now);
  cr_assert_lt(Fence::token(former, 1ULL << 40U), Fence::token(present, 0));
}

Test(fence, tokens_of_a_restarted_agent_are_above_its_former_ones) {
  Fence former;
  Fence restarted;
  const std::uint64_t before = former.nextStep(Now);
  cr_assert_lt(Fence::token(before, 9), Fence::token(restarted.nextStep(Now + 1000), 0),
               "the tokens are higher before the agent knows a leader");
}

Test(fence, a_restarted_agent_whose_clock_was_set_back_exceeds_its_former_tokens) {
  Fence former;
  const std::uint64_t before = former.nextStep(Now);
  Fence restarted;
  unsigned refusals = 0;
  for (; restarted.nextStep(Now - 3600000) < before; ++refusals) restarted.skipAhead();
  cr_assert_leq(refusals, 16, "a clock set back by an hour took %u refusals", refusals);
}

Test(fence, tokens_stay_exact_as_floating_point_numbers) {
  Fence fence;
  const std::uint64_t token = Fence::token(fence.nextStep(Now + 10ULL * 365 * 24 * 3600 * 1000), 1ULL << 40U);
  cr_assert_eq(static_cast<std::uint64_t>(static_cast<double>(token)), token);
}
