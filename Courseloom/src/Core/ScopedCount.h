// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>
#include <cstddef>

namespace courseloom {

/** \class ScopedCount
 * \brief Adds one to a counter at construction and subtracts it at destruction, to count work in flight.
 *
 * The counter must exist longer than this object.
 */
template <class Number>
class ScopedCount {
 public:
  explicit ScopedCount(std::atomic<Number>& count) : m_count(count) { ++m_count; }
  ~ScopedCount() { --m_count; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  std::atomic<Number>& m_count;
};

}  // namespace courseloom
