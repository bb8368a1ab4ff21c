// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/FairShare.h"

#include <algorithm>

namespace courseloom {

namespace internal {
namespace {

constexpr double MilliPerCore = 1000.0;
/** Share of a capacity below which a use never counts as notable: less than one accelerator in 100,000. */
constexpr double LeastShare = 1e-5;

/** \returns the mean share of a capacity that was used over a time; 0 if there is no capacity. */
double share_of(double use, double capacity, double windowS) {
  return capacity > 0.0 ? use / (capacity * windowS) : 0.0;
}

double dominant_share(const WorkspaceDemand& demand, const ResourceAmounts& capacity, double windowS) {
  ResourceTime use = demand.past;
  use.add(demand.active);
  const double cores = static_cast<double>(capacity.cpuMilli) / MilliPerCore;
  return std::max({share_of(use.acceleratorSeconds, static_cast<double>(capacity.accelerators), windowS),
                   share_of(use.cpuSeconds, cores, windowS),
                   share_of(use.memoryMbSeconds, static_cast<double>(capacity.memoryMb), windowS)});
}

bool waits_or_runs(const WorkspaceDemand& demand) {
  const ResourceTime& active = demand.active;
  return demand.waiting || active.acceleratorSeconds > 0.0 || active.cpuSeconds > 0.0 || active.memoryMbSeconds > 0.0;
}

}  // namespace
}  // namespace internal

FairShare::FairShare(const std::map<std::string, ResourceAmounts>& capacities, const WorkspaceDemands& demands,
                     double windowS, FairShareOptions options)
    : m_options(options) {
  for (const auto& [service, workspaces] : demands) {
    const auto capacity = capacities.find(service);
    if (capacity == capacities.end()) continue;
    double used = 0.0;
    std::map<std::string, double> shares;
    for (const auto& [workspace, demand] : workspaces) {
      if (demand.waiting) m_waiting[service].insert(workspace);
      shares[workspace] = internal::dominant_share(demand, capacity->second, windowS);
      used += shares[workspace];
    }
    const double notable =
        std::max(options.notableUse * used / static_cast<double>(shares.size()), internal::LeastShare);
    double weights = 0.0;
    for (const auto& [workspace, demand] : workspaces) {
      const bool competes = internal::waits_or_runs(demand) || shares[workspace] >= notable;
      if (competes) weights += demand.weight;
    }
    const double equalShare = std::max(used, m_options.leastUse) / std::max(weights, 1.0);
    for (const auto& [workspace, demand] : workspaces) {
      m_relativeShares[{service, workspace}] = shares[workspace] / demand.weight / equalShare;
    }
  }
}

double FairShare::relativeShare(const std::string& workspace, const std::string& service) const {
  const auto found = m_relativeShares.find({service, workspace});
  return found == m_relativeShares.end() ? 0.0 : found->second;
}

bool FairShare::othersWait(const std::string& workspace, const std::string& service) const {
  const auto waiting = m_waiting.find(service);
  return waiting != m_waiting.end() && waiting->second.size() > waiting->second.count(workspace);
}

unsigned FairShare::bandOf(const std::string& workspace, const std::string& service) const {
  if (!othersWait(workspace, service)) return 0;
  const double share = relativeShare(workspace, service);
  unsigned band = 0;
  for (double limit = m_options.burst; band < MaxBand && share > limit; limit *= 2.0) ++band;
  return band;
}

std::vector<ShareReview::Change> ShareReview::update(const FairShare& shares) {
  std::vector<Change> changes;
  std::set<std::pair<std::string, std::string>> over;
  for (const auto& [key, share] : shares.relativeShares()) {
    const bool wasOver = m_over.count(key) > 0;
    const bool inBand = shares.bandOf(key.second, key.first) > 0;
    const bool remains = wasOver && (share > 1.0 || !shares.othersWait(key.second, key.first));
    const bool isOver = inBand || remains;
    if (isOver) over.insert(key);
    if (isOver != wasOver) changes.push_back({key.first, key.second, isOver, share});
  }
  for (const auto& key : m_over) {
    const bool gone = shares.relativeShares().count(key) == 0;
    if (gone) changes.push_back({key.first, key.second, false, 0.0});
  }
  m_over = std::move(over);
  return changes;
}

}  // namespace courseloom
