// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <string>

#include "Courseloom/src/Core/Failure.h"
#include "generated/settings.pb.h"

namespace courseloom {

/** \returns a description of a control replica's data folder: identity, snapshot, log and members. For
 * `courseloom-control --inspect`. The replica's process must not be running. */
Result<std::string> inspectFolder(const schema::Settings& settings);

/** Makes this disk the only voter, so that the cluster can continue from it alone. The other disks are retired, and
 * their replicas join again with new ones. For `courseloom-control --recover`, which an operator runs when no quorum of
 * disks is left. \returns what was done, and whether accepted commands could be missing */
Result<std::string> recoverFolder(const schema::Settings& settings);

}  // namespace courseloom
