// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/CrashRecord.h"

#include <algorithm>

namespace courseloom {

void CrashRecord::started() {
  if (m_crashes.size() >= CrashesAllowed) ++m_lastStarts;
}

void CrashRecord::ended(const schema::ActiveRun& run, const schema::RunEnd& end) {
  if (end.lived()) {
    m_crashes.clear();
    m_lastStarts = 0;
    return;
  }
  // A voided run never began, so its start does not count.
  if (end.kind() == schema::RunVoided && m_lastStarts > 0) --m_lastStarts;
  if (end.crash() == schema::NoCrash) return;
  schema::TargetCrash& crash = m_crashes.emplace_back();
  crash.set_target(run.target());
  crash.set_run(run.number());
  crash.set_kind(end.crash());
  crash.set_after_ms(end.crash_after_ms());
}

std::size_t CrashRecord::isolatedCrashes() const {
  return static_cast<std::size_t>(std::count_if(
      m_crashes.begin(), m_crashes.end(), [](const auto& crash) { return crash.kind() == schema::CrashAtStart; }));
}

bool CrashRecord::needsTrial() const { return isolatedCrashes() > 0 || m_crashes.size() > 1; }

bool CrashRecord::shouldGiveUp() const {
  if (m_crashes.size() < CrashesAllowed) return false;
  return isolatedCrashes() >= IsolatedCrashLimit || m_lastStarts >= StartsLeft;
}

std::string CrashRecord::evidence() const {
  std::string text;
  for (const schema::TargetCrash& crash : m_crashes) {
    if (!text.empty()) text += ", ";
    text += crash.target() + " (run " + std::to_string(crash.run()) + ", " + schema::CrashKind_Name(crash.kind());
    if (crash.after_ms() > 0) text += " after " + std::to_string(crash.after_ms()) + " ms";
    text += ")";
  }
  return text;
}

void CrashRecord::save(schema::TaskRecord& record) const {
  for (const schema::TargetCrash& crash : m_crashes) *record.add_crashes() = crash;
  record.set_last_starts(m_lastStarts);
}

void CrashRecord::load(const schema::TaskRecord& record) {
  m_crashes.assign(record.crashes().begin(), record.crashes().end());
  m_lastStarts = record.last_starts();
}

}  // namespace courseloom
