// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of RunPlanner that keeps a place in time for a gang that waits.

#include "Courseloom/src/Scheduling/RunPlanner.h"

namespace courseloom {

/** \returns the time after which enough runs will have ended by themselves, ms, and the places that are free then. */
std::optional<double> RunPlanner::naturalWait(const PlannedStep& step, Choice& choice,
                                              const std::vector<std::size_t>* among) const {
  const std::vector<std::vector<std::size_t>> groups =
      among == nullptr ? gangGroups(step) : std::vector<std::vector<std::size_t>>{*among};
  Rooms rooms = m_free;
  for (const std::size_t r : m_byEnd) {
    const PlannedRun& run = (*m_runs)[r];
    rooms[run.target].add(run.need);
    if (tryGroups(step, groups, rooms, choice)) return run.remainingMs;
  }
  return std::nullopt;
}

/** \returns the targets that a gang waited for at the last plan. */
std::vector<std::size_t> RunPlanner::waitedFor(const PlannedStep& step) const {
  std::vector<std::size_t> among;
  const auto found = m_waitedFor.find(nameOf(step));
  if (found == m_waitedFor.end() || !m_options.stickyReservations) return among;
  for (std::size_t i = 0; i < m_targets->size(); ++i) {
    if (found->second.count((*m_targets)[i].id) > 0) among.push_back(i);
  }
  return among;
}

/** Keeps the place that will be free first from later work that would take longer. */
void RunPlanner::reserve(const PlannedStep& step) {
  Choice choice;
  std::optional<double> wait;
  // What it has waited for so far comes first: a place that moves with each plan never becomes free.
  const std::vector<std::size_t> before = waitedFor(step);
  if (!before.empty()) wait = naturalWait(step, choice, &before);
  if (!wait) wait = naturalWait(step, choice);
  if (!wait) return;
  for (const std::size_t target : choice.targets) m_waitingFor[nameOf(step)].insert((*m_targets)[target].id);
  const Room need = roomOf(step.workflow->step(step.key.step));
  Reservation reservation{Rooms(m_targets->size()), *wait};
  for (const std::size_t target : choice.targets) reservation.rooms[target].add(need);
  m_reservations.push_back(std::move(reservation));
}

/** \returns whether a target's room is kept for gangs that would be held up by the step. */
bool RunPlanner::keptByReservations(const PlannedStep& step, std::size_t target, const Room& room,
                                    const Room& need) const {
  Room spare = room;
  bool kept = false;
  for (const Reservation& reservation : m_reservations) {
    const Room& set = reservation.rooms[target];
    const bool here = set.cpuMilli > 0 || set.memoryMb > 0 || set.accelerators > 0;
    if (!here || m_options.backfillMargin * step.estimateMs <= reservation.untilMs) continue;
    spare.subtract(set);
    kept = true;
  }
  return kept && !spare.holds(need);
}

}  // namespace courseloom
