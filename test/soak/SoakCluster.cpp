// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/soak/SoakCluster.h"

#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>

#include "test/soak/SocketOwner.h"

namespace courseloom::test {

namespace {

const std::string BuildFolder = COURSELOOM_BUILD_DIR;
/** Lowest rate of a target's clock, in percent of real time. */
constexpr unsigned SlowestClock = 98;
constexpr PortRange Ports{21000, 400, 10};

}  // namespace

SoakCluster::SoakCluster(SoakSize size, std::uint64_t seed, bool holdsBackLateOrders, SlowLookups slow)
    : m_size(size),
      m_ports(Ports),
      m_base(m_ports.base()),
      // The addresses depend on the process id, so that concurrent runs do not share them.
      m_net(10 + static_cast<unsigned>(::getpid()) / 400 % 200),
      m_proxy(m_io, m_rules, [this](const auto& caller, const auto& proxy) { return callerOf(caller, proxy); }) {
  std::string pattern = "/tmp/courseloom-soak-XXXXXX";
  m_folder = mkdtemp(pattern.data());
  std::mt19937_64 random(seed);
  for (unsigned i = 1; i <= m_size.control; ++i) {
    const std::string name = "control-" + std::to_string(i);
    m_proxy.forward(name, address(i), m_base + RpcProxyPort, m_base + RpcPort);
    addDaemon(name, i,
              "control: {reserveMb: 1, snapshotEntries: 200, toleratedLosses: 1}\nedge: {controlEndpoint: \"" +
                  at(i, ControlPort) + "\"}\n");
  }
  for (unsigned i = 1; i <= m_size.targets; ++i) {
    const std::string runner = "runner-" + std::to_string(i);
    m_proxy.forward(runner, address(AgentHost + i), m_base + RunnerProxyPort, m_base + RunnerPort);
    addDaemon("agent-" + std::to_string(i), AgentHost + i,
              "runner: {service: s, targetEndpoint: \"" + at(AgentHost + i, RunnerProxyPort) +
                  "\"}\nedge: {controlEndpoint: \"" + at(AgentHost + i, ControlPort) + "\"}\n");
    addRunner(i, std::uniform_int_distribution<unsigned>(SlowestClock, 100)(random), seed + i);
    if (holdsBackLateOrders) m_commands[runner].emplace_back("--hold-back-late-orders");
  }
  for (unsigned i = 1; i <= m_size.entries; ++i) {
    addDaemon("entry-" + std::to_string(i), EntryHost + i,
              "entry: {notReadyMs: 100, drainLimitMs: 2500}\nedge: {clientEndpoint: \"" +
                  at(EntryHost + i, ClientPort) + "\", readinessEndpoint: \"" + at(EntryHost + i, ReadinessPort) +
                  "\"}\n");
  }
  m_proxy.setLookupDelay(slow.delay, BootClock::now() + slow.after);
  m_proxy.measureLoad();
  m_proxyThread = std::thread([this] {
    const auto work = boost::asio::make_work_guard(m_io);
    m_io.run();
  });
  for (const auto& [name, command] : m_commands) start(name);
}

SoakCluster::~SoakCluster() {
  m_processes.clear();
  m_io.stop();
  m_proxyThread.join();
  if (!m_keep) std::filesystem::remove_all(m_folder);
}

std::string SoakCluster::address(unsigned host) const {
  return "127.1." + std::to_string(m_net) + "." + std::to_string(host);
}

void SoakCluster::addDaemon(const std::string& name, unsigned host, const std::string& extra) {
  const std::string kind = name.substr(0, name.find('-'));
  const unsigned rpc = kind == "control" ? m_base + RpcPort : 0;
  std::ofstream file(m_folder + "/" + name + ".yaml");
  file << "node: {name: " << name << ", address: " << address(host)
       << ", dataHall: hall-1, threads: 1, rpcPort: " << rpc << ", httpPort: " << m_base + HttpPort
       << ", dataFolder: " << m_folder << "/" << name << "}\n"
       << "cluster:\n  id: soak\n  heartbeatMs: 50\n  electionTimeoutMs: 400\n  freshnessLeaseMs: 2000\n"
       << "  bootstrap: true\n  seedRpcPort: " << m_base + RpcProxyPort << "\n  seeds:\n";
  for (unsigned i = 1; i <= std::min(3U, m_size.control); ++i)
    file << "    - {endpoint: \"" << at(i, ControlPort) << "\"}\n";
  file << extra;
  m_commands[name] = {BuildFolder + "/daemons/courseloom-" + kind, "--settings", m_folder + "/" + name + ".yaml"};
}

void SoakCluster::addRunner(unsigned target, unsigned clockPercent, std::uint64_t seed) {
  m_commands["runner-" + std::to_string(target)] = {BuildFolder + "/test/standin-runner",
                                                    "--address",
                                                    address(AgentHost + target),
                                                    "--port",
                                                    std::to_string(m_base + RunnerPort),
                                                    "--agent",
                                                    at(AgentHost + target, ControlPort),
                                                    "--name",
                                                    "m" + std::to_string(target),
                                                    "--events",
                                                    eventFile(target),
                                                    "--clock-percent",
                                                    std::to_string(clockPercent),
                                                    "--seed",
                                                    std::to_string(seed)};
}

void SoakCluster::start(const std::string& name) {
  auto process = std::make_unique<Process>(m_commands.at(name), m_folder + "/" + name + ".log");
  process->printLogIfNotReady();
  const std::lock_guard lock(m_mutex);
  m_pids[name] = process->pid();
  m_processes[name] = std::move(process);
  m_expected[name] = false;
}

void SoakCluster::kill(const std::string& name) {
  m_expected[name] = true;
  m_processes.at(name)->kill();
  const std::lock_guard lock(m_mutex);
  m_pids.erase(name);
}

bool SoakCluster::alive(const std::string& name) const { return m_processes.at(name)->pid() > 0; }

std::vector<std::string> SoakCluster::unexpectedExits() {
  std::vector<std::string> found;
  for (const auto& [name, process] : m_processes) {
    if (process->pid() <= 0) continue;
    const int code = process->wait(milliseconds(1));
    if (code < 0) continue;
    if (!m_expected[name]) found.push_back(name + " ended by itself with code " + std::to_string(code));
    const std::lock_guard lock(m_mutex);
    m_pids.erase(name);
  }
  return found;
}

void SoakCluster::wipe(const std::string& name) {
  std::filesystem::remove_all(m_folder + "/" + name);
  // A replica that restarts with an empty disk must not bootstrap the cluster again.
  const std::string file = m_folder + "/" + name + ".yaml";
  std::ifstream before(file);
  std::string text((std::istreambuf_iterator<char>(before)), std::istreambuf_iterator<char>());
  const std::string founding = "bootstrap: true";
  const std::size_t at = text.find(founding);
  if (at != std::string::npos) text.replace(at, founding.size(), "bootstrap: false");
  std::ofstream(file) << text;
}

void SoakCluster::tearTail(const std::string& name, std::uint64_t seed) {
  std::filesystem::path newest;
  std::error_code none;  // a lost disk may not have been created again yet
  for (const auto& entry : std::filesystem::directory_iterator(m_folder + "/" + name, none)) {
    const bool isLog = entry.is_regular_file() && entry.path().filename().string().find("log") != std::string::npos;
    if (isLog && (newest.empty() || entry.path() > newest)) newest = entry.path();
  }
  if (newest.empty()) return;
  std::mt19937_64 random(seed);
  std::ofstream file(newest, std::ios::app | std::ios::binary);
  for (unsigned i = 0; i < 1 + random() % 64; ++i) file.put(static_cast<char>(random()));
}

std::string SoakCluster::callerOf(const FaultProxy::Tcp::endpoint& caller, const FaultProxy::Tcp::endpoint& proxy) {
  std::map<int, std::string> names;
  std::vector<int> pids;
  {
    const std::lock_guard lock(m_mutex);
    for (const auto& [name, pid] : m_pids) {
      names[pid] = name;
      pids.push_back(pid);
    }
  }
  const int owner = ownerOfConnection(caller, proxy, pids);
  return owner == 0 ? std::string() : names.at(owner);
}

}  // namespace courseloom::test
