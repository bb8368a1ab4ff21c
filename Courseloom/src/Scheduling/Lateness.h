// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/State/RunTimeEstimator.h"

namespace courseloom {

/** \returns the slowdown, as in TargetSlowdown, at which a task that is planned now ends just in time.
 * \param leftMs time until the task should end, ms \param usualMs its run time on a usual target, ms */
double slowdownLimit(double leftMs, double usualMs);

/** \class LateChance
 * \brief Computes by how much the probability that a task ends late is higher on a target than on a usual one, 0 to 1.
 * A task that would be late on any target gives no reason to avoid a slow one.
 */
class LateChance {
 public:
  /** \param limit slowdown at which the task ends just in time */
  explicit LateChance(double limit);
  /** \returns the difference for a target. \param pace the target's slowdown */
  double on(const TargetSlowdown& pace) const;

 private:
  double m_limit;
  double m_usualChance;  ///< probability of being late on a usual target
};

}  // namespace courseloom
