// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/reference/FormerPlanner.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace courseloom::test {

namespace internal {
namespace {

/** Cost of running away from the data, against packing. */
constexpr double AwayFromData = 1000.0;
constexpr double CpuWeight = 0.0001;
/** Urgent work begins at one end of the targets and other work at the other, so that whole racks stay free between. */
constexpr double OrderWeight = 0.01;
/** Cost of a target that is being freed for another step. */
constexpr double NominatedPenalty = 20.0;

}  // namespace
}  // namespace internal

RunPlan FormerPlanner::plan(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs,
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
  m_later = m_free;
  m_sure = m_free;
  findEndsSoon();
  orderByEnd();
  for (std::size_t r = 0; r < runs.size(); ++r) {
    occupy(m_free, runs[r].target, runs[r].need);
    if (runs[r].stopping) continue;
    occupy(m_sure, runs[r].target, runs[r].need);
    if (!m_endsSoon[r]) occupy(m_later, runs[r].target, runs[r].need);
  }
  age();
  m_nominating.clear();
  m_waitingFor.clear();
  for (const std::size_t index : servingOrder()) serve(index);
  m_nominated = std::move(m_nominating);
  m_waitedFor = std::move(m_waitingFor);
  return std::move(m_plan);
}

/** Strict ranks under lasting overload would never serve the lowest class. */
void FormerPlanner::age() {
  if (m_options.ageAfterEstimates == 0.0) return;
  const Rank oldest = rankOf(1, false);
  for (PlannedStep& step : m_steps) {
    const bool old = step.waitedMs > m_options.ageAfterEstimates * step.estimateMs;
    if (old && step.rank > oldest) step.rank = oldest;
  }
}

/** \returns the steps by index, the one to be served first at the front. */
std::vector<std::size_t> FormerPlanner::servingOrder() const {
  std::vector<std::size_t> order(m_steps.size());
  std::iota(order.begin(), order.end(), 0U);
  std::stable_sort(order.begin(), order.end(), [this](std::size_t a, std::size_t b) {
    const PlannedStep& left = m_steps[a];
    const PlannedStep& right = m_steps[b];
    if (left.rank != right.rank) return left.rank < right.rank;
    // Guaranteed work begins within its bound, whatever it can still earn.
    const bool weighs = m_options.prospects && left.rank != GuaranteedRank;
    const Prospect leftProspect = prospectOf(left, m_nowMs);
    const Prospect rightProspect = prospectOf(right, m_nowMs);
    if (weighs && leftProspect != rightProspect) return leftProspect < rightProspect;
    return left.objectiveMs < right.objectiveMs;
  });
  return order;
}

/** Expectations may be wrong: a run that should have ended a while ago is not counted on any more. */
void FormerPlanner::findEndsSoon() {
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

void FormerPlanner::orderByEnd() {
  m_byEnd.resize(m_runs->size());
  std::iota(m_byEnd.begin(), m_byEnd.end(), 0U);
  std::sort(m_byEnd.begin(), m_byEnd.end(),
            [this](std::size_t a, std::size_t b) { return (*m_runs)[a].remainingMs < (*m_runs)[b].remainingMs; });
}

std::vector<std::size_t> FormerPlanner::all() const {
  std::vector<std::size_t> among(m_targets->size());
  std::iota(among.begin(), among.end(), 0U);
  return among;
}

void FormerPlanner::serve(std::size_t index) {
  PlannedStep& step = m_steps[index];
  if (step.tickets && step.tickets->empty()) return;
  if (!step.avoided.empty() && !hasOthers(step)) step.avoided.clear();
  if (step.workflow->step(step.key.step).gang()) {
    serveGang(index);
  } else {
    servePieces(index);
  }
}

bool FormerPlanner::nominatedForOther(const PlannedStep& step, const std::string& target) const {
  if (!m_options.nominations) return false;
  const StepName own = nameOf(step);
  for (const auto& [name, targets] : m_nominated) {
    if (name != own && targets.count(target) > 0) return true;
  }
  return false;
}

double FormerPlanner::penaltyOf(const PlannedStep& step, const PlannedTarget& target) const {
  const double nominated = nominatedForOther(step, target.id) ? internal::NominatedPenalty : 0.0;
  return target.penalty + nominated;
}

bool FormerPlanner::wouldServe(const PlannedStep& step, const PlannedTarget& target) const {
  if (target.service != step.workflow->record.service() || step.avoided.count(target.id) > 0) return false;
  const std::string& label = step.workflow->step(step.key.step).required_label();
  if (!label.empty() && target.labels.count(label) == 0) return false;
  return !step.tickets || step.tickets->count(target.id) > 0;
}

bool FormerPlanner::allowed(const PlannedStep& step, const PlannedTarget& target) const {
  return target.open && wouldServe(step, target);
}

/** \returns whether a target has as many tasks of a step as one may have. */
bool FormerPlanner::isFull(const schema::StepSpec& spec, const std::string& target,
                           const std::map<std::string, unsigned>& placed) {
  const auto count = placed.find(target);
  return spec.max_per_target() > 0 && count != placed.end() && count->second >= spec.max_per_target();
}

/** \returns whether targets on which the step has not failed could hold it, or a task of it. */
bool FormerPlanner::hasOthers(const PlannedStep& step) const {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  if (spec.gang()) return couldHold(step, all());
  const ResourceAmounts need = resourceAmountsOf(spec);
  return std::any_of(m_targets->begin(), m_targets->end(),
                     [&](const PlannedTarget& target) { return allowed(step, target) && target.capacity.holds(need); });
}

/** Takes room of a target; all of it where one run at a time is the limit. */
void FormerPlanner::occupy(TargetCapacities& rooms, std::size_t target, const ResourceAmounts& need) const {
  if ((*m_targets)[target].single) {
    rooms[target] = ResourceAmounts();
  } else {
    rooms[target].subtract(need);
  }
}

/** \returns whether targets could hold a whole gang if nothing else ran there, open to new runs now or not. */
bool FormerPlanner::couldHold(const PlannedStep& step, const std::vector<std::size_t>& among) const {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  const ResourceAmounts need = resourceAmountsOf(spec);
  std::size_t held = 0;
  for (const std::size_t i : among) {
    const PlannedTarget& target = (*m_targets)[i];
    if (!wouldServe(step, target)) continue;
    ResourceAmounts room = target.capacity;
    for (unsigned tasks = 0; room.holds(need) && held < step.tasks.size(); ++tasks, ++held) {
      if (spec.max_per_target() > 0 && tasks >= spec.max_per_target()) break;
      room.subtract(need);
    }
  }
  return held >= step.tasks.size();
}

std::optional<std::size_t> FormerPlanner::best(const PlannedStep& step, const std::vector<std::size_t>& among,
                                               const TargetCapacities& rooms,
                                               const std::map<std::string, unsigned>& placed) const {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  const ResourceAmounts need = resourceAmountsOf(spec);
  std::optional<std::size_t> chosen;
  double least = std::numeric_limits<double>::max();
  for (const std::size_t i : among) {
    const PlannedTarget& target = (*m_targets)[i];
    if (!allowed(step, target) || !rooms[i].holds(need) || keptForUrgent(step, i, rooms)) continue;
    if (keptByReservations(step, i, rooms[i], need)) continue;
    if (isFull(spec, target.id, placed)) continue;
    const bool away = !spec.preferred_rack().empty() && target.rack != spec.preferred_rack();
    const double cost = static_cast<double>(rooms[i].accelerators - need.accelerators) +
                        internal::CpuWeight * static_cast<double>(rooms[i].cpuMilli - need.cpuMilli) / 1000.0 +
                        internal::OrderWeight * static_cast<double>(step.isUrgent() ? m_targets->size() - i : i) +
                        (away ? internal::AwayFromData : 0.0) + penaltyOf(step, target);
    if (cost >= least) continue;
    // Far from its data a task takes several times as long, so it first waits about as long as it would run.
    if (away && step.waitedMs < step.estimateMs) continue;
    least = cost;
    chosen = i;
  }
  return chosen;
}

/** \returns whether a target is one of the last whole ones, and the step can still wait. */
bool FormerPlanner::keptForUrgent(const PlannedStep& step, std::size_t target, const TargetCapacities& rooms) const {
  if (m_keepFullyFree == 0 || step.isUrgent() || step.waitedMs >= m_options.headroomWaitMs) return false;
  const auto isWhole = [&](std::size_t i) {
    return (*m_targets)[i].open && rooms[i].accelerators >= (*m_targets)[i].capacity.accelerators;
  };
  if (!isWhole(target)) return false;
  unsigned whole = 0;
  for (std::size_t i = 0; i < rooms.size(); ++i) whole += isWhole(i) ? 1 : 0;
  return whole <= m_keepFullyFree;
}

void FormerPlanner::take(std::size_t index, const std::vector<std::size_t>& chosen) {
  PlannedStep& step = m_steps[index];
  const ResourceAmounts need = resourceAmountsOf(step.workflow->step(step.key.step));
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    m_plan.starts.push_back({index, step.tasks[i], chosen[i]});
    occupy(m_free, chosen[i], need);
    occupy(m_later, chosen[i], need);
    occupy(m_sure, chosen[i], need);
    ++step.placedOn[(*m_targets)[chosen[i]].id];
  }
}

void FormerPlanner::servePieces(std::size_t index) {
  const std::vector<std::size_t> among = all();
  std::vector<std::size_t> chosen;
  {
    PlannedStep& step = m_steps[index];
    TargetCapacities rooms = m_free;
    std::map<std::string, unsigned> placed = step.placedOn;
    const ResourceAmounts need = resourceAmountsOf(step.workflow->step(step.key.step));
    while (chosen.size() < step.tasks.size()) {
      const std::optional<std::size_t> target = best(step, among, rooms, placed);
      if (!target) break;
      chosen.push_back(*target);
      occupy(rooms, *target, need);
      ++placed[(*m_targets)[*target].id];
    }
  }
  take(index, chosen);
  PlannedStep& step = m_steps[index];
  step.tasks.erase(step.tasks.begin(), step.tasks.begin() + static_cast<std::ptrdiff_t>(chosen.size()));
  if (step.tasks.empty() || !step.isUrgent() || !m_options.preemption) return;
  if (!waitsInPeace(step)) preempt(index);
}

/** Groups of targets within one of which a gang has to be. */
std::vector<std::vector<std::size_t>> FormerPlanner::gangGroups(const PlannedStep& step) const {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  if (!spec.gang() || !spec.same_rack()) return {all()};
  std::map<std::string, std::vector<std::size_t>> racks;
  for (std::size_t i = 0; i < m_targets->size(); ++i) racks[(*m_targets)[i].rack].push_back(i);
  std::vector<std::vector<std::size_t>> groups;
  for (auto& [rack, members] : racks) {
    if (couldHold(step, members)) groups.push_back(std::move(members));
  }
  // No rack could ever hold it, or none did for long: better spread, and slower, than never.
  const bool waitedLong = step.waitedMs > m_options.spreadAfterEstimates * step.estimateMs;
  if (groups.empty() || (waitedLong && !step.isUrgent())) groups.push_back(all());
  return groups;
}

bool FormerPlanner::fillGang(const PlannedStep& step, const std::vector<std::size_t>& among, TargetCapacities rooms,
                             Choice& choice) const {
  const ResourceAmounts need = resourceAmountsOf(step.workflow->step(step.key.step));
  std::map<std::string, unsigned> placed = step.placedOn;
  choice = Choice();
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const std::optional<std::size_t> target = best(step, among, rooms, placed);
    if (!target) return false;
    choice.targets.push_back(*target);
    occupy(rooms, *target, need);
    ++placed[(*m_targets)[*target].id];
    choice.cost += penaltyOf(step, (*m_targets)[*target]);
  }
  for (const std::size_t i : among)
    choice.cost += static_cast<double>(std::max<std::int64_t>(0, rooms[i].accelerators));
  return true;
}

bool FormerPlanner::tryGang(const PlannedStep& step, const TargetCapacities& rooms, Choice& choice) const {
  return tryGroups(step, gangGroups(step), rooms, choice);
}

bool FormerPlanner::tryGroups(const PlannedStep& step, const std::vector<std::vector<std::size_t>>& groups,
                              const TargetCapacities& rooms, Choice& choice) const {
  bool found = false;
  for (const std::vector<std::size_t>& group : groups) {
    Choice next;
    if (!fillGang(step, group, rooms, next)) continue;
    if (!found || next.cost < choice.cost) choice = std::move(next);
    found = true;
  }
  return found;
}

void FormerPlanner::serveGang(std::size_t index) {
  const PlannedStep& step = m_steps[index];
  Choice choice;
  if (tryGang(step, m_free, choice)) return take(index, choice.targets);
  if (step.isUrgent() && m_options.preemption && (waitsInPeace(step) || preempt(index))) return;
  if (preemptForGang(index)) return;
  const bool mayReserve = m_reservations.size() < m_options.reservations;
  if (mayReserve && step.waitedMs >= m_options.reserveAfterMs) reserve(step);
}

/** A gang finds no place among single tasks, which take each accelerator that becomes free; it may stop those of lower
 * priority where little is lost. */
bool FormerPlanner::preemptForGang(std::size_t index) {
  const PlannedStep& step = m_steps[index];
  const bool mayStop = m_options.preemption && m_options.gangLossRatio > 0.0 && !step.isUrgent();
  if (!mayStop || step.waitedMs < m_options.gangStopsAfterMs) return false;
  if (m_gangStops >= m_options.maxGangStopsPerPlan) return false;
  ++m_gangStops;
  return preempt(index);
}

/** \returns the work of others, core-seconds, that may be lost for one task of a step. */
double FormerPlanner::worthStopping(const PlannedStep& step) const {
  if (step.rank == GuaranteedRank) return std::numeric_limits<double>::max();
  if (m_options.yields && prospectOf(step, m_nowMs) != Prospect::InTime) return 0.0;
  return (step.isUrgent() ? m_options.lossRatio : m_options.gangLossRatio) * step.taskWork;
}

/** \returns whether a step may count on runs that are about to end; guaranteed work near its bound may not. */
bool FormerPlanner::trustsEnds(const PlannedStep& step) const {
  return step.rank != GuaranteedRank || step.waitedMs < m_options.guaranteedStopAfterMs;
}

/** Sets room aside for what waits; if what is being stopped is not enough, chooses more to stop. */
bool FormerPlanner::preempt(std::size_t index) {
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
void FormerPlanner::setAside(const PlannedStep& step, const Choice& choice) {
  const ResourceAmounts need = resourceAmountsOf(step.workflow->step(step.key.step));
  for (const std::size_t target : choice.targets) {
    occupy(m_free, target, need);
    occupy(m_later, target, need);
    occupy(m_sure, target, need);
    m_nominating[nameOf(step)].insert((*m_targets)[target].id);
  }
}

/** \returns whether enough runs end by themselves soon enough; their room is set aside then. */
bool FormerPlanner::waitsInPeace(const PlannedStep& step) {
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
FormerPlanner::Stoppable FormerPlanner::stoppableFor(const PlannedStep& step) const {
  Stoppable stoppable;
  for (std::size_t r = 0; r < m_runs->size(); ++r) {
    const PlannedRun& run = (*m_runs)[r];
    const bool waitsForIt = m_endsSoon[r] && trustsEnds(step);
    if (run.stopping || waitsForIt || !run.preemptible || run.rank <= step.rank) continue;
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
std::vector<std::size_t> FormerPlanner::wholeOf(const Stoppable& stoppable, std::size_t run) const {
  const std::string& gang = (*m_runs)[run].gang;
  return gang.empty() ? std::vector<std::size_t>{run} : stoppable.gangs.at(gang);
}

/** \returns what has to be stopped on one target so that it holds one more task, the cheapest first, or nothing. */
std::optional<FormerPlanner::Clearing> FormerPlanner::clear(const PlannedStep& step, std::size_t target,
                                                            const Stoppable& stoppable, const std::vector<bool>& gone,
                                                            ResourceAmounts room) const {
  const ResourceAmounts need = resourceAmountsOf(step.workflow->step(step.key.step));
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
bool FormerPlanner::makeRoom(const PlannedStep& step, const std::vector<std::size_t>& among, Choice& choice,
                             std::vector<std::size_t>& victims, double& cost) const {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  const Stoppable stoppable = stoppableFor(step);
  TargetCapacities rooms = laterFor(step);
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
    occupy(rooms, cheapest->target, resourceAmountsOf(spec));
    ++placed[(*m_targets)[cheapest->target].id];
    choice.targets.push_back(cheapest->target);
    cost += cheapest->price;
  }
  return !choice.targets.empty();
}

/** \returns the time after which enough runs will have ended by themselves, ms, and the places that are free then. */
std::optional<double> FormerPlanner::naturalWait(const PlannedStep& step, Choice& choice,
                                                 const std::vector<std::size_t>* among) const {
  const std::vector<std::vector<std::size_t>> groups =
      among == nullptr ? gangGroups(step) : std::vector<std::vector<std::size_t>>{*among};
  TargetCapacities rooms = m_free;
  for (const std::size_t r : m_byEnd) {
    const PlannedRun& run = (*m_runs)[r];
    rooms[run.target].add(run.need);
    if (tryGroups(step, groups, rooms, choice)) return run.remainingMs;
  }
  return std::nullopt;
}

/** \returns the targets that a gang waited for at the last plan. */
std::vector<std::size_t> FormerPlanner::waitedFor(const PlannedStep& step) const {
  std::vector<std::size_t> among;
  const auto found = m_waitedFor.find(nameOf(step));
  if (found == m_waitedFor.end() || !m_options.stickyReservations) return among;
  for (std::size_t i = 0; i < m_targets->size(); ++i) {
    if (found->second.count((*m_targets)[i].id) > 0) among.push_back(i);
  }
  return among;
}

/** Keeps the place that will be free first from later work that would take longer. */
void FormerPlanner::reserve(const PlannedStep& step) {
  Choice choice;
  std::optional<double> wait;
  // What it has waited for so far comes first: a place that moves with each plan never becomes free.
  const std::vector<std::size_t> before = waitedFor(step);
  if (!before.empty()) wait = naturalWait(step, choice, &before);
  if (!wait) wait = naturalWait(step, choice);
  if (!wait) return;
  for (const std::size_t target : choice.targets) m_waitingFor[nameOf(step)].insert((*m_targets)[target].id);
  const ResourceAmounts need = resourceAmountsOf(step.workflow->step(step.key.step));
  Reservation reservation{TargetCapacities(m_targets->size()), *wait};
  for (const std::size_t target : choice.targets) reservation.rooms[target].add(need);
  m_reservations.push_back(std::move(reservation));
}

/** \returns whether a target's room is kept for gangs that would be held up by the step. */
bool FormerPlanner::keptByReservations(const PlannedStep& step, std::size_t target, const ResourceAmounts& room,
                                       const ResourceAmounts& need) const {
  ResourceAmounts spare = room;
  bool kept = false;
  for (const Reservation& reservation : m_reservations) {
    const ResourceAmounts& set = reservation.rooms[target];
    const bool here = set.cpuMilli > 0 || set.memoryMb > 0 || set.accelerators > 0;
    if (!here || m_options.backfillMargin * step.estimateMs <= reservation.untilMs) continue;
    spare.subtract(set);
    kept = true;
  }
  return kept && !spare.holds(need);
}

}  // namespace courseloom::test
