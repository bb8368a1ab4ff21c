// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/StopBackoff.h"

#include <algorithm>

namespace courseloom {

void StopBackoff::addSteps(PendingTasks& pending) const {
  for (const auto& [step, record] : m_records) pending.try_emplace(step, 0);
}

void StopBackoff::update(const PendingTasks& pending) {
  std::erase_if(m_records, [&pending](const auto& entry) {
    const auto found = pending.find(entry.first);
    const std::size_t tasks = found == pending.end() ? 0 : found->second;
    const Record& record = entry.second;
    return tasks == 0 || (!record.gang && tasks < record.waiting);
  });
}

StopBackoff::Permission StopBackoff::permissionFor(const StepName& step, bool missesBound, double nowMs) const {
  const auto found = m_records.find(step);
  if (found == m_records.end()) return Permission::Allowed;
  const Record& record = found->second;
  const bool delayed = nowMs < record.untilMs && record.covered >= record.waiting;
  if (!delayed) return Permission::Allowed;
  return missesBound && !record.overridden ? Permission::Overriding : Permission::Delayed;
}

double StopBackoff::takeNewDelay(const StepName& step, double nowMs) {
  Record& record = m_records[step];
  if (record.taken) return 0.0;
  record.taken = true;
  return std::max(0.0, record.untilMs - nowMs);
}

void StopBackoff::recordStops(const StepName& step, bool gang, std::size_t tasks, std::size_t waiting,
                              Permission permission, double nowMs) {
  const auto [found, added] = m_records.try_emplace(step);
  Record& record = found->second;
  if (added) {
    record.gang = gang;
    record.waiting = waiting;
    record.delayMs = m_options.firstDelayMs;
  }
  const bool newRound = !added && record.covered >= record.waiting;
  if (newRound) {
    record.delayMs = std::min(2.0 * record.delayMs, m_options.longestDelayMs);
    record.covered = 0;
    record.taken = false;
  }
  if (permission == Permission::Overriding) record.overridden = true;
  record.covered += tasks;
  record.untilMs = nowMs + record.delayMs;
}

}  // namespace courseloom
