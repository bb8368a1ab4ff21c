// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/KeptTargets.h"

namespace courseloom {

void KeptTargets::addSteps(StopBackoff::PendingTasks& pending) const {
  for (const auto& [gang, entry] : m_entries) pending.try_emplace(gang, 0);
}

void KeptTargets::update(const StopBackoff::PendingTasks& pending, double nowMs) {
  std::erase_if(m_entries, [&pending, nowMs](const auto& item) {
    const auto found = pending.find(item.first);
    return nowMs >= item.second.untilMs || found == pending.end() || found->second == 0;
  });
}

void KeptTargets::keep(const StepName& gang, Entry entry, double nowMs) {
  entry.untilMs = nowMs + m_options.longestMs;
  m_entries[gang] = std::move(entry);
}

const KeptTargets::Entry* KeptTargets::find(const StepName& gang) const {
  const auto found = m_entries.find(gang);
  return found == m_entries.end() ? nullptr : &found->second;
}

}  // namespace courseloom
