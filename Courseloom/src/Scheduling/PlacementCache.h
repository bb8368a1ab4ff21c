// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <compare>
#include <map>
#include <optional>

#include "Courseloom/src/Scheduling/Placer.h"

namespace courseloom {

/** \class PlacementCache
 * \brief Cache of the placement queries that failed during one pass, by the shape of the step.
 *
 * During a pass, the capacity that is free now only shrinks and reservations only grow, so a query for a placement, or
 * for a wait, that failed once fails again. Capacity freed by stops may grow; queries to VictimSelector are then
 * repeated.
 */
class PlacementCache {
 public:
  /** Properties of a step on which the results of its queries depend. Steps of equal shape share an entry. */
  struct Shape {
    const void* eligible = nullptr;     ///< address of the list of its targets
    const void* lateChances = nullptr;  ///< address of the list of its chances
    ResourceAmounts need;
    bool gang = false;
    bool urgent = false;
    bool headroom = false;   ///< whether the headroom for priority 0 applies to it
    bool fillLimit = false;  ///< whether it leaves fully free targets to gangs
    bool maySpread = false;  ///< whether it has waited so long that it may use several racks
    bool waitsForData = false;
    std::size_t dataRack = 0;
    std::size_t rackTasks = 0;  ///< number of tasks of a gang that has to be within one rack; 0 otherwise
    auto operator<=>(const Shape&) const = default;
  };
  /** A query that failed; a query that asks for at least as much fails too. */
  struct FailedQuery {
    std::size_t tasks = 0;
    double estimateMs = 0.0;
    double limit = 0.0;       ///< longest acceptable wait, ms, or largest acceptable loss, core-seconds
    unsigned freedCount = 0;  ///< value of freed() at the time of the query
    /** \returns whether the failure of this query implies that of another one. */
    bool covers(const FailedQuery& other) const {
      return other.tasks >= tasks && other.estimateMs >= estimateMs && other.limit <= limit &&
             other.freedCount == freedCount;
    }
  };
  /** Groups of targets and failed queries of one shape. */
  struct Entry {
    std::optional<TargetGroups> groups;
    std::optional<FailedQuery> place;  ///< for free capacity
    std::optional<FailedQuery> wait;   ///< for capacity that becomes free in time
    /** By rank, and whether the step relies on runs that end soon. */
    std::map<std::pair<Rank, bool>, std::optional<FailedQuery>> stop;
  };

  /** Replaces the recorded query by a failed one that covers it, or that was made after stops had freed capacity. */
  static void recordFailure(std::optional<FailedQuery>& known, const FailedQuery& failed) {
    if (!known || failed.covers(*known) || failed.freedCount != known->freedCount) known = failed;
  }
  /** \returns the entry of a shape, which is added if it is new. */
  Entry& operator[](const Shape& shape) { return m_entries[shape]; }
  /** Records that stops have freed capacity. */
  void recordFreed() { ++m_freed; }
  /** \returns how often stops have freed capacity in this pass. */
  unsigned freed() const { return m_freed; }

 private:
  std::map<Shape, Entry> m_entries;
  unsigned m_freed = 0;
};

}  // namespace courseloom
