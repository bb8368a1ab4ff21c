// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of WorkflowRunner that selects the waiting steps which a planning pass examines, and describes them for
// RunPlanner.

#include <algorithm>

#include "Courseloom/src/Control/WorkflowRunner.h"
#include "Courseloom/src/Scheduling/Objective.h"
#include "Courseloom/src/Scheduling/StepSelection.h"

namespace courseloom {

namespace internal {
namespace {

constexpr double MillisecondsPerSecond = 1000.0;

}  // namespace
}  // namespace internal

/** Selects and describes the steps of a pass. Yields the strand, so the workflows of the steps may have changed when it
 * returns, but each exists and waits. */
Awaitable<std::vector<PlannedStep>> WorkflowRunner::collectSteps(StrandSlice& slice) {
  const std::uint64_t nowMs = wallClockMs();
  m_serviceCapacities.reset();
  m_openTargets.clear();
  m_stepWalksLeft = StepWalksPerPass;
  findTrialAgents();
  m_selectedSteps = co_await selectSteps(nowMs, slice);
  const std::vector<std::size_t> limits = limitTasks(m_selectedSteps);
  std::vector<PlannedStep> steps;
  std::vector<std::string> owners;  // ids of the workflows of the steps
  for (std::size_t i = 0; i < m_selectedSteps.size(); ++i) {
    const auto& [id, key] = m_selectedSteps[i];
    const WorkflowState* workflow = limits[i] == 0 ? nullptr : findWaiting(m_selectedSteps[i]);
    if (workflow != nullptr) addStep(*workflow, key, limits[i], nowMs, steps);
    owners.resize(steps.size(), id);
    if (slice.isOver()) co_await slice.yield();
  }
  if (slice.hasYielded()) refreshSteps(steps, owners);
  co_return steps;
}

/** Sets the workflows of steps anew after other work has run on the strand, and removes the steps that do not wait any
 * more. \param owners ids of the workflows, by index of the step */
void WorkflowRunner::refreshSteps(std::vector<PlannedStep>& steps, const std::vector<std::string>& owners) const {
  std::vector<PlannedStep> kept;
  kept.reserve(steps.size());
  for (std::size_t i = 0; i < steps.size(); ++i) {
    steps[i].workflow = findWaiting({owners[i], steps[i].key});
    if (steps[i].workflow != nullptr) kept.push_back(std::move(steps[i]));
  }
  steps = std::move(kept);
}

/** \returns the workflow of a step that is ready and has waiting tasks, or null if the step does not wait any more. */
const WorkflowState* WorkflowRunner::findWaiting(const StepName& name) const {
  const WorkflowState* workflow = table().find(name.first);
  const bool waits = workflow != nullptr && !workflow->ended() && workflow->waiting.contains(name.second);
  return waits ? workflow : nullptr;
}

/** \returns the open workflows that have ready steps with waiting tasks in due occurrences. */
Awaitable<std::vector<WorkflowDemand>> WorkflowRunner::findDemands(std::uint64_t nowMs, StrandSlice& slice) {
  std::vector<WorkflowDemand> demands;
  for (auto id = table().open().begin(); id != table().open().end();) {
    const WorkflowState& workflow = *table().find(*id);
    const bool waits = !workflow.ended() && workflow.waiting.any();
    const std::size_t steps = waits ? workflow.waiting.count(workflow.dueOccurrences(nowMs), MaxStepsPerPass + 1) : 0;
    if (steps > 0) {
      const schema::Workflow& record = workflow.record;
      demands.push_back({*id, record.tenant(), rankOfWorkflow(workflow), record.submitted_ms(), steps});
    }
    const std::string last = *id++;
    if (!slice.isOver()) continue;
    co_await slice.yield();
    id = table().open().upper_bound(last);
  }
  co_return demands;
}

/** \returns the steps that a pass examines, in the order of workflows and steps. */
Awaitable<std::vector<WorkflowRunner::StepName>> WorkflowRunner::selectSteps(std::uint64_t nowMs, StrandSlice& slice) {
  const std::vector<WorkflowDemand> demands = co_await findDemands(nowMs, slice);
  const std::vector<std::size_t> shares = shareSteps(demands, MaxStepsPerPass, ++m_passes);
  const std::set<StepName> remembered = m_planner.rememberedSteps();
  std::vector<StepName> selected;
  std::size_t waiting = 0;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const WorkflowDemand& demand = demands[i];
    waiting += demand.steps;
    const WorkflowState* workflow = table().find(demand.workflow);
    if (workflow == nullptr || workflow->ended()) continue;
    const bool limited = shares[i] < demand.steps;
    std::uint32_t& turn = m_figures[demand.workflow].stepTurn;
    if (!limited) turn = 0;
    std::vector<StepKey> keys = workflow->waiting.select(workflow->dueOccurrences(nowMs), shares[i], turn);
    if (limited) addRemembered(*workflow, remembered, keys);
    for (const StepKey& key : keys) selected.emplace_back(demand.workflow, key);
    if (slice.isOver()) co_await slice.yield();
  }
  m_context.metrics.set("steps_waiting", static_cast<double>(waiting));
  m_context.metrics.set("steps_examined", static_cast<double>(selected.size()));
  co_return selected;
}

/** Adds the steps for which the planner reserves or frees targets: they would lose these if they were left out. */
void WorkflowRunner::addRemembered(const WorkflowState& workflow, const std::set<StepName>& remembered,
                                   std::vector<StepKey>& keys) {
  const std::string& id = workflow.record.id();
  std::vector<StepKey> added;
  for (auto name = remembered.lower_bound({id, StepKey()}); name != remembered.end() && name->first == id; ++name) {
    const bool known = std::binary_search(keys.begin(), keys.end(), name->second);
    if (!known && workflow.waiting.contains(name->second)) added.push_back(name->second);
  }
  keys.insert(keys.end(), added.begin(), added.end());
  std::sort(keys.begin(), keys.end());
}

/** \returns by index the largest number of tasks that a pass examines of a step; 0 for a gang that is left out. A gang
 * is examined as a whole. Gangs that are larger than their fair share of the tasks take turns. */
std::vector<std::size_t> WorkflowRunner::limitTasks(const std::vector<StepName>& selected) {
  std::vector<std::size_t> waiting;
  waiting.reserve(selected.size());
  for (const StepName& name : selected) {
    const WorkflowState* workflow = findWaiting(name);
    waiting.push_back(workflow == nullptr ? 0 : workflow->waiting.waitingTasks(name.second));
  }
  const std::size_t limit = fairLimit(waiting, MaxTasksPerPass);
  std::vector<std::size_t> limits = waiting;
  std::vector<std::size_t> largeGangs;
  for (std::size_t i = 0; i < selected.size(); ++i) {
    if (waiting[i] <= limit) continue;
    limits[i] = limit;
    if (table().find(selected[i].first)->step(selected[i].second.step).gang()) largeGangs.push_back(i);
  }
  const auto isBefore = [&](std::size_t gang, const StepName& name) { return selected[gang] < name; };
  const auto next = std::lower_bound(largeGangs.begin(), largeGangs.end(), m_nextLargeGang, isBefore);
  std::rotate(largeGangs.begin(), next, largeGangs.end());
  std::size_t left = MaxTasksPerPass;
  bool full = false;
  for (const std::size_t gang : largeGangs) {
    const bool first = gang == largeGangs.front();
    if (!full && !first && waiting[gang] > left) m_nextLargeGang = selected[gang];
    full = full || (!first && waiting[gang] > left);
    limits[gang] = full ? 0 : waiting[gang];
    left -= std::min(left, limits[gang]);
  }
  return limits;
}

/** Adds a step that is ready and has waiting tasks, unless it is a gang with active members.
 * \param most largest number of tasks to add */
void WorkflowRunner::addStep(const WorkflowState& workflow, const StepKey& key, std::size_t most, std::uint64_t nowMs,
                             std::vector<PlannedStep>& steps) {
  const schema::Workflow& record = workflow.record;
  const schema::StepSpec& spec = workflow.step(key.step);
  PlannedStep step;
  step.workflow = &workflow;
  step.key = key;
  step.waitingTasks = workflow.waiting.waitingTasks(key);
  if (spec.gang() && step.waitingTasks < spec.count()) return;
  step.tasks = workflow.waiting.tasksOf(key, most);
  if (spec.max_per_target() > 0) step.placedOn = activeByTarget({record.id(), key});
  const std::uint64_t due = workflow.dueMs(key.occurrence);
  step.rank = rankOfWorkflow(workflow);
  step.avoided = targetsToAvoid(workflow, step);
  step.estimateMs = expectedMs(record.queue(), spec);
  step.estimateQuantileMs = quantileMs(record.queue(), step.estimateMs);
  step.taskWork = coresOf(spec) * step.estimateMs / internal::MillisecondsPerSecond;
  step.objectiveMs =
      static_cast<double>(due) + record.stretch() * objectiveChainMs(workflow) + record.latency_target_ms();
  step.worthlessMs = static_cast<double>(due) + WorthlessAfter * (step.objectiveMs - static_cast<double>(due));
  const StepName name{record.id(), key};
  const Time now = BootClock::now();
  step.waitedMs = toMilliseconds(now - m_readySince.try_emplace(name, now).first->second);
  // Waiting time under former leaders counts too; the log has it only for steps without predecessors.
  if (spec.after().empty()) step.waitedMs = std::max(step.waitedMs, static_cast<double>(nowMs - due));
  step.tickets = ticketsOf(workflow, key);
  addStepParts(std::move(step), steps);
}

/** \returns the number of active runs of a step by id of their target. */
std::map<std::string, unsigned> WorkflowRunner::activeByTarget(const StepName& name) const {
  std::map<std::string, unsigned> counts;
  for (const auto& [key, track] : m_ledger.runsOf(name.first, name.second)) ++counts[track.target];
  return counts;
}

/** \returns the targets on which the workflow has failed, or the start of the gang was voided. For a step with a task
 * on its last attempt, also the targets on which anything failed recently: after one failed run, the next ones on a
 * target often fail as well. */
std::set<std::string> WorkflowRunner::targetsToAvoid(const WorkflowState& workflow, const PlannedStep& step) const {
  std::set<std::string> avoided = m_health.failedOn(workflow.record.id());
  // A gang takes another target in place of the one that voided its start.
  const bool replaces = m_context.settings.policy().keep_gang_targets() && workflow.step(step.key.step).gang();
  if (replaces) avoided.merge(m_health.voidedOn({workflow.record.id(), step.key}, BootClock::now()));
  if (!m_context.settings.policy().last_attempts()) return avoided;
  // Usually the set is empty, and no task has to be examined.
  std::set<std::string> doubted = m_health.doubted(BootClock::now());
  if (doubted.empty()) return avoided;
  const bool last = std::any_of(step.tasks.begin(), step.tasks.end(), [&](std::uint32_t index) {
    return workflow.onLastAttempt({step.key.occurrence, step.key.step, index});
  });
  if (last) avoided.merge(doubted);
  return avoided;
}

/** \returns the expected run time of a workflow's longest chain of steps, ms, on which its objective is based; may be
 * from a former pass if too many chains have to be computed in this one. */
double WorkflowRunner::objectiveChainMs(const WorkflowState& workflow) {
  const ResourceAmounts capacity = capacityForWaves(workflow.record.service());
  std::optional<ChainLength>& chain = m_figures[workflow.record.id()].chain;
  const bool isCurrent = chain && chain->estimates == m_estimatorUpdates && chain->capacity == capacity;
  const auto steps = static_cast<std::size_t>(workflow.record.spec().steps_size());
  if (isCurrent || (chain && steps > m_stepWalksLeft)) return chain->ms;
  m_stepWalksLeft -= std::min(m_stepWalksLeft, steps);
  chain = ChainLength{computeChainMs(workflow.record, capacity), m_estimatorUpdates, capacity};
  return chain->ms;
}

double WorkflowRunner::computeChainMs(const schema::Workflow& record, const ResourceAmounts& capacity) const {
  const TaskTime taskMs = [&](const schema::StepSpec& step) { return expectedMs(record.queue(), step); };
  return criticalPathMs(record.spec(), taskMs, capacity);
}

/** \returns the total capacity of a service's targets; zero amounts, which limit nothing, if waves are not counted or
 * there is no target. */
ResourceAmounts WorkflowRunner::capacityForWaves(const std::string& service) {
  if (!m_serviceCapacities) m_serviceCapacities = serviceCapacities();
  const auto found = m_serviceCapacities->find(service);
  const bool waves = m_context.settings.policy().waves() && found != m_serviceCapacities->end();
  return waves ? found->second : ResourceAmounts();
}

/** \returns the total capacity of each service's targets, whether they are open now or not. */
std::map<std::string, ResourceAmounts> WorkflowRunner::serviceCapacities() const {
  std::map<std::string, ResourceAmounts> capacities;
  for (const auto& [agent, track] : m_ledger.targets()) {
    capacities[track.report.service()].add(resourceAmountsOf(track.report.capacity()));
  }
  return capacities;
}

/** \returns identities of a service's targets that may get new runs; computed once per planning pass. */
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

/** \returns the tickets of a step by target; nothing if its starts need none. */
std::optional<TicketCache::Tickets> WorkflowRunner::ticketsOf(const WorkflowState& workflow, const StepKey& key) {
  const schema::Workflow& record = workflow.record;
  const TicketNeed need = ticketNeedOf(record, queueNamed(record.queue()));
  return m_tickets.ticketsFor({record.id(), key}, need, openTargets(record.service()));
}

const schema::Queue* WorkflowRunner::queueNamed(const std::string& name) {
  const schema::QueueConfiguration& configuration = table().configuration();
  if (configuration.version() != m_queuesVersion) {
    m_queues.clear();
    for (const schema::Queue& queue : configuration.queues()) m_queues.emplace(queue.name(), &queue);
    m_queuesVersion = configuration.version();
  }
  const auto found = m_queues.find(name);
  return found == m_queues.end() ? nullptr : found->second;
}

}  // namespace courseloom
