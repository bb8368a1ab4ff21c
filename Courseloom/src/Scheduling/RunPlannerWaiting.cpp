// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of RunPlanner for work that found no room: it waits for what ends, stops runs of lower rank, or keeps a
// place in time.

#include <algorithm>
#include <limits>

#include "Courseloom/src/Scheduling/RunPlanner.h"

namespace courseloom {

/** Keeps room that is being freed from later steps. */
void RunPlanner::setAside(const StepDemand& demand, const StepPlacement& placement) {
  for (const std::size_t target : placement.targets) {
    occupy(target, demand.need);
    m_pass->nominating[m_pass->names[demand.step]].insert(m_pass->targets[target].id);
  }
}

/** \returns whether enough runs end by themselves soon enough; their room is set aside then. */
bool RunPlanner::waitsInPeace(const StepDemand& demand) {
  if (!m_options.patience) return false;
  const double slackMs = demand.objectiveMs - m_pass->nowMs - demand.estimateMs;
  const bool bound = demand.rank == GuaranteedRank;
  const double budgetMs = bound
                              ? std::min(m_options.patienceShare * slackMs, m_options.patienceLimitMs - demand.waitedMs)
                              : m_options.urgentPatienceShare * slackMs;
  ShapeMemory::Entry* memory = memoryOf(demand);
  const ShapeMemory::Vain question{demand.tasks, heldUpMs(demand), budgetMs, 0};
  if (memory != nullptr && memory->wait && memory->wait->covers(question)) return false;
  const std::optional<EndForecast::Wait> wait =
      m_pass->forecast->waitFor(demand, groupsFor(demand), m_pass->free, budgetMs);
  if (wait) {
    setAside(demand, wait->placement);
    return true;
  }
  if (memory != nullptr) ShapeMemory::remember(memory->wait, question);
  return false;
}

/** A gang finds no place among single tasks, which take each accelerator that becomes free; it may stop those of lower
 * priority where little is lost. */
bool RunPlanner::preemptForGang(const StepDemand& demand) {
  const bool mayStop = m_options.preemption && m_options.gangLossRatio > 0.0 && !demand.isUrgent();
  if (!mayStop || demand.waitedMs < m_options.gangStopsAfterMs) return false;
  if (m_pass->gangStops >= m_options.gangStopsAtOnce) return false;
  ++m_pass->gangStops;
  return preempt(demand);
}

/** \returns the work of others, core-seconds, that may be lost for one task of a step. */
double RunPlanner::worthStopping(const StepDemand& demand) const {
  if (demand.rank == GuaranteedRank) return std::numeric_limits<double>::max();
  const double leftMs = demand.objectiveMs - m_pass->nowMs - m_options.stopMs;
  const bool late = demand.prospect != Prospect::InTime || leftMs < demand.estimateMs;
  if (m_options.yields && late) return 0.0;
  return (demand.isUrgent() ? m_options.lossRatio : m_options.gangLossRatio) * demand.taskWork;
}

/** \returns whether a step may count on runs that are about to end; guaranteed work near its bound may not. */
bool RunPlanner::trustsEnds(const StepDemand& demand) const {
  return demand.rank != GuaranteedRank || demand.waitedMs < m_options.guaranteedTrustMs;
}

/** Sets room aside for what waits; if what is being stopped is not enough, chooses more to stop. */
bool RunPlanner::preempt(const StepDemand& demand) {
  const bool trusts = trustsEnds(demand);
  const double worth = worthStopping(demand);
  ShapeMemory::Entry* memory = memoryOf(demand);
  const ShapeMemory::Vain question{demand.gang ? demand.tasks : 1, demand.estimateMs, worth, m_pass->memory.freed()};
  // Targets that are being freed for a step are cheaper for it than for others of its shape.
  const bool remembers = memory != nullptr && demand.nominated.empty();
  std::optional<ShapeMemory::Vain>* vain = remembers ? &memory->stop[{demand.rank, trusts}] : nullptr;
  if (vain != nullptr && *vain && (*vain)->covers(question)) return false;
  const TargetGroups& groups = groupsFor(demand);
  const Rooms& rooms = trusts ? m_pass->later : m_pass->sure;
  if (demand.gang) {
    const std::optional<StepPlacement> soon = m_pass->placer->placeWhole(demand, groups, rooms);
    if (soon) {
      setAside(demand, *soon);
      return true;
    }
  }
  const std::optional<RoomMaker::Cleared> cleared = m_pass->roomMaker->clear(demand, groups, trusts, worth, rooms);
  if (!cleared) {
    if (vain != nullptr) ShapeMemory::remember(*vain, question);
    return false;
  }
  stop(demand, cleared->victims);
  setAside(demand, cleared->placement);
  return true;
}

void RunPlanner::stop(const StepDemand& demand, const std::vector<std::size_t>& victims) {
  if (victims.empty()) return;
  m_pass->roomMaker->stop(victims);
  m_pass->memory.noteFreed();
  for (const std::size_t r : victims) {
    const PlannedRun& run = m_pass->runs[r];
    m_pass->plan.stops.push_back({run.key, demand.step});
    m_pass->sure[run.target].add(run.need);
    if (!m_pass->endsSoon[r]) m_pass->later[run.target].add(run.need);
  }
}

/** \returns the targets that a gang waited for at the last pass, of those that may have it. */
TargetList RunPlanner::waitedFor(const StepDemand& demand) const {
  const auto found = m_waitedFor.find(m_pass->names[demand.step]);
  if (found == m_waitedFor.end() || !m_options.stickyReservations) return nullptr;
  std::vector<std::size_t> among;
  for (const std::size_t i : *demand.serving) {
    if (found->second.count(m_pass->targets[i].id) > 0) among.push_back(i);
  }
  return among.empty() ? nullptr : std::make_shared<const std::vector<std::size_t>>(std::move(among));
}

/** Keeps the place that will be free first from later work that would take longer. */
void RunPlanner::reserve(const StepDemand& demand) {
  constexpr double AnyTime = std::numeric_limits<double>::max();
  std::optional<EndForecast::Wait> wait;
  // What it has waited for so far comes first: a place that moves with each plan never becomes free.
  const TargetList before = waitedFor(demand);
  if (before) wait = m_pass->forecast->waitFor(demand, {{}, before}, m_pass->free, AnyTime);
  if (!wait) wait = m_pass->forecast->waitFor(demand, groupsFor(demand), m_pass->free, AnyTime);
  if (!wait) return;
  Reservation reservation{Rooms(m_pass->targets.size()), wait->waitMs};
  for (const std::size_t target : wait->placement.targets) {
    m_pass->waitingFor[m_pass->names[demand.step]].insert(m_pass->targets[target].id);
    reservation.rooms[target].add(demand.need);
  }
  m_pass->placer->reserve(std::move(reservation));
}

}  // namespace courseloom
