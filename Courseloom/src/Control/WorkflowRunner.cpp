// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/WorkflowRunner.h"

#include <algorithm>
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
/** Pause after a plan, as a multiple of the plan's duration. It limits planning to a third of the leader's time,
 * however often something changes. */
constexpr int PausePerPlan = 2;
/** No pause follows a plan that takes less than this: it would not be worth a timer. */
constexpr Duration ShortPlan = milliseconds(1);
constexpr Duration LongestPlanPause = milliseconds(50);
/** Progress of a complete task. An unfinished task that reports it is assumed to be about to end. */
constexpr double WholePercent = 100.0;
/** Time that is reserved for stopping a run before its target ends, ms. */
constexpr double LeaveMarginMs = 300.0;
/** A run is stalled if its progress has not changed for this long, ms, and for StallShare of its expected run time. A
 * healthy run makes progress at every hundredth of its work. The share tolerates a target that is six times too slow
 * and observations that are 250 ms apart. */
constexpr double StallMs = 700.0;
constexpr double StallShare = 0.15;

/** Interval at which the state of the ledger is recorded in the log. */
constexpr Duration RecordInterval = milliseconds(500);

RunLedgerOptions ledger_options(const schema::Settings& settings) {
  RunLedgerOptions options;
  options.grant = leaseLength(settings.control());
  options.leavingLease = milliseconds(settings.control().run_grant_ms());
  options.longestHold = milliseconds(settings.control().max_hold_ms());
  options.reportsPerSecond = settings.control().reports_each_second();
  return options;
}

RunPlannerOptions planner_options(const schema::Settings& settings) {
  RunPlannerOptions options;
  options.lossRatio = settings.control().urgent_loss_ratio();
  options.urgentPatienceShare = settings.control().urgent_patience();
  const schema::PolicySettings& policy = settings.policy();
  if (!policy.ageing()) options.ageAfterEstimates = 0.0;
  if (!policy.reservations()) options.reservations = 0;
  options.headroom = policy.headroom();
  options.patience = policy.patience();
  options.prospects = policy.prospects();
  options.nominations = policy.nominations();
  options.yields = policy.yields();
  options.speeds = policy.speeds();
  options.keepGangTargets = policy.keep_gang_targets();
  options.stopBackoff = policy.keep_gang_targets();
  options.fillLimit = policy.fill_limit();
  options.fillShare = policy.fill_share();
  options.quantileDates = policy.quantile_dates();
  if (policy.stops_in_time()) options.stopMs = settings.control().stop_ms();
  return options;
}

TargetHealthOptions health_options(const schema::Settings& settings) {
  TargetHealthOptions options;
  options.voidBackoff = settings.policy().void_backoff();
  return options;
}

CopyPlannerOptions copy_options(const schema::Settings& settings) {
  CopyPlannerOptions options;
  options.shareOfRuns = settings.policy().copy_share();
  return options;
}

}  // namespace
}  // namespace internal

WorkflowRunner::WorkflowRunner(const DaemonContext& context, ControlStrand strand, ReplicaDriver& driver,
                               std::unique_ptr<AdvicePort> advice)
    : m_context(context),
      m_strand(std::move(strand)),
      m_driver(driver),
      m_tickets(m_strand, std::move(advice), [this] { requestPlan(); }),
      m_ledger(internal::ledger_options(context.settings)),
      m_planner(internal::planner_options(context.settings)),
      m_copyPlanner(internal::copy_options(context.settings)),
      m_health(internal::health_options(context.settings)) {}

void WorkflowRunner::start() {
  asio::co_spawn(m_strand, tickLoop(), asio::detached);
  asio::co_spawn(m_strand, planLoop(), asio::detached);
}

void WorkflowRunner::lead(bool leads) {
  m_leads = leads;
  m_changesInherited = leads;
  m_queuesVersion = 0;
  m_queues.clear();
  m_relays.clear();
  m_tickets.clear();
  m_readySince.clear();
  m_selectedSteps.clear();
  m_figures.clear();
  m_waitReview.clear();
  m_ledgerRecorded = Time{};
  m_health.clear();
  m_planner.forgetUnstartedSteps();
  m_shareReview.clear();
  m_backlogsUpdated = Time{};
  m_planner.clearFillLimits();
  if (leads) m_ledger.lead(table(), BootClock::now(), m_driver.replica().term());
  for (auto& [agent, signal] : m_agentSignals) signal.notify();
  requestPlan();
}

void WorkflowRunner::releaseWaiters() {
  m_released = true;
  for (auto& [agent, signal] : m_agentSignals) signal.notify();
}

void WorkflowRunner::requestPlan() {
  m_dirty = true;
  m_planWanted.notify();
}

void WorkflowRunner::notifyAgent(const std::string& agent) {
  const auto found = m_agentSignals.find(agent);
  if (found != m_agentSignals.end()) found->second.notify();
}

void WorkflowRunner::onApplied() {
  applyHallDrains();
  const std::vector<RunChange> changes = m_driver.consumeRunChanges();
  const std::vector<std::string> ended = m_driver.consumeEndedWorkflows();
  if (!m_leads) return;
  const VoidedStarts voids = findVoidedStarts(changes);
  m_ledger.apply(changes, BootClock::now(), m_changesInherited);
  if (m_changesInherited) m_ledger.readRecords(table());
  // This leader proposes its own starts only once it leads, so they are applied after this point.
  if (leads()) m_changesInherited = false;
  for (const RunChange& change : changes) {
    if (change.started) recordFirstStart(change);
    if (change.started)
      m_waitReview.recordStart({change.task.workflow(), keyOf(change.task).stepKey()}, BootClock::now());
    if (!change.started) m_context.metrics.count("run_ends", schema::RunEndKind_Name(change.kind));
    const RunKey key = runKeyOf(change.task, change.run.number());
    if (!change.started) recordHealth(change, voids.stopped.count(key) > 0);
    if (!change.started) recordVoid(change, voids.blamingTarget.count(key) > 0);
    if (!change.started) logCrash(change);
    if (change.started) notifyAgent(change.run.agent());
    if (!change.started) stopGangMembers(change);
    observeCopies(change);
    if (!change.started) forgetDoneStep(change);
    if (change.wantsTicket) recordTicketRefusal(change);
  }
  for (const std::string& id : ended) {
    const WorkflowState* workflow = table().find(id);
    if (workflow == nullptr) continue;
    recordWorkflowEnd(*workflow);
    m_health.forget(id);
    m_tickets.forget(id);
    std::erase_if(m_readySince, [&id](const auto& entry) { return entry.first.first == id; });
    m_figures.erase(id);
    for (const auto& [key, task] : workflow->tasks) {
      for (const schema::ActiveRun& run : task.active) notifyAgent(run.agent());
    }
  }
  requestPlan();
}

// ---- drained data halls

bool WorkflowRunner::isDrained(const TargetTrack& target) const {
  return m_driver.state().hallDrains().contains(target.report.data_hall());
}

bool WorkflowRunner::runsInDrainedHall(const RunTrack& track) const {
  const auto found = m_ledger.targets().find(track.agent);
  return found != m_ledger.targets().end() && isDrained(found->second);
}

/** Stops unconfirmed starts in newly drained data halls, so that their tasks start elsewhere: such a start could still
 * begin after the drain. Confirmed runs there are left to end by themselves. */
void WorkflowRunner::applyHallDrains() {
  std::set<std::string> halls = m_driver.state().hallDrains().halls();
  if (halls == m_drainedHalls) return;
  for (const std::string& hall : m_drainedHalls) {
    if (halls.count(hall) == 0) logEvent(schema::HallReturned, {{"hall", hall}});
  }
  for (const schema::HallDrainStatus& status : hallDrainStatus()) {
    if (m_drainedHalls.count(status.drain().data_hall()) > 0) continue;
    logEvent(schema::HallDrained,
             {{"hall", status.drain().data_hall()}, {"by", status.drain().operator_name()}, {"runs", status.runs()}});
  }
  m_drainedHalls = std::move(halls);
  if (!m_leads) return;
  std::vector<RunKey> unconfirmedStarts;
  for (const auto& [key, track] : m_ledger.runs()) {
    if (!track.confirmed && !track.stopRequested && runsInDrainedHall(track)) unconfirmedStarts.push_back(key);
  }
  for (const RunKey& key : unconfirmedStarts) stopRunOrGang(key, "its data hall is drained");
  requestPlan();
}

std::set<std::string> WorkflowRunner::dataHalls() const {
  std::set<std::string> halls;
  for (const auto& [agent, target] : m_ledger.targets()) halls.insert(target.report.data_hall());
  halls.erase("");
  return halls;
}

std::vector<schema::HallDrainStatus> WorkflowRunner::hallDrainStatus() const {
  std::map<std::string, schema::HallDrainStatus> byHall;
  for (const auto& [hall, drain] : m_driver.state().hallDrains().drains()) *byHall[hall].mutable_drain() = drain;
  for (const auto& [agent, target] : m_ledger.targets()) {
    const auto found = byHall.find(target.report.data_hall());
    if (found != byHall.end()) found->second.set_targets(found->second.targets() + 1);
  }
  for (const auto& [key, track] : m_ledger.runs()) {
    const auto target = m_ledger.targets().find(track.agent);
    if (target == m_ledger.targets().end()) continue;
    const auto found = byHall.find(target->second.report.data_hall());
    if (found != byHall.end()) found->second.set_runs(found->second.runs() + 1);
  }
  std::vector<schema::HallDrainStatus> statuses;
  for (auto& [hall, status] : byHall) statuses.push_back(std::move(status));
  return statuses;
}

/** Handles the refusal of a start that had no valid ticket. The workflow's record says from now on that its starts need
 * tickets. */
void WorkflowRunner::recordTicketRefusal(const RunChange& change) {
  const StepName step{change.task.workflow(), keyOf(change.task).stepKey()};
  m_context.metrics.count("starts_without_ticket", "all");
  logEvent(schema::TicketRefused, {{"task", taskText(change.task)},
                                   {"run", std::uint64_t{change.run.number()}},
                                   {"target", change.run.target()},
                                   {"ticket", change.run.ticket()}});
  m_tickets.refused(step);
}

/** Forgets what is kept for the waiting steps of workflows once all tasks of a step are done. */
void WorkflowRunner::forgetDoneStep(const RunChange& change) {
  const WorkflowState* workflow = table().find(change.task.workflow());
  const StepName name{change.task.workflow(), keyOf(change.task).stepKey()};
  if (workflow == nullptr || !workflow->stepDone(name.second)) return;
  m_readySince.erase(name);
  m_tickets.forget(name);
}

/** Records the end of a run in its target's health, and logs if the target becomes suspect or trusted by that end.
 * \param stopped whether the run was voided after its stop had been requested */
void WorkflowRunner::recordHealth(const RunChange& change, bool stopped) {
  // A start without a valid ticket says nothing of its target.
  if (change.superseded || change.wantsTicket) return;
  const std::string& target = change.run.target();
  // If one member of a gang is lost before it starts, the others are stopped. Their targets did not refuse a start, and
  // are kept for the gang.
  if (stopped && m_context.settings.policy().keep_gang_targets()) return;
  const Time now = BootClock::now();
  const bool doubtedBefore = m_health.suspect(target, now) || m_health.onProbation(target, now);
  m_health.ended(target, change.task.workflow(), change.kind, now);
  const bool doubted = m_health.suspect(target, now) || m_health.onProbation(target, now);
  if (doubted == doubtedBefore) return;
  logEvent(
      doubted ? schema::TargetSuspected : schema::TargetTrusted,
      {{"target", target}, {"reason", schema::RunEndKind_Name(change.kind)}, {"workflow", change.task.workflow()}});
}

/** \returns the voided starts among the changes. To be called before the ledger applies the changes, which removes the
 * runs. */
WorkflowRunner::VoidedStarts WorkflowRunner::findVoidedStarts(const std::vector<RunChange>& changes) const {
  VoidedStarts voids;
  for (const RunChange& change : changes) {
    if (change.started || change.kind != schema::RunVoided) continue;
    const RunKey key = runKeyOf(change.task, change.run.number());
    const auto run = m_ledger.runs().find(key);
    if (run == m_ledger.runs().end()) continue;
    if (run->second.stopRequested) voids.stopped.insert(key);
    if (m_ledger.blamesTarget(key) && !runsInDrainedHall(run->second)) voids.blamingTarget.insert(key);
  }
  return voids;
}

/** Records whether the target of an ended run carries out starts. Lapsed runs and those of a lost target are ignored:
 * it is unknown whether they had begun. */
void WorkflowRunner::recordVoid(const RunChange& change, bool blamesTarget) {
  const std::string& target = change.run.target();
  if (change.kind == schema::RunLapsed || change.kind == schema::RunTargetLost) return;
  if (change.kind != schema::RunVoided) return recordBegun(target);
  if (!blamesTarget || change.wantsTicket) return;
  m_context.metrics.count("runs_voided", change.run.agent());
  const RunKey key = runKeyOf(change.task, change.run.number());
  const WorkflowState* workflow = table().find(key.workflow);
  const bool gang = workflow != nullptr && workflow->step(key.task.step).gang();
  const std::string task =
      gang ? taskText(makeTaskId(key.workflow, {key.task.occurrence, key.task.step, 0})) : taskText(change.task);
  const VoidedStart start{target, task + "/" + std::to_string(key.run), {key.workflow, key.task.stepKey()}};
  const std::optional<Duration> closed = m_health.voided(start, BootClock::now());
  if (!closed) return;
  logEvent(schema::TargetClosedByVoids, {{"target", target},
                                         {"agent", change.run.agent()},
                                         {"task", taskText(change.task)},
                                         {"closedMs", static_cast<std::uint64_t>(toMilliseconds(*closed))}});
}

void WorkflowRunner::recordBegun(const std::string& target) {
  if (m_health.began(target)) logEvent(schema::TargetStartsAgain, {{"target", target}});
}

/** Stops the remaining members of a gang after one of them was lost. They would otherwise wait for the lost member
 * until their targets give them up, and the gang's next run can only start once all of them have ended. */
void WorkflowRunner::stopGangMembers(const RunChange& change) {
  const bool lost = change.kind == schema::RunVoided || change.kind == schema::RunLapsed ||
                    change.kind == schema::RunTargetLost || change.kind == schema::RunAlone;
  const WorkflowState* workflow = lost ? table().find(change.task.workflow()) : nullptr;
  if (workflow == nullptr || workflow->ended() || !workflow->step(change.task.step()).gang()) return;
  stopRunOrGang(runKeyOf(change.task, change.run.number()), "a member of its gang was lost");
}

void WorkflowRunner::recordWorkflowEnd(const WorkflowState& workflow) {
  const schema::Workflow& record = workflow.record;
  const std::uint64_t tookMs = record.ended_ms() - std::min(record.ended_ms(), record.submitted_ms());
  m_context.metrics.record("workflow_completion_ms", record.tenant(), record.queue(), static_cast<double>(tookMs));
  m_context.metrics.count("workflow_ends", schema::WorkflowPhase_Name(record.phase()));
  logEvent(schema::WorkflowEnded, {{"workflow", record.id()},
                                   {"phase", schema::WorkflowPhase_Name(record.phase())},
                                   {"reason", record.reason()},
                                   {"tookMs", tookMs}});
  logGivenUpTasks(workflow);
}

void WorkflowRunner::recordFirstStart(const RunChange& change) {
  const WorkflowState* workflow = table().find(change.task.workflow());
  if (workflow == nullptr || change.run.number() != 1) return;
  const schema::Workflow& record = workflow->record;
  const std::uint64_t due = workflow->dueMs(change.task.occurrence());
  const std::uint64_t waited = change.run.started_ms() - std::min(change.run.started_ms(), due);
  m_context.metrics.record("first_start_ms", record.tenant(), record.queue(), static_cast<double>(waited));
}

void WorkflowRunner::updateGauges() {
  std::size_t openTargets = 0;
  const Time now = BootClock::now();
  for (const auto& [agent, track] : m_ledger.targets()) openTargets += m_ledger.open(track, now) ? 1 : 0;
  m_context.metrics.set("leader", m_leads ? 1.0 : 0.0);
  m_context.metrics.set("term", static_cast<double>(m_driver.replica().term()));
  m_context.metrics.set("configuration_version", static_cast<double>(table().configuration().version()));
  m_context.metrics.set("workflows_open", static_cast<double>(table().open().size()));
  m_context.metrics.set("runs_active", static_cast<double>(m_ledger.runs().size()));
  m_context.metrics.set("targets_known", static_cast<double>(m_ledger.targets().size()));
  m_context.metrics.set("targets_closed_by_voids", static_cast<double>(m_health.targetsClosedByVoids(now)));
  m_context.metrics.set("targets_open", static_cast<double>(openTargets));
}

/** Logs when the guarantees begin or cease to exceed the accelerators in reach. Capacities shrink and targets leave,
 * and operators have to learn of a shortage before a tenant uses its guarantee. */
void WorkflowRunner::reviewGuarantees() {
  if (m_ledger.arriving(BootClock::now())) return;
  std::uint64_t guaranteed = 0;
  for (const schema::Tenant& tenant : table().configuration().tenants()) guaranteed += tenant.guaranteed_accelerators();
  std::uint64_t accelerators = 0;
  const Time now = BootClock::now();
  for (const auto& [agent, track] : m_ledger.targets()) {
    const bool counts = m_ledger.open(track, now) && !isDrained(track);
    accelerators += counts ? track.report.capacity().accelerators() : 0;
  }
  m_context.metrics.set("accelerators_in_reach", static_cast<double>(accelerators));
  const bool fit = guaranteed <= accelerators;
  if (fit == m_guaranteesFit) return;
  m_guaranteesFit = fit;
  logEvent(fit ? schema::GuaranteesFitAgain : schema::GuaranteesExceedRoom,
           {{"guaranteed", guaranteed}, {"accelerators", accelerators}});
}

Awaitable<void> WorkflowRunner::tickLoop() {
  while (true) {
    co_await sleepFor(internal::TickInterval);
    updateGauges();
    if (!leads()) continue;
    m_relays.update(m_ledger.relays(BootClock::now()));
    co_await expireRuns();
    co_await recordLedger();
    const StretchTimer timer(m_context, "review");
    reviewRuns();
    reviewGuarantees();
    if (!table().open().empty()) requestPlan();
  }
}

Awaitable<void> WorkflowRunner::expireRuns() {
  schema::RecordRuns runs;
  for (schema::RunEnd& end : m_ledger.expire(BootClock::now())) {
    recordStartSurvived(end);
    *runs.add_ends() = std::move(end);
  }
  if (runs.ends_size() == 0) co_return;
  for (const schema::RunEnd& end : runs.ends()) {
    logEvent(schema::RunExpired, {{"task", taskText(end.task())}, {"run", std::uint64_t{end.run()}}});
  }
  co_await commitRuns(std::move(runs));
}

/** Records in the log which runs have begun and which have survived their start, and the length of leases. */
Awaitable<void> WorkflowRunner::recordLedger() {
  const Time now = BootClock::now();
  if (now < m_ledgerRecorded + internal::RecordInterval) co_return;
  m_ledgerRecorded = now;
  schema::RecordRuns runs;
  addLivedRuns(runs);
  const bool hasChanges = m_ledger.hasUnrecordedBegun() || m_ledger.leaseToRecord(table().leaseMs(), now) != 0;
  if (hasChanges || runs.lived_size() > 0) co_await commitRuns(std::move(runs));
}

/** Adds the runs that have survived their start since the last call. A later leader has not seen them for long, and
 * would otherwise suspect their tasks if their targets are lost. */
void WorkflowRunner::addLivedRuns(schema::RecordRuns& runs) {
  for (const auto& [key, track] : m_ledger.runs()) {
    const WorkflowState* workflow = track.lived ? nullptr : table().find(key.workflow);
    if (workflow == nullptr) continue;
    const schema::StepSpec& step = workflow->step(key.task.step);
    if (!m_ledger.lived(key, step.gang() ? step.count() : 1)) continue;
    *runs.add_lived() = makeStartReport(key);
    m_ledger.setLived(key);
  }
}

/** \returns whether the log holds the length of the leases that this leader grants, so that its successor waits for
 * their end. */
bool WorkflowRunner::isLeaseRecorded() { return milliseconds(table().leaseMs()) >= m_ledger.options().grant; }

Awaitable<bool> WorkflowRunner::commitRuns(schema::RecordRuns runs) {
  runs.set_lease_ms(m_ledger.leaseToRecord(table().leaseMs(), BootClock::now()));
  for (schema::StartReport& begun : m_ledger.consumeBegun()) *runs.add_begun() = std::move(begun);
  schema::Command command;
  *command.mutable_record_runs() = std::move(runs);
  Result<schema::CommandReply> reply =
      co_await m_driver.submit(std::move(command), BootClock::now() + internal::CommitLimit);
  co_return static_cast<bool>(reply);
}

// ---- runs that have to be restarted elsewhere

/** Stops a run, and all members of its gang, so that they restart on other targets from their checkpoint. */
void WorkflowRunner::stopRunOrGang(const RunKey& key, const char* reason) {
  const WorkflowState* workflow = table().find(key.workflow);
  if (workflow == nullptr) return;
  const bool gang = workflow->step(key.task.step).gang();
  const std::uint32_t first = gang ? 0 : key.task.index;
  const std::uint32_t last = gang ? workflow->step(key.task.step).count() - 1 : key.task.index;
  for (std::uint32_t index = first; index <= last; ++index) {
    const RunKey member{key.workflow, {key.task.occurrence, key.task.step, index}, key.run};
    notifyAgent(m_ledger.requestStop(member));
  }
  logEvent(
      schema::RunMoved,
      {{"task", taskText(makeTaskId(key.workflow, key.task))}, {"run", std::uint64_t{key.run}}, {"reason", reason}});
}

/** \returns whether a run, or its gang, is expected to end after its draining target. */
bool WorkflowRunner::endsAfterTarget(const RunKey& key, const RunTrack& track) const {
  const auto found = m_ledger.targets().find(track.agent);
  if (found == m_ledger.targets().end() || found->second.report.id() != track.target) return false;
  const TargetTrack& target = found->second;
  if (!target.report.draining()) return false;
  const schema::StepSpec& step = table().find(key.workflow)->step(key.task.step);
  if (step.long_running()) return true;
  const double leftMs =
      static_cast<double>(target.report.remaining_ms()) - toMilliseconds(BootClock::now() - target.lastContact);
  // A member that is done sooner waits for the others, and the end of its target breaks the whole gang.
  const std::string& queue = table().find(key.workflow)->record.queue();
  const double usualMs = expectedMs(queue, step);
  const auto remaining = [&](const RunTrack& run) { return remainingMs(run, usualMs, runTimesOf(queue)); };
  const double neededMs =
      step.gang() ? gangRemainingMs(m_ledger.runs(), key, step.count(), remaining) : remaining(track);
  return neededMs + internal::LeaveMarginMs > leftMs;
}

/** \returns whether a run is stalled. A gang makes progress only while all its members do, so it counts as stalled only
 * if all members are. Missing reports of an agent or a target do not count as a stall of its runs. */
bool WorkflowRunner::isStalled(const RunKey& key, const RunTrack& track) const {
  const schema::Workflow& record = table().find(key.workflow)->record;
  const schema::StepSpec& step = record.spec().steps(static_cast<int>(key.task.step));
  if (!track.confirmed || step.long_running() || track.percent >= internal::WholePercent) return false;
  if (track.noProgressMs <= internal::StallMs) return false;
  const double stallLimitMs =
      std::max(internal::StallMs, internal::StallShare * timeFactor(track.target) * expectedMs(record.queue(), step));
  if (!step.gang()) return track.noProgressMs > stallLimitMs;
  for (std::uint32_t index = 0; index < step.count(); ++index) {
    const RunKey member{key.workflow, {key.task.occurrence, key.task.step, index}, key.run};
    const auto found = m_ledger.runs().find(member);
    const bool still =
        found != m_ledger.runs().end() && found->second.confirmed && found->second.noProgressMs > stallLimitMs;
    if (!still) return false;
  }
  return true;
}

void WorkflowRunner::reviewRuns() {
  std::vector<RunKey> leaving;
  std::vector<RunKey> still;
  for (const auto& [key, track] : m_ledger.runs()) {
    const WorkflowState* workflow = table().find(key.workflow);
    if (track.stopRequested || workflow == nullptr || workflow->ended() || workflow->isSuperseded(key.task)) continue;
    // A long-running task never ends by itself and would keep a drained data hall in use for good.
    const bool endless = workflow->step(key.task.step).long_running() && runsInDrainedHall(track);
    if (endless || endsAfterTarget(key, track)) leaving.push_back(key);
    if (isStalled(key, track)) still.push_back(key);
  }
  for (const RunKey& key : leaving) stopRunOrGang(key, "its target leaves");
  for (const RunKey& key : still) {
    const std::string& target = m_ledger.runs().at(key).target;
    m_health.stalled(target, BootClock::now());
    logEvent(schema::TargetSuspected,
             {{"target", target}, {"reason", "a run stands still"}, {"workflow", key.workflow}});
    stopRunOrGang(key, "it stands still");
  }
}

// ---- planning

Awaitable<void> WorkflowRunner::planLoop() {
  while (true) {
    while (!m_dirty) co_await m_planWanted.wait(BootClock::now() + milliseconds(1000));
    m_dirty = false;
    if (!leads()) continue;
    m_changesInherited = false;
    const Time before = BootClock::now();
    schema::RecordRuns runs = co_await makePlan();
    m_planDuration = BootClock::now() - before;
    m_context.metrics.record("plan_ms", "all", "all", toMilliseconds(m_planDuration));
    if (runs.starts_size() > 0) co_await commitRuns(std::move(runs));
    if (m_planDuration >= internal::ShortPlan)
      co_await sleepFor(std::min(internal::LongestPlanPause, internal::PausePerPlan * m_planDuration));
  }
}

}  // namespace courseloom
