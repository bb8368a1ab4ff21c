// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <string>
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

/** \class FairShare
 * \brief Ranks the workspaces that compete for a service by weighted dominant share.
 *
 * The dominant share of a workspace is the largest of its shares of the service's accelerators, processors and memory
 * over the decay time (dominant resource fairness, Ghodsi et al., NSDI 2011), divided by its weight. The class only
 * orders steps, so capacity that no other workspace requests stays available to all.
 */
class FairShare {
 public:
  /** \param capacities total capacity by service \param demands by service and workspace
   * \param windowS time over which a constant use accumulates in WorkspaceUsage, s */
  FairShare(const std::map<std::string, ResourceAmounts>& capacities,
            const std::map<std::string, std::map<std::string, WorkspaceDemand>>& demands, double windowS,
            FairShareOptions options = {});

  /** \returns the band in which a workspace's steps are served within their rank: 0 while it is within its burst or no
   * other workspace waits, and higher the further it is above the burst. Bands are coarse, so that small differences do
   * not change the order by objective. */
  unsigned bandOf(const std::string& workspace, const std::string& service) const;
  /** \returns the weighted dominant share of a workspace relative to an equal share; 1 is exactly its share. */
  double relativeShare(const std::string& workspace, const std::string& service) const;

 private:
  FairShareOptions m_options;
  std::map<std::pair<std::string, std::string>, double> m_relativeShares;  ///< by service and workspace
};

}  // namespace courseloom
