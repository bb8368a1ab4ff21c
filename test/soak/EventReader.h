// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <ios>
#include <map>

#include "test/soak/RunHistory.h"
#include "test/soak/SoakCluster.h"

namespace courseloom::test {

/** \class EventReader
 * \brief Appends to a history the events that all back ends have written to their event files since the last read.
 */
class EventReader {
 public:
  EventReader(const SoakCluster& cluster, RunHistory& history) : m_cluster(cluster), m_history(history) {}
  /** Reads complete lines only; a line that is still being written is read by the next call. */
  void read();

 private:
  const SoakCluster& m_cluster;
  RunHistory& m_history;
  std::map<unsigned, std::streamoff> m_offsets;  ///< bytes read so far, by target
};

}  // namespace courseloom::test
