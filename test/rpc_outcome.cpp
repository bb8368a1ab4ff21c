// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The outcome of a call that got no answer. A peer handles a call only once it has received all of it. A call whose end
// was never sent therefore did not run; the outcome of any other call is unknown.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <optional>

#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/Transport/RpcClient.h"
#include "generated/rpc.pb.h"
#include "test/main.h"

using namespace courseloom;

namespace asio = boost::asio;

namespace {

/** More bytes than a peer's initial window allows. */
constexpr std::size_t LargeCall = 4ULL << 20U;

/** \class UnreadingPeer
 * \brief Accepts a connection and reads nothing from it.
 */
class UnreadingPeer {
 public:
  explicit UnreadingPeer(asio::io_context& io) : m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0}) {
    m_acceptor.async_accept(
        [this](boost::system::error_code, asio::ip::tcp::socket socket) { m_socket.emplace(std::move(socket)); });
  }
  unsigned port() const { return m_acceptor.local_endpoint().port(); }
  void reset() {
    m_socket->set_option(asio::socket_base::linger(true, 0));
    m_socket.reset();
  }

 private:
  asio::ip::tcp::acceptor m_acceptor;
  std::optional<asio::ip::tcp::socket> m_socket;
};

Awaitable<void> callPeer(std::shared_ptr<RpcClient> client, std::size_t size, std::optional<Failure>& failure) {
  schema::RunRequest request;
  request.set_body(std::string(size, 'x'));
  const Time deadline = BootClock::now() + milliseconds(400);
  Result<schema::RunReply> reply = co_await client->call<schema::RunReply>("run", request, deadline);
  if (!reply) failure = extractFailure(reply);
}

/** \returns the failure of a call to a peer that reads nothing. \param reset whether the peer resets the connection */
Failure failureOf(std::size_t size, bool reset) {
  asio::io_context io;
  UnreadingPeer peer(io);
  std::optional<Failure> failure;
  asio::co_spawn(io, callPeer(std::make_shared<RpcClient>(io, "127.0.0.1", peer.port()), size, failure),
                 asio::detached);
  io.run_for(milliseconds(150));
  if (reset) peer.reset();
  for (int i = 0; i < 200 && !failure; ++i) io.run_for(milliseconds(10));
  cr_assert(failure.has_value(), "the call did not end");
  return *failure;
}

}  // namespace

Test(rpc_outcome, a_call_that_was_not_sent_completely_did_not_run) {
  cr_assert_eq(static_cast<int>(failureOf(LargeCall, false).ran), static_cast<int>(Ran::No), "after a time-out");
  cr_assert_eq(static_cast<int>(failureOf(LargeCall, true).ran), static_cast<int>(Ran::No), "after a reset");
}

Test(rpc_outcome, a_call_that_was_sent_completely_has_an_unknown_outcome) {
  cr_assert_eq(static_cast<int>(failureOf(10, false).ran), static_cast<int>(Ran::Unknown), "after a time-out");
  cr_assert_eq(static_cast<int>(failureOf(10, true).ran), static_cast<int>(Ran::Unknown), "after a reset");
}
