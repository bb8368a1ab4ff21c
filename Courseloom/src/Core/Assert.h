// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdio>
#include <cstdlib>

/** Checks a precondition or invariant in every build. If it does not hold, the process is aborted, so that it does not
 * continue in a wrong state. */
#define courseloom_assert(condition)                                                                 \
  do {                                                                                               \
    if (!(condition)) {                                                                              \
      std::fprintf(stderr, "%s:%d: courseloom_assert failed: %s\n", __FILE__, __LINE__, #condition); \
      std::abort();                                                                                  \
    }                                                                                                \
  } while (false)
