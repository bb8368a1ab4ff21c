// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/EndForecast.h"

#include <algorithm>
#include <numeric>

namespace courseloom {

namespace internal {
namespace {

constexpr std::size_t NoGroup = std::numeric_limits<std::size_t>::max();

/** \class FittingTasks
 * \brief Upper bound of the tasks that fit on groups of targets, updated as runs end.
 *
 * It is exact except for fully free targets where headroom applies: only as many of them as may be used are counted,
 * each with the largest number of tasks that fits on any of them.
 */
class FittingTasks {
 public:
  FittingTasks(const StepDemand& demand, const TargetGroups& groups, const TargetIndex& targets, const Placer& placer,
               const TargetCapacities& capacities)
      : m_demand(demand), m_placer(placer), m_anywhere(groups.racks.size()) {
    m_rackOf.assign(targets.size(), NoGroup);
    m_isAnywhere.assign(targets.size(), false);
    m_counts.resize(groups.racks.size() + 1);
    m_headroom = placer.respectsHeadroom(demand);
    for (std::size_t rack = 0; rack < groups.racks.size(); ++rack) {
      for (const std::size_t target : groups.racks[rack].targets) m_rackOf[target] = rack;
    }
    if (groups.anywhere) {
      for (const std::size_t target : *groups.anywhere) m_isAnywhere[target] = true;
    }
    for (std::size_t target = 0; target < capacities.size(); ++target) count(target, capacities[target], true);
  }

  /** Adds freed capacity to a target. \param capacity the target's free capacity, which is updated */
  void release(std::size_t target, ResourceAmounts& capacity, const ResourceAmounts& freed) {
    count(target, capacity, false);
    capacity.add(freed);
    count(target, capacity, true);
  }

  /** \returns whether the bound of some group is at least the number of tasks. */
  bool suffices() const {
    return std::any_of(m_counts.begin(), m_counts.end(),
                       [this](const Count& count) { return bound(count) >= m_demand.tasks; });
  }
  /** \returns whether a target belongs to any group. */
  bool contains(std::size_t target) const { return m_rackOf[target] != NoGroup || m_isAnywhere[target]; }
  /** \returns whether the headroom for priority 0 applies to the step. */
  bool headroom() const { return m_headroom; }

 private:
  struct Count {
    std::size_t onUsed = 0;       ///< tasks that fit on all other targets
    std::size_t onFullyFree = 0;  ///< tasks that fit on fully free targets; 0 if headroom does not apply
  };

  std::size_t bound(const Count& count) const {
    const std::size_t usable = m_fullyFree - std::min<std::size_t>(m_fullyFree, m_placer.keepFullyFree());
    return count.onUsed + std::min(count.onFullyFree, usable * m_mostOnFullyFree);
  }

  void count(std::size_t target, const ResourceAmounts& capacity, bool add) {
    const bool fullyFree = m_headroom && m_placer.isFullyFree(target, capacity);
    if (fullyFree) m_fullyFree = add ? m_fullyFree + 1 : m_fullyFree - 1;
    if (!contains(target)) return;
    const std::size_t fitting = m_placer.fittingTasks(m_demand, target, capacity);
    if (fitting == 0) return;
    if (fullyFree) m_mostOnFullyFree = std::max(m_mostOnFullyFree, fitting);
    const auto adjust = [&](Count& group) {
      std::size_t& tasks = fullyFree ? group.onFullyFree : group.onUsed;
      tasks = add ? tasks + fitting : tasks - fitting;
    };
    if (m_rackOf[target] != NoGroup) adjust(m_counts[m_rackOf[target]]);
    if (m_isAnywhere[target]) adjust(m_counts[m_anywhere]);
  }

  const StepDemand& m_demand;
  const Placer& m_placer;
  std::size_t m_anywhere;  ///< index in m_counts of the count for targets of all racks, after the racks
  bool m_headroom = false;
  std::size_t m_fullyFree = 0;        ///< number of fully free targets; 0 if headroom does not apply
  std::size_t m_mostOnFullyFree = 0;  ///< most tasks that fit on any of them
  std::vector<std::size_t> m_rackOf;
  std::vector<bool> m_isAnywhere;
  std::vector<Count> m_counts;
};

}  // namespace
}  // namespace internal

double EndForecast::endMs(const PlannedRun& run, EndDates dates) const {
  const bool byQuantile = dates == EndDates::Quantile && run.remainingQuantileMs > 0.0;
  return byQuantile ? run.remainingQuantileMs : run.remainingMs;
}

const std::vector<std::size_t>& EndForecast::orderByEnd(EndDates dates) {
  std::vector<std::size_t>& byEnd = m_byEnd[static_cast<std::size_t>(dates)];
  if (byEnd.size() == m_runs.size()) return byEnd;
  byEnd.resize(m_runs.size());
  std::iota(byEnd.begin(), byEnd.end(), 0U);
  std::sort(byEnd.begin(), byEnd.end(),
            [&](std::size_t a, std::size_t b) { return endMs(m_runs[a], dates) < endMs(m_runs[b], dates); });
  return byEnd;
}

std::optional<EndForecast::Wait> EndForecast::waitFor(const StepDemand& demand, const TargetGroups& groups,
                                                      const TargetCapacities& free, double limitMs, EndDates dates) {
  TargetCapacities capacities = free;
  internal::FittingTasks fitting(demand, groups, m_targets, m_placer, capacities);
  for (const std::size_t r : orderByEnd(dates)) {
    const PlannedRun& run = m_runs[r];
    const double runEndMs = endMs(run, dates);
    if (runEndMs > limitMs) break;
    if (run.outlived) continue;
    if (!fitting.contains(run.target) && !fitting.headroom()) continue;
    fitting.release(run.target, capacities[run.target], run.need);
    if (!fitting.suffices()) continue;
    std::optional<StepPlacement> placement = m_placer.placeWhole(demand, groups, capacities);
    if (placement) return Wait{runEndMs, std::move(*placement)};
  }
  return std::nullopt;
}

}  // namespace courseloom
