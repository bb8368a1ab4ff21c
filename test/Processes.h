// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <sys/types.h>

#include <ios>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Courseloom/src/Core/Clock.h"
#include "test/PortClaim.h"

namespace courseloom::test {

/** \class Process
 * \brief A started program with the HTTP address from its ready line. The destructor kills it.
 */
class Process {
 public:
  /** Starts a program and waits for its ready line, its exit, or the time limit.
   * \param log file to which its output is appended */
  Process(const std::vector<std::string>& arguments, const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void signal(int number) const;
  /** Waits for its exit. \returns the exit code, 128 plus the signal's number, or -1 after the limit */
  int wait(Duration limit);
  /** Sends SIGKILL and waits for its exit. */
  void kill();
  const std::string& http() const { return m_http; }
  bool ready() const { return m_ready; }
  /** Prints the end of the log to stderr if the process did not become ready. */
  void printLogIfNotReady() const;
  /** \returns the process id, or -1 after the end of the process. */
  pid_t pid() const { return m_pid; }

 private:
  void awaitReadyLine(const std::string& log, std::streamoff begin);

  std::string m_log;
  pid_t m_pid = -1;
  std::string m_http;
  bool m_ready = false;
};

/** \class HttpReply
 * \brief Status and body of an answer; status 0: no complete answer.
 */
struct HttpReply {
  unsigned status = 0;
  std::string body;
  bool has(const std::string& text) const { return body.find(text) != std::string::npos; }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/** \class HttpCall
 * \brief One HTTP request to a test process.
 */
struct HttpCall {
  std::string address;
  std::string method = "GET";
  std::string path = {};
  std::string body = {};
  Headers headers = {};
  Duration limit = milliseconds(20000);
};

/** Sends all requests at once, each on its own connection. \returns the replies in the same order */
std::vector<HttpReply> sendAll(const std::vector<HttpCall>& calls);
HttpReply send(const HttpCall& call);
/** Sends bytes unchanged, then closes the sending side. \returns all received bytes */
std::string sendRaw(const std::string& address, const std::string& bytes);

/** \class Deployment
 * \brief A complete deployment with stand-ins for platform and targets, on loopback and in its own folder.
 */
class Deployment {
 public:
  struct Size {
    unsigned control = 3;
    unsigned entries = 2;
    unsigned targets = 2;
    std::string platformOptions;
    std::string agentExtra;   ///< further keys of the agent section
    std::string commonExtra;  ///< further sections of all processes
  };
  explicit Deployment(Size size);
  ~Deployment();

  Process& process(const std::string& name) { return *m_processes.at(name); }
  const std::string& http(const std::string& name) { return process(name).http(); }
  /** Kills a process and starts it again with the same settings. */
  void restart(const std::string& name);
  void start(const std::string& name);
  void kill(const std::string& name) { process(name).kill(); }
  /** Runs a control replica's program with one further option until it exits. \returns the exit code */
  int runOption(const std::string& name, const std::string& option);
  /** Removes a control replica's data folder; its process must not be running. */
  void wipe(const std::string& name);
  /** Applies the common services and workspaces and waits until every entry knows every target. */
  void setUp();
  /** \returns the name of the leading control replica, or an empty string. */
  std::string leader();
  /** Repeats a request until a reply contains a text. \returns whether one did within the limit */
  bool until(const HttpCall& call, const std::string& text, Duration limit = milliseconds(20000));

  HttpCall request(const std::string& entry, const std::string& body, const std::string& id = "") const;
  HttpReply status() { return send({http("entry-1"), "GET", "/v1/status", "", {}, milliseconds(5000)}); }
  /** \returns the settings of entry-1, for programs that call control directly. */
  std::string commonSettings() const { return settingsOf("entry-1"); }
  /** Applies objects given as JSON. */
  HttpReply apply(const std::string& json, const std::string& commandId = "", const std::string& entry = "entry-1");
  HttpReply submit(const std::string& json) {
    return send({http("entry-1"), "POST", "/v1/jobs", json, {{"Content-Type", "application/json"}}});
  }
  HttpReply waitJob(const std::string& id, unsigned ms = 15000);
  /** Sets the fault mode of a stand-in target; `ms` is the time of modes that have one. */
  void behave(const std::string& target, const std::string& mode, int ms = 0);
  /** \returns the number of runs of a request id on all targets. */
  int runs(const std::string& requestId);

 private:
  std::string settingsOf(const std::string& name) const;
  void write(const std::string& file, const std::string& text) const;

  std::string m_folder;
  Size m_size;
  PortClaim m_ports;
  unsigned m_base = 0;
  std::map<std::string, std::vector<std::string>> m_commands;
  std::map<std::string, std::unique_ptr<Process>> m_processes;
};

}  // namespace courseloom::test
