// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/RunLedger.h"

namespace courseloom {

/** \class RelayDirectory
 * \brief Assigns relays to nodes, so that nodes without contact to control spread over the relays.
 *
 * Uses rendezvous hashing (Thaler and Ravishankar, 1998): each node has its own order of the relays, and a relay that
 * is added or removed does not change the order of the others. The choice for each node is cached. A later call scores
 * only the relays added since; the choice is computed anew if one of its relays was removed.
 */
class RelayDirectory {
 public:
  explicit RelayDirectory(const std::vector<RelayAgent>& relays = {}) { update(relays); }
  /** Replaces the list of present relays. */
  void update(const std::vector<RelayAgent>& relays);
  /** Removes all relays and cached choices, and resets scored() to 0. */
  void clear() { *this = RelayDirectory(); }
  /** \returns numbers of relays for a node, in the order in which to try them, of different data halls as far as
   * possible. \param node name of the node \param maxCount maximum number of relays */
  std::vector<std::uint32_t> relaysFor(const std::string& node, std::size_t maxCount);
  /** \returns how many scores of a relay for a node were computed so far. */
  std::uint64_t scored() const { return m_scored; }

 private:
  struct Relay {
    std::uint32_t number = 0;  ///< 0 if the relay was removed or has moved to another data hall
    std::size_t hall = 0;      ///< index of its data hall in m_halls
  };
  /** Score of a relay for one node. The relay with the highest score comes first. */
  struct Scored {
    std::uint64_t score = 0;
    std::uint32_t number = 0;  ///< 0 means no relay
    std::size_t position = 0;  ///< index in m_relays
    bool operator<(const Scored& other) const {
      return score != other.score ? score > other.score : number < other.number;
    }
  };
  /** Cached choice of relays for one node. */
  struct Choice {
    std::size_t maxCount = 0;
    std::size_t processed = 0;       ///< number of entries of m_relays that are scored
    std::vector<Scored> bestOfHall;  ///< best relay of each data hall, by index in m_halls
    std::vector<Scored> best;        ///< best relays of all data halls, sorted
  };

  std::size_t hallIndex(const std::string& name);
  void removeAbsent(const std::vector<RelayAgent>& relays);
  bool isValid(const Choice& choice) const;
  void scoreNewRelays(Choice& choice, const std::string& node);

  std::vector<Relay> m_relays;                       ///< in the order in which they were added
  std::map<std::uint32_t, std::size_t> m_positions;  ///< index in m_relays by relay number
  std::vector<std::string> m_halls;                  ///< names of data halls
  std::map<std::string, Choice> m_choices;           ///< by name of the node
  std::uint64_t m_scored = 0;
};

}  // namespace courseloom
