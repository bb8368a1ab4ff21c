// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Calls to the platform: an incarnation is sent as the identity that the platform knows, and answers are mapped back to
// incarnations.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>

#include "Courseloom/src/Transport/HttpServer.h"
#include "platform/Endpoints.h"
#include "test/main.h"

using namespace courseloom;

namespace asio = boost::asio;

namespace {

const std::string Address = "127.0.9.9";

/** \class PlatformPeer
 * \brief Answers every call with the same body, and keeps the last call.
 */
class PlatformPeer {
 public:
  PlatformPeer(asio::io_context& io, std::string body)
      : m_body(std::move(body)),
        m_server(io, HttpLimits(), [this](HttpRequest request, HttpCaller) { return answer(std::move(request)); }) {}
  std::string start() { return Address + ":" + std::to_string(m_server.start(Address, 0).value()); }

  HttpRequest lastRequest;

 private:
  Awaitable<HttpResponse> answer(HttpRequest request) {
    lastRequest = std::move(request);
    co_return jsonResponse(200, m_body);
  }

  std::string m_body;
  HttpServer m_server;
};

Awaitable<void> advise(AdvicePort& port, std::optional<std::vector<Ticket>>& tickets) {
  schema::TaskId step;
  step.set_workflow("ab");
  const std::vector<std::string> targets{"i-1@7", "i-2"};
  Result<std::vector<Ticket>> answer = co_await port.advise(step, targets, milliseconds(1000));
  if (answer) tickets = std::move(*answer);
}

Awaitable<void> poll(TargetPort& port, std::optional<TargetAnswer>& answer) {
  Result<TargetAnswer> read = co_await port.hold("i-1@7", TargetHold(), milliseconds(1000));
  if (read) answer = std::move(*read);
}

}  // namespace

Test(platform_calls, advice_is_requested_by_identity_and_mapped_to_incarnations) {
  asio::io_context io;
  PlatformPeer peer(io, R"({"healthy":[["i-1","first"],["i-2","second"],["i-9","of another"]]})");
  schema::Settings settings;
  Histograms metrics;
  settings.mutable_edge()->set_advice_endpoint(peer.start());
  const std::unique_ptr<AdvicePort> port = platform::makeAdvicePort(DaemonContext{io, settings, metrics});
  std::optional<std::vector<Ticket>> tickets;
  asio::co_spawn(io, advise(*port, tickets), asio::detached);
  io.run_for(milliseconds(300));
  cr_assert(tickets && tickets->size() == 3);
  cr_assert(peer.lastRequest.body().find(R"(["i-1","i-2"])") != std::string::npos, "%s",
            peer.lastRequest.body().c_str());
  cr_assert_str_eq((*tickets)[0].target.c_str(), "i-1@7");
  cr_assert_str_eq((*tickets)[1].target.c_str(), "i-2");
  cr_assert_str_eq((*tickets)[2].target.c_str(), "i-9");
}

Test(platform_calls, a_poll_tells_which_incarnation_has_answered) {
  asio::io_context io;
  PlatformPeer peer(io, R"({"clock_ms":5,"running":[],"finished":[],"born":8})");
  schema::Settings settings;
  Histograms metrics;
  settings.mutable_runner()->set_target_endpoint(peer.start());
  const std::unique_ptr<TargetPort> port = platform::makeTargetPort(DaemonContext{io, settings, metrics});
  std::optional<TargetAnswer> answer;
  asio::co_spawn(io, poll(*port, answer), asio::detached);
  io.run_for(milliseconds(300));
  cr_assert(answer.has_value());
  cr_assert_str_eq(answer->incarnation.c_str(), "i-1@8");
  cr_assert_str_eq(std::string(peer.lastRequest["X-Courseloom-Target-Instance"]).c_str(), "i-1");
}
