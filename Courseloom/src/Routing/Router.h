// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <string>
#include <vector>

#include "Courseloom/src/Routing/Target.h"

namespace courseloom {

/** How targets are chosen; all but TwoSampled are baselines for benches. */
enum class Choice : std::uint8_t { TwoSampled, Random, RoundRobin };

/** \class RouterOptions
 * \brief Policy of the choice of target, with switches for benches.
 */
struct RouterOptions {
  Choice choice = Choice::TwoSampled;
  unsigned ejectAfterFailures = 3;
  Duration ejectFor = milliseconds(2000);
  unsigned maxEjectedPercent = 50;
  unsigned retryBudgetPercent = 20;
  Duration loadHalfLife = milliseconds(200);  ///< age at which reported load counts for half
  bool ejection = true;
};

/** What came of a request sent to a target. */
enum class Outcome : std::uint8_t { Answered, Refused, Failed };

/** \class Router
 * \brief Chooses targets, ejects failing ones, and keeps the retry budget.
 *
 * Of two sampled targets the less loaded is taken (Mitzenmacher, "The power of two choices in randomized load
 * balancing", 2001), by requests in flight from here plus the agent's last report, which counts less the older it is.
 * Thread-safe by atomics; the caller gives time and random numbers.
 */
class Router {
 public:
  explicit Router(RouterOptions options) : m_options(options) {}

  /** Chooses a target. \param tried targets already tried for this request \returns null if there is none */
  TargetPointer pick(const std::vector<TargetPointer>& targets, const std::vector<std::string>& tried, Time now,
                     std::uint64_t random);
  /** Takes the outcome of a request in. \returns whether the target was ejected by it */
  bool onOutcome(const std::vector<TargetPointer>& targets, Target& target, Outcome outcome, Time now);
  /** Counts a first try, which earns retries. */
  void onFirstTry();
  /** \returns whether the budget allows a retry now, and takes it. */
  bool takeRetry();

  /** \returns the load by which targets are compared, per slot. */
  double loadOf(const Target& target, Time now) const;

 private:
  static bool isEjected(const Target& target, Time now);

  RouterOptions m_options;
  std::atomic<std::int64_t> m_budget{1000};  ///< hundredths of a retry
  std::atomic<std::uint64_t> m_turn{0};
};

}  // namespace courseloom
