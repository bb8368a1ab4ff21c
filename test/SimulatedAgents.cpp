// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/SimulatedAgents.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Courseloom/src/Runtime/OneShot.h"

namespace courseloom::test {

namespace {

constexpr std::size_t TargetsPerRack = 8;
constexpr std::uint32_t LeastWaitMs = 300;
/** Relay number of the first agent. No call is relayed there. */
constexpr std::uint32_t FirstRelay = 0x7f0a0001;
constexpr Duration ReportLimit = milliseconds(5000);

schema::TargetReport targetReport(std::size_t number) {
  schema::TargetReport target;
  target.set_id("life-" + std::to_string(number));
  target.set_service("s");
  target.set_data_hall("hall-" + std::to_string(number % 5));
  target.set_rack("rack-" + std::to_string(number / TargetsPerRack));
  target.mutable_capacity()->set_cpu_milli(128000);
  target.mutable_capacity()->set_memory_mb(262144);
  target.mutable_capacity()->set_accelerators(8);
  target.set_reachable(true);
  return target;
}

}  // namespace

SimulatedAgents::SimulatedAgents(const schema::ClusterSettings& cluster, std::size_t agents) {
  for (std::size_t i = 0; i < agents; ++i) {
    Agent& agent = *m_agents.emplace_back(std::make_unique<Agent>());
    agent.control = std::make_unique<ControlClient>(m_io, cluster);
    agent.number = i;
    agent.name = "crowd-" + std::to_string(i);
    boost::asio::co_spawn(m_io, attend(agent), boost::asio::detached);
  }
  m_thread = std::thread([this] { m_io.run(); });
}

SimulatedAgents::~SimulatedAgents() {
  m_io.stop();
  m_thread.join();
}

std::set<std::uint64_t> SimulatedAgents::terms() const {
  const std::lock_guard lock(m_mutex);
  return m_terms;
}

void SimulatedAgents::clearTerms() {
  const std::lock_guard lock(m_mutex);
  m_terms.clear();
}

std::size_t SimulatedAgents::agentsWithLeaseSince(std::uint64_t term) const {
  const std::lock_guard lock(m_mutex);
  std::size_t agents = 0;
  for (auto granted = m_agentsByLeaseTerm.lower_bound(term); granted != m_agentsByLeaseTerm.end(); ++granted)
    agents += granted->second;
  return agents;
}

std::vector<double> SimulatedAgents::consumeDelays() {
  const std::lock_guard lock(m_mutex);
  return std::move(m_delays);
}

void SimulatedAgents::recordReply(std::uint64_t term, double delayMs) {
  const std::lock_guard lock(m_mutex);
  m_terms.insert(term);
  m_delays.push_back(delayMs);
}

Awaitable<void> SimulatedAgents::attend(Agent& agent) {
  while (true) {
    endRuns(agent);
    const Time sent = BootClock::now();
    const schema::AttendRequest request = report(agent);
    Result<schema::AttendReply> reply = co_await agent.control->attend(request, sent + ReportLimit);
    if (!reply) {
      extractFailure(reply);
      co_await sleepFor(milliseconds(50));
      continue;
    }
    ++m_reports;
    m_bytes += request.ByteSizeLong() + reply->ByteSizeLong();
    recordReply(reply->term(), toMilliseconds(BootClock::now() - sent) - reply->held_ms());
    agent.reported.answered(request, *reply);
    applyReply(agent, *reply);
  }
}

schema::AttendRequest SimulatedAgents::report(Agent& agent) const {
  schema::AttendRequest request;
  request.set_agent(agent.name);
  request.set_incarnation(1);
  request.set_wait_ms(std::max(LeastWaitMs, agent.waitMs));
  request.set_term(agent.term);
  request.set_directory(agent.directory);
  agent.reported.put(request, targetReport(agent.number));
  request.set_sequence(++agent.sequence);
  request.set_relay(FirstRelay + static_cast<std::uint32_t>(agent.number));
  const Time now = BootClock::now();
  for (const auto& [key, run] : agent.running) {
    schema::RunReport* row = request.add_running();
    *row->mutable_task() = makeTaskId(key.workflow, key.task);
    row->set_run(key.run);
    row->set_percent(static_cast<std::uint32_t>(99 * (now - run.startedAt) / (run.endsAt - run.startedAt)));
  }
  for (const auto& [number, end] : agent.unacknowledgedEnds) {
    schema::EndReport* row = request.add_ends();
    row->set_number(number);
    *row->mutable_task() = makeTaskId(end.first.workflow, end.first.task);
    row->set_run(end.first.run);
    row->set_kind(end.second);
  }
  return request;
}

void SimulatedAgents::endRuns(Agent& agent) {
  const Time now = BootClock::now();
  std::vector<RunKey> due;
  for (const auto& [key, run] : agent.running) {
    if (now >= run.endsAt) due.push_back(key);
  }
  for (const RunKey& key : due) end(agent, key, schema::RunDone);
}

void SimulatedAgents::end(Agent& agent, const RunKey& key, schema::RunEndKind kind) {
  if (agent.running.erase(key) == 0) return;
  --m_running;
  agent.unacknowledgedEnds[++agent.lastEnd] = {key, kind};
}

void SimulatedAgents::applyReply(Agent& agent, const schema::AttendReply& reply) {
  agent.term = reply.term();
  agent.waitMs = reply.wait_ms();
  if (reply.members_size() > 0) agent.directory = reply.directory();
  if (reply.grant_ms() > 0 && reply.term() > agent.leaseTerm) {
    const std::lock_guard lock(m_mutex);
    if (agent.leaseTerm != 0) --m_agentsByLeaseTerm[agent.leaseTerm];
    ++m_agentsByLeaseTerm[agent.leaseTerm = reply.term()];
  }
  std::erase_if(agent.unacknowledgedEnds, [&reply](const auto& end) { return end.first <= reply.ends_taken(); });
  const Time now = BootClock::now();
  for (const schema::RunOrder& order : reply.orders()) {
    const RunKey key = runKeyOf(order.task(), order.run());
    if (order.kind() == schema::OrderStop) {
      end(agent, key, schema::RunStopped);
      continue;
    }
    if (!agent.running.try_emplace(key, Run{now + milliseconds(std::stol(order.payload())), now}).second) continue;
    ++m_started;
    ++m_running;
  }
}

}  // namespace courseloom::test
