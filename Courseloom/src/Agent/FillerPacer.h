// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Courseloom/src/Scheduling/ResourceAmounts.h"
#include "Courseloom/src/Scheduling/RunLedger.h"

namespace courseloom {

/** \class RunTraits
 * \brief Properties of a run by which an agent shares its target among runs.
 */
struct RunTraits {
  bool filler = false;                ///< uses only resources that other runs leave unused
  std::uint32_t latencyTargetMs = 0;  ///< tail latency that a serving run must not exceed, ms; 0 for none
  ResourceAmounts need;               ///< the run's demand on its target
};

/** \class PaceChange
 * \brief A new pace for a run: the share of its full speed at which it works, percent.
 */
struct PaceChange {
  RunKey run;
  std::uint32_t percent = 100;
};

/** \class FillerPacerOptions
 * \brief Thresholds for slowing fillers down and speeding them up, as shares of a serving run's latency target.
 */
struct FillerPacerOptions {
  double slowDownAbove = 0.9;             ///< a tail latency above this share halves the pace of all fillers
  double speedUpBelow = 0.65;             ///< all tail latencies below this share raise the pace of all fillers
  std::uint32_t stepPercent = 10;         ///< by how much one change raises a pace
  std::uint32_t minPercent = 5;           ///< a pace that would fall below this becomes 0: the filler stops working
  Duration interval = milliseconds(600);  ///< minimum time between changes; tails cover the last half second
};

/** \class FillerPacer
 * \brief Sets the pace of the fillers on one target by the tail latencies of the serving runs there: additive increase,
 * multiplicative decrease (Chiu and Jain, 1989).
 *
 * A high tail latency halves the pace at once; low ones raise it again in steps. The class uses no clock and does no
 * input or output.
 */
class FillerPacer {
 public:
  explicit FillerPacer(FillerPacerOptions options = {}) : m_options(options) {}

  /** \param rows running runs as the target reports them \param traits properties of the known runs; others are ignored
   * \returns the changes to send to the target */
  std::vector<PaceChange> decide(const std::vector<schema::RunReport>& rows, const std::map<RunKey, RunTraits>& traits,
                                 Time now);
  /** \returns whether fillers and serving runs share the target, so that it has to be polled more often. */
  static bool isShared(const std::vector<schema::RunReport>& rows, const std::map<RunKey, RunTraits>& traits);

 private:
  std::uint32_t nextPercent(std::uint32_t percent, double worstTail) const;

  FillerPacerOptions m_options;
  std::map<RunKey, std::uint32_t> m_percents;  ///< paces of the fillers paced so far; others work at 100
  Time m_changed{};                            ///< when a pace was last changed; zero before the first change
};

}  // namespace courseloom
