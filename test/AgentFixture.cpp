// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/AgentFixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Courseloom/src/Transport/HttpClient.h"
#include "test/main.h"

namespace courseloom::test {

namespace asio = boost::asio;

namespace {

const std::string Address = "127.0.9.1";

Result<TargetAnswer> noAnswer() {
  return fail(Failure{FailureCode::TargetFailed, Ran::Unknown, "test", "", "no answer", 0});
}

TargetAnswer makeAnswer(TargetVerdict verdict, const std::string& reason = {}) {
  TargetAnswer answer;
  answer.verdict = verdict;
  answer.reason = reason;
  if (verdict == TargetVerdict::Accepted) answer.clockMs = TargetClockMs;
  return answer;
}

/** Parses a heartbeat. Its path is /INCARNATION/SEQUENCE/ready or /INCARNATION/SEQUENCE/draining, and may end in
 * /ACCELERATORS, the target's number of accelerators. */
Awaitable<HttpResponse> answerRegistration(HttpRequest request, TargetRegistry& registry, ByteShare& /*memory*/) {
  const std::string path(request.target());
  const std::size_t second = path.find('/', 1);
  const std::size_t third = path.find('/', second + 1);
  TargetAnnouncement announcement;
  announcement.report.set_id(path.substr(1, second - 1));
  const std::size_t fourth = path.find('/', third + 1);
  announcement.report.set_draining(path.substr(third + 1, fourth - third - 1) == "draining");
  if (fourth != std::string::npos) {
    announcement.report.mutable_capacity()->set_accelerators(std::stoul(path.substr(fourth + 1)));
  }
  announcement.sequence = std::stoull(path.substr(second + 1, third - second - 1));
  announcement.clockMs = TargetClockMs;
  co_await registry.announce(announcement);
  co_return jsonResponse(200, "{}");
}

}  // namespace

schema::RunOrder startOrder(const std::string& target) {
  schema::RunOrder order;
  order.set_kind(schema::OrderStart);
  *order.mutable_task() = makeTaskId("00000000000000aa", TaskKey{0, 0, 0});
  order.set_run(1);
  order.set_target(target);
  return order;
}

schema::AttendReply leaseReply(std::uint32_t leaseMs) {
  schema::AttendReply answer;
  answer.set_term(1);
  answer.set_grant_ms(leaseMs);
  return answer;
}

// ---- the target

Awaitable<Result<TargetAnswer>> FakeTarget::start(std::string incarnation, TargetStart start, Duration) {
  ++m_script.starts;
  m_script.lastDeadlineMs = start.deadlineMs;
  m_script.startTokens[incarnation] = std::max(m_script.startTokens[incarnation], start.token);
  if (m_script.silent || m_script.startsGetNoAnswer) co_return noAnswer();
  if (incarnation != m_script.incarnation) co_return makeAnswer(TargetVerdict::OtherIncarnation);
  if (m_script.refusesStarts) co_return makeAnswer(TargetVerdict::Refused, "room");
  m_script.running.insert(runKeyOf(start.order.task(), start.order.run()));
  co_return makeAnswer(TargetVerdict::Accepted);
}

Awaitable<Result<TargetAnswer>> FakeTarget::stop(std::string incarnation, schema::TaskId task, std::uint32_t run,
                                                 std::uint64_t, Duration) {
  ++m_script.stops;
  if (m_script.silent) co_return noAnswer();
  if (incarnation != m_script.incarnation) co_return makeAnswer(TargetVerdict::OtherIncarnation);
  if (m_script.stops <= m_script.stopsToRefuse) co_return makeAnswer(TargetVerdict::Refused, "429");
  ++m_script.stopsAccepted;
  m_script.running.erase(runKeyOf(task, run));
  co_return makeAnswer(TargetVerdict::Accepted);
}

Awaitable<Result<TargetAnswer>> FakeTarget::hold(std::string incarnation, TargetHold hold, Duration) {
  if (hold.lastSeen > 0) m_script.discardToken = std::max(m_script.discardToken, hold.token);
  if (hold.lastSeen > 0 && m_script.discardsToIgnore > 0) {
    --m_script.discardsToIgnore;
    m_script.ignoredToken = std::max(m_script.ignoredToken, hold.token);
    co_return noAnswer();
  }
  co_await sleepFor(milliseconds(std::min<std::uint32_t>(hold.waitMs, 20)));
  if (m_script.silent) co_return noAnswer();
  if (m_script.busy || incarnation == m_script.busyIncarnation) co_return makeAnswer(TargetVerdict::Refused, "429");
  if (incarnation != m_script.incarnation) co_return makeAnswer(TargetVerdict::OtherIncarnation);
  ++m_script.polls;
  m_script.pollTokens.try_emplace(incarnation, hold.token);
  m_script.lastSeen = hold.lastSeen;
  co_await sleepFor(m_script.answerDelay);
  TargetAnswer answer = makeAnswer(TargetVerdict::Accepted);
  answer.incarnation = m_script.incarnation;
  if (m_script.answersLateWithFirstRun) {
    m_script.answersLateWithFirstRun = false;
    answer.clockMs = TargetClockMs - 1;
    schema::RunReport& row = answer.running.emplace_back();
    *row.mutable_task() = startOrder().task();
    row.set_run(1);
    co_return answer;
  }
  answer.ends = m_script.ends;
  answer.moreEnds = m_script.moreEnds;
  for (const schema::EndReport& end : m_script.ends) m_script.running.erase(runKeyOf(end.task(), end.run()));
  for (const RunKey& key : m_script.running) {
    schema::RunReport& row = answer.running.emplace_back();
    *row.mutable_task() = makeTaskId(key.workflow, key.task);
    row.set_run(key.run);
  }
  if (m_script.reportsStalledRun) {
    schema::RunReport& row = answer.running.emplace_back();
    *row.mutable_task() = startOrder().task();
    row.set_run(1);
    row.set_percent(30);
  }
  co_return answer;
}

Awaitable<Result<TargetAnswer>> FakeTarget::pace(std::string, schema::TaskId, std::uint32_t, std::uint32_t,
                                                 std::uint64_t, Duration) {
  co_return makeAnswer(TargetVerdict::Accepted);
}

// ---- the leader

bool FakeLeader::orderOnce(const schema::AttendRequest& request, schema::AttendReply& answer) {
  if (m_ordered || request.target().id() != "i-1") return false;
  m_ordered = true;
  *answer.add_orders() = startOrder();
  return true;
}

// ---- the fixture

AgentFixture::AgentFixture(FakeLeader& leader, bool draining, std::uint32_t maxHoldMs) : m_server(io) {
  leader.target = &target;
  m_server.handle<schema::AttendRequest>(
      "attend", [&leader](schema::AttendRequest request, std::string) { return leader.attend(std::move(request)); });
  const unsigned port = m_server.start(Address, 0).value();
  m_registrationPort = port + 1;
  m_settings.mutable_node()->set_name("agent");
  m_settings.mutable_node()->set_address(Address);
  m_settings.mutable_cluster()->set_seed_rpc_port(port);
  m_settings.mutable_cluster()->set_election_timeout_ms(400);
  m_settings.mutable_cluster()->add_seeds()->set_endpoint(Address + ":1");
  m_settings.mutable_runner()->set_order_limit_ms(500);
  m_settings.mutable_runner()->set_attend_ms(200);
  m_settings.mutable_runner()->set_look_ms(100);
  m_settings.mutable_runner()->set_max_hold_ms(maxHoldMs);
  m_settings.mutable_edge()->set_control_endpoint(Address + ":" + std::to_string(m_registrationPort));
  RunAgentProtocol protocol;
  protocol.makePort = [this](const DaemonContext&) { return std::make_unique<FakeTarget>(target); };
  protocol.answerRegistration = answerRegistration;
  m_agent = std::make_unique<RunAgentService>(DaemonContext{io, m_settings, m_metrics}, std::move(protocol));
  cr_assert(static_cast<bool>(m_agent->start()), "the agent cannot listen on its ports");
  asio::co_spawn(io, deliverHeartbeat(draining ? "/i-1/1/draining" : "/i-1/1/ready"), asio::detached);
}

void AgentFixture::startNextIncarnation(bool silent) {
  run(milliseconds(300));
  target.incarnation = "i-2";
  target.running.clear();
  target.silent = silent;
  announce("i-2", 1);
}

void AgentFixture::announce(const std::string& incarnation, std::uint64_t sequence) {
  asio::co_spawn(io, deliverHeartbeat("/" + incarnation + "/" + std::to_string(sequence) + "/ready"), asio::detached);
}

void AgentFixture::resize(std::uint64_t sequence, unsigned accelerators) {
  const std::string path = "/i-1/" + std::to_string(sequence) + "/ready/" + std::to_string(accelerators);
  asio::co_spawn(io, deliverHeartbeat(path), asio::detached);
}

Awaitable<void> AgentFixture::deliverHeartbeat(std::string path) {
  HttpClient client(io, Address, m_registrationPort, 0);
  co_await client.exchange("register", HttpRequest(boost::beast::http::verb::post, path, 11), milliseconds(1000), 4096);
}

}  // namespace courseloom::test
