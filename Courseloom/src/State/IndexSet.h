// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <set>

namespace courseloom {

/** \class IndexSet
 * \brief A set of indexes below a limit: some single ones, and all from a first one on (the tail).
 *
 * It takes memory only for the single indexes. If indexes are erased roughly in ascending order, these are few, however
 * high the limit is.
 */
class IndexSet {
 public:
  /** The empty set with limit 0. */
  IndexSet() = default;
  /** The set of all indexes below a limit, or the empty set with this limit. */
  static IndexSet full(std::uint32_t limit) { return {0, limit}; }
  static IndexSet none(std::uint32_t limit) { return {limit, limit}; }

  bool empty() const { return m_singles.empty() && m_tail == m_limit; }
  std::size_t size() const { return m_singles.size() + (m_limit - m_tail); }
  std::uint32_t limit() const { return m_limit; }
  bool contains(std::uint32_t index) const {
    return index < m_limit && (index >= m_tail || m_singles.count(index) > 0);
  }

  /** \returns the lowest index of the set that is not below `from`; limit() if there is none. */
  std::uint32_t next(std::uint32_t from) const {
    const auto single = m_singles.lower_bound(from);
    return single != m_singles.end() ? *single : std::max(from, m_tail);
  }

  /** Adds an index below the limit. \returns whether it was missing */
  bool insert(std::uint32_t index) {
    if (contains(index) || index >= m_limit) return false;
    m_singles.insert(index);
    while (!m_singles.empty() && *m_singles.rbegin() + 1 == m_tail) {
      m_singles.erase(std::prev(m_singles.end()));
      --m_tail;
    }
    return true;
  }

  /** Removes an index. \returns whether it was in the set */
  bool erase(std::uint32_t index) {
    if (!contains(index)) return false;
    if (m_singles.erase(index) > 0) return true;
    for (; m_tail < index; ++m_tail) m_singles.insert(m_singles.end(), m_tail);
    m_tail = index + 1;
    return true;
  }

 private:
  IndexSet(std::uint32_t tail, std::uint32_t limit) : m_tail(tail), m_limit(limit) {}

  std::set<std::uint32_t> m_singles;  ///< all below the tail
  std::uint32_t m_tail = 0;           ///< all indexes from this one to the limit are in the set
  std::uint32_t m_limit = 0;
};

}  // namespace courseloom
