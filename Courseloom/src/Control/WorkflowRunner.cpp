// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/WorkflowRunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>

#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {

constexpr Duration TickInterval = milliseconds(100);
constexpr Duration CommitLimit = milliseconds(3000);
constexpr double AcceleratorCores = 8.0;
constexpr double MillisecondsPerSecond = 1000.0;
/** An unfinished task whose percent stands at this is taken to be about to end. */
constexpr double WholePercent = 100.0;
/** Share of a task from which its pace so far tells its whole time. */
constexpr double TellingShare = 0.1;
/** Work of a task that is lost at a stop although it saves its progress, ms. */
constexpr double CheckpointLossMs = 300.0;
/** Work that a stopped gang is taken to lose beside what it had done, since it has to wait for a whole place again, ms.
 */
/** A workflow that takes this many times its objective is worth nothing to its caller. */
constexpr double WorthlessAfter = 3.0;
constexpr double GangRestartMs = 2000.0;
/** Time that stopping a run may take before its target is gone, ms. */
constexpr double LeaveMarginMs = 300.0;
/** A run whose percent has not moved for this long, or for this share of its estimate, stands still. */
constexpr double StallMs = 2000.0;
constexpr double StallShare = 0.3;
/** Accelerators that urgent work is taken to need before any was seen, and the time in which a peak fades to a third.
 */
constexpr double FirstUrgentPeak = 16.0;
constexpr double UrgentPeakFadeMs = 20000.0;
constexpr double AcceleratorsPerTarget = 8.0;

RunLedgerOptions ledger_options(const schema::Settings& settings) {
  RunLedgerOptions options;
  options.grant = milliseconds(settings.control().run_grant_ms());
  return options;
}

RunPlannerOptions planner_options(const schema::Settings& settings) {
  RunPlannerOptions options;
  options.lossRatio = settings.control().urgent_loss_ratio();
  options.urgentPatienceShare = settings.control().urgent_patience();
  return options;
}

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

double longestChainMs(const schema::WorkflowSpec& spec) {
  std::vector<double> ends;
  double longest = 0.0;
  for (const schema::StepSpec& step : spec.steps()) {
    double begins = 0.0;
    for (const std::uint32_t earlier : step.after()) begins = std::max(begins, ends[earlier]);
    ends.push_back(begins + static_cast<double>(step.estimate_ms()));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

WorkflowRunner::WorkflowRunner(const DaemonContext& context, ControlStrand strand, ReplicaDriver& driver,
                               std::unique_ptr<AdvicePort> advice)
    : m_context(context),
      m_strand(std::move(strand)),
      m_driver(driver),
      m_advice(m_strand, std::move(advice), [this] { wake(); }),
      m_ledger(internal::ledger_options(context.settings)),
      m_planner(internal::planner_options(context.settings)) {}

void WorkflowRunner::start() {
  asio::co_spawn(m_strand, tickLoop(), asio::detached);
  asio::co_spawn(m_strand, planLoop(), asio::detached);
}

void WorkflowRunner::lead(bool leads) {
  m_leads = leads;
  m_advice.clear();
  m_readySince.clear();
  m_health.clear();
  if (leads) m_ledger.lead(table(), BootClock::now());
  for (auto& [agent, signal] : m_agentSignals) signal.notify();
  wake();
}

void WorkflowRunner::release() {
  m_released = true;
  for (auto& [agent, signal] : m_agentSignals) signal.notify();
}

void WorkflowRunner::wake() {
  m_dirty = true;
  m_planWanted.notify();
}

void WorkflowRunner::notifyAgent(const std::string& agent) {
  const auto found = m_agentSignals.find(agent);
  if (found != m_agentSignals.end()) found->second.notify();
}

void WorkflowRunner::onApplied() {
  const std::vector<RunChange> changes = m_driver.takeRunChanges();
  const std::vector<std::string> ended = m_driver.takeEndedWorkflows();
  if (!m_leads) return;
  m_ledger.apply(changes, BootClock::now());
  for (const RunChange& change : changes) {
    if (change.started) noteStarted(change);
    if (!change.started) m_context.metrics.count("run_ends", schema::RunEndKind_Name(change.kind));
    if (!change.started) m_health.ended(change.run.target(), change.task.workflow(), change.kind, BootClock::now());
    if (change.started) notifyAgent(change.run.agent());
  }
  for (const std::string& id : ended) {
    const WorkflowState* workflow = table().find(id);
    if (workflow == nullptr) continue;
    noteEnded(*workflow);
    m_health.forget(id);
    for (const auto& [key, task] : workflow->tasks) {
      for (const schema::ActiveRun& run : task.active) notifyAgent(run.agent());
    }
  }
  wake();
}

void WorkflowRunner::noteEnded(const WorkflowState& workflow) {
  const schema::Workflow& record = workflow.record;
  const std::uint64_t tookMs = record.ended_ms() - std::min(record.ended_ms(), record.submitted_ms());
  m_context.metrics.record("workflow_completion_ms", record.tenant(), record.queue(), static_cast<double>(tookMs));
  m_context.metrics.count("workflow_ends", schema::WorkflowPhase_Name(record.phase()));
  logEvent(schema::WorkflowEnded, {{"workflow", record.id()},
                                   {"phase", schema::WorkflowPhase_Name(record.phase())},
                                   {"reason", record.reason()},
                                   {"tookMs", tookMs}});
}

void WorkflowRunner::noteStarted(const RunChange& change) {
  const WorkflowState* workflow = table().find(change.task.workflow());
  if (workflow == nullptr || change.run.number() != 1) return;
  const schema::Workflow& record = workflow->record;
  const std::uint64_t due = workflow->dueMs(change.task.occurrence());
  const std::uint64_t waited = change.run.started_ms() - std::min(change.run.started_ms(), due);
  m_context.metrics.record("first_start_ms", record.tenant(), record.queue(), static_cast<double>(waited));
}

void WorkflowRunner::showGauges() {
  std::size_t openTargets = 0;
  for (const auto& [agent, track] : m_ledger.targets()) openTargets += m_ledger.open(agent, BootClock::now()) ? 1 : 0;
  m_context.metrics.set("leader", m_leads ? 1.0 : 0.0);
  m_context.metrics.set("term", static_cast<double>(m_driver.replica().term()));
  m_context.metrics.set("configuration_version", static_cast<double>(table().configuration().version()));
  m_context.metrics.set("workflows_open", static_cast<double>(table().open().size()));
  m_context.metrics.set("runs_active", static_cast<double>(m_ledger.runs().size()));
  m_context.metrics.set("targets_known", static_cast<double>(m_ledger.targets().size()));
  m_context.metrics.set("targets_open", static_cast<double>(openTargets));
}

Awaitable<void> WorkflowRunner::tickLoop() {
  while (true) {
    co_await sleepFor(internal::TickInterval);
    showGauges();
    if (!leads()) continue;
    co_await expireRuns();
    reviewRuns();
    if (!table().open().empty()) wake();
  }
}

Awaitable<void> WorkflowRunner::expireRuns() {
  schema::RecordRuns runs;
  for (schema::RunEnd& end : m_ledger.expire(BootClock::now())) *runs.add_ends() = std::move(end);
  if (runs.ends_size() == 0) co_return;
  for (const schema::RunEnd& end : runs.ends()) {
    logEvent(schema::RunExpired, {{"task", taskText(end.task())}, {"run", std::uint64_t{end.run()}}});
  }
  co_await commitRuns(std::move(runs));
}

Awaitable<bool> WorkflowRunner::commitRuns(schema::RecordRuns runs) {
  schema::Command command;
  *command.mutable_record_runs() = std::move(runs);
  Result<schema::CommandReply> reply =
      co_await m_driver.submit(std::move(command), BootClock::now() + internal::CommitLimit);
  co_return static_cast<bool>(reply);
}

// ---- runs that have to move

/** Stops a run, and with it all members of its gang, so that they start again elsewhere from their checkpoint. */
void WorkflowRunner::stopWhole(const RunKey& key, const char* reason) {
  const WorkflowState* workflow = table().find(key.workflow);
  if (workflow == nullptr) return;
  const bool gang = workflow->step(key.task.step).gang();
  const std::uint32_t first = gang ? 0 : key.task.index;
  const std::uint32_t last = gang ? workflow->step(key.task.step).count() - 1 : key.task.index;
  for (std::uint32_t index = first; index <= last; ++index) {
    const RunKey member{key.workflow, {key.task.occurrence, key.task.step, index}, key.run};
    notifyAgent(m_ledger.wantStop(member));
  }
  logEvent(
      schema::RunMoved,
      {{"task", taskText(makeTaskId(key.workflow, key.task))}, {"run", std::uint64_t{key.run}}, {"reason", reason}});
}

/** \returns whether a run's target goes before the run would end. */
bool WorkflowRunner::leavesTooLate(const RunKey& key, const RunTrack& track) const {
  const auto found = m_ledger.targets().find(track.agent);
  if (found == m_ledger.targets().end() || found->second.report.id() != track.target) return false;
  const TargetTrack& target = found->second;
  if (!target.report.draining()) return false;
  const schema::StepSpec& step = table().find(key.workflow)->step(key.task.step);
  if (step.long_running()) return true;
  const double leftMs =
      static_cast<double>(target.report.remaining_ms()) - toMilliseconds(BootClock::now() - target.heard);
  return remainingMs(step, track) + internal::LeaveMarginMs > leftMs;
}

bool WorkflowRunner::standsStill(const RunKey& key, const RunTrack& track) const {
  const schema::StepSpec& step = table().find(key.workflow)->step(key.task.step);
  if (!track.confirmed || step.long_running() || track.percent >= internal::WholePercent) return false;
  const auto found = m_ledger.targets().find(track.agent);
  if (found == m_ledger.targets().end() || !found->second.report.reachable()) return false;
  const double stillMs = toMilliseconds(BootClock::now() - track.percentChanged);
  // A sound task moves by a hundredth of its work at a time, and its estimate may be far too short.
  const double patienceMs = std::max(internal::StallMs, internal::StallShare * static_cast<double>(step.estimate_ms()));
  return stillMs > patienceMs;
}

void WorkflowRunner::reviewRuns() {
  std::vector<RunKey> leaving;
  std::vector<RunKey> still;
  for (const auto& [key, track] : m_ledger.runs()) {
    const WorkflowState* workflow = table().find(key.workflow);
    if (track.stopWanted || workflow == nullptr || workflow->ended()) continue;
    if (leavesTooLate(key, track)) leaving.push_back(key);
    if (standsStill(key, track)) still.push_back(key);
  }
  for (const RunKey& key : leaving) stopWhole(key, "its target leaves");
  for (const RunKey& key : still) {
    m_health.stalled(m_ledger.runs().at(key).target, BootClock::now());
    stopWhole(key, "it stands still");
  }
}

double WorkflowRunner::remainingMs(const schema::StepSpec& step, const RunTrack& track) {
  const double ranMs = toMilliseconds(BootClock::now() - track.startedAt);
  const double share = track.percent / internal::WholePercent;
  const double whole =
      std::max(static_cast<double>(step.estimate_ms()), share > internal::TellingShare ? ranMs / share : 0.0);
  return std::max(0.0, whole * (1.0 - share));
}

// ---- planning

Awaitable<void> WorkflowRunner::planLoop() {
  while (true) {
    while (!m_dirty) co_await m_planWanted.wait(BootClock::now() + milliseconds(1000));
    m_dirty = false;
    if (!leads()) continue;
    const Time before = BootClock::now();
    schema::RecordRuns runs = makePlan();
    m_context.metrics.record("plan_ms", "all", "all", toMilliseconds(BootClock::now() - before));
    if (runs.starts_size() > 0) co_await commitRuns(std::move(runs));
  }
}

schema::RecordRuns WorkflowRunner::makePlan() {
  schema::RecordRuns runs;
  markGuaranteed();
  std::vector<PlannedStep> steps = planSteps();
  if (steps.empty()) return runs;
  const std::vector<PlannedTarget> targets = planTargets();
  const std::vector<PlannedRun> active = planRuns(targets);
  const unsigned keepWhole = wholeTargetsToKeep(active, steps);
  const RunPlan plan = m_planner.plan(targets, active, steps, keepWhole, static_cast<double>(wallClockMs()));
  for (const RunPlan::Stop& stop : plan.stops) {
    notifyAgent(m_ledger.wantStop(stop.run));
    const PlannedStep& step = steps[stop.forStep];
    logEvent(schema::RunPreempted, {{"task", taskText(makeTaskId(stop.run.workflow, stop.run.task))},
                                    {"run", std::uint64_t{stop.run.run}},
                                    {"forWorkflow", step.workflow->record.id()},
                                    {"rank", std::uint64_t{step.rank}},
                                    {"waitedMs", static_cast<std::uint64_t>(step.waitedMs)}});
  }
  for (const RunPlan::Start& start : plan.starts) {
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
    logEvent(schema::RunPlaced, {{"task", taskText(row->task())},
                                 {"run", std::uint64_t{row->run().number()}},
                                 {"target", target.id},
                                 {"waitedMs", static_cast<std::uint64_t>(step.waitedMs)}});
  }
  return runs;
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

std::vector<PlannedTarget> WorkflowRunner::planTargets() const {
  const Time now = BootClock::now();
  std::vector<std::string> lives;
  for (const auto& [agent, track] : m_ledger.targets()) lives.push_back(track.report.id());
  const bool trusted = !m_health.tooManySuspect(lives, now);
  std::vector<PlannedTarget> targets;
  for (const auto& [agent, track] : m_ledger.targets()) {
    const schema::TargetReport& report = track.report;
    PlannedTarget& target = targets.emplace_back();
    target.id = report.id();
    target.agent = agent;
    target.service = report.service();
    target.rack = report.rack();
    target.labels.insert(report.labels().begin(), report.labels().end());
    target.capacity.cpuMilli = static_cast<std::int64_t>(report.capacity().cpu_milli());
    target.capacity.memoryMb = static_cast<std::int64_t>(report.capacity().memory_mb());
    target.capacity.accelerators = report.capacity().accelerators();
    const bool closed = m_health.paused(report.id(), now) || (trusted && m_health.suspect(report.id(), now));
    target.open = m_ledger.open(agent, now) && !closed;
    target.single = trusted && m_health.onProbation(report.id(), now);
    target.penalty = m_health.penalty(report.id(), now);
  }
  return targets;
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
  std::map<std::string, std::size_t> byAgent;
  for (std::size_t i = 0; i < targets.size(); ++i) byAgent[targets[i].agent] = i;
  const Time now = BootClock::now();
  std::vector<PlannedRun> runs;
  for (const auto& [key, track] : m_ledger.runs()) {
    const auto target = byAgent.find(track.agent);
    const WorkflowState* workflow = table().find(key.workflow);
    if (target == byAgent.end() || workflow == nullptr) continue;
    const schema::StepSpec& step = workflow->step(key.task.step);
    PlannedRun& run = runs.emplace_back();
    run.key = key;
    run.target = target->second;
    run.need = roomOf(step);
    run.rank = rankOfWorkflow(*workflow);
    run.stopping = track.stopWanted || workflow->ended();
    run.movable = !step.long_running();
    if (step.gang()) run.gang = internal::gang_name(key);
    const double ranMs = toMilliseconds(now - track.startedAt);
    const double lostMs = step.checkpointable() ? std::min(ranMs, internal::CheckpointLossMs) : ranMs;
    const double restartMs = step.gang() ? internal::GangRestartMs : 0.0;
    run.lostWork = internal::cores_of(step) * (lostMs + restartMs) / internal::MillisecondsPerSecond;
    run.remainingMs = remainingMs(step, track);
  }
  endGangsTogether(runs);
  return runs;
}

std::vector<PlannedStep> WorkflowRunner::planSteps() {
  const std::uint64_t nowMs = wallClockMs();
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
      if (workflow.stepDone(key) || !workflow.stepReady(key)) continue;
      const schema::StepSpec& spec = record.spec().steps(s);
      PlannedStep step;
      step.workflow = &workflow;
      step.key = key;
      for (std::uint32_t i = 0; i < spec.count(); ++i) {
        const TaskState* task = workflow.task({occurrence, key.step, i});
        const bool waits = task == nullptr || (!task->done && task->active.empty());
        if (waits) step.tasks.push_back(i);
        if (task == nullptr) continue;
        for (const schema::ActiveRun& run : task->active) ++step.placedOn[run.target()];
      }
      const bool partOfGang = spec.gang() && step.tasks.size() < spec.count();
      if (step.tasks.empty() || partOfGang) continue;
      step.rank = rankOfWorkflow(workflow);
      step.avoided = m_health.failedOn(record.id());
      step.estimateMs = static_cast<double>(spec.estimate_ms());
      step.taskWork = internal::cores_of(spec) * step.estimateMs / internal::MillisecondsPerSecond;
      step.objectiveMs =
          static_cast<double>(due) + record.stretch() * longestChainMs(record.spec()) + record.latency_target_ms();
      step.worthlessMs =
          static_cast<double>(due) + internal::WorthlessAfter * (step.objectiveMs - static_cast<double>(due));
      const StepName name{record.id(), key};
      const Time now = BootClock::now();
      step.waitedMs = toMilliseconds(now - m_readySince.try_emplace(name, now).first->second);
      // A former leader's waiting counts too, as far as the log tells of it.
      if (spec.after().empty()) step.waitedMs = std::max(step.waitedMs, static_cast<double>(nowMs - due));
      if (m_advice.needed(queue))
        step.tickets = m_advice.ticketsFor(name, queue->advice(), openTargets(record.service()));
      steps.push_back(std::move(step));
    }
  }
}

std::vector<std::string> WorkflowRunner::openTargets(const std::string& service) const {
  std::vector<std::string> open;
  for (const auto& [agent, track] : m_ledger.targets()) {
    const bool fits = m_ledger.open(agent, BootClock::now()) && track.report.service() == service;
    if (fits) open.push_back(track.report.id());
  }
  return open;
}

const schema::Queue* WorkflowRunner::queueNamed(const std::string& name) const {
  for (const schema::Queue& queue : table().configuration().queues()) {
    if (queue.name() == name) return &queue;
  }
  return nullptr;
}

// ---- agents

Awaitable<Result<schema::AttendReply>> WorkflowRunner::attend(schema::AttendRequest request) {
  const Time received = BootClock::now();
  if (!leads()) co_return fail(m_driver.noLeader("attend"));
  schema::RecordRuns runs;
  for (schema::RunEnd& end : m_ledger.takeReport(request, received)) {
    logEvent(schema::RunEnded, {{"task", taskText(end.task())},
                                {"run", std::uint64_t{end.run()}},
                                {"kind", schema::RunEndKind_Name(end.kind())},
                                {"target", request.target().id()}});
    *runs.add_ends() = std::move(end);
  }
  schema::AttendReply reply;
  if (runs.ends_size() > 0 && !co_await commitRuns(std::move(runs))) co_return fail(m_driver.noLeader("attend"));
  wake();
  reply.set_ends_target(request.target().id());
  for (const schema::EndReport& end : request.ends()) {
    reply.set_ends_taken(std::max<std::uint64_t>(reply.ends_taken(), end.number()));
  }
  const Time end = received + milliseconds(request.wait_ms());
  const bool hasNews = request.ends_size() > 0 || request.started_size() > 0;
  while (leads() && !hasNews && !m_released && BootClock::now() < end) {
    if (m_ledger.hasOrders(request.agent(), table(), BootClock::now())) break;
    co_await m_agentSignals[request.agent()].wait(end);
  }
  if (!leads() || m_released) co_return fail(m_driver.noLeader("attend"));
  const Time now = BootClock::now();
  for (schema::RunOrder& order : m_ledger.takeOrders(request.agent(), table(), now)) {
    *reply.add_orders() = std::move(order);
  }
  m_ledger.granted(request.agent(), now);
  reply.set_term(m_driver.replica().term());
  reply.set_grant_ms(m_context.settings.control().run_grant_ms());
  reply.set_held_ms(static_cast<std::uint32_t>(toMilliseconds(now - received)));
  if (m_membersSource) {
    for (const ReplicaId id : m_membersSource()) reply.add_members(id);
  }
  co_return reply;
}

}  // namespace courseloom
