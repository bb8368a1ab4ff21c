// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Agent/Fence.h"

#include <algorithm>

namespace courseloom {

namespace internal {
namespace {

/** Steps are tenths of a second since 2026-01-01. 33 bits last for 27 years. Together with 20 bits of the term a token
 * has 53 bits, so that JSON readers that parse numbers as floating-point keep it exact. */
constexpr std::uint64_t StepMs = 100;
constexpr std::uint64_t EpochMs = 1767225600000;
constexpr unsigned TermBits = 20;
constexpr std::uint64_t HighestTerm = (1ULL << TermBits) - 1;
/** Largest single increment, about the number of steps in a day. A refusal that a clock set back by less than a day
 * doesn't explain raises the step no further. */
constexpr std::uint64_t MaxSkip = 1ULL << 20U;

}  // namespace
}  // namespace internal

std::uint64_t Fence::nextStep(std::uint64_t nowMs) {
  const std::uint64_t now = nowMs > internal::EpochMs ? (nowMs - internal::EpochMs) / internal::StepMs : 0;
  m_step = std::max(m_step + 1, now);
  return m_step;
}

void Fence::skipAhead() {
  if (m_skip > internal::MaxSkip) return;
  m_step += m_skip;
  m_skip *= 2;
}

std::uint64_t Fence::token(std::uint64_t step, std::uint64_t term) {
  return (step << internal::TermBits) + std::min(term, internal::HighestTerm);
}

}  // namespace courseloom
