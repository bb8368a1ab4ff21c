// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Workflows on real processes: replicas found through seeds, agents with stand-ins of back ends, an entry; under kills,
// a lost disk, a replica at another address, a back end that crashes, mutes, leaves.

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <thread>

#include "test/Processes.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

const std::string BuildFolder = COURSELOOM_BUILD_DIR;
constexpr unsigned ControlPort = 1;
constexpr unsigned ClientPort = 2;
constexpr unsigned ReadinessPort = 3;
constexpr unsigned TargetPort = 4;
constexpr unsigned HttpPort = 5;

void pause(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

std::string configuration(unsigned version, const std::string& key = "key-1") {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","timeout_ms":3000,"target_latency_ms":250,)"
         R"("priority":1,"service":"s","max_attempts":2,"stretch":3.0}],"services":[{"name":"s"}],)"
         R"("tenants":[{"name":"t","api_keys":[")" +
         key + R"("],"guaranteed":{"gpu":8}}]})";
}

std::string job(unsigned count, const std::string& spec) {
  return R"({"spec":")" + spec + R"(","steps":[{"count":)" + std::to_string(count) +
         R"(,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":200,"checkpointing":true}]})";
}

/** \class WorkflowDeployment
 * \brief Three replicas, an entry, two agents with their back ends, each on an address of its own.
 */
class WorkflowDeployment {
 public:
  WorkflowDeployment() : m_base(freePorts()) {
    std::string pattern = "/tmp/courseloom-test-XXXXXX";
    m_folder = mkdtemp(pattern.data());
    for (unsigned i = 1; i <= 3; ++i) control(i, true);
    for (unsigned i = 1; i <= 2; ++i) {
      agent(i);
      m_processes["runner-" + std::to_string(i)] = std::make_unique<Process>(
          std::vector<std::string>{BuildFolder + "/test/standin-runner", "--address", address(10 + i), "--port",
                                   std::to_string(m_base + TargetPort), "--agent", at(10 + i, ControlPort), "--name",
                                   "m" + std::to_string(i)},
          m_folder + "/runner.log");
    }
    entry();
  }
  ~WorkflowDeployment() {
    m_processes.clear();
    if (std::getenv("COURSELOOM_KEEP") == nullptr) std::filesystem::remove_all(m_folder);
  }

  void control(unsigned i, bool bootstrap) {
    start("control-" + std::to_string(i), "courseloom-control", i,
          "  bootstrap: " + std::string(bootstrap ? "true" : "false") +
              "\ncontrol: {reserveMb: 1, snapshotEntries: 64}\nedge: {controlEndpoint: " + at(i, ControlPort) + "}\n");
  }
  void agent(unsigned i) {
    start("agent-" + std::to_string(i), "courseloom-agent", 10 + i,
          "runner: {service: s, targetEndpoint: \"" + at(10 + i, TargetPort) + "\"}\nedge: {controlEndpoint: \"" +
              at(10 + i, ControlPort) + "\"}\n");
  }
  void entry() {
    start("entry-1", "courseloom-entry", 20,
          "entry: {notReadyMs: 10}\nedge: {clientEndpoint: \"" + at(20, ClientPort) + "\", readinessEndpoint: \"" +
              at(20, ReadinessPort) + "\"}\n");
  }
  Process& process(const std::string& name) { return *m_processes.at(name); }
  void kill(const std::string& name) { process(name).kill(); }
  void wipe(unsigned i) { std::filesystem::remove_all(m_folder + "/control-" + std::to_string(i)); }

  HttpReply call(const std::string& method, const std::string& path, const std::string& body = "",
                 const std::string& key = "key-1") {
    return send({at(20, ClientPort),
                 method,
                 path,
                 body,
                 {{"Host", "h.example"}, {"Authorization", "Bearer " + key}, {"Content-Type", "application/json"}},
                 milliseconds(5000)});
  }
  /** Calls until the status is as wanted. */
  bool until(unsigned status, const std::string& method, const std::string& path, const std::string& body = "",
             const std::string& text = "") {
    const Time end = BootClock::now() + milliseconds(20000);
    while (BootClock::now() < end) {
      const HttpReply reply = call(method, path, body);
      if (reply.status == status && reply.has(text)) return true;
      pause(30);
    }
    return false;
  }
  /** Puts a configuration at whichever replica takes it. */
  unsigned configure(const std::string& body) {
    const Time end = BootClock::now() + milliseconds(20000);
    for (unsigned i = 0; BootClock::now() < end; ++i) {
      const HttpReply reply = send({at(1 + i % 4, ControlPort), "POST", "/-/Config.Put", body, {}, milliseconds(3000)});
      if (reply.status == 200 || reply.status == 400) return reply.status;
      pause(20);
    }
    return 0;
  }
  std::string readBack() {
    for (unsigned i = 0; i < 400; ++i) {
      const HttpReply reply = send({at(1 + i % 4, ControlPort), "GET", "/-/Config.Get", "", {}, milliseconds(3000)});
      if (reply.status == 200) return reply.body;
      pause(20);
    }
    return {};
  }
  /** \returns the leader's number, or 0. */
  unsigned leader() {
    for (unsigned round = 0; round < 400; ++round) {
      for (unsigned i = 1; i <= 4; ++i) {
        if (send({at(i, ControlPort), "GET", "/-/Config.Get", "", {}, milliseconds(1000)}).status == 200) return i;
      }
      pause(20);
    }
    return 0;
  }
  HttpReply runner(unsigned i, const std::string& method, const std::string& path) {
    return send({at(10 + i, TargetPort), method, path, "", {}, milliseconds(3000)});
  }
  /** \returns how often a text stands in what both back ends count. */
  unsigned counted(const std::string& text) {
    unsigned count = 0;
    for (unsigned i = 1; i <= 2; ++i) count += runner(i, "GET", "/starts").has(text) ? 1 : 0;
    return count;
  }
  void setUp() {
    cr_assert_eq(configure(configuration(1)), 200);
    cr_assert(until(200, "GET", "/q/", "", "pending"));
  }

 private:
  std::string address(unsigned host) const { return "127.0.7." + std::to_string(host); }
  std::string at(unsigned host, unsigned port) const { return address(host) + ":" + std::to_string(m_base + port); }

  static unsigned freePorts() { return 21000 + std::random_device()() % 400 * 10; }

  void start(const std::string& name, const std::string& program, unsigned host, const std::string& extra) {
    std::ofstream file(m_folder + "/" + name + ".yaml");
    file << "node: {name: " << name << ", address: " << address(host)
         << ", dataHall: hall-1, threads: 1, rpcPort: " << m_base << ", httpPort: " << m_base + HttpPort
         << ", dataFolder: " << m_folder << "/" << name << "}\n"
         << "cluster:\n  id: test\n  heartbeatMs: 50\n  electionTimeoutMs: 400\n  freshnessLeaseMs: 2000\n"
         << "  seedRpcPort: " << m_base << "\n  seeds:\n";
    for (unsigned i = 1; i <= 3; ++i) file << "    - {endpoint: \"" << at(i, ControlPort) << "\"}\n";
    file << extra;
    file.close();
    m_processes[name] = std::make_unique<Process>(
        std::vector<std::string>{BuildFolder + "/daemons/" + program, "--settings", m_folder + "/" + name + ".yaml"},
        m_folder + "/" + name + ".log");
    if (!m_processes[name]->ready()) std::fprintf(stderr, "%s did not become ready\n", name.c_str());
  }

  std::string m_folder;
  unsigned m_base;
  std::map<std::string, std::unique_ptr<Process>> m_processes;
};

}  // namespace

Test(workflows_processes, a_workflow_from_submission_to_its_end) {
  WorkflowDeployment test;
  cr_assert_eq(test.call("POST", "/q/00000000000000aa", job(1, "100")).status, 503, "no configuration yet");
  cr_assert_eq(test.configure("{"), 400);
  test.setUp();
  cr_assert_eq(test.call("POST", "/q/00000000000000aa", job(1, "100"), "wrong").status, 401);
  cr_assert_eq(test.call("POST", "/other/00000000000000aa", job(1, "100")).status, 404);
  cr_assert_eq(test.call("POST", "/q/00000000000000aa", "{}").status, 400);
  cr_assert_eq(test.call("GET", "/q/00000000000000aa").status, 410);
  cr_assert_eq(test.call("POST", "/q/00000000000000aa", job(3, "100")).status, 200);
  cr_assert_eq(test.call("POST", "/q/00000000000000aa", job(3, "100")).status, 200, "the same again");
  cr_assert(test.until(200, "GET", "/q/00000000000000aa", "", "completed"));
  cr_assert_eq(test.call("POST", "/q/00000000000000ab", job(1, "fail")).status, 200);
  cr_assert(test.until(200, "GET", "/q/00000000000000ab", "", "failed"));
  cr_assert_eq(test.call("POST", "/q/00000000000000ac", job(2, "forever")).status, 200);
  cr_assert(test.until(200, "GET", "/q/00000000000000ac", "", "running"));
  cr_assert_eq(test.call("DELETE", "/q/00000000000000ac").status, 200);
  cr_assert(test.until(200, "GET", "/q/00000000000000ac", "", "cancelled"));
  for (unsigned i = 1; i <= 2; ++i) {
    for (int wait = 0; wait < 200 && !test.runner(i, "GET", "/starts").has("\"running\":0"); ++wait) pause(20);
    cr_assert(test.runner(i, "GET", "/starts").has("\"running\":0"));
  }
  // Versions: lower ones change nothing, bytes come back as they were sent.
  cr_assert_eq(test.configure(configuration(5, "key-2")), 200);
  cr_assert_eq(test.configure(configuration(3, "key-3")), 200);
  cr_assert(test.readBack() == configuration(5, "key-2"));
  cr_assert_eq(test.call("GET", "/q/").status, 401, "its key was taken away");
}

Test(workflows_processes, a_killed_leader_and_a_blank_agent_lose_and_double_nothing) {
  WorkflowDeployment test;
  test.setUp();
  for (int i = 0; i < 6; ++i) {
    cr_assert_eq(test.call("POST", "/q/00000000000000b" + std::to_string(i), job(2, "1500")).status, 200);
  }
  pause(300);
  const unsigned leader = test.leader();
  test.kill("control-" + std::to_string(leader));
  test.kill("agent-1");
  test.agent(1);
  for (int i = 0; i < 6; ++i) {
    const std::string id = "00000000000000b" + std::to_string(i);
    cr_assert(test.until(200, "GET", "/q/" + id, "", "completed"));
    for (int task = 0; task < 2; ++task) {
      const std::string name = "\"" + id + ".0.0." + std::to_string(task) + "\":";
      cr_assert_eq(test.counted(name), 1, "%s ran on two back ends", name.c_str());
    }
  }
  test.control(leader, false);
  cr_assert(test.until(200, "POST", "/q/00000000000000bf", job(1, "50")));
}

Test(workflows_processes, a_lost_disk_is_replaced_and_a_lost_replica_by_another_address) {
  WorkflowDeployment test;
  test.setUp();
  cr_assert_eq(test.call("POST", "/q/00000000000000c0", job(1, "50")).status, 200);
  const unsigned first = test.leader();
  test.kill("control-" + std::to_string(first));
  test.wipe(first);
  test.control(first, false);
  cr_assert(test.until(200, "GET", "/q/00000000000000c0", "", "completed"));
  pause(2500);
  // One is gone for good; a fourth comes with an empty disk, and then another one of the first goes.
  const unsigned second = test.leader();
  test.kill("control-" + std::to_string(second));
  test.control(4, false);
  cr_assert(test.until(200, "GET", "/q/00000000000000c0", "", "completed"));
  pause(4000);
  const unsigned third = test.leader();
  cr_assert_neq(third, 0);
  test.kill("control-" + std::to_string(third));
  cr_assert(test.until(200, "POST", "/q/00000000000000c1", job(1, "50")));
  cr_assert(test.until(200, "GET", "/q/00000000000000c1", "", "completed"));
  cr_assert(test.readBack() == configuration(1));
}

Test(workflows_processes, back_ends_that_crash_mute_or_leave) {
  WorkflowDeployment test;
  test.setUp();
  for (int i = 0; i < 6; ++i) {
    cr_assert_eq(test.call("POST", "/q/00000000000000d" + std::to_string(i), job(2, "800")).status, 200);
  }
  pause(200);
  test.runner(1, "POST", "/crash");
  test.runner(2, "POST", "/mute?ms=1500");
  for (int i = 0; i < 6; ++i) {
    cr_assert(test.until(200, "GET", "/q/00000000000000d" + std::to_string(i), "", "completed"));
  }
  test.runner(1, "POST", "/drain");
  pause(600);
  cr_assert_eq(test.call("POST", "/q/00000000000000df", job(4, "50")).status, 200);
  cr_assert(test.until(200, "GET", "/q/00000000000000df", "", "completed"));
  cr_assert_not(test.runner(1, "GET", "/starts").has("00000000000000df"), "a leaving target gets no new work");
}

Test(workflows_processes, a_hang_up_reloads_and_a_term_ends_in_peace) {
  WorkflowDeployment test;
  test.setUp();
  for (const char* name : {"control-1", "control-2", "control-3", "agent-1", "agent-2", "entry-1"}) {
    test.process(name).signal(SIGHUP);
  }
  pause(1500);
  cr_assert(test.until(200, "POST", "/q/00000000000000e0", job(1, "50")));
  const unsigned leader = test.leader();
  test.process("control-" + std::to_string(leader)).signal(SIGTERM);
  cr_assert_eq(test.process("control-" + std::to_string(leader)).wait(milliseconds(6000)), 0);
  cr_assert(test.until(200, "POST", "/q/00000000000000e1", job(1, "50")));
  test.process("agent-1").signal(SIGTERM);
  cr_assert_eq(test.process("agent-1").wait(milliseconds(6000)), 0);
  test.process("entry-1").signal(SIGTERM);
  cr_assert_eq(test.process("entry-1").wait(milliseconds(40000)), 0);
}
