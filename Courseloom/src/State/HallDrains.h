// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "generated/state.pb.h"

namespace courseloom {

/** \class HallDrains
 * \brief The replicated list of drained data halls. Nothing new runs in a drained data hall until its drain is removed.
 *
 * Adding a drain that exists, or removing one that does not, changes nothing, so an order may be retried.
 * \sa ClusterState
 */
class HallDrains {
 public:
  /** Drains a data hall. \param timeMs time of the order, ms since 1970 \param operatorName operator who ordered it
   * \param revision log index of the order \returns false if the data hall was already drained */
  bool add(const std::string& hall, std::uint64_t timeMs, const std::string& operatorName, std::uint64_t revision);
  /** Removes the drain of a data hall. \returns whether it was drained */
  bool remove(const std::string& hall);
  /** \returns whether a data hall is drained. */
  bool contains(const std::string& hall) const { return m_drains.count(hall) > 0; }
  /** \returns the names of the drained data halls. */
  std::set<std::string> halls() const;
  /** \returns the drains by data hall. */
  const std::map<std::string, schema::HallDrain>& drains() const { return m_drains; }
  /** \returns a number that grows with each change of the list. */
  std::uint64_t version() const { return m_version; }

  /** Adds all drains to a snapshot. */
  void save(schema::StateSnapshot& snapshot) const;
  /** Replaces all drains by those of a snapshot. */
  void load(const schema::StateSnapshot& snapshot);

 private:
  std::map<std::string, schema::HallDrain> m_drains;  ///< by data hall
  std::uint64_t m_version = 1;
};

/** \returns whether a text is a valid name of a data hall: 1 to 64 letters, digits, '-', '_' or '.'. */
bool isHallName(const std::string& text);

}  // namespace courseloom
