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
 * \brief The replicated list of data halls that are drained: nothing new runs there until they are given back.
 *
 * A drain that is there already, or is not, stays as it is, so that an order may be sent again. \sa ClusterState
 */
class HallDrains {
 public:
  /** Drains a data hall. \param by operator who asked for it \param revision log index of the order
   * \returns whether that is new */
  bool add(const std::string& hall, std::uint64_t timeMs, const std::string& by, std::uint64_t revision);
  /** Gives a data hall back. \returns whether it was drained */
  bool remove(const std::string& hall);
  bool contains(const std::string& hall) const { return m_drains.count(hall) > 0; }
  std::set<std::string> halls() const;
  const std::map<std::string, schema::HallDrain>& drains() const { return m_drains; }
  /** \returns a number that grows with each change. */
  std::uint64_t version() const { return m_version; }

  void save(schema::StateSnapshot& snapshot) const;
  void load(const schema::StateSnapshot& snapshot);

 private:
  std::map<std::string, schema::HallDrain> m_drains;  ///< by data hall
  std::uint64_t m_version = 1;
};

/** \returns whether a text may name a data hall: 1 to 64 letters, digits, '-', '_' or '.'. */
bool isHallName(const std::string& text);

}  // namespace courseloom
