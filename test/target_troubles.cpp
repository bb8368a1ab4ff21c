// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Faulty targets on real processes. A task must not run twice at once when stops are refused and starts arrive late,
// and a heartbeat of a target's previous incarnation must not end runs of the present one.

#include <fstream>
#include <iostream>
#include <random>
#include <thread>

#include "test/main.h"
#include "test/soak/EventReader.h"
#include "test/soak/SoakCluster.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

/** Longer than any awaited event takes on a busy machine. */
constexpr Duration Limit = milliseconds(60000);
constexpr std::chrono::milliseconds Poll(20);

bool until(const std::function<bool()>& condition, Duration limit = Limit) {
  const Time end = BootClock::now() + limit;
  while (BootClock::now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(Poll);
  }
  return false;
}

/** \class FaultyTargets
 * \brief One replica, one entry and two agents with their targets, and the history of the targets' runs.
 */
class FaultyTargets {
 public:
  explicit FaultyTargets(std::uint64_t seed) : m_cluster({1, 1, 2}, seed), m_events(m_cluster, m_history) {}
  ~FaultyTargets() {
    if (std::getenv("COURSELOOM_KEEP") == nullptr) return;
    m_cluster.keep();
    std::cerr << "kept " << m_cluster.folder() << std::endl;
  }

  bool setUp() {
    const std::string configuration =
        R"({"version":1,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","timeout_ms":3000,)"
        R"("target_latency_ms":250,"priority":1,"service":"s","max_attempts":2,"stretch":3.0}],)"
        R"("services":[{"name":"s"}],"tenants":[{"name":"t","api_keys":["key-1"],"guaranteed":{"gpu":16}}]})";
    return until([&] {
             return send({m_cluster.operatorAddress(1), "POST", "/-/Config.Put", configuration, {}, Limit}).status ==
                    200;
           }) &&
           until([this] { return call("GET", "/q/").has("pending"); });
  }
  bool submit(const std::string& id, unsigned tasks, unsigned ms) {
    ExpectedJob& job = m_jobs[id];
    job.id = id;
    job.tasks = tasks;
    job.accepted = true;
    const std::string body = R"({"spec":")" + std::to_string(ms) + R"(","steps":[{"count":)" + std::to_string(tasks) +
                             R"(,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":)" + std::to_string(ms) +
                             R"(,"checkpointing":true}]})";
    return until([&] { return call("POST", "/q/" + id, body).status == 200; });
  }
  bool completes(const std::string& id) {
    return until([&] { return call("GET", "/q/" + id).has("completed"); });
  }
  HttpReply target(unsigned number, const std::string& path) {
    return send({m_cluster.runnerAddress(number), "POST", path, "", {}, Limit});
  }
  /** \returns a counter of a target by name, or 0 if it has none. */
  unsigned counter(unsigned number, const std::string& name) {
    const std::string text = send({m_cluster.runnerAddress(number), "GET", "/starts", "", {}, Limit}).body;
    const std::size_t at = text.find("\"" + name + "\":");
    if (at == std::string::npos) return 0;
    return static_cast<unsigned>(std::atoi(text.c_str() + at + name.size() + 3));
  }
  /** \returns the violations that the event files show, one per line; empty if there are none. */
  std::string violations() {
    m_events.read();
    std::string text;
    for (const std::string& line : m_history.check(m_jobs, BootClock::now(), false)) text += line + "\n";
    return text;
  }
  /** \returns the incarnations that a target has had, the present one last. */
  std::vector<std::string> incarnations(unsigned number) const {
    std::vector<std::string> found;
    std::ifstream file(m_cluster.eventFile(number));
    for (std::string line; std::getline(file, line);) {
      const std::optional<RunEvent> event = parseRunEvent(line);
      if (event && (found.empty() || found.back() != event->incarnation)) found.push_back(event->incarnation);
    }
    return found;
  }
  /** \returns how many times an agent's log reports that it found a leader. */
  unsigned leadersFound(unsigned agent) const {
    unsigned count = 0;
    std::ifstream file(m_cluster.folder() + "/agent-" + std::to_string(agent) + ".log");
    for (std::string line; std::getline(file, line);) count += line.find("LeaderFound") != std::string::npos ? 1 : 0;
    return count;
  }
  /** \returns the lines of the leader's log that report runs of an incarnation as lost with their target. */
  std::string reportedLost(const std::string& incarnation) const {
    std::string text;
    std::ifstream file(m_cluster.folder() + "/control-1.log");
    for (std::string line; std::getline(file, line);) {
      const bool lost = line.find("RunTargetLost") != std::string::npos;
      if (lost && line.find("\"" + incarnation + "\"") != std::string::npos) text += line + "\n";
    }
    return text;
  }
  /** \returns whether the leader's log has an event about target 1. */
  bool leaderLogged(const std::string& event) const {
    std::ifstream file(m_cluster.folder() + "/control-1.log");
    for (std::string line; std::getline(file, line);) {
      if (line.find(event) != std::string::npos && line.find("i-m1-") != std::string::npos) return true;
    }
    return false;
  }
  /** Starts the replica again with additional settings. */
  void restartControl(const std::string& settings) {
    m_cluster.kill("control-1");
    std::ofstream(m_cluster.folder() + "/control-1.yaml", std::ios::app) << settings << "\n";
    m_cluster.start("control-1");
  }
  SoakCluster& cluster() { return m_cluster; }

 private:
  HttpReply call(const std::string& method, const std::string& path, const std::string& body = "") {
    return send({m_cluster.clientAddress(1),
                 method,
                 path,
                 body,
                 {{"Host", "h.example"}, {"Authorization", "Bearer key-1"}, {"Content-Type", "application/json"}},
                 milliseconds(5000)});
  }

  SoakCluster m_cluster;
  RunHistory m_history;
  EventReader m_events;
  std::map<std::string, ExpectedJob> m_jobs;
};

/** Crashes target 1 and waits until its new incarnation has runs. */
void prepareNewIncarnation(FaultyTargets& test, unsigned ms) {
  cr_assert(test.setUp());
  cr_assert_eq(test.target(1, "/crash").status, 200);
  // More tasks than the other target has capacity for.
  cr_assert(test.submit("00000000000000b1", 12, ms));
  cr_assert(until([&] { return test.counter(1, "running") > 0; }), "the new incarnation got no run");
}

void checkNewIncarnation(FaultyTargets& test) {
  cr_assert(test.completes("00000000000000b1"));
  const std::string violations = test.violations();
  cr_assert(violations.empty(), "%s", violations.c_str());
  const std::string lost = test.reportedLost(test.incarnations(1).back());
  cr_assert(lost.empty(), "the present incarnation is alive, but its runs were reported lost:\n%s", lost.c_str());
}

}  // namespace

// The seed of each round determines how late the starts arrive; it does not determine the rest of the timing.
Test(target_troubles, refused_stops_with_late_starts_run_no_task_twice) {
  for (std::uint64_t seed = firstSeed(); seed < firstSeed() + seedCount(2); ++seed) {
    FaultyTargets test(seed);
    cr_assert(test.setUp());
    const std::string always = "?ms=600000&percent=100&of=";
    test.target(1, "/late" + always + "run-start");
    test.target(1, "/refuse" + always + "run-stop");
    cr_assert(test.submit("00000000000000a1", 12, 5000));
    cr_assert(until([&] { return test.counter(1, "refused") > 0; }), "no stop on target 1 was refused");
    test.target(1, "/late?ms=0");
    cr_assert(until([&] { return test.counter(1, "cameLate") > 0 && test.counter(1, "onTheirWay") == 0; }));
    test.target(1, "/refuse?ms=0");
    cr_assert(test.completes("00000000000000a1"), "seed %lu", seed);
    const std::string violations = test.violations();
    cr_assert(violations.empty(), "seed %lu: %s", seed, violations.c_str());
  }
}

Test(target_troubles, a_late_heartbeat_of_a_previous_incarnation_ends_no_run_of_the_present_one) {
  FaultyTargets test(firstSeed());
  prepareNewIncarnation(test, 3000);
  cr_assert_eq(test.target(1, "/former?times=3").status, 200);
  checkNewIncarnation(test);
}

Test(target_troubles, a_restarted_agent_that_first_receives_an_old_heartbeat_loses_no_run) {
  FaultyTargets test(firstSeed());
  prepareNewIncarnation(test, 6000);
  cr_assert_eq(test.target(1, "/hush?ms=600000").status, 200);
  test.cluster().kill("agent-1");
  const unsigned found = test.leadersFound(1);
  test.cluster().start("agent-1");
  cr_assert_eq(test.target(1, "/former").status, 200);
  cr_assert(until([&] { return test.leadersFound(1) > found; }));
  // Waits for the fault to show; checkNewIncarnation decides in either case.
  until([&] { return !test.reportedLost(test.incarnations(1).back()).empty(); }, milliseconds(1500));
  cr_assert_eq(test.target(1, "/hush?ms=0").status, 200);
  checkNewIncarnation(test);
}

// Guards against a target that refuses every start and is chosen again at once, and against one that stays closed once
// it works again.
Test(target_troubles, a_target_that_refuses_starts_is_closed_until_a_run_begins_there) {
  FaultyTargets test(firstSeed());
  test.restartControl("policy: {voidBackoff: true, keepGangTargets: true}");
  cr_assert(test.setUp());
  test.target(1, "/refuse?ms=600000&percent=100&of=run-start");
  // More tasks than the other target has capacity for.
  cr_assert(test.submit("00000000000000c1", 24, 3000));
  cr_assert(until([&] { return test.leaderLogged("TargetClosedByVoids"); }), "the target was not closed");
  test.target(1, "/refuse?ms=0");
  cr_assert(until([&] { return test.leaderLogged("TargetStartsAgain"); }), "no run began there again");
  cr_assert(test.completes("00000000000000c1"));
  const std::string violations = test.violations();
  cr_assert(violations.empty(), "%s", violations.c_str());
}
