// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/StateWriter.h"

namespace courseloom {

StateWriter::StateWriter(const ClusterState& state) : m_state(state) {
  schema::StateSnapshot part;
  m_state.saveWithoutWorkflows(part);
  m_bytes = part.SerializeAsString();
}

bool StateWriter::advance(const std::function<bool()>& timeIsUp) {
  while (true) {
    schema::StateSnapshot part;
    if (!m_state.workflows().saveNextWorkflow(m_lastWorkflow, part)) return true;
    part.AppendToString(&m_bytes);
    if (timeIsUp()) return false;
  }
}

}  // namespace courseloom
