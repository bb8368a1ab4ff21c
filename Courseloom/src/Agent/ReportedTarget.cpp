// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Agent/ReportedTarget.h"

namespace courseloom {

void ReportedTarget::put(schema::AttendRequest& report, const schema::TargetReport& target) {
  std::string bytes = target.SerializeAsString();
  if (m_version == 0 || bytes != m_bytes) ++m_version;
  m_bytes = std::move(bytes);
  report.set_target_version(m_version);
  const bool known = m_acknowledgedVersion == m_version && m_acknowledgedTerm == report.term();
  if (!known) *report.mutable_target() = target;
}

void ReportedTarget::answered(const schema::AttendRequest& report, const schema::AttendReply& reply) {
  if (reply.term() != report.term()) return;
  if (reply.whole_wanted()) {
    m_acknowledgedVersion = 0;
    return;
  }
  if (reply.target_version() != report.target_version()) return;
  m_acknowledgedVersion = reply.target_version();
  m_acknowledgedTerm = reply.term();
}

}  // namespace courseloom
