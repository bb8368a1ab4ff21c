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

/** Pause after a call that failed. */
constexpr Duration FailedPause = milliseconds(150);
/** Pause before a refused stop is retried. It is short because a refusal arrives at once and a run with an
 * undetermined outcome delays its whole gang. It doubles with each refusal up to the maximum, since the target may be
 * overloaded. */
constexpr Duration RefusedPause = milliseconds(50);
constexpr Duration MaxRefusedPause = milliseconds(400);
/** Longest wait before the next poll while the target lists uncommitted ends; such polls are answered at once. */
constexpr Duration UncommittedPause = milliseconds(250);
/** Pause before the next poll while the target lists ends that must be kept; such polls are answered at once. */
constexpr Duration UndiscardedPause = milliseconds(50);
/** How long a stopping agent waits for its calls in progress. */
constexpr Duration StopLimit = milliseconds(700);
/** Parts of the memory for relayed calls and for the target's announcements. */
constexpr std::uint64_t RelayMemoryParts = 8;
constexpr std::uint64_t RegistrationMemoryParts = 8;
/** Longest wait of a poll while fillers share the target with serving runs, ms. */
constexpr std::uint32_t SharedPollMs = 400;

std::uint64_t random_incarnation() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
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
      m_limits(context.settings.runner().memory_mb()),
      m_relay(
          context.io, context.settings.cluster(), [this] { return canRelay(); },
          m_limits.rpcLimits(m_limits.budget(internal::RelayMemoryParts))),
      m_port(m_protocol.makePort(context)),
      m_registration(context.io, m_limits.operatorLimits(m_limits.budget(internal::RegistrationMemoryParts)),
                     [this](HttpRequest request, HttpCaller caller) {
                       return m_protocol.answerRegistration(std::move(request), *this, caller.memory);
                     }),
      m_http(context.io, m_limits.probeLimits(),
             [this](HttpRequest request, HttpCaller) -> Awaitable<HttpResponse> {
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
  if (kind == schema::RunVoided && own != m_runs.end()) outcome.report.set_wants_ticket(own->second.wantsTicket);
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
  const bool mayBeSent = co_await awaitFencedStarts(incarnation, until);
  if (!isOpen(incarnation, key)) co_return;
  if (!mayBeSent) {
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
    m_started[key] = makeStartReport(key);
    logEvent(schema::RunStarted, {{"task", name}, {"run", std::uint64_t{order.run()}}, {"target", incarnation}});
    notifyPendingChanges();
    co_return;
  }
  const bool refused = answer && answer->verdict == TargetVerdict::Refused && answer->reason != "old";
  const bool otherLife = answer && answer->verdict == TargetVerdict::OtherIncarnation;
  const auto own = m_runs.find(key);
  if (own != m_runs.end()) {
    own->second.neverStarted = refused || otherLife;
    own->second.wantsTicket = refused && answer->wantsTicket;
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
