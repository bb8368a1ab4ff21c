// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/Placement.h"

namespace courseloom {

/** \class Guarantee
 * \brief One workspace's right to a shape, what of it is in use, and the witness for the rest.
 */
struct Guarantee {
  std::string name;
  std::string workspace;
  schema::Shape shape;
  unsigned used = 0;  ///< tasks of running gangs charged to it
  Placement witness;  ///< named places for the unused tasks; empty and `witnessed` false if there are none
  bool witnessed = false;
  std::string reason;  ///< why there is no witness

  unsigned unused() const { return shape.tasks() > used ? shape.tasks() - used : 0; }
  schema::Shape unusedShape() const;
  /** \returns whether a job's gang may be charged to it. */
  bool holds(const std::string& ofWorkspace, const schema::Shape& job) const;
};

/** \class GuaranteeBook
 * \brief Keeps a witness for every unused guaranteed shape: places that are free or held by reclaimable gangs.
 *
 * Gangs outside a guarantee are all reclaimable, so only gangs charged to a guarantee and lost workers take room from
 * the witnesses. Tight adjacency and large shapes are witnessed first; a witness that still holds is kept.
 */
class GuaranteeBook {
 public:
  explicit GuaranteeBook(const Topology& topology) : m_topology(topology), m_search(topology) {}

  /** Replaces the guarantees; use counts are set by the caller. */
  void setGuarantees(std::vector<Guarantee> guarantees);
  /** Finds witnesses. \param room all live capacity less what charged gangs hold \param free capacity that nobody
   * holds, preferred so that fewer gangs are hit \returns whether every guarantee has one */
  bool rebuild(const Capacities& room, const Capacities& free);
  /** \returns whether all guarantees could be witnessed within a room; changes nothing. */
  bool possible(const Capacities& room) const;
  Guarantee* find(const std::string& name);
  std::vector<Guarantee>& guarantees() { return m_guarantees; }
  const std::vector<Guarantee>& guarantees() const { return m_guarantees; }

 private:
  std::vector<std::size_t> searchOrder() const;
  bool keepWitness(Guarantee& guarantee, Capacities& room) const;
  bool findWitness(Guarantee& guarantee, Capacities& room, const Capacities& preferred) const;
  bool search(Capacities room, const Capacities& preferred, bool keepSound);

  const Topology& m_topology;
  PlacementSearch m_search;
  std::vector<Guarantee> m_guarantees;
};

}  // namespace courseloom
