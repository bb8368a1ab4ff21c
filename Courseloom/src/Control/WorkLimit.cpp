// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/WorkLimit.h"

namespace courseloom {

WorkLimit::Commit::Commit(WorkLimit& limit, const schema::Workflow& workflow, std::uint64_t bytes)
    : m_work(limit), m_id(workflow.id()) {
  Pending& pending = m_work.m_pending[m_id];
  pending.workspace = workflow.tenant();
  pending.bytes = bytes;
  ++pending.calls;
}

WorkLimit::Commit::~Commit() {
  const auto pending = m_work.m_pending.find(m_id);
  if (--pending->second.calls == 0) m_work.m_pending.erase(pending);
}

bool WorkLimit::admits(const WorkflowTable& table, const std::string& workspace, std::uint64_t bytes) const {
  std::uint64_t used = table.heldBytes();
  std::uint64_t usedByWorkspace = table.heldBytes(workspace);
  for (const auto& [id, pending] : m_pending) {
    used += pending.bytes;
    if (pending.workspace == workspace) usedByWorkspace += pending.bytes;
  }
  if (used + bytes > m_limit) return false;
  return usedByWorkspace + bytes <= FreeFactor * (m_limit - used);
}

}  // namespace courseloom
