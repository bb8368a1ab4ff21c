// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of WorkflowRunner that tells RunPlanner of targets, runs and waiting steps, and turns its plan into starts.

#include <algorithm>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
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

constexpr double AcceleratorCores = 8.0;
constexpr double MillisecondsPerSecond = 1000.0;
/** Work of a task that is lost at a stop although it saves its progress, ms. */
constexpr double CheckpointLossMs = 300.0;
/** Work that a stopped gang is taken to lose beside what it had done, ms: it has to wait for a whole place again. */
constexpr double GangRestartMs = 2000.0;
/** A workflow that takes this many times its objective is worth nothing to its caller. */
constexpr double WorthlessAfter = 3.0;
/** Accelerators that urgent work is taken to need before any was seen. */
constexpr double FirstUrgentPeak = 16.0;
/** Time in which a peak of urgent work fades to a third, ms. */
constexpr double UrgentPeakFadeMs = 20000.0;
constexpr double AcceleratorsPerTarget = 8.0;

std::string gang_name(const RunKey& key) {
  return key.workflow + "." + std::to_string(key.task.occurrence) + "." + std::to_string(key.task.step) + "." +
         std::to_string(key.run);
}

/** \returns the cores that a task of a step takes, its accelerators counted in. */
double cores_of(const schema::StepSpec& step) {
  return static_cast<double>(step.need().cpu_milli()) / MillisecondsPerSecond +
         AcceleratorCores * step.need().accelerators();
}

}  // namespace
}  // namespace internal

/** Reports, votes and commits go on while a long pass yields; what it decides is checked against what they changed. */
Awaitable<schema::RecordRuns> WorkflowRunner::makePlan() {
  learnFromRuns();
  markGuaranteed();
  std::vector<PlannedStep> steps = planSteps();
  if (steps.empty()) co_return schema::RecordRuns();
  const std::vector<PlannedTarget>& targets = planTargets();
  const std::vector<PlannedRun> active = planRuns(targets);
  const unsigned keepWhole = wholeTargetsToKeep(active, steps);
  const Term term = m_driver.replica().term();
  const Duration share = milliseconds(m_context.settings.control().plan_share_ms());
  m_planner.begin(targets, active, steps, keepWhole, static_cast<double>(wallClockMs()));
  Time shareEnds = BootClock::now() + share;
  bool yielded = false;
  while (!m_planner.advance([&shareEnds] { return BootClock::now() >= shareEnds; })) {
    yielded = true;
    m_context.metrics.count("plan_yields", "all");
    co_await boost::asio::post(boost::asio::bind_executor(m_strand, boost::asio::use_awaitable));
    shareEnds = BootClock::now() + share;
  }
  // Workflows, drained data halls and the lives of targets may all have changed while the pass let others go on.
  const std::vector<std::string> owners = yielded ? m_planner.workflowsOfSteps() : std::vector<std::string>();
  RunPlan plan = m_planner.finish();
  if (!leads() || m_driver.replica().term() != term) co_return schema::RecordRuns();
  if (yielded) {
    for (std::size_t i = 0; i < steps.size(); ++i) steps[i].workflow = table().find(owners[i]);
    dropOutdated(plan, steps, [&](std::size_t target) { return takesStarts(targets[target]); });
  }
  stopPlanned(plan, steps);
  co_return recordStarts(startsInReach(plan, steps, targets), steps, targets);
}

/** \returns whether a target that was planned for still lives and may be given runs. */
bool WorkflowRunner::takesStarts(const PlannedTarget& target) const {
  if (!m_ledger.open(target.agent, BootClock::now())) return false;
  const TargetTrack& track = m_ledger.targets().at(target.agent);
  return track.report.id() == target.id && !isDrained(track);
}

void WorkflowRunner::stopPlanned(const RunPlan& plan, const std::vector<PlannedStep>& steps) {
  for (const RunPlan::Stop& stop : plan.stops) {
    notifyAgent(m_ledger.wantStop(stop.run));
    const PlannedStep& step = steps[stop.forStep];
    logEvent(schema::RunPreempted, {{"task", taskText(makeTaskId(stop.run.workflow, stop.run.task))},
                                    {"run", std::uint64_t{stop.run.run}},
                                    {"forWorkflow", step.workflow->record.id()},
                                    {"rank", std::uint64_t{step.rank}},
                                    {"waitedMs", static_cast<std::uint64_t>(step.waitedMs)}});
  }
}

schema::RecordRuns WorkflowRunner::recordStarts(const std::vector<RunPlan::Start>& starts,
                                                const std::vector<PlannedStep>& steps,
                                                const std::vector<PlannedTarget>& targets) const {
  schema::RecordRuns runs;
  for (const RunPlan::Start& start : starts) {
    const PlannedStep& step = steps[start.step];
    const PlannedTarget& target = targets[start.target];
    const TaskKey key{step.key.occurrence, step.key.step, start.task};
    schema::RunStart* row = runs.add_starts();
    *row->mutable_task() = makeTaskId(step.workflow->record.id(), key);
    row->mutable_run()->set_number(step.workflow->nextRun(key));
    row->mutable_run()->set_target(target.id);
    row->mutable_run()->set_agent(target.agent);
    row->mutable_run()->set_checkpoint(step.workflow->checkpointOf(key));
    if (step.tickets) row->mutable_run()->set_ticket(step.tickets->at(target.id));
    logStory(schema::RunPlaced, step.workflow->record.id(),
             {{"task", taskText(row->task())},
              {"run", std::uint64_t{row->run().number()}},
              {"target", target.id},
              {"waitedMs", static_cast<std::uint64_t>(step.waitedMs)}});
  }
  return runs;
}

/** A start for an agent that was just cut off holds its gang up for a whole grant, so agents that were not heard a
 * moment ago are asked for a sign of life first; the plan is made again when it comes. */
std::vector<RunPlan::Start> WorkflowRunner::startsInReach(const RunPlan& plan, const std::vector<PlannedStep>& steps,
                                                          const std::vector<PlannedTarget>& targets) {
  if (!m_context.settings.policy().ask_first()) return plan.starts;
  const Time now = BootClock::now();
  std::set<std::size_t> withheld;
  const auto inReach = [&](std::size_t target) { return m_ledger.fresh(targets[target].agent, now); };
  std::vector<RunPlan::Start> starts = courseloom::startsInReach(plan, steps, inReach, withheld);
  for (const std::size_t target : withheld) {
    m_ledger.ask(targets[target].agent, now);
    notifyAgent(targets[target].agent);
  }
  return starts;
}

/** A tenant's workflows of priority 0 lie within its guarantee, the earliest first, as long as it holds them all. */
void WorkflowRunner::markGuaranteed() {
  m_guaranteed.clear();
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
    std::uint64_t need = 0;
    for (const schema::StepSpec& step : workflow->record.spec().steps()) {
      need = std::max<std::uint64_t>(need, std::uint64_t{step.count()} * step.need().accelerators());
    }
    std::uint64_t& room = left[workflow->record.tenant()];
    if (need == 0 || need > room) continue;
    room -= need;
    m_guaranteed.insert(workflow->record.id());
  }
}

Rank WorkflowRunner::rankOfWorkflow(const WorkflowState& workflow) const {
  return rankOf(workflow.record.priority(), m_guaranteed.count(workflow.record.id()) > 0);
}

/** As many as urgent work lately needed at its peak, less what it holds now; the peak fades. */
unsigned WorkflowRunner::wholeTargetsToKeep(const std::vector<PlannedRun>& runs,
                                            const std::vector<PlannedStep>& steps) {
  double held = 0.0;
  for (const PlannedRun& run : runs) held += run.rank <= UrgentRank ? static_cast<double>(run.need.accelerators) : 0.0;
  double wanted = held;
  for (const PlannedStep& step : steps) {
    if (!step.isUrgent()) continue;
    wanted += static_cast<double>(step.tasks.size()) * step.workflow->step(step.key.step).need().accelerators();
  }
  const Time now = BootClock::now();
  if (m_urgentSeen == Time{}) m_urgentPeak = internal::FirstUrgentPeak;
  const double elapsedMs = m_urgentSeen == Time{} ? 0.0 : toMilliseconds(now - m_urgentSeen);
  m_urgentSeen = now;
  m_urgentPeak = std::max(wanted, m_urgentPeak * std::exp(-elapsedMs / internal::UrgentPeakFadeMs));
  return static_cast<unsigned>(std::ceil(std::max(0.0, m_urgentPeak - held) / internal::AcceleratorsPerTarget));
}

/** Takes over what targets say of themselves, which changes seldom. */
void WorkflowRunner::describeTargets() {
  const std::pair<std::uint64_t, std::uint64_t> now{m_ledger.descriptions(), m_driver.state().hallDrains().version()};
  if (now == m_describedAt) return;
  m_describedAt = now;
  m_planTargets.clear();
  m_planLives.clear();
  for (const auto& [agent, track] : m_ledger.targets()) {
    const schema::TargetReport& report = track.report;
    m_planLives.push_back(report.id());
    if (isDrained(track)) continue;  // planned as if it were gone
    PlannedTarget& target = m_planTargets.emplace_back();
    target.id = report.id();
    target.agent = agent;
    target.service = report.service();
    target.rack = report.rack();
    target.labels.insert(report.labels().begin(), report.labels().end());
    target.capacity = roomOf(report.capacity());
  }
}

/** \returns the targets as they are now; what is described stays in place from pass to pass. */
const std::vector<PlannedTarget>& WorkflowRunner::planTargets() {
  describeTargets();
  const Time now = BootClock::now();
  const bool trusted = !m_health.tooManySuspect(m_planLives, now);
  auto planned = m_planTargets.begin();
  for (const auto& [agent, track] : m_ledger.targets()) {
    if (isDrained(track)) continue;
    PlannedTarget& target = *planned++;
    const bool closed = m_health.paused(target.id, now) || (trusted && m_health.suspect(target.id, now));
    target.open = m_ledger.open(track, now) && !closed && m_trialAgents.count(agent) == 0;
    target.awaited = m_ledger.awaited(track, now);
    target.single = trusted && m_health.onProbation(target.id, now);
    target.penalty = m_health.penalty(target.id, now);
    if (learns()) target.pace = m_outlook.paceOf(target.id);
  }
  courseloom_assert(planned == m_planTargets.end());
  return m_planTargets;
}

/** A gang ends with its slowest member, however far the others are. */
void WorkflowRunner::endGangsTogether(std::vector<PlannedRun>& runs) {
  std::map<std::string, double> remaining;
  for (const PlannedRun& run : runs) {
    if (run.gang.empty()) continue;
    double& longest = remaining[run.gang];
    longest = std::max(longest, run.remainingMs);
  }
  for (PlannedRun& run : runs) {
    if (!run.gang.empty()) run.remainingMs = remaining.at(run.gang);
  }
}

std::vector<PlannedRun> WorkflowRunner::planRuns(const std::vector<PlannedTarget>& targets) const {
  std::unordered_map<std::string_view, std::size_t> byAgent;
  for (std::size_t i = 0; i < targets.size(); ++i) byAgent.emplace(targets[i].agent, i);
  const Time now = BootClock::now();
  std::vector<PlannedRun> runs;
  runs.reserve(m_ledger.runs().size());
  // Runs of one step follow each other; what they share is worked out once.
  std::optional<internal::RunsOfStep> shared;
  for (const auto& [key, track] : m_ledger.runs()) {
    if (!shared || !shared->covers(key)) shared = sharedBy(key);
    const auto target = byAgent.find(track.agent);
    if (target == byAgent.end() || shared->workflow == nullptr) continue;
    PlannedRun& run = runs.emplace_back();
    run.key = key;
    run.target = target->second;
    run.need = shared->need;
    run.rank = shared->rank;
    run.stopping = track.stopWanted || shared->ended;
    run.movable = shared->movable;
    if (shared->gang) run.gang = internal::gang_name(key);
    const double ranMs = toMilliseconds(now - track.startedAt);
    const double lostMs = shared->checkpointable ? std::min(ranMs, internal::CheckpointLossMs) : ranMs;
    const double restartMs = shared->gang ? internal::GangRestartMs : 0.0;
    run.lostWork = shared->cores * (lostMs + restartMs) / internal::MillisecondsPerSecond;
    run.remainingMs = remainingMs(track, shared->expectedMs);
  }
  endGangsTogether(runs);
  return runs;
}

internal::RunsOfStep WorkflowRunner::sharedBy(const RunKey& key) const {
  internal::RunsOfStep shared;
  shared.name = {key.workflow, key.task.stepKey()};
  shared.workflow = table().find(key.workflow);
  if (shared.workflow == nullptr) return shared;
  const schema::StepSpec& step = shared.workflow->step(key.task.step);
  shared.need = roomOf(step);
  shared.rank = rankOfWorkflow(*shared.workflow);
  shared.ended = shared.workflow->ended();
  shared.movable = !step.long_running();
  shared.gang = step.gang();
  shared.checkpointable = step.checkpointable();
  shared.cores = internal::cores_of(step);
  shared.expectedMs = expectedMs(shared.workflow->record.queue(), step);
  return shared;
}

std::vector<PlannedStep> WorkflowRunner::planSteps() {
  const std::uint64_t nowMs = wallClockMs();
  m_serviceRooms.reset();
  m_openTargets.clear();
  findTrials();
  std::vector<PlannedStep> steps;
  for (const std::string& id : table().open()) {
    const WorkflowState* workflow = table().find(id);
    if (!workflow->ended()) addSteps(*workflow, nowMs, steps);
  }
  return steps;
}

void WorkflowRunner::addSteps(const WorkflowState& workflow, std::uint64_t nowMs, std::vector<PlannedStep>& steps) {
  const schema::Workflow& record = workflow.record;
  const schema::Queue* queue = queueNamed(record.queue());
  for (std::uint32_t occurrence = 0; occurrence < workflow.occurrences(); ++occurrence) {
    const std::uint64_t due = workflow.dueMs(occurrence);
    if (due > nowMs) break;
    for (int s = 0; s < record.spec().steps_size(); ++s) {
      const StepKey key{occurrence, static_cast<std::uint32_t>(s)};
      if (workflow.stepDone(key) || !workflow.stepWaits(key) || !workflow.stepReady(key)) continue;
      const schema::StepSpec& spec = record.spec().steps(s);
      PlannedStep step;
      step.workflow = &workflow;
      step.key = key;
      for (std::uint32_t i = 0; i < spec.count(); ++i) {
        const TaskState* task = workflow.task({occurrence, key.step, i});
        const bool waits = task == nullptr || (!task->done && task->active.empty());
        if (waits) step.tasks.push_back(i);
        if (task == nullptr) continue;
        if (spec.max_per_target() == 0) continue;
        for (const schema::ActiveRun& run : task->active) ++step.placedOn[run.target()];
      }
      const bool partOfGang = spec.gang() && step.tasks.size() < spec.count();
      if (step.tasks.empty() || partOfGang) continue;
      step.rank = rankOfWorkflow(workflow);
      step.avoided = targetsToAvoid(workflow, step);
      step.estimateMs = expectedMs(record.queue(), spec);
      step.taskWork = internal::cores_of(spec) * step.estimateMs / internal::MillisecondsPerSecond;
      step.objectiveMs =
          static_cast<double>(due) + record.stretch() * objectiveChainMs(workflow) + record.latency_target_ms();
      step.worthlessMs =
          static_cast<double>(due) + internal::WorthlessAfter * (step.objectiveMs - static_cast<double>(due));
      const StepName name{record.id(), key};
      const Time now = BootClock::now();
      step.waitedMs = toMilliseconds(now - m_readySince.try_emplace(name, now).first->second);
      // A former leader's waiting counts too, as far as the log tells of it.
      if (spec.after().empty()) step.waitedMs = std::max(step.waitedMs, static_cast<double>(nowMs - due));
      if (m_advice.needed(queue))
        step.tickets = m_advice.ticketsFor(name, queue->advice(), openTargets(record.service()));
      addParts(std::move(step), steps);
    }
  }
}

/** Work whose next failure ends its workflow keeps away from where anything failed lately too: where one failed at
 * once, two of three that follow fail as well. */
std::set<std::string> WorkflowRunner::targetsToAvoid(const WorkflowState& workflow, const PlannedStep& step) const {
  std::set<std::string> avoided = m_health.failedOn(workflow.record.id());
  if (!m_context.settings.policy().last_attempts()) return avoided;
  // Mostly none is, and then no task has to be looked up.
  std::set<std::string> doubted = m_health.doubted(BootClock::now());
  if (doubted.empty()) return avoided;
  const bool last = std::any_of(step.tasks.begin(), step.tasks.end(), [&](std::uint32_t index) {
    return workflow.onLastAttempt({step.key.occurrence, step.key.step, index});
  });
  if (last) avoided.merge(doubted);
  return avoided;
}

/** \returns run time of a workflow's longest chain of steps, ms, as its objective counts it. */
double WorkflowRunner::objectiveChainMs(const WorkflowState& workflow) {
  if (!m_serviceRooms) m_serviceRooms = serviceRooms();
  const auto found = m_serviceRooms->find(workflow.record.service());
  const bool waves = m_context.settings.policy().waves() && found != m_serviceRooms->end();
  const TaskTime taskMs = [&](const schema::StepSpec& step) { return expectedMs(workflow.record.queue(), step); };
  return longestChainMs(workflow.record.spec(), taskMs, waves ? found->second : Room());
}

/** \returns all room of each service's targets, whether they are open now or not. */
std::map<std::string, Room> WorkflowRunner::serviceRooms() const {
  std::map<std::string, Room> rooms;
  for (const auto& [agent, track] : m_ledger.targets()) {
    rooms[track.report.service()].add(roomOf(track.report.capacity()));
  }
  return rooms;
}

/** \returns lives of a service's targets that may be given new runs, worked out once a pass. */
const std::vector<std::string>& WorkflowRunner::openTargets(const std::string& service) {
  const auto known = m_openTargets.find(service);
  if (known != m_openTargets.end()) return known->second;
  std::vector<std::string>& open = m_openTargets[service];
  const Time now = BootClock::now();
  for (const auto& [agent, track] : m_ledger.targets()) {
    const bool fits = track.report.service() == service && !isDrained(track) && m_ledger.open(track, now);
    if (fits) open.push_back(track.report.id());
  }
  return open;
}

const schema::Queue* WorkflowRunner::queueNamed(const std::string& name) {
  const schema::QueueConfiguration& configuration = table().configuration();
  if (configuration.version() != m_queuesOf) {
    m_queues.clear();
    for (const schema::Queue& queue : configuration.queues()) m_queues.emplace(queue.name(), &queue);
    m_queuesOf = configuration.version();
  }
  const auto found = m_queues.find(name);
  return found == m_queues.end() ? nullptr : found->second;
}

}  // namespace courseloom
