// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/ResourceAmounts.h"
#include "Courseloom/src/Scheduling/RunPlan.h"

namespace courseloom {

/** \class AdmissionOptions
 * \brief Margins and limits for the admission of new workflows.
 */
struct AdmissionOptions {
  /** A workflow is rejected only if its expected end exceeds the time after which its result has no value by this
   * factor, since a forecast may be too long or too short and a rejected workflow is lost for certain. */
  double margin = 1.5;
  /** Largest share of the backlog of one rank that one workspace may hold while others wait. */
  double workspaceShare = 0.5;
  /** Backlog, as a time at full capacity, below which workspaceShare is not enforced, ms. */
  double freeBacklogMs = 2000.0;
  std::uint32_t shortestRetryMs = 200;
  std::uint32_t longestRetryMs = 5000;
};

/** \class BacklogEntry
 * \brief Accepted work of one rank and workspace at one service that has not ended.
 */
struct BacklogEntry {
  Rank rank = UrgentRank;
  std::string workspace;
  double work = 0.0;  ///< remaining accelerator-milliseconds; core-milliseconds where no accelerators are needed
};

/** \class Submission
 * \brief A workflow that a caller submits.
 */
struct Submission {
  Rank rank = UrgentRank;  ///< GuaranteedRank if it fits into what is left of its workspace's guarantee
  std::string workspace;
  double work = 0.0;          ///< as in BacklogEntry
  double criticalPathMs = 0;  ///< run time if it started immediately, ms
  double usefulMs = 0;        ///< time from now after which its result has no value, ms; 0: never
};

/** \class AdmissionVerdict
 * \brief Whether a workflow is accepted, and when to retry if not.
 */
struct AdmissionVerdict {
  /** Reason of a rejection. */
  enum class Reason : std::uint8_t { Accepted, TooLate, WorkspaceLimit };
  Reason reason = Reason::Accepted;
  double expectedStartMs = 0.0;    ///< from now, ms
  std::uint32_t retryAfterMs = 0;  ///< time until the next attempt after a rejection, ms
};

/** \class AdmissionForecast
 * \brief Decides whether a new workflow can still end while its result has a value for its caller.
 *
 * It addresses lasting overload, in which work that cannot end in time takes capacity from work that can. Guaranteed
 * work is always accepted. The class has no clock and no random source.
 */
class AdmissionForecast {
 public:
  explicit AdmissionForecast(AdmissionOptions options = {}) : m_options(options) {}
  /** \param backlog accepted work at the service, for its open targets \param capacity accelerators (or cores) of the
   * open targets \param spread random value from 0 to 1, so that rejected callers do not all return at
   * the same time */
  AdmissionVerdict decide(const Submission& submission, const std::vector<BacklogEntry>& backlog, double capacity,
                          double spread) const;

 private:
  AdmissionOptions m_options;
};

}  // namespace courseloom
