// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Runtime/Daemon.h"

#include <unistd.h>
#include <CLI/CLI.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/Schema/YamlReader.h"

namespace courseloom {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace internal {
namespace {

/** Interval at which drainToZero polls its count. */
constexpr Duration DrainPollInterval = milliseconds(5);
/** Interval at which the settings files are compared with the settings in use. */
constexpr Duration SettingsPollInterval = milliseconds(1000);

int report_failure(const std::string& program, const Failure& failure, int exitCode) {
  std::cerr << program << ": " << failure.text() << "\n";
  return exitCode;
}

/** Checks the rules that involve several keys. */
Result<void> check_cluster(const std::string& file, const schema::Settings& settings) {
  const schema::ClusterSettings& cluster = settings.cluster();
  const auto refuse = [&file](const std::string& detail) -> Result<void> {
    return fail(Failure{FailureCode::BadSettings, Ran::No, "read settings", file, detail, 0});
  };
  if (cluster.members_size() == 0 && cluster.seeds_size() == 0) {
    return refuse("key 'cluster.members' is missing, and so is 'cluster.seeds'");
  }
  if (cluster.members_size() > 0 && cluster.seeds_size() > 0) {
    return refuse("keys 'cluster.members' and 'cluster.seeds' exclude each other");
  }
  if (cluster.seeds_size() > 0 && cluster.seed_rpc_port() == 0) return refuse("key 'cluster.seedRpcPort' is missing");
  if (settings.has_runner() && settings.edge().control_endpoint().empty()) {
    return refuse("key 'edge.controlEndpoint' is missing");
  }
  return {};
}

/** Prints the ready line with a single write(), because the log's own thread writes to the same file. */
void print_ready(const schema::NodeSettings& node, const ListeningPorts& listening) {
  std::ostringstream line;
  line << "ready name=" << node.name();
  if (listening.rpcPort != 0) line << " rpc=" << node.address() << ":" << listening.rpcPort;
  line << " http=" << node.address() << ":" << listening.httpPort << "\n";
  const std::string text = line.str();
  if (::write(STDOUT_FILENO, text.data(), text.size()) < 0) std::cerr << "cannot write to standard output\n";
}

/** Waits for SIGTERM or SIGINT, drains the service and stops the event loop. */
Awaitable<void> stop_on_signal(asio::io_context& io, asio::signal_set& signals, Service& service) {
  co_await signals.async_wait(asio::as_tuple(asio::use_awaitable));
  logEvent(schema::ProcessStopping);
  const std::size_t cut = co_await service.stop();
  logEvent(schema::ProcessStopped, {{"cut", cut}});
  io.stop();
}

/** \returns the texts of all settings files, which are compared to detect changes. */
std::string read_texts(const std::vector<std::string>& files) {
  std::ostringstream texts;
  for (const std::string& file : files) texts << std::ifstream(file).rdbuf();
  return texts.str();
}

/** Reads the files again and passes the settings to the service. Invalid settings are logged and not applied. */
void reload_settings(const DaemonProgram& program, const std::vector<std::string>& files, Service& service) {
  Result<schema::Settings> settings = readSettings(files, program.addRequiredSections);
  if (!settings) return logFailure(schema::SettingsRefused, extractFailure(settings));
  logEvent(schema::SettingsReloaded);
  service.reload(*settings);
}

/** Reloads the settings on SIGHUP and when a file has changed. Both are polled every SettingsPollInterval. */
Awaitable<void> reload_on_change(const DaemonProgram& program, const std::vector<std::string>& files,
                                 Service& service) {
  asio::signal_set hangupSignals(co_await asio::this_coro::executor, SIGHUP);
  bool signalled = false;
  std::function<void()> listen = [&] {
    hangupSignals.async_wait([&](const boost::system::error_code& error, int) {
      if (error) return;
      signalled = true;
      listen();
    });
  };
  listen();
  std::string currentTexts = read_texts(files);
  while (true) {
    co_await sleepFor(SettingsPollInterval);
    std::string texts = read_texts(files);
    if (!signalled && texts == currentTexts) continue;
    signalled = false;
    currentTexts = std::move(texts);
    reload_settings(program, files, service);
  }
}

/** Runs the service until it is stopped. \returns the exit code */
int serve(const DaemonProgram& program, const schema::Settings& settings, const std::vector<std::string>& files) {
  asio::io_context io;
  Histograms metrics;
  const DaemonContext context{io, settings, metrics};
  const std::unique_ptr<Service> service = program.makeService(context);
  asio::signal_set signals(io, SIGTERM, SIGINT);
  Result<ListeningPorts> listening = service->start();
  if (!listening) {
    const Failure failure = extractFailure(listening);
    logFailure(schema::ProcessFailed, failure);
    const bool storage = failure.code == FailureCode::StorageDamaged || failure.code == FailureCode::StorageFull;
    const bool badSettings = failure.code == FailureCode::BadSettings;
    return report_failure(program.name, failure, storage ? ExitStorage : badSettings ? ExitSettings : ExitListen);
  }
  asio::co_spawn(io, stop_on_signal(io, signals, *service), asio::detached);
  asio::co_spawn(io, reload_on_change(program, files, *service), asio::detached);
  const schema::NodeSettings& node = settings.node();
  logEvent(schema::ProcessStarted, {{"address", node.address()},
                                    {"rpcPort", std::uint64_t{listening->rpcPort}},
                                    {"httpPort", std::uint64_t{listening->httpPort}}});
  print_ready(node, *listening);
  std::vector<std::thread> threads;
  for (std::uint32_t i = 1; i < node.threads(); ++i) threads.emplace_back([&io] { io.run(); });
  io.run();
  for (std::thread& thread : threads) thread.join();
  flushLog();
  return ExitSuccess;
}

}  // namespace
}  // namespace internal

Result<schema::Settings> readSettings(const std::vector<std::string>& files,
                                      const std::function<void(schema::Settings&)>& addRequiredSections) {
  schema::Settings settings;
  for (const std::string& file : files) BOOST_LEAF_CHECK(readYamlFile(file, settings));
  settings.mutable_log();
  addRequiredSections(settings);
  BOOST_LEAF_CHECK(checkRequired(files.back(), settings));
  BOOST_LEAF_CHECK(internal::check_cluster(files.back(), settings));
  return settings;
}

int runDaemon(const DaemonProgram& program, int argc, char** argv) {
  CLI::App app(program.description, program.name);
  std::vector<std::string> files;
  bool checkOnly = false;
  std::string command;
  app.add_option("--settings", files,
                 "Settings file (YAML); may be given again, later files are laid over earlier ones")
      ->required();
  app.add_flag("--check-settings", checkOnly, "Check the settings and exit");
  app.set_version_flag("--version", program.name + " " + COURSELOOM_VERSION);
  for (const auto& [option, help] : program.commands) {
    app.add_flag_callback(
        "--" + option, [&command, name = option] { command = name; }, help);
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    const int code = app.exit(error);
    return code == 0 ? ExitSuccess : ExitUsage;
  }
  Result<schema::Settings> settings = readSettings(files, program.addRequiredSections);
  if (!settings) return internal::report_failure(program.name, extractFailure(settings), ExitSettings);
  if (checkOnly) {
    std::cout << "settings are valid\n";
    return ExitSuccess;
  }
  setUpLog(settings->node().name(), settings->log().level(), settings->log().file());
  if (!command.empty()) {
    const std::optional<int> code = program.runCommand(*settings, command);
    if (code) return *code;
  }
  return internal::serve(program, *settings, files);
}

std::optional<HttpResponse> answerAdmin(const HttpRequest& request, bool ready, const Histograms& metrics) {
  const std::string_view path(request.target().data(), request.target().size());
  if (path != "/healthz" && path != "/readyz" && path != "/metrics") return std::nullopt;
  if (request.method() != http::verb::get) {
    return problemResponse(Failure{FailureCode::MethodNotAllowed, Ran::No, "route", "", "use GET", 0});
  }
  HttpResponse response;
  response.set(http::field::content_type, "text/plain; version=0.0.4");
  if (path == "/metrics") {
    response.body() = metrics.prometheus();
  } else if (path == "/healthz") {
    response.body() = "ok\n";
  } else {
    response.result(ready ? http::status::ok : http::status::service_unavailable);
    response.body() = ready ? "ready\n" : "not ready\n";
  }
  return response;
}

Awaitable<std::size_t> drainToZero(std::function<std::size_t()> count, Duration limit) {
  const Time end = BootClock::now() + limit;
  while (count() > 0 && BootClock::now() < end) co_await sleepFor(internal::DrainPollInterval);
  co_return count();
}

}  // namespace courseloom
