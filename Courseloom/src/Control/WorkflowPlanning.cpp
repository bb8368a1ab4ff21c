// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of WorkflowRunner that collects targets and runs for RunPlanner, and turns its plan into starts.
// WorkflowSteps.cpp has the waiting steps.

#include <algorithm>
#include <cmath>
#include <string_view>
#include <unordered_map>

#include "Courseloom/src/Control/WorkflowRunner.h"
#include "Courseloom/src/Core/Assert.h"
#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Scheduling/Objective.h"
#include "Courseloom/src/Scheduling/Trials.h"

namespace courseloom {

namespace internal {
namespace {

constexpr double MillisecondsPerSecond = 1000.0;
/** Run time that a checkpointable task loses when it is stopped, ms. */
constexpr double CheckpointLossMs = 300.0;
/** Run time that a stopped gang is assumed to lose in addition to its progress, ms: it has to wait until all its
 * members can be placed again. */
constexpr double GangRestartMs = 2000.0;
/** Assumed peak demand of urgent work before any was observed, accelerators. */
constexpr double FirstUrgentPeak = 16.0;
/** Time constant of the exponential decay of the urgent peak, ms; the peak falls to about a third in this time. */
constexpr double UrgentPeakFadeMs = 20000.0;
constexpr double AcceleratorsPerTarget = 8.0;
/** Shortest time between two events FillLimitChanged: the limit may change with each plan. */
constexpr Duration FillEventInterval = milliseconds(5000);
/** Age up to which a stopped run counts as young, ms. */
constexpr double YoungRunMs = 2000.0;

std::string gang_name(const RunKey& key) {
  return key.workflow + "." + std::to_string(key.task.occurrence) + "." + std::to_string(key.task.step) + "." +
         std::to_string(key.run);
}

}  // namespace
}  // namespace internal

/** A long planning pass yields the strand to reports, votes and commits. Afterwards the plan is checked against the
 * changes that were made meanwhile. */
Awaitable<schema::RecordRuns> WorkflowRunner::makePlan() {
  const Term term = m_driver.replica().term();
  StrandSlice slice(m_context, m_strand, "plan", milliseconds(m_context.settings.control().plan_share_ms()));
  updateEstimator();
  markGuaranteed();
  std::vector<PlannedStep> steps = co_await collectSteps(slice);
  if (!leads() || m_driver.replica().term() != term) co_return schema::RecordRuns();
  if (steps.empty() && !makesCopies()) {
    observeGangs();
    reviewWaits({}, {}, {});
    co_return schema::RecordRuns();
  }
  // Before all targets have reported to a new leader, shares of their capacity would be too large.
  const bool banded = m_context.settings.policy().fair_shares() && !m_ledger.arriving(BootClock::now());
  if (banded) assignBands(steps);
  const std::vector<PlannedTarget>& targets = planTargets();
  const std::vector<PlannedRun> active = planRuns(targets);
  const unsigned keepFullyFree = freeTargetsToKeep(active, steps);
  m_planner.begin(targets, active, steps, keepFullyFree, static_cast<double>(wallClockMs()));
  recordFillLimit();
  while (!m_planner.advance([&slice] { return slice.isOver(); })) co_await slice.yield();
  // Workflows, drained data halls and target incarnations may have changed while the pass yielded.
  const bool yielded = slice.hasYielded();
  const std::vector<std::string> owners = yielded ? m_planner.workflowsOfSteps() : std::vector<std::string>();
  RunPlan plan = m_planner.finish();
  if (!leads() || m_driver.replica().term() != term) co_return schema::RecordRuns();
  if (yielded) {
    for (std::size_t i = 0; i < steps.size(); ++i) steps[i].workflow = table().find(owners[i]);
    removeOutdated(plan, steps, [&](std::size_t target) { return acceptsStarts(targets[target]); });
  }
  stopPlanned(plan, steps);
  logStopDelays(plan, steps);
  schema::RecordRuns runs = recordStarts(startsOnRespondingAgents(plan, steps, targets), steps, targets);
  if (makesCopies()) addCopies(plan, steps, targets, keepFullyFree, runs);
  reviewWaits(steps, targets, active);
  co_return runs;
}

/** \returns whether a target of the plan still has the same incarnation and may get new runs. */
bool WorkflowRunner::acceptsStarts(const PlannedTarget& target) const {
  if (!m_ledger.open(target.agent, BootClock::now())) return false;
  const TargetTrack& track = m_ledger.targets().at(target.agent);
  return track.report.id() == target.id && !isDrained(track);
}

/** Counts the stop of a run that has run only briefly. Many such stops show that work is started just before other work
 * displaces it. */
void WorkflowRunner::countYoungStop(const RunKey& key) {
  const auto run = m_ledger.runs().find(key);
  if (run == m_ledger.runs().end()) return;
  const double ranMs = toMilliseconds(BootClock::now() - run->second.startedAt);
  if (ranMs < internal::YoungRunMs) m_context.metrics.count("runs_stopped_young", "all");
}

void WorkflowRunner::stopPlanned(const RunPlan& plan, const std::vector<PlannedStep>& steps) {
  for (const RunPlan::Stop& stop : plan.stops) {
    countYoungStop(stop.run);
    notifyAgent(m_ledger.requestStop(stop.run));
    const PlannedStep& step = steps[stop.forStep];
    logEvent(schema::RunPreempted, {{"task", taskText(makeTaskId(stop.run.workflow, stop.run.task))},
                                    {"run", std::uint64_t{stop.run.run}},
                                    {"forWorkflow", step.workflow->record.id()},
                                    {"rank", std::uint64_t{step.rank}},
                                    {"waitedMs", static_cast<std::uint64_t>(step.waitedMs)}});
  }
}

void WorkflowRunner::logStopDelays(const RunPlan& plan, const std::vector<PlannedStep>& steps) const {
  for (const RunPlan::StopDelay& delay : plan.stopDelays) {
    const PlannedStep& step = steps[delay.step];
    if (step.workflow == nullptr) continue;
    m_context.metrics.count(delay.overridden ? "stop_delays_overridden" : "stops_delayed", "all");
    logEvent(delay.overridden ? schema::StopsDelayOverridden : schema::StopsDelayed,
             {{"workflow", step.workflow->record.id()},
              {"occurrence", std::uint64_t{step.key.occurrence}},
              {"step", std::uint64_t{step.key.step}},
              {"rank", std::uint64_t{step.rank}},
              {"waitedMs", static_cast<std::uint64_t>(step.waitedMs)},
              {"delayMs", static_cast<std::uint64_t>(delay.delayMs)}});
  }
}

schema::RecordRuns WorkflowRunner::recordStarts(const std::vector<RunPlan::Start>& starts,
                                                const std::vector<PlannedStep>& steps,
                                                const std::vector<PlannedTarget>& targets) const {
  schema::RecordRuns runs;
  std::map<std::size_t, std::uint32_t> gangRuns;  // run numbers by index of the step; all members have the same
  for (const RunPlan::Start& start : starts) {
    const PlannedStep& step = steps[start.step];
    const PlannedTarget& target = targets[start.target];
    const TaskKey key{step.key.occurrence, step.key.step, start.task};
    schema::RunStart* row = runs.add_starts();
    *row->mutable_task() = makeTaskId(step.workflow->record.id(), key);
    const auto [gangRun, first] = gangRuns.try_emplace(start.step, 0);
    if (first || !step.isGang()) gangRun->second = step.workflow->nextRun(key);
    row->mutable_run()->set_number(gangRun->second);
    row->mutable_run()->set_target(target.id);
    row->mutable_run()->set_agent(target.agent);
    row->mutable_run()->set_checkpoint(step.workflow->checkpointOf(key));
    if (step.tickets) row->mutable_run()->set_ticket(step.tickets->at(target.id));
    logGroupEvent(schema::RunPlaced, step.workflow->record.id(),
                  {{"task", taskText(row->task())},
                   {"run", std::uint64_t{row->run().number()}},
                   {"target", target.id},
                   {"waitedMs", static_cast<std::uint64_t>(step.waitedMs)}});
  }
  return runs;
}

/** \returns the starts whose agents have reported recently. A start for an agent that was just disconnected would delay
 * its gang for a whole lease. Agents without a recent report are therefore asked to report first, and the plan is made
 * again when the report arrives. */
std::vector<RunPlan::Start> WorkflowRunner::startsOnRespondingAgents(const RunPlan& plan,
                                                                     const std::vector<PlannedStep>& steps,
                                                                     const std::vector<PlannedTarget>& targets) {
  if (!m_context.settings.policy().ask_first()) return plan.starts;
  const Time now = BootClock::now();
  std::set<std::size_t> withheld;
  const auto inReach = [&](std::size_t target) { return m_ledger.fresh(targets[target].agent, now); };
  std::vector<RunPlan::Start> starts = courseloom::startsInReach(plan, steps, inReach, withheld);
  for (const std::size_t target : withheld) {
    m_ledger.requestReport(targets[target].agent, now);
    notifyAgent(targets[target].agent);
  }
  return starts;
}

/** Marks the workflows that run within their tenants' guarantees. Each guarantee is assigned to the tenant's workflows
 * of priority 0 in the order of submission; a workflow that exceeds what is left of it is skipped. */
void WorkflowRunner::markGuaranteed() {
  m_guaranteed.clear();
  assignGuarantees(m_guaranteed);
}

/** \param guaranteed the workflows within their tenants' guarantees are added here \returns what is left of each
 * tenant's guarantee, in accelerators */
std::map<std::string, std::uint64_t> WorkflowRunner::assignGuarantees(std::set<std::string>& guaranteed) {
  std::map<std::string, std::uint64_t> left;
  for (const schema::Tenant& tenant : table().configuration().tenants()) {
    left[tenant.name()] = tenant.guaranteed_accelerators();
  }
  std::multimap<std::uint64_t, const WorkflowState*> bySubmission;
  for (const std::string& id : table().open()) {
    const WorkflowState* workflow = table().find(id);
    if (!workflow->ended() && workflow->record.priority() == 0) {
      bySubmission.emplace(workflow->record.submitted_ms(), workflow);
    }
  }
  for (const auto& [submitted, workflow] : bySubmission) {
    const std::uint64_t need = widestOf(*workflow);
    std::uint64_t& unassigned = left[workflow->record.tenant()];
    if (need == 0 || need > unassigned) continue;
    unassigned -= need;
    guaranteed.insert(workflow->record.id());
  }
  return left;
}

/** \returns the accelerators of a workflow's widest step; computed once. */
std::uint64_t WorkflowRunner::widestOf(const WorkflowState& workflow) {
  std::optional<std::uint64_t>& widest = m_figures[workflow.record.id()].widest;
  if (!widest) widest = widestAccelerators(workflow.record.spec());
  return *widest;
}

Rank WorkflowRunner::rankOfWorkflow(const WorkflowState& workflow) const {
  return rankOf(workflow.record.priority(), m_guaranteed.count(workflow.record.id()) > 0);
}

/** \returns the number of targets to keep fully free for urgent work: its decaying peak demand less the accelerators
 * that it holds now, in targets. */
unsigned WorkflowRunner::freeTargetsToKeep(const std::vector<PlannedRun>& runs, const std::vector<PlannedStep>& steps) {
  double held = 0.0;
  for (const PlannedRun& run : runs) held += run.rank <= UrgentRank ? static_cast<double>(run.need.accelerators) : 0.0;
  double wanted = held;
  for (const PlannedStep& step : steps) {
    if (!step.isUrgent()) continue;
    wanted += static_cast<double>(step.waitingTasks) * step.workflow->step(step.key.step).need().accelerators();
  }
  const Time now = BootClock::now();
  if (m_urgentPeakUpdated == Time{}) m_urgentPeak = internal::FirstUrgentPeak;
  const double elapsedMs = m_urgentPeakUpdated == Time{} ? 0.0 : toMilliseconds(now - m_urgentPeakUpdated);
  m_urgentPeakUpdated = now;
  m_urgentPeak = std::max(wanted, m_urgentPeak * std::exp(-elapsedMs / internal::UrgentPeakFadeMs));
  return static_cast<unsigned>(std::ceil(std::max(0.0, m_urgentPeak - held) / internal::AcceleratorsPerTarget));
}

/** Copies the targets' descriptions into the plan's targets, if any of them or the drained data halls changed, which is
 * rare. */
void WorkflowRunner::updateTargetDescriptions() {
  const std::pair<std::uint64_t, std::uint64_t> now{m_ledger.descriptions(), m_driver.state().hallDrains().version()};
  if (now == m_planTargetsVersion) return;
  m_planTargetsVersion = now;
  m_planTargets.clear();
  m_targetIncarnations.clear();
  for (const auto& [agent, track] : m_ledger.targets()) {
    const schema::TargetReport& report = track.report;
    m_targetIncarnations.push_back(report.id());
    if (isDrained(track)) continue;  // excluded from planning
    PlannedTarget& target = m_planTargets.emplace_back();
    target.id = report.id();
    target.agent = agent;
    target.service = report.service();
    target.rack = report.rack();
    target.labels.insert(report.labels().begin(), report.labels().end());
    target.capacity = resourceAmountsOf(report.capacity());
  }
}

/** \returns the targets with their current state; descriptions are kept from pass to pass. */
const std::vector<PlannedTarget>& WorkflowRunner::planTargets() {
  updateTargetDescriptions();
  const Time now = BootClock::now();
  const bool trusted = !m_health.tooManySuspect(m_targetIncarnations, now);
  auto planned = m_planTargets.begin();
  for (const auto& [agent, track] : m_ledger.targets()) {
    if (isDrained(track)) continue;
    PlannedTarget& target = *planned++;
    const bool doubted = m_health.suspect(target.id, now) || m_health.closedByVoids(target.id, now);
    const bool closed = m_health.paused(target.id, now) || (trusted && doubted);
    target.oneStart = trusted && m_health.onVoidProbation(target.id, now);
    const bool starting = target.oneStart && m_ledger.hasUnconfirmedStart(agent);
    target.open = m_ledger.open(track, now) && !closed && !starting && m_trialAgents.count(agent) == 0;
    target.awaited = m_ledger.awaited(track, now);
    target.single = trusted && m_health.onProbation(target.id, now);
    target.penalty = m_health.penalty(target.id, now);
    if (learnsRunTimes()) target.slowdown = m_runTimeEstimator.slowdownOf(target.id);
  }
  courseloom_assert(planned == m_planTargets.end());
  return m_planTargets;
}

/** Sets the forecasts of each gang member to the latest ones of its gang: a gang ends with its slowest member. */
void WorkflowRunner::alignGangEnds(std::vector<PlannedRun>& runs) {
  std::map<std::string, PlannedRun> latest;
  for (const PlannedRun& run : runs) {
    if (run.gang.empty()) continue;
    PlannedRun& gang = latest[run.gang];
    gang.remainingMs = std::max(gang.remainingMs, run.remainingMs);
    gang.remainingQuantileMs = std::max(gang.remainingQuantileMs, run.remainingQuantileMs);
    gang.outlived |= run.outlived;
  }
  for (PlannedRun& run : runs) {
    if (run.gang.empty()) continue;
    const PlannedRun& gang = latest.at(run.gang);
    run.remainingMs = gang.remainingMs;
    run.remainingQuantileMs = gang.remainingQuantileMs;
    run.outlived = gang.outlived;
  }
}

std::vector<PlannedRun> WorkflowRunner::planRuns(const std::vector<PlannedTarget>& targets) const {
  std::unordered_map<std::string_view, std::size_t> byAgent;
  for (std::size_t i = 0; i < targets.size(); ++i) byAgent.emplace(targets[i].agent, i);
  const Time now = BootClock::now();
  std::vector<PlannedRun> runs;
  runs.reserve(m_ledger.runs().size());
  // Runs of one step are adjacent in the map, so their shared properties are computed once per step.
  std::optional<internal::StepRunInfo> shared;
  for (const auto& [key, track] : m_ledger.runs()) {
    if (!shared || !shared->covers(key)) shared = stepRunInfo(key);
    const auto target = byAgent.find(track.agent);
    if (target == byAgent.end() || shared->workflow == nullptr) continue;
    PlannedRun& run = runs.emplace_back();
    run.key = key;
    run.target = target->second;
    run.need = shared->need;
    run.rank = shared->rank;
    run.begun = track.confirmed || track.firstSeen != Time{};
    run.stopping = track.stopRequested || shared->ended;
    if (shared->speculative && shared->workflow->isSuperseded(key.task)) run.stopping = true;
    run.preemptible = shared->preemptible;
    if (shared->gang) run.gang = internal::gang_name(key);
    const double ranMs = toMilliseconds(now - track.startedAt);
    const double checkpointLossMs =
        shared->reportsCheckpoints ? sinceCheckpointMs(track, now) : std::min(ranMs, internal::CheckpointLossMs);
    const double lostMs = shared->checkpointable ? checkpointLossMs : ranMs;
    const double restartMs = shared->gang ? internal::GangRestartMs : 0.0;
    run.lostWork = shared->cores * (lostMs + restartMs) / internal::MillisecondsPerSecond;
    // The original run goes on if its copy is stopped, so that no work is lost.
    if (shared->speculative && isCopy(key)) run.lostWork = 0.0;
    forecastEnd(run, track, *shared);
  }
  alignGangEnds(runs);
  return runs;
}

/** \returns whether the given run, or an active run of the same step after it, has reported a checkpoint. Otherwise,
 * the step's runs may write a checkpoint only when they are stopped. */
bool WorkflowRunner::stepReportsCheckpoints(const RunKey& key) const {
  const std::map<RunKey, RunTrack>& runs = m_ledger.runs();
  for (auto run = runs.find(key); run != runs.end(); ++run) {
    const bool sameStep = run->first.workflow == key.workflow && run->first.task.stepKey() == key.task.stepKey();
    if (!sameStep) return false;
    if (run->second.checkpointAt != Time{}) return true;
  }
  return false;
}

/** Records the gangs that run while nothing waits. */
void WorkflowRunner::observeGangs() {
  if (!m_context.settings.policy().fill_limit()) return;
  const std::vector<PlannedTarget>& targets = planTargets();
  m_planner.observe(targets, planRuns(targets), static_cast<double>(wallClockMs()));
}

/** Sets the gauges of the fill limit and logs its changes. */
void WorkflowRunner::recordFillLimit() {
  const std::size_t kept = m_planner.fillLimits().kept();
  m_context.metrics.set("targets_kept_for_gangs", static_cast<double>(kept));
  m_context.metrics.set("targets_fully_free", static_cast<double>(m_planner.fullyFreeTargets()));
  const Time now = BootClock::now();
  if (kept == m_keptLogged || now < m_nextFillEvent) return;
  m_nextFillEvent = now + internal::FillEventInterval;
  logEvent(schema::FillLimitChanged, {{"kept", std::uint64_t{kept}},
                                      {"before", std::uint64_t{m_keptLogged}},
                                      {"fullyFree", std::uint64_t{m_planner.fullyFreeTargets()}}});
  m_keptLogged = kept;
}

internal::StepRunInfo WorkflowRunner::stepRunInfo(const RunKey& key) const {
  internal::StepRunInfo shared;
  shared.name = {key.workflow, key.task.stepKey()};
  shared.workflow = table().find(key.workflow);
  if (shared.workflow == nullptr) return shared;
  const schema::StepSpec& step = shared.workflow->step(key.task.step);
  shared.need = resourceAmountsOf(step);
  shared.rank = rankOfWorkflow(*shared.workflow);
  shared.ended = shared.workflow->ended();
  shared.preemptible = !step.long_running();
  shared.gang = step.gang();
  shared.checkpointable = step.checkpointable();
  shared.reportsCheckpoints = m_context.settings.policy().fill_limit() && stepReportsCheckpoints(key);
  shared.cores = coresOf(step);
  shared.speculative = step.speculative();
  shared.expectedMs = expectedMs(shared.workflow->record.queue(), step);
  shared.runTimes = runTimesOf(shared.workflow->record.queue());
  return shared;
}

}  // namespace courseloom
