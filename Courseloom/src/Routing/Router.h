// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <string>
#include <vector>

#include "Courseloom/src/Routing/Target.h"

namespace courseloom {

/** Method of choosing a target; all but TwoSampled are baselines for benches. */
enum class Choice : std::uint8_t { TwoSampled, Random, RoundRobin };

/** \class RouterOptions
 * \brief Policy for choosing, ejecting and retrying targets, with switches for benches.
 */
struct RouterOptions {
  Choice choice = Choice::TwoSampled;
  unsigned ejectAfterFailures = 3;         ///< failures in a row that eject a target
  Duration ejectFor = milliseconds(2000);  ///< time of a first ejection; doubles with each further one, up to 16 times
  unsigned maxEjectedPercent = 50;         ///< share of a service's targets that may be ejected at the same time
  unsigned retryBudgetPercent = 20;        ///< retries allowed per hundred first attempts
  Duration loadHalfLife = milliseconds(200);  ///< age at which reported load counts for half
  bool ejection = true;                       ///< whether failing targets are ejected
};

/** Outcome of a request sent to a target. */
enum class Outcome : std::uint8_t { Answered, Refused, Failed };

/** \class Router
 * \brief Chooses targets, ejects failing ones, and keeps the retry budget.
 *
 * Of two sampled targets the router chooses the less loaded one (Mitzenmacher, "The power of two choices in randomized
 * load balancing", 2001). The load is the higher of the requests in flight from this entry and the agent's last report,
 * whose weight falls with its age. The class is thread-safe by atomics; the caller passes the time and random numbers.
 */
class Router {
 public:
  explicit Router(RouterOptions options) : m_options(options) {}

  /** Chooses a target. \param tried names of the targets already tried for this request; they are not chosen again
   * \param random random bits, all of them used \returns null if there is none */
  TargetPointer pick(const std::vector<TargetPointer>& targets, const std::vector<std::string>& tried, Time now,
                     std::uint64_t random);
  /** Applies the outcome of a request. \param targets all targets of the service \returns whether it ejected the target
   */
  bool onOutcome(const std::vector<TargetPointer>& targets, Target& target, Outcome outcome, Time now);
  /** Counts a first attempt, which adds to the retry budget. */
  void onFirstTry();
  /** \returns whether the budget allows a retry now; if so, subtracts it. */
  bool acquireRetry();

  /** \returns the load by which targets are compared: requests per slot. */
  double loadOf(const Target& target, Time now) const;

 private:
  static bool isEjected(const Target& target, Time now);

  RouterOptions m_options;
  std::atomic<std::int64_t> m_budget{1000};  ///< retry budget in hundredths of a retry
  std::atomic<std::uint64_t> m_turn{0};
};

}  // namespace courseloom
