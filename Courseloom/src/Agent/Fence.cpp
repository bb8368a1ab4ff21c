// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Agent/Fence.h"

#include <algorithm>

namespace courseloom {

namespace internal {
namespace {

/** Steps are tenths of a second, counted from 2026-01-01. 33 bits count them for 27 years, so that tokens with 20 bits
 * of a term stay exact as floating-point numbers, as JSON readers may take them. */
constexpr std::uint64_t StepMs = 100;
constexpr std::uint64_t EpochMs = 1767225600000;
constexpr unsigned TermBits = 20;
constexpr std::uint64_t HighestTerm = (1ULL << TermBits) - 1;
/** Steps of a day, about: a refusal that no clock's step back by less explains is not overtaken. */
constexpr std::uint64_t LongestLeap = 1ULL << 20U;

}  // namespace
}  // namespace internal

std::uint64_t Fence::raise(std::uint64_t nowMs) {
  const std::uint64_t now = nowMs > internal::EpochMs ? (nowMs - internal::EpochMs) / internal::StepMs : 0;
  m_step = std::max(m_step + 1, now);
  return m_step;
}

void Fence::overtake() {
  if (m_leap > internal::LongestLeap) return;
  m_step += m_leap;
  m_leap *= 2;
}

std::uint64_t Fence::token(std::uint64_t step, std::uint64_t term) {
  return (step << internal::TermBits) + std::min(term, internal::HighestTerm);
}

}  // namespace courseloom
