// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The freshness lease of a node while the control replicas temporarily have no leader.

#include "Courseloom/src/Membership/ViewFollower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/Transport/RpcServer.h"
#include "test/main.h"

using namespace courseloom;

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t LeaseMs = 3000;

/** \class FakeLeader
 * \brief Delays the answer to a heartbeat for the requested wait time. It can refuse to lead, and can become silent.
 */
class FakeLeader {
 public:
  explicit FakeLeader(asio::io_context& io) : m_server(io) {
    m_server.handle<schema::WatchRequest>(
        "watch", [this](schema::WatchRequest request, std::string) { return answer(std::move(request)); });
    port = m_server.start("127.0.0.1", 0).value();
  }
  unsigned port = 0;
  bool leads = true;
  unsigned answers = 1000;                     ///< number of answers left; at 0 it is silent
  std::vector<schema::WatchRequest> requests;  ///< requests received while it leads

 private:
  Awaitable<Result<schema::WatchReply>> answer(schema::WatchRequest request) {
    if (answers == 0) co_await sleepFor(milliseconds(60000));
    if (!leads) co_return fail(Failure{FailureCode::NoLeader, Ran::No, "watch", "", "", 0});
    --answers;
    requests.push_back(request);
    co_await sleepFor(milliseconds(request.wait_ms()));
    schema::WatchReply reply;
    reply.set_term(1);
    co_return reply;
  }
  RpcServer m_server;
};

schema::ClusterSettings cluster(unsigned port) {
  schema::ClusterSettings settings;
  settings.set_election_timeout_ms(400);
  settings.set_freshness_lease_ms(LeaseMs);
  schema::ControlMember* member = settings.add_members();
  member->set_id(1);
  member->set_address("127.0.0.1");
  member->set_rpc_port(port);
  return settings;
}

/** \class Stage
 * \brief A node that has followed a leader; the leader then refuses requests for most of the node's lease.
 */
class Stage {
 public:
  Stage()
      : leader(io),
        follower(
            io, cluster(leader.port),
            [this] {
              schema::NodeStatus status;
              status.set_leaving(leaving);
              return status;
            },
            ViewBuilder([](const std::string&, unsigned) { return std::shared_ptr<RpcClient>(); })) {
    follower.start();
    io.run_for(milliseconds(300));
    leader.leads = false;
    leader.requests.clear();
    io.run_for(milliseconds(2200));
  }
  asio::io_context io;
  FakeLeader leader;
  ViewFollower follower;
  bool leaving = false;
};

}  // namespace

Test(view_follower, a_node_whose_lease_runs_out_asks_for_an_immediate_answer) {
  Stage stage;
  stage.leader.leads = true;
  stage.io.run_for(milliseconds(400));
  cr_assert(!stage.leader.requests.empty(), "the node has not retried");
  cr_assert_eq(stage.leader.requests.front().wait_ms(), 0, "it asked for a wait of %u ms",
               stage.leader.requests.front().wait_ms());
}

Test(view_follower, a_lease_counts_from_the_request_that_was_answered) {
  Stage stage;
  stage.leader.answers = 1;
  stage.leader.leads = true;
  stage.io.run_for(milliseconds(1900));
  cr_assert(stage.follower.fresh(), "the lease counts from a request that was refused");
}

Test(view_follower, a_retried_request_reports_the_present_state) {
  Stage stage;
  stage.leaving = true;
  stage.io.run_for(milliseconds(100));
  stage.leader.leads = true;
  stage.io.run_for(milliseconds(400));
  cr_assert(!stage.leader.requests.empty(), "the node has not retried");
  cr_assert(stage.leader.requests.front().node().leaving(), "an outdated state of the node was reported");
}
