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
 * \brief One started program with the addresses of its ready line; killed when it goes.
 */
class Process {
 public:
  /** Starts and waits for the ready line. \param log file for what it prints */
  Process(const std::vector<std::string>& arguments, const std::string& log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void signal(int number) const;
  /** Waits for its end. \returns the exit code, or -1 if it did not end in time */
  int wait(Duration limit);
  /** Kills it (SIGKILL) and waits. */
  void kill();
  const std::string& http() const { return m_http; }
  bool ready() const { return m_ready; }
  /** Shows the end of the log of a process that did not become ready. */
  void tellIfNotReady() const;
  pid_t pid() const { return m_pid; }

 private:
  void awaitReadyLine(const std::string& log, std::streamoff begin);

  std::string m_log;
  pid_t m_pid = -1;
  std::string m_http;
  bool m_ready = false;
};

/** \class HttpReply
 * \brief Status and body; status 0 if there was no whole answer.
 */
struct HttpReply {
  unsigned status = 0;
  std::string body;
  bool has(const std::string& text) const { return body.find(text) != std::string::npos; }
};

using Headers = std::vector<std::pair<std::string, std::string>>;

/** \class HttpAsk
 * \brief One request of a batch.
 */
struct HttpAsk {
  std::string address;
  std::string method = "GET";
  std::string path = {};
  std::string body = {};
  Headers headers = {};
  Duration limit = milliseconds(20000);
};

/** Sends all at once, each on a connection of its own. \returns the replies in the same order */
std::vector<HttpReply> sendAll(const std::vector<HttpAsk>& asks);
HttpReply send(const HttpAsk& ask);
/** Sends bytes as they are, then closes the sending side. \returns all that comes back */
std::string sendRaw(const std::string& address, const std::string& bytes);

/** \class Deployment
 * \brief A whole courseloom with stand-ins on loopback, in a folder of its own.
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
  /** Kills a process and starts it again under the same settings. */
  void restart(const std::string& name);
  void start(const std::string& name);
  void kill(const std::string& name) { process(name).kill(); }
  /** Runs a control replica's program with one more option to its end. \returns the exit code */
  int runOption(const std::string& name, const std::string& option);
  /** Removes a control replica's disk; the process must be dead. */
  void wipe(const std::string& name);
  /** Applies the usual services and workspaces and waits until every target is known to every entry. */
  void setUp();
  /** \returns the name of the leading control replica, or an empty string. */
  std::string leader();
  /** Asks until a reply holds a text. \returns whether it did within the limit */
  bool until(const HttpAsk& ask, const std::string& text, Duration limit = milliseconds(20000));

  HttpAsk request(const std::string& entry, const std::string& body, const std::string& id = "") const;
  HttpReply status() { return send({http("entry-1"), "GET", "/v1/status", "", {}, milliseconds(5000)}); }
  /** \returns the cluster as a client's settings name it, for programs that talk to control directly. */
  std::string commonSettings() const { return settingsOf("entry-1"); }
  /** Applies objects given as JSON. */
  HttpReply apply(const std::string& json, const std::string& commandId = "", const std::string& entry = "entry-1");
  HttpReply submit(const std::string& json) {
    return send({http("entry-1"), "POST", "/v1/jobs", json, {{"Content-Type", "application/json"}}});
  }
  HttpReply waitJob(const std::string& id, unsigned ms = 15000);
  void behave(const std::string& target, const std::string& mode, int ms = 0);
  /** \returns how often a request id ran on all targets together. */
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
