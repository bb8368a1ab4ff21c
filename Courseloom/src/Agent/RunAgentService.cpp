// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Agent/RunAgentService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>

#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Transport/Listen.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {

/** A target's clock may run this much slower than ours: it is counted on to show 98 ms for each 100 ms of ours. */
constexpr std::int64_t SlowClockNumerator = 98;
constexpr std::int64_t SlowClockDenominator = 100;
/** Taken off each hold, so that it surely ends before the leader's grant does. */
constexpr Duration HoldMargin = milliseconds(50);
/** Added before holds count as over. */
constexpr Duration LapseSlack = milliseconds(200);
constexpr Duration FailedPause = milliseconds(150);
/** Before a refused stop is sent again: a refusal comes at once, and a run in doubt holds up its whole gang. Doubled
 * with each refusal up to the longest, since the target may be overloaded. */
constexpr Duration RefusedPause = milliseconds(50);
constexpr Duration LongestRefusedPause = milliseconds(400);
constexpr Duration UncommittedPause = milliseconds(250);
constexpr Duration StopLimit = milliseconds(700);
/** Longest wait of a look while fillers share the target with what serves, ms. */
constexpr std::uint32_t SharingLookMs = 400;

std::uint64_t random_incarnation() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

}  // namespace
}  // namespace internal

RunAgentService::RunAgentService(const DaemonContext& context, RunAgentEdges edges)
    : m_context(context),
      m_edges(std::move(edges)),
      m_strand(asio::make_strand(context.io)),
      m_control(context.io, context.settings.cluster()),
      m_relay(context.io, context.settings.cluster(), [this] { return inTouch(); }),
      m_port(m_edges.makePort(context)),
      m_registration(
          context.io, HttpLimits(),
          [this](HttpRequest request, std::string) { return m_edges.answerRegistration(std::move(request), *this); }),
      m_http(context.io, HttpLimits(),
             [this](HttpRequest request, std::string) -> Awaitable<HttpResponse> {
               std::optional<HttpResponse> admin = answerAdmin(request, m_following, m_context.metrics);
               if (admin) co_return std::move(*admin);
               co_return problemResponse(Failure{FailureCode::NotFound, Ran::No, "route", "", "no such path", 0});
             }),
      m_incarnation(internal::random_incarnation()),
      m_waitMs(context.settings.runner().attend_ms()) {}

Result<Listening> RunAgentService::start() {
  const schema::NodeSettings& node = m_context.settings.node();
  const Endpoint edge = splitEndpoint(m_context.settings.edge().control_endpoint());
  Listening listening;
  BOOST_LEAF_CHECK(m_registration.start(edge.address, edge.port));
  BOOST_LEAF_ASSIGN(listening.httpPort, m_http.start(node.address(), node.http_port()));
  BOOST_LEAF_ASSIGN(listening.rpcPort, m_relay.start(node));
  asio::co_spawn(m_strand, attendLoop(), asio::detached);
  asio::co_spawn(m_strand, newsLoop(), asio::detached);
  asio::co_spawn(m_strand, lookLoop(), asio::detached);
  asio::co_spawn(m_strand, confirmLoop(), asio::detached);
  return listening;
}

Awaitable<std::size_t> RunAgentService::stop() {
  co_await asio::co_spawn(
      m_strand,
      [this]() -> Awaitable<void> {
        m_stopping = true;
        const Time end = BootClock::now() + internal::StopLimit;
        const auto busy = [this] {
          return std::any_of(m_runs.begin(), m_runs.end(), [](const auto& run) { return run.second.busy; });
        };
        while (busy() && BootClock::now() < end) co_await sleepFor(milliseconds(10));
        co_await exchange(0);
      },
      asio::use_awaitable);
  co_return 0;
}

// ---- holding and looking

/** The target's clock may have stood while the machine was suspended, so that only the time awake counts for it.
 * \returns what that clock shows at an instant, at the least: what is held until then ends no later. */
std::uint64_t RunAgentService::deadlineOnTarget(Time until) const {
  const Time now = BootClock::now();
  if (until <= now) return m_life->clockMs;
  const auto awake = std::chrono::steady_clock::now() - m_life->clockAwakeAt;
  const Duration sinceRead = std::min(now - m_life->clockAt, std::chrono::duration_cast<Duration>(awake));
  const Duration ahead = until - now + sinceRead;
  const Duration shown = ahead * internal::SlowClockNumerator / internal::SlowClockDenominator;
  return m_life->clockMs + static_cast<std::uint64_t>(toMilliseconds(shown));
}

/** Takes what the target's clock showed a moment ago. */
void RunAgentService::takeClock(std::uint64_t clockMs) {
  if (clockMs == 0) return;
  m_life->clockMs = clockMs;
  m_life->clockAt = BootClock::now();
  m_life->clockAwakeAt = std::chrono::steady_clock::now();
}

/** \returns the end of a hold that is asked for now: within the leader's grant, and no longer than a target holds. */
Time RunAgentService::longestHold() const {
  const Time limit = BootClock::now() + milliseconds(m_context.settings.runner().max_hold_ms());
  return std::min(m_grantUntil, limit) - internal::HoldMargin;
}

/** A target that does not answer gets no longer hold, so that it is known when everything there has ended. */
std::optional<std::uint64_t> RunAgentService::holdDeadline() {
  if (!granted() || m_life->failures > 0 || m_life->clockMs == 0) return std::nullopt;
  const Time until = longestHold();
  m_heldUntil = std::max(m_heldUntil, until);
  return deadlineOnTarget(until);
}

Awaitable<bool> RunAgentService::look(std::uint32_t waitMs) {
  const std::string life = m_life->report.id();
  TargetHold hold;
  hold.deadlineMs = holdDeadline();
  // A call for this life must not carry a token that a successor may have been asked with, and a refusal does not say
  // which life refuses: only the answer to a look brings the life a higher one.
  const std::uint64_t step = m_life->fenced ? raiseFence() : m_life->step;
  hold.token = Fence::token(step, m_term);
  // After silence or an announcement another life may answer, whose first ends have the same numbers; it must not
  // forget them.
  hold.lastSeen = m_life->failures > 0 || !m_announced.empty() ? 0 : m_life->endsTaken;
  hold.waitMs = waitMs;
  const Duration limit = milliseconds(waitMs) + milliseconds(m_context.settings.runner().order_limit_ms());
  Result<TargetAnswer> answer = co_await m_port->hold(life, hold, limit);
  if (!isLife(life)) co_return false;
  const bool taken = answer && answer->verdict == TargetVerdict::Taken;
  m_life->fenced = answer && answer->fenced;
  if (m_life->fenced) m_fence.overtake();
  if (taken && answer->life == life) {
    m_life->step = std::max(m_life->step, step);
    takeLook(*answer, BootClock::now());
    co_return true;
  }
  if (taken) takeSuccessor(*answer);
  if (answer && answer->verdict == TargetVerdict::OtherLife) {
    endLife();
    co_return false;
  }
  if (!answer) takeMiss();
  takeSilence();
  co_return false;
}

/** Another life answers under the same identity, so that the present one is over; but it may have begun runs that were
 * meant for the present one. It is taken in once it has announced itself. */
void RunAgentService::takeSuccessor(const TargetAnswer& answer) {
  closeTarget();
  if (std::exchange(m_life->successor, answer.life) == answer.life) return;
  logEvent(schema::TargetBornAgain, {{"target", m_life->report.id()},
                                     {"answers", answer.life},
                                     {"clockMs", answer.clockMs},
                                     {"formerClockMs", m_life->clockMs},
                                     {"endsTaken", m_life->endsTaken}});
}

void RunAgentService::takeLook(const TargetAnswer& answer, Time receivedAt) {
  if (m_life->failures >= FailuresUnreachable) {
    logEvent(schema::TargetRegained, {{"target", answer.life}});
    news();
  }
  m_life->failures = 0;
  m_life->missedAt = Time{};
  m_life->report.set_reachable(true);
  takeClock(answer.clockMs);
  m_life->running = answer.running;
  m_life->moreEnds = answer.moreEnds;
  m_life->lookedAt = receivedAt;
  if (m_life->progress.note(m_life->running, receivedAt)) news();
  for (const schema::RunReport& row : answer.running) {
    m_runs.try_emplace(runKeyOf(row.task(), row.run()));
  }
  for (const schema::EndReport& end : answer.ends) {
    if (end.number() <= m_life->endsTaken) continue;
    const bool added = m_life->ends.emplace(end.number(), end).second;
    m_runs.erase(runKeyOf(end.task(), end.run()));
    m_traits.erase(runKeyOf(end.task(), end.run()));
    m_life->orderedAt.erase(runKeyOf(end.task(), end.run()));
    if (added) news();
  }
  paceFillers();
}

// ---- sharing the target

void RunAgentService::paceFillers() {
  for (PaceChange& change : m_pacer.decide(m_life->running, m_traits, BootClock::now())) {
    asio::co_spawn(m_strand, paceRun(std::move(change)), asio::detached);
  }
}

Awaitable<void> RunAgentService::paceRun(PaceChange change) {
  const schema::TaskId task = makeTaskId(change.run.workflow, change.run.task);
  logEvent(schema::RunPaced, {{"task", taskText(task)}, {"percent", std::uint64_t{change.percent}}});
  Result<TargetAnswer> answer =
      co_await m_port->pace(m_life->report.id(), task, change.run.run, change.percent, token(),
                            milliseconds(m_context.settings.runner().order_limit_ms()));
  // A pace that did not arrive shows in the next tails, and is changed again then.
  if (!answer) logFailure(schema::PeerFailed, takeFailure(answer));
}

void RunAgentService::takeMiss() {
  if (m_life->missedAt == Time{}) m_life->missedAt = BootClock::now();
}

/** The next silence makes the present life one that is out of reach. */
void RunAgentService::closeTarget() { m_life->failures = std::max(m_life->failures, FailuresUnreachable - 1); }

/** Another identity answers, so that the present life is over and takes nothing more. */
void RunAgentService::endLife() {
  settleAll(schema::RunTargetLost, "another life answers");
  closeTarget();
  takeSilence();
}

void RunAgentService::takeSilence() {
  ++m_life->failures;
  if (m_life->failures == FailuresUnreachable) {
    logEvent(schema::TargetLost, {{"target", m_life->report.id()}});
    m_life->report.set_reachable(false);
    news();
  }
  if (BootClock::now() > m_heldUntil + internal::LapseSlack) settleAll(schema::RunLapsed, "the target is silent");
}

Awaitable<void> RunAgentService::lookLoop() {
  while (true) {
    if (!m_life) {
      co_await m_lifeSignal.wait(BootClock::now() + milliseconds(1000));
      continue;
    }
    const bool uncommitted = !m_life->ends.empty();
    const bool sharing = FillerPacer::watches(m_life->running, m_traits);
    const std::uint32_t longest = sharing ? internal::SharingLookMs : m_context.settings.runner().look_ms();
    const std::uint32_t waitMs = uncommitted || m_life->failures > 0 ? 0 : longest;
    const bool answered = co_await look(waitMs);
    if (!answered) {
      co_await sleepFor(internal::FailedPause);
    } else if (m_life && !m_life->ends.empty()) {
      co_await m_lookSignal.wait(BootClock::now() + internal::UncommittedPause);
    }
  }
}

// ---- orders

bool RunAgentService::listed(const RunKey& key) const {
  const auto isKey = [&](const auto& row) { return runKeyOf(row.task(), row.run()) == key; };
  if (std::any_of(m_life->running.begin(), m_life->running.end(), isKey)) return true;
  return std::any_of(m_life->ends.begin(), m_life->ends.end(), [&](const auto& row) { return isKey(row.second); });
}

void RunAgentService::settle(const schema::TaskId& task, std::uint32_t run, schema::RunEndKind kind,
                             const std::string& reason) {
  const RunKey key = runKeyOf(task, run);
  noteLost(key, kind);
  Fate& fate = m_fates[key];
  fate = Fate();
  *fate.report.mutable_task() = task;
  fate.report.set_run(run);
  fate.report.set_kind(kind);
  fate.report.set_reason(reason);
  logEvent(schema::RunSettled, {{"task", taskText(task)},
                                {"run", std::uint64_t{run}},
                                {"kind", schema::RunEndKind_Name(kind)},
                                {"reason", reason},
                                {"target", m_life->report.id()}});
  m_runs.erase(key);
  m_traits.erase(key);
  // What never began ends no target.
  if (kind == schema::RunVoided) m_life->orderedAt.erase(key);
  news();
}

void RunAgentService::settleAll(schema::RunEndKind kind, const std::string& reason) {
  const std::map<RunKey, LocalRun> runs = m_runs;
  for (const auto& [key, run] : runs) settle(makeTaskId(key.workflow, key.task), key.run, kind, reason);
}

/** The room may have shrunk since the leader planned; not every target refuses what it has no room for.
 * \returns whether a run fits beside all that may be at the target, by the target's newest word on its capacity */
bool RunAgentService::hasRoomFor(const schema::RunOrder& order) const {
  if (!m_life->report.has_capacity() || !order.has_need()) return true;
  const RunKey own = runKeyOf(order.task(), order.run());
  Room room = roomOf(m_life->report.capacity());
  for (const auto& [key, run] : m_runs) {
    if (key == own) continue;
    const auto traits = m_traits.find(key);
    if (traits == m_traits.end()) return false;  // what it takes is told with the leader's next answer
    room.subtract(traits->second.need);
  }
  return room.holds(roomOf(order));
}

Awaitable<void> RunAgentService::startRun(schema::RunOrder order) {
  const std::string life = order.target();
  const std::string name = taskText(order.task());
  const RunKey key = runKeyOf(order.task(), order.run());
  if (m_life->report.draining() || m_life->left) {
    // It may have run there all the same, under a former life of this agent: the target's lists tell.
    logEvent(schema::RunRefused, {{"task", name}, {"run", std::uint64_t{order.run()}}, {"reason", "draining"}});
    co_await stopRun(std::move(order));
    co_return;
  }
  if (!hasRoomFor(order)) {
    logEvent(schema::RunRefused, {{"task", name}, {"run", std::uint64_t{order.run()}}, {"reason", "no room left"}});
    co_await stopRun(std::move(order));
    co_return;
  }
  const Time until = longestHold();
  m_heldUntil = std::max(m_heldUntil, until);
  m_life->orderedAt[key] = BootClock::now();
  const TargetStart start{order, deadlineOnTarget(until), token()};
  Result<TargetAnswer> answer =
      co_await m_port->start(life, start, milliseconds(m_context.settings.runner().order_limit_ms()));
  if (!isLife(life)) co_return;
  if (!answer) takeMiss();
  if (answer && answer->verdict == TargetVerdict::Taken) {
    m_life->missedAt = Time{};
    const auto found = m_runs.find(key);
    if (found == m_runs.end()) co_return;  // it has ended already
    found->second.busy = false;
    schema::StartReport& started = m_started[key];
    *started.mutable_task() = order.task();
    started.set_run(order.run());
    logEvent(schema::RunStarted, {{"task", name}, {"run", std::uint64_t{order.run()}}, {"target", life}});
    news();
    co_return;
  }
  const bool refused = answer && answer->verdict == TargetVerdict::Refused && answer->reason != "old";
  const bool otherLife = answer && answer->verdict == TargetVerdict::OtherLife;
  const auto own = m_runs.find(key);
  if (own != m_runs.end()) own->second.neverBegan = refused || otherLife;
  if (otherLife) {
    endLife();
    co_return;
  }
  if (refused) {
    logEvent(schema::RunRefused, {{"task", name}, {"run", std::uint64_t{order.run()}}, {"reason", answer->reason}});
  } else {
    logEvent(schema::RunInDoubt, {{"task", name}, {"run", std::uint64_t{order.run()}}, {"target", life}});
  }
  // After a refusal too: another copy of the order may be on its way to this agent, and must find the run stopped.
  co_await stopRun(std::move(order));
}

/** Stops a run until the target confirms that; then its lists tell what became of it. */
Awaitable<void> RunAgentService::stopRun(schema::RunOrder order) {
  const std::string& life = order.target();
  const RunKey key = runKeyOf(order.task(), order.run());
  if (!isOpen(life, key)) co_return;
  m_runs[key].busy = true;
  const Duration limit = milliseconds(m_context.settings.runner().order_limit_ms());
  Duration refusedPause = internal::RefusedPause;
  while (true) {
    Result<TargetAnswer> answer = co_await m_port->stop(life, order.task(), order.run(), token(), limit);
    if (!isOpen(life, key)) co_return;
    if (!answer) takeMiss();
    if (answer && answer->verdict == TargetVerdict::OtherLife) {
      endLife();
      co_return;
    }
    // A refusal has changed nothing at the target: a start that is still on its way would begin the run afterwards.
    if (answer && answer->verdict == TargetVerdict::Taken) break;
    if (answer) {
      logEvent(schema::StopRefused, {{"task", taskText(order.task())},
                                     {"run", std::uint64_t{order.run()}},
                                     {"target", life},
                                     {"reason", answer->reason}});
    }
    co_await sleepFor(answer ? refusedPause : internal::FailedPause);
    if (answer) refusedPause = std::min(2 * refusedPause, internal::LongestRefusedPause);
    if (!isOpen(life, key)) co_return;
  }
  // Only a look that was asked for after the confirmation says whether the run was there, and only one that leaves no
  // ends out.
  while (!co_await look(0) || (m_life->moreEnds && !listed(key))) {
    co_await sleepFor(internal::FailedPause);
    if (!isOpen(life, key)) co_return;
  }
  const auto found = m_runs.find(key);
  if (found == m_runs.end()) co_return;
  found->second.busy = false;
  found->second.neverBegan = false;
  if (!listed(key)) settle(order.task(), order.run(), schema::RunVoided, "never began");
}

void RunAgentService::reload(const schema::Settings& settings) {
  m_control.setSeeds(settings.cluster());
  m_relay.setSeeds(settings.cluster());
}

}  // namespace courseloom
