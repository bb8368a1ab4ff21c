// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// A client submits a job of many steps of one task each. Nothing else happens: no process, link or minion is disturbed.
// Without the disruption the job has the same tasks in one step.

#include <boost/json/src.hpp>

#include "review/lab/Lab.hh"

using namespace lab;

namespace {

/** Jobs of the first tenant that were accepted before. The second tenant submits the large job. */
const std::vector<std::string> Accepted{"a0c1e2f3a4b5c6d7", "b0c1e2f3a4b5c6d7"};
const std::string Large = "c0c1e2f3a4b5c6d7";
constexpr int Tasks = 8000;
/** The configuration's limits.max_body_bytes. */
constexpr std::size_t MaxBodyBytes = 262144;
/** RULES.md, LOST: jobs are asked for finish_s after the end of the traffic. */
constexpr std::int64_t FinishMs = 14000;
constexpr std::int64_t WatchedMs = 30000;

/** A job of the same tasks, in steps of one task or in one step. */
std::string largeJob(bool manySteps) {
  const int steps = manySteps ? Tasks : 1;
  const std::string step = R"({"count":)" + std::to_string(Tasks / steps) + R"(,"cpu":11000,"gpu":1})";
  std::string list = step;
  for (int i = 1; i < steps; ++i) list += "," + step;
  return R"({"spec":"2500","steps":[)" + list + "]}";
}

std::string memoryOf(pid_t process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("VmRSS:", 0) == 0) return std::to_string(std::atoi(line.c_str() + 6) / 1024) + " MB";
  }
  return "?";
}

}  // namespace

int main(int, char** argv) {
  const bool trouble = begin(argv[1]);
  Deployment deployment({.minions = 4, .entries = 2});
  g_deployment = &deployment;
  std::map<std::string, std::string> ends;
  for (auto& minion : deployment.minions) {
    minion->onEnd = [&](Minion&, const std::string& task, std::int64_t, const std::string& how) { ends[task] = how; };
  }
  deployment.ready(configuration(1, queue("jobs")), "/jobs/");
  for (const std::string& job : Accepted) {
    const std::string body =
        R"({"spec":"25000","steps":[{"count":1,"cpu":11000,"mem_mb":16000,"gpu":1,"estimate_ms":25000}]})";
    if (deployment.client("POST", "/jobs/" + job, body).status != 200)
      finish(ExitCouldNotRun, "a job was not accepted");
  }
  sleepMs(2000);
  for (const std::string& job : Accepted)
    record("client GET /jobs/" + job + " -> " + deployment.stateOf("/jobs/" + job));
  const std::string body = largeJob(trouble);
  record("the large job has " + std::to_string(Tasks) + " tasks in " + (trouble ? "as many steps" : "one step") + ", " +
         std::to_string(body.size()) + " bytes: " + body.substr(0, 90) + " ...");
  if (body.size() > MaxBodyBytes) finish(ExitCouldNotRun, "the large job is too large");
  const Reply reply = deployment.client("POST", "/jobs/" + Large, body, 4000, true, "key-2");
  record("client POST /jobs/" + Large + " -> " + std::to_string(reply.status) + " " + reply.body);

  // Traffic ends here. Clients ask for the jobs that were accepted before.
  const std::int64_t begin = nowMs();
  std::map<std::string, std::int64_t> answeredAt;
  std::map<std::string, std::string> states;
  while (nowMs() < begin + WatchedMs) {
    bool completed = true;
    for (const std::string& job : Accepted) {
      const std::string state = deployment.stateOf("/jobs/" + job);
      const bool answered = !state.empty() && !std::isdigit(static_cast<unsigned char>(state[0]));
      record("client GET /jobs/" + job + " -> " + state);
      if (answered) answeredAt[job] = nowMs();
      if (answered) states[job] = state;
      completed &= state == "completed";
    }
    std::string memory;
    for (int i = 1; i <= 3; ++i) {
      Process& control = *deployment.processes.at("control-" + std::to_string(i));
      memory += " control-" + std::to_string(i) + (control.runs() ? " " + memoryOf(control.pid()) : " ended by itself");
    }
    record("memory:" + memory + " (a core machine has 256 MB)");
    if (completed) break;
    sleepMs(1000);
  }
  if (trouble) {
    const Reply read = deployment.operate("GET", "/-/Config.Get", "", 5000);
    if (read.status == 0) record("operator GET /-/Config.Get has no clear answer from any control node for 5 s");
  }
  for (const std::string& job : Accepted) {
    const bool completed = states[job] == "completed";
    const std::int64_t silent = nowMs() - std::max(begin, answeredAt[job]);
    if (!completed && silent > FinishMs) {
      finish(ExitBroken,
             "LOST: job " + job + ", accepted before, had no answer for the last " + std::to_string(silent) +
                 " ms (finish_s is 14) and has not completed; its last run ended as '" + ends[job + ".0.0.0"] + "'");
    }
  }
  for (const std::string& job : Accepted) {
    if (states[job] != "completed") finish(ExitCouldNotRun, "job " + job + " is " + states[job]);
  }
  finish(ExitHeld, "the jobs that were accepted before have completed");
}
