// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/WaitingSteps.h"

#include <algorithm>

namespace courseloom {

namespace internal {
namespace {

/** Position in the occurrences of one step. */
struct Position {
  std::uint32_t step = 0;
  std::uint32_t occurrence = 0;
};

}  // namespace
}  // namespace internal

WaitingSteps::WaitingSteps(const schema::WorkflowSpec& spec)
    : m_occurrences(std::max(1U, spec.occurrences())),
      m_successors(static_cast<std::size_t>(spec.steps_size())),
      m_begun(static_cast<std::size_t>(spec.steps_size()), 0) {
  for (const schema::StepSpec& step : spec.steps()) {
    const auto index = static_cast<std::uint32_t>(m_counts.size());
    const std::set<std::uint32_t> predecessors(step.after().begin(), step.after().end());
    for (const std::uint32_t earlier : predecessors) m_successors[earlier].push_back(index);
    m_gangs.push_back(step.gang());
    m_counts.push_back(step.count());
    m_predecessors.push_back(static_cast<std::uint32_t>(predecessors.size()));
    m_waiting.push_back(predecessors.empty() ? IndexSet::full(m_occurrences) : IndexSet::none(m_occurrences));
    if (predecessors.empty()) m_steps.insert(m_steps.end(), index);
  }
}

bool WaitingSteps::isReady(const StepKey& step) const {
  if (m_predecessors[step.step] == 0) return true;
  const auto open = m_openPredecessors.find(step);
  return open != m_openPredecessors.end() && open->second == 0;
}

IndexSet& WaitingSteps::tasksOf(const StepKey& step) {
  return m_tasks.try_emplace(step, IndexSet::full(m_counts[step.step])).first->second;
}

void WaitingSteps::update(const TaskKey& task, bool waits) {
  IndexSet& tasks = tasksOf(task.stepKey());
  std::uint64_t& begun = m_begun[task.step];
  if (waits && tasks.insert(task.index)) --begun;
  if (!waits && tasks.erase(task.index)) ++begun;
  updateStep(task.stepKey());
}

void WaitingSteps::finishStep(const StepKey& step) {
  ++m_finishedSteps;
  m_waiting[step.step].erase(step.occurrence);
  if (m_waiting[step.step].empty()) m_steps.erase(step.step);
  m_tasks.erase(step);
  m_openPredecessors.erase(step);
  for (const std::uint32_t successor : m_successors[step.step]) {
    const StepKey key{step.occurrence, successor};
    --m_openPredecessors.try_emplace(key, m_predecessors[successor]).first->second;
    updateStep(key);
  }
}

void WaitingSteps::updateStep(const StepKey& step) {
  IndexSet& occurrences = m_waiting[step.step];
  if (isReady(step) && waitingTasks(step) > 0) {
    occurrences.insert(step.occurrence);
  } else {
    occurrences.erase(step.occurrence);
  }
  if (occurrences.empty()) {
    m_steps.erase(step.step);
  } else {
    m_steps.insert(step.step);
  }
}

bool WaitingSteps::contains(const StepKey& step) const { return m_waiting[step.step].contains(step.occurrence); }

std::uint32_t WaitingSteps::waitingTasks(const StepKey& step) const {
  const auto found = m_tasks.find(step);
  return found == m_tasks.end() ? m_counts[step.step] : static_cast<std::uint32_t>(found->second.size());
}

std::vector<std::uint32_t> WaitingSteps::tasksOf(const StepKey& step, std::size_t most) const {
  const auto found = m_tasks.find(step);
  const IndexSet all = found == m_tasks.end() ? IndexSet::full(m_counts[step.step]) : IndexSet();
  const IndexSet& tasks = found == m_tasks.end() ? all : found->second;
  const std::size_t listed = m_gangs[step.step] ? tasks.size() : std::min(most, tasks.size());
  std::vector<std::uint32_t> indexes;
  indexes.reserve(listed);
  for (std::uint32_t index = tasks.next(0); indexes.size() < listed; index = tasks.next(index + 1)) {
    indexes.push_back(index);
  }
  return indexes;
}

std::size_t WaitingSteps::count(std::uint32_t due, std::size_t most) const {
  std::size_t counted = 0;
  for (const std::uint32_t step : m_steps) {
    const IndexSet& occurrences = m_waiting[step];
    for (std::uint32_t at = occurrences.next(0); at < due; at = occurrences.next(at + 1)) {
      if (++counted >= most) return most;
    }
  }
  return counted;
}

std::vector<StepKey> WaitingSteps::select(std::uint32_t due, std::size_t most, std::uint32_t& turn) const {
  std::vector<internal::Position> positions;
  const std::uint32_t begin = turn;
  const auto visit = [&](std::uint32_t step) {
    const std::uint32_t first = m_waiting[step].next(0);
    if (first >= due) return true;
    if (positions.size() == most) {
      turn = step;
      return false;
    }
    positions.push_back({step, first});
    return true;
  };
  const auto middle = m_steps.lower_bound(begin);
  if (std::all_of(middle, m_steps.end(), visit)) std::all_of(m_steps.begin(), middle, visit);
  std::vector<StepKey> selected;
  while (!positions.empty() && selected.size() < most) {
    std::vector<internal::Position> further;
    for (const internal::Position& position : positions) {
      if (selected.size() == most) break;
      selected.push_back({position.occurrence, position.step});
      const std::uint32_t following = m_waiting[position.step].next(position.occurrence + 1);
      if (following < due) further.push_back({position.step, following});
    }
    positions = std::move(further);
  }
  std::sort(selected.begin(), selected.end());
  return selected;
}

}  // namespace courseloom
