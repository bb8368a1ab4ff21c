// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <string>

#include "generated/state.pb.h"

namespace courseloom {

/** \class RunTimes
 * \brief Expected run times of a queue's tasks, learnt from the estimates and the run times of its runs.
 *
 * A straight line is fitted by least squares to the logarithms of the run times over those of the estimates. If a
 * queue's estimates are right, they are returned unchanged; if they do not correlate with the run times, the queue's
 * mean run time is returned. Until enough runs have ended, the estimate itself has the largest weight. \sa
 * RunTimeEstimator
 */
class RunTimes {
 public:
  /** Records the run time of a task; an estimate or a run time that is not above 0 is ignored.
   * \param weight number of runs that it counts as */
  void ended(const std::string& queue, double estimateMs, double runMs, double weight = 1.0);
  /** \returns the expected run time of a task, ms; the estimate itself if no run of the queue was recorded. */
  double expectedMs(const std::string& queue, double estimateMs) const;

  /** Adds the sums of all queues to a snapshot. */
  void save(schema::StateSnapshot& snapshot) const;
  /** Replaces the sums of all queues by those of a snapshot. */
  void load(const schema::StateSnapshot& snapshot);

 private:
  /** Weighted sums over runs. x is the logarithm of the estimate, y that of the run time. */
  struct Sums {
    double count = 0.0;
    double x = 0.0;
    double y = 0.0;
    double xx = 0.0;
    double xy = 0.0;
  };
  std::map<std::string, Sums> m_queues;  ///< by queue
};

}  // namespace courseloom
