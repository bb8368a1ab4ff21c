// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/RunPlanner.h"

#include <algorithm>
#include <numeric>
#include <string_view>
#include <tuple>

#include "Courseloom/src/Scheduling/Lateness.h"

namespace courseloom {

RunPlanner::Pass::Pass(const std::vector<PlannedTarget>& givenTargets, const std::vector<PlannedRun>& givenRuns,
                       const std::vector<PlannedStep>& givenSteps)
    : runs(givenRuns), steps(givenSteps), targets(givenTargets) {}

RunPlan RunPlanner::plan(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs,
                         const std::vector<PlannedStep>& steps, unsigned keepFullyFree, double nowMs) {
  begin(targets, runs, steps, keepFullyFree, nowMs);
  advance([] { return false; });
  return finish();
}

void RunPlanner::begin(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs,
                       const std::vector<PlannedStep>& steps, unsigned keepFullyFree, double nowMs) {
  m_pass = std::make_unique<Pass>(targets, runs, steps);
  m_pass->nowMs = nowMs;
  readSteps();
  updateUrgentLimit();
  orderSteps();
  updateUnstartedSteps();
  const unsigned headroomTargets = m_options.headroom ? keepFullyFree : 0;
  if (m_options.fillLimit) m_fillLimits.update(targets, runs, steps, headroomTargets, nowMs);
  m_pass->placer = std::make_unique<Placer>(m_pass->targets, m_options, loadNominations(), headroomTargets,
                                            m_pass->targets.lateChances(m_urgentLimit),
                                            m_options.fillLimit ? &m_fillLimits : nullptr);
  findRunsEndingSoon();
  computeFreeCapacities();
  findHolds();
  m_fullyFreeTargets = m_pass->placer->countFullyFree(m_pass->free);
  m_pass->forecast = std::make_unique<EndForecast>(runs, m_pass->targets, *m_pass->placer);
  m_pass->victimSelector = std::make_unique<VictimSelector>(runs, m_pass->targets, *m_pass->placer, m_pass->endsSoon);
}

void RunPlanner::observe(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs, double nowMs) {
  if (m_options.fillLimit) m_fillLimits.update(targets, runs, {}, 0, nowMs);
}

bool RunPlanner::advance(const std::function<bool()>& timeIsUp) {
  while (m_pass->next < m_pass->order.size()) {
    StepDemand& demand = m_pass->demands[m_pass->order[m_pass->next]];
    applyHolds(demand.rank);
    serve(demand);
    ++m_pass->next;
    if (timeIsUp()) break;
  }
  return m_pass->next == m_pass->order.size();
}

std::vector<std::string> RunPlanner::workflowsOfSteps() const {
  std::vector<std::string> workflows;
  workflows.reserve(m_pass->names.size());
  for (const StepName& name : m_pass->names) workflows.push_back(name.first);
  return workflows;
}

std::set<std::string> RunPlanner::heldTargets() const {
  std::set<std::string> held;
  for (const auto& [step, targets] : m_lastNominated) held.insert(targets.begin(), targets.end());
  for (const auto& [step, targets] : m_lastReserved) held.insert(targets.begin(), targets.end());
  return held;
}

std::set<StopBackoff::StepName> RunPlanner::rememberedSteps() const {
  StopBackoff::PendingTasks pending;
  m_stopBackoff.addSteps(pending);
  m_keptTargets.addSteps(pending);
  std::set<StepName> steps;
  for (const auto& [step, tasks] : pending) steps.insert(step);
  for (const auto& [step, targets] : m_lastNominated) steps.insert(step);
  for (const auto& [step, targets] : m_lastReserved) steps.insert(step);
  return steps;
}

RunPlan RunPlanner::finish() {
  m_lastNominated = std::move(m_pass->nominatedTargets);
  m_lastReserved = std::move(m_pass->reservedTargets);
  RunPlan plan = std::move(m_pass->plan);
  m_pass.reset();
  return plan;
}

void RunPlanner::forgetUnstartedSteps() {
  m_stopBackoff.clear();
  m_keptTargets.clear();
}

// ---- start of a pass

FillLimitOptions RunPlanner::fillLimitOptions(const RunPlannerOptions& options) {
  FillLimitOptions limits;
  limits.largestShare = options.fillShare;
  limits.fixedShare = options.fillFixedShare;
  limits.holdMs = options.fillHoldMs;
  limits.decayMs = options.fillDecayMs;
  return limits;
}

void RunPlanner::readSteps() {
  m_pass->demands.reserve(m_pass->steps.size());
  m_pass->names.reserve(m_pass->steps.size());
  for (std::size_t i = 0; i < m_pass->steps.size(); ++i) {
    const PlannedStep& step = m_pass->steps[i];
    const bool anyTarget = step.rank == GuaranteedRank && step.waitedMs >= m_options.guaranteedAnyTargetAfterMs;
    const SpeedUse choice = anyTarget ? SpeedUse::Order : SpeedUse::Choice;
    const SpeedUse use = m_options.speeds ? choice : SpeedUse::None;
    m_pass->demands.push_back(makeDemand(step, i, m_pass->targets, m_pass->nowMs, use));
    m_pass->names.emplace_back(step.workflow->record.id(), step.key);
    StepDemand& demand = m_pass->demands.back();
    applyAging(demand);
  }
}

/** Updates the moving average of the slowdown at which new urgent work still ends in time, so that other work is kept
 * off the targets that urgent work needs. */
void RunPlanner::updateUrgentLimit() {
  // Weight of one step in one pass: with one waiting step, the average follows after about a second of planning.
  constexpr double Weight = 0.02;
  for (const StepDemand& demand : m_pass->demands) {
    if (!demand.isUrgent() || demand.objectiveMs <= 0.0) continue;
    const double freshMs = demand.objectiveMs - m_pass->nowMs + demand.waitedMs;
    m_urgentLimit += Weight * (slowdownLimit(freshMs, demand.estimateMs) - m_urgentLimit);
  }
}

/** Raises the rank of a step that has waited long: strict ranks would starve the lowest class in lasting overload. Its
 * band is lowered by one for each multiple of this wait, so that bands do not starve it either. */
void RunPlanner::applyAging(StepDemand& demand) const {
  if (m_options.ageAfterEstimates == 0.0) return;
  demand.rank = agedRank(demand.rank, demand.waitedMs, demand.estimateMs);
  const double agedMs = m_options.ageAfterEstimates * demand.estimateMs;
  for (double waitMs = agedMs; demand.band > 0 && demand.waitedMs > waitMs; waitMs += agedMs) --demand.band;
}

/** \returns the rank of a step after ageing. */
Rank RunPlanner::agedRank(Rank rank, double waitedMs, double estimateMs) const {
  const bool ages = m_options.ageAfterEstimates != 0.0 && waitedMs > m_options.ageAfterEstimates * estimateMs;
  return ages ? std::min(rank, rankOf(1, false)) : rank;
}

void RunPlanner::orderSteps() {
  m_pass->order.resize(m_pass->demands.size());
  std::iota(m_pass->order.begin(), m_pass->order.end(), 0U);
  std::stable_sort(m_pass->order.begin(), m_pass->order.end(), [this](std::size_t a, std::size_t b) {
    const StepDemand& left = m_pass->demands[a];
    const StepDemand& right = m_pass->demands[b];
    if (left.rank != right.rank) return left.rank < right.rank;
    // Guaranteed work has to start within its bound, whatever its prospect.
    const bool byProspect = m_options.prospects && left.rank != GuaranteedRank;
    if (byProspect && left.prospect != right.prospect) return left.prospect < right.prospect;
    return left.objectiveMs < right.objectiveMs;
  });
  orderByBands();
}

/** Moves steps of a higher band behind the others of their rank. The order within a workspace remains: a step gets at
 * least the band of each step of its workspace that precedes it. Otherwise aged work, whose band has fallen, would be
 * served before work of the same workspace that can still end in time, and in lasting overload nearly all would end
 * late. */
void RunPlanner::orderByBands() {
  const auto hasBand = [](const StepDemand& demand) { return demand.band > 0; };
  if (std::none_of(m_pass->demands.begin(), m_pass->demands.end(), hasBand)) return;
  std::map<std::tuple<Rank, std::string_view, std::string_view>, unsigned> highest;  // by rank, service and workspace
  for (const std::size_t i : m_pass->order) {
    StepDemand& demand = m_pass->demands[i];
    const schema::Workflow& workflow = m_pass->steps[i].workflow->record;
    unsigned& band = highest[{demand.rank, workflow.service(), workflow.tenant()}];
    band = std::max(band, demand.band);
    demand.band = band;
  }
  std::stable_sort(m_pass->order.begin(), m_pass->order.end(), [this](std::size_t a, std::size_t b) {
    const StepDemand& left = m_pass->demands[a];
    const StepDemand& right = m_pass->demands[b];
    return std::tie(left.rank, left.band) < std::tie(right.rank, right.band);
  });
}

/** Also sets each demand's own nominated targets. \returns by target the number of steps for which the last pass was
 * freeing it */
std::vector<unsigned> RunPlanner::loadNominations() {
  std::vector<unsigned> nominations(m_pass->targets.size(), 0);
  if (!m_options.nominations || m_lastNominated.empty()) return nominations;
  for (const auto& [name, ids] : m_lastNominated) {
    for (const std::size_t target : m_pass->targets.findAll(ids)) ++nominations[target];
  }
  for (StepDemand& demand : m_pass->demands) {
    const auto own = m_lastNominated.find(m_pass->names[demand.step]);
    if (own != m_lastNominated.end()) demand.nominated = m_pass->targets.findAll(own->second);
  }
  return nominations;
}

/** Updates the records of steps for which runs were stopped or that were started, and that have not begun since. */
void RunPlanner::updateUnstartedSteps() {
  StopBackoff::PendingTasks pending;
  m_stopBackoff.addSteps(pending);
  m_keptTargets.addSteps(pending);
  if (pending.empty()) return;
  for (const StepDemand& demand : m_pass->demands) {
    const auto found = pending.find(m_pass->names[demand.step]);
    if (found != pending.end()) found->second += demand.tasks;
  }
  for (const PlannedRun& run : m_pass->runs) {
    if (run.begun && !run.stopping) continue;
    const auto found = pending.find({run.key.workflow, run.key.task.stepKey()});
    if (found != pending.end()) ++found->second;
  }
  m_stopBackoff.update(pending);
  m_keptTargets.update(pending, m_pass->nowMs);
  for (const auto& [gang, entry] : m_keptTargets.entries()) {
    for (const auto& [target, members] : entry.members) m_lastNominated[gang].insert(target);
  }
}

/** Determines the runs that are about to end. Estimates may be wrong, so a run that has been about to end for longer
 * than endsSoonLimitMs is not relied on any more. */
void RunPlanner::findRunsEndingSoon() {
  std::map<RunKey, double> since;
  m_pass->endsSoon.assign(m_pass->runs.size(), false);
  for (std::size_t r = 0; r < m_pass->runs.size(); ++r) {
    const PlannedRun& run = m_pass->runs[r];
    if (!run.preemptible || run.outlived || run.remainingMs > m_options.endsSoonMs) continue;
    const auto previous = m_soonSince.find(run.key);
    const double from = previous == m_soonSince.end() ? m_pass->nowMs : previous->second;
    since.emplace(run.key, from);
    m_pass->endsSoon[r] = m_pass->nowMs - from <= m_options.endsSoonLimitMs;
  }
  m_soonSince = std::move(since);
}

void RunPlanner::computeFreeCapacities() {
  Pass& pass = *m_pass;
  pass.free.reserve(pass.targets.size());
  for (std::size_t i = 0; i < pass.targets.size(); ++i) pass.free.push_back(pass.targets[i].capacity);
  pass.freeAfterEnds = pass.free;
  pass.freeAfterStops = pass.free;
  for (std::size_t r = 0; r < pass.runs.size(); ++r) {
    const PlannedRun& run = pass.runs[r];
    pass.placer->occupy(pass.free[run.target], run.target, run.need);
    if (run.stopping) continue;
    pass.placer->occupy(pass.freeAfterStops[run.target], run.target, run.need);
    if (!pass.endsSoon[r]) pass.placer->occupy(pass.freeAfterEnds[run.target], run.target, run.need);
  }
}

// ---- targets that are kept for gangs

/** \returns the number of runs of a step by the id of their target. */
std::map<std::string, std::size_t> RunPlanner::runsByTarget(const StepName& step) const {
  std::map<std::string, std::size_t> counts;
  for (const PlannedRun& run : m_pass->runs) {
    const bool own = run.key.workflow == step.first && run.key.task.stepKey() == step.second;
    if (own) ++counts[m_pass->targets[run.target].id];
  }
  return counts;
}

/** Finds the kept targets of gangs that do not wait again yet: some of their members have ended, others are still being
 * stopped. */
void RunPlanner::findHolds() {
  if (m_keptTargets.entries().empty()) return;
  const std::set<StepName> waiting(m_pass->names.begin(), m_pass->names.end());
  for (const auto& [gang, entry] : m_keptTargets.entries()) {
    if (waiting.count(gang) > 0) continue;
    KeptTargets::Entry& hold = m_pass->holds.emplace_back(entry);
    for (const auto& [target, runs] : runsByTarget(gang)) {
      const auto found = hold.members.find(target);
      if (found != hold.members.end()) found->second -= std::min(runs, found->second);
    }
  }
}

/** Keeps the targets of gangs of a higher rank from steps of the given rank, and from those served after them. Steps of
 * the same rank as the gang choose them last. */
void RunPlanner::applyHolds(Rank rank) {
  for (const KeptTargets::Entry& hold : m_pass->holds) {
    if (hold.rank >= rank) continue;
    for (const auto& [id, members] : hold.members) {
      const std::optional<std::size_t> target = m_pass->targets.find(id);
      for (std::size_t i = 0; target && i < members; ++i) occupy(*target, hold.need);
    }
  }
  std::erase_if(m_pass->holds, [rank](const KeptTargets::Entry& hold) { return hold.rank < rank; });
}

/** Remembers the targets on which a gang is started, if they were cleared for it. */
void RunPlanner::keepTargets(const StepDemand& demand, const StepPlacement& placement) {
  if (!m_options.keepGangTargets || !demand.gang || demand.nominated.empty()) return;
  KeptTargets::Entry entry;
  entry.rank = demand.rank;
  entry.need = demand.need;
  for (const std::size_t target : placement.targets) ++entry.members[m_pass->targets[target].id];
  m_keptTargets.keep(m_pass->names[demand.step], std::move(entry), m_pass->nowMs);
}

/** Holds the targets that are kept for a waiting gang that cannot be placed yet. */
void RunPlanner::holdKeptTargets(const StepDemand& demand) {
  const KeptTargets::Entry* entry = m_keptTargets.find(m_pass->names[demand.step]);
  if (entry == nullptr) return;
  StepPlacement held;
  for (const auto& [id, members] : entry->members) {
    const std::optional<std::size_t> target = m_pass->targets.find(id);
    const std::vector<std::size_t>& eligible = *demand.eligible;
    const bool usable = target && std::find(eligible.begin(), eligible.end(), *target) != eligible.end();
    if (usable) held.targets.insert(held.targets.end(), members, *target);
  }
  nominateTargets(demand, held);
}

// ---- one step

void RunPlanner::serve(StepDemand& demand) {
  if (demand.eligible->empty()) return;
  if (demand.gang) {
    serveGang(demand);
  } else {
    serveTasks(demand);
  }
}

void RunPlanner::serveTasks(StepDemand& demand) {
  const std::optional<StepPlacement> placement = placeNow(demand);
  if (placement) addStarts(demand, *placement);
  if (demand.tasks == 0 || !demand.isUrgent() || !m_options.preemption) return;
  if (!waitForEnds(demand)) preempt(demand);
}

void RunPlanner::serveGang(StepDemand& demand) {
  const std::optional<StepPlacement> placement = placeNow(demand);
  if (placement) return addStarts(demand, *placement);
  if (demand.isUrgent() && m_options.preemption && (waitForEnds(demand) || preempt(demand))) return;
  if (preemptForGang(demand)) return;
  const bool mayReserve = m_pass->placer->reservations() < m_options.reservations;
  if (mayReserve && demand.waitedMs >= m_options.reserveAfterMs) reserve(demand);
  holdKeptTargets(demand);
}

namespace internal {
namespace {

PlacementCache::Shape shape_of(const StepDemand& demand, const Placer& placer, bool maySpread) {
  PlacementCache::Shape shape;
  shape.eligible = demand.eligible.get();
  shape.lateChances = demand.lateChances;
  shape.need = demand.need;
  shape.gang = demand.gang;
  shape.urgent = demand.isUrgent();
  shape.headroom = placer.respectsHeadroom(demand);
  shape.fillLimit = placer.respectsFillLimit(demand);
  shape.maySpread = maySpread;
  shape.waitsForData = demand.waitsForData;
  shape.dataRack = demand.dataRack;
  shape.rackTasks = demand.sameRack ? demand.tasks : 0;
  return shape;
}

}  // namespace
}  // namespace internal

PlacementCache::Entry* RunPlanner::cacheEntryFor(const StepDemand& demand) {
  if (!demand.shared) return nullptr;
  return &m_pass->cache[internal::shape_of(demand, *m_pass->placer, maySpread(demand))];
}

/** \returns whether a gang that needs one rack has waited so long that it may be spread over several racks: a slower
 * run is better than none. */
bool RunPlanner::maySpread(const StepDemand& demand) const {
  return !demand.isUrgent() && demand.waitedMs > m_options.spreadAfterEstimates * demand.estimateMs;
}

/** \returns the time, ms, that decides which reservations a step would delay; 0 if there are none, since all estimates
 * then lead to the same result. */
double RunPlanner::reservationDelayMs(const StepDemand& demand) const {
  return m_pass->placer->reservations() == 0 ? 0.0 : m_pass->placer->backfillMs(demand);
}

/** \returns a placement on free capacity, for a gang of all tasks, otherwise of as many as fit; or nothing. */
std::optional<StepPlacement> RunPlanner::placeNow(const StepDemand& demand) {
  PlacementCache::Entry* cached = cacheEntryFor(demand);
  const PlacementCache::FailedQuery query{demand.gang ? demand.tasks : 1, reservationDelayMs(demand), 0.0, 0};
  if (cached != nullptr && cached->place && cached->place->covers(query)) return std::nullopt;
  std::optional<StepPlacement> placement;
  if (demand.gang) {
    placement = m_pass->placer->placeWhole(demand, groupsFor(demand), m_pass->free);
  } else {
    placement = m_pass->placer->place(demand, *demand.eligible, m_pass->free);
  }
  const bool failed = !placement || placement->targets.size() < demand.tasks;
  if (cached != nullptr && failed) PlacementCache::recordFailure(cached->place, query);
  if (placement && placement->targets.empty()) return std::nullopt;
  return placement;
}

const TargetGroups& RunPlanner::groupsFor(const StepDemand& demand) {
  PlacementCache::Entry* cached = cacheEntryFor(demand);
  if (cached == nullptr) return m_unsharedGroups = makeGroups(demand);
  if (!cached->groups) cached->groups = makeGroups(demand);
  return *cached->groups;
}

TargetGroups RunPlanner::makeGroups(const StepDemand& demand) const {
  TargetGroups groups;
  if (!demand.sameRack) {
    groups.anywhere = demand.eligible;
    return groups;
  }
  const TargetIndex& targets = m_pass->targets;
  std::vector<TargetGroups::Rack> racks(targets.racks());
  for (std::size_t rack = 0; rack < racks.size(); ++rack) racks[rack].rack = rack;
  for (const std::size_t target : *demand.eligible) racks[targets.rackOf(target)].targets.push_back(target);
  for (TargetGroups::Rack& rack : racks) {
    if (couldHold(demand, targets, rack.targets)) groups.racks.push_back(std::move(rack));
  }
  // No rack could ever hold the gang, or none had enough free capacity for long: a slower run is better than none.
  if (groups.racks.empty() || maySpread(demand)) groups.anywhere = demand.eligible;
  return groups;
}

/** Subtracts capacity of a target from all views of free capacity for the rest of the pass. */
void RunPlanner::occupy(std::size_t target, const ResourceAmounts& need) {
  for (TargetCapacities* capacities : {&m_pass->free, &m_pass->freeAfterEnds, &m_pass->freeAfterStops}) {
    m_pass->placer->occupy((*capacities)[target], target, need);
  }
}

/** Leaves no free capacity of a target for the rest of the pass. */
void RunPlanner::close(std::size_t target) {
  for (TargetCapacities* capacities : {&m_pass->free, &m_pass->freeAfterEnds, &m_pass->freeAfterStops})
    (*capacities)[target] = ResourceAmounts();
}

void RunPlanner::addStarts(StepDemand& demand, const StepPlacement& placement) {
  keepTargets(demand, placement);
  const PlannedStep& step = m_pass->steps[demand.step];
  const std::size_t first = step.tasks.size() - demand.tasks;
  for (std::size_t i = 0; i < placement.targets.size(); ++i) {
    const std::size_t target = placement.targets[i];
    m_pass->plan.starts.push_back({demand.step, step.tasks[first + i], target});
    occupy(target, demand.need);
    if (demand.trial || m_pass->targets[target].oneStart) close(target);
    demand.addTaskOn(target);
  }
  demand.tasks -= placement.targets.size();
}

}  // namespace courseloom
