// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// A target's process crashed and was started again under the identity that it had. Its agent took the new life for the
// former one that answers again, and went on with what it knew of that: how many ends it had taken note of, the number
// of the newest heartbeat, the clock, the runs. The next look told the new life to forget as many ends, so that the
// first ends of the new life were gone before anyone had read them: a task that must run once was done, the leader
// never heard of it, and when the agent left with its machine the task was started again elsewhere. What had run in the
// former life was never called over, so that neither those tasks nor their gangs were placed again. The agent's lines:
//
//     5.1517 TargetLost     target=i-6d156750ae
//     5.7567 TargetRegained target=i-6d156750ae, and no TargetRegistered in between
//     6.4042 RunStarted     run=1
//    14.902  the target ends run 1, done, and is told that this is taken note of
//    41.4974 RunExpired     run=1, at the leader
//    41.7295 RunStarted     run=2, on another target
//
// A life of a target is its identity together with the time at which it began. Here an agent stands between a leader
// that keeps a real table and ledger, and a target that speaks the platform's protocol.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>

#include "Courseloom/src/Transport/HttpClient.h"
#include "platform/Endpoints.h"
#include "test/AgentStage.h"
#include "test/main.h"
#include "test/standins/RunnerTarget.h"

using namespace courseloom;
using namespace courseloom::test;

namespace asio = boost::asio;

namespace {

const std::string Address = "127.0.9.2";
constexpr std::size_t RoomOfTarget = 4;

/** \class TableLeader
 * \brief A leader with a table and a ledger, that places each waiting task on the one target there is.
 */
class TableLeader : public FakeLeader {
 public:
  TableLeader() : m_ledger(options()) { m_ledger.lead(m_table, BootClock::now(), m_term); }

  /** Hands in tasks that take as long as the payload says. */
  void submit(const std::string& id, const std::string& payload, unsigned count = 1) {
    schema::Workflow workflow;
    workflow.set_id(id);
    workflow.set_max_attempts(3);
    workflow.mutable_spec()->set_payload(payload);
    workflow.mutable_spec()->add_steps()->set_count(count);
    m_table.submit(workflow, 1);
  }
  bool done(const std::string& id) const { return m_table.find(id)->record.phase() == schema::WorkflowCompleted; }
  /** Another replica leads from now on, and knows only what the log holds. */
  void loseLead() {
    m_ledger = RunLedger(options());
    m_ledger.lead(m_table, BootClock::now(), ++m_term);
  }

  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    const Time now = BootClock::now();
    if (m_ledger.isOvertaken(request)) co_return fail(Failure{FailureCode::Fenced, Ran::No, "test", "", "", 0});
    schema::AttendReply answer;
    answer.set_term(m_term);
    commit(m_ledger.receiveReport(request, now), {});
    if (!m_ledger.isCurrent(request)) co_return answer;
    note(request.target());
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

  std::vector<std::string> lives;  ///< of the target, as they were told, one after another
  bool draining = false;           ///< as the target was last told of

 private:
  static RunLedgerOptions options() {
    RunLedgerOptions options;
    options.grant = milliseconds(1500);
    options.slack = milliseconds(100);
    options.retryOrdersAfter = milliseconds(250);
    return options;
  }
  void note(const schema::TargetReport& report) {
    if (report.id().empty()) return;
    if (lives.empty() || lives.back() != report.id()) lives.push_back(report.id());
    draining = report.draining();
  }
  void place(Time now) {
    schema::RecordRuns runs;
    if (!m_ledger.open("agent", now)) return;
    std::size_t load = m_ledger.runs().size();
    for (const std::string& id : m_table.open()) {
      const WorkflowState& workflow = *m_table.find(id);
      for (std::uint32_t index = 0; index < workflow.step(0).count() && load < RoomOfTarget; ++index) {
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

/** \class RebirthStage
 * \brief The agent, its target and the leader, on one thread.
 */
class RebirthStage {
 public:
  explicit RebirthStage(bool statesBirth = true) : m_server(io) {
    m_server.handle<schema::AttendRequest>(
        "attend", [this](schema::AttendRequest request, std::string) { return leader.attend(std::move(request)); });
    const unsigned port = m_server.start(Address, 0).value();
    m_registrationPort = port + 1;
    RunnerOptions options;
    options.address = Address;
    options.agent = Address + ":" + std::to_string(m_registrationPort);
    options.statesBirth = statesBirth;
    m_target = std::make_unique<RunnerTarget>(io, options);
    const unsigned targetPort = m_target->start();
    cr_assert(targetPort != 0, "the target does not listen");
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
    RunAgentProtocol edges{platform::makeTargetPort, platform::answerRegistration};
    m_agent = std::make_unique<RunAgentService>(DaemonContext{io, m_settings, m_metrics}, std::move(edges));
    cr_assert(static_cast<bool>(m_agent->start()), "the agent does not listen");
    waitFor([this] { return !leader.lives.empty(); });
    cr_assert_not(leader.lives.empty(), "the target was not found");
  }

  void run(std::int64_t ms) { io.run_for(milliseconds(ms)); }
  /** Runs until something is so, for 4 s at most. \returns whether it is */
  bool waitFor(const std::function<bool()>& isSo) {
    for (int i = 0; i < 400 && !isSo(); ++i) run(10);
    return isSo();
  }
  bool waitForDone(const std::string& id) {
    return waitFor([this, &id] { return leader.done(id); });
  }
  /** Has the target answer a call of the test. \returns the answer's body */
  std::string tell(const std::string& path) {
    std::optional<HttpResponse> answer;
    asio::co_spawn(io, askTarget(path, answer), asio::detached);
    waitFor([&answer] { return answer.has_value(); });
    return answer ? answer->body() : std::string("{}");
  }
  /** \returns how often a task was begun. */
  std::int64_t starts(const std::string& task) {
    const boost::json::object counts = boost::json::parse(tell("/starts")).as_object();
    const boost::json::object& starts = counts.at("starts").as_object();
    return starts.contains(task) ? starts.at(task).to_number<std::int64_t>() : 0;
  }
  /** Delivers a word about the target. \returns its status, or 0 without an answer */
  unsigned deliver(const std::string& path, const std::string& body) {
    std::optional<unsigned> status;
    asio::co_spawn(io, sendWord(path, body, status), asio::detached);
    waitFor([&status] { return status.has_value(); });
    return status.value_or(0);
  }
  /** \returns the identity of the target's present life. */
  std::string identity() const { return m_target->id(); }

  asio::io_context io;
  TableLeader leader;

 private:
  Awaitable<void> askTarget(std::string path, std::optional<HttpResponse>& answer) {
    answer = co_await m_target->answer(HttpRequest(boost::beast::http::verb::post, path, 11));
  }
  Awaitable<void> sendWord(std::string path, std::string body, std::optional<unsigned>& status) {
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

Test(run_agent_rebirth, what_ran_in_a_former_life_is_begun_again) {
  RebirthStage stage;
  stage.leader.submit("a", "600", 3);
  cr_assert(stage.waitFor([&] { return stage.starts("a.0.0.2") == 1; }));
  stage.tell("/crash?same=1");
  cr_assert(stage.waitForDone("a"), "the leader still takes what the crash ended for running");
  cr_assert_eq(stage.starts("a.0.0.2"), 2);
}

Test(run_agent_rebirth, ends_of_a_new_life_are_told_although_their_numbers_were_taken_before) {
  RebirthStage stage;
  stage.leader.submit("a", "30", 4);
  cr_assert(stage.waitForDone("a"));
  stage.run(300);
  stage.tell("/crash?same=1");
  stage.run(600);
  stage.leader.submit("b", "30", 2);
  cr_assert(stage.waitForDone("b"), "the target was told to forget ends that nobody had read");
  cr_assert_eq(stage.starts("b.0.0.0"), 1);
}

Test(run_agent_rebirth, a_run_that_ended_but_was_not_told_before_the_crash_is_begun_again) {
  RebirthStage stage;
  stage.leader.submit("a", "30", 4);
  cr_assert(stage.waitForDone("a"));
  stage.leader.submit("b", "100");
  cr_assert(stage.waitFor([&] { return stage.starts("b.0.0.0") == 1; }));
  stage.tell("/mute?ms=300");  // the end is listed to nobody
  stage.run(200);
  stage.tell("/crash?same=1");
  cr_assert(stage.waitForDone("b"), "nobody knows that it was done, and its life is over");
}

Test(run_agent_rebirth, heartbeats_of_a_new_life_are_heard_although_their_numbers_are_lower) {
  RebirthStage stage;
  stage.run(1500);
  stage.tell("/crash?same=1");
  stage.run(200);
  stage.tell("/drain");
  cr_assert(stage.waitFor([&] { return stage.leader.draining; }), "the target leaves, and would get new work");
  cr_assert_eq(stage.leader.lives.size(), 2);
}

Test(run_agent_rebirth, a_late_word_of_a_former_life_changes_nothing) {
  RebirthStage stage;
  stage.run(500);
  stage.tell("/crash?same=1&late=250&times=4");
  stage.run(300);
  stage.leader.submit("a", "200", 2);
  cr_assert(stage.waitForDone("a"));
  stage.tell("/former?times=4");
  stage.leader.submit("b", "200", 2);
  cr_assert(stage.waitForDone("b"));
  cr_assert_eq(stage.leader.lives.size(), 2, "%zu lives were told of", stage.leader.lives.size());
  cr_assert_eq(stage.starts("a.0.0.1") + stage.starts("b.0.0.1"), 2);
}

Test(run_agent_rebirth, a_late_farewell_of_a_former_life_does_not_shut_the_present_one) {
  RebirthStage stage;
  const std::string born = stage.leader.lives[0].substr(stage.leader.lives[0].find('@') + 1);
  stage.tell("/crash?same=1");
  cr_assert(stage.waitFor([&] { return stage.leader.lives.size() == 2; }));
  const std::string path = "/-/Instances.Deregister/" + stage.identity();
  cr_assert_eq(stage.deliver(path, R"({"born":)" + born + "}"), 200);
  cr_assert_eq(stage.deliver(path, ""), 200);
  cr_assert_eq(stage.deliver(path, R"({"born":"then"})"), 400);
  stage.leader.submit("a", "30");
  cr_assert(stage.waitForDone("a"), "the present life gets no starts");
}

Test(run_agent_rebirth, a_target_that_begins_again_twice_in_a_second) {
  RebirthStage stage;
  stage.leader.submit("a", "30", 4);
  cr_assert(stage.waitForDone("a"));
  stage.leader.submit("b", "500", 2);
  cr_assert(stage.waitFor([&] { return stage.starts("b.0.0.1") == 1; }));
  stage.tell("/crash?same=1");
  stage.run(300);
  stage.tell("/crash?same=1&late=100&times=2");
  cr_assert(stage.waitForDone("b"));
  stage.leader.submit("c", "30", 4);
  cr_assert(stage.waitForDone("c"), "ends of the third life were not told");
  cr_assert_eq(stage.starts("c.0.0.3"), 1);
}

Test(run_agent_rebirth, a_leader_that_is_lost_beside_the_crash_leaves_nothing_behind) {
  RebirthStage stage;
  stage.leader.submit("a", "30", 4);
  cr_assert(stage.waitForDone("a"));
  stage.leader.submit("b", "400", 2);
  cr_assert(stage.waitFor([&] { return stage.starts("b.0.0.1") == 1; }));
  stage.tell("/crash?same=1");
  stage.leader.loseLead();
  cr_assert(stage.waitForDone("b"), "the new leader takes what the crash ended for running");
  stage.leader.submit("c", "30", 4);
  cr_assert(stage.waitForDone("c"));
  cr_assert_eq(stage.starts("c.0.0.3"), 1);
}

// The order gets no answer and is stopped, so the task is begun anew and done. The order is carried out after the
// crash, by a life that has seen neither the stop nor the end, and whose clock has not come to the order's deadline.
Test(run_agent_rebirth, an_order_to_a_former_life_begins_nothing_in_the_next) {
  RebirthStage stage;
  stage.tell("/late?ms=150&of=run-start&after=1500");
  stage.leader.submit("a", "30");
  cr_assert(stage.waitForDone("a"));
  stage.run(100);
  stage.tell("/crash?same=1");
  stage.run(2000);
  cr_assert_eq(stage.starts("a.0.0.0"), 1, "begun again after its end was taken note of");
}

Test(run_agent_rebirth, a_word_that_names_no_life_changes_nothing) {
  RebirthStage stage;
  const std::string path = "/-/Instances.Heartbeat/" + stage.identity();
  const std::string word = R"({"service":"s","state":"draining","seq":1000000,"clock_ms":5)";
  stage.deliver(path, word + "}");
  cr_assert_eq(stage.deliver(path, word + R"(,"born":"1780703512345"})"), 400);
  cr_assert_eq(stage.deliver(path, word + R"(,"born":1780703512345.5})"), 400);
  stage.run(800);
  cr_assert_not(stage.leader.draining, "a heartbeat of another writer was believed");
  cr_assert_eq(stage.leader.lives.size(), 1);
  stage.leader.submit("a", "30");
  cr_assert(stage.waitForDone("a"));
}

Test(run_agent_rebirth, a_target_that_never_says_when_it_began_is_known_by_its_identity) {
  RebirthStage stage(false);
  stage.leader.submit("a", "100", 2);
  cr_assert(stage.waitForDone("a"));
  stage.tell("/crash");
  stage.leader.submit("b", "100", 2);
  cr_assert(stage.waitForDone("b"));
  cr_assert_eq(stage.leader.lives.size(), 2);
}
