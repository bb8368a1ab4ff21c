// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of WorkflowRunner that serves agents: receives their reports and answers with orders and leases.

#include <xxhash.h>

#include <algorithm>

#include "Courseloom/src/Control/WorkflowRunner.h"
#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace internal {
namespace {

/** Maximum number of relays in a reply. One would be enough, but a failure that cuts off the asking node may cut off
 * some relays too. */
constexpr std::size_t MaxRelaysPerReply = 4;
/** Time after which an agent repeats the report of an end that could not be committed yet. Allows for a round trip to
 * the agent of the task's other run, whose report the end waits for. */
constexpr Duration WithheldEndRetry = milliseconds(50);

/** \returns a hash of the replicas and relays that a reply lists; never 0. */
std::uint64_t directory_digest(const schema::AttendReply& reply) {
  const std::uint64_t members = XXH64(reply.members().data(), sizeof(std::uint32_t) * reply.members_size(), 0);
  return XXH64(reply.relays().data(), sizeof(std::uint32_t) * reply.relays_size(), members) | 1U;
}

/** \returns the row of a report that contains a run's end; null if the report implies the end without listing it. */
const schema::EndReport* row_of(const schema::RunEnd& end, const schema::AttendRequest& report) {
  const RunKey key = runKeyOf(end.task(), end.run());
  for (const schema::EndReport& row : report.ends()) {
    if (runKeyOf(row.task(), row.run()) == key) return &row;
  }
  return nullptr;
}

/** \returns the reason for a run's end. \param row row of the report that contains it, or null */
std::string reason_of(const schema::EndReport* row) {
  if (row == nullptr) return "the agent reports another life of the target";
  // Ends that the target lists are numbered. Number 0 is an end that the agent determined itself, with a reason.
  return row->number() == 0 ? row->reason() : "listed by the target";
}

}  // namespace
}  // namespace internal

std::vector<std::uint32_t> WorkflowRunner::relaysFor(const std::string& node) {
  return m_relays.relaysFor(node, internal::MaxRelaysPerReply);
}

/** \returns a reply without orders or lease: term, how long the next reply may be delayed, replicas and relays.
 * Replicas and relays are left out if the request's hash of them is current. */
schema::AttendReply WorkflowRunner::makeReply(const schema::AttendRequest& request) {
  schema::AttendReply reply;
  reply.set_term(m_driver.replica().term());
  reply.set_wait_ms(static_cast<std::uint32_t>(toMilliseconds(m_ledger.reportWait())));
  if (m_membersSource) {
    for (const ReplicaId id : m_membersSource()) reply.add_members(id);
  }
  for (const std::uint32_t id : relaysFor(request.agent())) reply.add_relays(id);
  reply.set_directory(internal::directory_digest(reply));
  if (reply.directory() != request.directory()) return reply;
  reply.clear_members();
  reply.clear_relays();
  return reply;
}

/** \returns a reply that asks for a report with the target's description, which this report omits and this leader does
 * not have. This report is not applied; the agent sends its content again at once, so nothing is lost. */
schema::AttendReply WorkflowRunner::requestFullReport(const schema::AttendRequest& request) {
  m_context.metrics.count("reports_incomplete", "all");
  schema::AttendReply reply = makeReply(request);
  reply.set_whole_wanted(true);
  return reply;
}

/** Logs the end of a run. Runs that end done or stopped are the majority and are logged in the log group of their
 * workflow; other ends are always logged. */
void WorkflowRunner::logRunEnd(const schema::RunEnd& end, const schema::AttendRequest& report) const {
  const bool usual = end.kind() == schema::RunDone || end.kind() == schema::RunStopped;
  const schema::EndReport* row = internal::row_of(end, report);
  const bool refused = row != nullptr && row->has_counted();
  const auto log = [&](std::initializer_list<LogField> fields) {
    usual ? logGroupEvent(schema::RunEnded, end.task().workflow(), fields) : logEvent(schema::RunEnded, fields);
  };
  log({{"task", taskText(end.task())},
       {"run", std::uint64_t{end.run()}},
       {"kind", schema::RunEndKind_Name(end.kind())},
       {"target", m_ledger.runs().at(runKeyOf(end.task(), end.run())).target},
       {"reporting", report.target().id()},
       {"reason", internal::reason_of(row)},
       {"counted", refused ? resourcesText(row->counted()) : ""},
       {"blocking", refused && row->has_blocking() ? taskText(row->blocking()) : ""},
       {"sequence", report.sequence()},
       {"reportTerm", report.term()},
       {"ageMs", std::uint64_t{report.running_age_ms()}}});
}

schema::RecordRuns WorkflowRunner::collectEnds(const schema::AttendRequest& report, Time received) {
  const std::string& target = report.target().id();
  if (m_health.countsVoids(target) && !m_ledger.newlyBegun(report).empty()) recordBegun(target);
  schema::RecordRuns runs;
  for (schema::RunEnd& end : m_ledger.receiveReport(report, received)) {
    recordFullRunTime(end, received);
    recordStartSurvived(end);
    logRunEnd(end, report);
    *runs.add_ends() = std::move(end);
  }
  return runs;
}

/** \returns the number of the first end in an agent's newest report that must not be committed yet, 0 if there is
 * none. Ends the delay of the reply to the agent of the other run, since the end waits for that agent's next report. */
std::uint64_t WorkflowRunner::findWithheldEnd(const std::string& agent) {
  const TargetTrack* withholding = m_ledger.withholds(agent);
  if (withholding == nullptr) return 0;
  notifyAgent(withholding->withheldFor);
  return withholding->withheldEnd;
}

Awaitable<Result<schema::AttendReply>> WorkflowRunner::attend(schema::AttendRequest request) {
  const Time received = BootClock::now();
  if (!leads(received)) co_return fail(m_driver.noLeader("attend"));
  if (m_ledger.isSuperseded(request)) {
    logEvent(schema::ReportRefused, {{"agent", request.agent()}, {"sequence", request.sequence()}});
    co_return fail(Failure{FailureCode::Fenced, Ran::No, "attend", request.agent(), "a newer report has come", 0});
  }
  if (m_ledger.isCurrent(request) && !m_ledger.complete(request)) co_return requestFullReport(request);
  const std::uint64_t term = m_driver.replica().term();
  const bool wasKnown = m_ledger.isKnown(request);
  const bool wasAsked = m_ledger.reportRequested(request.agent());
  const TargetOffer offered = m_ledger.offer(request.agent(), received);
  schema::RecordRuns runs = collectEnds(request, received);
  const std::uint64_t withheldEnd = findWithheldEnd(request.agent());
  // Answered at once: the agent's next report carries this term and is then processed.
  if (!m_ledger.isCurrent(request)) co_return makeReply(request);
  if (runs.ends_size() > 0 && !co_await commitRuns(std::move(runs))) co_return fail(m_driver.noLeader("attend"));
  notifyAgent(request.agent());  // ends the delayed reply to an older report
  // Ends trigger a plan when they are applied; the progress of runs is used at the next tick.
  if (wasAsked || m_ledger.offer(request.agent(), received) != offered) requestPlan();
  const Duration wait = milliseconds(request.wait_ms());
  const Time end = received + (withheldEnd != 0 ? std::min<Duration>(wait, internal::WithheldEndRetry) : wait);
  // An agent that is new to this leader gets its reply at once: after an outage, the lease that a former leader granted
  // it may be about to expire.
  const bool hasNews = request.ends_size() > 0 || request.started_size() > 0;
  const bool replyAtOnce = !wasKnown || (hasNews && withheldEnd == 0);
  while (leads() && !replyAtOnce && !m_released && BootClock::now() < end) {
    if (m_ledger.reportRequested(request.agent()) || m_ledger.isSuperseded(request)) break;
    if (m_ledger.hasDueOrders(request.agent(), table(), BootClock::now())) break;
    co_await m_agentSignals[request.agent()].wait(end);
  }
  // A change of leader discards what this report changed in the ledger, so it must not be answered in a later term.
  // The check and the lease use the same instant: a process that is paused in between must not extend the lease beyond
  // its own leadership.
  const Time now = BootClock::now();
  const bool sameLeader = leads(now) && m_driver.replica().term() == term;
  if (!sameLeader || m_released) co_return fail(m_driver.noLeader("attend"));
  schema::AttendReply reply = makeReply(request);
  reply.set_target_version(request.target_version());
  reply.set_ends_target(request.target().id());
  for (const schema::EndReport& row : request.ends()) {
    if (withheldEnd != 0 && row.number() >= withheldEnd) continue;
    reply.set_ends_taken(std::max<std::uint64_t>(reply.ends_taken(), row.number()));
  }
  // The connection of a superseded report may be broken, so its answer must not carry orders.
  if (!m_ledger.isSuperseded(request)) {
    for (schema::RunOrder& order : m_ledger.issueOrders(request.agent(), table(), now)) {
      *reply.add_orders() = std::move(order);
    }
  }
  if (isLeaseRecorded()) {
    reply.set_grant_ms(static_cast<std::uint32_t>(toMilliseconds(m_ledger.grant(request.agent(), now))));
  }
  reply.set_held_ms(static_cast<std::uint32_t>(toMilliseconds(now - received)));
  co_return reply;
}

}  // namespace courseloom
