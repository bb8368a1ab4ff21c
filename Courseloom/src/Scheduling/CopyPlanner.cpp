// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/CopyPlanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace courseloom {

namespace internal {
namespace {

/** \class CopyBudget
 * \brief The number of copies and the free capacity that one pass may still use for copies.
 */
class CopyBudget {
 public:
  CopyBudget(const CopyPlannerOptions& options, const std::vector<PlannedTarget>& targets, const TargetCapacities& free,
             std::size_t activeRuns, std::size_t activeCopies) {
    const auto share = static_cast<std::size_t>(options.shareOfRuns * static_cast<double>(activeRuns));
    const std::size_t allowed = options.shareOfRuns > 0.0 ? std::max(options.alwaysAllowed, share) : 0;
    m_copies = allowed - std::min(allowed, activeCopies);
    for (std::size_t i = 0; i < targets.size(); ++i) {
      if (targets[i].open) addShare(options.shareOfFreeCapacity, free[i]);
    }
  }

  bool allows(const ResourceAmounts& need) const { return m_copies > 0 && m_capacity.holds(need); }
  void use(const ResourceAmounts& need) {
    --m_copies;
    m_capacity.subtract(need);
  }
  bool exhausted() const { return m_copies == 0; }

 private:
  void addShare(double share, const ResourceAmounts& free) {
    const auto part = [share](std::int64_t amount) {
      return static_cast<std::int64_t>(share * static_cast<double>(std::max<std::int64_t>(0, amount)));
    };
    // Shares of single targets would round to 0 where a target has few free accelerators, so these are summed first.
    m_freeAccelerators += std::max<std::int64_t>(0, free.accelerators);
    m_capacity.cpuMilli += part(free.cpuMilli);
    m_capacity.memoryMb += part(free.memoryMb);
    m_capacity.accelerators = part(m_freeAccelerators);
  }

  std::size_t m_copies = 0;
  std::int64_t m_freeAccelerators = 0;
  ResourceAmounts m_capacity;
};

/** Smallest difference of two slowdowns that counts; the same as the slowdown from which a single target counts as
 * slow. Without it, the noise of the estimates would exclude nearly all targets as slower than the one with the
 * smallest estimate. */
constexpr double MinNotableDifference = 0.1;

/** \returns whether a target is slower than another one by more than the uncertainty of the estimates. */
bool is_known_slower(const TargetSlowdown& target, const TargetSlowdown& than) {
  return target.slowness - than.slowness > std::max(MinNotableDifference, std::hypot(target.error, than.error));
}

bool waits_for_same_capacity(const CopyCandidate& run, const std::vector<PlannedTarget>& targets,
                             const std::vector<WaitingWork>& waiting) {
  return std::any_of(waiting.begin(), waiting.end(), [&](const WaitingWork& work) {
    return work.rank <= run.rank && work.service == targets[run.target].service;
  });
}

}  // namespace
}  // namespace internal

bool CopyPlanner::isSlow(const CopyCandidate& run) const {
  return run.ranMs >= m_options.shortestRunMs && run.freshMs > 0.0 && run.remainingMs > m_options.margin * run.freshMs;
}

std::vector<const CopyCandidate*> CopyPlanner::chooseRuns(const std::vector<CopyCandidate>& candidates,
                                                          const std::vector<PlannedTarget>& targets,
                                                          const std::vector<WaitingWork>& waiting) const {
  std::vector<const CopyCandidate*> chosen;
  for (const CopyCandidate& run : candidates) {
    if (isSlow(run) && !internal::waits_for_same_capacity(run, targets, waiting)) chosen.push_back(&run);
  }
  std::stable_sort(chosen.begin(), chosen.end(), [](const CopyCandidate* a, const CopyCandidate* b) {
    return std::tuple(a->rank, b->remainingMs - b->freshMs) < std::tuple(b->rank, a->remainingMs - a->freshMs);
  });
  return chosen;
}

/** Prefers targets where nothing failed recently, then fast ones, then the fullest ones, so that whole targets stay
 * free. */
std::optional<std::size_t> CopyPlanner::chooseTarget(const CopyCandidate& run,
                                                     const std::vector<PlannedTarget>& targets,
                                                     const TargetCapacities& free) const {
  const PlannedTarget& own = targets[run.target];
  const auto costOf = [&](std::size_t i) {
    return std::tuple(targets[i].penalty, targets[i].slowdown.slowness, free[i].accelerators, free[i].cpuMilli, i);
  };
  std::optional<std::size_t> best;
  for (const std::size_t i : run.eligible) {
    const PlannedTarget& target = targets[i];
    const bool other = i != run.target && target.agent != own.agent && target.id != own.id;
    if (!other || !target.open || target.single || target.service != own.service) continue;
    if (!free[i].holds(run.need) || internal::is_known_slower(target.slowdown, own.slowdown)) continue;
    const double copyMs = run.freshMs * std::exp(target.slowdown.slowness);
    if (run.remainingMs <= m_options.margin * copyMs) continue;
    if (!best || costOf(i) < costOf(*best)) best = i;
  }
  return best;
}

std::vector<CopyPlanner::Copy> CopyPlanner::plan(const std::vector<CopyCandidate>& candidates,
                                                 const std::vector<PlannedTarget>& targets, TargetCapacities free,
                                                 const std::vector<WaitingWork>& waiting, std::size_t activeRuns,
                                                 std::size_t activeCopies) const {
  internal::CopyBudget budget(m_options, targets, free, activeRuns, activeCopies);
  std::vector<Copy> copies;
  for (const CopyCandidate* run : chooseRuns(candidates, targets, waiting)) {
    if (budget.exhausted()) break;
    if (!budget.allows(run->need)) continue;
    const std::optional<std::size_t> target = chooseTarget(*run, targets, free);
    if (!target) continue;
    free[*target].subtract(run->need);
    budget.use(run->need);
    copies.push_back({run->run, *target});
  }
  return copies;
}

}  // namespace courseloom
