// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstddef>
#include <vector>

#include "Courseloom/src/Scheduling/ResourceAmounts.h"

namespace courseloom {

/** \class FillLimitOptions
 * \brief Limits of the number of whole targets that are kept free for gangs.
 */
struct FillLimitOptions {
  double decayMs = 20000.0;     ///< time constant of the decay of the observed gang demand, ms
  double largestShare = 0.5;    ///< largest share of the targets kept for gangs; the rest stays usable for other work
  double longestWaitMs = 4000;  ///< wait after which a step may use the kept targets, ms
};

/** \class GangDemand
 * \brief The whole targets that one waiting or running gang needs.
 */
struct GangDemand {
  std::size_t wholeTargets = 0;  ///< number of targets that its tasks need entirely
  bool running = false;
};

/** \class FillLimit
 * \brief Limits how many fully free targets small tasks may occupy, so that gangs find whole targets.
 *
 * It addresses a load in which single tasks occupy each accelerator as soon as it becomes free, so that a gang that
 * needs eight at once on several targets never finds them free and has to stop other runs.
 */
class FillLimit {
 public:
  explicit FillLimit(FillLimitOptions options = {}) : m_options(options) {}

  /** Updates the expected demand from the gangs outside priority 0. \param nowMs wall clock, ms since 1970 */
  void update(const std::vector<GangDemand>& gangs, double nowMs);
  /** \returns the number of fully free targets that steps of small tasks have to leave free at present.
   * \param targets number of open targets with accelerators */
  std::size_t targetsToKeep(std::size_t targets) const;
  /** \returns whether the limit applies to a step. \param waitedMs time since it became ready, ms */
  bool appliesTo(bool gang, bool urgent, const ResourceAmounts& need, double waitedMs) const;

 private:
  FillLimitOptions m_options;
  double m_peak = 0.0;       ///< decaying maximum of whole targets that gangs need at once
  double m_held = 0.0;       ///< whole targets that running gangs hold at present
  double m_updatedMs = 0.0;  ///< when the peak was last updated, ms since 1970; 0 before the first update
};

}  // namespace courseloom
