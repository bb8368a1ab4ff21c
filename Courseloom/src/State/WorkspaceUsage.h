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

  void add(const ResourceTime& other);
  void scale(double factor);
};

/** \class WorkspaceUsage
 * \brief Past use of each service by each workspace, with exponential decay.
 *
 * The class is part of the replicated state and depends only on committed ends of runs and their times, so a new leader
 * computes the same values as the former one. For the same reason the half-life is a constant and not a setting, which
 * may differ between replicas. The class is bounded: the entry with the least use is evicted first.
 */
class WorkspaceUsage {
 public:
  /** Largest number of entries, one for each workspace and service. */
  static constexpr std::size_t MaxEntries = 4096;
  /** Time after which a use counts half, ms. It is several times the usual run time of a workflow, so that a share is
   * an average over several runs, and short enough that a burst is forgotten within a few minutes. */
  static constexpr double HalfLifeMs = 30000.0;
  /** \returns the time constant of the decay, s: the decayed sum of a constant use approaches its rate multiplied by
   * this time. */
  static double windowS();
  /** \returns the decayed use of a run that holds its resources from one time to another, as of the end of this time;
   * nothing if it ends before it starts. \param need what the run holds \param fromMs, toMs ms since 1970 */
  static ResourceTime useBetween(const schema::Resources& need, std::uint64_t fromMs, std::uint64_t toMs);

  /** Adds the use of a run that has ended. A run that ended before it started adds nothing.
   * \param fromMs, toMs start and end of the run, ms since 1970; an end before the newest record counts as of the time
   * of that record, since the clock of a new leader may be behind that of the former one */
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
    updateNewest();
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

  /** \returns the use of an entry, decayed to a time that is not before the entry's. */
  static ResourceTime decayed(const Entry& entry, std::uint64_t atMs);
  void evictLeast();
  /** Computes the newest time from the entries alone, so that it is the same after a snapshot was loaded. */
  void updateNewest();

  std::map<std::pair<std::string, std::string>, Entry> m_entries;  ///< by workspace and service
  std::uint64_t m_newestMs = 0;                                    ///< newest time of all entries
};

}  // namespace courseloom
