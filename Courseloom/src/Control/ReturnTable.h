// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace courseloom {

/** \class ReturnTable
 * \brief Stores when rejected workflows were first submitted, so that callers who return keep their place.
 *
 * The table is in the leader's memory and bounded; the entry with the earliest due time is evicted first. After a
 * change of leader the places are lost, and a caller who returns counts as new.
 */
class ReturnTable {
 public:
  static constexpr std::size_t MaxEntries = 4096;

  /** Records a rejection. \param dueMs when the caller was told to return, ms since 1970
   * \returns the time of the first arrival, ms since 1970 */
  std::uint64_t reject(const std::string& workflow, std::uint64_t nowMs, std::uint64_t dueMs);
  /** \returns the time of the first arrival of a workflow that was rejected before, ms since 1970. */
  std::optional<std::uint64_t> firstArrival(const std::string& workflow) const;
  /** Removes a workflow that was accepted. */
  void accept(const std::string& workflow);
  /** Removes the entries of callers that did not return in time. */
  void expire(std::uint64_t nowMs);
  void clear();
  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::uint64_t firstMs = 0;
    std::uint64_t dueMs = 0;
  };
  std::map<std::string, Entry> m_entries;  ///< by workflow
};

}  // namespace courseloom
