// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Measures the cost of a leader with hundreds of agents: reports and bytes per second, processor time, memory, and the
// time until a new leader has answered reports of all agents. The control replicas are real processes; all agents are
// simulated in one process.
//
//   bench_fleet [--agents N,N,...] [--seconds N] [-o table|json]

#include <CLI/CLI.hpp>
#include <csignal>
#include <thread>

#include "bench/Figures.h"
#include "test/SimulatedAgents.h"
#include "test/WorkflowDeployment.h"

using namespace courseloom;
using namespace courseloom::bench;
using namespace courseloom::test;

namespace {

constexpr Duration WaitLimit = milliseconds(30000);
constexpr const char* LongRunMs = "120000";
constexpr unsigned AcceleratorsOfTarget = 8;

/** Results of the measurement with one number of agents. */
struct FleetRow {
  std::size_t agents = 0;
  double reportsPerSecond = 0.0;
  double kbPerSecond = 0.0;  ///< messages only, both directions
  double cpuPercent = 0.0;   ///< of the leader, percent of one core
  double leaderMb = 0.0;
  double followerMb = 0.0;
  double electedMs = 0.0;      ///< time from the kill of the leader to the first answer of its successor
  double planMs = 0.0;         ///< mean time of a pass of the planner while a step waits that fits on no target
  double allAnsweredMs = 0.0;  ///< time from the same kill until the successor has answered all agents
};

/** Waits until a condition holds, at most WaitLimit. \returns the time waited, ms */
template <class Condition>
double waitFor(Condition condition) {
  const Time start = BootClock::now();
  while (!condition() && BootClock::now() < start + WaitLimit) pause(1);
  return toMilliseconds(BootClock::now() - start);
}

/** Adds a run for every second agent, as under moderate load. */
void addRuns(WorkflowDeployment& deployment, const SimulatedAgents& crowd, std::size_t agents) {
  const std::size_t wanted = agents / 2;
  const std::string body = job(static_cast<unsigned>(wanted), LongRunMs, false, AcceleratorsOfTarget);
  deployment.until(200, "POST", "/q/00000000feed0001", body);
  waitFor([&] { return crowd.running() >= wanted; });
}

/** \returns the mean time of a planner pass, ms, over two seconds in which a step waits that fits on no target. */
double planTime(WorkflowDeployment& deployment, unsigned leader) {
  const std::string tooLarge = job(1, "100", false, 8 * AcceleratorsOfTarget);
  deployment.until(200, "POST", "/q/00000000feed0002", tooLarge);
  const double passesBefore = deployment.metric(leader, "courseloom_plan_ms_count");
  const double sumBefore = deployment.metric(leader, "courseloom_plan_ms_sum");
  pause(2000);
  const double passes = deployment.metric(leader, "courseloom_plan_ms_count") - passesBefore;
  return passes > 0.0 ? (deployment.metric(leader, "courseloom_plan_ms_sum") - sumBefore) / passes : 0.0;
}

FleetRow measure(std::size_t agents, unsigned seconds) {
  FleetRow row;
  row.agents = agents;
  WorkflowDeployment deployment(0);
  deployment.setUp();
  SimulatedAgents crowd(deployment.cluster(), agents);
  waitFor([&] { return crowd.agentsWithLeaseSince(1) == agents; });
  addRuns(deployment, crowd, agents);
  const unsigned leader = deployment.leader();
  const auto pidOf = [&](unsigned replica) { return deployment.process("control-" + std::to_string(replica)).pid(); };
  const ProcessUsage before = usageOf(pidOf(leader));
  const std::size_t reports = crowd.reports();
  const std::size_t bytes = crowd.bytes();
  std::this_thread::sleep_for(std::chrono::seconds(seconds));
  const ProcessUsage after = usageOf(pidOf(leader));
  row.reportsPerSecond = static_cast<double>(crowd.reports() - reports) / seconds;
  row.kbPerSecond = static_cast<double>(crowd.bytes() - bytes) / 1000.0 / seconds;
  row.cpuPercent = (after.cpuSeconds - before.cpuSeconds) / seconds * 100.0;
  row.leaderMb = after.residentMb;
  row.followerMb = usageOf(pidOf(leader % 3 + 1)).residentMb;
  row.planMs = planTime(deployment, leader);
  const std::uint64_t term = *crowd.terms().rbegin();
  deployment.kill("control-" + std::to_string(leader));
  row.electedMs = waitFor([&] { return *crowd.terms().rbegin() > term; });
  row.allAnsweredMs = row.electedMs + waitFor([&] { return crowd.agentsWithLeaseSince(term + 1) == agents; });
  return row;
}

void printTable(const std::vector<FleetRow>& rows) {
  std::printf("%8s %10s %8s %8s %10s %12s %8s %10s %10s\n", "agents", "reports/s", "KB/s", "cpu %", "leader MB",
              "follower MB", "plan ms", "elected ms", "heard ms");
  for (const FleetRow& row : rows) {
    std::printf("%8zu %10.0f %8.0f %8.1f %10.1f %12.1f %8.2f %10.0f %10.0f\n", row.agents, row.reportsPerSecond,
                row.kbPerSecond, row.cpuPercent, row.leaderMb, row.followerMb, row.planMs, row.electedMs,
                row.allAnsweredMs);
  }
}

void printJson(const std::vector<FleetRow>& rows) {
  std::printf("[");
  for (const FleetRow& row : rows) {
    std::printf(
        "%s{\"agents\":%zu,\"reportsEachSecond\":%.0f,\"kbEachSecond\":%.0f,\"cpuPercent\":%.1f,"
        "\"leaderMb\":%.1f,\"followerMb\":%.1f,\"planMs\":%.2f,\"electedMs\":%.0f,\"heardMs\":%.0f}",
        &row == &rows.front() ? "" : ",", row.agents, row.reportsPerSecond, row.kbPerSecond, row.cpuPercent,
        row.leaderMb, row.followerMb, row.planMs, row.electedMs, row.allAnsweredMs);
  }
  std::printf("]\n");
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::size_t> agents{300, 900, 1800};
  unsigned seconds = 8;
  std::string output = "table";
  CLI::App app("measures the cost of a leader with hundreds of agents");
  app.add_option("--agents", agents, "numbers of agents to measure with")->delimiter(',')->check(CLI::Range(1, 5000));
  app.add_option("--seconds", seconds, "duration of the measurement with each number of agents, s")
      ->check(CLI::Range(1, 600));
  app.add_option("-o,--output", output, "output format: table or json")->check(CLI::IsMember({"table", "json"}));
  CLI11_PARSE(app, argc, argv);
  std::vector<FleetRow> rows;
  for (const std::size_t number : agents) rows.push_back(measure(number, seconds));
  output == "json" ? printJson(rows) : printTable(rows);
  return 0;
}
