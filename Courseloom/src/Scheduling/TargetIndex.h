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

/** Targets by index, in ascending order; shared by all steps that ask for the same ones. */
using TargetList = std::shared_ptr<const std::vector<std::size_t>>;

/** \class TargetIndex
 * \brief Finds planned targets by id, rack, service and label, so that a pass compares no names for each task.
 *
 * At 300 full targets and 50 waiting steps, comparing names took most of 230 ms a pass.
 */
class TargetIndex {
 public:
  explicit TargetIndex(const std::vector<PlannedTarget>& targets);

  std::size_t size() const { return m_targets->size(); }
  const PlannedTarget& operator[](std::size_t target) const { return (*m_targets)[target]; }
  std::optional<std::size_t> find(std::string_view id) const;
  /** \returns those of some targets that are there, ascending. */
  std::vector<std::size_t> findAll(const std::set<std::string>& ids) const;
  /** \returns the rack of a target, by index; racks are numbered in the order of their names. */
  std::size_t rackOf(std::size_t target) const { return m_rackOf[target]; }
  std::size_t racks() const { return m_inRack.size(); }
  const std::vector<std::size_t>& inRack(std::size_t rack) const { return m_inRack[rack]; }
  /** \returns the rack with a name; racks() if no target is in it. */
  std::size_t rackNamed(const std::string& name) const;
  /** \returns targets of a service that carry a label, open or not. \param label empty for any */
  TargetList serving(const std::string& service, const std::string& label);
  /** \returns by target the chance, 0 to 1, that a task ends late there though it would not on a usual target; worked
   * out once a pass for limits that are about alike. Null if it is about the same on all, so that it says nothing for
   * or against any. \param limit slowness at which the task ends just in time */
  const std::vector<double>* lateChances(double limit);
  /** \returns those of some targets on which a task is more likely in time than late. */
  TargetList fastEnough(const TargetList& among, const std::vector<double>& lateChances);

 private:
  const std::vector<PlannedTarget>* m_targets;
  std::unordered_map<std::string_view, std::size_t> m_byId;
  std::map<std::string_view, std::size_t> m_racks;
  std::vector<std::size_t> m_rackOf;
  std::vector<std::vector<std::size_t>> m_inRack;
  std::map<std::pair<std::string, std::string>, TargetList> m_serving;
  std::map<int, std::vector<double>> m_lateChances;  ///< by limit, in steps; empty where all are alike
  /** By list and chances. The lists are held, so that no other one comes to lie at an address that is known here. */
  std::map<std::pair<TargetList, const std::vector<double>*>, TargetList> m_fastEnough;
};

}  // namespace courseloom
