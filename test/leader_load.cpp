// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// A leader with hundreds of agents, thousands of waiting tasks and a share of a processor stays the leader.

#include <algorithm>
#include <csignal>

#include "test/SimulatedAgents.h"
#include "test/WorkflowDeployment.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

constexpr std::size_t Agents = 300;
constexpr int Workflows = 120;
constexpr std::int64_t MeasuredMs = 15000;

/** \class ProcessorShare
 * \brief Limits a process to a share of the processor time: stops it and lets it run in turn.
 */
class ProcessorShare {
 public:
  /** \param runMs time to run in each period, ms \param stopMs time to be stopped in each period, ms */
  ProcessorShare(const Process& process, std::int64_t runMs, std::int64_t stopMs)
      : m_thread([this, &process, runMs, stopMs] {
          while (!m_done) {
            process.signal(SIGSTOP);
            pause(stopMs);
            process.signal(SIGCONT);
            pause(runMs);
          }
        }) {}
  ~ProcessorShare() {
    m_done = true;
    m_thread.join();
  }

 private:
  std::atomic<bool> m_done{false};
  std::thread m_thread;
};

std::string gangJob(unsigned count, unsigned accelerators, unsigned ms) {
  return R"({"spec":")" + std::to_string(ms) + R"(","steps":[{"count":)" + std::to_string(count) +
         R"(,"cpu":1000,"mem_mb":100,"gang":true,"gpu":)" + std::to_string(accelerators) + R"(,"estimate_ms":)" +
         std::to_string(ms) + R"(,"checkpointing":true}]})";
}

std::string idOf(int number) { return workflowId(0xfeed0000U + static_cast<unsigned>(number)); }

}  // namespace

// Guards against long passes of the planner: with passes of 0.25 s and more the leader's heartbeats were late, and it
// was replaced without a fault.
Test(leader_load, a_leader_with_hundreds_of_agents_and_thousands_of_waiting_tasks_is_not_replaced, .timeout = 120) {
  WorkflowDeployment test(0);
  cr_assert_eq(test.configure(configuration(1)), 200);
  cr_assert(test.until(200, "GET", "/q/", "", "pending"));
  SimulatedAgents simulatedAgents(test.cluster(), Agents);
  int refused = 0;
  for (int i = 0; i < Workflows; ++i) {
    const std::string body = i % 4 == 0 ? job(78, "6000") : gangJob(i % 4 == 1 ? 25 : 8, 4, 3000);
    refused += test.call("POST", "/q/" + idOf(i), body).status == 200 ? 0 : 1;
  }
  cr_expect_eq(refused, 0, "%d submissions were refused", refused);
  const unsigned leader = test.leader();
  cr_assert_neq(leader, 0);
  for (int i = 0; i < 100 && simulatedAgents.running() < Agents; ++i) pause(100);
  cr_assert_geq(simulatedAgents.running(), Agents, "only %zu runs were started", simulatedAgents.running());
  simulatedAgents.clearTerms();
  simulatedAgents.consumeDelays();
  {
    const ProcessorShare share(test.process("control-" + std::to_string(leader)), 10, 10);
    pause(MeasuredMs);
  }
  std::vector<double> delays = simulatedAgents.consumeDelays();
  std::sort(delays.begin(), delays.end());
  cr_assert_gt(delays.size(), 0);
  const std::set<std::uint64_t> terms = simulatedAgents.terms();
  std::printf("%zu reports, half within %.1f ms, 99 of 100 within %.1f ms; %zu runs began; %zu terms\n", delays.size(),
              delays[delays.size() / 2], delays[delays.size() * 99 / 100], simulatedAgents.started(), terms.size());
  cr_assert_eq(terms.size(), 1, "%zu leaders answered although no fault was injected", terms.size());
  cr_assert_eq(test.leader(), leader);
}
