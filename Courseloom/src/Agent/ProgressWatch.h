// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <vector>

#include "Courseloom/src/Scheduling/RunLedger.h"

namespace courseloom {

/** \class ProgressWatch
 * \brief Measures for how long each run on a target has made no progress.
 *
 * The agent measures this because it sees each run at every poll, while the leader sees it only with each report. The
 * caller passes the current time; the class does not read a clock.
 */
class ProgressWatch {
 public:
  /** Evaluates the result of a poll and sets still_ms in each row: the time without progress, ms.
   * \returns whether a run has reached the time without progress at which it is reported to the leader at once */
  bool note(std::vector<schema::RunReport>& running, Time now);

 private:
  struct Progress {
    std::uint32_t percent = 0;  ///< progress of the run
    /** When the run was first seen at this percentage, moved later by the part of each gap between polls that exceeds
     * MaxPollGap, 1 s. */
    Time since{};
    bool reported = false;  ///< the leader was notified of the lack of progress
  };
  std::map<RunKey, Progress> m_progress;  ///< of the runs in the newest poll
  Time m_polledAt{};                      ///< time of the newest poll; zero before the first
};

}  // namespace courseloom
