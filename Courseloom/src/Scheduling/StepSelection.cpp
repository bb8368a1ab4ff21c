// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/StepSelection.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace courseloom {

namespace internal {
namespace {

/** The workflows of one workspace. */
struct Workspace {
  std::vector<std::size_t> workflows;  ///< indexes of their demands
  std::size_t steps = 0;               ///< sum of their demands
};

/** Gives one step each to as many workflows of a workspace as its share allows. */
void share_by_turns(const std::vector<WorkflowDemand>& demands, std::vector<std::size_t> workflows, std::size_t share,
                    std::uint64_t turn, std::vector<std::size_t>& shares) {
  std::sort(workflows.begin(), workflows.end(), [&demands](std::size_t a, std::size_t b) {
    const WorkflowDemand& left = demands[a];
    const WorkflowDemand& right = demands[b];
    return std::tie(left.rank, left.submittedMs, left.workflow) <
           std::tie(right.rank, right.submittedMs, right.workflow);
  });
  const std::size_t first = share - share / 2;
  const std::size_t inTurn = share / 2;
  const std::size_t others = workflows.size() - first;
  for (std::size_t i = 0; i < first; ++i) shares[workflows[i]] = 1;
  for (std::size_t i = 0; i < inTurn; ++i) shares[workflows[first + (turn * inTurn + i) % others]] = 1;
}

}  // namespace
}  // namespace internal

std::size_t fairLimit(std::vector<std::size_t> demands, std::size_t total) {
  std::sort(demands.begin(), demands.end());
  std::size_t left = total;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const std::size_t equalShare = left / (demands.size() - i);
    if (demands[i] > equalShare) return std::max<std::size_t>(1, equalShare);
    left -= demands[i];
  }
  return demands.empty() ? 1 : std::max<std::size_t>(1, demands.back());
}

std::vector<std::size_t> shareSteps(const std::vector<WorkflowDemand>& demands, std::size_t most, std::uint64_t turn) {
  std::vector<std::size_t> shares;
  std::map<std::string, internal::Workspace> workspaces;
  std::size_t total = 0;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    internal::Workspace& workspace = workspaces[demands[i].workspace];
    workspace.workflows.push_back(i);
    workspace.steps += demands[i].steps;
    shares.push_back(demands[i].steps);
    total += demands[i].steps;
  }
  if (total <= most) return shares;
  std::vector<std::size_t> sums;
  for (const auto& [name, workspace] : workspaces) sums.push_back(workspace.steps);
  const std::size_t limit = fairLimit(sums, most);
  for (const auto& [name, workspace] : workspaces) {
    if (workspace.steps <= limit) continue;
    std::vector<std::size_t> steps;
    for (const std::size_t i : workspace.workflows) steps.push_back(std::exchange(shares[i], 0));
    if (steps.size() > limit) {
      internal::share_by_turns(demands, workspace.workflows, limit, turn, shares);
      continue;
    }
    const std::size_t each = fairLimit(steps, limit);
    for (std::size_t i = 0; i < steps.size(); ++i) shares[workspace.workflows[i]] = std::min(steps[i], each);
  }
  return shares;
}

}  // namespace courseloom
