// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/ClientCrowd.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/Transport/Listen.h"

namespace courseloom::test {

namespace asio = boost::asio;

namespace {

/** Time without any progress from which a crowd counts as quiet. */
constexpr Duration QuietTime = milliseconds(1500);
constexpr Duration PollPause = milliseconds(20);
/** Pause before a client connects again. */
constexpr Duration ReturnPause = milliseconds(20);
constexpr double BytesPerMb = 1024.0 * 1024.0;
constexpr double KilobytesPerMb = 1024.0;

asio::ip::tcp::endpoint endpoint_of(const std::string& text) {
  const Endpoint endpoint = splitEndpoint(text);
  return {asio::ip::make_address(endpoint.address), static_cast<std::uint16_t>(endpoint.port)};
}

}  // namespace

struct ClientCrowd::Connection {
  explicit Connection(asio::io_context& io) : socket(io) {}
  asio::ip::tcp::socket socket;
  bool open = true;
};

ClientCrowd::ClientCrowd(const std::string& endpoint, std::vector<ClientScript> clients)
    : m_endpoint(endpoint_of(endpoint)), m_clients(std::move(clients)) {
  for (const ClientScript& script : m_clients) asio::co_spawn(m_io, play(script), asio::detached);
  m_thread = std::thread([this] { m_io.run(); });
}

ClientCrowd::~ClientCrowd() {
  m_io.stop();
  m_thread.join();
}

void ClientCrowd::awaitQuiet(Duration limit) {
  const Time end = BootClock::now() + limit;
  std::uint64_t progress = m_progress.load();
  Time changed = BootClock::now();
  while (BootClock::now() < end && BootClock::now() < changed + QuietTime) {
    std::this_thread::sleep_for(PollPause);
    if (std::exchange(progress, m_progress.load()) != progress) changed = BootClock::now();
  }
}

Awaitable<void> ClientCrowd::play(const ClientScript& script) {
  do {
    const auto connection = std::make_shared<Connection>(m_io);
    const auto [failed] = co_await connection->socket.async_connect(m_endpoint, asio::as_tuple(asio::use_awaitable));
    if (!failed) {
      asio::co_spawn(
          m_io, [this, connection, &script] { return sendScript(*connection, script); },
          [connection](const std::exception_ptr&) {});
      // A client that does not read notices a close only by a failed write.
      std::array<char, 4096> received{};
      while (connection->open && script.reads) {
        const auto [error, length] =
            co_await connection->socket.async_read_some(asio::buffer(received), asio::as_tuple(asio::use_awaitable));
        connection->open = !error;
        ++m_progress;
      }
      while (connection->open) co_await sleepFor(PollPause);
      boost::system::error_code ignored;
      connection->socket.close(ignored);
      ++m_closed;
    }
    co_await sleepFor(ReturnPause);
  } while (script.returns);
}

Awaitable<void> ClientCrowd::sendScript(Connection& connection, const ClientScript& script) {
  co_await sendText(connection, script.begin, script);
  std::string block = script.repeated;
  while (!block.empty() && block.size() < script.pieceBytes && script.pause == Duration(0)) block += script.repeated;
  for (std::size_t sent = 0; sent < script.repeatedBytes && connection.open; sent += block.size()) {
    co_await sendText(connection, block, script);
  }
  co_await sendText(connection, script.end, script);
}

Awaitable<void> ClientCrowd::sendText(Connection& connection, const std::string& text, const ClientScript& script) {
  for (std::size_t sent = 0; sent < text.size() && connection.open;) {
    const std::size_t length = std::min(script.pieceBytes, text.size() - sent);
    const auto [error, written] = co_await asio::async_write(
        connection.socket, asio::buffer(text.data() + sent, length), asio::as_tuple(asio::use_awaitable));
    if (error) connection.open = false;
    sent += written;
    ++m_progress;
    if (script.pause > Duration(0)) co_await sleepFor(script.pause);
  }
}

ProcessUsage usageOf(pid_t process, const std::string& address) {
  ProcessUsage usage;
  const std::string folder = "/proc/" + std::to_string(process);
  std::ifstream status(folder + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) usage.peakMb = std::stod(line.substr(6)) / KilobytesPerMb;
  }
  std::error_code ignored;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator(folder + "/fd", ignored)) {
    ++usage.descriptors;
  }
  // The kernel prints addresses in the byte order of the network, read as a number of the host.
  std::array<char, 9> local{};
  std::snprintf(local.data(), local.size(), "%08X", htonl(asio::ip::make_address_v4(address).to_uint()));
  std::ifstream sockets("/proc/net/tcp");
  for (std::string line; std::getline(sockets, line);) {
    std::istringstream words(line);
    std::string number, from, to, state, queues;
    words >> number >> from >> to >> state >> queues;
    const std::size_t colon = queues.find(':');
    if (from.rfind(local.data(), 0) != 0 || colon == std::string::npos) continue;
    const std::uint64_t unread =
        std::stoull(queues.substr(0, colon), nullptr, 16) + std::stoull(queues.substr(colon + 1), nullptr, 16);
    usage.queuedMb += static_cast<double>(unread) / BytesPerMb;
  }
  return usage;
}

}  // namespace courseloom::test
