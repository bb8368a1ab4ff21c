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

const std::set<std::string>& TargetHealth::failedOn(const std::string& workflow) const {
  static const std::set<std::string> noTargets;
  const auto found = m_failedOn.find(workflow);
  return found == m_failedOn.end() ? noTargets : found->second;
}

void TargetHealth::markSuspect(Score& score, Time now) {
  score.suspicion = score.suspicion == Duration(0) ? m_options.firstSuspicion : score.suspicion * 2;
  score.suspicion = std::min(score.suspicion, m_options.longestSuspicion);
  score.suspectUntil = now + score.suspicion;
}

void TargetHealth::clearSuspicion(Score& score) {
  score.suspicion = Duration(0);
  score.suspectUntil = Time{};
}

/** Stops counting the failures of a workflow that is itself at fault. */
void TargetHealth::withdrawFailures(const std::string& workflow) {
  for (const std::string& target : m_failedOn[workflow]) {
    Score& score = m_targets[target];
    score.failed.erase(workflow);
    if (score.stalled || score.failed.size() >= m_options.failuresUntilSuspect) continue;
    clearSuspicion(score);
  }
}

void TargetHealth::ended(const std::string& target, const std::string& workflow, schema::RunEndKind kind, Time now) {
  if (kind == schema::RunDone) {
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) return;
    found->second.failed.clear();
    found->second.stalled = false;
    clearSuspicion(found->second);
    found->second.cautionUntil = Time{};
    found->second.doubtedUntil = Time{};
    return;
  }
  if (kind == schema::RunVoided) return refused(target, now);
  if (kind != schema::RunFailed) return;
  std::set<std::string>& failedOn = m_failedOn[workflow];
  failedOn.insert(target);
  if (failedOn.size() > m_options.failuresUntilSuspect) return withdrawFailures(workflow);
  Score& score = m_targets[target];
  score.cautionUntil = now + m_options.failureCaution;
  score.failed.insert(workflow);
  score.doubtedUntil = now + m_options.doubtTime;
  // Runs that were started together often fail together. Failures during a suspicion therefore do not prolong it.
  const bool prolongs = score.failed.size() >= m_options.failuresUntilSuspect && now >= score.suspectUntil;
  if (prolongs) markSuspect(score, now);
}

void TargetHealth::stalled(const std::string& target, Time now) {
  m_targets[target].stalled = true;
  m_targets[target].doubtedUntil = now + m_options.doubtTime;
  markSuspect(m_targets[target], now);
}

void TargetHealth::refused(const std::string& target, Time now) {
  m_targets[target].pausedUntil = now + m_options.refusalPause;
}

bool TargetHealth::suspect(const std::string& target, Time now) const {
  const auto found = m_targets.find(target);
  return found != m_targets.end() && now < found->second.suspectUntil;
}

bool TargetHealth::onProbation(const std::string& target, Time now) const {
  const auto found = m_targets.find(target);
  if (found == m_targets.end() || found->second.suspicion == Duration(0)) return false;
  const Time until = found->second.suspectUntil;
  return now >= until && now < until + m_options.longestProbation;
}

bool TargetHealth::tooManySuspect(const std::vector<std::string>& targets, Time now) const {
  const auto suspects =
      std::count_if(targets.begin(), targets.end(), [&](const std::string& target) { return suspect(target, now); });
  return static_cast<double>(suspects) > m_options.maxSuspectShare * static_cast<double>(targets.size());
}

std::set<std::string> TargetHealth::doubted(Time now) const {
  std::set<std::string> found;
  for (const auto& [target, score] : m_targets) {
    if (now < score.doubtedUntil && (score.stalled || !score.failed.empty())) found.insert(target);
  }
  return found;
}

bool TargetHealth::paused(const std::string& target, Time now) const {
  const auto found = m_targets.find(target);
  return found != m_targets.end() && now < found->second.pausedUntil;
}

}  // namespace courseloom
