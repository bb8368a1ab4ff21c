// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <string>

#include "generated/state.pb.h"

namespace courseloom {

/** \class RunTimes
 * \brief Run times to be expected of a queue's tasks, learnt from its estimates and how long its runs took.
 *
 * A straight line is fitted to the logarithms of run times over those of estimates, by least squares: a queue whose
 * estimates are right keeps them, one whose estimates say little has its mean run time expected. Until enough runs have
 * ended the estimate itself counts most.
 * \sa RunOutlook
 */
class RunTimes {
 public:
  /** Takes the run time of a task in. \param weight runs that it counts as */
  void ended(const std::string& queue, double estimateMs, double tookMs, double weight = 1.0);
  /** \returns the run time to be expected, ms. */
  double expectedMs(const std::string& queue, double estimateMs) const;

  void save(schema::StateSnapshot& snapshot) const;
  void load(const schema::StateSnapshot& snapshot);

 private:
  /** Sums over logarithms: x of the estimate, y of the run time. */
  struct Sums {
    double count = 0.0;
    double x = 0.0;
    double y = 0.0;
    double xx = 0.0;
    double xy = 0.0;
  };
  std::map<std::string, Sums> m_queues;
};

}  // namespace courseloom
