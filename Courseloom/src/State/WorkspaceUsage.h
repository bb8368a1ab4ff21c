// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "generated/state.pb.h"
#include "generated/workflow.pb.h"

namespace courseloom {

/** \class ResourceTime
 * \brief Use of resources over time: amounts multiplied by seconds.
 */
struct ResourceTime {
  double cpuSeconds = 0.0;  ///< core-seconds
  double memoryMbSeconds = 0.0;
  double acceleratorSeconds = 0.0;
};

/** \class WorkspaceUsage
 * \brief Past use of each service by each workspace, with exponential decay.
 *
 * The class is part of the replicated state and depends only on committed ends of runs and their times, so a new leader
 * computes the same values as the former one. It is bounded: the entry with the least use is evicted first.
 */
class WorkspaceUsage {
 public:
  /** Largest number of entries, one for each workspace and service. */
  static constexpr std::size_t MaxEntries = 4096;

  /** Adds the use of a run that has ended. A run that ended before it started adds nothing.
   * \param fromMs, toMs start and end of the run, ms since 1970 */
  void record(const std::string& workspace, const std::string& service, const schema::Resources& need,
              std::uint64_t fromMs, std::uint64_t toMs);
  /** \returns the decayed use of a service by a workspace. \param nowMs wall clock, ms since 1970; a time before the
   * newest record is replaced by the time of that record */
  ResourceTime usageOf(const std::string& workspace, const std::string& service, std::uint64_t nowMs) const;
  /** Removes the entries of workspaces that a new configuration no longer contains.
   * \param keep returns for a workspace's name whether to keep its entries */
  template <typename Keep>
  void retain(const Keep& keep) {
    std::erase_if(m_entries, [&](const auto& entry) { return !keep(entry.first.first); });
  }
  std::size_t size() const { return m_entries.size(); }

  /** Adds the entries to a snapshot. */
  void save(schema::StateSnapshot& snapshot) const;
  /** Replaces the entries by those of a snapshot. */
  void load(const schema::StateSnapshot& snapshot);

 private:
  struct Entry {
    ResourceTime usage;
    std::uint64_t atMs = 0;  ///< time up to which the use is decayed, ms since 1970
  };
  std::map<std::pair<std::string, std::string>, Entry> m_entries;  ///< by workspace and service
};

}  // namespace courseloom
