// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// A planned stop waits until all answers have been sent. If calls counted as done as soon as their handlers returned, a
// process could exit with answers still in its memory, and their callers would get an unknown outcome.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/Transport/RpcClient.h"
#include "Courseloom/src/Transport/RpcServer.h"
#include "generated/rpc.pb.h"
#include "test/main.h"

using namespace courseloom;

namespace asio = boost::asio;

namespace {

/** More bytes than the windows and buffers between two processes hold. */
constexpr std::size_t LargeAnswer = 12ULL << 20U;
constexpr Duration Turn = milliseconds(2);
/** Number of turns after which a test gives up. */
constexpr int MaxTurns = 5000;

/** Answers with a body of a given size, and counts the calls. */
class Answerer {
 public:
  Awaitable<Result<schema::RunReply>> answer(std::size_t size) {
    schema::RunReply reply;
    reply.mutable_answer()->set_body(std::string(size, 'x'));
    ++handled;
    co_return reply;
  }
  unsigned handled = 0;
};

Awaitable<void> callServer(std::shared_ptr<RpcClient> client, std::size_t& received) {
  const Time deadline = BootClock::now() + milliseconds(60000);
  Result<schema::RunReply> reply = co_await client->call<schema::RunReply>("run", schema::RunRequest(), deadline);
  if (reply) received = reply->answer().body().size();
}

unsigned serve(RpcServer& server, Answerer& answerer, std::size_t size) {
  server.handle<schema::RunRequest>(
      "run", [&answerer, size](schema::RunRequest, std::string) { return answerer.answer(size); });
  return server.start("127.0.0.1", 0).value();
}

}  // namespace

Test(rpc_drain, a_call_is_in_flight_until_its_answer_is_sent) {
  asio::io_context serverIo;
  asio::io_context clientIo;
  RpcServer server(serverIo);
  Answerer answerer;
  const unsigned port = serve(server, answerer, LargeAnswer);
  std::size_t received = 0;
  asio::co_spawn(clientIo, callServer(std::make_shared<RpcClient>(clientIo, "127.0.0.1", port), received),
                 asio::detached);
  for (int i = 0; i < MaxTurns && answerer.handled == 0; ++i) {
    clientIo.run_for(Turn);
    serverIo.run_for(Turn);
  }
  cr_assert_eq(answerer.handled, 1);
  // The client does not read while the server answers.
  serverIo.run_for(milliseconds(100));
  cr_assert(server.inFlight() > 0, "the answer has not been sent, and a stop would cut it off");
  for (int i = 0; i < MaxTurns && received == 0; ++i) {
    clientIo.run_for(Turn);
    serverIo.run_for(Turn);
  }
  cr_assert_eq(received, LargeAnswer);
  for (int i = 0; i < MaxTurns && server.inFlight() > 0; ++i) serverIo.run_for(Turn);
  cr_assert_eq(server.inFlight(), 0);
}

Test(rpc_drain, a_stop_waits_until_its_goaway_frames_are_sent) {
  asio::io_context io;
  RpcServer server(io);
  Answerer answerer;
  const unsigned port = serve(server, answerer, 1);
  std::size_t received = 0;
  asio::co_spawn(io, callServer(std::make_shared<RpcClient>(io, "127.0.0.1", port), received), asio::detached);
  for (int i = 0; i < MaxTurns && (received == 0 || server.inFlight() > 0); ++i) io.run_for(Turn);
  cr_assert_eq(received, 1);
  server.goAway();
  cr_assert(server.inFlight() > 0, "the GOAWAY frame has not been written");
  for (int i = 0; i < MaxTurns && server.inFlight() > 0; ++i) io.run_for(Turn);
  cr_assert_eq(server.inFlight(), 0);
}
