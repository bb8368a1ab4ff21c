// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <set>
#include <string>

#include "Courseloom/src/Scheduling/RunPlan.h"
#include "Courseloom/src/Scheduling/StopBackoff.h"

namespace courseloom {

/** \class KeptTargetsOptions
 * \brief How long targets are kept for a gang.
 */
struct KeptTargetsOptions {
  /** Longest time for which targets are kept after a start of the gang was planned, ms. It covers the first two delays
   * of StopBackoff and the stops after them. */
  double longestMs = 4000.0;
};

/** \class KeptTargets
 * \brief Remembers the targets that were cleared for a gang, from its planned start until all its members have begun.
 *
 * If a member of the gang is lost before it begins, the other members are stopped and the gang waits again. Without
 * this, other work would take their targets in the meantime and would be stopped for the gang again. The class has no
 * clock.
 * \sa RunPlanner
 */
class KeptTargets {
 public:
  using StepName = StopBackoff::StepName;

  /** The targets that are kept for one gang. */
  struct Entry {
    Rank rank = UrgentRank;                      ///< rank of the gang
    ResourceAmounts need;                        ///< demand of one member
    std::map<std::string, std::size_t> members;  ///< number of members by target id
    double untilMs = 0.0;                        ///< wall clock until which the targets are kept, ms since 1970
  };

  explicit KeptTargets(KeptTargetsOptions options = {}) : m_options(options) {}

  void clear() { m_entries.clear(); }
  /** Adds the gangs that have an entry, with no tasks. */
  void addSteps(StopBackoff::PendingTasks& pending) const;
  /** Begins a pass: removes the entries of gangs that have begun, that do not wait any more, or whose time is over. */
  void update(const StopBackoff::PendingTasks& pending, double nowMs);
  /** Keeps the targets on which a gang is started. Replaces its former entry. */
  void keep(const StepName& gang, Entry entry, double nowMs);
  /** \returns the entry of a gang, or null. */
  const Entry* find(const StepName& gang) const;
  const std::map<StepName, Entry>& entries() const { return m_entries; }

 private:
  KeptTargetsOptions m_options;
  std::map<StepName, Entry> m_entries;
};

}  // namespace courseloom
