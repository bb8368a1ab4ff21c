// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>
#include <cstddef>

namespace courseloom {

/** \class ScopedCount
 * \brief Adds an amount, by default one, to a counter at construction and subtracts it at destruction, to count work in
 * flight.
 *
 * The counter must exist longer than this object.
 */
template <class Number>
class ScopedCount {
 public:
  explicit ScopedCount(std::atomic<Number>& count, Number amount = 1) : m_count(count), m_amount(amount) {
    m_count += m_amount;
  }
  ~ScopedCount() { m_count -= m_amount; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  std::atomic<Number>& m_count;
  Number m_amount;
};

}  // namespace courseloom
