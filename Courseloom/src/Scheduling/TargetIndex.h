// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Courseloom/src/Scheduling/RunPlan.h"

namespace courseloom {

/** Indexes of targets in ascending order; shared by all steps with the same requirements. */
using TargetList = std::shared_ptr<const std::vector<std::size_t>>;

/** \class TargetIndex
 * \brief Finds planned targets by id, rack, service and label, so that a pass need not compare names for each task.
 *
 * With 300 full targets and 50 waiting steps, comparing names took most of the 230 ms of a pass.
 */
class TargetIndex {
 public:
  /** \param targets have to outlive the object */
  explicit TargetIndex(const std::vector<PlannedTarget>& targets);

  /** \returns the number of targets. */
  std::size_t size() const { return m_targets->size(); }
  /** \returns the target with an index. */
  const PlannedTarget& operator[](std::size_t target) const { return (*m_targets)[target]; }
  /** \returns the index of the target with an id, or nothing. */
  std::optional<std::size_t> find(std::string_view id) const;
  /** \returns the indexes of the targets with the given ids, ascending; unknown ids are ignored. */
  std::vector<std::size_t> findAll(const std::set<std::string>& ids) const;
  /** \returns the index of a target's rack; racks are numbered in the order of their names. */
  std::size_t rackOf(std::size_t target) const { return m_rackOf[target]; }
  /** \returns the number of racks. */
  std::size_t racks() const { return m_inRack.size(); }
  /** \returns the indexes of the targets in a rack, ascending. */
  const std::vector<std::size_t>& inRack(std::size_t rack) const { return m_inRack[rack]; }
  /** \returns the index of the rack with a name; racks() if no target is in such a rack. */
  std::size_t rackNamed(const std::string& name) const;
  /** \returns the targets of a service that have a label, including targets that accept no new runs. \param label
   * empty: no label is required */
  TargetList targetsOf(const std::string& service, const std::string& label);
  /** \returns the late chance of each target, by index: the probability that a task ends late on it minus that on a
   * usual target, 0 to 1 as in LateChance; null if it is about equal on all targets. Similar limits share one result,
   * which is computed once per pass.
   * \param limit slowdown, on the logarithmic scale of TargetSlowdown, at which the task would end just in time */
  const std::vector<double>* lateChances(double limit);
  /** \returns the targets in `among` whose late chance is at most 0.5.
   * \param lateChances a result of lateChances() of this object */
  TargetList fastEnough(const TargetList& among, const std::vector<double>& lateChances);

 private:
  const std::vector<PlannedTarget>* m_targets;
  std::unordered_map<std::string_view, std::size_t> m_byId;
  std::map<std::string_view, std::size_t> m_racks;
  std::vector<std::size_t> m_rackOf;
  std::vector<std::vector<std::size_t>> m_inRack;
  std::map<std::pair<std::string, std::string>, TargetList> m_targetsOf;
  std::map<int, std::vector<double>>
      m_lateChances;  ///< by limit in units of LimitStep; empty if about equal on all targets
  /** Results of fastEnough() by list and chances. The key shares ownership of the list: while the entry exists,
   * no other list can have the same address. */
  std::map<std::pair<TargetList, const std::vector<double>*>, TargetList> m_fastEnough;
};

}  // namespace courseloom
