// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>

#include "generated/workflow.pb.h"

namespace courseloom {

/** Memory that a replica needs for a task that was started, bytes: its state, and its record in the snapshots. */
inline constexpr std::uint64_t StartedTaskBytes = 512;

/** \returns an upper estimate of the memory that a replica needs for an accepted workflow none of whose tasks has
 * started, bytes. It counts every copy: the state, the entry of the log and its message, the last snapshot, and the
 * next one while it is written. */
std::uint64_t workflowBytes(const schema::Workflow& workflow);

}  // namespace courseloom
