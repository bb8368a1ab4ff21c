// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The operators' command line: reads arguments, calls an entry over HTTP and prints tables, JSON or YAML.

#include <google/protobuf/util/json_util.h>

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <thread>

#include "Courseloom/src/Client/EntryClient.h"
#include "Courseloom/src/Client/LogTimeline.h"
#include "Courseloom/src/Client/Tables.h"
#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Runtime/Daemon.h"
#include "Courseloom/src/Schema/YamlReader.h"
#include "Courseloom/src/State/ClusterState.h"

namespace courseloom {
namespace {

enum CliExit : int { CliOk = 0, CliRefused = 1, CliUsage = 2, CliBadFile = 3, CliUnreachable = 4, CliTimedOut = 5 };

/** Longest time for a call at one entry. */
constexpr Duration CallLimit = milliseconds(15000);
/** Interval between status queries of `apply --wait`. */
constexpr Duration PollInterval = milliseconds(50);

struct CliOptions {
  std::vector<std::string> entries;
  std::string output = "table";
  std::string operatorName = "unnamed";
  std::string commandId;
  std::string file;
  std::string selector;
  std::string kind = "objects";
  std::string name;
  std::string why;
  std::string urgency = "Normal";
  std::string topic;
  std::vector<std::string> settingsFiles;
  std::vector<std::string> logFiles;
  schema::Shape shape;
  std::string adjacency = "Anywhere";
  std::uint32_t tasks = 1;
  std::uint32_t accelerators = 0;
  std::uint32_t cores = 0;
  std::uint64_t memoryMb = 0;
  std::uint64_t revision = 0;
  std::uint64_t timeoutMs = 30000;
  bool wait = false;
  bool dryRun = false;
};

/** Prints a failure to stderr. \returns the exit code */
int report(const Failure& failure) {
  std::cerr << "courseloom: " << failure.text() << " (ran: " << ranName(failure.ran) << ")\n";
  if (failure.code == FailureCode::BadSettings) return CliBadFile;
  const bool unreachable = failure.code == FailureCode::PeerUnreachable || failure.code == FailureCode::PeerFailed;
  return unreachable ? CliUnreachable : CliRefused;
}

std::string toJson(const google::protobuf::Message& message) {
  std::string json;
  google::protobuf::util::JsonPrintOptions options;
  options.add_whitespace = true;
  google::protobuf::util::MessageToJsonString(message, &json, options);
  return json;
}

void print(const CliOptions& options, const google::protobuf::Message& message, const std::string& table) {
  if (options.output == "json") {
    std::cout << toJson(message);
  } else if (options.output == "yaml") {
    std::cout << toYaml(message);
  } else {
    std::cout << table;
  }
}

std::string randomCommandId() {
  std::random_device device;
  return "cli-" + std::to_string(device()) + "-" + std::to_string(device());
}

/** \class Cli
 * \brief The commands. Each public method runs one and returns the exit code.
 */
class Cli {
 public:
  explicit Cli(CliOptions options) : m_options(std::move(options)) {
    // Every change has a command id, so that it can be sent again through another entry without taking effect twice.
    const std::string id = m_options.commandId.empty() ? randomCommandId() : m_options.commandId;
    m_client = std::make_unique<EntryClient>(m_options.entries, m_options.operatorName, id);
  }

  int apply() {
    schema::ObjectFile file;
    if (const std::optional<int> code = readFile(file)) return *code;
    schema::CommandReply reply;
    if (const std::optional<int> code = call("POST", "/v1/objects", toJson(file), reply)) return *code;
    const std::string first = reply.replayed() ? " (first answer of a resent command)" : "";
    print(m_options, reply, "accepted at revision " + std::to_string(reply.revision()) + first + "\n");
    return m_options.wait ? waitUntilInForce(reply.revision()) : CliOk;
  }

  int get() {
    schema::QueryReply reply;
    if (m_options.kind == "targets") return getTargets();
    const std::string query = m_options.selector.empty() ? "" : "?selector=" + urlEscape(m_options.selector);
    const bool jobs = m_options.kind == "jobs";
    if (const std::optional<int> code = call("GET", (jobs ? "/v1/jobs" : "/v1/objects") + query, "", reply))
      return *code;
    print(m_options, reply, jobs ? jobTable(reply) : objectTable(reply));
    return CliOk;
  }

  int getTargets() {
    schema::QueryReply reply;
    if (const std::optional<int> code = call("GET", "/v1/status", "", reply)) return *code;
    print(m_options, reply, targetTable(reply.status()));
    return CliOk;
  }

  int remove() {
    schema::CommandReply reply;
    const std::string path = "/v1/objects/" + urlEscape(m_options.kind) + "/" + urlEscape(m_options.name);
    if (const std::optional<int> code = call("DELETE", path, "", reply)) return *code;
    print(m_options, reply, "deleted at revision " + std::to_string(reply.revision()) + "\n");
    return CliOk;
  }

  int runAction(schema::ActionKind kind) {
    schema::Action action;
    action.set_kind(kind);
    action.set_selector(m_options.selector);
    action.set_dry_run(m_options.dryRun);
    schema::Urgency urgency = schema::Normal;
    if (kind == schema::Prioritise && !schema::Urgency_Parse(m_options.urgency, &urgency)) {
      std::cerr << "courseloom: --urgency is Low, Normal or Urgent\n";
      return CliUsage;
    }
    action.set_urgency(urgency);
    if (kind == schema::Reshape) {
      if (!readShape(*action.mutable_shape())) return CliUsage;
    }
    schema::CommandReply reply;
    if (const std::optional<int> code = call("POST", "/v1/actions", toJson(action), reply)) return *code;
    std::string table = m_options.dryRun ? "would touch:\n" : "touched:\n";
    for (const std::string& matched : reply.matched()) table += "  " + matched + "\n";
    if (reply.matched().empty()) table = "nothing matches\n";
    print(m_options, reply, table);
    return CliOk;
  }

  int submit() {
    schema::JobFile file;
    if (const std::optional<int> code = readFile(file)) return *code;
    schema::CommandReply reply;
    if (const std::optional<int> code = call("POST", "/v1/jobs", toJson(file.job()), reply)) return *code;
    print(m_options, reply, reply.job().id() + "\n");
    if (!m_options.wait) return CliOk;
    m_options.name = reply.job().id();
    return wait();
  }

  int wait() {
    const std::string path = "/v1/jobs/" + urlEscape(m_options.name) + "?wait=" + std::to_string(m_options.timeoutMs);
    schema::QueryReply reply;
    if (const std::optional<int> code =
            call("GET", path, "", reply, milliseconds(static_cast<std::int64_t>(m_options.timeoutMs))))
      return *code;
    print(m_options, reply, jobTable(reply));
    if (reply.jobs_size() == 0 || !isEnded(reply.jobs(0).phase())) return CliTimedOut;
    return reply.jobs(0).phase() == schema::JobFinished ? CliOk : CliRefused;
  }

  int cancel() {
    schema::CommandReply reply;
    if (const std::optional<int> code = call("DELETE", "/v1/jobs/" + urlEscape(m_options.name), "", reply))
      return *code;
    print(m_options, reply, reply.job().id() + " is to be cancelled\n");
    return CliOk;
  }

  int status() {
    schema::QueryReply reply;
    const std::string path = m_options.why.empty() ? "/v1/status" : "/v1/jobs/" + urlEscape(m_options.why);
    if (const std::optional<int> code = call("GET", path, "", reply)) return *code;
    print(m_options, reply, m_options.why.empty() ? statusTables(reply.status()) : reply.why() + "\n");
    return CliOk;
  }

  int histogram() {
    Result<EntryReply> reply = m_client->call("GET", "/metrics", "", CallLimit);
    if (!reply) return report(extractFailure(reply));
    std::cout << (m_options.output == "table" ? histogramTable(reply->body) : reply->body);
    return CliOk;
  }

  int checkSettings() {
    Result<schema::Settings> settings = readSettings(m_options.settingsFiles, [](schema::Settings&) {});
    if (!settings) return report(extractFailure(settings));
    std::cout << "settings are valid\n";
    return CliOk;
  }

  int explain() {
    LogTimeline timeline(m_options.name);
    if (m_options.logFiles.empty()) timeline.read(std::cin);
    for (const std::string& name : m_options.logFiles) {
      std::ifstream file(name);
      if (!file) {
        return report(Failure{FailureCode::NotFound, Ran::No, "read log", name, "the file cannot be read", 0});
      }
      timeline.read(file);
    }
    const std::string text = timeline.text();
    if (text.empty()) {
      return report(Failure{FailureCode::NotFound, Ran::No, "explain", m_options.name, "no line tells of it", 0});
    }
    std::cout << text;
    return CliOk;
  }

  int describe() {
    if (m_options.topic == "events") {
      std::cout << describeEvents();
    } else if (m_options.topic == "settings") {
      std::cout << "# Settings\n\nPrinted by `courseloom describe settings` from schema/settings.proto; CI checks that "
                   "they agree.\n\n"
                << describeMessage(*schema::Settings::descriptor());
    } else {
      std::cout << "# Objects and jobs\n\nPrinted by `courseloom describe objects` from schema/objects.proto; CI "
                   "checks that they agree.\n\n"
                << "## Files for `courseloom apply`\n\n"
                << describeMessage(*schema::ObjectFile::descriptor()) << "\n## Files for `courseloom submit`\n\n"
                << describeMessage(*schema::JobFile::descriptor());
    }
    return CliOk;
  }

 private:
  /** Calls an entry and parses its reply. \param extra time beyond CallLimit \returns an exit code on failure */
  std::optional<int> call(const std::string& method, const std::string& path, const std::string& body,
                          google::protobuf::Message& reply, Duration extra = Duration(0)) {
    Result<EntryReply> answer = m_client->call(method, path, body, CallLimit + extra);
    if (!answer) return report(extractFailure(answer));
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    if (google::protobuf::util::JsonStringToMessage(answer->body, &reply, options).ok()) return std::nullopt;
    return report(
        Failure{FailureCode::PeerFailed, Ran::Unknown, "read answer", "", "the entry's answer cannot be read", 0});
  }

  /** Reads the YAML file of the command. \returns an exit code on failure */
  std::optional<int> readFile(google::protobuf::Message& message) const {
    Result<void> read = readYamlFile(m_options.file, message);
    if (read) read = checkRequired(m_options.file, message);
    if (!read) return report(extractFailure(read));
    return std::nullopt;
  }

  /** Reads the shape from the options. \returns whether it is valid */
  bool readShape(schema::Shape& shape) const {
    schema::Adjacency adjacency = schema::Anywhere;
    if (!schema::Adjacency_Parse(m_options.adjacency, &adjacency)) {
      std::cerr << "courseloom: --adjacency is Anywhere, SameWorker, SameRack or SameDataHall\n";
      return false;
    }
    shape.set_tasks(m_options.tasks);
    shape.set_accelerators(m_options.accelerators);
    shape.set_cores(m_options.cores);
    shape.set_memory_mb(m_options.memoryMb);
    shape.set_adjacency(adjacency);
    return true;
  }

  /** Waits until every live node has reached a revision, at most for the time-out. \returns the exit code */
  int waitUntilInForce(std::uint64_t revision) {
    const Time end = BootClock::now() + milliseconds(static_cast<std::int64_t>(m_options.timeoutMs));
    std::string laggingNodes;
    while (BootClock::now() < end) {
      schema::QueryReply reply;
      if (const std::optional<int> code = call("GET", "/v1/status", "", reply)) return *code;
      laggingNodes.clear();
      for (const schema::NodeStatus& node : reply.status().nodes()) {
        if (node.revision() < revision) laggingNodes += " " + node.name();
      }
      if (laggingNodes.empty()) {
        std::cout << "in force on " << reply.status().nodes_size() << " nodes\n";
        return CliOk;
      }
      std::this_thread::sleep_for(PollInterval);
    }
    std::cerr << "courseloom: not yet in force on:" << laggingNodes << "\n";
    return CliTimedOut;
  }

  CliOptions m_options;
  std::unique_ptr<EntryClient> m_client;
};

void addShapeOptions(CLI::App& command, CliOptions& options) {
  command.add_option("--tasks", options.tasks, "Tasks of the gang")->required();
  command.add_option("--accelerators", options.accelerators, "Accelerators of each task");
  command.add_option("--cores", options.cores, "Cores of each task");
  command.add_option("--memory-mb", options.memoryMb, "Memory of each task, MB");
  command.add_option("--adjacency", options.adjacency, "Anywhere, SameWorker, SameRack or SameDataHall");
}

int runCli(int argc, char** argv) {
  CliOptions options;
  std::function<int(Cli&)> chosen;
  CLI::App app("Command line of courseloom", "courseloom");
  app.set_version_flag("--version", std::string("courseloom ") + COURSELOOM_VERSION);
  app.require_subcommand(1);
  app.fallthrough();
  app.add_option("--entry", options.entries, "Entry to talk to, IP number and port; several are tried in turn")
      ->envname("COURSELOOM_ENTRY")
      ->delimiter(',');
  app.add_option("-o,--output", options.output, "table, json or yaml")->check(CLI::IsMember({"table", "json", "yaml"}));
  app.add_option("--operator", options.operatorName, "Name recorded with changes")->envname("COURSELOOM_OPERATOR");
  app.add_option("--command-id", options.commandId,
                 "Id of this change; a resend with the same id gets its first answer");
  app.add_option("--timeout", options.timeoutMs, "How long --wait and wait may take, ms");
  const auto choose = [&chosen](CLI::App* command, std::function<int(Cli&)> run) {
    command->callback([&chosen, run = std::move(run)] { chosen = run; });
  };
  CLI::App* apply = app.add_subcommand("apply", "Create or change services, workspaces and guarantees");
  apply->add_option("-f,--file", options.file, "YAML file")->required();
  apply->add_flag("--wait", options.wait, "Return once the change is in force on every live process");
  choose(apply, [](Cli& cli) { return cli.apply(); });
  CLI::App* get = app.add_subcommand("get", "List objects, jobs or targets");
  get->add_option("what", options.kind, "objects, jobs or targets")
      ->check(CLI::IsMember({"objects", "jobs", "targets"}));
  get->add_option("--selector", options.selector, "Only what matches");
  choose(get, [](Cli& cli) { return cli.get(); });
  CLI::App* remove = app.add_subcommand("delete", "Delete an object");
  remove->add_option("kind", options.kind, "service, workspace or guarantee")->required();
  remove->add_option("name", options.name, "Its name")->required();
  choose(remove, [](Cli& cli) { return cli.remove(); });
  const std::vector<std::tuple<std::string, schema::ActionKind, std::string>> actions{
      {"pause", schema::Pause, "Start nothing new of what matches"},
      {"resume", schema::Resume, "End a pause or drain"},
      {"drain", schema::Drain, "Give no new work; what runs ends"},
      {"prioritise", schema::Prioritise, "Set the urgency of what matches"},
      {"reshape", schema::Reshape, "Give matching jobs another shape, from their next start"},
  };
  for (const auto& [name, kind, help] : actions) {
    CLI::App* command = app.add_subcommand(name, help);
    command->add_option("--selector", options.selector, "Labels, such as owner=fund-desk,urgency in (low,normal)")
        ->required();
    command->add_flag("--dry-run", options.dryRun, "Only list what would be touched");
    if (kind == schema::Prioritise)
      command->add_option("--urgency", options.urgency, "Low, Normal or Urgent")->required();
    if (kind == schema::Reshape) addShapeOptions(*command, options);
    choose(command, [action = kind](Cli& cli) { return cli.runAction(action); });
  }
  CLI::App* submit = app.add_subcommand("submit", "Submit a job");
  submit->add_option("-f,--file", options.file, "YAML file")->required();
  submit->add_flag("--wait", options.wait, "Wait for its end");
  choose(submit, [](Cli& cli) { return cli.submit(); });
  CLI::App* wait = app.add_subcommand("wait", "Wait for a job's end");
  wait->add_option("job", options.name, "Job id")->required();
  choose(wait, [](Cli& cli) { return cli.wait(); });
  CLI::App* cancel = app.add_subcommand("cancel", "Cancel a job");
  cancel->add_option("job", options.name, "Job id")->required();
  choose(cancel, [](Cli& cli) { return cli.cancel(); });
  CLI::App* status = app.add_subcommand("status", "Replicas, nodes, workers and guarantees");
  status->add_option("--why", options.why, "Say why this job waits");
  choose(status, [](Cli& cli) { return cli.status(); });
  CLI::App* histogram = app.add_subcommand("histogram", "Times by workspace and class at an entry");
  choose(histogram, [](Cli& cli) { return cli.histogram(); });
  CLI::App* explain = app.add_subcommand("explain", "Join what several processes' logs tell of one id");
  explain->add_option("id", options.name, "Workflow, task or target")->required();
  explain->add_option("files", options.logFiles, "Log files; standard input if none is named");
  choose(explain, [](Cli& cli) { return cli.explain(); });
  CLI::App* check = app.add_subcommand("check-settings", "Check settings files");
  check->add_option("files", options.settingsFiles, "Files, later ones laid over earlier ones")->required();
  choose(check, [](Cli& cli) { return cli.checkSettings(); });
  CLI::App* describe = app.add_subcommand("describe", "Print the reference of settings, events or objects");
  describe->add_option("topic", options.topic, "settings, events or objects")
      ->required()
      ->check(CLI::IsMember({"settings", "events", "objects"}));
  choose(describe, [](Cli& cli) { return cli.describe(); });
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? CliOk : CliUsage;
  }
  Cli cli(options);
  return chosen(cli);
}

}  // namespace
}  // namespace courseloom

int main(int argc, char** argv) { return courseloom::runCli(argc, argv); }
