// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/Placer.h"

#include <algorithm>

namespace courseloom {

namespace internal {
namespace {

/** Cost of running in another rack than the step's data. The unit of all costs is one accelerator left free on the
 * target. */
constexpr double AwayFromDataCost = 1000.0;
constexpr double CpuWeight = 0.0001;
constexpr double MilliPerCore = 1000.0;
/** Cost per position in the target order. Urgent work fills the targets from the end and other work from the start, so
 * that whole racks stay free in between. */
constexpr double OrderWeight = 0.01;
/** Cost of a target that is being freed for another step. */
constexpr double NominatedPenalty = 20.0;
/** Cost of a fully free target for a step that leaves such targets to gangs. It exceeds slowTargetDiscount, so that
 * the speed of a target never outweighs it, but not the penalties of failing targets and of those being freed. */
constexpr double FullyFreeCost = 15.0;
/** Additional cost of a fully free target in the rack that has the most of them, if gangs need one rack; proportionally
 * less in other racks. Small tasks thus use up the racks with the fewest fully free targets first, so that several
 * gangs find a rack each. */
constexpr double FullRackCost = 4.0;
/** Cost of a trial start on a target with other runs, which a crash would end; and per accelerator in use there. */
constexpr double CrashCost = 100.0;
constexpr double CrashCostPerAccelerator = 10.0;

/** A target that can receive tasks. A heap returns the one of lowest cost first, and the lowest index at equal cost. */
struct Candidate {
  double cost = 0.0;
  std::size_t target = 0;
  std::size_t tasks = 0;  ///< number of tasks that fit
  bool operator<(const Candidate& other) const {
    return cost != other.cost ? cost > other.cost : target > other.target;
  }
};

/** \returns a target's probability from a list; 0 if the list is null. */
double chance_on(const std::vector<double>* chances, std::size_t target) {
  return chances == nullptr ? 0.0 : (*chances)[target];
}

double accelerators_of(const ResourceAmounts& capacity) {
  return static_cast<double>(std::max<std::int64_t>(0, capacity.accelerators));
}

}  // namespace
}  // namespace internal

Placer::Placer(const TargetIndex& targets, const RunPlannerOptions& options, std::vector<unsigned> nominations,
               unsigned keepFullyFree, const std::vector<double>* urgentLateChances, const FillLimits* fillLimits)
    : m_targets(targets),
      m_options(options),
      m_nominations(std::move(nominations)),
      m_keepFullyFree(keepFullyFree),
      m_urgentLateChances(urgentLateChances),
      m_fillLimits(fillLimits) {}

void Placer::occupy(ResourceAmounts& capacity, std::size_t target, const ResourceAmounts& need) const {
  if (m_targets[target].single) {
    capacity = ResourceAmounts();
  } else {
    capacity.subtract(need);
  }
}

double Placer::penaltyOf(const StepDemand& demand, std::size_t target) const {
  const unsigned own = demand.isNominated(target) ? 1 : 0;
  const bool forOther = m_nominations[target] > own;
  return m_targets[target].penalty + (forOther ? internal::NominatedPenalty : 0.0);
}

double Placer::lateChance(const StepDemand& demand, std::size_t target) const {
  return internal::chance_on(demand.lateChances, target);
}

/** Urgent work prefers targets on which it ends in time; other work, which has more time, leaves these targets free. */
double Placer::speedCost(const StepDemand& demand, std::size_t target) const {
  if (!m_options.speeds) return 0.0;
  const double late = m_options.lateCost * lateChance(demand, target);
  const double slowness = m_targets[target].slowdown.slowness;
  if (demand.isUrgent()) return late + m_options.slowTargetCost * slowness;
  if (!m_options.slowByUrgentLateness) return late - m_options.slowTargetDiscount * slowness;
  return late - m_options.slowTargetDiscount * internal::chance_on(m_urgentLateChances, target);
}

double Placer::backfillMs(const StepDemand& demand) const {
  const bool byQuantile = m_options.quantileDates && demand.estimateQuantileMs > 0.0;
  return byQuantile ? demand.estimateQuantileMs : m_options.backfillMargin * demand.estimateMs;
}

/** \returns the free capacity of a target less the reservations that the step would delay. */
ResourceAmounts Placer::unreservedOn(const StepDemand& demand, std::size_t target,
                                     const ResourceAmounts& capacity) const {
  ResourceAmounts unreserved = capacity;
  const double endsAfterMs = backfillMs(demand);
  for (const Reservation& reservation : m_reservations) {
    if (endsAfterMs > reservation.untilMs) unreserved.subtract(reservation.capacities[target]);
  }
  return unreserved;
}

std::size_t Placer::fittingTasks(const StepDemand& demand, std::size_t target, const ResourceAmounts& capacity) const {
  if (!m_targets[target].open || !capacity.holds(demand.need)) return 0;
  if (demand.waitsForData && demand.isAwayFromData(m_targets.rackOf(target))) return 0;
  const std::size_t most = std::min(demand.tasks, demand.remainingOn(target));
  const std::size_t count = unreservedOn(demand, target, capacity).fits(demand.need, most);
  const bool onlyOne = m_targets[target].single || m_targets[target].oneStart || demand.trial;
  return onlyOne ? std::min<std::size_t>(count, 1) : count;
}

/** \returns the cost of a trial start on a target with other runs, which a crash would end; 0 for other starts. */
double Placer::crashCost(const StepDemand& demand, std::size_t target, const ResourceAmounts& capacity) const {
  const ResourceAmounts& total = m_targets[target].capacity;
  const bool used = capacity.accelerators < total.accelerators || capacity.cpuMilli < total.cpuMilli;
  if (!demand.trial || !used) return 0.0;
  return internal::CrashCost +
         internal::CrashCostPerAccelerator * static_cast<double>(total.accelerators - capacity.accelerators);
}

double Placer::costOf(const StepDemand& demand, std::size_t target, const ResourceAmounts& capacity) const {
  const std::size_t position = demand.isUrgent() ? m_targets.size() - target : target;
  return static_cast<double>(capacity.accelerators - demand.need.accelerators) +
         internal::CpuWeight * static_cast<double>(capacity.cpuMilli - demand.need.cpuMilli) / internal::MilliPerCore +
         internal::OrderWeight * static_cast<double>(position) +
         (demand.isAwayFromData(m_targets.rackOf(target)) ? internal::AwayFromDataCost : 0.0) +
         penaltyOf(demand, target) + speedCost(demand, target) + crashCost(demand, target, capacity);
}

bool Placer::respectsHeadroom(const StepDemand& demand) const {
  return m_keepFullyFree > 0 && !demand.isUrgent() && !demand.trial && demand.waitedMs < m_options.headroomWaitMs;
}

bool Placer::respectsFillLimit(const StepDemand& demand) const {
  if (m_fillLimits == nullptr || demand.trial || demand.eligible->empty()) return false;
  const std::string& service = m_targets[demand.eligible->front()].service;
  return m_fillLimits->appliesTo(service, demand.gang, demand.isUrgent(), demand.need, demand.waitedMs);
}

bool Placer::isFullyFree(std::size_t target, const ResourceAmounts& capacity) const {
  const std::int64_t all = m_targets[target].capacity.accelerators;
  return m_targets[target].open && all > 0 && capacity.accelerators >= all;
}

std::size_t Placer::countFullyFree(const TargetCapacities& capacities) const {
  std::size_t fullyFree = 0;
  for (std::size_t i = 0; i < capacities.size(); ++i) fullyFree += isFullyFree(i, capacities[i]) ? 1 : 0;
  return fullyFree;
}

/** \class Placer::FreeTargetBudget
 * \brief Counts the fully free targets of a service that a step may use during its placement.
 *
 * The targets that are kept in one rack are kept in the rack that has the most fully free targets.
 */
class Placer::FreeTargetBudget {
 public:
  FreeTargetBudget(const Placer& placer, const std::string& service, const TargetCapacities& capacities)
      : m_targets(placer.m_targets), m_kept(placer.m_fillLimits->keptFor(service)) {
    m_freeInRack.assign(m_targets.racks(), 0);
    for (std::size_t target = 0; target < capacities.size(); ++target) {
      if (m_targets[target].service != service || !placer.isFullyFree(target, capacities[target])) continue;
      ++m_free;
      ++m_freeInRack[m_targets.rackOf(target)];
    }
    const auto most = std::max_element(m_freeInRack.begin(), m_freeInRack.end());
    m_keptRack = static_cast<std::size_t>(most - m_freeInRack.begin());
  }

  /** \returns the additional cost of a target for the step; 0 if it is not fully free. */
  double costOf(std::size_t target, bool fullyFree) const {
    if (!fullyFree) return 0.0;
    if (m_kept.inRack == 0) return internal::FullyFreeCost;
    const auto free = static_cast<double>(m_freeInRack[m_targets.rackOf(target)]);
    const auto most = static_cast<double>(m_freeInRack[m_keptRack]);
    return internal::FullyFreeCost + internal::FullRackCost * free / most;
  }
  /** \returns whether a fully free target may be used. */
  bool allows(std::size_t target) const {
    const std::size_t rack = m_targets.rackOf(target);
    const bool neededInRack = rack == m_keptRack && m_freeInRack[rack] <= m_kept.inRack;
    return m_free > m_kept.targets && !neededInRack;
  }
  void use(std::size_t target) {
    --m_free;
    --m_freeInRack[m_targets.rackOf(target)];
  }

 private:
  const TargetIndex& m_targets;
  FreeTargets m_kept;
  std::size_t m_free = 0;                 ///< number of fully free targets
  std::vector<std::size_t> m_freeInRack;  ///< the same by rack
  std::size_t m_keptRack = 0;             ///< rack with the most of them at the start
};

StepPlacement Placer::place(const StepDemand& demand, const std::vector<std::size_t>& among,
                            const TargetCapacities& capacities) const {
  std::optional<FreeTargetBudget> budget;
  if (respectsFillLimit(demand)) budget.emplace(*this, m_targets[demand.eligible->front()].service, capacities);
  std::vector<internal::Candidate> candidates;
  for (const std::size_t i : among) {
    const std::size_t tasks = fittingTasks(demand, i, capacities[i]);
    if (tasks == 0) continue;
    const double fillCost = budget ? budget->costOf(i, isFullyFree(i, capacities[i])) : 0.0;
    candidates.push_back({costOf(demand, i, capacities[i]) + fillCost, i, tasks});
  }
  std::make_heap(candidates.begin(), candidates.end());
  const bool headroom = respectsHeadroom(demand);
  std::size_t fullyFree = headroom ? countFullyFree(capacities) : 0;
  StepPlacement placement;
  while (placement.targets.size() < demand.tasks && !candidates.empty()) {
    std::pop_heap(candidates.begin(), candidates.end());
    const auto [cost, target, tasks] = candidates.back();
    candidates.pop_back();
    const bool usesFullyFree = (headroom || budget) && isFullyFree(target, capacities[target]);
    if (usesFullyFree && headroom && fullyFree <= m_keepFullyFree) continue;
    if (usesFullyFree && budget && !budget->allows(target)) continue;
    const std::size_t count = std::min(tasks, demand.tasks - placement.targets.size());
    placement.targets.insert(placement.targets.end(), count, target);
    placement.cost += static_cast<double>(count) * (penaltyOf(demand, target) + speedCost(demand, target));
    if (!usesFullyFree || demand.need.accelerators == 0) continue;
    if (headroom) --fullyFree;
    if (budget) budget->use(target);
  }
  return placement;
}

/** \returns the number of accelerators that a placement leaves free in a rack. */
double Placer::freeAcceleratorsAfter(const StepPlacement& placement, const StepDemand& demand, std::size_t rack,
                                     const TargetCapacities& capacities) const {
  double free = 0.0;
  for (const std::size_t i : m_targets.inRack(rack)) free += internal::accelerators_of(capacities[i]);
  for (std::size_t first = 0; first < placement.targets.size();) {
    const std::size_t target = placement.targets[first];
    ResourceAmounts capacity = capacities[target];
    for (; first < placement.targets.size() && placement.targets[first] == target; ++first)
      occupy(capacity, target, demand.need);
    free -= internal::accelerators_of(capacities[target]) - internal::accelerators_of(capacity);
  }
  return free;
}

std::optional<StepPlacement> Placer::placeWhole(const StepDemand& demand, const TargetGroups& groups,
                                                const TargetCapacities& capacities) const {
  std::optional<StepPlacement> best;
  for (const TargetGroups::Rack& rack : groups.racks) {
    StepPlacement next = place(demand, rack.targets, capacities);
    if (next.targets.size() < demand.tasks) continue;
    // A gang is placed in the rack in which the fewest accelerators remain free, so that whole racks stay free.
    next.cost += freeAcceleratorsAfter(next, demand, rack.rack, capacities);
    if (!best || next.cost < best->cost) best = std::move(next);
  }
  if (best || !groups.anywhere) return best;
  StepPlacement spread = place(demand, *groups.anywhere, capacities);
  if (spread.targets.size() == demand.tasks) best = std::move(spread);
  return best;
}

}  // namespace courseloom
