// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Courseloom/src/Scheduling/ResourceAmounts.h"
#include "Courseloom/src/State/WorkspaceUsage.h"

namespace courseloom {

/** \class FairShareOptions
 * \brief Limits within which the shares of workspaces do not affect their order.
 */
struct FairShareOptions {
  /** Multiple of its fair share that a workspace may have used before its steps are served after those of others. */
  double burst = 1.5;
  /** Smallest share of the service's capacity, 0 to 1, that is assumed to have been used when equal shares are
   * computed. Without it, the first run after an idle time would be far above an equal share of the little that was
   * used. */
  double leastUse = 0.2;
  /** A workspace that neither waits nor runs still competes if its use is at least this multiple of the mean use of all
   * workspaces. If only those that wait or run counted, an equal share would change with each short task of a small
   * workspace. */
  double notableUse = 0.1;
};

/** \class WorkspaceDemand
 * \brief Use of one service by one workspace, and whether it waits for more.
 */
struct WorkspaceDemand {
  ResourceTime past;     ///< decayed use of runs that have ended
  ResourceTime active;   ///< use of the active runs so far
  double weight = 1.0;   ///< above 0
  bool waiting = false;  ///< whether it has waiting work outside its guarantees
};

/** Demands by service and workspace. */
using WorkspaceDemands = std::map<std::string, std::map<std::string, WorkspaceDemand>>;

/** \class FairShare
 * \brief Ranks the workspaces that compete for a service by weighted dominant share.
 *
 * The dominant share of a workspace is the largest of its shares of the service's accelerators, processors and memory
 * over the decay time (dominant resource fairness, Ghodsi et al., NSDI 2011), divided by its weight. Workspaces compete
 * if they wait, have active runs or have used a notable part recently. The class only orders steps, so capacity that no
 * other workspace requests stays available to all.
 */
class FairShare {
 public:
  /** Highest band. */
  static constexpr unsigned MaxBand = 3;

  /** Without any demand: all bands are 0. */
  FairShare() = default;
  /** \param capacities total capacity by service \param demands by service and workspace
   * \param windowS time over which a constant use accumulates in WorkspaceUsage, s */
  FairShare(const std::map<std::string, ResourceAmounts>& capacities, const WorkspaceDemands& demands, double windowS,
            FairShareOptions options = {});

  /** \returns the band in which a workspace's steps are served within their rank: 0 while it is within its burst or no
   * other workspace waits, then one more for each doubling above the burst. Bands are coarse, so that small differences
   * do not change the order by objective. */
  unsigned bandOf(const std::string& workspace, const std::string& service) const;
  /** \returns whether another workspace than this one waits at a service. */
  bool othersWait(const std::string& workspace, const std::string& service) const;
  /** \returns the weighted dominant share of a workspace relative to an equal share of what all have used; 1 is exactly
   * its share. */
  double relativeShare(const std::string& workspace, const std::string& service) const;
  /** \returns the relative shares by service and workspace. */
  const std::map<std::pair<std::string, std::string>, double>& relativeShares() const { return m_relativeShares; }

 private:
  FairShareOptions m_options;
  std::map<std::pair<std::string, std::string>, double> m_relativeShares;  ///< by service and workspace
  std::map<std::string, std::set<std::string>> m_waiting;                  ///< workspaces that wait, by service
};

/** \class ShareReview
 * \brief Finds the workspaces whose work begins or ceases to be served after that of others, for the log.
 *
 * A workspace counts as over its share from the first band above 0 until it is within its share while another one
 * waits. Who waits changes with nearly every pass and the bands with it, so a band of 0 alone ends nothing.
 */
class ShareReview {
 public:
  struct Change {
    std::string service;
    std::string workspace;
    bool over = false;
    double relativeShare = 0.0;
  };

  /** \returns the changes since the last call. */
  std::vector<Change> update(const FairShare& shares);
  void clear() { m_over.clear(); }

 private:
  std::set<std::pair<std::string, std::string>> m_over;  ///< service and workspace
};

}  // namespace courseloom
