// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/State/RunOutlook.h"

namespace courseloom {

/** \returns the slowness, as in TargetPace, at which a task that starts now ends just in time.
 * \param leftMs time until it should have ended \param usualMs its run time on a usual target */
double slownessLimit(double leftMs, double usualMs);

/** \class LateChance
 * \brief By how much the chance that a task ends late is higher on a target than on a usual one, 0 to 1: what is late
 * anyway says nothing against a slow target.
 */
class LateChance {
 public:
  /** \param limit slowness at which the task ends just in time */
  explicit LateChance(double limit);
  double on(const TargetPace& pace) const;

 private:
  double m_limit;
  double m_usual;  ///< chance to be late on a usual target
};

}  // namespace courseloom
