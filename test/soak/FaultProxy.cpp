// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/soak/FaultProxy.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <thread>

namespace courseloom::test {

namespace asio = boost::asio;

namespace {
constexpr Duration SilencePoll = milliseconds(10);
constexpr std::size_t ChunkBytes = 16384;
/** Interval of the timer whose lateness is measured. */
constexpr Duration TimerInterval = milliseconds(20);

void raise(std::atomic<std::uint64_t>& longestMs, Duration measured) {
  const auto ms = static_cast<std::uint64_t>(std::max(0.0, toMilliseconds(measured)));
  if (ms > longestMs) longestMs = ms;
}
}  // namespace

LinkRule LinkRules::get(const std::string& from, const std::string& to) const {
  const std::lock_guard lock(m_mutex);
  LinkRule all;
  for (const auto& key : {std::pair(from, to), std::pair(std::string("*"), to), std::pair(from, std::string("*"))}) {
    const auto found = m_rules.find(key);
    if (found == m_rules.end()) continue;
    all.delay = std::max(all.delay, found->second.delay);
    all.silentToServer |= found->second.silentToServer;
    all.silentToCaller |= found->second.silentToCaller;
    all.resets += found->second.resets;
    all.silencesToServer += found->second.silencesToServer;
    all.silencesToCaller += found->second.silencesToCaller;
  }
  return all;
}

void LinkRules::change(const std::string& from, const std::string& to, const std::function<void(LinkRule&)>& apply) {
  const std::lock_guard lock(m_mutex);
  apply(m_rules[{from, to}]);
}

void LinkRules::heal() {
  const std::lock_guard lock(m_mutex);
  for (auto& [link, rule] : m_rules) rule.heal();
}

struct FaultProxy::Connection {
  Connection(asio::io_context& io, Tcp::socket socket) : caller(std::move(socket)), server(io) {}
  Tcp::socket caller;
  Tcp::socket server;
  std::string from;
  std::string to;
  LinkRule accepted;  ///< rule at the time when the connection was accepted

  bool isSilenced(const LinkRule& rule, bool toServer) const {
    return toServer ? rule.silencesToServer != accepted.silencesToServer
                    : rule.silencesToCaller != accepted.silencesToCaller;
  }
  void reset() {
    boost::system::error_code ignored;
    for (Tcp::socket* socket : {&caller, &server}) {
      if (!socket->is_open()) continue;
      socket->set_option(asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
  }
};

void FaultProxy::forward(const std::string& server, const std::string& address, unsigned listenPort,
                         unsigned serverPort) {
  const auto ip = asio::ip::make_address(address);
  const Tcp::endpoint listen(ip, static_cast<std::uint16_t>(listenPort));
  const Tcp::endpoint target(ip, static_cast<std::uint16_t>(serverPort));
  asio::co_spawn(m_io, acceptLoop(server, listen, target), asio::detached);
}

void FaultProxy::measureLoad() { asio::co_spawn(m_io, timerLoop(), asio::detached); }

Awaitable<void> FaultProxy::timerLoop() {
  while (true) {
    const Time due = BootClock::now() + TimerInterval;
    co_await sleepFor(TimerInterval);
    raise(m_load.latestTimerMs, BootClock::now() - due);
  }
}

std::string FaultProxy::lookUpCaller(const Tcp::endpoint& caller, const Tcp::endpoint& proxy) {
  const Time begin = BootClock::now();
  if (m_lookupDelay > Duration(0) && begin >= m_lookupDelayFrom) std::this_thread::sleep_for(m_lookupDelay);
  std::string name = m_callerOf(caller, proxy);
  raise(m_load.longestLookupMs, BootClock::now() - begin);
  return name;
}

Awaitable<void> FaultProxy::acceptLoop(std::string server, Tcp::endpoint listen, Tcp::endpoint target) {
  Tcp::acceptor acceptor(m_io, listen);
  while (true) {
    auto [error, socket] = co_await acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
    if (error) continue;
    auto connection = std::make_shared<Connection>(m_io, std::move(socket));
    boost::system::error_code peerError;
    const Tcp::endpoint peer = connection->caller.remote_endpoint(peerError);
    connection->from = peerError ? std::string() : lookUpCaller(peer, listen);
    connection->to = server;
    connection->accepted = m_rules.get(connection->from, server);
    asio::co_spawn(m_io, serve(connection, target), asio::detached);
  }
}

Awaitable<void> FaultProxy::serve(std::shared_ptr<Connection> connection, Tcp::endpoint target) {
  const auto [error] = co_await connection->server.async_connect(target, asio::as_tuple(asio::use_awaitable));
  if (error) {
    connection->reset();
    co_return;
  }
  boost::system::error_code ignored;
  connection->caller.set_option(Tcp::no_delay(true), ignored);
  connection->server.set_option(Tcp::no_delay(true), ignored);
  asio::co_spawn(m_io, pump(connection, true), asio::detached);
  asio::co_spawn(m_io, pump(connection, false), asio::detached);
}

Awaitable<void> FaultProxy::pump(std::shared_ptr<Connection> connection, bool toServer) {
  Tcp::socket& source = toServer ? connection->caller : connection->server;
  Tcp::socket& sink = toServer ? connection->server : connection->caller;
  std::array<char, ChunkBytes> chunk{};
  const auto currentRule = [&] { return m_rules.get(connection->from, connection->to); };
  while (true) {
    const auto [readError, length] =
        co_await source.async_read_some(asio::buffer(chunk), asio::as_tuple(asio::use_awaitable));
    LinkRule rule = currentRule();
    while (toServer ? rule.silentToServer : rule.silentToCaller) {
      co_await sleepFor(SilencePoll);
      rule = currentRule();
      if (rule.resets != connection->accepted.resets) break;
    }
    if (connection->isSilenced(rule, toServer)) {
      // Neither bytes nor the end of the connection are forwarded; the peer has to detect the failure by itself.
      boost::system::error_code ignored;
      if (readError) source.close(ignored);
      if (readError) co_return;
      continue;
    }
    if (rule.resets != connection->accepted.resets || (readError && readError != asio::error::eof)) {
      connection->reset();
      co_return;
    }
    if (readError) {
      boost::system::error_code ignored;
      if (sink.is_open()) sink.shutdown(Tcp::socket::shutdown_send, ignored);
      co_return;
    }
    if (rule.delay > Duration(0)) co_await sleepFor(rule.delay);
    const auto [writeError, written] =
        co_await asio::async_write(sink, asio::buffer(chunk.data(), length), asio::as_tuple(asio::use_awaitable));
    if (!writeError) continue;
    connection->reset();
    co_return;
  }
}

}  // namespace courseloom::test
