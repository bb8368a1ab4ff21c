// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Memory of idle connections, and which connections are kept.

#include <malloc.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>
#include <vector>

#include "Courseloom/src/Membership/ControlClient.h"
#include "Courseloom/src/Transport/RpcServer.h"
#include "generated/rpc.pb.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

const std::string Address = "127.0.9.41";

schema::AttendReply inTerm(std::uint64_t term) {
  schema::AttendReply reply;
  reply.set_term(term);
  return reply;
}

/** A replica that leads, or answers that it does not. */
struct FakeReplica {
  FakeReplica(boost::asio::io_context& io, const std::string& address, unsigned requestedPort, bool leads)
      : server(io) {
    server.handle<schema::AttendRequest>(
        "attend", [this, leads](schema::AttendRequest, std::string) -> Awaitable<Result<schema::AttendReply>> {
          ++requests;
          if (!leads) co_return fail(Failure{FailureCode::NoLeader, Ran::No, "attend", "", "not the leader", 0});
          co_return inTerm(1);
        });
    port = *server.start(address, requestedPort);
  }
  RpcServer server;
  unsigned port = 0;
  unsigned requests = 0;
};

Awaitable<void> callOnce(std::shared_ptr<RpcClient> client, std::size_t& answered) {
  Result<schema::AttendReply> reply = co_await client->call<schema::AttendReply>("attend", schema::AttendRequest(),
                                                                                 BootClock::now() + milliseconds(5000));
  if (reply) ++answered;
}

Awaitable<void> reportTwice(ControlClient& client, unsigned& answered) {
  while (answered < 2) {
    Result<schema::AttendReply> reply =
        co_await client.attend(schema::AttendRequest(), BootClock::now() + milliseconds(1000));
    if (reply) ++answered;
  }
}

std::size_t heldBytes() { return mallinfo2().uordblks; }

}  // namespace

// Guards against a read buffer of 64 KiB for the whole lifetime of each connection.
Test(idle_connections, idle_connections_hold_no_read_buffer) {
  constexpr std::size_t Connections = 100;
  constexpr std::size_t ReadBytes = 64U * 1024;
  boost::asio::io_context io;
  FakeReplica replica(io, Address, 0, true);
  const std::size_t before = heldBytes();
  std::vector<std::shared_ptr<RpcClient>> clients;
  std::size_t answered = 0;
  for (std::size_t i = 0; i < Connections; ++i) {
    clients.push_back(std::make_shared<RpcClient>(io, Address, replica.port));
    boost::asio::co_spawn(io, callOnce(clients.back(), answered), boost::asio::detached);
  }
  for (int turn = 0; turn < 100 && answered < Connections; ++turn) io.run_for(milliseconds(50));
  cr_assert_eq(answered, Connections);
  const std::size_t held = (heldBytes() - before) / Connections;
  cr_assert_lt(held, 2 * ReadBytes, "both ends of a connection hold %zu bytes", held);
}

// Guards against replicas that do not lead keeping a connection to each node that had requests them for the leader.
Test(idle_connections, the_connection_to_a_follower_is_closed_once_the_leader_answers) {
  boost::asio::io_context io;
  FakeReplica follower(io, "127.0.9.42", 0, false);
  FakeReplica leader(io, "127.0.9.43", follower.port, true);
  schema::ClusterSettings cluster;
  cluster.set_election_timeout_ms(400);
  cluster.set_seed_rpc_port(follower.port);
  for (const char* address : {"127.0.9.42", "127.0.9.43"}) cluster.add_seeds()->set_endpoint(address);
  ControlClient client(io, cluster);
  unsigned answered = 0;
  boost::asio::co_spawn(io, reportTwice(client, answered), boost::asio::detached);
  for (int turn = 0; turn < 100 && answered < 2; ++turn) io.run_for(milliseconds(20));
  io.run_for(milliseconds(100));
  cr_assert_eq(answered, 2);
  cr_assert_eq(follower.requests, 1);
  cr_assert_eq(follower.server.connections(), 0, "the follower keeps an unused connection");
  cr_assert_eq(leader.server.connections(), 1);
}
