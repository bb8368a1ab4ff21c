// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/TargetHealth.h"

#include <algorithm>

namespace courseloom {

void TargetHealth::clear() {
  m_targets.clear();
  m_failedOn.clear();
}

double TargetHealth::penalty(const std::string& target, Time now) const {
  const auto found = m_targets.find(target);
  if (found == m_targets.end()) return 0.0;
  if (now < found->second.suspectUntil) return m_options.suspectPenalty;
  return now < found->second.cautionUntil ? m_options.cautionPenalty : 0.0;
}

const std::map<std::string, double>& TargetHealth::penaltiesOf(const std::string& workflow) const {
  static const std::map<std::string, double> none;
  const auto found = m_failedOn.find(workflow);
  return found == m_failedOn.end() ? none : found->second;
}

void TargetHealth::suspectNow(Score& score, Time now) {
  score.suspicion = score.suspicion == Duration(0) ? m_options.firstSuspicion : score.suspicion * 2;
  score.suspicion = std::min(score.suspicion, m_options.longestSuspicion);
  score.suspectUntil = now + score.suspicion;
  score.failed.clear();
}

void TargetHealth::ended(const std::string& target, const std::string& workflow, schema::RunEndKind kind, Time now) {
  if (kind == schema::RunDone) {
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) return;
    found->second.failed.clear();
    found->second.suspicion = Duration(0);
    found->second.suspectUntil = Time{};
    found->second.cautionUntil = Time{};
    return;
  }
  if (kind == schema::RunVoided) return refused(target, now);
  if (kind != schema::RunFailed) return;
  std::map<std::string, double>& failedOn = m_failedOn[workflow];
  failedOn[target] = m_options.failedTherePenalty;
  // What fails on one target after another is at fault itself.
  if (failedOn.size() > m_options.failuresSuspect) return;
  Score& score = m_targets[target];
  score.cautionUntil = now + m_options.failureCaution;
  score.failed.insert(workflow);
  if (score.failed.size() >= m_options.failuresSuspect) suspectNow(score, now);
}

void TargetHealth::stalled(const std::string& target, Time now) { suspectNow(m_targets[target], now); }

void TargetHealth::refused(const std::string& target, Time now) {
  m_targets[target].pausedUntil = now + m_options.refusalPause;
}

bool TargetHealth::suspect(const std::string& target, Time now) const {
  const auto found = m_targets.find(target);
  return found != m_targets.end() && now < found->second.suspectUntil;
}

bool TargetHealth::paused(const std::string& target, Time now) const {
  const auto found = m_targets.find(target);
  return found != m_targets.end() && now < found->second.pausedUntil;
}

}  // namespace courseloom
