// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of RunPlanner for steps that found no free capacity: they wait for runs to end, stop runs of lower rank, or
// reserve capacity that becomes free in the future.

#include <algorithm>
#include <limits>

#include "Courseloom/src/Scheduling/RunPlanner.h"

namespace courseloom {

/** Keeps capacity that is being freed for a step from steps that are served after it. */
void RunPlanner::nominateTargets(const StepDemand& demand, const StepPlacement& placement) {
  for (const std::size_t target : placement.targets) {
    occupy(target, demand.need);
    m_pass->nominatedTargets[m_pass->names[demand.step]].insert(m_pass->targets[target].id);
  }
}

/** \returns whether enough runs are expected to end soon enough without a stop; their capacity is then kept for the
 * step. */
bool RunPlanner::waitForEnds(const StepDemand& demand) {
  if (!m_options.patience) return false;
  const double slackMs = demand.objectiveMs - m_pass->nowMs - demand.estimateMs;
  const bool guaranteed = demand.rank == GuaranteedRank;
  const double budgetMs = guaranteed
                              ? std::min(m_options.patienceShare * slackMs, m_options.patienceLimitMs - demand.waitedMs)
                              : m_options.urgentPatienceShare * slackMs;
  PlacementCache::Entry* cached = cacheEntryFor(demand);
  const PlacementCache::FailedQuery query{demand.tasks, reservationDelayMs(demand), budgetMs, 0};
  if (cached != nullptr && cached->wait && cached->wait->covers(query)) return false;
  const std::optional<EndForecast::Wait> wait =
      m_pass->forecast->waitFor(demand, groupsFor(demand), m_pass->free, budgetMs);
  if (wait) {
    nominateTargets(demand, wait->placement);
    return true;
  }
  if (cached != nullptr) PlacementCache::recordFailure(cached->wait, query);
  return false;
}

/** Lets a waiting gang outside priority 0 stop runs of lower rank if little work is lost. Without this, single tasks
 * occupy each accelerator as soon as it becomes free, and a gang finds no place. \returns whether the gang will get
 * capacity */
bool RunPlanner::preemptForGang(const StepDemand& demand) {
  const bool mayStop = m_options.preemption && m_options.gangLossRatio > 0.0 && !demand.isUrgent();
  if (!mayStop || demand.waitedMs < m_options.gangStopsAfterMs) return false;
  if (m_pass->gangStops >= m_options.maxGangStopsPerPlan) return false;
  ++m_pass->gangStops;
  return preempt(demand);
}

/** \returns the work of other runs, core-seconds, that may be lost for one task of a step. */
double RunPlanner::acceptableLoss(const StepDemand& demand) const {
  if (demand.rank == GuaranteedRank) return std::numeric_limits<double>::max();
  const double leftMs = demand.objectiveMs - m_pass->nowMs - m_options.stopMs;
  const bool late = demand.prospect != Prospect::InTime || leftMs < demand.estimateMs;
  if (m_options.yields && late) return 0.0;
  return (demand.isUrgent() ? m_options.lossRatio : m_options.gangLossRatio) * demand.taskWork;
}

/** \returns whether a step may rely on runs that are about to end; guaranteed work near its bound may not. */
bool RunPlanner::reliesOnEnds(const StepDemand& demand) const {
  return demand.rank != GuaranteedRank || demand.waitedMs < m_options.guaranteedStopAfterMs;
}

/** Keeps capacity that is being freed for a waiting step; if this is not enough, selects further runs to stop.
 * \returns whether the step will get capacity */
bool RunPlanner::preempt(const StepDemand& demand) {
  const bool withEnds = reliesOnEnds(demand);
  const double maxLoss = acceptableLoss(demand);
  PlacementCache::Entry* cached = cacheEntryFor(demand);
  const PlacementCache::FailedQuery query{demand.gang ? demand.tasks : 1, m_pass->placer->backfillMs(demand), maxLoss,
                                          m_pass->cache.freed()};
  // Targets that are being freed for a step cost it less than other steps of its shape, so its result is not shared.
  const bool cacheable = cached != nullptr && demand.nominated.empty();
  std::optional<PlacementCache::FailedQuery>* failed = cacheable ? &cached->stop[{demand.rank, withEnds}] : nullptr;
  if (failed != nullptr && *failed && (*failed)->covers(query)) return false;
  const TargetGroups& groups = groupsFor(demand);
  const TargetCapacities& capacities = withEnds ? m_pass->freeAfterEnds : m_pass->freeAfterStops;
  if (demand.gang) {
    const std::optional<StepPlacement> upcoming = m_pass->placer->placeWhole(demand, groups, capacities);
    if (upcoming) {
      nominateTargets(demand, *upcoming);
      return true;
    }
  }
  const StopBackoff::Permission permission = stopPermission(demand);
  if (permission == StopBackoff::Permission::Delayed) return nominateUpcoming(demand, capacities);
  const std::optional<VictimSelector::Selection> selection =
      m_pass->victimSelector->select(demand, groups, withEnds, maxLoss, capacities);
  if (!selection) {
    if (failed != nullptr) PlacementCache::recordFailure(*failed, query);
    return false;
  }
  recordStops(demand, *selection, capacities, permission);
  stop(demand, selection->victims);
  nominateTargets(demand, selection->placement);
  return true;
}

/** \returns whether runs may be stopped for a step now. */
StopBackoff::Permission RunPlanner::stopPermission(const StepDemand& demand) {
  if (!m_options.stopBackoff) return StopBackoff::Permission::Allowed;
  const StepName& name = m_pass->names[demand.step];
  const bool missesBound = demand.rank == GuaranteedRank && demand.waitedMs >= m_options.guaranteedStopAfterMs;
  const StopBackoff::Permission permission = m_stopBackoff.permissionFor(name, missesBound, m_pass->nowMs);
  if (permission != StopBackoff::Permission::Delayed) return permission;
  const double delayMs = m_stopBackoff.takeNewDelay(name, m_pass->nowMs);
  if (delayMs > 0.0) m_pass->plan.stopDelays.push_back({demand.step, delayMs, false});
  return permission;
}

/** Nominates targets on which capacity is already being freed for the tasks of a step that is not a gang, without
 * further stops. \returns whether there are any */
bool RunPlanner::nominateUpcoming(const StepDemand& demand, const TargetCapacities& capacities) {
  if (demand.gang) return false;
  const StepPlacement upcoming = m_pass->placer->place(demand, *demand.eligible, capacities);
  nominateTargets(demand, upcoming);
  return !upcoming.targets.empty();
}

void RunPlanner::recordStops(const StepDemand& demand, const VictimSelector::Selection& selection,
                             const TargetCapacities& capacities, StopBackoff::Permission permission) {
  if (!m_options.stopBackoff || selection.victims.empty()) return;
  // Tasks that are placed on capacity that becomes free anyway are not covered by these stops.
  const std::size_t upcoming =
      demand.gang ? 0 : m_pass->placer->place(demand, *demand.eligible, capacities).targets.size();
  const std::size_t placed = selection.placement.targets.size();
  m_stopBackoff.recordStops(m_pass->names[demand.step], demand.gang, placed - std::min(upcoming, placed), demand.tasks,
                            permission, m_pass->nowMs);
  if (permission == StopBackoff::Permission::Overriding) m_pass->plan.stopDelays.push_back({demand.step, 0.0, true});
}

void RunPlanner::stop(const StepDemand& demand, const std::vector<std::size_t>& victims) {
  if (victims.empty()) return;
  m_pass->victimSelector->stop(victims);
  m_pass->cache.recordFreed();
  for (const std::size_t r : victims) {
    const PlannedRun& run = m_pass->runs[r];
    m_pass->plan.stops.push_back({run.key, demand.step});
    m_pass->freeAfterStops[run.target].add(run.need);
    if (!m_pass->endsSoon[r]) m_pass->freeAfterEnds[run.target].add(run.need);
  }
}

/** \returns those of a gang's possible targets that the last pass reserved for it; null if there are none or
 * reservations are not sticky. */
TargetList RunPlanner::lastReservedTargets(const StepDemand& demand) const {
  const auto found = m_lastReserved.find(m_pass->names[demand.step]);
  if (found == m_lastReserved.end() || !m_options.stickyReservations) return nullptr;
  std::vector<std::size_t> among;
  for (const std::size_t i : *demand.eligible) {
    if (found->second.count(m_pass->targets[i].id) > 0) among.push_back(i);
  }
  return among.empty() ? nullptr : std::make_shared<const std::vector<std::size_t>>(std::move(among));
}

/** Reserves the placement that is expected to become free first, against other work that would not end before then. */
void RunPlanner::reserve(const StepDemand& demand) {
  constexpr double NoLimit = std::numeric_limits<double>::max();
  const EndDates dates = m_options.quantileDates ? EndDates::Quantile : EndDates::Expected;
  std::optional<EndForecast::Wait> wait;
  // The targets reserved so far are tried first: a reservation that moves with each pass would never become free.
  const TargetList previous = lastReservedTargets(demand);
  if (previous) wait = m_pass->forecast->waitFor(demand, {{}, previous}, m_pass->free, NoLimit, dates);
  if (!wait) wait = m_pass->forecast->waitFor(demand, groupsFor(demand), m_pass->free, NoLimit, dates);
  if (!wait) return;
  Reservation reservation{TargetCapacities(m_pass->targets.size()), wait->waitMs};
  for (const std::size_t target : wait->placement.targets) {
    m_pass->reservedTargets[m_pass->names[demand.step]].insert(m_pass->targets[target].id);
    reservation.capacities[target].add(demand.need);
  }
  m_pass->placer->reserve(std::move(reservation));
}

}  // namespace courseloom
