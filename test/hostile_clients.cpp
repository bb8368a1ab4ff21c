// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Clients that stay within no limit, at each listener of real processes with lowered limits of memory. No process may
// end, each must stay within the memory of its settings, and an ordinary workflow must still be accepted and done.

#include <sys/resource.h>

#include "Courseloom/src/Transport/Listen.h"
#include "Courseloom/src/Transport/RpcClient.h"
#include "test/HostileClients.h"
#include "test/Http2Bytes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace courseloom;
using namespace courseloom::test;

namespace {

/** Sends messages to an RPC server, all at once, and waits for their answers. */
void callAtOnce(const std::string& address, unsigned port, const std::string& message, std::size_t count) {
  boost::asio::io_context io;
  std::vector<std::shared_ptr<RpcClient>> connections;
  for (std::size_t i = 0; i < count; ++i) {
    connections.push_back(std::make_shared<RpcClient>(io, address, port));
    auto call = [](std::shared_ptr<RpcClient> client, std::string body) -> Awaitable<void> {
      Result<std::string> reply =
          co_await client->callBytes("queue", std::move(body), BootClock::now() + milliseconds(5000));
      if (!reply) extractFailure(reply);
      client->close();
    };
    boost::asio::co_spawn(io, call(connections.back(), message), boost::asio::detached);
  }
  io.run();
}

}  // namespace

// ---- parts of a message without end

Test(hostile_clients, trailers_without_end) {
  HostileClients test;
  test.play("trailers without end", Entry, ClientPort, endlessTrailers(4));
}

Test(hostile_clients, a_chunk_extension_without_end) {
  HostileClients test;
  test.play("a chunk extension without end", Entry, ClientPort, clients(4, [](unsigned number) {
              return repeating(headOf(number, Chunked) + "5;a=", std::string(KiB, 'x'), 40 * MiB);
            }));
}

// Of the four paddings one lets each part that the server reads end within the last byte but one of a field.
Test(hostile_clients, header_fields_without_end) {
  HostileClients test;
  test.play("header fields without end", Entry, ClientPort, clients(4, [](unsigned number) {
              const std::string padding = "X-Padding: " + std::string(number % 4, 'x') + "\r\n";
              return repeating(headOf(number, padding), "a:\r\n", 40 * MiB);
            }));
}

Test(hostile_clients, many_small_header_fields_before_a_body_that_does_not_come) {
  HostileClients test;
  test.play("many small header fields", Entry, ClientPort, clients(400, [](unsigned number) {
              ClientScript script;
              script.begin = headOf(number, repeat("a:\r\n", 15 * KiB)) + lengthOf(100);
              return script;
            }));
}

Test(hostile_clients, a_last_chunk_in_small_parts) {
  HostileClients test;
  const std::vector<std::pair<unsigned, unsigned>> listeners{
      {Entry, ClientPort}, {Entry, HttpPort}, {Agent, ControlPort}, {Control, ControlPort}};
  for (const auto& [host, port] : listeners) {
    test.play("a last chunk in small parts", host, port, clients(4, [](unsigned number) {
                ClientScript script;
                script.begin = headOf(number, Chunked) + "0\r\nX: y\r\n\r\n";
                script.pieceBytes = 1;
                script.pause = milliseconds(1);
                return script;
              }));
  }
}

// ---- bodies

Test(hostile_clients, bodies_that_are_never_finished) {
  HostileClients test;
  test.play("unfinished bodies", Entry, ClientPort, unfinishedBodies(24));
}

Test(hostile_clients, chunked_bodies_that_are_never_finished) {
  HostileClients test;
  test.play("unfinished chunked bodies", Entry, ClientPort, clients(24, [](unsigned number) {
              const std::string chunk = "400\r\n" + std::string(KiB, 'x') + "\r\n";
              return repeating(headOf(number, Chunked), chunk, 8 * MiB - 64 * KiB);
            }));
}

Test(hostile_clients, bodies_that_are_much_larger_as_values) {
  HostileClients test;
  for (const char* value : {"0,", "{},", "[],", "\"\",", "{\"a\":0},"}) {
    const std::string body = R"({"spec":"20","steps":[)" + repeat(value, 4 * MiB) + "0]}";
    test.play("bodies of small values", Entry, ClientPort,
              clients(8, [&](unsigned number) { return submissionOf(number, body); }));
  }
}

Test(hostile_clients, large_submissions_with_a_wrong_key) {
  HostileClients test;
  const std::string body = workflowOf(4 * MiB);
  test.play("large submissions with a wrong key", Entry, ClientPort,
            clients(16, [&](unsigned number) { return submissionOf(number, body, "wrong"); }));
}

// A single request inside the limits is served, however low the memory.
Test(hostile_clients, a_single_large_submission_is_served) {
  HostileClients test;
  cr_assert_eq(test.submit(1, workflowOf(MaxBodyBytes)), 200);
  test.requireBounds("a single large submission");
  test.requireServed("a single large submission");
}

// ---- connections

Test(hostile_clients, connections_that_do_nothing_leave_places_to_others) {
  HostileClients test(guarded(64));
  std::vector<ClientScript> scripts = clients(200, [](unsigned number) {
    const std::string whole = headOf(number, lengthOf(100)) + std::string(99, 'x');
    ClientScript script;
    script.begin = number % 3 == 0 ? "" : number % 3 == 1 ? whole.substr(0, 40) : whole;
    script.pieceBytes = 1;
    script.pause = milliseconds(100);
    script.returns = true;
    return script;
  });
  ClientCrowd crowd(test.deployment().at(Entry, ClientPort), std::move(scripts));
  crowd.awaitQuiet(milliseconds(3000));
  for (unsigned i = 0; i < 5; ++i) test.requireServed("while connections do nothing");
  test.requireBounds("connections that do nothing");
}

Test(hostile_clients, answers_that_are_never_read) {
  HostileClients test;
  test.play("answers that are never read", Entry, ClientPort, clients(600, [](unsigned number) {
              ClientScript script;
              script.repeated = "GET /q/" + workflowId(number) + " HTTP/1.1\r\nHost: h.example\r\n\r\n";
              script.repeatedBytes = MiB;
              script.reads = false;
              return script;
            }));
}

// ---- accepted work

Test(hostile_clients, accepted_workflows_of_many_steps) {
  HostileClients test;
  const std::string body = workflowOf(MaxBodyBytes, NotDue);
  for (unsigned i = 0; i < 150; ++i) test.submit(0x10000 + i, body);
  test.requireBounds("workflows of many steps");
  test.requireServed("workflows of many steps");
  for (unsigned i = 1; i <= 3; ++i) test.deployment().kill("control-" + std::to_string(i));
  for (unsigned i = 1; i <= 3; ++i) test.deployment().control(i, false);
  test.requireServed("workflows of many steps, after a restart");
  test.requireBounds("workflows of many steps, after a restart");
}

Test(hostile_clients, accepted_workflows_with_large_payloads) {
  HostileClients test;
  const std::string body = "{" + NotDue + job(1, "20" + std::string(3900, ' ')).substr(1);
  for (unsigned round = 0; round < 50; ++round) {
    std::vector<HttpCall> calls;
    for (unsigned i = 0; i < 100; ++i) {
      calls.push_back({test.deployment().at(Entry, ClientPort),
                       "POST",
                       "/q/" + workflowId(0x20000 + 100 * round + i),
                       body,
                       {{"Host", "h.example"}, {"Authorization", "Bearer key-1"}},
                       milliseconds(5000)});
    }
    sendAll(calls);
  }
  test.requireBounds("workflows with large payloads");
  test.requireServed("workflows with large payloads");
}

// ---- other listeners

Test(hostile_clients, the_other_http_listeners) {
  HostileClients test;
  const std::vector<std::pair<unsigned, unsigned>> listeners{{Control, ControlPort}, {Control, HttpPort},
                                                             {Agent, ControlPort},   {Agent, HttpPort},
                                                             {Entry, ReadinessPort}, {Entry, HttpPort}};
  for (const auto& [host, port] : listeners) {
    test.play("trailers at another listener", host, port, endlessTrailers(4));
    test.play("unfinished bodies at another listener", host, port, unfinishedBodies(16));
  }
}

Test(hostile_clients, large_messages_to_rpc_servers) {
  HostileClients test;
  schema::QueueCall call;
  call.set_kind(schema::QueueSubmit);
  call.set_host("h.example");
  call.set_path("/q/" + workflowId(1));
  call.set_key("wrong");
  for (unsigned i = 0; i < 200000; ++i) call.mutable_spec()->add_steps()->set_count(1);
  const std::string message = call.SerializeAsString();
  const unsigned port = splitEndpoint(test.deployment().at(Agent, 0)).port;
  for (const unsigned host : {Agent, Control}) {
    callAtOnce(test.deployment().address(host), port, message, 24);
    callAtOnce(test.deployment().address(host), port, std::string(80 * MiB, 'x'), 2);
    test.requireBounds("large messages to RPC servers");
    test.requireServed("large messages to RPC servers");
  }
}

Test(hostile_clients, replies_of_rpc_servers_that_are_never_read) {
  HostileClients test;
  for (const unsigned host : {Agent, Control}) {
    for (const char* method : {"query", "none"}) {
      test.play("replies that are never read", host, 0, clients(16, [method](unsigned) {
                  ClientScript script;
                  script.begin = callsWithoutWindow(method, 8000);
                  return script;
                }));
    }
  }
}

Test(hostile_clients, silent_connections_to_rpc_servers) {
  // Processes inherit the limit of descriptors.
  rlimit descriptors{};
  cr_assert_eq(getrlimit(RLIMIT_NOFILE, &descriptors), 0);
  const rlimit ownDescriptors = descriptors;
  descriptors.rlim_cur = 256;
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &descriptors), 0);
  HostileClients test;
  cr_assert_eq(setrlimit(RLIMIT_NOFILE, &ownDescriptors), 0);
  std::vector<std::unique_ptr<ClientCrowd>> crowds;
  for (unsigned i = 1; i <= 3; ++i) {
    crowds.push_back(std::make_unique<ClientCrowd>(test.deployment().at(i, 0), clients(400, [](unsigned) {
                                                     ClientScript script;
                                                     script.returns = true;
                                                     return script;
                                                   })));
  }
  for (const auto& crowd : crowds) crowd->awaitQuiet(milliseconds(3000));
  // An entry that starts now has no connection yet.
  test.deployment().kill("entry-1");
  test.deployment().entry();
  test.requireServed("silent connections to RPC servers");
  test.requireBounds("silent connections to RPC servers");
}

// ---- headers

Test(hostile_clients, deadlines_that_are_not_numbers) {
  HostileClients test;
  for (const char* value : {"99999999999999999999", "9223372036854775807", "3000abc", "-1", "0", "1e9", ""}) {
    const std::string answer =
        sendRaw(test.deployment().at(Entry, ClientPort),
                "GET /q/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key-1\r\nConnection: close\r\n"
                "X-Courseloom-Deadline-Ms: " +
                    std::string(value) + "\r\n\r\n");
    cr_assert(answer.rfind("HTTP/1.1 200", 0) == 0 || answer.rfind("HTTP/1.1 400", 0) == 0, "deadline '%s': %s", value,
              answer.c_str());
  }
  test.requireServed("deadlines that are not numbers");
}

// ---- random shapes

Test(hostile_clients, random_clients_whose_work_is_not_due) { playRandomClients(NotDue); }
