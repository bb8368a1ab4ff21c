// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Agent/Fence.h"

#include <algorithm>

namespace courseloom {

namespace internal {
namespace {

constexpr std::uint64_t StepMs = 100;
/** Steps are counted from here, 2026-01-01, ms since 1970. */
constexpr std::uint64_t EpochMs = 1767225600000;
/** A refusal that no day's step of a clock explains, in steps, comes from a higher term, which no step overtakes. */
constexpr std::uint64_t LongestLeap = 1ULL << 20U;

}  // namespace
}  // namespace internal

void Fence::raise(std::uint64_t nowMs) {
  const std::uint64_t now = nowMs > internal::EpochMs ? (nowMs - internal::EpochMs) / internal::StepMs : 0;
  m_step = std::max(m_step + 1, now);
  m_leap = 1;
}

void Fence::overtake() {
  if (m_leap > internal::LongestLeap) return;
  m_step += m_leap;
  m_leap *= 2;
}

}  // namespace courseloom
