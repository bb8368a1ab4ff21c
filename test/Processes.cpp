// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/Processes.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "Courseloom/src/Transport/HttpClient.h"

namespace courseloom::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** Offsets within a run of ports: control at +1, platform at +40, targets from +41. */
constexpr PortRange Ports{20000, 116, 100};
/** Number of bytes that are shown from the end of the log of a process that does not become ready. */
constexpr std::streamoff ShownLogBytes = 2000;
constexpr Duration ReadyLimit = milliseconds(20000);
const std::string BuildFolder = COURSELOOM_BUILD_DIR;

void pause(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

}  // namespace

Process::Process(const std::vector<std::string>& arguments, const std::string& log) : m_log(log) {
  std::ifstream before(log, std::ios::ate);
  const std::streamoff begin = before ? static_cast<std::streamoff>(before.tellg()) : 0;
  m_pid = ::fork();
  if (m_pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    std::vector<char*> argv;
    for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }
  awaitReadyLine(log, begin);
}

void Process::printLogIfNotReady() const {
  if (m_ready) return;
  std::ifstream file(m_log, std::ios::ate);
  file.seekg(std::max(std::streamoff{0}, static_cast<std::streamoff>(file.tellg()) - ShownLogBytes));
  std::ostringstream text;
  text << file.rdbuf();
  std::fprintf(stderr, "not ready, %s ends with:\n%s\n", m_log.c_str(), text.str().c_str());
}

/** Searches for the ready line in the part of the log that this process has written. */
void Process::awaitReadyLine(const std::string& log, std::streamoff begin) {
  const Time end = BootClock::now() + ReadyLimit;
  while (BootClock::now() < end && !m_ready) {
    std::ifstream file(log);
    file.seekg(begin);
    for (std::string line; std::getline(file, line) && !file.eof();) {
      // A log line of another thread may precede the ready line on the same line.
      const std::size_t begins = line.find("ready name=");
      const std::size_t at = line.find(" http=", begins);
      if (begins == std::string::npos || at == std::string::npos) continue;
      m_http = line.substr(at + 6, line.find(' ', at + 6) - at - 6);
      m_ready = true;
    }
    siginfo_t ended{};
    const bool over =
        ::waitid(P_PID, static_cast<id_t>(m_pid), &ended, WEXITED | WNOHANG | WNOWAIT) == 0 && ended.si_pid == m_pid;
    if (over && !m_ready) return;
    if (!m_ready) pause(2);
  }
}

Process::~Process() { kill(); }

void Process::signal(int number) const {
  if (m_pid > 0) ::kill(m_pid, number);
}

int Process::wait(Duration limit) {
  const Time end = BootClock::now() + limit;
  int state = 0;
  while (BootClock::now() < end) {
    if (::waitpid(m_pid, &state, WNOHANG) == m_pid) {
      m_pid = -1;
      return WIFEXITED(state) ? WEXITSTATUS(state) : 128 + WTERMSIG(state);
    }
    pause(2);
  }
  return -1;
}

void Process::kill() {
  if (m_pid <= 0) return;
  ::kill(m_pid, SIGKILL);
  ::waitpid(m_pid, nullptr, 0);
  m_pid = -1;
}

std::vector<HttpReply> sendAll(const std::vector<HttpCall>& calls) {
  asio::io_context io;
  std::vector<HttpReply> replies(calls.size());
  std::vector<std::unique_ptr<HttpClient>> clients;
  for (std::size_t i = 0; i < calls.size(); ++i) {
    const HttpCall& call = calls[i];
    const std::size_t colon = call.address.find(':');
    clients.push_back(std::make_unique<HttpClient>(io, call.address.substr(0, colon),
                                                   std::strtoul(call.address.c_str() + colon + 1, nullptr, 10), 0));
    auto one = [&replies, i, &call, client = clients.back().get()]() -> Awaitable<void> {
      HttpRequest request(http::string_to_verb(call.method), call.path, 11);
      for (const auto& [name, value] : call.headers) request.set(name, value);
      request.body() = call.body;
      Result<HttpResponse> response = co_await client->exchange("test", std::move(request), call.limit, 1ULL << 30U);
      if (response) replies[i] = {response->result_int(), response->body()};
    };
    asio::co_spawn(io, std::move(one), asio::detached);
  }
  io.run();
  return replies;
}

HttpReply send(const HttpCall& call) { return sendAll({call}).front(); }

std::string sendRaw(const std::string& address, const std::string& bytes) {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  const std::size_t colon = address.find(':');
  const auto port = static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10));
  boost::system::error_code error;
  socket.connect({asio::ip::make_address(address.substr(0, colon)), port}, error);
  asio::write(socket, asio::buffer(bytes), error);
  socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  std::string answer;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

Deployment::Deployment(Size size) : m_size(std::move(size)), m_ports(Ports), m_base(m_ports.base()) {
  std::string pattern = "/tmp/courseloom-test-XXXXXX";
  m_folder = mkdtemp(pattern.data());
  const std::string standins = BuildFolder + "/test/";
  std::vector<std::string> platform{standins + "standin-platform", "--port", std::to_string(m_base + 40)};
  std::istringstream options(m_size.platformOptions);
  for (std::string word; options >> word;) platform.push_back(word);
  m_commands["platform"] = platform;
  start("platform");
  for (unsigned i = 1; i <= m_size.targets; ++i) {
    const std::string name = "target-" + std::to_string(i);
    m_commands[name] = {standins + "standin-target", "--port", std::to_string(m_base + 40 + i), "--name", name};
    start(name);
  }
  std::vector<std::string> names;
  for (unsigned i = 1; i <= m_size.control; ++i) names.push_back("control-" + std::to_string(i));
  for (unsigned i = 1; i <= m_size.targets; ++i) names.push_back("agent-" + std::to_string(i));
  for (unsigned i = 1; i <= m_size.entries; ++i) names.push_back("entry-" + std::to_string(i));
  for (const std::string& name : names) {
    write(name + ".yaml", settingsOf(name));
    const std::string program = BuildFolder + "/daemons/courseloom-" + name.substr(0, name.find('-'));
    m_commands[name] = {program, "--settings", m_folder + "/" + name + ".yaml"};
    if (name.rfind("control", 0) == 0) {
      runOption(name, "--init");
    }
    start(name);
  }
}

int Deployment::runOption(const std::string& name, const std::string& option) {
  std::vector<std::string> command = m_commands.at(name);
  command.push_back(option);
  return Process(command, m_folder + "/options.log").wait(milliseconds(10000));
}

Deployment::~Deployment() {
  m_processes.clear();
  if (std::getenv("COURSELOOM_KEEP") == nullptr) std::filesystem::remove_all(m_folder);
}

void Deployment::write(const std::string& file, const std::string& text) const {
  std::ofstream stream(m_folder + "/" + file);
  stream << text;
}

std::string Deployment::settingsOf(const std::string& name) const {
  const unsigned number = static_cast<unsigned>(std::strtoul(name.c_str() + name.find('-') + 1, nullptr, 10));
  const bool control = name.rfind("control", 0) == 0;
  std::ostringstream text;
  text << "node: {name: " << name << ", address: 127.0.0.1, dataHall: hall-1, dataFolder: " << m_folder << "/" << name
       << ", rpcPort: " << (control ? m_base + number : 0) << "}\n"
       << "cluster:\n  id: test\n  heartbeatMs: 50\n  electionTimeoutMs: 400\n  freshnessLeaseMs: 2000\n  members:\n";
  for (unsigned i = 1; i <= m_size.control; ++i) {
    text << "    - {id: " << i << ", address: 127.0.0.1, rpcPort: " << m_base + i << "}\n";
  }
  text << "platform: {address: 127.0.0.1, port: " << m_base + 40 << ", pollMs: 50}\n";
  const bool agent = name.rfind("agent", 0) == 0;
  if (agent) {
    text << "agent: {service: quotes, target: target-" << number
         << ", targetAddress: 127.0.0.1, targetPort: " << m_base + 40 + number
         << (m_size.agentExtra.empty() ? "" : ", " + m_size.agentExtra) << "}\n";
  }
  text << m_size.commonExtra;
  return text.str();
}

void Deployment::start(const std::string& name) {
  m_processes[name] = std::make_unique<Process>(m_commands.at(name), m_folder + "/" + name + ".log");
  m_processes[name]->printLogIfNotReady();
}

void Deployment::restart(const std::string& name) {
  kill(name);
  start(name);
}

void Deployment::wipe(const std::string& name) { std::filesystem::remove_all(m_folder + "/" + name); }

bool Deployment::until(const HttpCall& call, const std::string& text, Duration limit) {
  const Time end = BootClock::now() + limit;
  while (BootClock::now() < end) {
    if (send(call).has(text)) return true;
    pause(20);
  }
  return false;
}

HttpReply Deployment::apply(const std::string& json, const std::string& commandId, const std::string& entry) {
  Headers headers{{"Content-Type", "application/json"}};
  if (!commandId.empty()) headers.emplace_back("Courseloom-Command-Id", commandId);
  return send({http(entry), "POST", "/v1/objects", json, headers});
}

void Deployment::setUp() {
  const std::string objects =
      R"({"objects":[{"name":"quotes","service":{}},{"name":"andes","workspace":{}},{"name":"retail","workspace":{}}]})";
  const Time end = BootClock::now() + milliseconds(20000);
  while (apply(objects).status != 200 && BootClock::now() < end) pause(50);
  for (unsigned e = 1; e <= m_size.entries; ++e) {
    const std::string entry = "entry-" + std::to_string(e);
    until({http(entry), "GET", "/readyz"}, "ready\n");
    // Once every target has answered through every entry, all views are complete.
    for (unsigned t = 1; t <= m_size.targets; ++t) until(request(entry, "hello"), "target-" + std::to_string(t));
  }
}

std::string Deployment::leader() {
  const HttpReply reply = status();
  const std::size_t at = reply.body.find("\"leader\": ");
  const int number = at == std::string::npos ? 0 : std::atoi(reply.body.c_str() + at + 10);
  return number == 0 ? std::string() : "control-" + std::to_string(number);
}

HttpCall Deployment::request(const std::string& entry, const std::string& body, const std::string& id) const {
  HttpCall call{
      m_processes.at(entry)->http(), "POST", "/v1/services/quotes/requests", body, {{"Courseloom-Workspace", "andes"}}};
  if (!id.empty()) {
    call.headers.emplace_back("Courseloom-Repeatable", "false");
    call.headers.emplace_back("Courseloom-Request-Id", id);
  }
  return call;
}

HttpReply Deployment::waitJob(const std::string& id, unsigned ms) {
  return send(
      {http("entry-1"), "GET", "/v1/jobs/" + id + "?wait=" + std::to_string(ms), "", {}, milliseconds(ms + 5000)});
}

void Deployment::behave(const std::string& target, const std::string& mode, int ms) {
  send({http(target), "POST", "/behave?mode=" + mode + "&ms=" + std::to_string(ms)});
}

int Deployment::runs(const std::string& requestId) {
  int total = 0;
  for (unsigned i = 1; i <= m_size.targets; ++i) {
    const HttpReply reply = send({http("target-" + std::to_string(i)), "GET", "/runs"});
    const std::size_t at = reply.body.find("\"" + requestId + "\":");
    if (at != std::string::npos) total += std::atoi(reply.body.c_str() + at + requestId.size() + 3);
  }
  return total;
}

}  // namespace courseloom::test
