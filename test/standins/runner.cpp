// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Stand-in for a target of the users' platform: runs tasks under leases, lists ends, registers with its agent.
//
//   standin-runner --address 127.0.0.1 --port 9001 --agent 127.0.0.1:9101 --name m1 --service s
//
// The `spec` of a task is its run time in milliseconds (`200`). A task whose `spec` contains `fail` fails, one with
// `forever` never ends, and one with `crash 30` crashes its target after 30 ms; the target is back a second later.
// GET /starts returns how often each task was started and ended as done, how many tasks are running, how many crashes
// tasks caused, and how many orders were refused, are late and not executed yet, or were executed late.
// Faults:
//   POST /crash                        restarts the target with a new identity
//   POST /crash?down=MS                restarts the target; it answers no calls for MS
//   POST /crash?same=1                 restarts the target with the same identity
//   POST /crash?late=MS&times=N        restarts the target; the former incarnation's last N heartbeats arrive MS later
//   POST /former?times=N               the last N heartbeats of the former incarnation arrive now
//   POST /hush?ms=N                    sends no heartbeats for N ms
//   POST /slow?percent=N               tasks that start from now on take N percent of their run time
//   POST /fail?ms=N                    tasks that start within N ms fail at once
//   POST /drain                        announces that the target is draining
//   POST /mute?ms=N                    executes no orders for N ms, then all that arrived in the meantime
//   POST /refuse?ms=N&percent=P&of=X   for N ms, refuses P percent of the orders with 429 or 503
//   POST /late?ms=N&percent=P&of=X     for N ms, gives P percent of the orders no answer, and executes them 0.3 to 4 s
//                                      later, or after=MS later, possibly out of order
// X is one or several of run-start, run-stop and hold, separated by commas; all if omitted. With --events each start,
// end, discarded end, expired hold and end of an incarnation is a line of a file: `MICROSECONDS
// started|ended|noted|lapsed|over INCARNATION TASK RUN HOW`.

#include <CLI/CLI.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

#include "test/standins/RunnerTarget.h"

namespace asio = boost::asio;
using namespace courseloom;
using namespace courseloom::test;

int main(int argc, char** argv) {
  CLI::App app("Stand-in for a back end that runs tasks");
  RunnerOptions options;
  app.add_option("--address", options.address, "IP number");
  app.add_option("--port", options.port, "Port")->required();
  app.add_option("--agent", options.agent, "Where it registers")->required();
  app.add_option("--name", options.name, "Name, part of its identities");
  app.add_option("--service", options.service, "Its service");
  app.add_option("--hall", options.hall, "Its data hall");
  app.add_option("--events", options.events, "File for events");
  app.add_option("--clock-percent", options.clockPercent, "Speed of its clock, percent");
  app.add_option("--seed", options.seed, "Of what it draws");
  app.add_flag("--hold-back-late-orders", options.holdsBackLateOrders,
               "Carries out late orders of a former incarnation only once the present one was polled");
  CLI11_PARSE(app, argc, argv);
  asio::io_context io;
  RunnerTarget runner(io, options);
  const unsigned bound = runner.start();
  if (bound == 0) return 1;
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](auto, auto) { io.stop(); });
  std::cout << "ready name=" << options.name << " http=" << options.address << ":" << bound << std::endl;
  io.run();
  return 0;
}
