// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace courseloom {

/** \class RunTimeDistribution
 * \brief Distribution of run times of one queue, relative to the expected run time of each run.
 *
 * Most runs end near their expected time, but a few in a hundred take several times as long. The conditional remaining
 * time of a run that is past its expected end shows this, where a single expected end would stay at zero.
 */
class RunTimeDistribution {
 public:
  /** Number of newest runs of each queue that are kept. */
  static constexpr std::size_t Kept = 256;

  /** Records an ended run. \param ratio its run time divided by its expected run time; above 0 */
  void record(double ratio);
  /** \returns a quantile of the remaining time of a run, as a multiple of its expected run time, given the elapsed
   * multiple. With fewer than 20 recorded runs a default heavy-tailed distribution is used. Never negative. */
  double remainingRatio(double passedRatio, double quantile) const;
  /** \returns the mean of the remaining time, as a multiple of the expected run time. */
  double meanRemainingRatio(double passedRatio) const;
  /** \returns the probability that the slowest of `width` runs takes longer than a multiple of the expected time. */
  double slowestExceeds(double ratio, std::size_t width) const;

 private:
  std::vector<double> m_ratios;  ///< in the order of recording; a ring buffer once it is full
  std::size_t m_next = 0;
};

}  // namespace courseloom
