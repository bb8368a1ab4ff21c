// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "Courseloom/src/Core/Failure.h"

namespace courseloom {

/** \class ByteBudget
 * \brief Limits the memory that a process holds for its callers, all of them together.
 *
 * What a caller makes the process hold is charged to a share of the budget before it is held, from the first byte that
 * is read until the answer is written. It is charged by its size in memory, whatever size was announced, and each copy
 * counts. A share that cannot grow means that the request is refused and did not run.
 *
 * Small shares may use all of the budget and large ones only a part of it, so that a few large requests do not exclude
 * the usual ones. May be used on any thread.
 * \sa ByteShare
 */
class ByteBudget {
 public:
  /** Size up to which a share is small, bytes. A usual request, also as a parsed value, takes less. */
  static constexpr std::uint64_t SmallShare = 64ULL * 1024;

  /** \param limit bytes of all shares together */
  explicit ByteBudget(std::uint64_t limit) : m_limit(limit), m_largeLimit(limit - limit / SmallPart) {}

  std::uint64_t held() const { return m_held.load(); }
  /** \returns the size of the largest share that there can be, bytes. */
  std::uint64_t largestShare() const { return m_largeLimit; }

 private:
  friend class ByteShare;
  /** Part of the budget that only small shares may use: one in so many. */
  static constexpr std::uint64_t SmallPart = 4;
  bool change(std::uint64_t from, std::uint64_t to);

  const std::uint64_t m_limit;
  const std::uint64_t m_largeLimit;
  std::atomic<std::uint64_t> m_held{0};
};

/** \class ByteShare
 * \brief The bytes that one request holds of a budget. They are given back at destruction.
 */
class ByteShare {
 public:
  /** \param budget budget to charge; null for one without limit */
  explicit ByteShare(std::shared_ptr<ByteBudget> budget) : m_budget(std::move(budget)) {}
  ~ByteShare() { resize(0); }
  ByteShare(const ByteShare&) = delete;
  ByteShare& operator=(const ByteShare&) = delete;

  std::uint64_t bytes() const { return m_bytes; }
  /** Changes the size of the share. \returns whether there was room; if not, the size is unchanged */
  bool resize(std::uint64_t bytes);
  bool grow(std::uint64_t bytes) { return resize(m_bytes + bytes); }
  void shrink(std::uint64_t bytes) { resize(m_bytes - bytes); }
  /** \returns whether a share of a size fits into the budget while there is no other one. */
  bool canEverHold(std::uint64_t bytes) const { return m_budget == nullptr || bytes <= m_budget->largestShare(); }

 private:
  std::shared_ptr<ByteBudget> m_budget;
  std::uint64_t m_bytes = 0;
};

/** \returns the failure of a request whose share could not take a size: BodyTooLarge if there can be no share of this
 * size, otherwise Overloaded, with the time after which to come back. The request did not run. */
Failure withoutRoom(const ByteShare& share, std::uint64_t bytes);

}  // namespace courseloom
