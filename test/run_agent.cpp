// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The agent of runs between a leader and a target that are both played by the test.

#include "Courseloom/src/Agent/RunAgentService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

#include "Courseloom/src/Transport/HttpClient.h"
#include "Courseloom/src/Transport/RpcServer.h"
#include "test/Processes.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace asio = boost::asio;

namespace {

const std::string Address = "127.0.9.1";
constexpr std::uint32_t LongGrantMs = 5000;

schema::RunOrder startOrder() {
  schema::RunOrder order;
  order.set_kind(schema::OrderStart);
  *order.mutable_task() = makeTaskId("00000000000000aa", TaskKey{0, 0, 0});
  order.set_run(1);
  order.set_target("i-1");
  return order;
}

/** \class FakeTarget
 * \brief A target that refuses every start and remembers what it was asked.
 */
class FakeTarget : public TargetPort {
 public:
  struct Record {
    unsigned starts = 0;
    unsigned stops = 0;
    std::vector<schema::EndReport> ends;  ///< what the target lists
    bool standsStill = false;             ///< lists a run that does not move
    bool silent = false;                  ///< answers neither stops nor looks
  };
  explicit FakeTarget(Record& record) : m_record(record) {}

  Awaitable<Result<TargetAnswer>> start(std::string, TargetStart, Duration) override {
    ++m_record.starts;
    TargetAnswer answer;
    answer.reason = "room";
    co_return answer;
  }
  Awaitable<Result<TargetAnswer>> stop(std::string, schema::TaskId, std::uint32_t, std::uint64_t, Duration) override {
    ++m_record.stops;
    if (m_record.silent) co_return noAnswer();
    co_return taken();
  }
  Awaitable<Result<TargetAnswer>> hold(std::string, TargetHold hold, Duration) override {
    co_await sleepFor(milliseconds(std::min<std::uint32_t>(hold.waitMs, 20)));
    if (m_record.silent) co_return noAnswer();
    TargetAnswer answer = taken();
    answer.ends = m_record.ends;
    if (m_record.standsStill) {
      schema::RunReport& row = answer.running.emplace_back();
      *row.mutable_task() = startOrder().task();
      row.set_run(1);
      row.set_percent(30);
    }
    co_return answer;
  }
  Awaitable<Result<TargetAnswer>> pace(std::string, schema::TaskId, std::uint32_t, std::uint32_t, std::uint64_t,
                                       Duration) override {
    co_return taken();
  }

 private:
  static Result<TargetAnswer> noAnswer() {
    return fail(Failure{FailureCode::TargetFailed, Ran::Unknown, "test", "", "no answer", 0});
  }
  static TargetAnswer taken() {
    TargetAnswer answer;
    answer.verdict = TargetVerdict::Taken;
    answer.clockMs = 1000;
    return answer;
  }
  Record& m_record;
};

/** \class FakeLeader
 * \brief A leader as a test plays it.
 */
class FakeLeader {
 public:
  virtual ~FakeLeader() = default;
  virtual Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) = 0;
  FakeTarget::Record* target = nullptr;
};

Awaitable<HttpResponse> answerRegistration(HttpRequest request, TargetRegistry& registry) {
  TargetAnnouncement announcement;
  announcement.report.set_id("i-1");
  announcement.report.set_draining(request.target() == "/draining");
  announcement.sequence = 1;
  announcement.clockMs = 1000;
  co_await registry.announce(announcement);
  co_return jsonResponse(200, "{}");
}

/** \class Stage
 * \brief An agent whose leader answers as the test says.
 */
class Stage {
 public:
  explicit Stage(FakeLeader& leader, const std::string& registration = "/") : m_server(io) {
    leader.target = &target;
    m_server.handle<schema::AttendRequest>(
        "attend", [&leader](schema::AttendRequest request, std::string) { return leader.attend(std::move(request)); });
    const unsigned port = m_server.start(Address, 0).value();
    m_settings.mutable_node()->set_name("agent");
    m_settings.mutable_node()->set_address(Address);
    m_settings.mutable_cluster()->set_seed_rpc_port(port);
    m_settings.mutable_cluster()->set_election_timeout_ms(400);
    m_settings.mutable_cluster()->add_seeds()->set_endpoint(Address + ":1");
    m_settings.mutable_runner()->set_order_limit_ms(500);
    m_settings.mutable_runner()->set_attend_ms(200);
    m_settings.mutable_runner()->set_look_ms(100);
    m_settings.mutable_runner()->set_max_hold_ms(6000);
    m_settings.mutable_edge()->set_control_endpoint(Address + ":" + std::to_string(port + 1));
    RunAgentEdges edges;
    edges.makePort = [this](const DaemonContext&) { return std::make_unique<FakeTarget>(target); };
    edges.answerRegistration = answerRegistration;
    m_agent = std::make_unique<RunAgentService>(DaemonContext{io, m_settings, m_metrics}, std::move(edges));
    cr_assert(static_cast<bool>(m_agent->start()), "the agent does not listen");
    asio::co_spawn(io, registerTarget(port + 1, registration), asio::detached);
  }
  void run(Duration length) { io.run_for(length); }

  asio::io_context io;
  FakeTarget::Record target;

 private:
  Awaitable<void> registerTarget(unsigned port, std::string path) {
    HttpClient client(io, Address, port, 0);
    co_await client.exchange("register", HttpRequest(boost::beast::http::verb::post, path, 11), milliseconds(1000),
                             4096);
  }

  RpcServer m_server;
  schema::Settings m_settings;
  Histograms m_metrics;
  std::unique_ptr<RunAgentService> m_agent;
};

schema::AttendReply reply(std::uint32_t grantMs) {
  schema::AttendReply answer;
  answer.set_term(1);
  answer.set_grant_ms(grantMs);
  return answer;
}

/** Orders one run, and looks at what the target was asked when the agent first reports an end. */
class RefusedLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = reply(LongGrantMs);
    if (request.ends_size() > 0 && reports++ == 0) stopsBefore = target->stops;
    const bool order = !m_ordered && request.target().id() == "i-1";
    if (order) *answer.add_orders() = startOrder();
    m_ordered = m_ordered || order;
    if (!order) co_await sleepFor(milliseconds(20));
    co_return answer;
  }
  unsigned reports = 0;
  unsigned stopsBefore = 0;

 private:
  bool m_ordered = false;
};

/** Orders one run, as again after an agent's restart, and notes how the agent says that it ended. */
class AgainLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = reply(LongGrantMs);
    for (const schema::EndReport& end : request.ends()) kinds.insert(end.kind());
    if (request.target().id() == "i-1" && kinds.empty()) {
      schema::RunOrder* order = answer.add_orders();
      *order = startOrder();
      order->set_kind(kind);
    }
    co_await sleepFor(answerAfter);
    co_return answer;
  }
  std::set<schema::RunEndKind> kinds;
  schema::RunOrderKind kind = schema::OrderStart;
  Duration answerAfter = milliseconds(20);
};

/** Orders one run in an answer that is on its way for longer than its grant; what is asked beside it is answered. */
class DelayedLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    const bool delay = !delayed && request.wait_ms() > 0 && request.target().id() == "i-1";
    if (!delay) {
      co_await sleepFor(milliseconds(20));
      co_return reply(LongGrantMs);
    }
    delayed = true;
    co_await sleepFor(milliseconds(700));
    schema::AttendReply stale = reply(300);
    *stale.add_orders() = startOrder();
    co_return stale;
  }
  bool delayed = false;
};

/** Takes reports as an idle leader does, and notes when the agent first tells of a run that stands still. */
class WatchingLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    for (const schema::RunReport& row : request.running()) longestStillMs = std::max(longestStillMs, row.still_ms());
    if (request.wait_ms() > 0) co_await sleepFor(milliseconds(700));
    co_return reply(LongGrantMs);
  }
  std::uint32_t longestStillMs = 0;
};

}  // namespace

// Found on bmm scale-2: runs on a hanging target were left there for 2 s, the time of two reports.
Test(run_agent, a_run_that_stands_still_is_told_of_at_once) {
  WatchingLeader leader;
  Stage stage(leader);
  stage.target.standsStill = true;
  stage.run(milliseconds(1000));
  cr_assert(leader.longestStillMs >= 600, "the leader was told of %u ms", leader.longestStillMs);
}

Test(run_agent, a_refused_start_is_void_at_the_target_before_it_is_reported) {
  RefusedLeader leader;
  Stage stage(leader);
  stage.run(milliseconds(1500));
  cr_assert_eq(stage.target.starts, 1);
  cr_assert(leader.reports > 0, "the refusal was not reported");
  cr_assert(leader.stopsBefore > 0, "reported as never begun, while a copy of the order could still begin it");
}

Test(run_agent, an_order_is_carried_out_only_within_the_grant_that_came_with_it) {
  DelayedLeader leader;
  Stage stage(leader);
  stage.run(milliseconds(2000));
  cr_assert(leader.delayed);
  cr_assert_eq(stage.target.starts, 0, "an order whose grant had run out was carried out");
}

Test(run_agent, a_run_that_ended_under_a_former_agent_is_not_void_because_its_target_leaves) {
  AgainLeader leader;
  Stage stage(leader, "/draining");
  schema::EndReport& end = stage.target.ends.emplace_back();
  end.set_number(1);
  *end.mutable_task() = startOrder().task();
  end.set_run(1);
  end.set_kind(schema::RunDone);
  stage.run(milliseconds(1500));
  cr_assert_eq(stage.target.starts, 0, "a leaving target gets no new work");
  cr_assert(leader.kinds.count(schema::RunDone) > 0, "its end was not reported");
  cr_assert(leader.kinds.count(schema::RunVoided) == 0, "reported as never begun, and its end is listed");
}

Test(run_agent, a_restarted_agent_does_not_know_when_a_silent_targets_hold_ends) {
  AgainLeader leader;
  leader.kind = schema::OrderStop;
  leader.answerAfter = milliseconds(400);  // the target has been found silent by then
  Stage stage(leader);
  stage.target.silent = true;
  stage.run(milliseconds(1500));
  cr_assert(leader.kinds.count(schema::RunLapsed) == 0, "its former life may have had the target hold its runs");
}
