// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/reference/ReferencePlanner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace courseloom::test {

namespace internal {
namespace {

/** Cost of a target outside the preferred rack, in units of the packing cost: free accelerators left on the target. */
constexpr double OtherRackCost = 1000.0;
/** Cost per free core left on the target. */
constexpr double CpuWeight = 0.0001;
/** Cost per position of a target. Urgent work prefers the last targets and other work the first ones, so that whole
 * racks stay free in between. */
constexpr double OrderWeight = 0.01;
/** Cost of a target that is being freed for another step. */
constexpr double NominatedPenalty = 20.0;

}  // namespace
}  // namespace internal

RunPlan ReferencePlanner::plan(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs,
                               std::vector<PlannedStep> steps, unsigned keepFullyFree, double nowMs) {
  m_targets = &targets;
  m_keepFullyFree = m_options.headroom ? keepFullyFree : 0;
  m_nowMs = nowMs;
  m_runs = &runs;
  m_steps = std::move(steps);
  m_plan = RunPlan();
  m_reservations.clear();
  m_gangStops = 0;
  m_stopped.assign(runs.size(), false);
  m_free.clear();
  for (const PlannedTarget& target : targets) m_free.push_back(target.capacity);
  m_freeAfterEnds = m_free;
  m_freeAfterStops = m_free;
  findRunsEndingSoon();
  orderByEnd();
  for (std::size_t r = 0; r < runs.size(); ++r) {
    occupy(m_free, runs[r].target, runs[r].need);
    if (runs[r].stopping) continue;
    occupy(m_freeAfterStops, runs[r].target, runs[r].need);
    if (!m_endsSoon[r]) occupy(m_freeAfterEnds, runs[r].target, runs[r].need);
  }
  applyAging();
  m_nominatedNow.clear();
  m_reservedNow.clear();
  for (const std::size_t index : servingOrder()) serve(index);
  m_lastNominated = std::move(m_nominatedNow);
  m_lastReserved = std::move(m_reservedNow);
  return std::move(m_plan);
}

/** Raises the rank of steps that have waited long. With strict ranks, the lowest class would never be served under
 * persistent overload. */
void ReferencePlanner::applyAging() {
  if (m_options.ageAfterEstimates == 0.0) return;
  const Rank agedRank = rankOf(1, false);
  for (PlannedStep& step : m_steps) {
    const bool waitedLong = step.waitedMs > m_options.ageAfterEstimates * step.estimateMs;
    if (waitedLong && step.rank > agedRank) step.rank = agedRank;
    const double waits = step.waitedMs / (m_options.ageAfterEstimates * step.estimateMs);
    step.band -= std::min(step.band, static_cast<unsigned>(std::max(0.0, std::ceil(waits) - 1.0)));
  }
}

/** \returns the indexes of the steps in the order in which they are served. */
std::vector<std::size_t> ReferencePlanner::servingOrder() const {
  std::vector<std::size_t> order(m_steps.size());
  std::iota(order.begin(), order.end(), 0U);
  std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
    const PlannedStep& left = m_steps[a];
    const PlannedStep& right = m_steps[b];
    if (left.rank != right.rank) return left.rank < right.rank;
    // Guaranteed work has to start within its bound whether or not it can still end in time.
    const bool byProspect = m_options.prospects && left.rank != GuaranteedRank;
    const Prospect leftProspect = prospectOf(left, m_nowMs);
    const Prospect rightProspect = prospectOf(right, m_nowMs);
    if (byProspect && leftProspect != rightProspect) return leftProspect < rightProspect;
    return left.objectiveMs < right.objectiveMs;
  });
  return orderedByBands(order);
}

/** \returns the steps with those of a higher band behind the others of their rank. A step has at least the band of each
 * step of its workspace that precedes it in the given order. */
std::vector<std::size_t> ReferencePlanner::orderedByBands(std::vector<std::size_t> order) const {
  std::vector<unsigned> bands(m_steps.size(), 0);
  for (std::size_t i = 0; i < order.size(); ++i) {
    const PlannedStep& step = m_steps[order[i]];
    for (std::size_t j = 0; j <= i && step.rank != GuaranteedRank; ++j) {
      const PlannedStep& before = m_steps[order[j]];
      const bool sameWorkspace = before.workflow->record.tenant() == step.workflow->record.tenant() &&
                                 before.workflow->record.service() == step.workflow->record.service();
      if (before.rank == step.rank && sameWorkspace) bands[order[i]] = std::max(bands[order[i]], before.band);
    }
  }
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    if (m_steps[a].rank != m_steps[b].rank) return m_steps[a].rank < m_steps[b].rank;
    return bands[a] < bands[b];
  });
  return order;
}

/** Finds the runs that are expected to end soon. The expectation may be wrong: a run that has been expected to end soon
 * for longer than endsSoonLimitMs is left out. */
void ReferencePlanner::findRunsEndingSoon() {
  std::map<RunKey, double> since;
  m_endsSoon.assign(m_runs->size(), false);
  for (std::size_t r = 0; r < m_runs->size(); ++r) {
    const PlannedRun& run = (*m_runs)[r];
    if (!run.preemptible || run.remainingMs > m_options.endsSoonMs) continue;
    const auto before = m_soonSince.find(run.key);
    since[run.key] = before == m_soonSince.end() ? m_nowMs : before->second;
    m_endsSoon[r] = m_nowMs - since[run.key] <= m_options.endsSoonLimitMs;
  }
  m_soonSince = std::move(since);
}

void ReferencePlanner::orderByEnd() {
  m_byEnd.resize(m_runs->size());
  std::iota(m_byEnd.begin(), m_byEnd.end(), 0U);
  std::sort(m_byEnd.begin(), m_byEnd.end(),
            [this](std::size_t a, std::size_t b) { return (*m_runs)[a].remainingMs < (*m_runs)[b].remainingMs; });
}

std::vector<std::size_t> ReferencePlanner::allTargets() const {
  std::vector<std::size_t> among(m_targets->size());
  std::iota(among.begin(), among.end(), 0U);
  return among;
}

void ReferencePlanner::serve(std::size_t index) {
  PlannedStep& step = m_steps[index];
  if (step.tickets && step.tickets->empty()) return;
  if (!step.avoided.empty() && !hasOtherTargets(step)) step.avoided.clear();
  if (step.workflow->step(step.key.step).gang()) {
    serveGang(index);
  } else {
    serveTasks(index);
  }
}

bool ReferencePlanner::nominatedForOther(const PlannedStep& step, const std::string& target) const {
  if (!m_options.nominations) return false;
  const StepName own = nameOf(step);
  for (const auto& [name, targets] : m_lastNominated) {
    if (name != own && targets.count(target) > 0) return true;
  }
  return false;
}

double ReferencePlanner::penaltyOf(const PlannedStep& step, const PlannedTarget& target) const {
  const double nominated = nominatedForOther(step, target.id) ? internal::NominatedPenalty : 0.0;
  return target.penalty + nominated;
}

bool ReferencePlanner::matches(const PlannedStep& step, const PlannedTarget& target) const {
  if (target.service != step.workflow->record.service() || step.avoided.count(target.id) > 0) return false;
  const std::string& label = step.workflow->step(step.key.step).required_label();
  if (!label.empty() && target.labels.count(label) == 0) return false;
  return !step.tickets || step.tickets->count(target.id) > 0;
}

bool ReferencePlanner::mayStart(const PlannedStep& step, const PlannedTarget& target) const {
  return target.open && matches(step, target);
}

/** \returns whether a target has as many tasks of a step as the step allows on one target. */
bool ReferencePlanner::reachedTaskLimit(const schema::StepSpec& spec, const std::string& target,
                                        const std::map<std::string, unsigned>& placed) {
  const auto count = placed.find(target);
  return spec.max_per_target() > 0 && count != placed.end() && count->second >= spec.max_per_target();
}

/** \returns whether the targets on which a step has not failed could hold it, if it is a gang, or one of its tasks. */
bool ReferencePlanner::hasOtherTargets(const PlannedStep& step) const {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  if (spec.gang()) return couldHold(step, allTargets());
  const ResourceAmounts need = resourceAmountsOf(spec);
  return std::any_of(m_targets->begin(), m_targets->end(), [&](const PlannedTarget& target) {
    return mayStart(step, target) && target.capacity.holds(need);
  });
}

/** Subtracts a demand from a target's free capacity; sets it to zero if the target accepts one run at a time. */
void ReferencePlanner::occupy(TargetCapacities& capacities, std::size_t target, const ResourceAmounts& need) const {
  if ((*m_targets)[target].single) {
    capacities[target] = ResourceAmounts();
  } else {
    capacities[target].subtract(need);
  }
}

/** \returns whether some targets, open or not, could hold a whole gang if nothing else ran there. */
bool ReferencePlanner::couldHold(const PlannedStep& step, const std::vector<std::size_t>& among) const {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  const ResourceAmounts need = resourceAmountsOf(spec);
  std::size_t held = 0;
  for (const std::size_t i : among) {
    const PlannedTarget& target = (*m_targets)[i];
    if (!matches(step, target)) continue;
    ResourceAmounts capacity = target.capacity;
    for (unsigned tasks = 0; capacity.holds(need) && held < step.tasks.size(); ++tasks, ++held) {
      if (spec.max_per_target() > 0 && tasks >= spec.max_per_target()) break;
      capacity.subtract(need);
    }
  }
  return held >= step.tasks.size();
}

std::optional<std::size_t> ReferencePlanner::bestTarget(const PlannedStep& step, const std::vector<std::size_t>& among,
                                                        const TargetCapacities& capacities,
                                                        const std::map<std::string, unsigned>& placed) const {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  const ResourceAmounts need = resourceAmountsOf(spec);
  std::optional<std::size_t> chosen;
  double least = std::numeric_limits<double>::max();
  for (const std::size_t i : among) {
    const PlannedTarget& target = (*m_targets)[i];
    if (!mayStart(step, target) || !capacities[i].holds(need) || keptForUrgent(step, i, capacities)) continue;
    if (keptForReservations(step, i, capacities[i], need)) continue;
    if (reachedTaskLimit(spec, target.id, placed)) continue;
    const bool otherRack = !spec.preferred_rack().empty() && target.rack != spec.preferred_rack();
    const double cost = static_cast<double>(capacities[i].accelerators - need.accelerators) +
                        internal::CpuWeight * static_cast<double>(capacities[i].cpuMilli - need.cpuMilli) / 1000.0 +
                        internal::OrderWeight * static_cast<double>(step.isUrgent() ? m_targets->size() - i : i) +
                        (otherRack ? internal::OtherRackCost : 0.0) + penaltyOf(step, target);
    if (cost >= least) continue;
    // Outside its preferred rack a task takes several times as long, so it first waits about as long as it would run.
    if (otherRack && step.waitedMs < step.estimateMs) continue;
    least = cost;
    chosen = i;
  }
  return chosen;
}

/** \returns whether a target is one of the last fully free ones, which are kept for urgent work, and the step can still
 * wait. */
bool ReferencePlanner::keptForUrgent(const PlannedStep& step, std::size_t target,
                                     const TargetCapacities& capacities) const {
  if (m_keepFullyFree == 0 || step.isUrgent() || step.waitedMs >= m_options.headroomWaitMs) return false;
  const auto isWhole = [&](std::size_t i) {
    return (*m_targets)[i].open && capacities[i].accelerators >= (*m_targets)[i].capacity.accelerators;
  };
  if (!isWhole(target)) return false;
  unsigned whole = 0;
  for (std::size_t i = 0; i < capacities.size(); ++i) whole += isWhole(i) ? 1 : 0;
  return whole <= m_keepFullyFree;
}

void ReferencePlanner::addStarts(std::size_t index, const std::vector<std::size_t>& chosen) {
  PlannedStep& step = m_steps[index];
  const ResourceAmounts need = resourceAmountsOf(step.workflow->step(step.key.step));
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    m_plan.starts.push_back({index, step.tasks[i], chosen[i]});
    occupy(m_free, chosen[i], need);
    occupy(m_freeAfterEnds, chosen[i], need);
    occupy(m_freeAfterStops, chosen[i], need);
    ++step.placedOn[(*m_targets)[chosen[i]].id];
  }
}

void ReferencePlanner::serveTasks(std::size_t index) {
  const std::vector<std::size_t> among = allTargets();
  std::vector<std::size_t> chosen;
  {
    PlannedStep& step = m_steps[index];
    TargetCapacities capacities = m_free;
    std::map<std::string, unsigned> placed = step.placedOn;
    const ResourceAmounts need = resourceAmountsOf(step.workflow->step(step.key.step));
    while (chosen.size() < step.tasks.size()) {
      const std::optional<std::size_t> target = bestTarget(step, among, capacities, placed);
      if (!target) break;
      chosen.push_back(*target);
      occupy(capacities, *target, need);
      ++placed[(*m_targets)[*target].id];
    }
  }
  addStarts(index, chosen);
  PlannedStep& step = m_steps[index];
  step.tasks.erase(step.tasks.begin(), step.tasks.begin() + static_cast<std::ptrdiff_t>(chosen.size()));
  if (step.tasks.empty() || !step.isUrgent() || !m_options.preemption) return;
  if (!waitsForEnds(step)) preempt(index);
}

/** \returns groups of targets; a gang has to be placed within one of them. */
std::vector<std::vector<std::size_t>> ReferencePlanner::gangGroups(const PlannedStep& step) const {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  if (!spec.gang() || !spec.same_rack()) return {allTargets()};
  std::map<std::string, std::vector<std::size_t>> racks;
  for (std::size_t i = 0; i < m_targets->size(); ++i) racks[(*m_targets)[i].rack].push_back(i);
  std::vector<std::vector<std::size_t>> groups;
  for (auto& [rack, members] : racks) {
    if (couldHold(step, members)) groups.push_back(std::move(members));
  }
  // If no rack can ever hold the gang, or none had capacity for long, a slower gang spread over racks is better than
  // none.
  const bool waitedLong = step.waitedMs > m_options.spreadAfterEstimates * step.estimateMs;
  if (groups.empty() || (waitedLong && !step.isUrgent())) groups.push_back(allTargets());
  return groups;
}

bool ReferencePlanner::placeInGroup(const PlannedStep& step, const std::vector<std::size_t>& among,
                                    TargetCapacities capacities, Placement& placement) const {
  const ResourceAmounts need = resourceAmountsOf(step.workflow->step(step.key.step));
  std::map<std::string, unsigned> placed = step.placedOn;
  placement = Placement();
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const std::optional<std::size_t> target = bestTarget(step, among, capacities, placed);
    if (!target) return false;
    placement.targets.push_back(*target);
    occupy(capacities, *target, need);
    ++placed[(*m_targets)[*target].id];
    placement.cost += penaltyOf(step, (*m_targets)[*target]);
  }
  for (const std::size_t i : among)
    placement.cost += static_cast<double>(std::max<std::int64_t>(0, capacities[i].accelerators));
  return true;
}

bool ReferencePlanner::placeGang(const PlannedStep& step, const TargetCapacities& capacities,
                                 Placement& placement) const {
  return placeInBestGroup(step, gangGroups(step), capacities, placement);
}

bool ReferencePlanner::placeInBestGroup(const PlannedStep& step, const std::vector<std::vector<std::size_t>>& groups,
                                        const TargetCapacities& capacities, Placement& placement) const {
  bool found = false;
  for (const std::vector<std::size_t>& group : groups) {
    Placement next;
    if (!placeInGroup(step, group, capacities, next)) continue;
    if (!found || next.cost < placement.cost) placement = std::move(next);
    found = true;
  }
  return found;
}

void ReferencePlanner::serveGang(std::size_t index) {
  const PlannedStep& step = m_steps[index];
  Placement placement;
  if (placeGang(step, m_free, placement)) return addStarts(index, placement.targets);
  if (step.isUrgent() && m_options.preemption && (waitsForEnds(step) || preempt(index))) return;
  if (preemptForGang(index)) return;
  const bool mayReserve = m_reservations.size() < m_options.reservations;
  if (mayReserve && step.waitedMs >= m_options.reserveAfterMs) reserve(step);
}

/** Stops runs of lower rank for a gang outside priority 0 if little work is lost. Otherwise single tasks would occupy
 * each accelerator that becomes free, and the gang would never be placed. */
bool ReferencePlanner::preemptForGang(std::size_t index) {
  const PlannedStep& step = m_steps[index];
  const bool mayStop = m_options.preemption && m_options.gangLossRatio > 0.0 && !step.isUrgent();
  if (!mayStop || step.waitedMs < m_options.gangStopsAfterMs) return false;
  if (m_gangStops >= m_options.maxGangStopsPerPlan) return false;
  ++m_gangStops;
  return preempt(index);
}

/** \returns how much work of other steps may be lost for one task of a step, core-seconds. */
double ReferencePlanner::acceptableLoss(const PlannedStep& step) const {
  if (step.rank == GuaranteedRank) return std::numeric_limits<double>::max();
  if (m_options.yields && prospectOf(step, m_nowMs) != Prospect::InTime) return 0.0;
  return (step.isUrgent() ? m_options.lossRatio : m_options.gangLossRatio) * step.taskWork;
}

/** \returns whether a step may wait for runs that are expected to end soon; guaranteed work near its start bound may
 * not. */
bool ReferencePlanner::reliesOnEnds(const PlannedStep& step) const {
  return step.rank != GuaranteedRank || step.waitedMs < m_options.guaranteedStopAfterMs;
}

/** Reserves capacity that is being freed for a waiting step, and stops more runs if that capacity is not enough.
 * \returns whether capacity was reserved */
bool ReferencePlanner::preempt(std::size_t index) {
  const PlannedStep& step = m_steps[index];
  Placement placement;
  std::vector<std::size_t> victims;
  const bool gang = step.workflow->step(step.key.step).gang();
  const bool heldAfterEnds = gang && placeGang(step, freeAfterEndsFor(step), placement);
  if (!heldAfterEnds) {
    double least = std::numeric_limits<double>::max();
    for (const std::vector<std::size_t>& group : gangGroups(step)) {
      Placement next;
      std::vector<std::size_t> nextVictims;
      double cost = 0.0;
      if (!selectVictims(step, group, next, nextVictims, cost) || cost >= least) continue;
      least = cost;
      placement = std::move(next);
      victims = std::move(nextVictims);
    }
    if (placement.targets.empty()) return false;
  }
  for (const std::size_t run : victims) {
    m_stopped[run] = true;
    m_plan.stops.push_back({(*m_runs)[run].key, index});
    m_freeAfterStops[(*m_runs)[run].target].add((*m_runs)[run].need);
    if (!m_endsSoon[run]) m_freeAfterEnds[(*m_runs)[run].target].add((*m_runs)[run].need);
  }
  reserveAndNominate(step, placement);
  return true;
}

/** Reserves capacity that is being freed, so that steps served later cannot use it, and nominates its targets. */
void ReferencePlanner::reserveAndNominate(const PlannedStep& step, const Placement& placement) {
  const ResourceAmounts need = resourceAmountsOf(step.workflow->step(step.key.step));
  for (const std::size_t target : placement.targets) {
    occupy(m_free, target, need);
    occupy(m_freeAfterEnds, target, need);
    occupy(m_freeAfterStops, target, need);
    m_nominatedNow[nameOf(step)].insert((*m_targets)[target].id);
  }
}

/** \returns whether enough runs are expected to end by themselves soon enough; their capacity is then reserved. */
bool ReferencePlanner::waitsForEnds(const PlannedStep& step) {
  if (!m_options.patience) return false;
  const double slackMs = step.objectiveMs - m_nowMs - step.estimateMs;
  const bool hasStartBound = step.rank == GuaranteedRank;
  const double budgetMs = hasStartBound
                              ? std::min(m_options.patienceShare * slackMs, m_options.patienceLimitMs - step.waitedMs)
                              : m_options.urgentPatienceShare * slackMs;
  Placement placement;
  const std::optional<double> wait = delayUntilFree(step, placement);
  if (!wait || *wait > budgetMs) return false;
  reserveAndNominate(step, placement);
  return true;
}

/** \returns the runs that may be stopped for a step. */
ReferencePlanner::Stoppable ReferencePlanner::stoppableFor(const PlannedStep& step) const {
  Stoppable stoppable;
  for (std::size_t r = 0; r < m_runs->size(); ++r) {
    const PlannedRun& run = (*m_runs)[r];
    const bool waitsForEnd = m_endsSoon[r] && reliesOnEnds(step);
    if (run.stopping || waitsForEnd || !run.preemptible || run.rank <= step.rank) continue;
    stoppable.byTarget[run.target].push_back(r);
    if (!run.gang.empty()) stoppable.gangs[run.gang].push_back(r);
  }
  for (auto& [target, runs] : stoppable.byTarget) {
    for (const std::size_t r : runs) {
      double& loss = stoppable.losses[r];
      for (const std::size_t member : runsEndingWith(stoppable, r)) loss += (*m_runs)[member].lostWork + 1.0;
    }
    std::sort(runs.begin(), runs.end(),
              [&stoppable](std::size_t a, std::size_t b) { return stoppable.losses.at(a) < stoppable.losses.at(b); });
  }
  return stoppable;
}

/** \returns a run and all others that end with it: the members of its gang. */
std::vector<std::size_t> ReferencePlanner::runsEndingWith(const Stoppable& stoppable, std::size_t run) const {
  const std::string& gang = (*m_runs)[run].gang;
  return gang.empty() ? std::vector<std::size_t>{run} : stoppable.gangs.at(gang);
}

/** \returns the runs that have to be stopped so that a target can hold one more task, or nothing if that does not
 * suffice. The cheapest runs are chosen first. */
std::optional<ReferencePlanner::TargetVictims> ReferencePlanner::victimsOn(const PlannedStep& step, std::size_t target,
                                                                           const Stoppable& stoppable,
                                                                           const std::vector<bool>& stopped,
                                                                           ResourceAmounts capacity) const {
  const ResourceAmounts need = resourceAmountsOf(step.workflow->step(step.key.step));
  TargetVictims result{target, {}, penaltyOf(step, (*m_targets)[target])};
  const auto found = stoppable.byTarget.find(target);
  const std::vector<std::size_t> none;
  for (const std::size_t r : found == stoppable.byTarget.end() ? none : found->second) {
    if (capacity.holds(need)) break;
    const bool chosen = std::find(result.victims.begin(), result.victims.end(), r) != result.victims.end();
    if (stopped[r] || chosen) continue;  // stopped already, or with another member of its gang
    result.loss += stoppable.losses.at(r);
    for (const std::size_t member : runsEndingWith(stoppable, r)) {
      result.victims.push_back(member);
      if ((*m_runs)[member].target == target) capacity.add((*m_runs)[member].need);
    }
  }
  if (!capacity.holds(need)) return std::nullopt;
  return result;
}

/** Chooses targets for a step's tasks, and the runs to be stopped there. \returns whether a target was found for at
 * least one task, or for all tasks of a gang */
bool ReferencePlanner::selectVictims(const PlannedStep& step, const std::vector<std::size_t>& among,
                                     Placement& placement, std::vector<std::size_t>& victims, double& cost) const {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  const Stoppable stoppable = stoppableFor(step);
  TargetCapacities capacities = freeAfterEndsFor(step);
  std::vector<bool> stopped = m_stopped;
  std::map<std::string, unsigned> placed = step.placedOn;
  for (std::size_t task = 0; task < step.tasks.size(); ++task) {
    std::optional<TargetVictims> cheapest;
    for (const std::size_t i : among) {
      const PlannedTarget& target = (*m_targets)[i];
      if (reachedTaskLimit(spec, target.id, placed) || !mayStart(step, target)) continue;
      std::optional<TargetVictims> next = victimsOn(step, i, stoppable, stopped, capacities[i]);
      if (next && (!cheapest || next->loss < cheapest->loss)) cheapest = std::move(next);
    }
    // A step without a gang places as many tasks as the acceptable loss allows; a gang needs capacity for all its
    // tasks.
    if (!cheapest || cheapest->loss > acceptableLoss(step)) {
      if (spec.gang()) return false;
      break;
    }
    for (const std::size_t r : cheapest->victims) {
      stopped[r] = true;
      victims.push_back(r);
      capacities[(*m_runs)[r].target].add((*m_runs)[r].need);
    }
    occupy(capacities, cheapest->target, resourceAmountsOf(spec));
    ++placed[(*m_targets)[cheapest->target].id];
    placement.targets.push_back(cheapest->target);
    cost += cheapest->loss;
  }
  return !placement.targets.empty();
}

/** \returns the time after which enough runs will have ended by themselves for a step, ms, or nothing.
 * \param placement set to the targets that are free then \param among targets to choose from; null means all */
std::optional<double> ReferencePlanner::delayUntilFree(const PlannedStep& step, Placement& placement,
                                                       const std::vector<std::size_t>* among) const {
  const std::vector<std::vector<std::size_t>> groups =
      among == nullptr ? gangGroups(step) : std::vector<std::vector<std::size_t>>{*among};
  TargetCapacities capacities = m_free;
  for (const std::size_t r : m_byEnd) {
    const PlannedRun& run = (*m_runs)[r];
    capacities[run.target].add(run.need);
    if (placeInBestGroup(step, groups, capacities, placement)) return run.remainingMs;
  }
  return std::nullopt;
}

/** \returns the targets that were reserved for a gang in the last plan. */
std::vector<std::size_t> ReferencePlanner::lastReservedTargets(const PlannedStep& step) const {
  std::vector<std::size_t> among;
  const auto found = m_lastReserved.find(nameOf(step));
  if (found == m_lastReserved.end() || !m_options.stickyReservations) return among;
  for (std::size_t i = 0; i < m_targets->size(); ++i) {
    if (found->second.count((*m_targets)[i].id) > 0) among.push_back(i);
  }
  return among;
}

/** Reserves the capacity that becomes free first for a gang, so that steps served later use it only if they end before.
 */
void ReferencePlanner::reserve(const PlannedStep& step) {
  Placement placement;
  std::optional<double> wait;
  // The targets of the last reservation are tried first: a reservation that moved with each plan would never become
  // free.
  const std::vector<std::size_t> before = lastReservedTargets(step);
  if (!before.empty()) wait = delayUntilFree(step, placement, &before);
  if (!wait) wait = delayUntilFree(step, placement);
  if (!wait) return;
  for (const std::size_t target : placement.targets) m_reservedNow[nameOf(step)].insert((*m_targets)[target].id);
  const ResourceAmounts need = resourceAmountsOf(step.workflow->step(step.key.step));
  Reservation reservation{TargetCapacities(m_targets->size()), *wait};
  for (const std::size_t target : placement.targets) reservation.capacities[target].add(need);
  m_reservations.push_back(std::move(reservation));
}

/** \returns whether a target's capacity is reserved for gangs that the step would delay. */
bool ReferencePlanner::keptForReservations(const PlannedStep& step, std::size_t target, const ResourceAmounts& capacity,
                                           const ResourceAmounts& need) const {
  ResourceAmounts spare = capacity;
  bool anyReserved = false;
  for (const Reservation& reservation : m_reservations) {
    const ResourceAmounts& reserved = reservation.capacities[target];
    const bool any = reserved.cpuMilli > 0 || reserved.memoryMb > 0 || reserved.accelerators > 0;
    if (!any || m_options.backfillMargin * step.estimateMs <= reservation.untilMs) continue;
    spare.subtract(reserved);
    anyReserved = true;
  }
  return anyReserved && !spare.holds(need);
}

}  // namespace courseloom::test
