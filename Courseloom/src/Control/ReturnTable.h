// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/AdmissionForecast.h"

namespace courseloom {

/** \class ReturnTable
 * \brief Stores when rejected workflows were first submitted, so that callers who return keep their place.
 *
 * The place of a rejected workflow is its position among the others by the time of its first submission.
 *
 * The table is in the leader's memory and bounded. When it is full, the workspace with the most places loses the one
 * with the earliest due time, so that no workspace can remove the places of another that has fewer. After a change of
 * leader the places are lost, and a caller who returns counts as new. Times are those of a steady clock, since the
 * table does not outlive the process.
 */
class ReturnTable {
 public:
  static constexpr std::size_t MaxEntries = 4096;
  /** Time after the due time for which a place is kept, ms: Retry-After is rounded up to whole seconds, and the answer
   * and the new submission have to be transferred. */
  static constexpr std::uint64_t GraceMs = 2000;

  /** Records a rejection. \param submission the rejected workflow; its first arrival is ignored if the workflow has a
   * place already \param dueMs when the caller was told to return, ms \returns the time of the first arrival, ms */
  std::uint64_t reject(const std::string& workflow, const std::string& service, Submission submission,
                       std::uint64_t dueMs);
  /** \returns the time of the first arrival of a workflow that was rejected before, ms. */
  std::optional<std::uint64_t> firstArrival(const std::string& workflow) const;
  /** \returns the places of a service except that of one workflow; valid until the next change of the table. */
  std::vector<const Submission*> places(const std::string& service, const std::string& except) const;
  /** Removes a workflow that was accepted. */
  void accept(const std::string& workflow);
  /** Removes the entries of callers that did not return in time. */
  void expire(std::uint64_t nowMs);
  void clear();
  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::string service;
    Submission submission;
    std::uint64_t dueMs = 0;
  };
  /** Workflows in the order of their due times. */
  using DueOrder = std::set<std::pair<std::uint64_t, std::string>>;

  void remove(const std::string& workflow);
  void evict();

  std::map<std::string, Entry> m_entries;            ///< by workflow
  DueOrder m_due;                                    ///< of all workspaces
  std::map<std::string, DueOrder> m_dueByWorkspace;  ///< by workspace; none of them is empty
};

}  // namespace courseloom
