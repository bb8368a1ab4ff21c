// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/RunPlan.h"

namespace courseloom {

/** \class AdmissionOptions
 * \brief Margins and limits for the admission of new workflows.
 */
struct AdmissionOptions {
  /** A workflow is rejected only if its expected end exceeds its limit (its objective, or the time after which its
   * result has no value) by this factor, since a forecast may be too long or too short and a rejected workflow is lost
   * for certain. */
  double margin = 1.5;
  /** Largest share of the backlog of one rank that one workspace may hold while others wait; above it the workspace has
   * no margin. */
  double workspaceShare = 0.5;
  /** Backlog, as a time at full capacity, below which workspaceShare is not enforced, ms. */
  double freeBacklogMs = 2000.0;
  /** Rejected workflows whose callers are expected to return may account for at most this share of the longest wait
   * with which a workflow is still in time. Otherwise, callers that never return would close a service to others. */
  double placesShare = 0.5;
  /** Share of the capacity that is assumed to be left for late work, however much new work arrives. */
  double leastShareLeft = 0.05;
  std::uint32_t shortestRetryMs = 200;
  std::uint32_t longestRetryMs = 5000;
};

/** \class ResourceWork
 * \brief Accelerators and cores: as a capacity, or, multiplied by ms, as an amount of work.
 */
struct ResourceWork {
  double accelerators = 0.0;
  double cores = 0.0;

  /** Adds a multiple of other amounts. */
  void add(const ResourceWork& other, double factor = 1.0) {
    accelerators += other.accelerators * factor;
    cores += other.cores * factor;
  }
};

/** \class BacklogEntry
 * \brief Accepted work of one workflow at one service that has not been started, and whose result still has a value:
 * the planner serves worthless work last. Active runs do not count: they end while the waiting work starts, so a
 * forecast that omits them is too short rather than too long.
 */
struct BacklogEntry {
  Rank rank = UrgentRank;
  std::string workspace;
  ResourceWork work;
  double objectiveMs = 0.0;  ///< as PlannedStep::objectiveMs
  bool late = false;         ///< it can no longer end by its objective: the planner serves it after work that can
};

/** \class Submission
 * \brief A workflow that a caller submits.
 */
struct Submission {
  Rank rank = UrgentRank;  ///< GuaranteedRank if it fits into what is left of its workspace's guarantee
  std::string workspace;
  ResourceWork work;
  double criticalPathMs = 0.0;       ///< run time if it started immediately, ms
  double inTimeMs = 0.0;             ///< time from now until its objective, ms
  double usefulMs = 0.0;             ///< time from now after which its result has no value, ms; 0: never
  double objectiveMs = 0.0;          ///< as PlannedStep::objectiveMs, if it were accepted now
  std::uint64_t firstArrivalMs = 0;  ///< steady clock when it was first submitted, ms
};

/** \class AcceptedInflow
 * \brief Work accepted lately at one service, as rates: amounts for each ms.
 */
struct AcceptedInflow {
  ResourceWork better;  ///< of ranks that are better after ageing
  ResourceWork same;    ///< of the submission's rank
  ResourceWork own;     ///< of the submission's rank and workspace
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

  bool accepted() const { return reason == Reason::Accepted; }
};

/** \returns the best rank that work of a rank reaches by waiting: the planner's ageing gives work of every lower
 * priority the rank of priority 1. Without this, a lasting high load of priority 1 would keep lower priorities
 * rejected. */
Rank agedRank(Rank rank);

/** \returns the name of a reason in events and metrics. */
const char* reasonName(AdmissionVerdict::Reason reason);

/** \class AdmissionForecast
 * \brief Decides whether a new workflow can still end while its result has a value for its caller.
 *
 * It addresses lasting overload, in which work that cannot end in time takes capacity from work that can. Guaranteed
 * work is always accepted. A workflow is expected to start once the waiting work that is served before it has passed
 * through the service's capacity: work of a better rank, and work of its rank with an earlier objective, where all
 * priorities from 1 count as one rank because of the planner's ageing. Rejected callers that are expected to return and
 * arrived first count as well, so that they are admitted first. The start is also forecast with only the workspace's
 * own work of this rank and an equal part of the capacity, and the more favourable forecast applies: a workspace is not
 * rejected for the backlog of others.
 *
 * A workflow that is expected to end in time, with the margin, is accepted. The planner serves late work after all work
 * that can still end in time. Late work therefore does not delay work that is in time, unless new work takes the whole
 * capacity: then each workflow that is accepted displaces a late one permanently, so late work counts as well. Late
 * work only gets the share of the capacity that newly accepted work leaves, and its start is expected later by that
 * factor. The class has no clock and no random source.
 */
class AdmissionForecast {
 public:
  explicit AdmissionForecast(AdmissionOptions options = {}) : m_options(options) {}
  /** \param backlog accepted work at the service
   * \param places rejected workflows of the service that are expected to return, without the submitted one
   * \param capacity capacity of the open targets; without any, each workflow is accepted
   * \param spread random value from 0 to 1, so that rejected callers do not all return at the same time */
  AdmissionVerdict decide(const Submission& submission, const std::vector<BacklogEntry>& backlog,
                          const std::vector<const Submission*>& places, const ResourceWork& capacity,
                          const AcceptedInflow& inflow, double spread) const;

 private:
  double longestWaitMs(const Submission& submission, double margin, double shareUsed) const;
  double excessMs(const Submission& submission, double margin, double inTimeMs, double allMs, double shareUsed) const;
  bool exceedsPart(const Submission& submission, const std::vector<BacklogEntry>& backlog,
                   const std::vector<const Submission*>& places, double capacity) const;
  std::uint32_t retryAfterMs(double excessMs, double spread) const;

  AdmissionOptions m_options;
};

}  // namespace courseloom
