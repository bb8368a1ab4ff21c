// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <functional>
#include <string>

#include "Courseloom/src/State/ClusterState.h"

namespace courseloom {

/** \class StateWriter
 * \brief Writes a snapshot of a cluster state in parts, so that other work can go on between them.
 *
 * The state must not change until the snapshot is complete. The parts are serialized messages one after another, which
 * are read as one message.
 */
class StateWriter {
 public:
  /** Writes everything but the workflows. \param state has to outlive the object */
  explicit StateWriter(const ClusterState& state);
  /** Writes workflows until all are written or the time is up. \param timeIsUp called after each workflow
   * \returns whether the snapshot is complete */
  bool advance(const std::function<bool()>& timeIsUp);
  /** \returns the complete snapshot; called once. */
  std::string finish() { return std::move(m_bytes); }

 private:
  const ClusterState& m_state;
  std::string m_lastWorkflow;  ///< id of the workflow that was written last
  std::string m_bytes;
};

}  // namespace courseloom
