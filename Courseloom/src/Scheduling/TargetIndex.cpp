// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/TargetIndex.h"

#include <algorithm>
#include <cmath>

#include "Courseloom/src/Scheduling/Lateness.h"

namespace courseloom {

namespace internal {
namespace {

/** Slowdown limits are rounded to multiples of this, about a tenth of a run time, so that steps share their chances. */
constexpr double LimitStep = 0.1;
/** Bound of the slowdown limits in both directions, a fifth and five times the usual run time: beyond it every target,
 * or no target, is late. */
constexpr double MaxLimit = 1.6;
/** Chance above which a target is not used for an urgent step: the step is more likely to be late than in time. */
constexpr double MaxLateChance = 0.5;
/** Difference of chances that is too small to matter: a hundredth of the cost of a target on which work is sure to be
 * late. Steps whose chances differ less share their cached failed queries. */
constexpr double MinChanceDifference = 0.01;

bool nearly_equal(const std::vector<double>& chances) {
  const auto [least, most] = std::minmax_element(chances.begin(), chances.end());
  return chances.empty() || *most - *least < MinChanceDifference;
}

}  // namespace
}  // namespace internal

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

TargetList TargetIndex::targetsOf(const std::string& service, const std::string& label) {
  TargetList& cached = m_targetsOf[{service, label}];
  if (cached) return cached;
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < m_targets->size(); ++i) {
    const PlannedTarget& target = (*m_targets)[i];
    const bool labelled = label.empty() || target.labels.count(label) > 0;
    if (target.service == service && labelled) found.push_back(i);
  }
  cached = std::make_shared<const std::vector<std::size_t>>(std::move(found));
  return cached;
}

const std::vector<double>* TargetIndex::lateChances(double limit) {
  const double bounded = std::clamp(limit, -internal::MaxLimit, internal::MaxLimit);
  const int step = static_cast<int>(std::lround(bounded / internal::LimitStep));
  const auto [cached, isNew] = m_lateChances.try_emplace(step);
  std::vector<double>& chances = cached->second;
  if (isNew) {
    const LateChance chance(step * internal::LimitStep);
    chances.reserve(size());
    for (const PlannedTarget& target : *m_targets) chances.push_back(chance.on(target.slowdown));
    if (internal::nearly_equal(chances)) chances.clear();
  }
  return chances.empty() ? nullptr : &chances;
}

TargetList TargetIndex::fastEnough(const TargetList& among, const std::vector<double>& lateChances) {
  TargetList& cached = m_fastEnough[{among, &lateChances}];
  if (cached) return cached;
  std::vector<std::size_t> kept;
  for (const std::size_t i : *among) {
    if (lateChances[i] <= internal::MaxLateChance) kept.push_back(i);
  }
  cached = kept.size() == among->size() ? among : std::make_shared<const std::vector<std::size_t>>(std::move(kept));
  return cached;
}

}  // namespace courseloom
