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
 * \brief What every daemon's service is given.
 */
struct DaemonContext {
  boost::asio::io_context& io;
  const schema::Settings& settings;
  Histograms& metrics;
};

/** \class Listening
 * \brief Where a service listens, for the ready line.
 */
struct Listening {
  unsigned rpcPort = 0;
  unsigned httpPort = 0;
};

/** \class Service
 * \brief The body of a daemon.
 */
class Service {
 public:
  virtual ~Service() = default;
  /** Starts to serve. \returns where it listens */
  virtual Result<Listening> start() = 0;
  /** Ends in peace: takes nothing new, drains. \returns how many requests the drain limit cut */
  virtual Awaitable<std::size_t> stop() = 0;
  /** Takes changed settings in as far as they can change while serving: the seeds. */
  virtual void reload(const schema::Settings& settings) { static_cast<void>(settings); }
};

/** \class DaemonProgram
 * \brief One daemon's name and how its service is made.
 */
struct DaemonProgram {
  std::string name;
  std::string description;
  /** Makes the sections that the daemon needs, so that they are checked and get their defaults. */
  std::function<void(schema::Settings&)> needSections;
  std::function<std::unique_ptr<Service>(const DaemonContext&)> makeService;
  /** Further options: --init and the like. \returns an exit code to end with, or nothing to go on and serve */
  std::function<std::optional<int>(const schema::Settings&, const std::string& command)> runCommand;
  std::vector<std::pair<std::string, std::string>> commands;  ///< option and its help
};

/** Reads the command line and settings, serves until SIGTERM or SIGINT. \returns the exit code */
int runDaemon(const DaemonProgram& program, int argc, char** argv);

/** Reads settings files, the later ones laid over the earlier ones, and checks them. */
Result<schema::Settings> readSettings(const std::vector<std::string>& files,
                                      const std::function<void(schema::Settings&)>& needSections);

/** Answers /healthz, /readyz and /metrics; nothing for other paths. */
std::optional<HttpResponse> answerAdmin(const HttpRequest& request, bool ready, const Histograms& metrics);

/** Waits until a count is zero, looking every few milliseconds. \returns what is left at the limit */
Awaitable<std::size_t> drainToZero(std::function<std::size_t()> count, Duration limit);

}  // namespace courseloom
