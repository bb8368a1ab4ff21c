// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Routing/Router.h"

#include <algorithm>
#include <cmath>

namespace courseloom {

namespace internal {
namespace {
constexpr std::int64_t MaxBudget = 10000;  ///< a hundred retries, in hundredths of a retry
constexpr std::int64_t RetryCost = 100;
constexpr unsigned MaxDoublings = 4;
}  // namespace
}  // namespace internal

bool Router::isEjected(const Target& target, Time now) {
  return now.time_since_epoch().count() < target.ejectedUntil.load(std::memory_order_relaxed);
}

double Router::loadOf(const Target& target, Time now) const {
  const double age =
      static_cast<double>(now.time_since_epoch().count() - target.reportedAt.load(std::memory_order_relaxed));
  const double weight = std::exp2(-age / static_cast<double>(m_options.loadHalfLife.count()));
  const double own = target.inFlight.load(std::memory_order_relaxed);
  // The report includes the requests of this entry. Their exact number is a lower bound of the load.
  const double reported = target.reportedLoad.load(std::memory_order_relaxed) * weight;
  return std::max(own, reported) / target.slots.load(std::memory_order_relaxed);
}

TargetPointer Router::pick(const std::vector<TargetPointer>& targets, const std::vector<std::string>& tried, Time now,
                           std::uint64_t random) {
  std::vector<const TargetPointer*> usable;
  std::vector<const TargetPointer*> ejected;
  for (const TargetPointer& target : targets) {
    const bool wasTried = std::find(tried.begin(), tried.end(), target->name) != tried.end();
    if (wasTried || target->leaving.load(std::memory_order_relaxed)) continue;
    (isEjected(*target, now) ? ejected : usable).push_back(&target);
  }
  // If all targets are ejected, trying one is better than refusing the request.
  if (usable.empty()) usable = ejected;
  if (usable.empty()) return nullptr;
  const std::size_t count = usable.size();
  if (m_options.choice == Choice::RoundRobin) return *usable[m_turn.fetch_add(1, std::memory_order_relaxed) % count];
  const TargetPointer& first = *usable[(random & 0xffffffffU) % count];
  if (count == 1 || m_options.choice == Choice::Random) return first;
  const std::size_t shift = 1 + (random >> 32U) % (count - 1);
  const TargetPointer& second = *usable[((random & 0xffffffffU) % count + shift) % count];
  return loadOf(*second, now) < loadOf(*first, now) ? second : first;
}

bool Router::onOutcome(const std::vector<TargetPointer>& targets, Target& target, Outcome outcome, Time now) {
  if (outcome != Outcome::Failed) {
    target.failuresInRow.store(0, std::memory_order_relaxed);
    if (outcome == Outcome::Answered) target.ejections.store(0, std::memory_order_relaxed);
    return false;
  }
  const unsigned failures = target.failuresInRow.fetch_add(1, std::memory_order_relaxed) + 1;
  if (!m_options.ejection || failures < m_options.ejectAfterFailures || isEjected(target, now)) return false;
  std::size_t ejectedCount = 0;
  for (const TargetPointer& other : targets) ejectedCount += isEjected(*other, now) ? 1 : 0;
  if ((ejectedCount + 1) * 100 > targets.size() * m_options.maxEjectedPercent) return false;
  const unsigned doublings = std::min(target.ejections.fetch_add(1, std::memory_order_relaxed), internal::MaxDoublings);
  const Time until = now + m_options.ejectFor * (1 << doublings);
  target.ejectedUntil.store(until.time_since_epoch().count(), std::memory_order_relaxed);
  target.failuresInRow.store(0, std::memory_order_relaxed);
  return true;
}

void Router::onFirstTry() {
  const std::int64_t budget = m_budget.fetch_add(m_options.retryBudgetPercent, std::memory_order_relaxed);
  if (budget > internal::MaxBudget) m_budget.store(internal::MaxBudget, std::memory_order_relaxed);
}

bool Router::acquireRetry() {
  std::int64_t budget = m_budget.load(std::memory_order_relaxed);
  while (budget >= internal::RetryCost) {
    if (m_budget.compare_exchange_weak(budget, budget - internal::RetryCost, std::memory_order_relaxed)) return true;
  }
  return false;
}

}  // namespace courseloom
