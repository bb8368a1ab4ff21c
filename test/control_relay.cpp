// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// A node that cannot reach control itself: its calls go through a relay, and directly again once a replica answers.

#include "Courseloom/src/Membership/ControlRelay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>

#include "Courseloom/src/Runtime/OneShot.h"
#include "test/main.h"

using namespace courseloom;

namespace asio = boost::asio;

namespace {

const std::string CutReplica = "127.0.9.21";
const std::string Replica = "127.0.9.22";
const std::string RelayNode = "127.0.9.23";

schema::ClusterSettings cluster(const std::string& seed, unsigned port) {
  schema::ClusterSettings settings;
  settings.set_election_timeout_ms(200);
  settings.set_seed_rpc_port(port);
  settings.add_seeds()->set_endpoint(seed + ":1");
  return settings;
}

/** \class FakeReplica
 * \brief A leader that counts reports. It can be silent, like a replica behind a network partition.
 */
class FakeReplica {
 public:
  FakeReplica(asio::io_context& io, const std::string& address, unsigned requestedPort) : m_server(io) {
    m_server.handle<schema::AttendRequest>("attend", [this](schema::AttendRequest request, std::string) {
      return answer<schema::AttendReply>(request.relayed());
    });
    m_server.handle<schema::Empty>("ping", [this](schema::Empty, std::string) { return answer<schema::Empty>(false); });
    port = m_server.start(address, requestedPort).value();
  }
  unsigned port = 0;
  bool silent = false;
  bool leads = true;
  std::string namedLeader;  ///< the peer that it names as leader when it does not lead
  unsigned direct = 0;
  unsigned relayed = 0;

 private:
  template <class Reply>
  Awaitable<Result<Reply>> answer(bool throughRelay) {
    if (silent) co_await sleepFor(milliseconds(60000));
    if (!leads) co_return fail(Failure{FailureCode::NoLeader, Ran::No, "test", namedLeader, "", 0});
    ++(throughRelay ? relayed : direct);
    co_return Reply();
  }
  RpcServer m_server;
};

/** Reports every 20 ms without end, and counts the answers. */
Awaitable<void> reportRepeatedly(ControlClient& client, unsigned& answered) {
  while (true) {
    Result<schema::AttendReply> reply =
        co_await client.attend(schema::AttendRequest(), BootClock::now() + milliseconds(1000));
    answered += reply ? 1 : 0;
    co_await sleepFor(milliseconds(20));
  }
}

/** \class Stage
 * \brief A node that can be cut off from its replica, and a relay with a replica of its own that stays reachable.
 */
class Stage {
 public:
  Stage()
      : cut(io, CutReplica, 0),
        reached(io, Replica, cut.port),
        relay(io, cluster(Replica, cut.port), [this] { return relayReachesControl; }),
        client(io, cluster(CutReplica, cut.port)) {
    schema::NodeSettings node;
    node.set_address(RelayNode);
    node.set_rpc_port(cut.port);
    cr_assert(static_cast<bool>(relay.start(node)));
    client.setRelays({relay.number()});
    asio::co_spawn(io, reportRepeatedly(client, answered), asio::detached);
  }
  void run(Duration length) { io.run_for(length); }

  asio::io_context io;
  FakeReplica cut;
  FakeReplica reached;
  ControlRelay relay;
  ControlClient client;
  unsigned answered = 0;
  bool relayReachesControl = true;  ///< whether the relay itself reaches control
};

}  // namespace

// A node that is cut off only from the replicas still reaches other nodes; without relays its runs would be lost.
Test(control_relay, a_node_that_is_cut_off_is_served_through_a_relay) {
  Stage stage;
  stage.cut.silent = true;
  stage.run(milliseconds(800));
  cr_assert(stage.reached.relayed > 5, "%u reports came through", stage.reached.relayed);
  cr_assert(stage.client.relayed());
  cr_assert_eq(stage.reached.direct, 0, "a relayed report has to be marked as relayed");
}

Test(control_relay, a_node_calls_directly_again_when_a_replica_answers) {
  Stage stage;
  stage.cut.silent = true;
  stage.run(milliseconds(600));
  cr_assert(stage.client.relayed());
  stage.cut.silent = false;
  stage.run(milliseconds(1200));
  cr_assert_not(stage.client.relayed());
  cr_assert(stage.cut.direct > 0);
}

Test(control_relay, without_a_partition_no_relay_is_used) {
  Stage stage;
  stage.run(milliseconds(400));
  cr_assert(stage.answered > 5);
  cr_assert_eq(stage.reached.relayed, 0);
}

Test(control_relay, a_node_leaves_a_relay_that_finds_no_leader) {
  Stage stage;
  stage.cut.silent = true;
  stage.reached.leads = false;
  stage.run(milliseconds(600));
  cr_assert_eq(stage.answered, 0);
  stage.cut.silent = false;
  stage.run(milliseconds(800));
  cr_assert(stage.answered > 0, "the replicas are tried again");
}

// While all replicas are unreachable, a relay that lets calls time out would turn calls that certainly did not run into
// calls with an unknown outcome.
Test(control_relay, a_relay_that_is_cut_off_itself_refuses_at_once) {
  Stage stage;
  stage.cut.silent = true;
  stage.relayReachesControl = false;
  stage.run(milliseconds(600));
  cr_assert_eq(stage.answered, 0);
  cr_assert_eq(stage.reached.relayed, 0);
  stage.relayReachesControl = true;
  stage.run(milliseconds(800));
  cr_assert(stage.answered > 0);
}

// After a reload the relay has to find control through the changed seeds, also if no member that it knew is left.
Test(control_relay, a_relay_applies_the_seeds_of_changed_settings) {
  Stage stage;
  asio::io_context& io = stage.io;
  ControlRelay stale(io, cluster(CutReplica, stage.cut.port), [] { return true; });
  schema::NodeSettings node;
  node.set_address("127.0.9.24");
  node.set_rpc_port(stage.cut.port);
  cr_assert(static_cast<bool>(stale.start(node)));
  stage.cut.silent = true;
  stage.client.setRelays({stale.number()});
  stage.run(milliseconds(800));
  cr_assert_eq(stage.reached.relayed, 0, "the stale relay cannot know the other replica yet");
  stale.setSeeds(cluster(Replica, stage.cut.port));
  stage.run(milliseconds(1500));
  cr_assert(stage.reached.relayed > 5, "%u reports came through", stage.reached.relayed);
}

// Replicas that are cut off keep naming their former leader. Agents that follow them every time would find the new
// leader only when the partition ends.
Test(control_relay, a_named_replica_that_does_not_lead_is_not_followed_again) {
  asio::io_context io;
  FakeReplica former(io, "127.0.9.24", 0);
  FakeReplica follower(io, "127.0.9.25", former.port);
  FakeReplica leader(io, "127.0.9.26", former.port);
  former.leads = false;
  follower.leads = false;
  follower.namedLeader = replicaPeer(replicaIdOf("127.0.9.24"));
  schema::ClusterSettings settings = cluster("127.0.9.24", former.port);
  settings.add_seeds()->set_endpoint("127.0.9.25:1");
  settings.add_seeds()->set_endpoint("127.0.9.26:1");
  ControlClient client(io, settings);
  unsigned answered = 0;
  asio::co_spawn(io, reportRepeatedly(client, answered), asio::detached);
  io.run_for(milliseconds(500));
  cr_assert(answered > 0, "the leader was never tried");
}

namespace {

/** Numbers of calls to a relay by outcome; calls that succeeded are not counted. */
struct CallCounts {
  unsigned refused = 0;
  unsigned doubtful = 0;
};

/** Reports through a relay once, on its own connection. */
Awaitable<void> callRelay(asio::io_context& io, unsigned port, CallCounts& counts) {
  const auto client = std::make_shared<RpcClient>(io, "127.0.9.28", port);
  Result<schema::AttendReply> reply = co_await client->call<schema::AttendReply>("attend", schema::AttendRequest(),
                                                                                 BootClock::now() + milliseconds(2000));
  if (reply) co_return;
  const Failure failure = extractFailure(reply);
  if (failure.code == FailureCode::NoLeader && failure.ran == Ran::No) ++counts.refused;
  if (failure.ran == Ran::Unknown) ++counts.doubtful;
}

}  // namespace

// Without a limit, all nodes that were cut off used one relay, which cost it 34 MB and 425 descriptors. A call that is
// refused at once can go to another relay.
Test(control_relay, a_relay_at_its_limit_of_calls_refuses_at_once) {
  asio::io_context io;
  FakeReplica replica(io, "127.0.9.27", 0);
  replica.silent = true;
  ControlRelay relay(io, cluster("127.0.9.27", replica.port), [] { return true; });
  schema::NodeSettings node;
  node.set_address("127.0.9.28");
  node.set_rpc_port(replica.port);
  cr_assert(static_cast<bool>(relay.start(node)));
  CallCounts counts;
  for (int i = 0; i < 50; ++i) asio::co_spawn(io, callRelay(io, replica.port, counts), asio::detached);
  io.run_for(milliseconds(250));
  cr_assert_eq(counts.refused, 50 - 32, "%u were refused at once", counts.refused);
  cr_assert_eq(counts.doubtful, 0);
}
