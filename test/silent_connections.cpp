// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Connections that become silent for good, without a reset, while new ones work: they have to be detected, and each
// detection must cost few calls.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/Transport/HttpClient.h"
#include "Courseloom/src/Transport/HttpServer.h"
#include "Courseloom/src/Transport/RpcClient.h"
#include "Courseloom/src/Transport/RpcServer.h"
#include "generated/rpc.pb.h"
#include "test/main.h"
#include "test/soak/FaultProxy.h"

using namespace courseloom;
using namespace courseloom::test;

namespace asio = boost::asio;

namespace {

const std::string Address = "127.0.9.8";
constexpr unsigned Connections = 6;
constexpr Duration CallLimit = milliseconds(200);

/** \class SilenceableLink
 * \brief A proxy whose established connections can be silenced.
 */
class SilenceableLink {
 public:
  SilenceableLink(asio::io_context& io, unsigned serverPort)
      : m_proxy(io, m_rules, [](const auto&, const auto&) { return std::string("caller"); }), m_port(serverPort + 1) {
    m_proxy.forward("server", Address, m_port, serverPort);
  }
  unsigned port() const { return m_port; }
  void silence(bool toServer, bool toCaller) {
    m_rules.change("caller", "server", [toServer, toCaller](LinkRule& rule) {
      rule.silencesToServer += toServer ? 1 : 0;
      rule.silencesToCaller += toCaller ? 1 : 0;
    });
  }

 private:
  LinkRules m_rules;
  FaultProxy m_proxy;
  unsigned m_port;
};

Awaitable<HttpResponse> answerAfterDelay(HttpRequest, HttpCaller) {
  co_await sleepFor(milliseconds(20));
  co_return jsonResponse(200, "{}");
}

Awaitable<Result<schema::RunReply>> answerRun(schema::RunRequest, std::string) { co_return schema::RunReply(); }

Awaitable<void> exchange(HttpClient& client, unsigned& answered, unsigned& failed) {
  HttpRequest request(boost::beast::http::verb::post, "/", 11);
  Result<HttpResponse> response = co_await client.exchange("call", request, CallLimit, 4096);
  response ? ++answered : ++failed;
}

Awaitable<void> call(std::shared_ptr<RpcClient> client, unsigned& answered, unsigned& failed) {
  const Time deadline = BootClock::now() + CallLimit;
  Result<schema::RunReply> reply = co_await client->call<schema::RunReply>("run", schema::RunRequest(), deadline);
  reply ? ++answered : ++failed;
}

/** Opens several connections, silences all of them, then makes one call after the other.
 * \returns the number of calls that failed before one was answered */
unsigned failedCallsAfterSilence(bool toServer, bool toCaller) {
  asio::io_context io;
  HttpServer server(io, HttpLimits(), answerAfterDelay);
  const unsigned port = server.start(Address, 0).value();
  SilenceableLink link(io, port);
  HttpClient client(io, Address, link.port(), Connections);
  unsigned answered = 0;
  unsigned failed = 0;
  for (unsigned i = 0; i < Connections; ++i) asio::co_spawn(io, exchange(client, answered, failed), asio::detached);
  io.run_for(milliseconds(300));
  cr_assert_eq(answered, Connections);
  link.silence(toServer, toCaller);
  for (unsigned i = 0; i < 2 * Connections && answered == Connections; ++i) {
    asio::co_spawn(io, exchange(client, answered, failed), asio::detached);
    io.run_for(2 * CallLimit);
  }
  cr_assert_gt(answered, Connections, "no new connection was made");
  return failed;
}

}  // namespace

// Guards against each silent connection of the pool failing one call: six calls failed in turn, and a target that
// answered was counted as lost meanwhile.
Test(silent_connections, silent_connections_cost_one_call_however_many_are_open) {
  cr_assert_eq(failedCallsAfterSilence(true, false), 1, "silent to the server");
  cr_assert_eq(failedCallsAfterSilence(false, true), 1, "silent to the caller");
  cr_assert_eq(failedCallsAfterSilence(true, true), 1, "silent both ways");
}

Test(silent_connections, calls_between_processes_go_on_over_a_new_connection) {
  asio::io_context io;
  RpcServer server(io);
  server.handle<schema::RunRequest>("run", answerRun);
  SilenceableLink link(io, server.start(Address, 0).value());
  const auto client = std::make_shared<RpcClient>(io, Address, link.port());
  for (const auto& [toServer, toCaller] : {std::pair(true, false), std::pair(false, true), std::pair(true, true)}) {
    unsigned answered = 0;
    unsigned failed = 0;
    asio::co_spawn(io, call(client, answered, failed), asio::detached);
    io.run_for(CallLimit);
    cr_assert_eq(answered, 1);
    link.silence(toServer, toCaller);
    for (unsigned i = 0; i < 5 && answered == 1; ++i) {
      asio::co_spawn(io, call(client, answered, failed), asio::detached);
      io.run_for(2 * CallLimit);
    }
    cr_assert_eq(answered, 2, "no new connection was made");
    cr_assert_eq(failed, 1);
  }
}
