// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Answers of an entry to the caller of a submission while no replica answers.

#include "Courseloom/src/Entry/QueueGateway.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/Transport/RpcServer.h"
#include "test/main.h"

using namespace courseloom;

namespace asio = boost::asio;

namespace {

const std::string Replica = "127.0.9.31";
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

Awaitable<void> ask(QueueGateway& gateway, schema::QueueCallKind kind, CallResult& end) {
  const Time before = BootClock::now();
  schema::QueueCall call;
  call.set_kind(kind);
  Result<schema::QueueAnswer> answer = co_await gateway.call(std::move(call), CallerTime);
  end.answered = static_cast<bool>(answer);
  if (!answer) end.ran = extractFailure(answer).ran;
  end.took = BootClock::now() - before;
  end.ended = true;
}

CallResult callReplicaAt(asio::io_context& io, unsigned port, schema::QueueCallKind kind) {
  schema::ClusterSettings settings;
  settings.set_election_timeout_ms(200);
  settings.set_seed_rpc_port(port);
  settings.add_seeds()->set_endpoint(Replica + ":1");
  ControlClient control(io, settings);
  QueueGateway gateway(control);
  CallResult end;
  asio::co_spawn(io, ask(gateway, kind, end), asio::detached);
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
  unsigned deadPort = 0;
  {
    PausedReplica replica(io, milliseconds(0));
    deadPort = replica.port;
  }
  io.run_for(milliseconds(50));
  const CallResult end = callReplicaAt(io, deadPort, schema::QueueSubmit);
  cr_assert_not(end.answered);
  cr_assert(end.ran == Ran::No, "nothing listened there");
  cr_assert(end.took < CallerTime * 2 / 3);
}

// Calls in flight at a replica without power must not fill the memory of the entry: further ones are rejected at once,
// and their rejection is true, since they are never sent.
Test(queue_gateway, a_call_beyond_the_limits_of_the_entry_is_rejected_and_not_sent) {
  asio::io_context io;
  PausedReplica replica(io, milliseconds(60000));
  schema::ClusterSettings settings;
  settings.set_election_timeout_ms(200);
  settings.set_seed_rpc_port(replica.port);
  settings.add_seeds()->set_endpoint(Replica + ":1");
  ControlClient control(io, settings);
  QueueGateway gateway(control, EntryLimits{4096, 4, 1U << 20U});
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
