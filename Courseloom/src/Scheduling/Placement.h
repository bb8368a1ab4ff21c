// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "generated/platform.pb.h"
#include "generated/state.pb.h"

namespace courseloom {

using AcceleratorMask = std::uint64_t;  ///< bit i stands for accelerator i of a worker; at most 64 a worker
using WorkerIndex = std::uint32_t;

/** \class Capacity
 * \brief What one worker has left, or what part of it something holds.
 */
struct Capacity {
  AcceleratorMask accelerators = 0;
  std::int64_t cores = 0;
  std::int64_t memoryMb = 0;

  void add(const Capacity& other);
  void subtract(const Capacity& other);
  unsigned acceleratorCount() const { return static_cast<unsigned>(__builtin_popcountll(accelerators)); }
  /** \returns how many equal tasks fit in. */
  unsigned fits(const schema::Shape& shape) const;
  /** Takes the lowest free accelerators, cores and memory of one task out. \returns what was taken */
  Capacity take(const schema::Shape& shape);
  /** \returns whether all of another capacity lies within this one. */
  bool covers(const Capacity& other) const;
  bool intersects(const Capacity& other) const { return (accelerators & other.accelerators) != 0; }
};

/** \class TaskPlace
 * \brief Where one task of a gang goes.
 */
struct TaskPlace {
  WorkerIndex worker = 0;
  Capacity part;
};

using Placement = std::vector<TaskPlace>;
using Capacities = std::vector<Capacity>;

/** Takes all places out of a room. */
void subtractAll(Capacities& room, const Placement& placement);
/** Gives all places back to a room. */
void addAll(Capacities& room, const Placement& placement);
/** \returns whether a room covers all places at once. */
bool coversAll(Capacities room, const Placement& placement);
/** Takes places out of a room of which a part may be held already; nothing falls below zero. */
void setAside(Capacities& room, const Placement& placement);

/** \class Topology
 * \brief The workers with their racks and data halls, and the groups within which tasks count as adjacent.
 */
class Topology {
 public:
  /** Takes a new inventory; indexes follow its order. */
  void setWorkers(std::vector<schema::Worker> workers);
  const std::vector<schema::Worker>& workers() const { return m_workers; }
  /** \returns the index of a worker, or -1. */
  int find(const std::string& name) const;
  /** \returns groups of workers, one of which must hold all tasks of a shape with that adjacency. */
  const std::vector<std::vector<WorkerIndex>>& groups(schema::Adjacency adjacency) const;
  /** \returns everything that the workers have. */
  Capacities total() const;

 private:
  std::vector<schema::Worker> m_workers;
  std::vector<std::vector<WorkerIndex>> m_byWorker;
  std::vector<std::vector<WorkerIndex>> m_byRack;
  std::vector<std::vector<WorkerIndex>> m_byHall;
  std::vector<std::vector<WorkerIndex>> m_all;
  std::vector<std::pair<std::string, WorkerIndex>> m_index;  ///< sorted by name
};

/** \class PlacementSearch
 * \brief Finds places for all tasks of a shape, or none.
 *
 * Among the groups that can hold the whole shape it takes the one with the least cost, then the one that leaves the
 * fewest accelerators over (best fit, so that large holes stay whole). Within a group it fills workers in order of cost
 * and of free accelerators, fewest first. Cost of one search is linear in the number of workers.
 */
class PlacementSearch {
 public:
  explicit PlacementSearch(const Topology& topology) : m_topology(topology) {}

  /** \param available what may be taken, by worker \param costs price of touching a worker; empty is free of cost
   * \param bestFit fewest free accelerators first; otherwise most, which spreads \returns empty if it does not fit */
  Placement find(const schema::Shape& shape, const Capacities& available, const std::vector<double>& costs = {},
                 bool bestFit = true) const;

 private:
  struct Candidate {
    double cost = 0;
    unsigned leftOver = 0;
    const std::vector<WorkerIndex>* group = nullptr;
  };

  const Topology& m_topology;
};

/** \returns the share of free accelerators outside the largest rack-adjacent block; 0 is unbroken, 1 is all scattered.
 */
double fragmentationOf(const Topology& topology, const Capacities& free);

}  // namespace courseloom
