// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// What an agent tells the leader, and what it takes from its answers.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Courseloom/src/Agent/RunAgentService.h"
#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {

constexpr Duration AttendPause = milliseconds(50);
constexpr Duration ReplyLimit = milliseconds(1500);
/** Beside the time for which two reports may be held back, after so long without an answer of control the agent relays
 * nothing. */
constexpr Duration InTouchSlack = milliseconds(200);

/** \returns whether the leader that answered has taken a report in. */
bool is_taken(const schema::AttendRequest& request, const schema::AttendReply& reply) {
  return reply.term() == request.term() && !reply.whole_wanted();
}

}  // namespace
}  // namespace internal

bool reachesControl(Time answered, Duration reportWait, Time now) {
  return now < answered + 2 * reportWait + internal::InTouchSlack;
}

void RunAgentService::news() {
  m_hasNews = true;
  m_newsSignal.notify();
}

schema::AttendRequest RunAgentService::makeReport() {
  schema::AttendRequest request;
  request.set_agent(m_context.settings.node().name());
  request.set_incarnation(m_incarnation);
  request.set_term(m_term);
  request.set_leaving(m_stopping);
  if (!m_life) return request;
  m_reported.put(request, m_life->report);
  for (const schema::RunReport& row : m_life->running) *request.add_running() = row;
  request.set_running_age_ms(static_cast<std::uint32_t>(toMilliseconds(BootClock::now() - m_life->lookedAt)));
  for (const schema::RunReport& row : m_life->running) {
    if (m_traits.count(runKeyOf(row.task(), row.run())) > 0) continue;
    schema::StartReport* unknown = request.add_unknown();
    *unknown->mutable_task() = row.task();
    unknown->set_run(row.run());
  }
  for (const auto& [number, row] : m_life->ends) *request.add_ends() = row;
  for (const auto& [key, fate] : m_fates) {
    if (!fate.told) *request.add_ends() = fate.report;
  }
  for (const auto& [key, row] : m_started) *request.add_started() = row;
  for (const auto& [key, row] : m_lost) *request.add_lost() = row;
  return request;
}

/** \returns whether this agent can relay calls of others. */
bool RunAgentService::inTouch() const {
  return reachesControl(Time(Duration(m_directAt.load())), milliseconds(m_waitMs.load()), BootClock::now());
}

/** \returns whether a leader has taken a report in. */
Awaitable<bool> RunAgentService::exchange(std::uint32_t waitMs) {
  Heard heard = co_await tellLeader(waitMs);
  if (heard == Heard::Introduced) heard = co_await tellLeader(waitMs);
  co_return heard == Heard::Taken;
}

Awaitable<RunAgentService::Heard> RunAgentService::tellLeader(std::uint32_t waitMs) {
  schema::AttendRequest request = makeReport();
  request.set_wait_ms(waitMs);
  request.set_sequence(++m_sequence);
  request.set_relay(m_relay.number());
  request.set_directory(m_directory);
  const Time sentAt = BootClock::now();
  const Time deadline = sentAt + milliseconds(waitMs) + internal::ReplyLimit;
  Result<schema::AttendReply> reply = co_await m_control.attend(request, deadline);
  if (!reply) {
    const Failure failure = takeFailure(reply);
    if (m_following && failure.code != FailureCode::NoLeader) logFailure(schema::PeerFailed, failure);
    // Without a target there is nothing to grant.
    const bool lost = m_life ? !granted() : BootClock::now() > m_leaderHeard + internal::ReplyLimit;
    if (m_following && lost) {
      m_following = false;
      logEvent(schema::LeaderLost, {{"term", m_term}});
    }
    co_return Heard::Nothing;
  }
  if (!m_control.relayed()) m_directAt = BootClock::now().time_since_epoch().count();
  takeReply(request, *reply, sentAt);
  co_return internal::is_taken(request, *reply) ? Heard::Taken : Heard::Introduced;
}

Awaitable<void> RunAgentService::attendLoop() {
  while (true) {
    const bool reached = co_await exchange(m_waitMs);
    if (!reached) co_await sleepFor(internal::AttendPause);
  }
}

/** News go at once, beside the exchange that the leader holds back. */
Awaitable<void> RunAgentService::newsLoop() {
  while (true) {
    while (!m_hasNews) co_await m_newsSignal.wait(BootClock::now() + milliseconds(60000));
    m_hasNews = false;
    const bool reached = co_await exchange(0);
    if (reached) continue;
    m_hasNews = true;
    co_await sleepFor(internal::AttendPause);
  }
}

void RunAgentService::takeReply(const schema::AttendRequest& request, const schema::AttendReply& reply, Time sentAt) {
  followDirectory(reply);
  if (reply.term() < m_term) return;  // a former leader's word
  m_reported.answered(request, reply);
  m_waitMs = std::max(m_context.settings.runner().attend_ms(), reply.wait_ms());
  const bool taken = internal::is_taken(request, reply);
  if (!m_following || reply.term() != m_term) logEvent(schema::LeaderFound, {{"term", reply.term()}});
  m_following = true;
  m_leaderHeard = BootClock::now();
  m_term = reply.term();
  // Counted from the sending of the request plus the time that the leader held it: never later than its own count.
  const Time until = sentAt + milliseconds(reply.held_ms()) + milliseconds(reply.grant_ms());
  const bool wasGranted = granted();
  m_grantUntil = std::max(m_grantUntil, until);
  m_longestGrant = std::max(m_longestGrant, Duration(milliseconds(reply.grant_ms())));
  if (!wasGranted) m_lifeSignal.notify();
  if (taken) takeTold(request, reply);
  if (m_stopping) return;
  for (const schema::RunOrder& order : reply.orders()) takeOrder(order, until);
}

/** A reply without replicas and relays names what this agent was told last, or comes late and says nothing new. */
void RunAgentService::followDirectory(const schema::AttendReply& reply) {
  if (reply.members_size() == 0 && reply.relays_size() == 0) return;
  m_directory = reply.directory();
  m_control.setMembers({reply.members().begin(), reply.members().end()});
  m_relay.setMembers({reply.members().begin(), reply.members().end()});
  std::vector<std::uint32_t> relays(reply.relays().begin(), reply.relays().end());
  std::erase(relays, m_relay.number());
  m_control.setRelays(relays);
}

/** \param until end of the grant that came with the order. One that was on its way for longer must not begin a run,
 * even under a later grant: the leader may have counted that run as lapsed and begun the next. */
void RunAgentService::takeOrder(const schema::RunOrder& order, Time until) {
  if (!isLife(order.target())) return;
  const RunKey key = runKeyOf(order.task(), order.run());
  const auto found = m_runs.find(key);
  if (found != m_runs.end() && found->second.busy) return;
  if (order.kind() == schema::OrderStop) {
    m_runs[key].busy = true;
    asio::co_spawn(m_strand, stopRun(order), asio::detached);
    return;
  }
  // A copy of an order may arrive after its run was settled: the leader may have begun the next run by then.
  if (m_fates.count(key) > 0) return;
  m_traits[key] = RunTraits{order.filler(), order.latency_target_ms(), roomOf(order)};
  if (BootClock::now() >= until) return;
  if (found != m_runs.end()) {
    // Given again: either the leader has not heard of it yet, or nobody knows where it went.
    if (listed(key)) return news();
    found->second.busy = true;
    asio::co_spawn(m_strand, stopRun(order), asio::detached);
    return;
  }
  LocalRun& run = m_runs[key];
  run.busy = true;
  asio::co_spawn(m_strand, startRun(order), asio::detached);
}

/** The leader has taken a report in and committed its ends. */
void RunAgentService::takeTold(const schema::AttendRequest& request, const schema::AttendReply& reply) {
  const Time now = BootClock::now();
  for (const schema::EndReport& end : request.ends()) {
    const auto found = m_fates.find(runKeyOf(end.task(), end.run()));
    if (end.number() != 0 || found == m_fates.end()) continue;
    found->second.told = true;
    found->second.keptUntil = now + m_longestGrant;
  }
  std::erase_if(m_fates, [now](const auto& entry) { return entry.second.told && entry.second.keptUntil < now; });
  for (const schema::LostRun& lost : request.lost()) m_lost.erase(runKeyOf(lost.task(), lost.run()));
  for (const schema::StartReport& start : request.started()) m_started.erase(runKeyOf(start.task(), start.run()));
  if (!isLife(reply.ends_target()) || reply.ends_taken() <= m_life->endsTaken) return;
  m_life->endsTaken = reply.ends_taken();
  m_life->ends.erase(m_life->ends.begin(), m_life->ends.upper_bound(reply.ends_taken()));
  m_lookSignal.notify();
}

}  // namespace courseloom
