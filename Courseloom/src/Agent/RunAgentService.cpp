// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Agent/RunAgentService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>
#include <tuple>

#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Transport/Listen.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {

/** Subtracted from the end of each hold, so that the hold ends before the lease does. */
constexpr Duration HoldMargin = milliseconds(50);
/** Pause after a call that failed. */
constexpr Duration FailedPause = milliseconds(150);
/** Pause before a refused stop is retried. It is short because a refusal arrives at once and a run with an
 * undetermined outcome delays its whole gang. It doubles with each refusal up to the maximum, since the target may be
 * overloaded. */
constexpr Duration RefusedPause = milliseconds(50);
constexpr Duration MaxRefusedPause = milliseconds(400);
/** Longest wait before the next poll while the target lists uncommitted ends; such polls are answered at once. */
constexpr Duration UncommittedPause = milliseconds(250);
/** Pause before the next poll while the target lists ends that it must not discard yet; such polls are answered at
 * once.
 */
constexpr Duration UndiscardedPause = milliseconds(50);
/** Interval at which a start checks for the answer to a poll that names ends, which is given at once. */
constexpr Duration DiscardCheckInterval = milliseconds(2);
/** Longest time for which a start waits for the answer to a poll that names ends, or to the next poll. */
constexpr Duration FencedStartLimit = milliseconds(1500);
/** How long a stopping agent waits for its calls in progress. */
constexpr Duration StopLimit = milliseconds(700);
/** Longest wait of a poll while fillers share the target with serving runs, ms. */
constexpr std::uint32_t SharedPollMs = 400;

std::uint64_t random_incarnation() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

/** \returns the lowest number of listed ends; 0 for an empty list. */
std::uint64_t lowest_number(const std::vector<schema::EndReport>& ends) {
  const auto isLower = [](const auto& left, const auto& right) { return left.number() < right.number(); };
  const auto lowest = std::min_element(ends.begin(), ends.end(), isLower);
  return lowest == ends.end() ? 0 : lowest->number();
}

/** \returns whether a demand blocks more of a target than another one: accelerators are the scarcest resource. */
bool is_larger(const ResourceAmounts& left, const ResourceAmounts& right) {
  return std::tie(left.accelerators, left.cpuMilli, left.memoryMb) >
         std::tie(right.accelerators, right.cpuMilli, right.memoryMb);
}

}  // namespace
}  // namespace internal

RunAgentService::RunAgentService(const DaemonContext& context, RunAgentProtocol protocol)
    : m_context(context),
      m_protocol(std::move(protocol)),
      m_strand(asio::make_strand(context.io)),
      m_control(context.io, context.settings.cluster()),
      m_relay(context.io, context.settings.cluster(), [this] { return canRelay(); }),
      m_port(m_protocol.makePort(context)),
      m_registration(context.io, HttpLimits(),
                     [this](HttpRequest request, std::string) {
                       return m_protocol.answerRegistration(std::move(request), *this);
                     }),
      m_http(context.io, HttpLimits(),
             [this](HttpRequest request, std::string) -> Awaitable<HttpResponse> {
               std::optional<HttpResponse> admin = answerAdmin(request, m_following, m_context.metrics);
               if (admin) co_return std::move(*admin);
               co_return problemResponse(Failure{FailureCode::NotFound, Ran::No, "route", "", "no such path", 0});
             }),
      m_agentIncarnation(internal::random_incarnation()),
      m_waitMs(context.settings.runner().attend_ms()) {}

Result<ListeningPorts> RunAgentService::start() {
  const schema::NodeSettings& node = m_context.settings.node();
  const Endpoint edge = splitEndpoint(m_context.settings.edge().control_endpoint());
  ListeningPorts listening;
  BOOST_LEAF_CHECK(m_registration.start(edge.address, edge.port));
  BOOST_LEAF_ASSIGN(listening.httpPort, m_http.start(node.address(), node.http_port()));
  m_relay.probeBeforeQueueCalls(m_context.settings.entry().early_answers());
  BOOST_LEAF_ASSIGN(listening.rpcPort, m_relay.start(node));
  asio::co_spawn(m_strand, attendLoop(), asio::detached);
  asio::co_spawn(m_strand, pendingChangesLoop(), asio::detached);
  asio::co_spawn(m_strand, pollLoop(), asio::detached);
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

// ---- holds and polls

/** \returns a lower bound of what the target's clock shows at an instant, so that runs held until then end no later.
 * The target's clock may have stopped while the machine was suspended, so that only the time awake counts. */
std::uint64_t RunAgentService::deadlineOnTarget(Time until) const {
  const Time now = BootClock::now();
  if (until <= now) return m_target->clockMs;
  const auto awake = std::chrono::steady_clock::now() - m_target->clockAwakeAt;
  const Duration sinceRead = std::min(now - m_target->clockAt, std::chrono::duration_cast<Duration>(awake));
  const Duration ahead = until - now + sinceRead;
  const Duration shown = ahead * SlowClockNumerator / SlowClockDenominator;
  return m_target->clockMs + static_cast<std::uint64_t>(toMilliseconds(shown));
}

/** Records a reading of the target's clock that has just arrived. \param clockMs 0 for no reading */
void RunAgentService::recordClock(std::uint64_t clockMs) {
  if (clockMs == 0) return;
  m_target->clockMs = clockMs;
  m_target->clockAt = BootClock::now();
  m_target->clockAwakeAt = std::chrono::steady_clock::now();
}

/** \returns the end for a hold that is requested now: before the end of the lease, and at most max_hold_ms from now. */
Time RunAgentService::latestHoldEnd() const {
  const Time limit = BootClock::now() + milliseconds(m_context.settings.runner().max_hold_ms());
  return std::min(m_leaseUntil, limit) - internal::HoldMargin;
}

/** \returns the deadline of the next hold on the target's clock, or none if the current one is not to be extended. The
 * hold of a target that doesn't answer is not extended, so that the agent knows when all runs there have ended. */
std::optional<std::uint64_t> RunAgentService::holdDeadline() {
  if (!hasLease() || m_target->failures > 0 || m_target->clockMs == 0) return std::nullopt;
  const Time until = latestHoldEnd();
  m_holdsEndBy = std::max(m_holdsEndBy, until);
  m_lastHoldSentAt = BootClock::now();
  return deadlineOnTarget(until);
}

/** \returns whether an incarnation other than the current one may begin or have begun a run through a call to the
 * current one: a start call was not answered, or its answer does not show the incarnation that gave it. */
bool RunAgentService::mayOtherBeginRuns() const {
  if (m_target->failures > 0 || !m_announced.empty() || !m_startsInTransit.empty()) return true;
  if (m_waitingStarts > 0 || m_target->answeredSentAt <= m_lateStartsUntil) return true;
  return std::any_of(m_runs.begin(), m_runs.end(), [](const auto& entry) {
    const LocalRun& run = entry.second;
    return run.startSentAt != Time{} && !run.listed && !run.neverStarted;
  });
}

/** \returns the number up to which the target may discard its ends; 0 if it lists none that are committed. Another
 * incarnation may carry out the poll late. Its first ends have the same numbers, and it must not discard them before
 * they are read. Therefore only polls that have something to discard carry a number, and none do while another
 * incarnation may begin runs. \sa LateCalls.h */
std::uint64_t RunAgentService::endsToDiscard() const {
  const bool listsCommitted = m_target->firstListedEnd != 0 && m_target->firstListedEnd <= m_target->endsTaken;
  return !listsCommitted || mayOtherBeginRuns() ? 0 : m_target->endsTaken;
}

/** \returns whether starts carry a higher token than each poll in transit that names ends. An incarnation that has
 * carried out such a start refuses the poll. \sa LateCalls.h */
bool RunAgentService::areStartsFenced() const {
  return m_target->discardStep == 0 || m_target->step > m_target->discardStep;
}

/** Waits until starts are fenced from polls that name ends: such a poll is answered, or a later one under a newer step.
 * No other poll names ends meanwhile. \param until latest time until which a start may wait */
Awaitable<void> RunAgentService::awaitFencedStarts(const std::string& incarnation, Time until) {
  const Time limit = std::min(until, BootClock::now() + internal::FencedStartLimit);
  const auto isWaiting = [&] {
    return isCurrentIncarnation(incarnation) && (m_target->discarding || !areStartsFenced());
  };
  ++m_waitingStarts;
  while (isWaiting() && BootClock::now() < limit) co_await sleepFor(internal::DiscardCheckInterval);
  --m_waitingStarts;
}

Awaitable<bool> RunAgentService::poll(std::uint32_t waitMs, std::uint64_t discardUpTo) {
  const std::string incarnation = m_target->report.id();
  TargetHold hold;
  hold.deadlineMs = holdDeadline();
  // Calls to this incarnation must not carry a token with which a successor may have been polled, and a refusal does
  // not name the refusing incarnation. Therefore only the answer to a poll raises the step of this incarnation. A
  // successor gets a newer step at once, so that it refuses calls to this incarnation that are still in transit.
  // The same holds for a poll that names ends and was not answered: starts need a newer step than that one.
  const bool newStep = m_target->fenced || !m_target->successor.empty() || !areStartsFenced();
  const std::uint64_t step = newStep ? nextFenceStep() : m_target->step;
  hold.token = Fence::token(step, m_term);
  hold.lastSeen = discardUpTo;
  if (discardUpTo > 0) m_target->discarding = true;
  hold.waitMs = waitMs;
  const Duration limit = milliseconds(waitMs) + milliseconds(m_context.settings.runner().order_limit_ms());
  const Time sentAt = BootClock::now();
  Result<TargetAnswer> answer = co_await m_port->hold(incarnation, hold, limit);
  if (!isCurrentIncarnation(incarnation)) co_return false;
  const bool accepted = answer && answer->verdict == TargetVerdict::Accepted;
  if (discardUpTo > 0) m_target->discarding = false;
  if (discardUpTo > 0 && !answer) m_target->discardStep = std::max(m_target->discardStep, step);
  m_target->fenced = answer && answer->fenced;
  if (m_target->fenced) m_fence.skipAhead();
  if (accepted && answer->incarnation == incarnation) {
    m_target->step = std::max(m_target->step, step);
    applyPoll(*answer, sentAt, BootClock::now());
    co_return true;
  }
  if (accepted) handleSuccessor(*answer, step, sentAt);
  if (answer && answer->verdict == TargetVerdict::OtherIncarnation) {
    endIncarnation();
    co_return false;
  }
  if (!answer) {
    recordUnansweredCall();
    m_target->successorFencedAt = Time{};  // the successor may have been replaced by another one
  }
  recordFailedPoll();
  co_return false;
}

/** Handles an answer of another incarnation under the same identity. The current incarnation has ended. The successor
 * may have begun runs that were meant for the current one, and until it has seen a newer token it may still begin
 * others. It becomes current after it has announced itself. \param step fence step of the answered poll
 * \param sentAt when that poll was sent */
void RunAgentService::handleSuccessor(const TargetAnswer& answer, std::uint64_t step, Time sentAt) {
  allowNoMoreFailures();
  const bool isNew = std::exchange(m_target->successor, answer.incarnation) != answer.incarnation;
  m_target->successorFencedAt = step > m_target->step ? sentAt : Time{};
  m_target->successorRuns.clear();
  for (const schema::RunReport& row : answer.running) m_target->successorRuns.insert(runKeyOf(row.task(), row.run()));
  for (const schema::EndReport& row : answer.ends) m_target->successorRuns.insert(runKeyOf(row.task(), row.run()));
  if (!isNew) return;
  logEvent(schema::TargetBornAgain, {{"target", m_target->report.id()},
                                     {"answers", answer.incarnation},
                                     {"clockMs", answer.clockMs},
                                     {"formerClockMs", m_target->clockMs},
                                     {"endsTaken", m_target->endsTaken}});
}

void RunAgentService::applyPoll(const TargetAnswer& answer, Time sentAt, Time receivedAt) {
  if (m_target->failures >= UnreachableAfterFailures) {
    logEvent(schema::TargetRegained, {{"target", answer.incarnation}});
    notifyPendingChanges();
  }
  m_target->failures = 0;
  m_target->unansweredSince = Time{};
  m_target->answeredSentAt = std::max(m_target->answeredSentAt, sentAt);
  m_target->report.set_reachable(true);
  // Answers on different connections may arrive in another order. Older lists would bring back runs that have ended.
  if (answer.clockMs < m_target->listedAtMs) return;
  m_target->listedAtMs = answer.clockMs;
  recordClock(answer.clockMs);
  m_target->running = answer.running;
  m_target->moreEnds = answer.moreEnds;
  m_target->firstListedEnd = internal::lowest_number(answer.ends);
  m_target->polledAt = receivedAt;
  if (m_target->progress.note(m_target->running, receivedAt)) notifyPendingChanges();
  for (const schema::RunReport& row : answer.running) {
    const RunKey key = runKeyOf(row.task(), row.run());
    LocalRun& run = m_runs[key];
    m_startsInTransit.erase(key);
    run.listed = true;
    if (run.knownSince == Time{}) run.knownSince = receivedAt;
  }
  for (const schema::EndReport& end : answer.ends) {
    if (end.number() <= m_target->endsTaken) continue;
    const bool added = m_target->ends.emplace(end.number(), end).second;
    const RunKey key = runKeyOf(end.task(), end.run());
    forgetRun(key);
    m_startsInTransit.erase(key);
    m_target->orderedAt.erase(key);
    if (added) notifyPendingChanges();
  }
  settleUnlisted(answer, sentAt);
  paceFillers();
}

/** Settles runs that the target had before a poll was sent and no longer lists, neither as running nor as ended. Their
 * ends are committed already, or have been lost; without this, such an entry would take capacity for good. */
void RunAgentService::settleUnlisted(const TargetAnswer& answer, Time sentAt) {
  if (answer.moreEnds) return;
  std::vector<RunKey> unlisted;
  for (const auto& [key, run] : m_runs) {
    const bool wasThere = !run.busy && run.knownSince != Time{} && run.knownSince < sentAt;
    if (wasThere && !isListed(key)) unlisted.push_back(key);
  }
  for (const RunKey& key : unlisted) {
    settle(makeTaskId(key.workflow, key.task), key.run, schema::RunLapsed, "the target does not list it any more");
  }
}

// ---- sharing the target

void RunAgentService::paceFillers() {
  for (PaceChange& change : m_pacer.decide(m_target->running, m_traits, BootClock::now())) {
    asio::co_spawn(m_strand, paceRun(std::move(change)), asio::detached);
  }
}

Awaitable<void> RunAgentService::paceRun(PaceChange change) {
  const schema::TaskId task = makeTaskId(change.run.workflow, change.run.task);
  logEvent(schema::RunPaced, {{"task", taskText(task)}, {"percent", std::uint64_t{change.percent}}});
  Result<TargetAnswer> answer =
      co_await m_port->pace(m_target->report.id(), task, change.run.run, change.percent, token(),
                            milliseconds(m_context.settings.runner().order_limit_ms()));
  // If the target has not received the pace, the next tail latencies show it and the pace is changed again.
  if (!answer) logFailure(schema::PeerFailed, extractFailure(answer));
}

Awaitable<void> RunAgentService::pollLoop() {
  while (true) {
    if (!m_target) {
      co_await m_targetSignal.wait(BootClock::now() + milliseconds(1000));
      continue;
    }
    const std::uint64_t discardUpTo = endsToDiscard();
    const bool uncommitted = !m_target->ends.empty();
    const bool sharing = FillerPacer::isShared(m_target->running, m_traits);
    const std::uint32_t longest = sharing ? internal::SharedPollMs : m_context.settings.runner().look_ms();
    const bool atOnce = uncommitted || discardUpTo > 0 || m_target->failures > 0;
    const bool answered = co_await poll(atOnce ? 0 : longest, discardUpTo);
    if (!answered) {
      co_await sleepFor(internal::FailedPause);
    } else if (m_target && !m_target->ends.empty()) {
      co_await m_pollSignal.wait(BootClock::now() + internal::UncommittedPause);
    } else if (m_target && m_target->firstListedEnd != 0 && endsToDiscard() == 0) {
      co_await sleepFor(internal::UndiscardedPause);
    }
  }
}

// ---- orders

bool RunAgentService::isListed(const RunKey& key) const {
  const auto isKey = [&](const schema::RunReport& row) { return runKeyOf(row.task(), row.run()) == key; };
  return std::any_of(m_target->running.begin(), m_target->running.end(), isKey) || isListedAsEnded(key);
}

/** \returns whether the target has listed the end of a run that is not committed yet. */
bool RunAgentService::isListedAsEnded(const RunKey& key) const {
  const auto isKey = [&](const auto& row) { return runKeyOf(row.second.task(), row.second.run()) == key; };
  return std::any_of(m_target->ends.begin(), m_target->ends.end(), isKey);
}

/** Drops a run whose outcome is known. */
void RunAgentService::forgetRun(const RunKey& key) {
  m_runs.erase(key);
  m_traits.erase(key);
}

/** Records the outcome of a run that the agent has determined, to be reported to the leader. */
void RunAgentService::settle(const schema::TaskId& task, std::uint32_t run, schema::RunEndKind kind,
                             const std::string& reason) {
  const RunKey key = runKeyOf(task, run);
  recordLost(key, kind);
  RunOutcome& outcome = m_outcomes[key];
  outcome = RunOutcome();
  *outcome.report.mutable_task() = task;
  outcome.report.set_run(run);
  outcome.report.set_kind(kind);
  outcome.report.set_reason(reason);
  const auto own = m_runs.find(key);
  if (kind == schema::RunVoided && own != m_runs.end() && own->second.refusal) {
    const CapacityRefusal& refusal = *own->second.refusal;
    *outcome.report.mutable_counted() = resourcesOf(refusal.counted);
    if (refusal.blocking)
      *outcome.report.mutable_blocking() = makeTaskId(refusal.blocking->workflow, refusal.blocking->task);
  }
  logEvent(schema::RunSettled, {{"task", taskText(task)},
                                {"run", std::uint64_t{run}},
                                {"kind", schema::RunEndKind_Name(kind)},
                                {"reason", reason},
                                {"target", m_target->report.id()}});
  forgetRun(key);
  // A run that never began cannot have crashed the target.
  if (kind == schema::RunVoided) m_target->orderedAt.erase(key);
  notifyPendingChanges();
}

void RunAgentService::settleAll(schema::RunEndKind kind, const std::string& reason) {
  const std::map<RunKey, LocalRun> runs = m_runs;
  for (const auto& [key, run] : runs) settle(makeTaskId(key.workflow, key.task), key.run, kind, reason);
}

/** The capacity may have shrunk since the leader planned, and not every target refuses runs that exceed it.
 * \returns why a run does not fit beside all runs that may be at the target, by the newest capacity that it has
 * announced; nothing if it fits */
std::optional<RunAgentService::CapacityRefusal> RunAgentService::findCapacityRefusal(
    const schema::RunOrder& order) const {
  if (!m_target->report.has_capacity() || !order.has_need()) return std::nullopt;
  const RunKey own = runKeyOf(order.task(), order.run());
  ResourceAmounts freeCapacity = resourceAmountsOf(m_target->report.capacity());
  CapacityRefusal refusal;
  ResourceAmounts largest;
  bool allKnown = true;
  for (const auto& [key, run] : m_runs) {
    if (key == own) continue;
    const auto traits = m_traits.find(key);
    if (traits == m_traits.end()) {
      // The leader's next reply has the demand of this run.
      if (allKnown) refusal.blocking = key;
      allKnown = false;
      continue;
    }
    const ResourceAmounts& need = traits->second.need;
    freeCapacity.subtract(need);
    refusal.counted.add(need);
    if (!allKnown || (refusal.blocking && !internal::is_larger(need, largest))) continue;
    refusal.blocking = key;
    largest = need;
  }
  if (allKnown && freeCapacity.holds(resourceAmountsOf(order))) return std::nullopt;
  return refusal;
}

void RunAgentService::logCapacityRefusal(const schema::RunOrder& order, const CapacityRefusal& refusal) {
  const std::optional<RunKey>& blocking = refusal.blocking;
  logEvent(schema::RunRefused, {{"task", taskText(order.task())},
                                {"run", std::uint64_t{order.run()}},
                                {"reason", "no room left"},
                                {"counted", resourcesText(resourcesOf(refusal.counted))},
                                {"blocking", blocking ? taskText(makeTaskId(blocking->workflow, blocking->task)) : ""},
                                {"blockingRun", std::uint64_t{blocking ? blocking->run : 0}}});
}

/** Sends the start call of a run. \param until end of the lease that came with the order; no start is sent later */
Awaitable<void> RunAgentService::startRun(schema::RunOrder order, Time until) {
  const std::string incarnation = order.target();
  const std::string name = taskText(order.task());
  const RunKey key = runKeyOf(order.task(), order.run());
  if (m_target->report.draining() || m_target->deregistered) {
    // A former incarnation of this agent may have started the run. stopRun() reads its outcome from the target's lists.
    logEvent(schema::RunRefused, {{"task", name}, {"run", std::uint64_t{order.run()}}, {"reason", "draining"}});
    co_await stopRun(std::move(order));
    co_return;
  }
  if (std::optional<CapacityRefusal> refusal = findCapacityRefusal(order)) {
    logCapacityRefusal(order, *refusal);
    m_runs[key].refusal = std::move(refusal);
    co_await stopRun(std::move(order));
    co_return;
  }
  co_await awaitFencedStarts(incarnation, until);
  if (!isOpen(incarnation, key)) co_return;
  if (m_target->discarding || !areStartsFenced() || BootClock::now() >= until) {
    settle(order.task(), order.run(), schema::RunVoided, "not sent");
    co_return;
  }
  const Time heldUntil = latestHoldEnd();
  m_holdsEndBy = std::max(m_holdsEndBy, heldUntil);
  m_target->orderedAt[key] = BootClock::now();
  LocalRun& run = m_runs[key];
  const Time startSentAt = BootClock::now();
  run.startSentAt = startSentAt;
  m_lastHoldSentAt = startSentAt;
  run.startDeadlineMs = deadlineOnTarget(heldUntil);
  const TargetStart start{order, run.startDeadlineMs, token()};
  Result<TargetAnswer> answer =
      co_await m_port->start(incarnation, start, milliseconds(m_context.settings.runner().order_limit_ms()));
  if (!answer) m_lateStartsUntil = std::max(m_lateStartsUntil, startSentAt + LateCallLimit);
  if (!isCurrentIncarnation(incarnation)) co_return;
  if (!answer) recordUnansweredCall();
  if (answer && answer->verdict == TargetVerdict::Accepted) {
    m_target->unansweredSince = Time{};
    const auto found = m_runs.find(key);
    if (found == m_runs.end()) co_return;  // the run has ended already
    found->second.busy = false;
    found->second.startAnsweredAt = BootClock::now();
    if (found->second.knownSince == Time{}) found->second.knownSince = BootClock::now();
    schema::StartReport& started = m_started[key];
    *started.mutable_task() = order.task();
    started.set_run(order.run());
    logEvent(schema::RunStarted, {{"task", name}, {"run", std::uint64_t{order.run()}}, {"target", incarnation}});
    notifyPendingChanges();
    co_return;
  }
  const bool refused = answer && answer->verdict == TargetVerdict::Refused && answer->reason != "old";
  const bool otherLife = answer && answer->verdict == TargetVerdict::OtherIncarnation;
  const auto own = m_runs.find(key);
  if (own != m_runs.end()) {
    own->second.neverStarted = refused || otherLife;
    if (answer) own->second.startAnsweredAt = BootClock::now();
  }
  if (otherLife) {
    endIncarnation();
    co_return;
  }
  if (refused) {
    logEvent(schema::RunRefused, {{"task", name}, {"run", std::uint64_t{order.run()}}, {"reason", answer->reason}});
  } else {
    logEvent(schema::RunInDoubt, {{"task", name}, {"run", std::uint64_t{order.run()}}, {"target", incarnation}});
  }
  // Refused runs are stopped too: another copy of the order may still reach this agent and must find the run stopped.
  co_await stopRun(std::move(order));
}

/** Sends stop calls for a run until the target confirms one or the run cannot begin any more, then reads the outcome
 * from the target's lists. */
Awaitable<void> RunAgentService::stopRun(schema::RunOrder order) {
  const std::string& incarnation = order.target();
  const RunKey key = runKeyOf(order.task(), order.run());
  if (!isOpen(incarnation, key)) co_return;
  m_runs[key].busy = true;
  const Duration limit = milliseconds(m_context.settings.runner().order_limit_ms());
  Duration refusedPause = internal::RefusedPause;
  while (true) {
    Result<TargetAnswer> answer = co_await m_port->stop(incarnation, order.task(), order.run(), token(), limit);
    if (!isOpen(incarnation, key)) co_return;
    if (!answer) recordUnansweredCall();
    if (answer && answer->verdict == TargetVerdict::OtherIncarnation) {
      endIncarnation();
      co_return;
    }
    // A refused stop has changed nothing at the target: a delayed start could still begin the run afterwards.
    if (answer && answer->verdict == TargetVerdict::Accepted) break;
    if (isStartTooLate(key)) break;
    if (answer) {
      logEvent(schema::StopRefused, {{"task", taskText(order.task())},
                                     {"run", std::uint64_t{order.run()}},
                                     {"target", incarnation},
                                     {"reason", answer->reason}});
    }
    co_await sleepFor(answer ? refusedPause : internal::FailedPause);
    if (answer) refusedPause = std::min(2 * refusedPause, internal::MaxRefusedPause);
    if (!isOpen(incarnation, key)) co_return;
  }
  co_await awaitStartInTransit(incarnation, key);
  if (!isOpen(incarnation, key)) co_return;
  // Only a poll sent after that shows whether the target had the run, and only if it lists the run or
  // leaves out no ends.
  while (!co_await poll(0) || (m_target->moreEnds && !isListed(key))) {
    co_await sleepFor(internal::FailedPause);
    if (!isOpen(incarnation, key)) co_return;
  }
  const auto found = m_runs.find(key);
  if (found == m_runs.end()) co_return;
  found->second.busy = false;
  found->second.neverStarted = false;
  if (isListedAsEnded(key)) {
    forgetRun(key);
  } else if (!isListed(key)) {
    settle(order.task(), order.run(), schema::RunVoided, "never began");
  }
}

void RunAgentService::reload(const schema::Settings& settings) {
  m_control.setSeeds(settings.cluster());
  m_relay.setSeeds(settings.cluster());
}

}  // namespace courseloom
