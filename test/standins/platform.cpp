// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Stand-in for the platform: workers in racks and data halls, tasks under leases, a delayed list of instances.
//
//   platform --port 0 --workers 10 --accelerators 8
//   GET /v1/report, POST /v1/orders       what courseloom uses; see schema/platform.proto
//   POST /behave?checkpointMs=N&failCheckpoint=0|1&refuseStart=WORKER&dropAnswers=N&stopStatus=N&reportStatus=N
//                                         stopStatus: stops are not executed and get this status; reportStatus:
//                                         reports get this status; both answer an empty object, 0 switches them off
//   POST /worker?name=w1&live=0|1         removes a worker, whose open tasks fail, or restores it
//   POST /instance?name=t1&leaving=0|1    sets an instance's state, which the report shows after the lag
//   GET /audit                            number of starts of each job, as JSON

#include <google/protobuf/util/json_util.h>

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <map>
#include <set>

#include "Courseloom/src/Entry/OperatorRoutes.h"
#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/Transport/HttpServer.h"
#include "generated/platform.pb.h"

namespace asio = boost::asio;
using namespace courseloom;

namespace {

constexpr std::uint64_t DefaultRunMs = 200;

struct Options {
  unsigned port = 0;
  unsigned workers = 10;
  unsigned perRack = 3;
  unsigned halls = 3;
  unsigned accelerators = 8;
  unsigned cores = 130;
  std::uint64_t memoryMb = 260000;
  int lagMs = 500;  ///< delay of usage and of the list of instances in reports
};

struct Task {
  schema::LeaseOrder order;
  schema::TaskPhase phase = schema::TaskReserved;
  Time expires{};
  Time ends{};
  Time started{};
  int checkpoints = 0;
};

struct LeavingInstance {
  bool leaving = false;
  Time visibleAt{};  ///< when reports begin to show that it is leaving
};

class StandInPlatform {
 public:
  StandInPlatform(asio::io_context& io, Options options)
      : m_options(options),
        m_server(io, HttpLimits(), [this](HttpRequest request, HttpCaller) { return handle(std::move(request)); }) {
    for (unsigned i = 0; i < options.workers; ++i) {
      schema::Worker worker;
      const unsigned rack = i / options.perRack;
      worker.set_name("worker-" + std::to_string(i + 1));
      worker.set_rack("rack-" + std::to_string(rack + 1));
      worker.set_data_hall("hall-" + std::to_string(rack % options.halls + 1));
      worker.set_accelerators(options.accelerators);
      worker.set_cores(options.cores);
      worker.set_memory_mb(options.memoryMb);
      m_workers[worker.name()] = worker;
    }
  }

  unsigned start() {
    Result<unsigned> port = m_server.start("127.0.0.1", m_options.port);
    return port ? *port : 0;
  }

 private:
  Awaitable<HttpResponse> handle(HttpRequest request) {
    const std::string target(request.target());
    const std::size_t queryStart = target.find('?');
    const std::string path = target.substr(0, queryStart);
    const std::string query = queryStart == std::string::npos ? "" : target.substr(queryStart + 1);
    updatePhases();
    if (path == "/v1/report") co_return m_reportStatus == 0 ? report() : jsonResponse(m_reportStatus, "{}");
    if (path == "/v1/orders") co_return co_await receiveOrder(request.body());
    if (path == "/audit") co_return audit();
    if (path == "/worker") setWorker(queryValue(query, "name"), queryValue(query, "live") == "1");
    if (path == "/instance") {
      m_instances[queryValue(query, "name")] = {queryValue(query, "leaving") == "1",
                                                BootClock::now() + milliseconds(m_options.lagMs)};
    }
    if (path == "/behave") setBehaviour(query);
    co_return jsonResponse(200, "{}\n");
  }

  void setBehaviour(const std::string& query) {
    const std::string checkpoint = queryValue(query, "checkpointMs");
    if (!checkpoint.empty()) m_checkpointMs = std::atoi(checkpoint.c_str());
    const std::string failing = queryValue(query, "failCheckpoint");
    if (!failing.empty()) m_failCheckpoint = failing == "1";
    m_refuseStart = queryValue(query, "refuseStart");
    m_dropAnswers = std::atoi(queryValue(query, "dropAnswers").c_str());
    m_stopStatus = static_cast<unsigned>(std::atoi(queryValue(query, "stopStatus").c_str()));
    m_reportStatus = static_cast<unsigned>(std::atoi(queryValue(query, "reportStatus").c_str()));
  }

  void setWorker(const std::string& name, bool live) {
    if (live) {
      m_lost.erase(name);
      return;
    }
    m_lost.insert(name);
    for (auto& [number, task] : m_tasks) {
      const bool open = task.phase == schema::TaskReserved || task.phase == schema::TaskRunning;
      if (task.order.worker() == name && open) task.phase = schema::TaskFailed;
    }
  }

  void updatePhases() {
    const Time now = BootClock::now();
    for (auto& [number, task] : m_tasks) {
      if (task.phase == schema::TaskRunning && now >= task.ends) task.phase = schema::TaskFinished;
      const bool open = task.phase == schema::TaskReserved || task.phase == schema::TaskRunning;
      if (open && now >= task.expires) task.phase = schema::TaskExpired;
    }
  }

  HttpResponse report() {
    schema::PlatformReport report;
    const Time now = BootClock::now();
    for (const auto& [name, worker] : m_workers) {
      if (m_lost.count(name) == 0) *report.add_workers() = worker;
    }
    for (const auto& [number, task] : m_tasks) {
      schema::LeaseReport* lease = report.add_leases();
      lease->set_number(number);
      lease->set_worker(task.order.worker());
      lease->set_job(task.order.job());
      lease->set_phase(task.phase);
      lease->set_term(task.order.term());
      *lease->mutable_accelerators() = task.order.accelerators();
      const bool seen = task.phase == schema::TaskRunning && now >= task.started + milliseconds(m_options.lagMs);
      lease->set_used_cores(seen ? task.order.cores() : 0);
      lease->set_used_memory_mb(seen ? task.order.memory_mb() : 0);
    }
    for (const auto& [name, instance] : m_instances) {
      schema::Instance* row = report.add_instances();
      row->set_name(name);
      row->set_leaving(instance.leaving && now >= instance.visibleAt);
    }
    return json(report);
  }

  static HttpResponse json(const google::protobuf::Message& message) {
    std::string text;
    google::protobuf::util::MessageToJsonString(message, &text);
    return jsonResponse(200, text);
  }

  Awaitable<HttpResponse> receiveOrder(const std::string& body) {
    schema::LeaseOrder order;
    if (!google::protobuf::util::JsonStringToMessage(body, &order).ok()) co_return jsonResponse(400, "{}");
    if (order.kind() == schema::Stop && m_stopStatus != 0) co_return jsonResponse(m_stopStatus, "{}");
    schema::OrderReply reply;
    if (order.term() < m_term) {
      reply.set_detail("an order of a former term");
    } else {
      m_term = order.term();
      if (order.kind() == schema::Checkpoint) co_await sleepFor(milliseconds(m_checkpointMs));
      executeOrder(order, reply);
    }
    if (m_dropAnswers > 0) {
      --m_dropAnswers;
      co_return jsonResponse(500, "the answer was lost");
    }
    co_return json(reply);
  }

  bool overlaps(const schema::LeaseOrder& order) const {
    for (const auto& [number, task] : m_tasks) {
      const bool open = task.phase == schema::TaskReserved || task.phase == schema::TaskRunning;
      if (!open || task.order.worker() != order.worker() || number == order.number()) continue;
      for (const std::uint32_t mine : order.accelerators()) {
        for (const std::uint32_t theirs : task.order.accelerators()) {
          if (mine == theirs) return true;
        }
      }
    }
    return false;
  }

  void executeOrder(const schema::LeaseOrder& order, schema::OrderReply& reply) {
    const auto found = m_tasks.find(order.number());
    if (order.kind() == schema::Reserve) {
      const bool known = found != m_tasks.end();
      const bool possible =
          m_workers.count(order.worker()) > 0 && m_lost.count(order.worker()) == 0 && !overlaps(order);
      if (!known && possible) {
        m_tasks[order.number()] = {order, schema::TaskReserved, BootClock::now() + milliseconds(order.ttl_ms()), {}, {},
                                   0};
      }
      reply.set_accepted(known ? found->second.phase == schema::TaskReserved : possible);
      return;
    }
    if (found == m_tasks.end()) {
      reply.set_phase(schema::TaskExpired);
      reply.set_accepted(order.kind() == schema::Stop || order.kind() == schema::Release);
      return;
    }
    executeTaskOrder(order, found->second, reply);
    if (order.kind() == schema::Release) m_tasks.erase(found);
  }

  void executeTaskOrder(const schema::LeaseOrder& order, Task& task, schema::OrderReply& reply) {
    reply.set_accepted(true);
    reply.set_phase(task.phase);
    switch (order.kind()) {
      case schema::Start:
        startTask(order, task, reply);
        break;
      case schema::Checkpoint:
        reply.set_accepted(task.phase == schema::TaskRunning && !m_failCheckpoint);
        reply.set_checkpoint(order.job() + "-checkpoint-" + std::to_string(++task.checkpoints));
        break;
      case schema::Renew:
        task.expires = BootClock::now() + milliseconds(order.ttl_ms());
        break;
      case schema::Stop:
        if (task.phase == schema::TaskRunning || task.phase == schema::TaskReserved) task.phase = schema::TaskStopped;
        break;
      default:
        break;
    }
  }

  void startTask(const schema::LeaseOrder& order, Task& task, schema::OrderReply& reply) {
    if (task.phase == schema::TaskReserved && order.worker() != m_refuseStart) {
      task.phase = schema::TaskRunning;
      task.started = BootClock::now();
      const std::uint64_t run = order.run_ms() == 0 ? DefaultRunMs : order.run_ms();
      task.ends = task.started + milliseconds(static_cast<std::int64_t>(run));
      task.expires = task.started + milliseconds(order.ttl_ms());
      ++m_starts[order.job()];
    }
    reply.set_phase(task.phase);
    reply.set_accepted(task.phase == schema::TaskRunning || task.phase == schema::TaskFinished);
  }

  HttpResponse audit() const {
    std::string text = "{";
    for (const auto& [job, starts] : m_starts)
      text += (text.size() > 1 ? "," : "") + jsonQuote(job) + ":" + std::to_string(starts);
    return jsonResponse(200, text + "}\n");
  }

  Options m_options;
  HttpServer m_server;
  std::map<std::string, schema::Worker> m_workers;
  std::set<std::string> m_lost;
  std::map<std::uint64_t, Task> m_tasks;
  std::map<std::string, LeavingInstance> m_instances;
  std::map<std::string, int> m_starts;
  std::uint64_t m_term = 0;
  int m_checkpointMs = 100;
  bool m_failCheckpoint = false;
  std::string m_refuseStart;
  int m_dropAnswers = 0;
  unsigned m_stopStatus = 0;
  unsigned m_reportStatus = 0;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-in for the platform");
  Options options;
  app.add_option("--port", options.port, "Port; 0 picks a free one");
  app.add_option("--workers", options.workers, "Workers");
  app.add_option("--per-rack", options.perRack, "Workers in a rack");
  app.add_option("--halls", options.halls, "Data halls");
  app.add_option("--accelerators", options.accelerators, "Accelerators of each worker");
  app.add_option("--cores", options.cores, "Cores of each worker");
  app.add_option("--memory-mb", options.memoryMb, "Memory of each worker, MB");
  app.add_option("--lag-ms", options.lagMs, "Lag of usage and of the list of instances, ms");
  CLI11_PARSE(app, argc, argv);
  asio::io_context io;
  StandInPlatform platform(io, options);
  const unsigned bound = platform.start();
  if (bound == 0) return 1;
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](auto, auto) { io.stop(); });
  std::cout << "ready name=platform http=127.0.0.1:" << bound << std::endl;
  io.run();
  return 0;
}
