// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/AdmissionForecast.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace courseloom {

namespace internal {
namespace {

/** Difference between the longest and the shortest retry time for the same backlog, relative to the shortest one. */
constexpr double RetrySpread = 0.5;

/** \returns the amount of the resource that limits a submission: accelerators if it needs any, otherwise cores. */
double limiting_amount(const Submission& submission, const ResourceWork& amounts) {
  return submission.work.accelerators > 0.0 ? amounts.accelerators : amounts.cores;
}

/** \returns whether accepted work is served before a submission. */
bool is_ahead(const BacklogEntry& entry, const Submission& submission) {
  if (agedRank(entry.rank) != agedRank(submission.rank)) return entry.rank < submission.rank;
  return entry.objectiveMs <= submission.objectiveMs;
}

/** \returns the instant by which a submission would have been useful as of its first arrival. */
double useful_until(const Submission& submission) {
  return static_cast<double>(submission.firstArrivalMs) + submission.usefulMs;
}

/** \returns whether a rejected workflow is admitted before a submission: it arrived earlier and is at least as urgent.
 */
bool has_place_ahead(const Submission& place, const Submission& submission) {
  if (place.firstArrivalMs >= submission.firstArrivalMs) return false;
  if (agedRank(place.rank) != agedRank(submission.rank)) return place.rank < submission.rank;
  return useful_until(place) <= useful_until(submission);
}

/** Work that waits before a submission, as times at full capacity, ms. */
struct WaitingWork {
  double betterMs = 0.0;      ///< of better ranks
  double sameMs = 0.0;        ///< of its rank
  double sameInTimeMs = 0.0;  ///< the same without late work
  double ownMs = 0.0;         ///< of its rank and workspace
  double ownInTimeMs = 0.0;   ///< the same without late work
  double placesMs = 0.0;      ///< of rejected callers
  double ownPlacesMs = 0.0;   ///< of rejected callers of its workspace
  double workspaces = 1.0;    ///< number of workspaces that wait with its rank, its own included
};

WaitingWork waiting_work(const Submission& submission, const std::vector<BacklogEntry>& backlog,
                         const std::vector<const Submission*>& places, double capacity) {
  WaitingWork sums;
  std::set<std::string_view> workspaces{submission.workspace};
  for (const BacklogEntry& entry : backlog) {
    const double ms = limiting_amount(submission, entry.work) / capacity;
    const bool sameRank = agedRank(entry.rank) == agedRank(submission.rank);
    if (sameRank && ms > 0.0) workspaces.insert(entry.workspace);
    if (!is_ahead(entry, submission)) continue;
    (sameRank ? sums.sameMs : sums.betterMs) += ms;
    const bool own = sameRank && entry.workspace == submission.workspace;
    if (own) sums.ownMs += ms;
    if (sameRank && !entry.late) sums.sameInTimeMs += ms;
    if (own && !entry.late) sums.ownInTimeMs += ms;
  }
  for (const Submission* place : places) {
    if (agedRank(place->rank) == agedRank(submission.rank)) workspaces.insert(place->workspace);
    if (!has_place_ahead(*place, submission)) continue;
    const double ms = limiting_amount(submission, place->work) / capacity;
    sums.placesMs += ms;
    if (place->workspace == submission.workspace) sums.ownPlacesMs += ms;
  }
  sums.workspaces = static_cast<double>(workspaces.size());
  return sums;
}

}  // namespace
}  // namespace internal

Rank agedRank(Rank rank) { return std::min(rank, UrgentRank + 1); }

const char* reasonName(AdmissionVerdict::Reason reason) {
  switch (reason) {
    case AdmissionVerdict::Reason::TooLate:
      return "TooLate";
    case AdmissionVerdict::Reason::WorkspaceLimit:
      return "WorkspaceLimit";
    case AdmissionVerdict::Reason::Accepted:
      break;
  }
  return "Accepted";
}

/** \returns the longest wait with which a workflow is accepted, ms.
 * \param shareUsed share of the capacity that newly accepted work takes: late work is served with the rest */
double AdmissionForecast::longestWaitMs(const Submission& submission, double margin, double shareUsed) const {
  // Work that would end too late even if it started at once is not late because of the backlog: its estimate or its
  // objective is wrong. The critical path is limited here, since the work would otherwise be rejected at every attempt.
  const double runMs = std::min(submission.criticalPathMs, submission.usefulMs);
  const double shareLeft = std::max(m_options.leastShareLeft, 1.0 - shareUsed);
  return std::max(margin * submission.inTimeMs - runMs, shareLeft * (margin * submission.usefulMs - runMs));
}

/** \returns the time by which a wait exceeds the longest one with which a workflow is accepted, ms; at most 0 if it is
 * accepted. \param inTimeMs wait if the workflow is served before late work \param allMs wait if it is not
 * \param shareUsed as for longestWaitMs() */
double AdmissionForecast::excessMs(const Submission& submission, double margin, double inTimeMs, double allMs,
                                   double shareUsed) const {
  const bool servedFirst = shareUsed < 1.0 && inTimeMs <= longestWaitMs(submission, margin, 1.0);
  return servedFirst ? 0.0 : allMs - longestWaitMs(submission, margin, shareUsed);
}

AdmissionVerdict AdmissionForecast::decide(const Submission& submission, const std::vector<BacklogEntry>& backlog,
                                           const std::vector<const Submission*>& places, const ResourceWork& capacity,
                                           const AcceptedInflow& inflow, double spread) const {
  AdmissionVerdict verdict;
  const double available = internal::limiting_amount(submission, capacity);
  if (submission.rank == GuaranteedRank || submission.usefulMs <= 0.0 || available <= 0.0) return verdict;
  const auto shareOf = [&](const ResourceWork& work) {
    return internal::limiting_amount(submission, work) / available;
  };
  const internal::WaitingWork waiting = internal::waiting_work(submission, backlog, places, available);
  // Computed as if newly accepted work took the whole capacity, since rejected callers matter only then.
  const double mostPlacesMs = m_options.placesShare * longestWaitMs(submission, m_options.margin, 1.0);
  const double parts = waiting.workspaces;
  // The wait is forecast twice: in the order of all workspaces, and with the workspace's equal part of the capacity.
  const double aheadMs = waiting.betterMs + std::min(waiting.placesMs, mostPlacesMs);
  const double ownAheadMs = waiting.betterMs + std::min(parts * waiting.ownPlacesMs, mostPlacesMs);
  const double allShare = shareOf(inflow.better) + shareOf(inflow.same);
  const double partShare = shareOf(inflow.better) + parts * shareOf(inflow.own);
  const double excess = std::min(
      excessMs(submission, m_options.margin, aheadMs + waiting.sameInTimeMs, aheadMs + waiting.sameMs, allShare),
      excessMs(submission, m_options.margin, ownAheadMs + parts * waiting.ownInTimeMs,
               ownAheadMs + parts * waiting.ownMs, partShare));
  const double waitingMs = waiting.betterMs + waiting.sameMs;
  const double excessWithoutMargin =
      excessMs(submission, 1.0, waiting.betterMs + waiting.sameInTimeMs, waitingMs, allShare);
  verdict.expectedStartMs = std::min(aheadMs + waiting.sameMs, ownAheadMs + parts * waiting.ownMs);
  if (excess > 0.0) {
    verdict.reason = AdmissionVerdict::Reason::TooLate;
    verdict.retryAfterMs = retryAfterMs(excess, spread);
  } else if (excessWithoutMargin > 0.0 && waitingMs > m_options.freeBacklogMs &&
             exceedsPart(submission, backlog, places, available)) {
    verdict.reason = AdmissionVerdict::Reason::WorkspaceLimit;
    verdict.retryAfterMs = retryAfterMs(excessWithoutMargin, spread);
  }
  return verdict;
}

/** \returns whether a submission's workspace holds more than workspaceShare of the backlog of its rank while others
 * wait. Ranks that ageing makes equal count as one. */
bool AdmissionForecast::exceedsPart(const Submission& submission, const std::vector<BacklogEntry>& backlog,
                                    const std::vector<const Submission*>& places, double capacity) const {
  double own = 0.0;
  double others = 0.0;
  for (const BacklogEntry& entry : backlog) {
    if (agedRank(entry.rank) != agedRank(submission.rank)) continue;
    double& sum = entry.workspace == submission.workspace ? own : others;
    sum += internal::limiting_amount(submission, entry.work) / capacity;
  }
  for (const Submission* place : places) {
    const bool sameRank = agedRank(place->rank) == agedRank(submission.rank);
    if (!sameRank || place->workspace == submission.workspace) continue;
    others += internal::limiting_amount(submission, place->work) / capacity;
  }
  return others > 0.0 && own > m_options.workspaceShare * (own + others);
}

/** \param excessMs time by which the expected start exceeds the latest one at which the workflow is accepted, ms */
std::uint32_t AdmissionForecast::retryAfterMs(double excessMs, double spread) const {
  const double longestMs = m_options.longestRetryMs / (1.0 + internal::RetrySpread);
  const double drainMs = std::min(std::max<double>(excessMs, m_options.shortestRetryMs), longestMs);
  return static_cast<std::uint32_t>(drainMs * (1.0 + internal::RetrySpread * std::clamp(spread, 0.0, 1.0)));
}

}  // namespace courseloom
