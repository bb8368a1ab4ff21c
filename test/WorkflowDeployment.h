// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <google/protobuf/util/json_util.h>

#include "generated/rpc.pb.h"
#include "generated/settings.pb.h"
#include "test/PortClaim.h"
#include "test/Processes.h"
#include "test/main.h"

namespace courseloom::test {

inline const std::string BuildFolder = COURSELOOM_BUILD_DIR;
inline constexpr unsigned ElectionTimeoutMs = 400;
inline constexpr unsigned ControlPort = 1;
inline constexpr unsigned ClientPort = 2;
inline constexpr unsigned ReadinessPort = 3;
inline constexpr unsigned TargetPort = 4;
inline constexpr unsigned HttpPort = 5;

inline void pause(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/** \returns a queue of a configuration. \param more further members, each with a leading comma */
inline std::string route(const std::string& name, const std::string& prefix, unsigned priority = 1,
                         const std::string& more = "") {
  return R"({"name":")" + name + R"(","host":"h.example","path_prefix":"/)" + prefix +
         R"(/","timeout_ms":3000,"target_latency_ms":250,"priority":)" + std::to_string(priority) +
         R"(,"service":"s","max_attempts":2,"stretch":3.0)" + more + "}";
}

/** \returns a tenant of a configuration, with a guarantee of 8 accelerators. */
inline std::string tenant(const std::string& name, const std::string& key) {
  return R"({"name":")" + name + R"(","api_keys":[")" + key + R"("],"guaranteed":{"gpu":8}})";
}

/** \returns a configuration with the given queues and tenants, each a list of objects. */
inline std::string configurationOf(unsigned version, const std::string& routes, const std::string& tenants) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes +
         R"(],"services":[{"name":"s"}],"tenants":[)" + tenants + "]}";
}

inline std::string configuration(unsigned version, const std::string& key = "key-1") {
  return configurationOf(version, route("q", "q"), tenant("t", key));
}

/** \returns the id of a workflow, 16 hexadecimal digits. */
inline std::string workflowId(unsigned number) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016x", number);
  return text.data();
}

/** \param spec the stand-in's instruction for each task, such as its run time in milliseconds
 * \param accelerators number for each task */
inline std::string job(unsigned count, const std::string& spec, bool gang = false, unsigned accelerators = 1) {
  return R"({"spec":")" + spec + R"(","steps":[{"count":)" + std::to_string(count) + R"(,"gang":)" +
         (gang ? "true" : "false") + R"(,"cpu":1000,"mem_mb":100,"gpu":)" + std::to_string(accelerators) +
         R"(,"estimate_ms":200,"checkpointing":true}]})";
}

inline std::string gang(unsigned count, const std::string& spec) { return job(count, spec, true); }

/** \class DeploymentSettings
 * \brief Settings in which a deployment differs from the usual one. Sections are in YAML.
 */
struct DeploymentSettings {
  unsigned agents = 2;
  std::string policy = "{}";               ///< section `policy` of the replicas
  std::string control;                     ///< further keys of section `control`, each with a leading comma
  std::string runner;                      ///< further keys of section `runner`, each with a leading comma
  std::string entry = "{notReadyMs: 10}";  ///< section `entry`
};

/** \class WorkflowDeployment
 * \brief Three replicas, an entry, and two agents (by default) with their back ends, each on its own address. The first
 * back end is the advice service too.
 */
class WorkflowDeployment {
 public:
  /** \param policy settings of section `policy` of the replicas, in YAML */
  explicit WorkflowDeployment(unsigned agents = 2, std::string policy = "{}")
      : WorkflowDeployment(DeploymentSettings{agents, std::move(policy)}) {}
  explicit WorkflowDeployment(DeploymentSettings settings)
      : m_ports({21000, 400, 10}), m_base(m_ports.base()), m_settings(std::move(settings)) {
    const unsigned agents = m_settings.agents;
    std::string pattern = "/tmp/courseloom-test-XXXXXX";
    m_folder = mkdtemp(pattern.data());
    for (unsigned i = 1; i <= 3; ++i) control(i, true);
    for (unsigned i = 1; i <= agents; ++i) {
      agent(i);
      m_processes["runner-" + std::to_string(i)] = std::make_unique<Process>(
          std::vector<std::string>{BuildFolder + "/test/standin-runner", "--address", address(10 + i), "--port",
                                   std::to_string(m_base + TargetPort), "--agent", at(10 + i, ControlPort), "--name",
                                   "m" + std::to_string(i), "--hall", hallOf(10 + i)},
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
              "\ncontrol: {reserveMb: 1, snapshotEntries: 64" + m_settings.control + "}\npolicy: " + m_settings.policy +
              "\nedge: {controlEndpoint: " + at(i, ControlPort) + ", adviceEndpoint: " + at(11, TargetPort) + "}\n");
  }
  void agent(unsigned i) {
    start("agent-" + std::to_string(i), "courseloom-agent", 10 + i,
          "runner: {service: s, targetEndpoint: \"" + at(10 + i, TargetPort) + "\"" + m_settings.runner +
              "}\nedge: {controlEndpoint: \"" + at(10 + i, ControlPort) + "\"}\n");
  }
  void entry() {
    start("entry-1", "courseloom-entry", 20,
          "entry: " + m_settings.entry + "\nedge: {clientEndpoint: \"" + at(20, ClientPort) +
              "\", readinessEndpoint: \"" + at(20, ReadinessPort) + "\"}\n");
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
  /** \returns the answer to a submission as text, with its header. */
  std::string submitRaw(const std::string& path, const std::string& body) {
    return sendRaw(at(20, ClientPort), "POST " + path +
                                           " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\n"
                                           "Content-Type: application/json\r\nConnection: close\r\nContent-Length: " +
                                           std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  /** Repeats a call until its status and body match, for at most 20 s. \param text part of the body */
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
  /** Sends a configuration to the replicas in turn until one answers 200 or 400, for at most 20 s.
   * \returns its status, or 0 */
  unsigned configure(const std::string& body) {
    const Time end = BootClock::now() + milliseconds(20000);
    for (unsigned i = 0; BootClock::now() < end; ++i) {
      const HttpReply reply = send({at(1 + i % 4, ControlPort), "POST", "/-/Config.Put", body, {}, milliseconds(3000)});
      if (reply.status == 200 || reply.status == 400) return reply.status;
      pause(20);
    }
    return 0;
  }
  /** Sends an operator's order without a body to the replicas in turn until one answers 200 or 400, at most 400 times.
   * \returns its status, or 0 */
  unsigned order(const std::string& path) {
    for (unsigned i = 0; i < 400; ++i) {
      const HttpReply reply = send({at(1 + i % 4, ControlPort), "POST", path, "", {}, milliseconds(3000)});
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
  /** \returns the number of the replica that leads, or 0 if none is found. */
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
  /** \returns how many of the two back ends' counters contain a text: 0 to 2. */
  unsigned counted(const std::string& text) {
    unsigned count = 0;
    for (unsigned i = 1; i <= 2; ++i) count += runner(i, "GET", "/starts").has(text) ? 1 : 0;
    return count;
  }
  /** \returns the leader's estimate of a back end's time factor (run time of a task relative to a usual back end); 0 if
   * the status does not give it. */
  double timeFactor(unsigned i) {
    const HttpReply reply = send({at(20, HttpPort), "GET", "/v1/status", "", {}, milliseconds(3000)});
    schema::QueryReply status;
    if (!google::protobuf::util::JsonStringToMessage(reply.body, &status).ok()) return 0.0;
    for (const schema::TargetStatus& target : status.status().targets()) {
      if (target.agent() == "agent-" + std::to_string(i)) return target.time_factor();
    }
    return 0.0;
  }
  /** \returns the sum of all series of a metric on a replica's metrics page.
   * \param name with the prefix courseloom_ */
  double metric(unsigned replica, const std::string& name) {
    std::istringstream page(send({at(replica, HttpPort), "GET", "/metrics", "", {}, milliseconds(3000)}).body);
    double sum = 0.0;
    for (std::string line; std::getline(page, line);) {
      const bool matches = line.rfind(name, 0) == 0 && (line[name.size()] == '{' || line[name.size()] == ' ');
      if (matches) sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
    }
    return sum;
  }
  void setUp() {
    cr_assert_eq(configure(configuration(1)), 200);
    cr_assert(until(200, "GET", "/q/", "", "pending"));
  }

  /** \returns the cluster section of a node's settings, for agents that a test simulates itself. */
  schema::ClusterSettings cluster() const {
    schema::ClusterSettings settings;
    settings.set_election_timeout_ms(ElectionTimeoutMs);
    settings.set_seed_rpc_port(m_base);
    for (unsigned i = 1; i <= 3; ++i) settings.add_seeds()->set_endpoint(at(i, ControlPort));
    return settings;
  }

  /** \returns the address of a process. \param host 1 to 3 for the replicas, 11 and 12 for the agents, 20 for the entry
   */
  std::string address(unsigned host) const { return "127.0.7." + std::to_string(host); }
  /** \returns an endpoint of a process. \param port offset from the first port, such as ClientPort; 0 for RPC */
  std::string at(unsigned host, unsigned port) const { return address(host) + ":" + std::to_string(m_base + port); }

 private:
  /** The second agent is in hall-2; all other processes are in hall-1. */
  static std::string hallOf(unsigned host) { return host == 12 ? "hall-2" : "hall-1"; }

  void start(const std::string& name, const std::string& program, unsigned host, const std::string& extra) {
    std::ofstream file(m_folder + "/" + name + ".yaml");
    file << "node: {name: " << name << ", address: " << address(host) << ", dataHall: " << hallOf(host)
         << ", threads: 1, rpcPort: " << m_base << ", httpPort: " << m_base + HttpPort << ", dataFolder: " << m_folder
         << "/" << name << "}\n"
         << "cluster:\n  id: test\n  heartbeatMs: 50\n  electionTimeoutMs: " << ElectionTimeoutMs
         << "\n  freshnessLeaseMs: 2000\n"
         << "  seedRpcPort: " << m_base << "\n  seeds:\n";
    for (unsigned i = 1; i <= 3; ++i) file << "    - {endpoint: \"" << at(i, ControlPort) << "\"}\n";
    file << extra;
    file.close();
    m_processes[name] = std::make_unique<Process>(
        std::vector<std::string>{BuildFolder + "/daemons/" + program, "--settings", m_folder + "/" + name + ".yaml"},
        m_folder + "/" + name + ".log");
    m_processes[name]->printLogIfNotReady();
  }

  std::string m_folder;
  PortClaim m_ports;
  unsigned m_base;
  DeploymentSettings m_settings;
  std::map<std::string, std::unique_ptr<Process>> m_processes;
};

}  // namespace courseloom::test
