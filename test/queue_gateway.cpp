// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Answers of an entry to the caller of a submission while no replica answers.

#include "Courseloom/src/Entry/QueueGateway.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Courseloom/src/Membership/ControlRelay.h"
#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/Transport/RpcServer.h"
#include "test/main.h"

using namespace courseloom;

namespace asio = boost::asio;

namespace {

const std::string Replica = "127.0.9.31";
const std::string RelayNode = "127.0.9.32";
constexpr Duration CallerTime = milliseconds(3000);

/** \class PausedReplica
 * \brief A leader that answers nothing until a given time, like one without power.
 */
class PausedReplica {
 public:
  PausedReplica(asio::io_context& io, Duration pause) : m_server(io), m_answersFrom(BootClock::now() + pause) {
    m_server.handle<schema::QueueCall>("queue", [this](schema::QueueCall, std::string) { return answer(); });
    port = m_server.start(Replica, 0).value();
  }
  unsigned port = 0;

 private:
  Awaitable<Result<schema::QueueAnswer>> answer() {
    if (BootClock::now() < m_answersFrom) co_await sleepFor(milliseconds(60000));
    schema::QueueAnswer accepted;
    accepted.set_outcome(schema::QueueAccepted);
    co_return accepted;
  }
  RpcServer m_server;
  Time m_answersFrom;
};

/** Outcome and duration of a call. */
struct CallResult {
  bool ended = false;
  bool answered = false;
  Ran ran = Ran::No;
  Duration took{};
};

Awaitable<void> ask(QueueGateway& gateway, schema::QueueCallKind kind, CallResult& end, Duration allowed = CallerTime) {
  const Time before = BootClock::now();
  schema::QueueCall call;
  call.set_kind(kind);
  Result<schema::QueueAnswer> answer = co_await gateway.call(std::move(call), allowed);
  end.answered = static_cast<bool>(answer);
  if (!answer) end.ran = extractFailure(answer).ran;
  end.took = BootClock::now() - before;
  end.ended = true;
}

schema::ClusterSettings clusterAt(unsigned port) {
  schema::ClusterSettings settings;
  settings.set_election_timeout_ms(200);
  settings.set_seed_rpc_port(port);
  settings.add_seeds()->set_endpoint(Replica + ":1");
  return settings;
}

CallResult callReplicaAt(asio::io_context& io, unsigned port, schema::QueueCallKind kind) {
  ControlClient control(io, clusterAt(port));
  QueueGateway gateway(control);
  CallResult end;
  asio::co_spawn(io, ask(gateway, kind, end), asio::detached);
  for (int i = 0; i < 400 && !end.ended; ++i) io.run_for(milliseconds(10));
  cr_assert(end.ended);
  return end;
}

/** \returns a port of the replica's address at which nothing listens. */
unsigned unusedPort() {
  asio::io_context io;
  const asio::ip::tcp::acceptor acceptor(io, {asio::ip::make_address(Replica), 0});
  return acceptor.local_endpoint().port();
}

/** \returns the result of a submission to a leader that acknowledged one before and lost power afterwards: its
 * connections stay open, and nothing on them is answered. \param earlyAnswers whether the gateway answers early */
CallResult submitAfterLossOfPower(bool earlyAnswers) {
  asio::io_context power;
  asio::io_context io;
  PausedReplica replica(power, milliseconds(0));
  ControlClient control(io, clusterAt(replica.port));
  QueueGateway gateway(control, earlyAnswers);
  CallResult acknowledged;
  asio::co_spawn(io, ask(gateway, schema::QueueSubmit, acknowledged), asio::detached);
  for (int i = 0; i < 400 && !acknowledged.ended; ++i) {
    power.run_for(milliseconds(2));
    io.run_for(milliseconds(2));
  }
  cr_assert(acknowledged.answered);
  io.run_for(milliseconds(50));
  CallResult end;
  asio::co_spawn(io, ask(gateway, schema::QueueSubmit, end), asio::detached);
  for (int i = 0; i < 400 && !end.ended; ++i) io.run_for(milliseconds(10));
  cr_assert(end.ended);
  return end;
}

Awaitable<void> askRelay(std::shared_ptr<RpcClient> relay, CallResult& end) {
  schema::QueueCall call;
  call.set_kind(schema::QueueSubmit);
  Result<schema::QueueAnswer> answer =
      co_await relay->call<schema::QueueAnswer>("queue", call, BootClock::now() + milliseconds(1500));
  end.answered = static_cast<bool>(answer);
  if (!answer) end.ran = extractFailure(answer).ran;
  end.ended = true;
}

/** \returns the result of a submission through a relay to a leader that lost power, as submitAfterLossOfPower().
 * \param probes whether the relay probes silent connections */
CallResult relayAfterLossOfPower(bool probes) {
  asio::io_context power;
  asio::io_context io;
  PausedReplica replica(power, milliseconds(0));
  ControlRelay relay(io, clusterAt(replica.port), [] { return true; });
  relay.probeBeforeQueueCalls(probes);
  schema::NodeSettings node;
  node.set_address(RelayNode);
  const auto client = std::make_shared<RpcClient>(io, RelayNode, relay.start(node).value());
  CallResult acknowledged;
  asio::co_spawn(io, askRelay(client, acknowledged), asio::detached);
  for (int i = 0; i < 400 && !acknowledged.ended; ++i) {
    power.run_for(milliseconds(2));
    io.run_for(milliseconds(2));
  }
  cr_assert(acknowledged.answered);
  io.run_for(milliseconds(50));
  CallResult end;
  asio::co_spawn(io, askRelay(client, end), asio::detached);
  for (int i = 0; i < 400 && !end.ended; ++i) io.run_for(milliseconds(10));
  cr_assert(end.ended);
  return end;
}

/** \returns the result of a submission while nothing listens at the leader's address.
 * \param usual duration of recent acknowledgements */
CallResult submitWithoutLeader(Duration usual, bool earlyAnswers) {
  asio::io_context io;
  ControlClient control(io, clusterAt(unusedPort()));
  QueueGateway gateway(control, earlyAnswers);
  for (int i = 0; i < 64; ++i) gateway.acknowledgements().record(usual);
  CallResult end;
  asio::co_spawn(io, ask(gateway, schema::QueueSubmit, end), asio::detached);
  for (int i = 0; i < 400 && !end.ended; ++i) io.run_for(milliseconds(10));
  cr_assert(end.ended);
  return end;
}

}  // namespace

// Guards against giving up too early: with all replicas down for 2.2 s of a caller's 3 s, the caller got an unknown
// outcome after 1.8 s, and the submission was committed a moment later.
Test(queue_gateway, a_call_with_unknown_outcome_is_retried_until_there_is_an_answer) {
  asio::io_context io;
  PausedReplica replica(io, milliseconds(2200));
  const CallResult end = callReplicaAt(io, replica.port, schema::QueueSubmit);
  cr_assert(end.answered, "the caller had time left when the replica came back");
}

Test(queue_gateway, an_outcome_that_stays_unknown_is_reported_before_the_callers_deadline) {
  asio::io_context io;
  PausedReplica replica(io, milliseconds(20000));
  const CallResult end = callReplicaAt(io, replica.port, schema::QueueCancel);
  cr_assert_not(end.answered);
  cr_assert(end.ran == Ran::Unknown);
  cr_assert(end.took < CallerTime, "its answer has to reach the caller");
}

// A query changes nothing, so the caller gets its failure early and can retry.
Test(queue_gateway, a_query_is_given_up_early) {
  asio::io_context io;
  PausedReplica replica(io, milliseconds(20000));
  const CallResult end = callReplicaAt(io, replica.port, schema::QueueState);
  cr_assert_not(end.answered);
  cr_assert(end.took < CallerTime * 2 / 3);
}

Test(queue_gateway, a_call_that_did_not_run_is_given_up_early_and_reported_so) {
  asio::io_context io;
  const CallResult end = callReplicaAt(io, unusedPort(), schema::QueueSubmit);
  cr_assert_not(end.answered);
  cr_assert(end.ran == Ran::No, "nothing listened there");
  cr_assert(end.took < CallerTime * 2 / 3);
}

// Calls in flight at a replica without power must not fill the memory of the entry: further ones are rejected at once,
// and did not run, since they are never sent.
Test(queue_gateway, a_call_beyond_the_limits_of_the_entry_is_rejected_and_not_sent) {
  asio::io_context io;
  PausedReplica replica(io, milliseconds(60000));
  schema::ClusterSettings settings;
  settings.set_election_timeout_ms(200);
  settings.set_seed_rpc_port(replica.port);
  settings.add_seeds()->set_endpoint(Replica + ":1");
  ControlClient control(io, settings);
  QueueGateway gateway(control, false, EntryLimits{4096, 4, 1U << 20U});
  std::vector<CallResult> first(3);
  for (CallResult& end : first) asio::co_spawn(io, ask(gateway, schema::QueueSubmit, end), asio::detached);
  io.run_for(milliseconds(100));
  CallResult query;
  CallResult fourth;
  asio::co_spawn(io, ask(gateway, schema::QueueState, query), asio::detached);
  asio::co_spawn(io, ask(gateway, schema::QueueSubmit, fourth), asio::detached);
  io.run_for(milliseconds(100));
  cr_assert(query.ended && query.answered, "the query waits although the entry is near its limit");
  cr_assert_not(fourth.ended, "a submission within the limit was not sent");
  CallResult fifth;
  asio::co_spawn(io, ask(gateway, schema::QueueSubmit, fifth), asio::detached);
  io.run_for(milliseconds(100));
  cr_assert(fifth.ended && fifth.answered, "a submission beyond the limit waits");
  cr_assert_eq(gateway.rejected(), 2);
  for (int i = 0; i < 400 && !fourth.ended; ++i) io.run_for(milliseconds(10));
  cr_assert(fourth.ended);
}

// Guards against a submission that counts as in doubt although the leader had lost power before it was sent: the caller
// would wait for most of its time and then be told that the outcome is unknown.
Test(queue_gateway, a_submission_to_a_leader_without_power_did_not_run) {
  const CallResult end = submitAfterLossOfPower(true);
  cr_assert_not(end.answered);
  cr_assert(end.ran == Ran::No, "the leader had lost power before the call was sent");
  cr_assert(end.took < CallerTime * 2 / 3, "the caller can retry in the rest of its time");
}

// Guards against the same doubt at a relay, which holds connections of its own to the replicas.
Test(queue_gateway, a_submission_through_a_relay_to_a_leader_without_power_did_not_run) {
  const CallResult end = relayAfterLossOfPower(true);
  cr_assert_not(end.answered);
  cr_assert(end.ran == Ran::No);
  cr_assert(relayAfterLossOfPower(false).ran == Ran::Unknown, "without the setting nothing changes");
}

// Guards against a change of behaviour with the switch off.
Test(queue_gateway, without_early_answers_silent_connections_are_not_probed) {
  const CallResult end = submitAfterLossOfPower(false);
  cr_assert_not(end.answered);
  cr_assert(end.ran == Ran::Unknown);
}

// Guards against further waiting of a caller that can no longer be acknowledged in time: acknowledgements take 2.4 s,
// so a call of 3 s cannot succeed any more if no leader is known after 0.6 s.
Test(queue_gateway, a_caller_is_answered_once_acknowledgements_take_longer_than_the_rest_of_its_time) {
  const CallResult end = submitWithoutLeader(milliseconds(2400), true);
  cr_assert(end.ran == Ran::No);
  cr_assert(end.took >= milliseconds(500), "took %.0f ms", toMilliseconds(end.took));
  cr_assert(end.took < milliseconds(900), "took %.0f ms", toMilliseconds(end.took));
}

// Guards against early answers that come later than the former limits, or without being switched on.
Test(queue_gateway, quick_acknowledgements_or_the_switch_leave_the_limits_unchanged) {
  const CallResult quick = submitWithoutLeader(milliseconds(20), true);
  const CallResult off = submitWithoutLeader(milliseconds(2400), false);
  for (const CallResult& end : {quick, off}) {
    cr_assert(end.ran == Ran::No);
    cr_assert(end.took >= milliseconds(1700) && end.took < milliseconds(2100), "took %.0f ms",
              toMilliseconds(end.took));
  }
}

// Guards against an early answer to a call that was sent: while the leader answers probes but not the call, the call
// may have run.
Test(queue_gateway, a_call_that_was_sent_stays_in_doubt_with_early_answers) {
  asio::io_context io;
  PausedReplica replica(io, milliseconds(2200));
  ControlClient control(io, clusterAt(replica.port));
  QueueGateway gateway(control, true);
  for (int i = 0; i < 64; ++i) gateway.acknowledgements().record(milliseconds(2900));
  CallResult end;
  asio::co_spawn(io, ask(gateway, schema::QueueSubmit, end), asio::detached);
  for (int i = 0; i < 400 && !end.ended; ++i) io.run_for(milliseconds(10));
  cr_assert(end.answered, "the caller had time left when the replica answered");
}

// Guards against early answers that depend on single acknowledgements or on outdated ones.
Test(queue_gateway, quantiles_need_eight_acknowledgements_and_cover_the_newest_ones) {
  AcknowledgementTimes times;
  for (int i = 0; i < 7; ++i) times.record(milliseconds(500));
  cr_assert(times.quantile(0.95, milliseconds(7)) == milliseconds(7));
  times.record(milliseconds(500));
  cr_assert(times.quantile(0.95, milliseconds(7)) == milliseconds(500));
  for (int i = 1; i <= 64; ++i) times.record(milliseconds(i));
  cr_assert(times.quantile(0.0, {}) == milliseconds(1));
  cr_assert(times.quantile(1.0, {}) == milliseconds(64), "older times are forgotten");
  const Duration high = times.quantile(0.95, {});
  cr_assert(high >= milliseconds(60) && high <= milliseconds(62));
}
