// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/RunLedger.h"

namespace courseloom {

/** \class RelayDirectory
 * \brief Names nodes their relays, so that those who are cut off do not all go to the same few.
 *
 * Rendezvous hashing (Thaler and Ravishankar, 1998): each node has an order of its own among the relays, which a relay
 * that comes or goes changes only where it stands. With the same four relays for all, one held 425 descriptors and
 * 34 MB while 60 nodes were cut off; others held 15 and 6 MB.
 */
class RelayDirectory {
 public:
  explicit RelayDirectory(const std::vector<RelayAgent>& relays = {});
  /** \returns numbers of relays for one node, the first to be tried first: at most so many, of different data halls as
   * far as there are. \param asker name of the node */
  std::vector<std::uint32_t> relaysFor(const std::string& asker, std::size_t most) const;

 private:
  struct Relay {
    std::uint32_t number = 0;
    std::size_t hall = 0;  ///< place of its name in m_halls
  };
  std::vector<Relay> m_relays;
  std::vector<std::string> m_halls;
};

}  // namespace courseloom
