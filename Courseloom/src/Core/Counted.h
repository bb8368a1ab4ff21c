// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>
#include <cstddef>

namespace courseloom {

/** \class Counted
 * \brief Adds one to a counter at construction and subtracts it at destruction, to count work in flight.
 *
 * The counter must exist longer than this object.
 */
template <class Number>
class Counted {
 public:
  explicit Counted(std::atomic<Number>& count) : m_count(count) { ++m_count; }
  ~Counted() { --m_count; }
  Counted(const Counted&) = delete;
  Counted& operator=(const Counted&) = delete;

 private:
  std::atomic<Number>& m_count;
};

}  // namespace courseloom
