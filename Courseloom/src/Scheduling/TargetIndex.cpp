// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/TargetIndex.h"

#include <algorithm>

namespace courseloom {

TargetIndex::TargetIndex(const std::vector<PlannedTarget>& targets) : m_targets(&targets) {
  m_byId.reserve(targets.size());
  for (std::size_t i = 0; i < targets.size(); ++i) {
    m_byId.emplace(targets[i].id, i);
    m_racks.emplace(targets[i].rack, 0);
  }
  std::size_t next = 0;
  for (auto& [name, number] : m_racks) number = next++;
  m_rackOf.reserve(targets.size());
  m_inRack.resize(m_racks.size());
  for (std::size_t i = 0; i < targets.size(); ++i) {
    m_rackOf.push_back(m_racks.at(targets[i].rack));
    m_inRack[m_rackOf.back()].push_back(i);
  }
}

std::optional<std::size_t> TargetIndex::find(std::string_view id) const {
  const auto found = m_byId.find(id);
  if (found == m_byId.end()) return std::nullopt;
  return found->second;
}

std::vector<std::size_t> TargetIndex::findAll(const std::set<std::string>& ids) const {
  std::vector<std::size_t> found;
  for (const std::string& id : ids) {
    const std::optional<std::size_t> target = find(id);
    if (target) found.push_back(*target);
  }
  std::sort(found.begin(), found.end());
  return found;
}

std::size_t TargetIndex::rackNamed(const std::string& name) const {
  const auto found = m_racks.find(name);
  return found == m_racks.end() ? m_racks.size() : found->second;
}

TargetList TargetIndex::serving(const std::string& service, const std::string& label) {
  TargetList& known = m_serving[{service, label}];
  if (known) return known;
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < m_targets->size(); ++i) {
    const PlannedTarget& target = (*m_targets)[i];
    const bool labelled = label.empty() || target.labels.count(label) > 0;
    if (target.service == service && labelled) found.push_back(i);
  }
  known = std::make_shared<const std::vector<std::size_t>>(std::move(found));
  return known;
}

}  // namespace courseloom
