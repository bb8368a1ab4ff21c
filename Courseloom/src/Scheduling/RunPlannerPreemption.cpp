// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of RunPlanner that makes room: by waiting for what ends, or by stopping runs of lower rank.

#include <algorithm>
#include <limits>

#include "Courseloom/src/Scheduling/RunPlanner.h"

namespace courseloom {

/** A gang finds no place among single tasks, which take each accelerator that becomes free; it may stop those of lower
 * priority where little is lost. */
bool RunPlanner::preemptForGang(std::size_t index) {
  const PlannedStep& step = m_steps[index];
  const bool mayStop = m_options.preemption && m_options.gangLossRatio > 0.0 && !step.isUrgent();
  if (!mayStop || step.waitedMs < m_options.gangStopsAfterMs) return false;
  if (m_gangStops >= m_options.gangStopsAtOnce) return false;
  ++m_gangStops;
  return preempt(index);
}

/** \returns the work of others, core-seconds, that may be lost for one task of a step. */
double RunPlanner::worthStopping(const PlannedStep& step) const {
  if (step.rank == GuaranteedRank) return std::numeric_limits<double>::max();
  if (m_options.yields && prospectOf(step, m_nowMs) != Prospect::InTime) return 0.0;
  return (step.isUrgent() ? m_options.lossRatio : m_options.gangLossRatio) * step.taskWork;
}

/** \returns whether a step may count on runs that are about to end; guaranteed work near its bound may not. */
bool RunPlanner::trustsEnds(const PlannedStep& step) const {
  return step.rank != GuaranteedRank || step.waitedMs < m_options.guaranteedTrustMs;
}

/** Sets room aside for what waits; if what is being stopped is not enough, chooses more to stop. */
bool RunPlanner::preempt(std::size_t index) {
  const PlannedStep& step = m_steps[index];
  Choice choice;
  std::vector<std::size_t> victims;
  const bool gang = step.workflow->step(step.key.step).gang();
  const bool soon = gang && tryGang(step, laterFor(step), choice);
  if (!soon) {
    double least = std::numeric_limits<double>::max();
    for (const std::vector<std::size_t>& group : gangGroups(step)) {
      Choice next;
      std::vector<std::size_t> nextVictims;
      double cost = 0.0;
      if (!makeRoom(step, group, next, nextVictims, cost) || cost >= least) continue;
      least = cost;
      choice = std::move(next);
      victims = std::move(nextVictims);
    }
    if (choice.targets.empty()) return false;
  }
  for (const std::size_t run : victims) {
    m_stopped[run] = true;
    m_plan.stops.push_back({(*m_runs)[run].key, index});
    m_sure[(*m_runs)[run].target].add((*m_runs)[run].need);
    if (!m_endsSoon[run]) m_later[(*m_runs)[run].target].add((*m_runs)[run].need);
  }
  setAside(step, choice);
  return true;
}

/** Keeps room that is being freed from later steps. */
void RunPlanner::setAside(const PlannedStep& step, const Choice& choice) {
  const Room need = roomOf(step.workflow->step(step.key.step));
  for (const std::size_t target : choice.targets) {
    occupy(m_free, target, need);
    occupy(m_later, target, need);
    occupy(m_sure, target, need);
    m_nominating[nameOf(step)].insert((*m_targets)[target].id);
  }
}

/** \returns whether enough runs end by themselves soon enough; their room is set aside then. */
bool RunPlanner::waitsInPeace(const PlannedStep& step) {
  if (!m_options.patience) return false;
  const double slackMs = step.objectiveMs - m_nowMs - step.estimateMs;
  const bool bound = step.rank == GuaranteedRank;
  const double budgetMs = bound ? std::min(m_options.patienceShare * slackMs, m_options.patienceLimitMs - step.waitedMs)
                                : m_options.urgentPatienceShare * slackMs;
  Choice choice;
  const std::optional<double> wait = naturalWait(step, choice);
  if (!wait || *wait > budgetMs) return false;
  setAside(step, choice);
  return true;
}

/** \returns the runs that may be stopped for a step, by target, and the members of the gangs among them. */
RunPlanner::Stoppable RunPlanner::stoppableFor(const PlannedStep& step) const {
  Stoppable stoppable;
  for (std::size_t r = 0; r < m_runs->size(); ++r) {
    const PlannedRun& run = (*m_runs)[r];
    const bool waitsForIt = m_endsSoon[r] && trustsEnds(step);
    if (run.stopping || waitsForIt || !run.movable || run.rank <= step.rank) continue;
    stoppable.byTarget[run.target].push_back(r);
    if (!run.gang.empty()) stoppable.gangs[run.gang].push_back(r);
  }
  for (auto& [target, runs] : stoppable.byTarget) {
    for (const std::size_t r : runs) {
      double& price = stoppable.prices[r];
      for (const std::size_t member : wholeOf(stoppable, r)) price += (*m_runs)[member].lostWork + 1.0;
    }
    std::sort(runs.begin(), runs.end(),
              [&stoppable](std::size_t a, std::size_t b) { return stoppable.prices.at(a) < stoppable.prices.at(b); });
  }
  return stoppable;
}

/** \returns a run with all others that end with it. */
std::vector<std::size_t> RunPlanner::wholeOf(const Stoppable& stoppable, std::size_t run) const {
  const std::string& gang = (*m_runs)[run].gang;
  return gang.empty() ? std::vector<std::size_t>{run} : stoppable.gangs.at(gang);
}

/** \returns what has to be stopped on one target so that it holds one more task, the cheapest first, or nothing. */
std::optional<RunPlanner::Clearing> RunPlanner::clear(const PlannedStep& step, std::size_t target,
                                                      const Stoppable& stoppable, const std::vector<bool>& gone,
                                                      Room room) const {
  const Room need = roomOf(step.workflow->step(step.key.step));
  Clearing clearing{target, {}, penaltyOf(step, (*m_targets)[target])};
  const auto here = stoppable.byTarget.find(target);
  const std::vector<std::size_t> none;
  for (const std::size_t r : here == stoppable.byTarget.end() ? none : here->second) {
    if (room.holds(need)) break;
    const bool taken = std::find(clearing.victims.begin(), clearing.victims.end(), r) != clearing.victims.end();
    if (gone[r] || taken) continue;  // taken with another member of its gang
    clearing.price += stoppable.prices.at(r);
    for (const std::size_t member : wholeOf(stoppable, r)) {
      clearing.victims.push_back(member);
      if ((*m_runs)[member].target == target) room.add((*m_runs)[member].need);
    }
  }
  if (!room.holds(need)) return std::nullopt;
  return clearing;
}

/** Chooses places for a step's tasks, and the runs that are stopped there. \returns whether any, or a whole gang, fits
 */
bool RunPlanner::makeRoom(const PlannedStep& step, const std::vector<std::size_t>& among, Choice& choice,
                          std::vector<std::size_t>& victims, double& cost) const {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  const Stoppable stoppable = stoppableFor(step);
  Rooms rooms = laterFor(step);
  std::vector<bool> gone = m_stopped;
  std::map<std::string, unsigned> placed = step.placedOn;
  for (std::size_t task = 0; task < step.tasks.size(); ++task) {
    std::optional<Clearing> cheapest;
    for (const std::size_t i : among) {
      const PlannedTarget& target = (*m_targets)[i];
      if (isFull(spec, target.id, placed) || !allowed(step, target)) continue;
      std::optional<Clearing> next = clear(step, i, stoppable, gone, rooms[i]);
      if (next && (!cheapest || next->price < cheapest->price)) cheapest = std::move(next);
    }
    // Tasks of their own take what is worth it; a gang needs room for all.
    if (!cheapest || cheapest->price > worthStopping(step)) {
      if (spec.gang()) return false;
      break;
    }
    for (const std::size_t r : cheapest->victims) {
      gone[r] = true;
      victims.push_back(r);
      rooms[(*m_runs)[r].target].add((*m_runs)[r].need);
    }
    occupy(rooms, cheapest->target, roomOf(spec));
    ++placed[(*m_targets)[cheapest->target].id];
    choice.targets.push_back(cheapest->target);
    cost += cheapest->price;
  }
  return !choice.targets.empty();
}

}  // namespace courseloom
