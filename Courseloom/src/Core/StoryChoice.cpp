// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Core/StoryChoice.h"

#include <algorithm>
#include <utility>

namespace courseloom {

namespace internal {
namespace {

/** One story in about a million is enough for any load. */
constexpr unsigned MostHalvings = 20;
/** A second that used less than this part of its budget lets more stories in. */
constexpr unsigned LittleUsed = 4;

}  // namespace
}  // namespace internal

void StoryChoice::beginSecond(std::int64_t second) {
  const bool quiet = m_written * internal::LittleUsed < m_lines;
  const std::int64_t calm = second - m_second - (quiet ? 0 : 1);
  m_halvings -= static_cast<unsigned>(std::clamp<std::int64_t>(calm, 0, m_halvings));
  m_second = second;
  m_written = 0;
  m_halveAt = m_lines;
}

bool StoryChoice::take(std::uint64_t story, std::int64_t second, std::uint64_t& omitted) {
  if (second != m_second) {
    omitted = std::exchange(m_omitted, 0);
    beginSecond(second);
  }
  if (m_written >= m_halveAt && m_halvings < internal::MostHalvings) {
    ++m_halvings;
    m_halveAt += m_lines / 2;
  }
  if (!isChosen(story)) {
    ++m_omitted;
    return false;
  }
  ++m_written;
  return true;
}

}  // namespace courseloom
