// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// What an entry tells the caller of a submission while no replica can answer it.

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

/** \class DarkReplica
 * \brief A leader that answers nothing until an instant, as one without power does.
 */
class DarkReplica {
 public:
  DarkReplica(asio::io_context& io, Duration dark) : m_server(io), m_lightAt(BootClock::now() + dark) {
    m_server.handle<schema::QueueCall>("queue", [this](schema::QueueCall, std::string) { return answer(); });
    port = m_server.start(Replica, 0).value();
  }
  unsigned port = 0;

 private:
  Awaitable<Result<schema::QueueAnswer>> answer() {
    if (BootClock::now() < m_lightAt) co_await sleepFor(milliseconds(60000));
    schema::QueueAnswer accepted;
    accepted.set_outcome(schema::QueueAccepted);
    co_return accepted;
  }
  RpcServer m_server;
  Time m_lightAt;
};

/** How a call ended, and when. */
struct CallEnd {
  bool ended = false;
  bool answered = false;
  Ran ran = Ran::No;
  Duration took{};
};

Awaitable<void> ask(QueueGateway& gateway, schema::QueueCallKind kind, CallEnd& end) {
  const Time before = BootClock::now();
  schema::QueueCall call;
  call.set_kind(kind);
  Result<schema::QueueAnswer> answer = co_await gateway.call(std::move(call), CallerTime);
  end.answered = static_cast<bool>(answer);
  if (!answer) end.ran = extractFailure(answer).ran;
  end.took = BootClock::now() - before;
  end.ended = true;
}

CallEnd askReplicaAt(asio::io_context& io, unsigned port, schema::QueueCallKind kind) {
  schema::ClusterSettings settings;
  settings.set_election_timeout_ms(200);
  settings.set_seed_rpc_port(port);
  settings.add_seeds()->set_endpoint(Replica + ":1");
  ControlClient control(io, settings);
  QueueGateway gateway(control);
  CallEnd end;
  asio::co_spawn(io, ask(gateway, kind, end), asio::detached);
  for (int i = 0; i < 400 && !end.ended; ++i) io.run_for(milliseconds(10));
  cr_assert(end.ended);
  return end;
}

}  // namespace

// All replicas dark for 2.2 s of a caller's 3 s: told in doubt after 1.8 s, submissions were committed a moment later.
Test(queue_gateway, a_doubt_is_asked_again_until_there_is_an_answer) {
  asio::io_context io;
  DarkReplica replica(io, milliseconds(2200));
  const CallEnd end = askReplicaAt(io, replica.port, schema::QueueSubmit);
  cr_assert(end.answered, "the caller had time left when the replica came back");
}

Test(queue_gateway, a_doubt_that_stays_is_told_within_the_callers_time) {
  asio::io_context io;
  DarkReplica replica(io, milliseconds(20000));
  const CallEnd end = askReplicaAt(io, replica.port, schema::QueueCancel);
  cr_assert_not(end.answered);
  cr_assert(end.ran == Ran::Unknown);
  cr_assert(end.took < CallerTime, "its answer has to reach the caller");
}

// A question changes nothing, so the caller hears early that there is no answer and can come back.
Test(queue_gateway, a_question_is_given_up_early) {
  asio::io_context io;
  DarkReplica replica(io, milliseconds(20000));
  const CallEnd end = askReplicaAt(io, replica.port, schema::QueueState);
  cr_assert_not(end.answered);
  cr_assert(end.took < CallerTime * 2 / 3);
}

Test(queue_gateway, what_surely_did_not_run_is_given_up_early_and_said_so) {
  asio::io_context io;
  unsigned deadPort = 0;
  {
    DarkReplica replica(io, milliseconds(0));
    deadPort = replica.port;
  }
  io.run_for(milliseconds(50));
  const CallEnd end = askReplicaAt(io, deadPort, schema::QueueSubmit);
  cr_assert_not(end.answered);
  cr_assert(end.ran == Ran::No, "nothing listened there");
  cr_assert(end.took < CallerTime * 2 / 3);
}
