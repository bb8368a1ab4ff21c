// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/TargetHealth.h"

#include <algorithm>

namespace courseloom {

void TargetHealth::clear() {
  m_targets.clear();
  m_failedOn.clear();
  m_voidedOn.clear();
}

void TargetHealth::forget(const std::string& workflow) {
  m_failedOn.erase(workflow);
  std::erase_if(m_voidedOn, [&workflow](const auto& entry) { return entry.first.first == workflow; });
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

void TargetHealth::clearVoids(Score& score) {
  score.voidedStarts.clear();
  score.closedBy.clear();
  score.closedUntil = Time{};
  score.closure = Duration(0);
}

std::optional<Duration> TargetHealth::voided(const VoidedStart& start, Time now) {
  m_voidedOn[start.step][start.target] = now + m_options.voidAvoidance;
  if (!m_options.voidBackoff) return std::nullopt;
  Score& score = m_targets[start.target];
  // Starts that were ordered before the closure do not prolong it.
  if (now < score.closedUntil || start.start == score.closedBy) return std::nullopt;
  score.voidedStarts.insert(start.start);
  const bool closedBefore = score.closure > Duration(0);
  if (!closedBefore && score.voidedStarts.size() < m_options.voidsUntilClosed) return std::nullopt;
  score.closure = closedBefore ? std::min(2 * score.closure, m_options.longestVoidClosure) : m_options.firstVoidClosure;
  score.closedUntil = now + score.closure;
  score.closedBy = start.start;
  score.voidedStarts.clear();
  return score.closure;
}

bool TargetHealth::began(const std::string& target) {
  const auto found = m_targets.find(target);
  if (found == m_targets.end()) return false;
  const bool closedBefore = found->second.closure > Duration(0);
  clearVoids(found->second);
  return closedBefore;
}

bool TargetHealth::countsVoids(const std::string& target) const {
  const auto found = m_targets.find(target);
  if (found == m_targets.end()) return false;
  return !found->second.voidedStarts.empty() || found->second.closure > Duration(0);
}

bool TargetHealth::closedByVoids(const std::string& target, Time now) const {
  const auto found = m_targets.find(target);
  return found != m_targets.end() && now < found->second.closedUntil;
}

bool TargetHealth::onVoidProbation(const std::string& target, Time now) const {
  const auto found = m_targets.find(target);
  if (found == m_targets.end() || found->second.closure == Duration(0)) return false;
  const Time until = found->second.closedUntil;
  return now >= until && now < until + m_options.longestProbation;
}

std::size_t TargetHealth::targetsClosedByVoids(Time now) const {
  return static_cast<std::size_t>(std::count_if(m_targets.begin(), m_targets.end(),
                                                [now](const auto& entry) { return now < entry.second.closedUntil; }));
}

std::set<std::string> TargetHealth::voidedOn(const std::pair<std::string, StepKey>& step, Time now) const {
  std::set<std::string> targets;
  const auto found = m_voidedOn.find(step);
  if (found == m_voidedOn.end()) return targets;
  for (const auto& [target, until] : found->second) {
    if (now < until) targets.insert(target);
  }
  return targets;
}

void TargetHealth::stalled(const std::string& target, Time now) {
  Score& score = m_targets[target];
  score.stalled = true;
  score.doubtedUntil = now + m_options.doubtTime;
  // All runs of a target that hangs stall together. Stalls during a suspicion therefore do not prolong it.
  if (now >= score.suspectUntil) markSuspect(score, now);
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
  const auto suspects = std::count_if(targets.begin(), targets.end(), [&](const std::string& target) {
    return suspect(target, now) || closedByVoids(target, now);
  });
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
