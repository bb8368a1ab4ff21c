// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "generated/state.pb.h"

namespace courseloom {

/** \class RunTimeDistribution
 * \brief Distribution of run times of one queue, relative to the expected run time of each run.
 *
 * Most runs end near their expected time, but a few in a hundred take several times as long. The remaining time is
 * therefore conditional on the elapsed time: a single expected end would leave a run that is past it a remaining time
 * of zero. Beyond the recorded runs, the tail is that of a Pareto distribution: the longer a run has taken, the longer
 * it is expected to take.
 */
class RunTimeDistribution {
 public:
  /** Number of newest runs of each queue that are kept. */
  static constexpr std::size_t Kept = 256;
  /** Number of recorded runs below which the default distribution is used. */
  static constexpr std::size_t MinRecorded = 20;

  /** Records an ended run. \param ratio its run time divided by its expected run time; ignored unless above 0 */
  void record(double ratio);
  /** \returns a quantile of the remaining time of a run, as a multiple of its expected run time, given the elapsed
   * multiple. With fewer than MinRecorded recorded runs a default heavy-tailed distribution is used. Never negative. */
  double remainingRatio(double passedRatio, double quantile) const;
  /** \returns the mean of the remaining time, as a multiple of the expected run time. */
  double meanRemainingRatio(double passedRatio) const;
  /** \returns the probability that the slowest of `width` runs takes longer than a multiple of the expected time. */
  double slowestExceeds(double ratio, std::size_t width) const;

  /** \returns the recorded ratios, oldest first. */
  std::vector<float> ratios() const;

 private:
  /** \returns the ratios that the results are based on, in ascending order: the recorded ones, or the default ones. */
  const std::vector<float>& sorted() const;

  std::vector<float> m_ratios;  ///< in the order of recording; a ring buffer once it is full
  std::vector<float> m_sorted;  ///< the same in ascending order
  std::size_t m_next = 0;       ///< position of the oldest one in the ring buffer
};

/** \class RunTimeDistributions
 * \brief The run time distributions of all queues. Part of the replicated state.
 */
class RunTimeDistributions {
 public:
  /** Largest number of queues; runs of further queues are not recorded. */
  static constexpr std::size_t MaxQueues = 1024;

  /** Records an ended run of a queue. \sa RunTimeDistribution::record() */
  void record(const std::string& queue, double ratio);
  /** Removes the distributions of all queues that a configuration does not contain. */
  void keepOnly(const schema::QueueConfiguration& configuration);
  /** \returns the distribution of a queue; the default one if no run was recorded. */
  const RunTimeDistribution& of(const std::string& queue) const;

  /** Adds the recorded ratios of all queues to a snapshot. */
  void save(schema::StateSnapshot& snapshot) const;
  /** Replaces the recorded ratios of all queues by those of a snapshot. */
  void load(const schema::StateSnapshot& snapshot);

 private:
  std::map<std::string, RunTimeDistribution> m_queues;
};

}  // namespace courseloom
