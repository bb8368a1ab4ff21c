// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Core/ByteBudget.h"

namespace courseloom {

/** Changes the size of a share. \returns whether it fits; a smaller size always does */
bool ByteBudget::change(std::uint64_t from, std::uint64_t to) {
  if (to <= from) {
    m_held -= from - to;
    return true;
  }
  const std::uint64_t limit = to <= SmallShare ? m_limit : m_largeLimit;
  std::uint64_t held = m_held.load();
  do {
    if (held - from + to > limit) return false;
  } while (!m_held.compare_exchange_weak(held, held - from + to));
  return true;
}

bool ByteShare::resize(std::uint64_t bytes) {
  if (m_budget != nullptr && !m_budget->change(m_bytes, bytes)) return false;
  m_bytes = bytes;
  return true;
}

Failure withoutRoom(const ByteShare& share, std::uint64_t bytes) {
  // Calls in progress end within about a second.
  constexpr std::uint32_t RetryMs = 1000;
  const bool possible = share.canEverHold(bytes);
  return Failure{possible ? FailureCode::Overloaded : FailureCode::BodyTooLarge,
                 Ran::No,
                 "hold request",
                 "",
                 "there is no memory for the request",
                 possible ? RetryMs : 0};
}

}  // namespace courseloom
