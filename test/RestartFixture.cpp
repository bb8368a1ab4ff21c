// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/RestartFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <cstdlib>

#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Transport/HttpClient.h"
#include "platform/Endpoints.h"
#include "test/main.h"

namespace courseloom::test {

namespace asio = boost::asio;

namespace {

const std::string Address = "127.0.9.2";
constexpr std::size_t RunsPerTarget = 4;

}  // namespace

// ---- the leader

TableLeader::TableLeader() : m_ledger(options()) { m_ledger.lead(m_table, BootClock::now(), m_term); }

void TableLeader::submit(const std::string& id, const std::string& payload, unsigned count) {
  schema::Workflow workflow;
  workflow.set_id(id);
  workflow.set_max_attempts(3);
  workflow.mutable_spec()->set_payload(payload);
  workflow.mutable_spec()->add_steps()->set_count(count);
  m_table.submit(workflow, 1);
}

bool TableLeader::hasActiveRun(const std::string& id) const {
  const TaskState* task = m_table.find(id)->task({0, 0, 0});
  return task != nullptr && !task->active.empty();
}

void TableLeader::replaceLeader() {
  m_ledger = RunLedger(options());
  m_ledger.lead(m_table, BootClock::now(), ++m_term);
}

void TableLeader::expire() { commit(m_ledger.expire(BootClock::now())); }

Awaitable<Result<schema::AttendReply>> TableLeader::attend(schema::AttendRequest request) {
  const Time now = BootClock::now();
  if (unreachable) co_return fail(Failure{FailureCode::NoLeader, Ran::No, "test", "", "", 0});
  if (m_ledger.isSuperseded(request)) co_return fail(Failure{FailureCode::Fenced, Ran::No, "test", "", "", 0});
  schema::AttendReply answer;
  answer.set_term(m_term);
  commit(m_ledger.receiveReport(request, now));
  if (!m_ledger.isCurrent(request)) co_return answer;
  recordTarget(request.target());
  commit(m_ledger.expire(now));
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

RunLedgerOptions TableLeader::options() {
  RunLedgerOptions options;
  options.grant = milliseconds(1500);
  options.slack = milliseconds(100);
  options.retryOrdersAfter = milliseconds(250);
  return options;
}

void TableLeader::recordTarget(const schema::TargetReport& report) {
  if (report.id().empty()) return;
  if (incarnations.empty() || incarnations.back() != report.id()) incarnations.push_back(report.id());
  draining = report.draining();
}

void TableLeader::place(Time now) {
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

void TableLeader::commit(std::vector<schema::RunEnd> ends) {
  schema::RecordRuns runs;
  for (schema::RunEnd& end : ends) *runs.add_ends() = std::move(end);
  if (runs.ends_size() > 0) record(runs);
}

void TableLeader::record(const schema::RecordRuns& runs) {
  m_table.record(runs, 2);
  m_ledger.apply(m_table.consumeRunChanges(), BootClock::now());
}

// ---- the fixture

RestartFixture::RestartFixture(bool statesStartTime) : m_server(io) {
  m_server.handle<schema::AttendRequest>(
      "attend", [this](schema::AttendRequest request, std::string) { return leader.attend(std::move(request)); });
  const unsigned port = m_server.start(Address, 0).value();
  m_registrationPort = port + 1;
  RunnerOptions options;
  options.address = Address;
  options.agent = Address + ":" + std::to_string(m_registrationPort);
  options.statesStartTime = statesStartTime;
  if (std::getenv("COURSELOOM_LOG") != nullptr) {
    setUpLog("test", "DEBUG", "");
    options.events = "/dev/stderr";
  }
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

bool RestartFixture::waitFor(const std::function<bool()>& condition) {
  for (int i = 0; i < 400 && !condition(); ++i) run(10);
  return condition();
}

bool RestartFixture::waitForDone(const std::string& id) {
  return waitFor([this, &id] { return leader.isDone(id); });
}

std::string RestartFixture::callTarget(const std::string& path) {
  std::optional<HttpResponse> answer;
  asio::co_spawn(io, answerCall(path, answer), asio::detached);
  waitFor([&answer] { return answer.has_value(); });
  return answer ? answer->body() : std::string("{}");
}

std::int64_t RestartFixture::starts(const std::string& task) {
  const boost::json::object counts = boost::json::parse(callTarget("/starts")).as_object();
  const boost::json::object& starts = counts.at("starts").as_object();
  return starts.contains(task) ? starts.at(task).to_number<std::int64_t>() : 0;
}

std::int64_t RestartFixture::countOf(const std::string& name) {
  return boost::json::parse(callTarget("/starts")).as_object().at(name).to_number<std::int64_t>();
}

unsigned RestartFixture::sendToAgent(const std::string& path, const std::string& body) {
  std::optional<unsigned> status;
  asio::co_spawn(io, sendMessage(path, body, status), asio::detached);
  waitFor([&status] { return status.has_value(); });
  return status.value_or(0);
}

void RestartFixture::submitWithDelayedStart(const std::string& payload, unsigned windowMs, unsigned delayMs) {
  callTarget("/late?ms=" + std::to_string(windowMs) + "&of=run-start&after=" + std::to_string(delayMs));
  leader.submit("a", payload);
  cr_assert(waitFor([this] { return countOf("onTheirWay") == 1; }), "no start call was delayed");
}

void RestartFixture::restartWithDelayedStart(const std::string& fault, unsigned delayMs) {
  run(4500);
  submitWithDelayedStart("200", 400, delayMs);
  callTarget(fault);
  callTarget("/crash?same=1");
}

Awaitable<void> RestartFixture::answerCall(std::string path, std::optional<HttpResponse>& answer) {
  answer = co_await m_target->answer(HttpRequest(boost::beast::http::verb::post, path, 11));
}

Awaitable<void> RestartFixture::sendMessage(std::string path, std::string body, std::optional<unsigned>& status) {
  HttpClient client(io, Address, m_registrationPort, 0);
  HttpRequest request(boost::beast::http::verb::post, path, 11);
  request.body() = std::move(body);
  Result<HttpResponse> response = co_await client.exchange("word", request, milliseconds(1000), 4096);
  status = response ? response->result_int() : 0;
}

}  // namespace courseloom::test
