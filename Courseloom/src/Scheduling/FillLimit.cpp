// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/FillLimit.h"

#include <algorithm>
#include <cmath>

namespace courseloom {

namespace internal {
namespace {

/** \returns the number of targets that tasks need entirely. Tasks that need less than half of a target find capacity
 * on partly used targets and count as none. */
std::size_t whole_targets(std::size_t tasks, const ResourceAmounts& need, const ResourceAmounts& target) {
  if (need.accelerators <= 0 || 2 * need.accelerators < target.accelerators) return 0;
  const auto perTarget = static_cast<std::size_t>(std::max<std::int64_t>(1, target.accelerators / need.accelerators));
  return tasks / perTarget;
}

}  // namespace
}  // namespace internal

void FillLimit::update(const std::vector<GangDemand>& gangs, double nowMs) {
  double wanted = 0.0;
  double wantedInRack = 0.0;
  m_held = 0.0;
  for (const GangDemand& gang : gangs) {
    const auto targets = static_cast<double>(gang.wholeTargets);
    wanted += targets;
    if (gang.running) m_held += targets;
    if (gang.oneRack) wantedInRack = std::max(wantedInRack, targets);
  }
  // The wall clock may step back; the peaks then stay as they are.
  const double elapsedMs = m_updatedMs == 0.0 ? 0.0 : std::max(0.0, nowMs - m_updatedMs);
  m_updatedMs = nowMs;
  updatePeak(m_peak, wanted, elapsedMs);
  updatePeak(m_rackPeak, wantedInRack, elapsedMs);
}

/** The demand is taken to be unchanged from one update to the next: while nothing waits, there are few updates. */
void FillLimit::updatePeak(Peak& peak, double wanted, double elapsedMs) const {
  if (peak.reached) elapsedMs = 0.0;
  const double decayedMs = std::min(elapsedMs, std::max(0.0, peak.heldMs + elapsedMs - m_options.holdMs));
  peak.value *= std::exp(-decayedMs / m_options.decayMs);
  peak.heldMs += elapsedMs;
  peak.reached = wanted >= peak.value;
  if (peak.reached) peak = {wanted, 0.0, true};
}

FreeTargets FillLimit::targetsToKeep(std::size_t targets, std::size_t headroom) const {
  const auto shareOf = [targets](double share) {
    return static_cast<std::size_t>(share * static_cast<double>(targets));
  };
  // Rounded to the nearest number: the decaying peak never becomes 0, so rounding up would always keep a target.
  const auto missing = static_cast<std::size_t>(std::lround(std::max(0.0, m_peak.value - m_held)));
  const std::size_t wanted = m_options.fixedShare > 0.0 ? shareOf(m_options.fixedShare) : missing;
  if (wanted == 0) return {};
  FreeTargets kept;
  kept.targets = std::min(wanted + headroom, shareOf(m_options.largestShare));
  kept.inRack = std::min(static_cast<std::size_t>(std::lround(m_rackPeak.value)), kept.targets);
  return kept;
}

bool FillLimit::appliesTo(bool gang, bool urgent, const ResourceAmounts& need, const ResourceAmounts& target,
                          double waitedMs) const {
  const bool small = need.accelerators < target.accelerators;
  return !gang && !urgent && small && waitedMs < m_options.longestWaitMs;
}

void FillLimits::update(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs,
                        const std::vector<PlannedStep>& steps, std::size_t headroom, double nowMs) {
  countTargets(targets);
  addRunning(targets, runs);
  addWaiting(steps);
  for (auto& [name, service] : m_services) {
    service.limit.update(service.gangs, nowMs);
    service.kept = service.limit.targetsToKeep(service.openTargets, headroom);
  }
}

void FillLimits::countTargets(const std::vector<PlannedTarget>& targets) {
  std::map<std::string, Service> present;
  for (const PlannedTarget& target : targets) {
    auto found = present.find(target.service);
    if (found == present.end()) {
      const auto known = m_services.find(target.service);
      const FillLimit limit = known == m_services.end() ? FillLimit(m_options) : known->second.limit;
      found = present.emplace(target.service, Service{limit, 0, {}, {}, {}}).first;
    }
    Service& service = found->second;
    if (target.open && target.capacity.accelerators > 0) ++service.openTargets;
    if (target.capacity.accelerators > service.largest.accelerators) service.largest = target.capacity;
  }
  m_services = std::move(present);
}

void FillLimits::addRunning(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs) {
  struct Gang {
    const PlannedRun* member = nullptr;
    std::size_t tasks = 0;
    bool oneRack = true;
  };
  std::map<std::string, Gang> gangs;
  for (const PlannedRun& run : runs) {
    if (run.gang.empty() || run.rank <= UrgentRank || run.stopping) continue;
    Gang& gang = gangs[run.gang];
    const PlannedRun& other = gang.member == nullptr ? run : *gang.member;
    gang.oneRack = gang.oneRack && targets[run.target].rack == targets[other.target].rack;
    gang.member = &run;
    ++gang.tasks;
  }
  for (const auto& [name, gang] : gangs) {
    Service& service = m_services.at(targets[gang.member->target].service);
    const std::size_t whole = internal::whole_targets(gang.tasks, gang.member->need, service.largest);
    // What a running gang requires is not known here. One that lies in one rack probably needs it, and without it the
    // demand in one rack would decay while the gang runs.
    service.gangs.push_back({whole, true, gang.oneRack});
  }
}

void FillLimits::addWaiting(const std::vector<PlannedStep>& steps) {
  for (const PlannedStep& step : steps) {
    if (!step.isGang() || step.isUrgent() || step.trial) continue;
    const auto found = m_services.find(step.workflow->record.service());
    if (found == m_services.end()) continue;
    const schema::StepSpec& spec = step.workflow->step(step.key.step);
    const ResourceAmounts need = resourceAmountsOf(spec);
    const std::size_t whole = internal::whole_targets(step.tasks.size(), need, found->second.largest);
    found->second.gangs.push_back({whole, false, spec.same_rack()});
  }
}

FreeTargets FillLimits::keptFor(const std::string& service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? FreeTargets() : found->second.kept;
}

std::size_t FillLimits::kept() const {
  std::size_t kept = 0;
  for (const auto& [name, service] : m_services) kept += service.kept.targets;
  return kept;
}

bool FillLimits::appliesTo(const std::string& service, bool gang, bool urgent, const ResourceAmounts& need,
                           double waitedMs) const {
  const auto found = m_services.find(service);
  if (found == m_services.end() || found->second.kept.targets == 0) return false;
  return found->second.limit.appliesTo(gang, urgent, need, found->second.largest, waitedMs);
}

}  // namespace courseloom
