// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/RunPlanner.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace courseloom {

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

void Room::add(const Room& other) {
  cpuMilli += other.cpuMilli;
  memoryMb += other.memoryMb;
  accelerators += other.accelerators;
}

void Room::subtract(const Room& other) {
  cpuMilli -= other.cpuMilli;
  memoryMb -= other.memoryMb;
  accelerators -= other.accelerators;
}

bool Room::holds(const Room& need) const {
  const bool cpu = need.cpuMilli == 0 || cpuMilli >= need.cpuMilli;
  const bool memory = need.memoryMb == 0 || memoryMb >= need.memoryMb;
  return cpu && memory && (need.accelerators == 0 || accelerators >= need.accelerators);
}

Rank rankOf(std::uint32_t priority, bool guaranteed) {
  if (priority == 0) return guaranteed ? GuaranteedRank : UrgentRank;
  return UrgentRank + priority;
}

Prospect prospectOf(const PlannedStep& step, double nowMs) {
  const double endMs = nowMs + step.estimateMs;
  if (endMs <= step.objectiveMs) return Prospect::InTime;
  return step.worthlessMs == 0.0 || endMs <= step.worthlessMs ? Prospect::Late : Prospect::Worthless;
}

Room roomOf(const schema::Resources& resources) {
  return {static_cast<std::int64_t>(resources.cpu_milli()), static_cast<std::int64_t>(resources.memory_mb()),
          static_cast<std::int64_t>(resources.accelerators())};
}

Room roomOf(const schema::StepSpec& step) {
  Room room = roomOf(step.need());
  if (step.filler()) room.cpuMilli = 0;
  return room;
}

std::vector<RunPlan::Start> startsInReach(const RunPlan& plan, const std::vector<PlannedStep>& steps,
                                          const std::function<bool(std::size_t target)>& inReach,
                                          std::set<std::size_t>& withheld) {
  std::set<std::size_t> heldGangs;  // by index among the steps
  for (const RunPlan::Start& start : plan.starts) {
    if (inReach(start.target)) continue;
    withheld.insert(start.target);
    const PlannedStep& step = steps[start.step];
    if (step.workflow->step(step.key.step).gang()) heldGangs.insert(start.step);
  }
  std::vector<RunPlan::Start> starts;
  for (const RunPlan::Start& start : plan.starts) {
    if (withheld.count(start.target) == 0 && heldGangs.count(start.step) == 0) starts.push_back(start);
  }
  return starts;
}

RunPlan RunPlanner::plan(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs,
                         std::vector<PlannedStep> steps, unsigned keepWhole, double nowMs) {
  m_targets = &targets;
  m_keepWhole = m_options.headroom ? keepWhole : 0;
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
void RunPlanner::age() {
  if (m_options.ageAfterEstimates == 0.0) return;
  const Rank oldest = rankOf(1, false);
  for (PlannedStep& step : m_steps) {
    const bool old = step.waitedMs > m_options.ageAfterEstimates * step.estimateMs;
    if (old && step.rank > oldest) step.rank = oldest;
  }
}

/** \returns the steps by index, the one to be served first at the front. */
std::vector<std::size_t> RunPlanner::servingOrder() const {
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
void RunPlanner::findEndsSoon() {
  std::map<RunKey, double> since;
  m_endsSoon.assign(m_runs->size(), false);
  for (std::size_t r = 0; r < m_runs->size(); ++r) {
    const PlannedRun& run = (*m_runs)[r];
    if (!run.movable || run.remainingMs > m_options.endsSoonMs) continue;
    const auto before = m_soonSince.find(run.key);
    since[run.key] = before == m_soonSince.end() ? m_nowMs : before->second;
    m_endsSoon[r] = m_nowMs - since[run.key] <= m_options.endsSoonTrustMs;
  }
  m_soonSince = std::move(since);
}

void RunPlanner::orderByEnd() {
  m_byEnd.resize(m_runs->size());
  std::iota(m_byEnd.begin(), m_byEnd.end(), 0U);
  std::sort(m_byEnd.begin(), m_byEnd.end(),
            [this](std::size_t a, std::size_t b) { return (*m_runs)[a].remainingMs < (*m_runs)[b].remainingMs; });
}

std::vector<std::size_t> RunPlanner::all() const {
  std::vector<std::size_t> among(m_targets->size());
  std::iota(among.begin(), among.end(), 0U);
  return among;
}

void RunPlanner::serve(std::size_t index) {
  PlannedStep& step = m_steps[index];
  if (step.tickets && step.tickets->empty()) return;
  if (!step.avoided.empty() && !hasOthers(step)) step.avoided.clear();
  if (step.workflow->step(step.key.step).gang()) {
    serveGang(index);
  } else {
    servePieces(index);
  }
}

bool RunPlanner::nominatedForOther(const PlannedStep& step, const std::string& target) const {
  if (!m_options.nominations) return false;
  const StepName own = nameOf(step);
  for (const auto& [name, targets] : m_nominated) {
    if (name != own && targets.count(target) > 0) return true;
  }
  return false;
}

double RunPlanner::penaltyOf(const PlannedStep& step, const PlannedTarget& target) const {
  const double nominated = nominatedForOther(step, target.id) ? internal::NominatedPenalty : 0.0;
  return target.penalty + nominated;
}

bool RunPlanner::wouldServe(const PlannedStep& step, const PlannedTarget& target) const {
  if (target.service != step.workflow->record.service() || step.avoided.count(target.id) > 0) return false;
  const std::string& label = step.workflow->step(step.key.step).required_label();
  if (!label.empty() && target.labels.count(label) == 0) return false;
  return !step.tickets || step.tickets->count(target.id) > 0;
}

bool RunPlanner::allowed(const PlannedStep& step, const PlannedTarget& target) const {
  return target.open && wouldServe(step, target);
}

/** \returns whether a target has as many tasks of a step as one may have. */
bool RunPlanner::isFull(const schema::StepSpec& spec, const std::string& target,
                        const std::map<std::string, unsigned>& placed) {
  const auto count = placed.find(target);
  return spec.max_per_target() > 0 && count != placed.end() && count->second >= spec.max_per_target();
}

/** \returns whether targets on which the step has not failed could hold it, or a task of it. */
bool RunPlanner::hasOthers(const PlannedStep& step) const {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  if (spec.gang()) return couldHold(step, all());
  const Room need = roomOf(spec);
  return std::any_of(m_targets->begin(), m_targets->end(),
                     [&](const PlannedTarget& target) { return allowed(step, target) && target.capacity.holds(need); });
}

/** Takes room of a target; all of it where one run at a time is the limit. */
void RunPlanner::occupy(Rooms& rooms, std::size_t target, const Room& need) const {
  if ((*m_targets)[target].single) {
    rooms[target] = Room();
  } else {
    rooms[target].subtract(need);
  }
}

/** \returns whether targets could hold a whole gang if nothing else ran there, open to new runs now or not. */
bool RunPlanner::couldHold(const PlannedStep& step, const std::vector<std::size_t>& among) const {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  const Room need = roomOf(spec);
  std::size_t held = 0;
  for (const std::size_t i : among) {
    const PlannedTarget& target = (*m_targets)[i];
    if (!wouldServe(step, target)) continue;
    Room room = target.capacity;
    for (unsigned tasks = 0; room.holds(need) && held < step.tasks.size(); ++tasks, ++held) {
      if (spec.max_per_target() > 0 && tasks >= spec.max_per_target()) break;
      room.subtract(need);
    }
  }
  return held >= step.tasks.size();
}

std::optional<std::size_t> RunPlanner::best(const PlannedStep& step, const std::vector<std::size_t>& among,
                                            const Rooms& rooms, const std::map<std::string, unsigned>& placed) const {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  const Room need = roomOf(spec);
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
bool RunPlanner::keptForUrgent(const PlannedStep& step, std::size_t target, const Rooms& rooms) const {
  if (m_keepWhole == 0 || step.isUrgent() || step.waitedMs >= m_options.headroomWaitMs) return false;
  const auto isWhole = [&](std::size_t i) {
    return (*m_targets)[i].open && rooms[i].accelerators >= (*m_targets)[i].capacity.accelerators;
  };
  if (!isWhole(target)) return false;
  unsigned whole = 0;
  for (std::size_t i = 0; i < rooms.size(); ++i) whole += isWhole(i) ? 1 : 0;
  return whole <= m_keepWhole;
}

void RunPlanner::take(std::size_t index, const std::vector<std::size_t>& chosen) {
  PlannedStep& step = m_steps[index];
  const Room need = roomOf(step.workflow->step(step.key.step));
  for (std::size_t i = 0; i < chosen.size(); ++i) {
    m_plan.starts.push_back({index, step.tasks[i], chosen[i]});
    occupy(m_free, chosen[i], need);
    occupy(m_later, chosen[i], need);
    occupy(m_sure, chosen[i], need);
    ++step.placedOn[(*m_targets)[chosen[i]].id];
  }
}

void RunPlanner::servePieces(std::size_t index) {
  const std::vector<std::size_t> among = all();
  std::vector<std::size_t> chosen;
  {
    PlannedStep& step = m_steps[index];
    Rooms rooms = m_free;
    std::map<std::string, unsigned> placed = step.placedOn;
    const Room need = roomOf(step.workflow->step(step.key.step));
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
std::vector<std::vector<std::size_t>> RunPlanner::gangGroups(const PlannedStep& step) const {
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

bool RunPlanner::fillGang(const PlannedStep& step, const std::vector<std::size_t>& among, Rooms rooms,
                          Choice& choice) const {
  const Room need = roomOf(step.workflow->step(step.key.step));
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

bool RunPlanner::tryGang(const PlannedStep& step, const Rooms& rooms, Choice& choice) const {
  return tryGroups(step, gangGroups(step), rooms, choice);
}

bool RunPlanner::tryGroups(const PlannedStep& step, const std::vector<std::vector<std::size_t>>& groups,
                           const Rooms& rooms, Choice& choice) const {
  bool found = false;
  for (const std::vector<std::size_t>& group : groups) {
    Choice next;
    if (!fillGang(step, group, rooms, next)) continue;
    if (!found || next.cost < choice.cost) choice = std::move(next);
    found = true;
  }
  return found;
}

void RunPlanner::serveGang(std::size_t index) {
  const PlannedStep& step = m_steps[index];
  Choice choice;
  if (tryGang(step, m_free, choice)) return take(index, choice.targets);
  if (step.isUrgent() && m_options.preemption && (waitsInPeace(step) || preempt(index))) return;
  if (preemptForGang(index)) return;
  const bool mayReserve = m_reservations.size() < m_options.reservations;
  if (mayReserve && step.waitedMs >= m_options.reserveAfterMs) reserve(step);
}

}  // namespace courseloom
