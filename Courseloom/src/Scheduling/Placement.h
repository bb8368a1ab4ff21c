// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "generated/platform.pb.h"
#include "generated/state.pb.h"

namespace courseloom {

/** Set of accelerators of one worker: bit i stands for accelerator i, so a worker has at most 64. */
using AcceleratorMask = std::uint64_t;
/** Position of a worker in Topology::workers(). */
using WorkerIndex = std::uint32_t;

/** \class WorkerCapacity
 * \brief Resources of one worker: what is free on it, or the part that one task holds.
 */
struct WorkerCapacity {
  AcceleratorMask accelerators = 0;
  std::int64_t cores = 0;
  std::int64_t memoryMb = 0;

  void add(const WorkerCapacity& other);
  void subtract(const WorkerCapacity& other);
  unsigned acceleratorCount() const { return static_cast<unsigned>(__builtin_popcountll(accelerators)); }
  /** \returns how many tasks of a shape fit in, at most the number that the shape has. */
  unsigned fits(const schema::Shape& shape) const;
  /** Allocates one task: subtracts its lowest free accelerators, cores and memory, which must be available. \returns
   * the allocated part */
  WorkerCapacity allocate(const schema::Shape& shape);
  /** \returns whether this capacity contains all of another one. */
  bool covers(const WorkerCapacity& other) const;
  /** \returns whether both contain a common accelerator. */
  bool intersects(const WorkerCapacity& other) const { return (accelerators & other.accelerators) != 0; }
};

/** \class TaskPlace
 * \brief Where one task of a gang is placed.
 */
struct TaskPlace {
  WorkerIndex worker = 0;
  WorkerCapacity part;
};

/** Places of the tasks of one gang. */
using Placement = std::vector<TaskPlace>;
/** WorkerCapacity by WorkerIndex. */
using WorkerCapacities = std::vector<WorkerCapacity>;

/** Subtracts all places of a placement. */
void subtractAll(WorkerCapacities& capacity, const Placement& placement);
/** Adds all places of a placement. */
void addAll(WorkerCapacities& capacity, const Placement& placement);
/** \returns whether the capacity covers all places of a placement together. */
bool coversAll(WorkerCapacities capacity, const Placement& placement);
/** Subtracts all places of a placement, parts of which may be held already: cores and memory do not fall below zero. */
void setAside(WorkerCapacities& capacity, const Placement& placement);

/** \class Topology
 * \brief The workers with their racks and data halls, and the groups of workers that count as adjacent.
 */
class Topology {
 public:
  /** Replaces the inventory. Worker indexes follow its order. */
  void setWorkers(std::vector<schema::Worker> workers);
  const std::vector<schema::Worker>& workers() const { return m_workers; }
  /** \returns the index of a worker, or -1 if there is none of this name. */
  int find(const std::string& name) const;
  /** \returns the groups of workers for an adjacency. One group must hold all tasks of a shape with that adjacency. */
  const std::vector<std::vector<WorkerIndex>>& groups(schema::Adjacency adjacency) const;
  /** \returns the total capacity of each worker. */
  WorkerCapacities total() const;

 private:
  std::vector<schema::Worker> m_workers;
  std::vector<std::vector<WorkerIndex>> m_byWorker;
  std::vector<std::vector<WorkerIndex>> m_byRack;
  std::vector<std::vector<WorkerIndex>> m_byHall;
  std::vector<std::vector<WorkerIndex>> m_all;
  std::vector<std::pair<std::string, WorkerIndex>> m_index;  ///< sorted by name
};

/** \class PlacementSearch
 * \brief Finds places for all tasks of a shape, or for none of them.
 *
 * Among the groups that can hold the whole shape, the search chooses the one with the least cost and then the one with
 * the fewest free accelerators (best fit, so that large free blocks are not split). Within a group it fills workers in
 * order of cost and then of free accelerators, fewest first unless the caller asks for spreading. The time of a search
 * is linear in the number of workers, apart from sorting those of the chosen group.
 */
class PlacementSearch {
 public:
  explicit PlacementSearch(const Topology& topology) : m_topology(topology) {}

  /** \param available capacity that may be used, by worker \param costs cost of using each worker; empty if all are
   * zero \param bestFit whether workers with the fewest free accelerators are filled first; otherwise those with the
   * most are, which spreads the tasks \returns one place per task, or an empty placement if the shape does not fit */
  Placement find(const schema::Shape& shape, const WorkerCapacities& available, const std::vector<double>& costs = {},
                 bool bestFit = true) const;

 private:
  struct Candidate {
    double cost = 0;
    unsigned leftOver = 0;  ///< free accelerators of the workers in the group on which a task fits
    const std::vector<WorkerIndex>* group = nullptr;
  };

  const Topology& m_topology;
};

/** \returns the share of free accelerators outside the rack that has the most of them: 0 if all are in one rack or none
 * is free, close to 1 if they are scattered over many racks. */
double fragmentationOf(const Topology& topology, const WorkerCapacities& free);

}  // namespace courseloom
