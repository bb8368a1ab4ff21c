// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/WorkflowSize.h"

namespace courseloom {

namespace internal {
namespace {

/** Memory of a workflow beside its texts and steps: nodes of maps, and what the leader knows of it. */
constexpr std::uint64_t WorkflowBytes = 4096;
/** Memory of a step beside its specification: its indexes in WaitingSteps, and what the leader knows of it. */
constexpr std::uint64_t StepBytes = 192;
/** Serialized copies: log entry, message to a peer, last snapshot, and three of the next one while it is written. */
constexpr std::uint64_t SerializedCopies = 6;

}  // namespace
}  // namespace internal

std::uint64_t workflowBytes(const schema::Workflow& workflow) {
  const std::uint64_t steps = static_cast<std::uint64_t>(workflow.spec().steps_size());
  return internal::WorkflowBytes + steps * internal::StepBytes + workflow.SpaceUsedLong() +
         internal::SerializedCopies * workflow.ByteSizeLong();
}

}  // namespace courseloom
