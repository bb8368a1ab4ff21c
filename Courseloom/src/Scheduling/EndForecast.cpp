// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/EndForecast.h"

#include <algorithm>
#include <numeric>

namespace courseloom {

namespace internal {
namespace {

constexpr std::size_t NoGroup = std::numeric_limits<std::size_t>::max();

/** \class CapacityCount
 * \brief Upper bound of the tasks that groups of targets could take, kept while room comes back.
 *
 * It is exact but for targets that headroom keeps whole: of those only as many as may be opened are counted, each with
 * the most that any of them could take.
 */
class CapacityCount {
 public:
  CapacityCount(const StepDemand& demand, const TargetGroups& groups, const TargetIndex& targets, const Placer& placer,
                const Rooms& rooms)
      : m_demand(demand), m_placer(placer), m_anywhere(groups.racks.size()) {
    m_rackOf.assign(targets.size(), NoGroup);
    m_isAnywhere.assign(targets.size(), false);
    m_counts.resize(groups.racks.size() + 1);
    m_headroom = placer.obeysHeadroom(demand);
    for (std::size_t rack = 0; rack < groups.racks.size(); ++rack) {
      for (const std::size_t target : groups.racks[rack].targets) m_rackOf[target] = rack;
    }
    if (groups.anywhere) {
      for (const std::size_t target : *groups.anywhere) m_isAnywhere[target] = true;
    }
    for (std::size_t target = 0; target < rooms.size(); ++target) count(target, rooms[target], true);
  }

  /** Takes a change of a target's room in. */
  void change(std::size_t target, Room& room, const Room& freed) {
    count(target, room, false);
    room.add(freed);
    count(target, room, true);
  }

  /** \returns whether some group may take all tasks. */
  bool suffices() const {
    return std::any_of(m_counts.begin(), m_counts.end(),
                       [this](const Count& count) { return bound(count) >= m_demand.tasks; });
  }
  /** \returns whether a change of a target matters to some group. */
  bool concerns(std::size_t target) const { return m_rackOf[target] != NoGroup || m_isAnywhere[target]; }
  bool headroom() const { return m_headroom; }

 private:
  struct Count {
    std::size_t broken = 0;  ///< tasks that targets in use could take
    std::size_t whole = 0;   ///< tasks that wholly free targets could take, where those are counted apart
  };

  std::size_t bound(const Count& count) const {
    const std::size_t opened = m_wholeTargets - std::min<std::size_t>(m_wholeTargets, m_placer.keepWhole());
    return count.broken + std::min(count.whole, opened * m_mostOnWhole);
  }

  void count(std::size_t target, const Room& room, bool add) {
    const bool whole = m_headroom && m_placer.isWhole(target, room);
    if (whole) m_wholeTargets = add ? m_wholeTargets + 1 : m_wholeTargets - 1;
    if (!concerns(target)) return;
    const std::size_t capacity = m_placer.capacityFor(m_demand, target, room);
    if (capacity == 0) return;
    if (whole) m_mostOnWhole = std::max(m_mostOnWhole, capacity);
    const auto change = [&](Count& group) {
      std::size_t& tasks = whole ? group.whole : group.broken;
      tasks = add ? tasks + capacity : tasks - capacity;
    };
    if (m_rackOf[target] != NoGroup) change(m_counts[m_rackOf[target]]);
    if (m_isAnywhere[target]) change(m_counts[m_anywhere]);
  }

  const StepDemand& m_demand;
  const Placer& m_placer;
  std::size_t m_anywhere;  ///< place of the count of all targets, after those of the racks
  bool m_headroom = false;
  std::size_t m_wholeTargets = 0;
  std::size_t m_mostOnWhole = 0;
  std::vector<std::size_t> m_rackOf;
  std::vector<bool> m_isAnywhere;
  std::vector<Count> m_counts;
};

}  // namespace
}  // namespace internal

void EndForecast::orderByEnd() {
  if (m_byEnd.size() == m_runs.size()) return;
  m_byEnd.resize(m_runs.size());
  std::iota(m_byEnd.begin(), m_byEnd.end(), 0U);
  std::sort(m_byEnd.begin(), m_byEnd.end(),
            [this](std::size_t a, std::size_t b) { return m_runs[a].remainingMs < m_runs[b].remainingMs; });
}

std::optional<EndForecast::Wait> EndForecast::waitFor(const StepDemand& demand, const TargetGroups& groups,
                                                      const Rooms& free, double limitMs) {
  orderByEnd();
  Rooms rooms = free;
  internal::CapacityCount capacity(demand, groups, m_targets, m_placer, rooms);
  for (const std::size_t r : m_byEnd) {
    const PlannedRun& run = m_runs[r];
    if (run.remainingMs > limitMs) break;
    if (!capacity.concerns(run.target) && !capacity.headroom()) continue;
    capacity.change(run.target, rooms[run.target], run.need);
    if (!capacity.suffices()) continue;
    std::optional<StepPlacement> placement = m_placer.placeWhole(demand, groups, rooms);
    if (placement) return Wait{run.remainingMs, std::move(*placement)};
  }
  return std::nullopt;
}

}  // namespace courseloom
