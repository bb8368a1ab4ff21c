// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/RunLedger.h"

#include <algorithm>
#include <utility>

#include "Courseloom/src/Core/TargetLife.h"

namespace courseloom {

namespace internal {
namespace {

/** Ends of a gang's other members arrive by themselves; only what stays longer is stopped. */
constexpr Duration DoneGrace = milliseconds(600);
/** After an outage, until a leader is elected and has heard its agents. */
constexpr Duration ElectionAllowance = milliseconds(2000);

/** Of the time for which an agent may be silent, so much is left to a report and its answer on their ways. */
constexpr Duration ReportWay = milliseconds(1000);
/** While more than one of so many known targets is a new one, the others are not all there yet. */
constexpr std::size_t KnownPerArriving = 16;

/** \returns whether a report's lists show a run at the target that it tells of. */
bool shows(const schema::AttendRequest& report, const RunKey& key) {
  const auto isKey = [&key](const auto& row) { return runKeyOf(row.task(), row.run()) == key; };
  return std::any_of(report.running().begin(), report.running().end(), isKey) ||
         std::any_of(report.ends().begin(), report.ends().end(), isKey);
}

/** \returns whether a life can have taken an order that was meant for another: they share an identity. */
bool shares_identity(const std::string& life, const std::string& meant) {
  return !life.empty() && TargetLife::named(life).id == TargetLife::named(meant).id;
}

bool described_alike(const schema::TargetReport& a, const schema::TargetReport& b) {
  const auto sameLabels = std::equal(a.labels().begin(), a.labels().end(), b.labels().begin(), b.labels().end());
  return sameLabels && a.id() == b.id() && a.service() == b.service() && a.rack() == b.rack() &&
         a.data_hall() == b.data_hall() && roomOf(a.capacity()) == roomOf(b.capacity());
}

bool is_over(const WorkflowTable& table, const RunKey& key) {
  const WorkflowState* workflow = table.find(key.workflow);
  if (workflow == nullptr || workflow->ended()) return true;
  const TaskState* task = workflow->task(key.task);
  return task == nullptr || task->done;
}

}  // namespace
}  // namespace internal

Duration grantLength(const schema::ControlSettings& settings) {
  const Duration least = milliseconds(settings.run_grant_ms());
  if (settings.outage_s() == 0) return least;
  return std::max(least, milliseconds(std::int64_t{1000} * settings.outage_s()) + internal::ElectionAllowance);
}

RunKey runKeyOf(const schema::TaskId& task, std::uint32_t run) { return {task.workflow(), keyOf(task), run}; }

void RunLedger::lead(const WorkflowTable& table, Time now, std::uint64_t term) {
  m_leaderSince = now;
  m_term = term;
  ++m_descriptions;
  m_runs.clear();
  m_byAgent.clear();
  m_targets.clear();
  m_met.clear();
  m_missed.clear();
  for (const std::string& id : table.open()) {
    for (const auto& [key, task] : table.find(id)->tasks) {
      for (const schema::ActiveRun& run : task.active) add(makeTaskId(id, key), run, now, true);
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
  m_runs.at(key).ending = true;
  schema::RunEnd end;
  *end.mutable_task() = makeTaskId(key.workflow, key.task);
  end.set_run(key.run);
  end.set_kind(kind);
  end.set_checkpoint(checkpoint);
  return end;
}

// ---- reports

bool RunLedger::isCurrent(const schema::AttendRequest& report) const {
  return !m_options.doubtReports || report.term() == m_term;
}

/** Agents that were answered lived one after another in the order in which they were met: a former one was answered,
 * and so met, before its successor began. */
bool RunLedger::isOvertaken(const schema::AttendRequest& report) const {
  if (!m_options.doubtReports || !isCurrent(report)) return false;
  const auto found = m_targets.find(report.agent());
  if (found == m_targets.end()) return false;
  const TargetTrack& target = found->second;
  if (report.incarnation() == target.incarnation) return report.sequence() < target.sequence;
  const std::size_t place = metAs(report.agent(), report.incarnation());
  return place != 0 && place < metAs(report.agent(), target.incarnation);
}

void RunLedger::meet(const schema::AttendRequest& report) {
  std::map<std::uint64_t, std::size_t>& met = m_met[report.agent()];
  met.try_emplace(report.incarnation(), met.size() + 1);
}

/** \returns which incarnation of its agent this was, as this leader met them; 0 for one that it has not met. */
std::size_t RunLedger::metAs(const std::string& agent, std::uint64_t incarnation) const {
  const auto met = m_met.find(agent);
  if (met == m_met.end()) return 0;
  const auto place = met->second.find(incarnation);
  return place == met->second.end() ? 0 : place->second;
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
  const auto wanted = milliseconds(1000) * static_cast<std::int64_t>(m_targets.size()) / m_options.reportsEachSecond;
  return std::min(Duration(wanted), m_options.silence - internal::ReportWay);
}

std::vector<schema::RunEnd> RunLedger::takeReport(const schema::AttendRequest& report, Time now) {
  meet(report);
  if (!isCurrent(report) || isOvertaken(report)) return {};
  TargetTrack& target = track(report.agent());
  const std::set<RunKey>& keys = m_byAgent[report.agent()];
  const bool newAgent = target.incarnation != report.incarnation();
  target.incarnation = report.incarnation();
  target.sequence = report.sequence();
  target.version = report.target_version();
  target.relay = report.relay();
  target.relayed = report.relayed();
  const schema::TargetReport before = std::exchange(target.report, report.target());
  if (!internal::described_alike(before, target.report)) ++m_descriptions;
  target.heard = now;
  if (target.met == Time{} && !report.target().id().empty()) target.met = now;
  const bool inReach = report.target().reachable() && !report.target().id().empty();
  // An agent that has begun anew names no target at first, which says nothing about it.
  const bool gone = !report.target().id().empty() && (!inReach || before.id() != report.target().id());
  if (before.reachable() && gone) noteMissed(report.agent(), target, now);
  if (inReach || target.reached == Time{}) target.reached = now;
  target.askedAt = Time{};
  std::vector<schema::RunEnd> ends;
  for (const RunKey& key : keys) {
    RunTrack& track = m_runs.at(key);
    if (newAgent) {
      track.confirmed = false;
      track.startDelivered = Time{};
      track.stopDelivered = Time{};
    }
    const bool otherLife = !report.target().id().empty() && track.target != report.target().id();
    if (!otherLife) continue;
    // An order meant for the former life may have begun the run in this one, which has to end it first.
    const bool begun = internal::shares_identity(report.target().id(), track.target) && internal::shows(report, key);
    if (!begun) ends.push_back(makeEnd(key, schema::RunTargetLost, track.checkpoint));
  }
  takeRows(report, now);
  for (const schema::EndReport& row : report.ends()) {
    const RunKey key = runKeyOf(row.task(), row.run());
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || found->second.agent != report.agent()) continue;
    if (!internal::shares_identity(report.target().id(), found->second.target)) continue;
    ends.push_back(makeEnd(key, row.kind(), row.checkpoint().empty() ? found->second.checkpoint : row.checkpoint()));
  }
  noteCrashes(report, before, ends);
  return ends;
}

void RunLedger::takeRows(const schema::AttendRequest& report, Time now) {
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
    if (!row.checkpoint().empty()) track.checkpoint = row.checkpoint();
    if (row.percent() != track.percent) track.percentChanged = seen;
    track.percent = row.percent();
    track.stillMs = row.still_ms();
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

// ---- leases

Duration RunLedger::grant(const std::string& agent, Time now) {
  TargetTrack& target = track(agent);
  if (target.report.id().empty()) return Duration(0);
  const Duration length =
      target.report.draining() ? std::min(m_options.grant, m_options.leavingGrant) : m_options.grant;
  // An earlier grant may have been longer.
  target.grantUntil = std::max(target.grantUntil, now + length);
  return length;
}

/** A former leader may have granted until the very instant at which this one began. */
Time RunLedger::heldUntil(const std::string& agent) const {
  if (!m_options.waitForGrants) return m_leaderSince;
  const Time inherited = m_options.inheritGrants ? m_leaderSince + m_options.grant : m_leaderSince;
  const auto found = m_targets.find(agent);
  return found == m_targets.end() ? inherited : std::max(inherited, found->second.grantUntil);
}

std::vector<schema::RunEnd> RunLedger::expire(Time now) {
  std::vector<schema::RunEnd> ends;
  for (const auto& [agent, keys] : m_byAgent) {
    if (keys.empty()) continue;
    if (now <= heldUntil(agent) + m_options.slack) continue;
    for (const RunKey& key : keys) {
      const RunTrack& track = m_runs.at(key);
      schema::RunEnd& end = ends.emplace_back(makeEnd(key, schema::RunLapsed, track.checkpoint));
      // Its target may have crashed, and nobody is left to tell.
      if (track.inherited || track.deliveredTo != 0) end.set_crash(schema::CrashUnclear);
    }
  }
  return ends;
}

bool RunLedger::open(const std::string& agent, Time now) const {
  const auto found = m_targets.find(agent);
  return found != m_targets.end() && open(found->second, now);
}

bool RunLedger::open(const TargetTrack& target, Time now) const {
  const schema::TargetReport& report = target.report;
  const bool heardLately = now < target.heard + m_options.silence;
  const bool owes = target.askedAt != Time{} && now > target.askedAt + m_options.askLimit;
  return heardLately && !owes && !report.id().empty() && report.reachable() && !report.draining();
}

TargetOffer RunLedger::offer(const std::string& agent, Time now) const {
  const auto found = m_targets.find(agent);
  if (found == m_targets.end()) return {};
  const schema::TargetReport& report = found->second.report;
  return {report.id(), open(found->second, now), roomOf(report.capacity())};
}

bool RunLedger::awaited(const std::string& agent, Time now) const {
  const auto found = m_targets.find(agent);
  return found != m_targets.end() && awaited(found->second, now);
}

bool RunLedger::awaited(const TargetTrack& target, Time now) const {
  return !target.report.draining() && now < target.reached + m_options.grant + m_options.slack;
}

bool RunLedger::fresh(const std::string& agent, Time now) const {
  const auto found = m_targets.find(agent);
  return found != m_targets.end() && now <= found->second.heard + m_options.fresh;
}

void RunLedger::ask(const std::string& agent, Time now) {
  TargetTrack& target = track(agent);
  if (target.askedAt == Time{}) target.askedAt = now;
}

bool RunLedger::asked(const std::string& agent) const {
  const auto found = m_targets.find(agent);
  return found != m_targets.end() && found->second.askedAt != Time{};
}

bool RunLedger::arriving(Time now) const {
  if (now < m_leaderSince + m_options.silence) return true;
  std::size_t named = 0;
  std::size_t lately = 0;
  for (const auto& [agent, target] : m_targets) {
    if (target.met == Time{}) continue;
    ++named;
    if (now < target.met + m_options.silence) ++lately;
  }
  return lately * internal::KnownPerArriving > named;
}

std::vector<RelayAgent> RunLedger::relays(Time now) const {
  std::vector<RelayAgent> relays;
  for (const auto& [agent, target] : m_targets) {
    const bool direct = target.relay != 0 && !target.relayed && now <= target.heard + m_options.silence;
    if (direct) relays.push_back({target.relay, target.report.data_hall()});
  }
  return relays;
}

// ---- orders

/** An agent drops orders for any target but the one that it reports. */
bool RunLedger::guards(const std::string& agent, const RunTrack& track) const {
  const auto found = m_targets.find(agent);
  return found != m_targets.end() && found->second.report.id() == track.target;
}

bool RunLedger::startDue(const RunTrack& track, Time now) const {
  if (track.confirmed || track.stopWanted) return false;
  // The next run may begin as soon as this one's end is committed; it must not begin in between.
  if (track.ending && m_options.withholdEnding) return false;
  return track.startDelivered == Time{} || now >= track.startDelivered + m_options.redeliverAfter;
}

bool RunLedger::stopDue(const RunKey& key, const RunTrack& track, const WorkflowTable& table, Time now) const {
  const WorkflowState* workflow = table.find(key.workflow);
  const bool over = internal::is_over(table, key);
  if (!over && !track.stopWanted) return false;
  const bool finishing = workflow != nullptr && workflow->record.phase() == schema::WorkflowCompleted;
  const TaskState* task = workflow == nullptr ? nullptr : workflow->task(key.task);
  const bool endsByItself = finishing || (task != nullptr && task->done);
  if (endsByItself && now < track.percentChanged + internal::DoneGrace) return false;
  return track.stopDelivered == Time{} || now >= track.stopDelivered + m_options.redeliverAfter;
}

bool RunLedger::hasOrders(const std::string& agent, const WorkflowTable& table, Time now) const {
  const auto keys = m_byAgent.find(agent);
  if (keys == m_byAgent.end()) return false;
  for (const RunKey& key : keys->second) {
    const RunTrack& track = m_runs.at(key);
    if (!guards(agent, track)) continue;
    if (stopDue(key, track, table, now)) return true;
    if (!internal::is_over(table, key) && startDue(track, now)) return true;
  }
  return false;
}

std::vector<schema::RunOrder> RunLedger::takeOrders(const std::string& agent, const WorkflowTable& table, Time now) {
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
    if (!guards(agent, track)) continue;
    if (stopDue(key, track, table, now)) {
      add(schema::OrderStop, key).set_target(track.target);
      track.stopDelivered = now;
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
    if (track.deliveredTo == 0) track.deliveredTo = m_targets[agent].incarnation;
    track.startDelivered = now;
  }
  for (const RunKey& key : m_targets[agent].strays)
    add(schema::OrderStop, key).set_target(m_targets[agent].report.id());
  m_targets[agent].strays.clear();
  return orders;
}

std::string RunLedger::wantStop(const RunKey& key) {
  const auto found = m_runs.find(key);
  if (found == m_runs.end()) return {};
  found->second.stopWanted = true;
  return found->second.agent;
}

}  // namespace courseloom
