// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/Placement.h"

namespace courseloom {

/** \class Guarantee
 * \brief A shape that a workspace is entitled to, how much of it is in use, and the witness for the unused part.
 */
struct Guarantee {
  std::string name;
  std::string workspace;
  schema::Shape shape;
  unsigned used = 0;  ///< number of tasks of gangs that are charged to the guarantee
  Placement witness;  ///< places for the unused tasks; empty, with `witnessed` false, if none were found
  bool witnessed = false;
  std::string reason;  ///< why there is no witness

  /** \returns the number of tasks that may still be charged. */
  unsigned unused() const { return shape.tasks() > used ? shape.tasks() - used : 0; }
  /** \returns the shape with the unused tasks only. */
  schema::Shape unusedShape() const;
  /** \returns whether a job of a workspace, with the shape `job`, may be charged to the unused part. */
  bool holds(const std::string& ofWorkspace, const schema::Shape& job) const;
};

/** \class GuaranteeBook
 * \brief Keeps a witness for the unused part of every guarantee: places that are free or held by reclaimable gangs.
 *
 * All gangs outside guarantees are reclaimable. Only gangs that are charged to a guarantee, tasks unknown to the
 * scheduler and lost workers therefore reduce the capacity for witnesses. Witnesses for tight adjacency and large
 * shapes are sought first. A witness that is still valid is kept if possible.
 */
class GuaranteeBook {
 public:
  explicit GuaranteeBook(const Topology& topology) : m_topology(topology), m_search(topology) {}

  /** Replaces the guarantees. The caller sets the use counts. */
  void setGuarantees(std::vector<Guarantee> guarantees);
  /** Finds the witnesses again. \param capacity live capacity without what charged gangs hold \param free capacity that
   * nobody holds; it is preferred, so that fewer gangs are reclaimed \returns whether every guarantee has a witness */
  bool rebuild(const WorkerCapacities& capacity, const WorkerCapacities& free);
  /** \returns whether a capacity suffices for witnesses of all guarantees. Changes nothing. */
  bool canWitnessAll(const WorkerCapacities& capacity) const;
  Guarantee* find(const std::string& name);
  std::vector<Guarantee>& guarantees() { return m_guarantees; }
  const std::vector<Guarantee>& guarantees() const { return m_guarantees; }

 private:
  std::vector<std::size_t> searchOrder() const;
  bool keepWitness(Guarantee& guarantee, WorkerCapacities& capacity) const;
  bool findWitness(Guarantee& guarantee, WorkerCapacities& capacity, const WorkerCapacities& preferred) const;
  bool findWitnesses(WorkerCapacities capacity, const WorkerCapacities& preferred, bool keepValid);

  const Topology& m_topology;
  PlacementSearch m_search;
  std::vector<Guarantee> m_guarantees;
};

}  // namespace courseloom
