// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Two queues with advice. While the first step of a job of each is at work, a new version replaces the one queue by one
// of another name at the same host and prefix, and removes the other queue.

#include <boost/json/src.hpp>

#include "review/lab/Lab.hh"

using namespace lab;

namespace {

const std::string Replaced = "7e19c40b52a8d36f";  ///< a job of the queue that is replaced
const std::string Removed = "8e19c40b52a8d36f";   ///< a job of the queue that is removed
constexpr std::int64_t DecisionMs = 200;
constexpr std::int64_t PeriodMs = 20;
constexpr std::int64_t ValidityMs = 6000;
/** RULES.md, LOST: nothing running for 3 s while a task's turn has come and there is room. This waits far longer. */
constexpr std::int64_t WatchedMs = 20000;

}  // namespace

int main(int, char** argv) {
  const bool trouble = begin(argv[1]);
  Deployment deployment({.minions = 4, .entries = 2, .advice = true});
  g_deployment = &deployment;

  std::map<std::string, std::int64_t> tickets;  // by "STEP ID TICKET": until when it holds
  std::mutex turn;                              // one call at a time, in turn
  int issued = 0;
  const Server advice(deployment.adviceIp(), deployment.advicePort(), [&](const Message& request) {
    const std::lock_guard inTurn(turn);
    const json::value call = json::parse(request.body);
    const json::array& workers = call.at("workers").as_array();
    const std::string step(call.at("step").as_string());
    sleepMs(DecisionMs + PeriodMs * static_cast<std::int64_t>(workers.size()));
    const std::lock_guard lock(g_mutex);
    json::array healthy;
    for (const json::value& worker : workers) {
      const std::string ticket = "t" + std::to_string(++issued);
      tickets[step + " " + std::string(worker.as_string()) + " " + ticket] = nowMs() + ValidityMs;
      healthy.push_back(json::array{worker.as_string(), ticket});
    }
    const std::string answer = json::serialize(json::object{{"healthy", healthy}});
    record("advice service: " + request.body + " -> " + answer);
    return std::optional(std::pair(200, answer));
  });

  std::map<std::string, std::int64_t> startedAt, doneAt;
  std::map<std::string, int> rejected;
  for (auto& minion : deployment.minions) {
    minion->reject = [&](Minion& at, const json::object& body) -> std::string {
      const std::string task(body.at("task").as_string());
      const std::string ticket = body.contains("ticket") ? std::string(body.at("ticket").as_string()) : "";
      const auto found = tickets.find(task.substr(0, task.rfind('.')) + " " + at.id + " " + ticket);
      if (found != tickets.end() && nowMs() < found->second) return "";
      ++rejected[task];
      return "ticket";
    };
    minion->onStart = [&](Minion& at, const std::string& task, std::int64_t run) {
      record("START of " + task + " run " + std::to_string(run) + " on " + at.name);
      startedAt[task] = nowMs();
    };
    minion->onEnd = [&](Minion&, const std::string& task, std::int64_t, const std::string& how) {
      if (how == "done") doneAt[task] = nowMs();
    };
  }
  const auto waitFor = [&](const std::map<std::string, std::int64_t>& times, const std::string& task,
                           std::int64_t untilMs) {
    while (nowMs() < untilMs) {
      {
        const std::lock_guard lock(g_mutex);
        if (times.count(task) > 0) return true;
      }
      sleepMs(10);
    }
    return false;
  };

  const std::string policy = R"(,"advice":{"decision_ms":200,"period_ms":20,"validity_ms":6000})";
  const std::string first = queue("first", policy);
  const std::string second = queue("second", policy);
  std::string replacement = first;
  replacement.replace(replacement.find("r-first"), 7, "r-first-new");
  deployment.ready(configuration(1, first + "," + second + "," + queue("other")), "/first/");
  const std::string body =
      R"({"spec":"5000","steps":[{"count":1,"cpu":11000,"mem_mb":16000,"gpu":1,"estimate_ms":5000},)"
      R"({"count":1,"cpu":11000,"mem_mb":16000,"gpu":1,"estimate_ms":5000,"after":[0]}]})";
  const bool accepted = deployment.client("POST", "/first/" + Replaced, body).status == 200 &&
                        deployment.client("POST", "/second/" + Removed, body).status == 200;
  if (!accepted) finish(ExitCouldNotRun, "a job was not accepted");
  for (const std::string& job : {Replaced, Removed}) {
    if (!waitFor(startedAt, job + ".0.0.0", nowMs() + 10000)) finish(ExitCouldNotRun, "a first step did not begin");
  }
  const std::string next = trouble ? replacement + "," + queue("other") : first + "," + second + "," + queue("other");
  if (deployment.operate("POST", "/-/Config.Put", configuration(2, next)).status != 200)
    finish(ExitCouldNotRun, "version 2 was not taken");
  for (const std::string& job : {Replaced, Removed}) {
    if (!waitFor(doneAt, job + ".0.0.0", nowMs() + 15000)) finish(ExitCouldNotRun, "a first step did not end");
  }
  const std::int64_t until = nowMs() + WatchedMs;
  std::string lost;
  for (const std::string& job : {Replaced, Removed}) {
    const std::string task = job + ".0.1.0";
    const bool begun = waitFor(startedAt, task, until);
    const std::lock_guard lock(g_mutex);
    std::size_t running = 0;
    for (const auto& minion : deployment.minions) running += minion->running.size();
    record(task + (begun ? " has begun" : " has not begun") + "; its turn came " +
           std::to_string(nowMs() - doneAt[job + ".0.0.0"]) + " ms ago; starts rejected for want of a ticket: " +
           std::to_string(rejected[task]) + "; tasks running on all 4 minions: " + std::to_string(running));
    if (!begun) lost += " " + task;
  }
  record("client GET /first/" + Replaced + " -> " + deployment.stateOf("/first/" + Replaced));
  record("client GET /second/" + Removed + " -> " + deployment.stateOf("/second/" + Removed));
  if (!lost.empty()) {
    finish(ExitBroken,
           "LOST: accepted, with nothing running for 20 s while their turn has come and every minion is free:" + lost);
  }
  for (const std::string& job : {Replaced, Removed}) {
    if (!waitFor(doneAt, job + ".0.1.0", nowMs() + 15000)) finish(ExitCouldNotRun, "a second step did not end");
  }
  finish(ExitHeld, "both jobs were done");
}
