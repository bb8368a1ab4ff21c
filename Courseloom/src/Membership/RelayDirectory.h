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
 * \brief Names nodes their relays, so that those who are cut off do not all go to the same few.
 *
 * Rendezvous hashing (Thaler and Ravishankar, 1998): each node has an order of its own among the relays, which a relay
 * that comes or goes changes only where it stands. What a node was told is kept and brought up to date by the relays
 * that have come since; it is worked out anew where one of those that it rests on has gone.
 */
class RelayDirectory {
 public:
  explicit RelayDirectory(const std::vector<RelayAgent>& relays = {}) { update(relays); }
  /** Takes the relays that there are now. */
  void update(const std::vector<RelayAgent>& relays);
  /** Forgets everything. */
  void clear() { *this = RelayDirectory(); }
  /** \returns numbers of relays for one node, the first to be tried first: at most so many, of different data halls as
   * far as there are. \param asker name of the node */
  std::vector<std::uint32_t> relaysFor(const std::string& asker, std::size_t most);
  /** \returns how often a relay's place in a node's order was worked out so far. */
  std::uint64_t scored() const { return m_scored; }

 private:
  struct Relay {
    std::uint32_t number = 0;  ///< 0 is one that has gone, or is in another hall now
    std::size_t hall = 0;      ///< place of its name in m_halls
  };
  /** A relay's place in the order of one node; the highest score goes first. */
  struct Scored {
    std::uint64_t score = 0;
    std::uint32_t number = 0;  ///< 0 is none
    std::size_t place = 0;     ///< in m_relays
    bool operator<(const Scored& other) const {
      return score != other.score ? score > other.score : number < other.number;
    }
  };
  /** What a node's relays rest on. */
  struct Choice {
    std::size_t most = 0;
    std::size_t seen = 0;        ///< so many of m_relays are taken in
    std::vector<Scored> ofHall;  ///< the first of each hall, by place in m_halls
    std::vector<Scored> best;    ///< the first of all, in order
  };

  std::size_t hallNumber(const std::string& name);
  void dropGone(const std::vector<RelayAgent>& relays);
  bool stands(const Choice& choice) const;
  void bringUpToDate(Choice& choice, const std::string& asker);

  std::vector<Relay> m_relays;                    ///< in the order in which they came
  std::map<std::uint32_t, std::size_t> m_places;  ///< in m_relays, by number
  std::vector<std::string> m_halls;
  std::map<std::string, Choice> m_choices;  ///< by node
  std::uint64_t m_scored = 0;
};

}  // namespace courseloom
