// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Measures processor time and memory, from /proc, of an idle process of each role, with two numbers of agents.

#include <thread>

#include "bench/Figures.h"
#include "test/Processes.h"

using namespace courseloom;
using namespace courseloom::bench;

namespace {

constexpr int MeasureSeconds = 8;

void measure(unsigned targets) {
  test::Deployment deployment({3, 2, targets, "", "", ""});
  deployment.setUp();
  const std::string leader = deployment.leader();
  const std::string follower = leader == "control-1" ? "control-2" : "control-1";
  const std::vector<std::pair<std::string, std::string>> roles{
      {"leader", leader}, {"follower", follower}, {"agent", "agent-1"}, {"entry", "entry-1"}};
  std::vector<ProcessUsage> before;
  for (const auto& [role, name] : roles) before.push_back(usageOf(deployment.process(name).pid()));
  std::this_thread::sleep_for(std::chrono::seconds(MeasureSeconds));
  for (std::size_t i = 0; i < roles.size(); ++i) {
    const ProcessUsage after = usageOf(deployment.process(roles[i].second).pid());
    const std::string prefix = roles[i].first + "_with_" + std::to_string(targets) + "_agents";
    const double percent = (after.cpuSeconds - before[i].cpuSeconds) / MeasureSeconds * 100;
    figure((prefix + "_cpu").c_str(), percent, "percent_of_a_core");
    figure((prefix + "_memory").c_str(), after.residentMb, "MB");
  }
}

}  // namespace

int main() {
  measure(2);
  measure(10);
  return 0;
}
