// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of Scheduler that frees capacity: reclaim for guarantee owners and urgent work, and the reservation for the
// first gang that has to wait.

#include <algorithm>

#include "Courseloom/src/Scheduling/Scheduler.h"

namespace courseloom {

namespace internal {
namespace {
constexpr double UrgencyCost = 1000.0;  ///< added for each task of a gang whose urgency is not low
}  // namespace
}  // namespace internal

// ---- reclaim

WorkerCapacities Scheduler::reclaimableCapacity(bool lowOnly) const {
  WorkerCapacities capacity = m_grantable;
  for (const auto& [id, job] : m_jobs) {
    if (!reclaimable(job) || (lowOnly && job.spec.urgency() != schema::Low)) continue;
    addAll(capacity, job.held);
  }
  // Nominated places are assigned already, even while another gang still holds them.
  for (const auto& [id, nomination] : m_nominations) {
    for (const TaskPlace& place : nomination.placement) {
      WorkerCapacity& remaining = capacity[place.worker];
      remaining.accelerators &= ~place.part.accelerators;
    }
  }
  return capacity;
}

/** \returns the cost of reclaiming, by worker. It is computed at most once per call of decide(), when first needed. */
const std::vector<double>& Scheduler::reclaimCosts(std::uint64_t nowMs) {
  if (!m_costs.empty()) return m_costs;
  std::vector<double>& costs = m_costs;
  costs.assign(m_topology.workers().size(), 0.0);
  for (const auto& [id, job] : m_jobs) {
    if (!reclaimable(job)) continue;
    // A checkpoint preserves nearly all work. The cost counts on each worker, since the whole gang is stopped.
    const double ranSeconds = nowMs > job.startedMs ? static_cast<double>(nowMs - job.startedMs) / 1000.0 : 0.0;
    const double lostWork = job.spec.checkpointable() ? 1.0 : 1.0 + ranSeconds;
    const double urgency = job.spec.urgency() == schema::Low ? 0.0 : internal::UrgencyCost;
    for (const TaskPlace& place : job.held) costs[place.worker] += lostWork + urgency;
  }
  return costs;
}

std::vector<Scheduler::JobEntry*> Scheduler::victimsOn(const Placement& placement, schema::Urgency forUrgency,
                                                       bool forOwner) {
  std::vector<JobEntry*> victims;
  WorkerCapacities free = m_free;
  std::map<WorkerIndex, WorkerCapacity> required;
  for (const TaskPlace& place : placement) required[place.worker].add(place.part);
  for (auto& [id, job] : m_jobs) {
    const bool allowed =
        reclaimable(job) && (forOwner || (forUrgency == schema::Urgent && job.spec.urgency() == schema::Low));
    if (!allowed) continue;
    bool overlaps = false;
    for (const TaskPlace& place : job.held) {
      const auto demand = required.find(place.worker);
      if (demand == required.end()) continue;
      const WorkerCapacity& remaining = free[place.worker];
      const bool insufficient = remaining.cores < demand->second.cores || remaining.memoryMb < demand->second.memoryMb;
      overlaps = overlaps || demand->second.intersects(place.part) || insufficient;
    }
    if (!overlaps) continue;
    addAll(free, job.held);
    victims.push_back(&job);
  }
  if (!coversAll(free, placement)) victims.clear();
  return victims;
}

bool Scheduler::reclaimFor(JobEntry& job, const std::string& guarantee, const Placement& placement,
                           std::vector<Decision>& decisions) {
  std::vector<JobEntry*> victims = victimsOn(placement, job.spec.urgency(), !guarantee.empty());
  if (victims.empty()) {
    job.why = "places of its guarantee are being freed";
    if (!guarantee.empty()) m_nominations[job.id] = {guarantee, placement};
    return !guarantee.empty();
  }
  for (JobEntry* victim : victims) {
    victim->phase = schema::JobStopping;
    decisions.push_back({DecisionKind::Reclaim, victim->id, "", {}, job.id});
  }
  nominate(job, guarantee, placement);
  return true;
}

void Scheduler::nominate(JobEntry& job, const std::string& guarantee, Placement placement) {
  job.why = "accelerators are being reclaimed for it";
  setAside(m_grantable, placement);
  m_nominations[job.id] = {guarantee, std::move(placement)};
}

bool Scheduler::placeNominated(JobEntry& job, std::vector<Decision>& decisions) {
  const Nomination nomination = m_nominations.at(job.id);
  if (!coversAll(m_free, nomination.placement)) {
    // A gang still holds a place. Either its stop is in progress, or it was started again and is reclaimed again.
    for (JobEntry* victim : victimsOn(nomination.placement, job.spec.urgency(), !nomination.guarantee.empty())) {
      victim->phase = schema::JobStopping;
      decisions.push_back({DecisionKind::Reclaim, victim->id, "", {}, job.id});
    }
    return false;
  }
  const Guarantee* guarantee = m_book.find(nomination.guarantee);
  const bool shapeFits = nomination.placement.size() == job.spec.shape().tasks();
  const bool chargeFits = nomination.guarantee.empty() ||
                          (guarantee != nullptr && guarantee->holds(job.spec.workspace(), job.spec.shape()));
  const bool valid =
      shapeFits && chargeFits && witnessesSurvive(nomination.guarantee, job.spec.shape().tasks(), nomination.placement);
  if (!valid) {
    m_nominations.erase(job.id);
    job.why = "its nominated places no longer suit; looking again";
    return false;
  }
  // The nomination has already removed the places from m_grantable. Add them back, because accept() subtracts them.
  addAll(m_grantable, nomination.placement);
  accept(job, nomination.guarantee, nomination.placement, decisions);
  return true;
}

// ---- reservation

void Scheduler::reserveFor(const JobEntry& job, std::uint64_t nowMs) {
  std::vector<std::pair<std::uint64_t, const JobEntry*>> ends;
  for (const auto& [id, running] : m_jobs) {
    if (!running.held.empty()) ends.emplace_back(expectedEnd(running, nowMs), &running);
  }
  std::sort(ends.begin(), ends.end());
  WorkerCapacities capacity = m_grantable;
  std::size_t next = 0;
  // The number of jobs per step doubles, so the number of searches is logarithmic in the number of running jobs.
  for (std::size_t step = 1; next < ends.size(); step *= 2) {
    std::uint64_t at = nowMs;
    for (std::size_t i = 0; i < step && next < ends.size(); ++i, ++next) {
      addAll(capacity, ends[next].second->held);
      at = ends[next].first;
    }
    Placement placement = m_search.find(job.spec.shape(), capacity);
    if (placement.empty()) continue;
    m_reservation = Reservation{job.id, at, std::move(placement)};
    return;
  }
}

}  // namespace courseloom
