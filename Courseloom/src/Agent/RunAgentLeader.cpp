// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Reports of an agent to the leader, and the leader's replies.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Courseloom/src/Agent/RunAgentService.h"
#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {

/** Pause after a report that no leader applied. */
constexpr Duration AttendPause = milliseconds(50);
/** Time limit of a reply, beyond the time for which the leader may hold it back. */
constexpr Duration ReplyLimit = milliseconds(1500);
/** An agent stops relaying calls if control has not answered for this time in addition to the time for which two
 * replies may be held back. */
constexpr Duration RelaySlack = milliseconds(200);

/** \returns whether the answering leader has applied a report. */
bool is_applied(const schema::AttendRequest& request, const schema::AttendReply& reply) {
  return reply.term() == request.term() && !reply.whole_wanted();
}

}  // namespace
}  // namespace internal

bool reachesControl(Time answered, Duration reportWait, Time now) {
  return now < answered + 2 * reportWait + internal::RelaySlack;
}

void RunAgentService::notifyPendingChanges() {
  m_hasPendingChanges = true;
  m_pendingChangesSignal.notify();
}

schema::AttendRequest RunAgentService::makeReport() {
  schema::AttendRequest request;
  request.set_agent(m_context.settings.node().name());
  request.set_incarnation(m_agentIncarnation);
  request.set_term(m_term);
  request.set_leaving(m_stopping);
  if (!m_target) return request;
  m_reported.put(request, m_target->report);
  for (const schema::RunReport& row : m_target->running) *request.add_running() = row;
  request.set_running_age_ms(static_cast<std::uint32_t>(toMilliseconds(BootClock::now() - m_target->polledAt)));
  for (const schema::RunReport& row : m_target->running) {
    const RunKey key = runKeyOf(row.task(), row.run());
    if (m_traits.count(key) == 0) *request.add_unknown() = makeStartReport(key);
  }
  for (const auto& [number, row] : m_target->ends) *request.add_ends() = row;
  for (const auto& [key, outcome] : m_outcomes) {
    if (!outcome.committed) *request.add_ends() = outcome.report;
  }
  for (const auto& [key, row] : m_started) *request.add_started() = row;
  reportStartsInTransit(request);
  for (const auto& [key, row] : m_lost) *request.add_lost() = row;
  return request;
}

/** \returns whether this agent can relay calls of other nodes to control. */
bool RunAgentService::canRelay() const {
  return reachesControl(Time(Duration(m_lastDirectContact.load())), milliseconds(m_waitMs.load()), BootClock::now());
}

/** Sends a report, and a second one if a leader answered without applying the first. \returns whether a leader has
 * applied it */
Awaitable<bool> RunAgentService::exchange(std::uint32_t waitMs) {
  ReportOutcome result = co_await sendReport(waitMs);
  if (result == ReportOutcome::NotApplied) result = co_await sendReport(waitMs);
  co_return result == ReportOutcome::Applied;
}

Awaitable<RunAgentService::ReportOutcome> RunAgentService::sendReport(std::uint32_t waitMs) {
  schema::AttendRequest request = makeReport();
  request.set_wait_ms(waitMs);
  request.set_sequence(++m_sequence);
  request.set_relay(m_relay.number());
  request.set_directory(m_directory);
  const Time sentAt = BootClock::now();
  const Time deadline = sentAt + milliseconds(waitMs) + internal::ReplyLimit;
  Result<schema::AttendReply> reply = co_await m_control.attend(request, deadline);
  if (!reply) {
    const Failure failure = extractFailure(reply);
    if (m_following && failure.code != FailureCode::NoLeader) logFailure(schema::PeerFailed, failure);
    // Without a target the agent gets no lease, so the time since the last contact decides.
    const bool lost = m_target ? !hasLease() : BootClock::now() > m_leaderLastContact + internal::ReplyLimit;
    if (m_following && lost) {
      m_following = false;
      logEvent(schema::LeaderLost, {{"term", m_term}});
    }
    co_return ReportOutcome::NoAnswer;
  }
  if (!m_control.relayed()) m_lastDirectContact = BootClock::now().time_since_epoch().count();
  applyReply(request, *reply, sentAt);
  co_return internal::is_applied(request, *reply) ? ReportOutcome::Applied : ReportOutcome::NotApplied;
}

Awaitable<void> RunAgentService::attendLoop() {
  while (true) {
    const bool reached = co_await exchange(m_waitMs);
    if (!reached) co_await sleepFor(internal::AttendPause);
  }
}

/** Reports pending changes at once, in parallel to the report whose reply the leader holds back. */
Awaitable<void> RunAgentService::pendingChangesLoop() {
  while (true) {
    while (!m_hasPendingChanges) co_await m_pendingChangesSignal.wait(BootClock::now() + milliseconds(60000));
    m_hasPendingChanges = false;
    const bool reached = co_await exchange(0);
    if (reached) continue;
    m_hasPendingChanges = true;
    co_await sleepFor(internal::AttendPause);
  }
}

void RunAgentService::applyReply(const schema::AttendRequest& request, const schema::AttendReply& reply, Time sentAt) {
  followDirectory(reply);
  if (reply.term() < m_term) return;  // the reply of a former leader
  m_reported.answered(request, reply);
  m_waitMs = std::max(m_context.settings.runner().attend_ms(), reply.wait_ms());
  const bool applied = internal::is_applied(request, reply);
  if (!m_following || reply.term() != m_term) logEvent(schema::LeaderFound, {{"term", reply.term()}});
  m_following = true;
  m_leaderLastContact = BootClock::now();
  m_term = reply.term();
  // The lease starts when the request was sent, plus the time for which the leader held the reply back. It thus never
  // ends later than by the leader's own count.
  const Time until = sentAt + milliseconds(reply.held_ms()) + milliseconds(reply.grant_ms());
  const bool hadLease = hasLease();
  m_leaseUntil = std::max(m_leaseUntil, until);
  m_longestLease = std::max(m_longestLease, Duration(milliseconds(reply.grant_ms())));
  if (!hadLease) m_targetSignal.notify();
  if (applied) applyAcknowledgement(request, reply);
  if (m_stopping) return;
  for (const schema::RunOrder& order : reply.orders()) handleOrder(order, until);
}

/** Applies the lists of replicas and relays. A reply without both either names the version that this agent has, or
 * arrived late and has nothing new. */
void RunAgentService::followDirectory(const schema::AttendReply& reply) {
  if (reply.members_size() == 0 && reply.relays_size() == 0) return;
  m_directory = reply.directory();
  m_control.setMembers({reply.members().begin(), reply.members().end()});
  m_relay.setMembers({reply.members().begin(), reply.members().end()});
  std::vector<std::uint32_t> relays(reply.relays().begin(), reply.relays().end());
  std::erase(relays, m_relay.number());
  m_control.setRelays(relays);
}

/** Carries out an order. \param until end of the lease that came with the order. A start order that arrives later must
 * not begin a run, even under a later lease: the leader may have counted that run as lapsed and begun the next. */
void RunAgentService::handleOrder(const schema::RunOrder& order, Time until) {
  if (!isCurrentIncarnation(order.target())) return;
  const RunKey key = runKeyOf(order.task(), order.run());
  const auto found = m_runs.find(key);
  if (found != m_runs.end() && found->second.busy) return;
  if (order.kind() == schema::OrderStop) {
    if (isListedAsEnded(key)) return notifyPendingChanges();  // the leader has not received the report of the end yet
    if (found == m_runs.end()) m_runs[key].orderedBefore = m_formerProcessKnewTarget;
    m_runs[key].busy = true;
    asio::co_spawn(m_strand, stopRun(order), asio::detached);
    return;
  }
  // A copy of an order may arrive after its run was settled; by then the leader may have begun the next run.
  if (m_outcomes.count(key) > 0) return;
  m_traits[key] = RunTraits{order.filler(), order.latency_target_ms(), resourceAmountsOf(order)};
  if (BootClock::now() >= until) return;
  if (found != m_runs.end()) {
    // The order was repeated: either the leader has not received the report of the run yet, or its state is unknown.
    if (isListed(key)) return notifyPendingChanges();
    found->second.busy = true;
    asio::co_spawn(m_strand, stopRun(order), asio::detached);
    return;
  }
  LocalRun& run = m_runs[key];
  run.busy = true;
  run.orderedBefore = order.ordered_before() && m_formerProcessKnewTarget;
  const bool formerInTransit = isStartInTransit(run);
  asio::co_spawn(m_strand, formerInTransit ? stopRun(order) : startRun(order, until), asio::detached);
}

/** Drops what need not be reported again: the leader has applied a report and committed its ends. */
void RunAgentService::applyAcknowledgement(const schema::AttendRequest& request, const schema::AttendReply& reply) {
  const Time now = BootClock::now();
  for (const schema::EndReport& end : request.ends()) {
    const auto found = m_outcomes.find(runKeyOf(end.task(), end.run()));
    if (end.number() != 0 || found == m_outcomes.end()) continue;
    found->second.committed = true;
    found->second.keptUntil = now + m_longestLease;
  }
  std::erase_if(m_outcomes,
                [now](const auto& entry) { return entry.second.committed && entry.second.keptUntil < now; });
  for (const schema::LostRun& lost : request.lost()) m_lost.erase(runKeyOf(lost.task(), lost.run()));
  for (const schema::StartReport& start : request.started()) m_started.erase(runKeyOf(start.task(), start.run()));
  if (!isCurrentIncarnation(reply.ends_target()) || reply.ends_taken() <= m_target->endsTaken) return;
  m_target->endsTaken = reply.ends_taken();
  m_target->ends.erase(m_target->ends.begin(), m_target->ends.upper_bound(reply.ends_taken()));
  m_pollSignal.notify();
}

}  // namespace courseloom
