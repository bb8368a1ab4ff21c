// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/Placement.h"

#include <algorithm>
#include <limits>
#include <map>

namespace courseloom {

void WorkerCapacity::add(const WorkerCapacity& other) {
  accelerators |= other.accelerators;
  cores += other.cores;
  memoryMb += other.memoryMb;
}

void WorkerCapacity::subtract(const WorkerCapacity& other) {
  accelerators &= ~other.accelerators;
  cores -= other.cores;
  memoryMb -= other.memoryMb;
}

unsigned WorkerCapacity::fits(const schema::Shape& shape) const {
  unsigned count = std::numeric_limits<unsigned>::max();
  const auto bound = [&count](std::int64_t have, std::int64_t need) {
    if (need > 0) count = std::min(count, static_cast<unsigned>(std::max<std::int64_t>(have, 0) / need));
  };
  bound(acceleratorCount(), shape.accelerators());
  bound(cores, shape.cores());
  bound(memoryMb, static_cast<std::int64_t>(shape.memory_mb()));
  return std::min(count, shape.tasks());
}

WorkerCapacity WorkerCapacity::allocate(const schema::Shape& shape) {
  WorkerCapacity part{0, shape.cores(), static_cast<std::int64_t>(shape.memory_mb())};
  AcceleratorMask left = accelerators;
  for (unsigned i = 0; i < shape.accelerators(); ++i) {
    const AcceleratorMask lowest = left & (~left + 1);
    part.accelerators |= lowest;
    left &= ~lowest;
  }
  subtract(part);
  return part;
}

bool WorkerCapacity::covers(const WorkerCapacity& other) const {
  return (other.accelerators & ~accelerators) == 0 && other.cores <= cores && other.memoryMb <= memoryMb;
}

void subtractAll(WorkerCapacities& capacity, const Placement& placement) {
  for (const TaskPlace& place : placement) capacity[place.worker].subtract(place.part);
}

void addAll(WorkerCapacities& capacity, const Placement& placement) {
  for (const TaskPlace& place : placement) capacity[place.worker].add(place.part);
}

bool coversAll(WorkerCapacities capacity, const Placement& placement) {
  for (const TaskPlace& place : placement) {
    if (!capacity[place.worker].covers(place.part)) return false;
    capacity[place.worker].subtract(place.part);
  }
  return true;
}

void setAside(WorkerCapacities& capacity, const Placement& placement) {
  for (const TaskPlace& place : placement) {
    WorkerCapacity& remaining = capacity[place.worker];
    remaining.accelerators &= ~place.part.accelerators;
    remaining.cores = std::max<std::int64_t>(0, remaining.cores - place.part.cores);
    remaining.memoryMb = std::max<std::int64_t>(0, remaining.memoryMb - place.part.memoryMb);
  }
}

void Topology::setWorkers(std::vector<schema::Worker> workers) {
  m_workers = std::move(workers);
  m_byWorker.clear();
  m_index.clear();
  std::map<std::string, std::vector<WorkerIndex>> racks;
  std::map<std::string, std::vector<WorkerIndex>> halls;
  std::vector<WorkerIndex> allWorkers;
  for (WorkerIndex i = 0; i < m_workers.size(); ++i) {
    const schema::Worker& worker = m_workers[i];
    m_byWorker.push_back({i});
    racks[worker.data_hall() + "/" + worker.rack()].push_back(i);
    halls[worker.data_hall()].push_back(i);
    allWorkers.push_back(i);
    m_index.emplace_back(worker.name(), i);
  }
  const auto groupsOf = [](const auto& groups) {
    std::vector<std::vector<WorkerIndex>> list;
    for (const auto& [name, group] : groups) list.push_back(group);
    return list;
  };
  m_byRack = groupsOf(racks);
  m_byHall = groupsOf(halls);
  m_all = {allWorkers};
  std::sort(m_index.begin(), m_index.end());
}

int Topology::find(const std::string& name) const {
  const auto at = std::lower_bound(m_index.begin(), m_index.end(), std::make_pair(name, WorkerIndex{0}));
  return at != m_index.end() && at->first == name ? static_cast<int>(at->second) : -1;
}

const std::vector<std::vector<WorkerIndex>>& Topology::groups(schema::Adjacency adjacency) const {
  switch (adjacency) {
    case schema::SameWorker:
      return m_byWorker;
    case schema::SameRack:
      return m_byRack;
    case schema::SameDataHall:
      return m_byHall;
    default:
      return m_all;
  }
}

WorkerCapacities Topology::total() const {
  WorkerCapacities all;
  all.reserve(m_workers.size());
  for (const schema::Worker& worker : m_workers) {
    const unsigned count = std::min(worker.accelerators(), 64U);
    const AcceleratorMask mask = count == 64 ? ~0ULL : (1ULL << count) - 1;
    all.push_back({mask, worker.cores(), static_cast<std::int64_t>(worker.memory_mb())});
  }
  return all;
}

Placement PlacementSearch::find(const schema::Shape& shape, const WorkerCapacities& available,
                                const std::vector<double>& costs, bool bestFit) const {
  const auto costOf = [&costs](WorkerIndex worker) { return costs.empty() ? 0.0 : costs[worker]; };
  Candidate best;
  for (const std::vector<WorkerIndex>& group : m_topology.groups(shape.adjacency())) {
    unsigned fitting = 0;
    unsigned accelerators = 0;
    double cost = 0;
    for (const WorkerIndex worker : group) {
      const unsigned fits = available[worker].fits(shape);
      if (fits == 0) continue;
      fitting += fits;
      accelerators += available[worker].acceleratorCount();
      cost += costOf(worker);
    }
    if (fitting < shape.tasks()) continue;
    const Candidate candidate{cost, accelerators, &group};
    const bool better = best.group == nullptr || candidate.cost < best.cost ||
                        (candidate.cost == best.cost && candidate.leftOver < best.leftOver);
    if (better) best = candidate;
  }
  if (best.group == nullptr) return {};
  std::vector<WorkerIndex> order;
  for (const WorkerIndex worker : *best.group) {
    if (available[worker].fits(shape) > 0) order.push_back(worker);
  }
  std::stable_sort(order.begin(), order.end(), [&](WorkerIndex lhs, WorkerIndex rhs) {
    if (costOf(lhs) != costOf(rhs)) return costOf(lhs) < costOf(rhs);
    const unsigned left = available[lhs].acceleratorCount();
    const unsigned right = available[rhs].acceleratorCount();
    return bestFit ? left < right : left > right;
  });
  Placement placement;
  for (const WorkerIndex worker : order) {
    WorkerCapacity free = available[worker];
    for (unsigned fits = free.fits(shape); fits > 0 && placement.size() < shape.tasks(); --fits) {
      placement.push_back({worker, free.allocate(shape)});
    }
  }
  return placement;
}

double fragmentationOf(const Topology& topology, const WorkerCapacities& free) {
  unsigned total = 0;
  unsigned largest = 0;
  for (const auto& rack : topology.groups(schema::SameRack)) {
    unsigned rackTotal = 0;
    for (const WorkerIndex worker : rack) rackTotal += free[worker].acceleratorCount();
    total += rackTotal;
    largest = std::max(largest, rackTotal);
  }
  return total == 0 ? 0.0 : 1.0 - static_cast<double>(largest) / total;
}

}  // namespace courseloom
