// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// A small deployment on loopback for the scripts of the review: the project's own programs as processes, with the
// commands of deploy/system.toml and the settings templates of deploy/; minions, clients, the operator and the advice
// service are stand-ins in this process, which follow PROTOCOL.md. All stand-ins share one lock, so that the order of
// events in the record is the order in which they happened.

#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace lab {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCouldNotRun = 2;

/** Bounds of the site cbac-lima that the settings and the checks use. */
constexpr std::int64_t MaxHoldMs = 6000;
constexpr std::int64_t StopMs = 400;
constexpr std::int64_t HeartbeatMs = 1500;

// ---- record

inline std::mutex g_mutex;  ///< guards the state of all stand-ins
inline std::condition_variable g_changed;
inline std::ofstream g_record;
inline const Clock::time_point g_begin = Clock::now();

inline std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - g_begin).count();
}

inline void record(const std::string& line) {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f  ", static_cast<double>(nowMs()) / 1000.0);
  g_record << time << line << std::endl;
}

inline void sleepMs(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

[[noreturn]] void finish(int code, const std::string& why);

// ---- HTTP

struct Message {
  std::string start;  ///< request line or status line
  std::map<std::string, std::string> headers;
  std::string body;

  std::string header(std::string name) const {
    for (char& c : name) c = static_cast<char>(std::tolower(c));
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
  }
};

inline bool waitFor(int socket, short events, std::int64_t untilMs) {
  const std::int64_t left = untilMs - nowMs();
  pollfd fd{socket, events, 0};
  return left > 0 && ::poll(&fd, 1, static_cast<int>(left)) == 1;
}

/** Reads one message. \param buffer bytes that were read beyond it \returns nothing if the connection ended or time ran
 * out */
inline std::optional<Message> readMessage(int socket, std::string& buffer, std::int64_t untilMs) {
  const auto more = [&] {
    char part[65536];
    if (!waitFor(socket, POLLIN, untilMs)) return false;
    const ssize_t length = ::recv(socket, part, sizeof part, 0);
    if (length <= 0) return false;
    buffer.append(part, static_cast<std::size_t>(length));
    return true;
  };
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) return std::nullopt;
  }
  Message message;
  std::istringstream head(buffer.substr(0, end));
  buffer.erase(0, end + 4);
  std::getline(head, message.start);
  if (!message.start.empty() && message.start.back() == '\r') message.start.pop_back();
  for (std::string line; std::getline(head, line);) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon);
    for (char& c : name) c = static_cast<char>(std::tolower(c));
    message.headers[name] = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
  }
  const std::size_t length = std::strtoul(message.header("content-length").c_str(), nullptr, 10);
  while (buffer.size() < length) {
    if (!more()) return std::nullopt;
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return message;
}

inline bool sendAll(int socket, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t part = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (part <= 0) return false;
    sent += static_cast<std::size_t>(part);
  }
  return true;
}

inline sockaddr_in endpointOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

struct Reply {
  int status = 0;  ///< 0 for no answer
  std::string body;
  std::string location;
};

/** Makes one call on a connection of its own. */
inline Reply call(const std::string& ip, int port, const std::string& method, const std::string& path,
                  const std::string& body, const std::string& headers, std::int64_t limitMs) {
  const std::int64_t until = nowMs() + limitMs;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = endpointOf(ip, port);
  Reply reply;
  ::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  int error = 0;
  socklen_t size = sizeof error;
  const bool connected =
      waitFor(socket, POLLOUT, until) && ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
  if (connected) {
    ::fcntl(socket, F_SETFL, 0);
    const bool hasHost = headers.find("Host:") != std::string::npos;
    const std::string head =
        method + " " + path + " HTTP/1.1\r\n" + (hasHost ? "" : "Host: " + ip + "\r\n") + headers +
        "Content-Type: application/json\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n";
    std::string buffer;
    if (sendAll(socket, head + body)) {
      if (std::optional<Message> message = readMessage(socket, buffer, until)) {
        reply.status = std::atoi(message->start.substr(std::min<std::size_t>(message->start.size(), 9)).c_str());
        reply.body = message->body;
        reply.location = message->header("location");
      }
    }
  }
  ::close(socket);
  return reply;
}

/** Answers a request; an empty optional leaves it without an answer. */
using Handler = std::function<std::optional<std::pair<int, std::string>>(const Message&)>;

/** \class Server
 * \brief Listens on one address until it is closed; closing it breaks its connections.
 */
class Server {
 public:
  Server(std::string ip, int port, Handler handler) : m_handler(std::move(handler)) {
    m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    const sockaddr_in address = endpointOf(ip, port);
    const bool bound = ::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
                       ::listen(m_listener, 64) == 0;
    if (!bound) finish(ExitCouldNotRun, "cannot listen on " + ip + ":" + std::to_string(port));
    m_thread = std::thread([this] { accept(); });
  }
  ~Server() { close(); }
  void close() {
    if (m_closed.exchange(true)) return;
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
    const std::lock_guard lock(m_shared->mutex);
    for (const int socket : m_shared->open) {
      const linger reset{1, 0};
      ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      ::shutdown(socket, SHUT_RDWR);
    }
  }

 private:
  struct Shared {
    std::mutex mutex;
    std::set<int> open;
  };
  void accept() {
    while (!m_closed) {
      const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) continue;
      const int one = 1;
      ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      {
        const std::lock_guard lock(m_shared->mutex);
        m_shared->open.insert(socket);
      }
      std::thread([shared = m_shared, handler = m_handler, socket] { serve(*shared, handler, socket); }).detach();
    }
  }
  static void serve(Shared& shared, const Handler& handler, int socket) {
    std::string buffer;
    while (std::optional<Message> request = readMessage(socket, buffer, nowMs() + 600000)) {
      const auto answer = handler(*request);
      if (!answer) continue;  // the caller waits, and closes the connection in the end
      const std::string head =
          "HTTP/1.1 " + std::to_string(answer->first) +
          " x\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(answer->second.size()) +
          "\r\n\r\n";
      if (!sendAll(socket, head + answer->second)) break;
    }
    const std::lock_guard lock(shared.mutex);
    shared.open.erase(socket);
    ::close(socket);
  }
  Handler m_handler;
  int m_listener = -1;
  std::atomic<bool> m_closed{false};
  std::shared_ptr<Shared> m_shared = std::make_shared<Shared>();
  std::thread m_thread;
};

// ---- processes

inline std::string g_folder;  ///< temporary folder of this run

/** \class Process
 * \brief One process of the project. */
class Process {
 public:
  Process(std::string name, std::vector<std::string> command) : m_name(std::move(name)), m_command(std::move(command)) {
    start();
  }
  ~Process() { kill(SIGKILL); }
  void start() {
    record("process " + m_name + " starts");
    m_pid = ::fork();
    if (m_pid != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open((g_folder + "/" + m_name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, 1);
    ::dup2(log, 2);
    std::vector<char*> words;
    for (std::string& word : m_command) words.push_back(word.data());
    words.push_back(nullptr);
    ::execv(words[0], words.data());
    ::_exit(127);
  }
  /** Sends a signal that ends the process, and waits for its end. */
  void kill(int signal) {
    if (m_pid <= 0) return;
    record("process " + m_name + " gets signal " + std::to_string(signal));
    ::kill(m_pid, signal);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = 0;
  }
  /** Sends a signal and returns at once. */
  void signal(int signal) {
    record("process " + m_name + " gets signal " + std::to_string(signal));
    ::kill(m_pid, signal);
  }
  /** \returns whether it runs. */
  bool runs() {
    if (m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == m_pid) m_pid = 0;
    return m_pid > 0;
  }
  pid_t pid() const { return m_pid; }

 private:
  std::string m_name;
  std::vector<std::string> m_command;
  pid_t m_pid = 0;
};

// ---- minions

struct Run {
  std::int64_t run = 0;
  std::int64_t startedMs = 0;  ///< by the minion's clock
  std::int64_t stopAtMs = 0;   ///< 0 if it is not being stopped
  std::string spec;
  std::string checkpoint;
  std::int64_t gpu = 0;
};

/** \class Minion
 * \brief A stand-in for a minion, as "Running tasks" and "Service discovery" of PROTOCOL.md describe it.
 *
 * A task's `spec` is its work in milliseconds; `lasts` works until it is stopped.
 */
class Minion {
 public:
  std::string name, ip, zone, agentIp;
  int port = 0, agentPort = 0;
  std::vector<std::string> labels;
  bool up = false;
  std::string id;
  std::map<std::string, Run> running;

  /** Takes an order out of the stream of orders: it gets no answer, and is carried out later by carryOut(). */
  std::function<bool(Minion&, const std::string& path, const json::object& body)> withhold;
  /** \returns the reason for which a start is rejected, or an empty text. */
  std::function<std::string(Minion&, const json::object& body)> reject;
  /** Called with the lock held after a run has begun. */
  std::function<void(Minion&, const std::string& task, std::int64_t run)> onStart;
  /** Called with the lock held after a run was listed as ended. */
  std::function<void(Minion&, const std::string& task, std::int64_t run, const std::string& how)> onEnd;

  /** Begins a life. \param newId whether the life has a new id \param first called with the lock held before the minion
   * listens */
  void begin(bool newId, const std::function<void()>& first = {}) {
    {
      const std::lock_guard lock(g_mutex);
      ++m_lives;
      if (newId || id.empty()) {
        static std::mt19937 random{std::random_device{}()};
        char text[16];
        std::snprintf(text, sizeof text, "i-%08x", static_cast<unsigned>(random()));
        id = text;
      }
      m_born =
          std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count();
      m_startedMs = nowMs();
      m_sequence = 0;
      m_token = 0;
      m_heldUntil = 0;
      m_lastEnd = 0;
      m_highest.clear();
      m_ends.clear();
      running.clear();
      up = true;
      record("minion " + name + " begins life " + std::to_string(m_lives) + " as " + id + ", born " +
             std::to_string(m_born));
      if (first) first();
    }
    m_server = std::make_unique<Server>(ip, port, [this](const Message& request) { return answer(request); });
    m_beats = true;
    m_heartbeats = std::thread([this] { heartbeatLoop(); });
    m_timer = std::thread([this] { timeLoop(); });
  }
  /** Ends the life as a crash does: it says nothing, and what runs there is gone. */
  void crash() {
    {
      const std::lock_guard lock(g_mutex);
      up = false;
      std::string lost;
      for (const auto& [task, run] : running) lost += " " + task + "/" + std::to_string(run.run);
      running.clear();
      record("minion " + name + " (" + id + ") crashes; running there:" + (lost.empty() ? " nothing" : lost));
      g_changed.notify_all();
    }
    m_beats = false;
    m_server.reset();
    if (m_heartbeats.joinable()) m_heartbeats.join();
    if (m_timer.joinable()) m_timer.join();
  }
  /** Carries out an order that was withheld, in the present life; with the lock held. */
  void carryOut(const std::string& path, const json::object& body) {
    const auto [status, text] = execute(path, body);
    record("minion " + name + " (" + id + ") carries out late: " + path + " " + json::serialize(body) + " -> " +
           std::to_string(status) + " " + text);
  }
  std::int64_t clockMs() const { return nowMs() - m_startedMs + 1000; }
  ~Minion() {
    if (up) crash();
  }

 private:
  std::optional<std::pair<int, std::string>> answer(const Message& request) {
    const std::size_t space = request.start.find(' ');
    const std::string path = request.start.substr(space + 1, request.start.find(' ', space + 1) - space - 1);
    boost::system::error_code error;
    const json::value value = json::parse(request.body.empty() ? "{}" : request.body, error);
    if (error || !value.is_object()) return std::pair(400, std::string("{}"));
    const json::object& body = value.get_object();
    std::unique_lock lock(g_mutex);
    if (!up) return std::nullopt;
    const std::string meant = request.header("X-Courseloom-Target-Instance");
    if (!meant.empty() && meant != id) return std::pair(421, std::string("{}"));
    if (withhold && withhold(*this, path, body)) return std::nullopt;
    if (path == "/-/hold") return hold(body, lock);
    const auto [status, text] = execute(path, body);
    constexpr int MaxRecorded = 80;
    static int recorded = 0;
    if (path != "/-/pace" && recorded <= MaxRecorded) {
      record("minion " + name + " (" + id + ") " + path + " " + json::serialize(body) + " -> " +
             std::to_string(status) + " " + text);
      if (recorded++ == MaxRecorded) record("further orders to minions are not recorded one by one");
    }
    return std::pair(status, text);
  }
  static std::int64_t number(const json::object& body, const char* field) {
    const json::value* value = body.if_contains(field);
    boost::system::error_code error;
    return value == nullptr ? 0 : value->to_number<std::int64_t>(error);
  }
  std::string simple(const char* reason = nullptr) const {
    json::object body{{"clock_ms", clockMs()}};
    if (reason != nullptr) body["reason"] = reason;
    return json::serialize(body);
  }
  bool fenced(const json::object& body) {
    if (number(body, "fencing_token") < m_token) return true;
    m_token = number(body, "fencing_token");
    return false;
  }
  void extend(std::int64_t deadline) { m_heldUntil = std::max(m_heldUntil, std::min(deadline, clockMs() + MaxHoldMs)); }
  std::pair<int, std::string> execute(const std::string& path, const json::object& body) {
    if (fenced(body)) return {409, simple("fence")};
    const std::string task = body.contains("task") ? std::string(body.at("task").as_string()) : "";
    const std::int64_t run = number(body, "run");
    if (path == "/-/run-stop") {
      const auto found = running.find(task);
      if (found != running.end() && found->second.run <= run) {
        if (found->second.stopAtMs == 0) found->second.stopAtMs = clockMs() + 50;
      } else {
        m_highest[task] = std::max(m_highest[task], run);
      }
      return {200, simple()};
    }
    if (path != "/-/run-start") return {200, simple()};
    const bool late = number(body, "deadline_ms") <= clockMs();
    extend(number(body, "deadline_ms"));
    if (late) return {409, simple("late")};
    const auto found = running.find(task);
    if (found != running.end() && found->second.run == run) return {200, simple()};
    if (m_highest[task] >= run) return {409, simple("old")};
    if (found != running.end()) return {409, simple("room")};
    if (reject) {
      const std::string reason = reject(*this, body);
      if (!reason.empty()) return {409, simple(reason.c_str())};
    }
    Run& begun = running[task];
    begun.run = run;
    begun.startedMs = clockMs();
    begun.spec = std::string(body.at("spec").as_string());
    if (onStart) onStart(*this, task, run);
    g_changed.notify_all();
    return {200, simple()};
  }
  std::int64_t percentOf(const Run& run) const {
    if (run.spec == "lasts") return 100;
    const std::int64_t work = std::max<std::int64_t>(1, std::atoll(run.spec.c_str()));
    return std::min<std::int64_t>(99, (clockMs() - run.startedMs) * 100 / work);
  }
  std::optional<std::pair<int, std::string>> hold(const json::object& body, std::unique_lock<std::mutex>& lock) {
    if (fenced(body)) return std::pair(409, simple("fence"));
    if (body.contains("deadline_ms")) extend(number(body, "deadline_ms"));
    while (!m_ends.empty() && m_ends.front()[0].as_int64() <= number(body, "last_seen")) {
      record("minion " + name + " (" + id + ") forgets end " + json::serialize(m_ends.front()));
      m_ends.erase(m_ends.begin());
    }
    const unsigned life = m_lives;
    const auto until = Clock::now() + std::chrono::milliseconds(std::min<std::int64_t>(2000, number(body, "wait_ms")));
    while (m_ends.empty() && up && m_lives == life && Clock::now() < until) g_changed.wait_until(lock, until);
    if (!up || m_lives != life) return std::nullopt;
    json::array listed;
    for (const auto& [task, run] : running) listed.push_back(json::array{task, run.run, "", percentOf(run), 100});
    json::array finished;
    for (const json::array& row : m_ends) finished.push_back(row);
    return std::pair(200, json::serialize(json::object{
                              {"clock_ms", clockMs()}, {"born", m_born}, {"running", listed}, {"finished", finished}}));
  }
  void end(const std::string& task, const char* how) {
    const Run run = running.at(task);
    running.erase(task);
    m_highest[task] = std::max(m_highest[task], run.run);
    m_ends.push_back(json::array{++m_lastEnd, task, run.run, how, ""});
    record("minion " + name + " (" + id + ") lists " + task + " run " + std::to_string(run.run) + " as " + how);
    if (onEnd) onEnd(*this, task, run.run, how);
    g_changed.notify_all();
  }
  void timeLoop() {
    while (m_beats) {
      {
        const std::lock_guard lock(g_mutex);
        const std::map<std::string, Run> runs = running;
        for (const auto& [task, run] : runs) {
          const bool done = run.spec != "lasts" && clockMs() >= run.startedMs + std::atoll(run.spec.c_str());
          if (clockMs() >= m_heldUntil) {
            end(task, "lapsed");
          } else if (done) {
            end(task, "done");
          } else if (run.stopAtMs != 0 && clockMs() >= run.stopAtMs) {
            end(task, "stopped");
          }
        }
      }
      sleepMs(5);
    }
  }
  void heartbeatLoop() {
    std::int64_t due = 0;
    while (m_beats) {
      if (nowMs() < due) {
        sleepMs(10);
        continue;
      }
      json::object body;
      std::string own;
      {
        const std::lock_guard lock(g_mutex);
        own = id;
        json::array shown;
        for (const std::string& label : labels) shown.emplace_back(label);
        body = json::object{{"service", "feedhub"},
                            {"address", ip + ":" + std::to_string(port)},
                            {"zone", zone},
                            {"version", "v1"},
                            {"slots", 8},
                            {"state", "ready"},
                            {"cold_remaining_ms", 0},
                            {"capacity", {{"cpu", 128000}, {"mem_mb", 262144}, {"gpu", 8}}},
                            {"labels", shown},
                            {"clock_ms", clockMs()},
                            {"seq", ++m_sequence},
                            {"born", m_born}};
      }
      const Reply reply =
          call(agentIp, agentPort, "POST", "/-/Instances.Heartbeat/" + own, json::serialize(body), "", 1000);
      due = nowMs() + (reply.status / 100 == 2 ? HeartbeatMs : 300);
    }
  }

  unsigned m_lives = 0;
  std::int64_t m_born = 0;
  std::int64_t m_startedMs = 0;
  std::int64_t m_sequence = 0;
  std::int64_t m_token = 0;
  std::int64_t m_heldUntil = 0;
  std::int64_t m_lastEnd = 0;
  std::map<std::string, std::int64_t> m_highest;  ///< highest run of each task that was stopped or has ended
  std::vector<json::array> m_ends;
  std::atomic<bool> m_beats{false};
  std::unique_ptr<Server> m_server;
  std::thread m_heartbeats, m_timer;
};

// ---- the deployment

inline std::string readFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

struct Options {
  unsigned minions = 3;
  unsigned entries = 2;
  bool advice = false;  ///< the settings name the advice service
};

/** \class Deployment
 * \brief Three control replicas, entries, and agents with a minion each, in three zones; every machine has an address
 * of its own, and all use the same ports, as on the users' machines. */
class Deployment {
 public:
  std::map<std::string, std::unique_ptr<Process>> processes;
  std::vector<std::unique_ptr<Minion>> minions;

  explicit Deployment(Options options) : m_options(options) {
    m_net = "127." + std::to_string(60 + ::getpid() % 60) + "." + std::to_string(::getpid() / 60 % 250 + 1) + ".";
    findPorts();
    const char* const zones[] = {"surquillo-a", "surquillo-b", "callao-c"};
    for (unsigned i = 0; i < 3; ++i) control(i, zones[i], true);
    for (unsigned i = 0; i < options.entries; ++i)
      process("entry-" + std::to_string(i + 1), "entry", entryIp(i), zones[i % 3], {});
    for (unsigned i = 0; i < options.minions; ++i) {
      agent(i);
      auto minion = std::make_unique<Minion>();
      minion->name = "m" + std::to_string(i + 1);
      minion->ip = agentIp(i);
      minion->port = m_base + AppPort;
      minion->agentIp = agentIp(i);
      minion->agentPort = m_base + ControlPort;
      minion->zone = zones[i % 3];
      minion->labels = {"a", "r1-" + std::to_string(i + 1)};
      minions.push_back(std::move(minion));
    }
  }
  void control(unsigned i, const std::string& zone, bool bootstrap) {
    process(
        "control-" + std::to_string(i + 1), "control", controlIp(i), zone,
        {{"bootstrap", bootstrap ? "true" : "false"}, {"data_dir", g_folder + "/control-" + std::to_string(i + 1)}});
  }
  void agent(unsigned i) {
    const char* const zones[] = {"surquillo-a", "surquillo-b", "callao-c"};
    process("agent-" + std::to_string(i + 1), "agent", agentIp(i), zones[i % 3],
            {{"app", agentIp(i) + ":" + std::to_string(m_base + AppPort)}, {"service", "feedhub"}});
  }
  std::string controlIp(unsigned i) const { return m_net + std::to_string(1 + i); }
  std::string agentIp(unsigned i) const { return m_net + std::to_string(11 + i); }
  std::string entryIp(unsigned i) const { return m_net + std::to_string(101 + i); }
  std::string adviceIp() const { return m_net + "201"; }
  int advicePort() const { return m_base + AppPort; }

  /** A call of the operator: to the control nodes in turn, following 307, until one answers clearly. */
  Reply operate(const std::string& method, const std::string& path, const std::string& body,
                std::int64_t limitMs = 20000) {
    const std::int64_t until = nowMs() + limitMs;
    for (unsigned i = 0; nowMs() < until; ++i) {
      std::string ip = controlIp(i % 3);
      int port = m_base + ControlPort;
      for (int hop = 0; hop < 3; ++hop) {
        const Reply reply = call(ip, port, method, path, body, "", 1000);
        if (reply.status == 307) {
          const std::size_t begin = std::string("http://").size();
          ip = reply.location.substr(begin, reply.location.find(':', begin) - begin);
          continue;
        }
        if (reply.status >= 200 && reply.status < 500) {
          record("operator " + method + " " + path + " " + body.substr(0, 700) + " -> " + std::to_string(reply.status) +
                 " from " + ip);
          return reply;
        }
        break;
      }
      sleepMs(100);
    }
    return {};
  }
  /** A client's call through an entry, sent again to the other entries while it has no clear answer. */
  Reply client(const std::string& method, const std::string& path, const std::string& body = "",
               std::int64_t limitMs = 15000, bool quiet = false, const std::string& key = "key-1") {
    const std::int64_t until = nowMs() + limitMs;
    Reply reply;
    for (unsigned i = 0; nowMs() < until; ++i) {
      reply =
          call(entryIp(i % m_options.entries), m_base + FrontPort, method, path, body,
               "Host: grid.example\r\nAuthorization: Bearer " + key + "\r\nX-Courseloom-Deadline-Ms: 3000\r\n", 3000);
      if (!quiet)
        record("client " + method + " " + path + " " + body + " -> " + std::to_string(reply.status) + " " + reply.body);
      const bool clear = reply.status != 0 && reply.status < 500 && reply.status != 429;
      if (clear) return reply;
      sleepMs(200);
    }
    return reply;
  }
  /** \returns the state of a job as the client sees it, or the status of the answer as text. */
  std::string stateOf(const std::string& path) {
    const Reply reply = client("GET", path, "", 6000, true);
    boost::system::error_code error;
    const json::value value = json::parse(reply.body, error);
    if (reply.status == 200 && !error && value.is_object() && value.get_object().contains("state"))
      return std::string(value.get_object().at("state").as_string());
    return std::to_string(reply.status);
  }
  /** Brings the minions up, sends the first configuration and waits until the system serves. */
  void ready(const std::string& configuration, const std::string& prefix) {
    for (auto& minion : minions) minion->begin(true);
    if (operate("POST", "/-/Config.Put", configuration).status != 200)
      finish(ExitCouldNotRun, "no configuration was taken");
    const Reply counted = client("GET", prefix, "", 20000, true);
    if (counted.status != 200) finish(ExitCouldNotRun, "the system does not serve");
    sleepMs(3000);  // all agents have reported, and the leader has led for longer than an agent may be silent
  }
  void stop() {
    for (auto& minion : minions) {
      if (minion->up) minion->crash();
    }
    processes.clear();
  }

 private:
  static constexpr int PortCount = 25;
  static constexpr int HttpPort = 15;
  static constexpr int FrontPort = 21;
  static constexpr int ReadinessPort = 22;
  static constexpr int ControlPort = 23;
  static constexpr int AppPort = 24;

  void findPorts() {
    std::mt19937 random{std::random_device{}()};
    for (int attempt = 0; attempt < 200; ++attempt) {
      const int base = 20000 + static_cast<int>(random() % 400) * PortCount;
      bool isFree = true;
      for (int offset = 0; offset < PortCount && isFree; ++offset) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = endpointOf("0.0.0.0", base + offset);
        isFree = ::bind(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(socket);
      }
      if (!isFree) continue;
      m_base = base;
      return;
    }
    finish(ExitCouldNotRun, "no free ports");
  }
  /** Fills a settings template of deploy/, as DEPLOY.md describes it, and starts the role with its command. */
  void process(const std::string& name, const std::string& role, const std::string& ip, const std::string& zone,
               std::map<std::string, std::string> values) {
    values.merge(std::map<std::string, std::string>{
        {"node", name},
        {"ip", ip},
        {"zone", zone},
        {"port_range.0", std::to_string(m_base)},
        {"port_range.1", std::to_string(m_base + HttpPort)},
        {"listen.front", ip + ":" + std::to_string(m_base + FrontPort)},
        {"listen.readiness", ip + ":" + std::to_string(m_base + ReadinessPort)},
        {"listen.control", ip + ":" + std::to_string(m_base + ControlPort)},
        {"limits.memory_mb", role == "entry" ? "260" : "256"},
        {"limits.cpu_share", role == "entry" ? "0.25" : "0.5"},
        {"limits.link_mbps", "1000"},
        {"limits.max_fds", "4100"},
        {"bounds.max_hold_ms", std::to_string(MaxHoldMs)},
        {"bounds.stop_ms", std::to_string(StopMs)},
        {"bounds.recovery_s", "12"},
        {"fault_tolerance.machines", "1"},
        {"advice", m_options.advice ? adviceIp() + ":" + std::to_string(advicePort()) : ""},
        {"cloud.address", ""}});
    std::string text = readFile("deploy/" + role + ".yaml");
    const std::string open = "{{#seeds}}", close = "{{/seeds}}";
    const std::size_t begin = text.find(open), end = text.find(close);
    std::string seeds;
    for (unsigned i = 0; i < 3; ++i) {
      std::string one = text.substr(begin + open.size(), end - begin - open.size());
      one.replace(one.find("{{.}}"), 5, controlIp(i) + ":" + std::to_string(m_base + ControlPort));
      seeds += one;
    }
    text.replace(begin, end + close.size() - begin, seeds);
    for (std::size_t at = 0; (at = text.find("{{")) != std::string::npos;) {
      const std::size_t last = text.find("}}", at);
      const std::string key = text.substr(at + 2, last - at - 2);
      if (values.count(key) == 0) finish(ExitCouldNotRun, "the template of " + role + " has an unknown gap " + key);
      text.replace(at, last + 2 - at, values.at(key));
    }
    const std::string file = g_folder + "/" + name + ".yaml";
    std::ofstream(file) << text;
    processes[name] = std::make_unique<Process>(name, commandOf(role, file));
  }
  /** \returns the command of a role in deploy/system.toml, with the settings file in its place. */
  static std::vector<std::string> commandOf(const std::string& role, const std::string& settings) {
    const std::string text = readFile("deploy/system.toml");
    const std::size_t section = text.find("[roles." + role + "]");
    const std::size_t begin = text.find("run = \"", section) + std::string("run = \"").size();
    std::istringstream line(text.substr(begin, text.find('"', begin) - begin));
    std::vector<std::string> words;
    for (std::string word; line >> word;) words.push_back(word == "/etc/courseloom/settings.toml" ? settings : word);
    // The deploy file builds into target/; a developer's build is in build/.
    const char* const own = std::getenv("COURSELOOM_BUILD");
    const std::string folder = own != nullptr ? own : std::filesystem::exists("target/daemons") ? "target" : "build";
    words[0].replace(0, std::string("target").size(), folder);
    if (!std::filesystem::exists(words[0])) finish(ExitCouldNotRun, words[0] + " is not built");
    return words;
  }

  Options m_options;
  std::string m_net;
  int m_base = 0;
};

inline Deployment* g_deployment = nullptr;

inline void finish(int code, const std::string& why) {
  record(std::string(code == ExitBroken ? "BROKEN: " : code == ExitHeld ? "HELD: " : "COULD NOT RUN: ") + why);
  std::cout << (code == ExitBroken ? "broken: " : code == ExitHeld ? "held: " : "could not run: ") << why << std::endl;
  if (g_deployment != nullptr) {
    for (auto& [name, process] : g_deployment->processes) process->kill(SIGKILL);
  }
  if (std::getenv("KEEP") == nullptr && !g_folder.empty())
    std::filesystem::remove_all(g_folder);
  else
    std::cout << "logs: " << g_folder << std::endl;
  g_record.flush();
  std::_Exit(code);
}

/** Prepares the record and the temporary folder. \returns whether the disruption is wanted */
inline bool begin(const char* recordFile) {
  g_record.open(recordFile, std::ios::trunc);
  std::string pattern = (std::filesystem::temp_directory_path() / "courseloom-review-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) finish(ExitCouldNotRun, "no temporary folder");
  g_folder = pattern;
  ::signal(SIGPIPE, SIG_IGN);
  std::thread([] {
    sleepMs(112000);
    finish(ExitCouldNotRun, "the case took too long");
  }).detach();
  const char* const trouble = std::getenv("TROUBLE");
  const bool wanted = trouble == nullptr || std::string(trouble) != "0";
  record(wanted ? "with the disruption" : "without the disruption");
  return wanted;
}

/** \returns a queue of a configuration. \param more more fields */
inline std::string queue(const std::string& name, const std::string& more = "") {
  return R"({"name":"r-)" + name + R"(","host":"grid.example","path_prefix":"/)" + name +
         R"(/","route_type":"unsafe","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":"feedhub",)"
         R"("max_attempts":3,"stretch":3.0,"public":false)" +
         more + "}";
}

/** \returns a configuration. \param queues the list of its queues, without brackets */
inline std::string configuration(unsigned version, const std::string& queues) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + queues +
         R"(],"services":[{"name":"feedhub","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,)"
         R"("rejects_overload":true,"headroom":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"kaje80","api_keys":["key-1"],"priority":1,)"
         R"("guaranteed":{"gpu":8}},{"name":"luna31","api_keys":["key-2"],"priority":1,"guaranteed":{"gpu":8}}]})";
}

}  // namespace lab
