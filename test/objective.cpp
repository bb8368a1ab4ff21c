// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// When a workflow should be done: chains, waves, and run times that are learnt.

#include "Courseloom/src/Scheduling/Objective.h"

#include "test/main.h"

using namespace courseloom;

namespace {

schema::StepSpec& addStep(schema::WorkflowSpec& spec, unsigned count, unsigned accelerators, std::uint64_t estimateMs) {
  schema::StepSpec& step = *spec.add_steps();
  step.set_count(count);
  step.mutable_need()->set_accelerators(accelerators);
  step.set_estimate_ms(estimateMs);
  return step;
}

double byEstimate(const schema::StepSpec& step) { return static_cast<double>(step.estimate_ms()); }

constexpr Room FourTargets{256000, 256000, 32};

}  // namespace

Test(objective, the_longest_chain_counts) {
  schema::WorkflowSpec spec;
  addStep(spec, 1, 1, 1000);
  addStep(spec, 1, 1, 3000);
  addStep(spec, 1, 1, 500).add_after(0);
  cr_assert_eq(longestChainMs(spec, byEstimate, FourTargets), 3000.0);
  spec.mutable_steps(2)->set_estimate_ms(2500);
  cr_assert_eq(longestChainMs(spec, byEstimate, FourTargets), 3500.0);
}

Test(objective, a_step_wider_than_a_quarter_of_the_room_runs_in_waves) {
  schema::WorkflowSpec spec;
  schema::StepSpec& step = addStep(spec, 8, 1, 1000);
  cr_assert_eq(wavesOf(step, FourTargets), 1);
  step.set_count(9);
  cr_assert_eq(wavesOf(step, FourTargets), 2);
  cr_assert_eq(longestChainMs(spec, byEstimate, FourTargets), 2000.0);
  cr_assert_eq(longestChainMs(spec, byEstimate, Room()), 1000.0, "nothing is known of the room yet");
  step.mutable_need()->set_memory_mb(64000);
  cr_assert_eq(wavesOf(step, FourTargets), 9, "the scarcest kind of room decides");
}

Test(objective, a_gang_runs_all_at_once) {
  schema::WorkflowSpec spec;
  schema::StepSpec& step = addStep(spec, 4, 8, 1000);
  step.set_gang(true);
  cr_assert_eq(wavesOf(step, FourTargets), 1);
}
