// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/StepSelection.h"

#include <numeric>
#include <set>

#include "test/main.h"

using namespace courseloom;

namespace {

std::size_t sumOf(const std::vector<std::size_t>& values) {
  return std::accumulate(values.begin(), values.end(), std::size_t{0});
}

WorkflowDemand demand(const std::string& workflow, const std::string& workspace, std::size_t steps,
                      Rank rank = UrgentRank) {
  return {workflow, workspace, rank, 0, steps};
}

}  // namespace

Test(step_selection, a_limit_is_shared_equally_and_what_one_leaves_the_others_get) {
  cr_assert_eq(fairLimit({}, 10), 1);
  cr_assert_eq(fairLimit({3, 4}, 10), 4, "all fit");
  cr_assert_eq(fairLimit({100, 100}, 10), 5);
  cr_assert_eq(fairLimit({1, 100, 100}, 11), 5);
  cr_assert_eq(fairLimit({1, 1, 1}, 2), 1, "at least one each");
}

Test(step_selection, all_steps_are_examined_if_they_are_few) {
  cr_assert(shareSteps({demand("a", "t", 3), demand("b", "u", 5)}, 8, 0) == (std::vector<std::size_t>{3, 5}));
}

// Guards against one workspace, or one workflow, whose many steps hide those of others.
Test(step_selection, neither_a_workspace_nor_a_workflow_takes_the_share_of_another) {
  const std::vector<std::size_t> workspaces =
      shareSteps({demand("a", "t", 8000), demand("b", "u", 1), demand("c", "v", 40)}, 100, 0);
  cr_assert(workspaces == (std::vector<std::size_t>{59, 1, 40}));
  const std::vector<std::size_t> workflows = shareSteps({demand("a", "t", 8000), demand("b", "t", 30)}, 100, 0);
  cr_assert(workflows == (std::vector<std::size_t>{70, 30}));
}

// Guards against workflows that are never examined since others of their workspace precede them.
Test(step_selection, workflows_beyond_the_share_of_their_workspace_take_turns) {
  std::vector<WorkflowDemand> demands;
  for (int i = 0; i < 100; ++i) demands.push_back(demand("w" + std::to_string(100 + i), "t", 2, i < 5 ? 1 : 2));
  std::set<std::size_t> seen;
  for (std::uint64_t turn = 0; turn < 20; ++turn) {
    const std::vector<std::size_t> shares = shareSteps(demands, 20, turn);
    cr_assert_eq(sumOf(shares), 20);
    for (std::size_t i = 0; i < 5; ++i) cr_assert_eq(shares[i], 1, "those of the first rank are always examined");
    for (std::size_t i = 0; i < shares.size(); ++i) {
      if (shares[i] > 0) seen.insert(i);
    }
  }
  cr_assert_eq(seen.size(), demands.size());
}
