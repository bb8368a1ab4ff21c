// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The budget of what a process holds for its callers.

#include "Courseloom/src/Core/ByteBudget.h"

#include <random>
#include <vector>

#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {
constexpr std::uint64_t Limit = 1U << 20U;
}

Test(byte_budget, shares_are_given_back) {
  const auto budget = std::make_shared<ByteBudget>(Limit);
  {
    ByteShare share(budget);
    cr_assert(share.resize(1000));
    cr_assert(share.grow(500));
    share.shrink(300);
    cr_assert_eq(budget->held(), 1200);
  }
  cr_assert_eq(budget->held(), 0);
}

Test(byte_budget, large_shares_leave_room_for_small_ones) {
  const auto budget = std::make_shared<ByteBudget>(Limit);
  ByteShare large(budget);
  cr_assert(large.resize(budget->largestShare()));
  ByteShare further(budget);
  cr_assert_not(further.resize(ByteBudget::SmallShare + 1));
  cr_assert(further.resize(ByteBudget::SmallShare));
  cr_assert_leq(budget->held(), Limit);
}

Test(byte_budget, a_share_that_cannot_grow_is_unchanged) {
  const auto budget = std::make_shared<ByteBudget>(Limit);
  ByteShare share(budget);
  cr_assert(share.resize(1000));
  cr_assert_not(share.resize(Limit));
  cr_assert_eq(share.bytes(), 1000);
  cr_assert_eq(budget->held(), 1000);
}

// A request that fits while others are gone may come back; one that never fits must not.
Test(byte_budget, a_refusal_says_whether_to_come_back) {
  const auto budget = std::make_shared<ByteBudget>(Limit);
  const ByteShare share(budget);
  cr_assert_eq(withoutRoom(share, budget->largestShare()).code, FailureCode::Overloaded);
  cr_assert_gt(withoutRoom(share, budget->largestShare()).retryAfterMs, 0);
  cr_assert_eq(withoutRoom(share, budget->largestShare() + 1).code, FailureCode::BodyTooLarge);
}

Test(byte_budget, a_share_without_budget_always_grows) {
  ByteShare share(nullptr);
  cr_assert(share.resize(1ULL << 40U));
  cr_assert(share.canEverHold(1ULL << 50U));
}

Test(byte_budget, the_sum_of_all_shares_stays_within_the_limit) {
  for (std::uint64_t seed = firstSeed(); seed < firstSeed() + seedCount(20); ++seed) {
    std::mt19937_64 random(seed);
    const auto budget = std::make_shared<ByteBudget>(Limit);
    std::vector<std::unique_ptr<ByteShare>> shares;
    for (int i = 0; i < 64; ++i) shares.push_back(std::make_unique<ByteShare>(budget));
    for (int step = 0; step < 2000; ++step) {
      shares[random() % shares.size()]->resize(random() % (1U << (random() % 21)));
      std::uint64_t sum = 0;
      for (const auto& share : shares) sum += share->bytes();
      cr_assert_eq(budget->held(), sum, "seed %lu", seed);
      cr_assert_leq(sum, Limit, "seed %lu", seed);
    }
  }
}
