// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "Courseloom/src/Metrics/Histograms.h"
#include "Courseloom/src/Transport/HttpServer.h"
#include "generated/settings.pb.h"

namespace courseloom {

/** Exit codes of the daemons; docs/OPERATORS.md lists them. */
enum ExitCode : int {
  ExitSuccess = 0,
  ExitFailure = 1,
  ExitUsage = 2,
  ExitSettings = 3,
  ExitStorage = 4,
  ExitListen = 5,
};

/** \class DaemonContext
 * \brief Objects that a daemon passes to its service. They outlive the service.
 */
struct DaemonContext {
  boost::asio::io_context& io;
  const schema::Settings& settings;
  Histograms& metrics;
};

/** \class ListeningPorts
 * \brief Ports on which a service listens, for the ready line.
 */
struct ListeningPorts {
  unsigned rpcPort = 0;  ///< 0 if the service has no RPC port
  unsigned httpPort = 0;
};

/** \class Service
 * \brief The work of one daemon, started and stopped by runDaemon.
 */
class Service {
 public:
  virtual ~Service() = default;
  /** Starts serving. \returns the ports on which the service listens */
  virtual Result<ListeningPorts> start() = 0;
  /** Stops gracefully: accepts no new requests and waits for those in progress until the drain limit. \returns number
   * of requests that were still in progress at the limit */
  virtual Awaitable<std::size_t> stop() = 0;
  /** Applies the changed settings that can change while serving: the seeds. */
  virtual void reload(const schema::Settings& settings) { static_cast<void>(settings); }
};

/** \class DaemonProgram
 * \brief Name, command line and service factory of one daemon.
 */
struct DaemonProgram {
  std::string name;
  std::string description;
  /** Creates the settings sections that the daemon requires, so that they are checked and get their defaults. */
  std::function<void(schema::Settings&)> addRequiredSections;
  std::function<std::unique_ptr<Service>(const DaemonContext&)> makeService;
  /** Runs the command of a further option, such as --init. \returns the exit code to end with, or nothing to go on and
   * serve */
  std::function<std::optional<int>(const schema::Settings&, const std::string& command)> runCommand;
  std::vector<std::pair<std::string, std::string>> commands;  ///< option without its dashes, and its help text
};

/** Reads the command line and settings, serves until SIGTERM or SIGINT. \returns the exit code */
int runDaemon(const DaemonProgram& program, int argc, char** argv);

/** Reads settings files, in which later files override keys of earlier ones, and checks the result. \param files at
 * least one file \param addRequiredSections creates the sections that the daemon requires */
Result<schema::Settings> readSettings(const std::vector<std::string>& files,
                                      const std::function<void(schema::Settings&)>& addRequiredSections);

/** Answers /healthz, /readyz and /metrics. \param ready whether /readyz answers 200 or 503 \returns nothing for other
 * paths */
std::optional<HttpResponse> answerAdmin(const HttpRequest& request, bool ready, const Histograms& metrics);

/** Waits until a count is zero, polling it every few milliseconds, or until the limit. \returns the last count */
Awaitable<std::size_t> drainToZero(std::function<std::size_t()> count, Duration limit);

}  // namespace courseloom
