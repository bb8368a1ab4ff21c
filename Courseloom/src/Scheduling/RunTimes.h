// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Courseloom/src/Scheduling/RunLedger.h"

namespace courseloom {

/** \class RunTimes
 * \brief Run times to be expected of a queue's tasks, learnt from its estimates and how long its runs took.
 *
 * A straight line is fitted to the logarithms of run times over those of estimates, by least squares: a queue whose
 * estimates are right keeps them, one whose estimates say little has its mean run time expected. Until enough runs have
 * ended the estimate itself counts most.
 */
class RunTimes {
 public:
  /** Takes the run time of a task that ran from its beginning to its end in. */
  void ended(const std::string& queue, double estimateMs, double tookMs);
  /** \returns the run time to be expected, ms. */
  double expectedMs(const std::string& queue, double estimateMs) const;

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

/** \returns the longest time that a member of a gang's run still needs, ms: the gang ends with its slowest member.
 * \param runs all active runs \param member any member \param count members that the gang has
 * \param remainingMs tells how long one run still needs, ms */
double gangRemainingMs(const std::map<RunKey, RunTrack>& runs, const RunKey& member, std::uint32_t count,
                       const std::function<double(const RunTrack&)>& remainingMs);

/** \returns the time that a run still needs by its own pace, ms, or nothing while too little of it was seen. */
std::optional<double> remainingByPaceMs(const RunTrack& track, Time now);

}  // namespace courseloom
