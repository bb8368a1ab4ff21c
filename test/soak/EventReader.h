// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <ios>
#include <map>

#include "test/soak/RunHistory.h"
#include "test/soak/SoakCluster.h"

namespace courseloom::test {

/** \class EventReader
 * \brief Adds what is new in the event files of all back ends to a history.
 */
class EventReader {
 public:
  EventReader(const SoakCluster& cluster, RunHistory& history) : m_cluster(cluster), m_history(history) {}
  void read();

 private:
  const SoakCluster& m_cluster;
  RunHistory& m_history;
  std::map<unsigned, std::streamoff> m_offsets;  ///< read so far, by target
};

}  // namespace courseloom::test
