// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

/** Included by all tests: the seeds of seeded tests. Criterion's header is included last, since its macros break other
 * headers. */

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "Courseloom/src/Core/Failure.h"

namespace courseloom::test {

/** \returns the number of seeds to run: $COURSELOOM_SEEDS, or a default if it is not set. */
inline std::uint64_t seedCount(std::uint64_t defaultCount) {
  const char* text = std::getenv("COURSELOOM_SEEDS");
  return text == nullptr ? defaultCount : std::strtoull(text, nullptr, 10);
}

/** \returns the first seed to run: $COURSELOOM_SEED, or 1 if it is not set. Tests print the seed of a failure, so that
 * it can be repeated. */
inline std::uint64_t firstSeed() {
  const char* text = std::getenv("COURSELOOM_SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

}  // namespace courseloom::test

#include <criterion/criterion.h>
