// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/State/RunOutlook.h"

namespace courseloom {

/** \returns the slowness, as in TargetPace, at which a task that starts now ends just in time.
 * \param leftMs time until it should have ended \param usualMs its run time on a usual target */
double slownessLimit(double leftMs, double usualMs);

/** \returns by how much the chance to end late is higher on a target than on a usual one, 0 to 1: what is late anyway
 * says nothing against a slow target. \param limit slowness at which it ends just in time */
double addedLateChance(double limit, const TargetPace& pace);

}  // namespace courseloom
