// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

/** Shared by all tests: seeds, printed so that a failure can be run again, and small helpers.
 * Criterion's header comes last: its macros break other headers. */

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "Courseloom/src/Core/Failure.h"

namespace courseloom::test {

/** \returns the number of seeds to run: $COURSELOOM_SEEDS, or the given default. */
inline std::uint64_t seedCount(std::uint64_t standard) {
  const char* text = std::getenv("COURSELOOM_SEEDS");
  return text == nullptr ? standard : std::strtoull(text, nullptr, 10);
}

/** \returns the first seed: $COURSELOOM_SEED, or 1. */
inline std::uint64_t firstSeed() {
  const char* text = std::getenv("COURSELOOM_SEED");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

}  // namespace courseloom::test

#include <criterion/criterion.h>
