// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Restarts of a target under the same identity. An incarnation of a target is its identity together with its start
// time.
//
// These tests guard against an agent that takes the new incarnation of a restarted target for the former one, and keeps
// what it knew of that: the number of acknowledged ends, the number of the newest heartbeat, the clock and the runs.
// The next poll then let the new incarnation discard as many ends, so that its first ends were lost before they were
// read: a task that must run once was done, the leader did not learn of it, and when the agent terminated with its
// machine the task was started again elsewhere. The runs of the former incarnation were never reported as over, so that
// neither those tasks nor their gangs were placed again. The events of such a case:
//
//     5.1517 TargetLost     target=i-6d156750ae
//     5.7567 TargetRegained target=i-6d156750ae, without a TargetRegistered in between
//     6.4042 RunStarted     run=1
//    14.902  the target ends run 1, done, and receives an acknowledgement of the end
//    41.4974 RunExpired     run=1, at the leader
//    41.7295 RunStarted     run=2, on another target
//
// The agent runs between a leader with a real table and ledger, and a target that speaks the platform's protocol.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>

#include "Courseloom/src/Transport/HttpClient.h"
#include "platform/Endpoints.h"
#include "test/AgentFixture.h"
#include "test/main.h"
#include "test/standins/RunnerTarget.h"

using namespace courseloom;
using namespace courseloom::test;

namespace asio = boost::asio;

namespace {

const std::string Address = "127.0.9.2";
constexpr std::size_t RunsPerTarget = 4;

/** \class TableLeader
 * \brief A leader with a table and a ledger. It places waiting tasks on the only target.
 */
class TableLeader : public FakeLeader {
 public:
  TableLeader() : m_ledger(options()) { m_ledger.lead(m_table, BootClock::now(), m_term); }

  /** Submits a workflow of `count` tasks. \param payload run time of each task, ms */
  void submit(const std::string& id, const std::string& payload, unsigned count = 1) {
    schema::Workflow workflow;
    workflow.set_id(id);
    workflow.set_max_attempts(3);
    workflow.mutable_spec()->set_payload(payload);
    workflow.mutable_spec()->add_steps()->set_count(count);
    m_table.submit(workflow, 1);
  }
  bool isDone(const std::string& id) const { return m_table.find(id)->record.phase() == schema::WorkflowCompleted; }
  /** \returns whether the log holds an active run of the first task. */
  bool hasActiveRun(const std::string& id) const {
    const TaskState* task = m_table.find(id)->task({0, 0, 0});
    return task != nullptr && !task->active.empty();
  }
  /** Replaces the leader by another replica, which knows only the committed state. */
  void replaceLeader() {
    m_ledger = RunLedger(options());
    m_ledger.lead(m_table, BootClock::now(), ++m_term);
  }

  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    const Time now = BootClock::now();
    if (m_ledger.isSuperseded(request)) co_return fail(Failure{FailureCode::Fenced, Ran::No, "test", "", "", 0});
    schema::AttendReply answer;
    answer.set_term(m_term);
    commit(m_ledger.receiveReport(request, now), {});
    if (!m_ledger.isCurrent(request)) co_return answer;
    recordTarget(request.target());
    commit(m_ledger.expire(now), {});
    place(now);
    for (schema::RunOrder& order : m_ledger.issueOrders("agent", m_table, now)) *answer.add_orders() = std::move(order);
    answer.set_grant_ms(static_cast<std::uint32_t>(toMilliseconds(m_ledger.grant("agent", now))));
    answer.set_ends_target(request.target().id());
    for (const schema::EndReport& row : request.ends()) {
      answer.set_ends_taken(std::max<std::uint64_t>(answer.ends_taken(), row.number()));
    }
    const std::uint64_t term = m_term;
    co_await sleepFor(milliseconds(20));
    if (term != m_term) co_return fail(Failure{FailureCode::NoLeader, Ran::No, "test", "", "", 0});
    co_return answer;
  }

  std::vector<std::string> incarnations;  ///< incarnations of the target in the order of their reports
  bool draining = false;                  ///< whether the target was last reported as draining

 private:
  static RunLedgerOptions options() {
    RunLedgerOptions options;
    options.grant = milliseconds(1500);
    options.slack = milliseconds(100);
    options.retryOrdersAfter = milliseconds(250);
    return options;
  }
  void recordTarget(const schema::TargetReport& report) {
    if (report.id().empty()) return;
    if (incarnations.empty() || incarnations.back() != report.id()) incarnations.push_back(report.id());
    draining = report.draining();
  }
  void place(Time now) {
    schema::RecordRuns runs;
    if (!m_ledger.open("agent", now)) return;
    std::size_t load = m_ledger.runs().size();
    for (const std::string& id : m_table.open()) {
      const WorkflowState& workflow = *m_table.find(id);
      for (std::uint32_t index = 0; index < workflow.step(0).count() && load < RunsPerTarget; ++index) {
        const TaskState* task = workflow.task({0, 0, index});
        if (task != nullptr && (task->done || !task->active.empty())) continue;
        schema::RunStart* row = runs.add_starts();
        *row->mutable_task() = makeTaskId(id, {0, 0, index});
        row->mutable_run()->set_number(workflow.nextRun({0, 0, index}));
        row->mutable_run()->set_target(m_ledger.targets().at("agent").report.id());
        row->mutable_run()->set_agent("agent");
        ++load;
      }
    }
    if (runs.starts_size() > 0) record(runs);
  }
  void commit(std::vector<schema::RunEnd> ends, std::vector<schema::RunStart> starts) {
    schema::RecordRuns runs;
    for (schema::RunEnd& end : ends) *runs.add_ends() = std::move(end);
    for (schema::RunStart& start : starts) *runs.add_starts() = std::move(start);
    if (runs.ends_size() + runs.starts_size() > 0) record(runs);
  }
  void record(const schema::RecordRuns& runs) {
    m_table.record(runs, 2);
    m_ledger.apply(m_table.consumeRunChanges(), BootClock::now());
  }

  WorkflowTable m_table;
  RunLedger m_ledger;
  std::uint64_t m_term = 1;
};

/** \class RestartFixture
 * \brief An agent, its target and its leader on one thread.
 */
class RestartFixture {
 public:
  /** \param statesStartTime whether the target states the start time of its incarnation */
  explicit RestartFixture(bool statesStartTime = true) : m_server(io) {
    m_server.handle<schema::AttendRequest>(
        "attend", [this](schema::AttendRequest request, std::string) { return leader.attend(std::move(request)); });
    const unsigned port = m_server.start(Address, 0).value();
    m_registrationPort = port + 1;
    RunnerOptions options;
    options.address = Address;
    options.agent = Address + ":" + std::to_string(m_registrationPort);
    options.statesStartTime = statesStartTime;
    m_target = std::make_unique<RunnerTarget>(io, options);
    const unsigned targetPort = m_target->start();
    cr_assert(targetPort != 0, "the target cannot listen on its port");
    m_settings.mutable_node()->set_name("agent");
    m_settings.mutable_node()->set_address(Address);
    m_settings.mutable_cluster()->set_seed_rpc_port(port);
    m_settings.mutable_cluster()->set_election_timeout_ms(400);
    m_settings.mutable_cluster()->add_seeds()->set_endpoint(Address + ":1");
    m_settings.mutable_runner()->set_order_limit_ms(300);
    m_settings.mutable_runner()->set_attend_ms(200);
    m_settings.mutable_runner()->set_look_ms(100);
    m_settings.mutable_runner()->set_max_hold_ms(6000);
    m_settings.mutable_runner()->set_target_endpoint(Address + ":" + std::to_string(targetPort));
    m_settings.mutable_edge()->set_control_endpoint(options.agent);
    RunAgentProtocol protocol{platform::makeTargetPort, platform::answerRegistration};
    m_agent = std::make_unique<RunAgentService>(DaemonContext{io, m_settings, m_metrics}, std::move(protocol));
    cr_assert(static_cast<bool>(m_agent->start()), "the agent cannot listen on its ports");
    waitFor([this] { return !leader.incarnations.empty(); });
    cr_assert_not(leader.incarnations.empty(), "the target was not found");
  }

  void run(std::int64_t ms) { io.run_for(milliseconds(ms)); }
  /** Runs until a condition holds, for at most 400 steps of 10 ms. \returns whether it holds */
  bool waitFor(const std::function<bool()>& condition) {
    for (int i = 0; i < 400 && !condition(); ++i) run(10);
    return condition();
  }
  bool waitForDone(const std::string& id) {
    return waitFor([this, &id] { return leader.isDone(id); });
  }
  /** Sends a control call of the test to the target. \returns the body of the answer, `{}` if there is none */
  std::string callTarget(const std::string& path) {
    std::optional<HttpResponse> answer;
    asio::co_spawn(io, answerCall(path, answer), asio::detached);
    waitFor([&answer] { return answer.has_value(); });
    return answer ? answer->body() : std::string("{}");
  }
  /** \returns how often a task was started. */
  std::int64_t starts(const std::string& task) {
    const boost::json::object counts = boost::json::parse(callTarget("/starts")).as_object();
    const boost::json::object& starts = counts.at("starts").as_object();
    return starts.contains(task) ? starts.at(task).to_number<std::int64_t>() : 0;
  }
  /** Sends a registration message of the target to the agent. \returns the status of the answer, or 0 without one */
  unsigned sendToAgent(const std::string& path, const std::string& body) {
    std::optional<unsigned> status;
    asio::co_spawn(io, sendMessage(path, body, status), asio::detached);
    waitFor([&status] { return status.has_value(); });
    return status.value_or(0);
  }
  /** \returns the identity of the target's present incarnation. */
  std::string identity() const { return m_target->id(); }

  asio::io_context io;
  TableLeader leader;

 private:
  Awaitable<void> answerCall(std::string path, std::optional<HttpResponse>& answer) {
    answer = co_await m_target->answer(HttpRequest(boost::beast::http::verb::post, path, 11));
  }
  Awaitable<void> sendMessage(std::string path, std::string body, std::optional<unsigned>& status) {
    HttpClient client(io, Address, m_registrationPort, 0);
    HttpRequest request(boost::beast::http::verb::post, path, 11);
    request.body() = std::move(body);
    Result<HttpResponse> response = co_await client.exchange("word", request, milliseconds(1000), 4096);
    status = response ? response->result_int() : 0;
  }

  RpcServer m_server;
  schema::Settings m_settings;
  Histograms m_metrics;
  unsigned m_registrationPort = 0;
  std::unique_ptr<RunnerTarget> m_target;
  std::unique_ptr<RunAgentService> m_agent;
};

}  // namespace

Test(run_agent_target_restart, runs_of_a_former_incarnation_are_started_again) {
  RestartFixture fixture;
  fixture.leader.submit("a", "600", 3);
  cr_assert(fixture.waitFor([&] { return fixture.starts("a.0.0.2") == 1; }));
  fixture.callTarget("/crash?same=1");
  cr_assert(fixture.waitForDone("a"), "the leader still counts the runs that the crash ended as running");
  cr_assert_eq(fixture.starts("a.0.0.2"), 2);
}

Test(run_agent_target_restart, ends_of_a_new_incarnation_are_reported_although_their_numbers_were_acknowledged_before) {
  RestartFixture fixture;
  fixture.leader.submit("a", "30", 4);
  cr_assert(fixture.waitForDone("a"));
  fixture.run(300);
  fixture.callTarget("/crash?same=1");
  fixture.run(600);
  fixture.leader.submit("b", "30", 2);
  cr_assert(fixture.waitForDone("b"), "the target discarded ends that were not read");
  cr_assert_eq(fixture.starts("b.0.0.0"), 1);
}

Test(run_agent_target_restart, a_run_whose_end_was_not_reported_before_the_crash_is_started_again) {
  RestartFixture fixture;
  fixture.leader.submit("a", "30", 4);
  cr_assert(fixture.waitForDone("a"));
  fixture.leader.submit("b", "100");
  cr_assert(fixture.waitFor([&] { return fixture.starts("b.0.0.0") == 1; }));
  fixture.callTarget("/mute?ms=300");  // polls get no list of ends
  fixture.run(200);
  fixture.callTarget("/crash?same=1");
  cr_assert(fixture.waitForDone("b"),
            "the end was never reported and its incarnation is over, but the run was not started again");
}

Test(run_agent_target_restart, heartbeats_of_a_new_incarnation_are_accepted_although_their_numbers_are_lower) {
  RestartFixture fixture;
  fixture.run(1500);
  fixture.callTarget("/crash?same=1");
  fixture.run(200);
  fixture.callTarget("/drain");
  cr_assert(fixture.waitFor([&] { return fixture.leader.draining; }), "the target is draining but would get new runs");
  cr_assert_eq(fixture.leader.incarnations.size(), 2);
}

Test(run_agent_target_restart, late_heartbeats_of_a_former_incarnation_change_nothing) {
  RestartFixture fixture;
  fixture.run(500);
  fixture.callTarget("/crash?same=1&late=250&times=4");
  fixture.run(300);
  fixture.leader.submit("a", "200", 2);
  cr_assert(fixture.waitForDone("a"));
  fixture.callTarget("/former?times=4");
  fixture.leader.submit("b", "200", 2);
  cr_assert(fixture.waitForDone("b"));
  cr_assert_eq(fixture.leader.incarnations.size(), 2, "%zu incarnations were reported",
               fixture.leader.incarnations.size());
  cr_assert_eq(fixture.starts("a.0.0.1") + fixture.starts("b.0.0.1"), 2);
}

Test(run_agent_target_restart, a_late_deregistration_of_a_former_incarnation_does_not_close_the_present_one) {
  RestartFixture fixture;
  const std::string startTime = fixture.leader.incarnations[0].substr(fixture.leader.incarnations[0].find('@') + 1);
  fixture.callTarget("/crash?same=1");
  cr_assert(fixture.waitFor([&] { return fixture.leader.incarnations.size() == 2; }));
  const std::string path = "/-/Instances.Deregister/" + fixture.identity();
  cr_assert_eq(fixture.sendToAgent(path, R"({"born":)" + startTime + "}"), 200);
  cr_assert_eq(fixture.sendToAgent(path, ""), 200);
  cr_assert_eq(fixture.sendToAgent(path, R"({"born":"then"})"), 400);
  fixture.leader.submit("a", "30");
  cr_assert(fixture.waitForDone("a"), "the present incarnation gets no starts");
}

Test(run_agent_target_restart, two_restarts_of_a_target_within_a_second_lose_no_ends) {
  RestartFixture fixture;
  fixture.leader.submit("a", "30", 4);
  cr_assert(fixture.waitForDone("a"));
  fixture.leader.submit("b", "500", 2);
  cr_assert(fixture.waitFor([&] { return fixture.starts("b.0.0.1") == 1; }));
  fixture.callTarget("/crash?same=1");
  fixture.run(300);
  fixture.callTarget("/crash?same=1&late=100&times=2");
  cr_assert(fixture.waitForDone("b"));
  fixture.leader.submit("c", "30", 4);
  cr_assert(fixture.waitForDone("c"), "ends of the third incarnation were not reported");
  cr_assert_eq(fixture.starts("c.0.0.3"), 1);
}

Test(run_agent_target_restart, a_change_of_leader_at_the_crash_leaves_no_run_behind) {
  RestartFixture fixture;
  fixture.leader.submit("a", "30", 4);
  cr_assert(fixture.waitForDone("a"));
  fixture.leader.submit("b", "400", 2);
  cr_assert(fixture.waitFor([&] { return fixture.starts("b.0.0.1") == 1; }));
  fixture.callTarget("/crash?same=1");
  fixture.leader.replaceLeader();
  cr_assert(fixture.waitForDone("b"), "the new leader counts the runs that the crash ended as running");
  fixture.leader.submit("c", "30", 4);
  cr_assert(fixture.waitForDone("c"));
  cr_assert_eq(fixture.starts("c.0.0.3"), 1);
}

// The order gets no answer and its run is stopped, so the task is started again and done. After the crash the delayed
// order reaches an incarnation that knows neither the stop nor the end, and whose clock is before the order's deadline.
Test(run_agent_target_restart, an_order_to_a_former_incarnation_starts_nothing_in_the_next) {
  RestartFixture fixture;
  fixture.callTarget("/late?ms=150&of=run-start&after=1500");
  fixture.leader.submit("a", "30");
  cr_assert(fixture.waitForDone("a"));
  fixture.run(100);
  fixture.callTarget("/crash?same=1");
  fixture.run(2000);
  cr_assert_eq(fixture.starts("a.0.0.0"), 1, "the task was started again after its end was acknowledged");
}

// Guards against two concurrent runs of a task. A start order that is sent just after a restart reaches the new
// incarnation, which has not announced itself yet and carries out the start late. By the clock of the former
// incarnation the hold has ended, and the leader places the next run once the run is reported as lapsed. By the clock
// of the new one the order is not late, and without a newer token the first run would begin beside the next one.
Test(run_agent_target_restart, a_run_lapses_only_when_the_next_incarnation_cannot_start_it_any_more) {
  RestartFixture fixture;
  fixture.run(4500);  // a new agent assumes that holds of its former incarnation last up to 6 s
  fixture.callTarget("/hush?ms=5500");
  fixture.callTarget("/refuse?ms=4000&of=run-stop");
  fixture.callTarget("/late?ms=400&of=run-start&after=2800");
  fixture.callTarget("/crash?same=1");
  fixture.leader.submit("a", "200");
  cr_assert(fixture.waitFor([&] { return fixture.leader.hasActiveRun("a"); }), "no run was placed");
  cr_assert(fixture.waitFor([&] { return !fixture.leader.hasActiveRun("a"); }), "the run did not lapse");
  fixture.run(1500);
  cr_assert_eq(fixture.starts("a.0.0.0"), 0, "the run began after the leader had counted it as lapsed");
  cr_assert(fixture.waitForDone("a"));
  cr_assert_eq(fixture.starts("a.0.0.0"), 1);
}

// The successor has begun the run and lists it, so the run must not lapse by the former incarnation's clock.
Test(run_agent_target_restart, a_run_that_the_next_incarnation_has_started_does_not_lapse) {
  RestartFixture fixture;
  fixture.run(4500);
  fixture.callTarget("/hush?ms=3000");
  fixture.callTarget("/crash?same=1");
  fixture.leader.submit("a", "2500");
  cr_assert(fixture.waitFor([&] { return fixture.leader.hasActiveRun("a"); }), "no run was placed");
  fixture.run(2300);
  cr_assert_eq(fixture.starts("a.0.0.0"), 1);
  cr_assert(fixture.leader.hasActiveRun("a"), "the run lapsed while the next incarnation was running it");
  cr_assert(fixture.waitForDone("a"));
}

Test(run_agent_target_restart, a_message_without_a_valid_start_time_changes_nothing) {
  RestartFixture fixture;
  const std::string path = "/-/Instances.Heartbeat/" + fixture.identity();
  const std::string heartbeat = R"({"service":"s","state":"draining","seq":1000000,"clock_ms":5)";
  fixture.sendToAgent(path, heartbeat + "}");
  cr_assert_eq(fixture.sendToAgent(path, heartbeat + R"(,"born":"1780703512345"})"), 400);
  cr_assert_eq(fixture.sendToAgent(path, heartbeat + R"(,"born":1780703512345.5})"), 400);
  fixture.run(800);
  cr_assert_not(fixture.leader.draining, "a heartbeat of another sender was accepted");
  cr_assert_eq(fixture.leader.incarnations.size(), 1);
  fixture.leader.submit("a", "30");
  cr_assert(fixture.waitForDone("a"));
}

Test(run_agent_target_restart, a_target_that_states_no_start_time_is_known_by_its_identity) {
  RestartFixture fixture(false);
  fixture.leader.submit("a", "100", 2);
  cr_assert(fixture.waitForDone("a"));
  fixture.callTarget("/crash");
  fixture.leader.submit("b", "100", 2);
  cr_assert(fixture.waitForDone("b"));
  cr_assert_eq(fixture.leader.incarnations.size(), 2);
}
