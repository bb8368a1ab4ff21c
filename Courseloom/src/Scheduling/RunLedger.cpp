// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/RunLedger.h"

#include <algorithm>
#include <utility>

#include "Courseloom/src/Core/TargetIncarnation.h"

namespace courseloom {

namespace internal {
namespace {

/** The other members of a gang that is done end by themselves. They are stopped only if they are still active this long
 * after their last progress. */
constexpr Duration DoneGrace = milliseconds(600);
/** Part of the time for which an agent may be silent that is left for the transit of a report and of its answer. */
constexpr Duration ReportTransit = milliseconds(1000);
/** If more than one in this many known targets is new, further targets are assumed to be still registering. */
constexpr std::size_t KnownPerArriving = 16;

/** \returns whether a list of rows names a run. */
template <typename Rows>
bool names_run(const Rows& rows, const RunKey& key) {
  return std::any_of(rows.begin(), rows.end(),
                     [&key](const auto& row) { return runKeyOf(row.task(), row.run()) == key; });
}

/** \returns whether a report lists a run as running on, or ended by, the target that it describes, or as one that the
 * target may still begin. */
bool lists_run(const schema::AttendRequest& report, const RunKey& key) {
  return names_run(report.running(), key) || names_run(report.ends(), key) || names_run(report.in_transit(), key);
}

bool same_description(const schema::TargetReport& a, const schema::TargetReport& b) {
  const auto sameLabels = std::equal(a.labels().begin(), a.labels().end(), b.labels().begin(), b.labels().end());
  return sameLabels && a.id() == b.id() && a.service() == b.service() && a.rack() == b.rack() &&
         a.data_hall() == b.data_hall() && resourceAmountsOf(a.capacity()) == resourceAmountsOf(b.capacity());
}

bool is_over(const WorkflowTable& table, const RunKey& key) {
  const WorkflowState* workflow = table.find(key.workflow);
  if (workflow == nullptr || workflow->ended()) return true;
  const TaskState* task = workflow->task(key.task);
  return task == nullptr || task->done;
}

}  // namespace
}  // namespace internal

RunKey runKeyOf(const schema::TaskId& task, std::uint32_t run) { return {task.workflow(), keyOf(task), run}; }

schema::StartReport makeStartReport(const RunKey& key) {
  schema::StartReport row;
  *row.mutable_task() = makeTaskId(key.workflow, key.task);
  row.set_run(key.run);
  return row;
}

void RunLedger::lead(const WorkflowTable& table, Time now, std::uint64_t term) {
  m_leaderSince = now;
  m_formerGrant = m_options.grant;
  m_term = term;
  ++m_descriptions;
  m_runs.clear();
  m_byAgent.clear();
  m_targets.clear();
  m_incarnations.clear();
  m_losses.clear();
  m_begun.clear();
  for (const std::string& id : table.open()) {
    for (const auto& [key, task] : table.find(id)->tasks) {
      for (const schema::ActiveRun& run : task.active) add(makeTaskId(id, key), run, now, true);
    }
  }
  readRecords(table);
}

void RunLedger::readRecords(const WorkflowTable& table) {
  m_formerGrant = std::max<Duration>(m_formerGrant, milliseconds(table.leaseMs()));
  for (auto& [key, track] : m_runs) {
    const WorkflowState* workflow = table.find(key.workflow);
    const TaskState* task = workflow == nullptr ? nullptr : workflow->task(key.task);
    if (task == nullptr) continue;
    for (const schema::ActiveRun& run : task->active) {
      if (run.number() != key.run) continue;
      track.begun |= run.begun();
      track.lived |= run.lived();
    }
  }
}

void RunLedger::add(const schema::TaskId& task, const schema::ActiveRun& run, Time now, bool inherited) {
  const RunKey key = runKeyOf(task, run.number());
  RunTrack& track = m_runs[key];
  track.agent = run.agent();
  track.target = run.target();
  track.checkpoint = run.checkpoint();
  track.inherited = inherited;
  track.startedAt = now;
  track.percentChanged = now;
  // The task's other run is done, and its end is being committed: this one must not begin any more.
  const RunTrack* other = otherRunOf(key);
  track.stopRequested = other != nullptr && other->doneProposed;
  m_byAgent[run.agent()].insert(key);
}

void RunLedger::apply(const std::vector<RunChange>& changes, Time now, bool inherited) {
  for (const RunChange& change : changes) {
    if (change.started) {
      add(change.task, change.run, now, inherited);
      continue;
    }
    const RunKey key = runKeyOf(change.task, change.run.number());
    m_byAgent[change.run.agent()].erase(key);
    m_runs.erase(key);
  }
}

schema::RunEnd RunLedger::makeEnd(const RunKey& key, schema::RunEndKind kind, const std::string& checkpoint) {
  m_runs.at(key).endProposed = true;
  schema::RunEnd end;
  *end.mutable_task() = makeTaskId(key.workflow, key.task);
  end.set_run(key.run);
  end.set_kind(kind);
  end.set_checkpoint(checkpoint);
  return end;
}

// ---- reports

bool RunLedger::isCurrent(const schema::AttendRequest& report) const {
  return !m_options.rejectStaleReports || report.term() == m_term;
}

/** The incarnations of an agent that this leader has answered ran one after another, in the order of their first
 * contact: an earlier one was answered, and so recorded, before its successor began. */
bool RunLedger::isSuperseded(const schema::AttendRequest& report) const {
  if (!m_options.rejectStaleReports || !isCurrent(report)) return false;
  const auto found = m_targets.find(report.agent());
  if (found == m_targets.end()) return false;
  const TargetTrack& target = found->second;
  if (report.incarnation() == target.incarnation) return report.sequence() < target.sequence;
  const std::size_t position = contactOrder(report.agent(), report.incarnation());
  return position != 0 && position < contactOrder(report.agent(), target.incarnation);
}

void RunLedger::recordContact(const schema::AttendRequest& report) {
  std::map<std::uint64_t, std::size_t>& incarnations = m_incarnations[report.agent()];
  incarnations.try_emplace(report.incarnation(), incarnations.size() + 1);
}

/** \returns the position of an incarnation among those of its agent, counted from 1 in the order of first contact with
 * this leader; 0 if there was no contact with it. */
std::size_t RunLedger::contactOrder(const std::string& agent, std::uint64_t incarnation) const {
  const auto incarnations = m_incarnations.find(agent);
  if (incarnations == m_incarnations.end()) return 0;
  const auto position = incarnations->second.find(incarnation);
  return position == incarnations->second.end() ? 0 : position->second;
}

TargetTrack& RunLedger::track(const std::string& agent) {
  const auto [found, added] = m_targets.try_emplace(agent);
  if (added) ++m_descriptions;
  return found->second;
}

bool RunLedger::complete(schema::AttendRequest& report) const {
  if (report.has_target() || report.target_version() == 0) return true;
  const auto found = m_targets.find(report.agent());
  if (found == m_targets.end()) return false;
  const TargetTrack& target = found->second;
  if (target.incarnation != report.incarnation() || target.version != report.target_version()) return false;
  *report.mutable_target() = target.report;
  return true;
}

bool RunLedger::isKnown(const schema::AttendRequest& report) const {
  const auto found = m_targets.find(report.agent());
  return found != m_targets.end() && found->second.incarnation == report.incarnation();
}

Duration RunLedger::reportWait() const {
  const auto wanted = milliseconds(1000) * static_cast<std::int64_t>(m_targets.size()) / m_options.reportsPerSecond;
  return std::min(Duration(wanted), m_options.silenceLimit - internal::ReportTransit);
}

std::vector<schema::RunEnd> RunLedger::receiveReport(const schema::AttendRequest& report, Time now) {
  recordContact(report);
  if (!isCurrent(report) || isSuperseded(report)) return {};
  TargetTrack& target = track(report.agent());
  const std::set<RunKey>& keys = m_byAgent[report.agent()];
  const bool newAgent = target.incarnation != report.incarnation();
  target.incarnation = report.incarnation();
  target.sequence = report.sequence();
  target.version = report.target_version();
  target.relay = report.relay();
  target.relayed = report.relayed();
  const schema::TargetReport before = std::exchange(target.report, report.target());
  if (!internal::same_description(before, target.report)) ++m_descriptions;
  target.lastContact = now;
  if (target.firstTargetReport == Time{} && !report.target().id().empty()) target.firstTargetReport = now;
  const bool inReach = report.target().reachable() && !report.target().id().empty();
  // A restarted agent names no target at first. That does not mean that its target is lost.
  const bool targetLost = !report.target().id().empty() && (!inReach || before.id() != report.target().id());
  if (before.reachable() && targetLost) recordTargetLoss(report.agent(), target, now);
  if (inReach || target.lastReachable == Time{}) target.lastReachable = now;
  target.reportRequestedAt = Time{};
  target.withheldEnd = 0;
  std::vector<schema::RunEnd> ends;
  for (const RunKey& key : keys) {
    RunTrack& track = m_runs.at(key);
    if (newAgent) {
      track.confirmed = false;
      track.startOrderedAt = Time{};
      track.stopOrderedAt = Time{};
    }
    const bool otherIncarnation = !report.target().id().empty() && track.target != report.target().id();
    if (!otherIncarnation) continue;
    // An order for the former incarnation may have started the run on this one, which then has to end the run first, or
    // may still start it.
    const bool mayRun = TargetIncarnation::haveSameId(report.target().id(), track.target) &&
                        (internal::lists_run(report, key) || mayBeginLate(key, track, report));
    if (!mayRun) ends.push_back(makeEnd(key, schema::RunTargetLost, track.checkpoint));
  }
  applyRunReports(report, now);
  for (const schema::EndReport& row : report.ends()) {
    const RunKey key = runKeyOf(row.task(), row.run());
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || found->second.agent != report.agent()) continue;
    if (!TargetIncarnation::haveSameId(report.target().id(), found->second.target)) continue;
    // A run that is done has begun. If it did not count as begun, two runs that are both done would each wait for the
    // other one.
    if (row.kind() == schema::RunDone) found->second.confirmed = true;
    if (row.kind() == schema::RunDone && !holdBackOther(key)) {
      if (target.withheldEnd == 0) target.withheldEnd = row.number();
      target.withheldFor = otherRunOf(key)->agent;
      continue;
    }
    found->second.doneProposed = row.kind() == schema::RunDone;
    ends.push_back(makeEnd(key, row.kind(), row.checkpoint().empty() ? found->second.checkpoint : row.checkpoint()));
    ends.back().set_wants_ticket(row.wants_ticket());
  }
  classifyCrashes(report, before, ends);
  return ends;
}

RunLedger::Runs RunLedger::runsOf(const std::string& workflow) const {
  return {m_runs.lower_bound({workflow, {}, 0}),
          m_runs.upper_bound({workflow, {UINT32_MAX, UINT32_MAX, UINT32_MAX}, UINT32_MAX})};
}

RunLedger::Runs RunLedger::runsOf(const std::string& workflow, const StepKey& step) const {
  return {m_runs.lower_bound({workflow, {step.occurrence, step.step, 0}, 0}),
          m_runs.upper_bound({workflow, {step.occurrence, step.step, UINT32_MAX}, UINT32_MAX})};
}

/** \returns the other active run of a task; null if there is none. */
RunTrack* RunLedger::otherRunOf(const RunKey& key) {
  for (auto run = m_runs.lower_bound({key.workflow, key.task, 0}); run != m_runs.end(); ++run) {
    if (run->first.workflow != key.workflow || run->first.task != key.task) return nullptr;
    if (run->first.run != key.run) return &run->second;
  }
  return nullptr;
}

/** Ensures that no order in transit begins the other run of a task after the end of this one was committed. The other
 * run is stopped if it is not known to have begun. \returns whether the end may be committed now; not while the outcome
 * of an order for the other run is unknown */
bool RunLedger::holdBackOther(const RunKey& key) {
  RunTrack* other = otherRunOf(key);
  if (!m_options.awaitOtherRun || other == nullptr || other->confirmed || other->endProposed) return true;
  other->stopRequested = true;
  return !other->inherited && other->firstOrderedTo == 0;
}

const TargetTrack* RunLedger::withholds(const std::string& agent) const {
  const auto found = m_targets.find(agent);
  return found == m_targets.end() || found->second.withheldEnd == 0 ? nullptr : &found->second;
}

void RunLedger::applyRunReports(const schema::AttendRequest& report, Time now) {
  TargetTrack& target = m_targets[report.agent()];
  const Time seen = now - milliseconds(report.running_age_ms());
  target.strays.clear();
  for (const schema::RunReport& row : report.running()) {
    const RunKey key = runKeyOf(row.task(), row.run());
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || found->second.target != report.target().id()) {
      target.strays.push_back(key);
      continue;
    }
    RunTrack& track = found->second;
    track.confirmed = true;
    recordBegun(key, track);
    if (!row.checkpoint().empty() && row.checkpoint() != track.checkpoint) {
      track.checkpoint = row.checkpoint();
      track.checkpointAt = seen;
    }
    if (row.percent() != track.percent) track.percentChanged = seen;
    track.percent = row.percent();
    track.noProgressMs = row.still_ms();
    track.seen = std::max(track.seen, seen);
    if (track.firstSeen == Time{}) {
      track.firstSeen = seen;
      track.firstPercent = row.percent();
    }
    track.usage = row.usage();
  }
  for (const schema::StartReport& row : report.started()) {
    const auto found = m_runs.find(runKeyOf(row.task(), row.run()));
    if (found != m_runs.end()) found->second.confirmed = true;
  }
  for (const schema::StartReport& row : report.unknown()) {
    const auto found = m_runs.find(runKeyOf(row.task(), row.run()));
    if (found != m_runs.end()) found->second.confirmed = false;
  }
}

/** Records that a run is listed by the incarnation of the target on which it was to begin. */
void RunLedger::recordBegun(const RunKey& key, RunTrack& track) {
  if (!std::exchange(track.begun, true)) m_begun.push_back(makeStartReport(key));
}

/** \returns whether a run that the reported incarnation does not list may begin there, through a start call that
 * another process of the agent sent. The reporting process names its own calls. */
bool RunLedger::mayBeginLate(const RunKey& key, const RunTrack& track, const schema::AttendRequest& report) const {
  if (!m_options.awaitLateStarts || track.begun || !report.former_calls_in_transit()) return false;
  // An agent that names a run as lost knows that no start call of it is in transit.
  if (internal::names_run(report.lost(), key)) return false;
  return mayHaveStarted(track, report.incarnation());
}

bool RunLedger::blamesTarget(const RunKey& key) const {
  const auto found = m_runs.find(key);
  if (found == m_runs.end()) return false;
  const RunTrack& run = found->second;
  const auto agent = m_targets.find(run.agent);
  if (run.inherited || run.stopRequested || agent == m_targets.end()) return false;
  const TargetTrack& target = agent->second;
  if (run.firstOrderedTo == 0 || run.firstOrderedTo != target.incarnation) return false;
  const bool same = target.report.id() == run.target && target.report.reachable();
  const bool lost = target.lostSince != Time{} && target.lostSince >= run.startedAt;
  return same && !lost && !target.report.draining();
}

std::vector<RunKey> RunLedger::newlyBegun(const schema::AttendRequest& report) const {
  std::set<RunKey> begun;
  const auto check = [&](const schema::TaskId& task, std::uint32_t number) {
    const RunKey key = runKeyOf(task, number);
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || found->second.target != report.target().id()) return;
    if (!found->second.confirmed && found->second.firstSeen == Time{}) begun.insert(key);
  };
  if (!isCurrent(report) || isSuperseded(report)) return {};
  for (const schema::RunReport& row : report.running()) check(row.task(), row.run());
  for (const schema::StartReport& row : report.started()) check(row.task(), row.run());
  return {begun.begin(), begun.end()};
}

bool RunLedger::hasUnconfirmedStart(const std::string& agent) const {
  const auto keys = m_byAgent.find(agent);
  if (keys == m_byAgent.end()) return false;
  return std::any_of(keys->second.begin(), keys->second.end(), [this](const RunKey& key) {
    const RunTrack& run = m_runs.at(key);
    return !run.confirmed && run.firstSeen == Time{};
  });
}

// ---- what the contact with agents shows

bool RunLedger::open(const std::string& agent, Time now) const {
  const auto found = m_targets.find(agent);
  return found != m_targets.end() && open(found->second, now);
}

bool RunLedger::open(const TargetTrack& target, Time now) const {
  const schema::TargetReport& report = target.report;
  const bool recentContact = now < target.lastContact + m_options.silenceLimit;
  const bool reportOverdue =
      target.reportRequestedAt != Time{} && now > target.reportRequestedAt + m_options.reportRequestTimeout;
  return recentContact && !reportOverdue && !report.id().empty() && report.reachable() && !report.draining();
}

TargetOffer RunLedger::offer(const std::string& agent, Time now) const {
  const auto found = m_targets.find(agent);
  if (found == m_targets.end()) return {};
  const schema::TargetReport& report = found->second.report;
  return {report.id(), open(found->second, now), resourceAmountsOf(report.capacity())};
}

bool RunLedger::awaited(const std::string& agent, Time now) const {
  const auto found = m_targets.find(agent);
  return found != m_targets.end() && awaited(found->second, now);
}

bool RunLedger::awaited(const TargetTrack& target, Time now) const {
  return !target.report.draining() && now < target.lastReachable + m_options.grant + m_options.slack;
}

bool RunLedger::fresh(const std::string& agent, Time now) const {
  const auto found = m_targets.find(agent);
  return found != m_targets.end() && now <= found->second.lastContact + m_options.fresh;
}

void RunLedger::requestReport(const std::string& agent, Time now) {
  TargetTrack& target = track(agent);
  if (target.reportRequestedAt == Time{}) target.reportRequestedAt = now;
}

bool RunLedger::reportRequested(const std::string& agent) const {
  const auto found = m_targets.find(agent);
  return found != m_targets.end() && found->second.reportRequestedAt != Time{};
}

bool RunLedger::arriving(Time now) const {
  if (now < m_leaderSince + m_options.silenceLimit) return true;
  std::size_t named = 0;
  std::size_t recent = 0;
  for (const auto& [agent, target] : m_targets) {
    if (target.firstTargetReport == Time{}) continue;
    ++named;
    if (now < target.firstTargetReport + m_options.silenceLimit) ++recent;
  }
  return recent * internal::KnownPerArriving > named;
}

std::vector<RelayAgent> RunLedger::relays(Time now) const {
  std::vector<RelayAgent> relays;
  for (const auto& [agent, target] : m_targets) {
    const bool direct = target.relay != 0 && !target.relayed && now <= target.lastContact + m_options.silenceLimit;
    if (direct) relays.push_back({target.relay, target.report.data_hall()});
  }
  return relays;
}

// ---- orders

/** \returns whether the agent currently reports the target of a run. It drops orders for any other target. */
bool RunLedger::guardsTargetOf(const std::string& agent, const RunTrack& track) const {
  const auto found = m_targets.find(agent);
  return found != m_targets.end() && found->second.report.id() == track.target;
}

bool RunLedger::startDue(const RunTrack& track, Time now) const {
  if (track.confirmed || track.stopRequested) return false;
  // The task's next run may begin as soon as the end of this one is committed, so this one must no longer be started.
  if (track.endProposed && m_options.withholdEndingRuns) return false;
  return track.startOrderedAt == Time{} || now >= track.startOrderedAt + m_options.retryOrdersAfter;
}

bool RunLedger::stopDue(const RunKey& key, const RunTrack& track, const WorkflowTable& table, Time now) const {
  const WorkflowState* workflow = table.find(key.workflow);
  const bool over = internal::is_over(table, key);
  if (!over && !track.stopRequested) return false;
  const bool finishing = workflow != nullptr && workflow->record.phase() == schema::WorkflowCompleted;
  const TaskState* task = workflow == nullptr ? nullptr : workflow->task(key.task);
  // Only members of a gang end by themselves. Of a run and its copy, the one that was not done first would continue.
  const bool gang = workflow != nullptr && workflow->step(key.task.step).gang();
  const bool endsByItself = gang && (finishing || (task != nullptr && task->done));
  if (endsByItself && now < track.percentChanged + internal::DoneGrace) return false;
  return track.stopOrderedAt == Time{} || now >= track.stopOrderedAt + m_options.retryOrdersAfter;
}

bool RunLedger::hasDueOrders(const std::string& agent, const WorkflowTable& table, Time now) const {
  const auto keys = m_byAgent.find(agent);
  if (keys == m_byAgent.end()) return false;
  for (const RunKey& key : keys->second) {
    const RunTrack& track = m_runs.at(key);
    if (!guardsTargetOf(agent, track)) continue;
    if (stopDue(key, track, table, now)) return true;
    if (!internal::is_over(table, key) && startDue(track, now)) return true;
  }
  return false;
}

std::vector<schema::RunOrder> RunLedger::issueOrders(const std::string& agent, const WorkflowTable& table, Time now) {
  std::vector<schema::RunOrder> orders;
  const auto add = [&](schema::RunOrderKind kind, const RunKey& key) -> schema::RunOrder& {
    schema::RunOrder& order = orders.emplace_back();
    order.set_kind(kind);
    *order.mutable_task() = makeTaskId(key.workflow, key.task);
    order.set_run(key.run);
    return order;
  };
  for (const RunKey& key : m_byAgent[agent]) {
    RunTrack& track = m_runs.at(key);
    if (!guardsTargetOf(agent, track)) continue;
    if (stopDue(key, track, table, now)) {
      add(schema::OrderStop, key).set_target(track.target);
      track.stopOrderedAt = now;
      continue;
    }
    if (internal::is_over(table, key) || !startDue(track, now)) continue;
    const WorkflowState& workflow = *table.find(key.workflow);
    const schema::StepSpec& step = workflow.step(key.task.step);
    schema::RunOrder& order = add(schema::OrderStart, key);
    order.set_target(track.target);
    order.set_payload(workflow.record.spec().payload());
    for (const schema::ActiveRun& run : workflow.task(key.task)->active) {
      if (run.number() != key.run) continue;
      order.set_checkpoint(run.checkpoint());
      order.set_ticket(run.ticket());
    }
    order.set_filler(step.filler());
    order.set_latency_target_ms(step.latency_target_ms());
    *order.mutable_need() = step.need();
    const std::uint64_t incarnation = m_targets[agent].incarnation;
    if (track.firstOrderedTo == 0) track.firstOrderedTo = incarnation;
    order.set_ordered_before(mayHaveStarted(track, incarnation));
    track.startOrderedAt = now;
  }
  for (const RunKey& key : m_targets[agent].strays)
    add(schema::OrderStop, key).set_target(m_targets[agent].report.id());
  m_targets[agent].strays.clear();
  return orders;
}

std::string RunLedger::requestStop(const RunKey& key) {
  const auto found = m_runs.find(key);
  if (found == m_runs.end()) return {};
  found->second.stopRequested = true;
  return found->second.agent;
}

}  // namespace courseloom
