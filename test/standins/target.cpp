// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Stand-in for a target: answers POST /run, with faults if configured.
//
//   target --port 0 --name t1
//   POST /behave?mode=MODE&ms=N   sets the mode: ok, slow (N ms), late (0 to N ms, at random), cut (closes the
//                                 connection before the answer), truncate (half an answer), cross (the number of
//                                 another exchange), fail (status 500), frozen (no answer until the mode changes), drop
//                                 (closes the connection in the middle of the header)
//   GET /runs                     how often each request id was run, as JSON
//   GET /peak                     highest number of concurrent requests

#include <CLI/CLI.hpp>
#include <atomic>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <iostream>
#include <map>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

#include "Courseloom/src/Entry/OperatorRoutes.h"
#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/Transport/HttpServer.h"
#include "Courseloom/src/Transport/Listen.h"

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using namespace courseloom;

namespace {

class StandInTarget {
 public:
  StandInTarget(asio::io_context& io, std::string name) : m_io(io), m_acceptor(io), m_name(std::move(name)) {}

  unsigned start(unsigned port) {
    Result<unsigned> bound = listenOn(m_acceptor, "127.0.0.1", port);
    if (!bound) return 0;
    asio::co_spawn(m_io, acceptLoop(), asio::detached);
    return *bound;
  }

 private:
  Awaitable<void> acceptLoop() {
    while (true) {
      asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(asio::make_strand(m_io), asio::use_awaitable);
      const auto executor = socket.get_executor();
      asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
    }
  }

  Awaitable<void> serve(asio::ip::tcp::socket socket) {
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    while (true) {
      http::request_parser<http::string_body> parser;
      parser.body_limit(64 * 1024 * 1024);
      const auto [error, bytes] =
          co_await http::async_read(stream, buffer, parser, asio::as_tuple(asio::use_awaitable));
      if (error) break;
      const HttpRequest request = parser.release();
      if (!co_await answer(stream, request)) break;
    }
    beast::error_code ignored;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  }

  std::string behaviour(int& ms) {
    const std::lock_guard lock(m_mutex);
    ms = m_ms;
    return m_mode;
  }

  Awaitable<bool> write(beast::tcp_stream& stream, const HttpResponse& response) {
    const auto [error, bytes] = co_await http::async_write(stream, response, asio::as_tuple(asio::use_awaitable));
    co_return !error;
  }

  Awaitable<bool> answer(beast::tcp_stream& stream, const HttpRequest& request) {
    const std::string target(request.target());
    if (target.rfind("/run", 0) != 0 || target == "/runs") co_return co_await write(stream, control(target));
    const unsigned now = ++m_running;
    unsigned peak = m_peak.load();
    while (now > peak && !m_peak.compare_exchange_weak(peak, now)) {
    }
    const bool keepOpen = co_await run(stream, request);
    --m_running;
    co_return keepOpen;
  }

  Awaitable<bool> run(beast::tcp_stream& stream, const HttpRequest& request) {
    int ms = 0;
    const std::string mode = behaviour(ms);
    const auto id = request.find("Courseloom-Request-Id");
    if (id != request.end()) {
      const std::lock_guard lock(m_mutex);
      ++m_runs[std::string(id->value())];
    }
    if (mode == "slow") co_await sleepFor(milliseconds(ms));
    if (mode == "late") co_await sleepFor(milliseconds(std::uniform_int_distribution<int>(0, ms)(randomGenerator())));
    int ignoredMs = 0;
    while (mode == "frozen" && behaviour(ignoredMs) == "frozen") co_await sleepFor(milliseconds(10));
    if (mode == "cut") co_return false;
    HttpResponse response;
    response.set(http::field::content_type, "text/plain");
    const std::string exchange(request["Courseloom-Exchange"]);
    response.set("Courseloom-Exchange", mode == "cross" ? exchange + "-of-another" : exchange);
    if (mode == "fail") response.result(500);
    response.body() = m_name + " answers: " + request.body();
    response.prepare_payload();
    if (mode != "truncate" && mode != "drop") co_return co_await write(stream, response);
    std::ostringstream text;
    text << response;
    const std::string full = text.str();
    const std::string part = full.substr(0, mode == "drop" ? 10 : full.size() - response.body().size() / 2 - 1);
    co_await asio::async_write(stream.socket(), asio::buffer(part), asio::as_tuple(asio::use_awaitable));
    co_return false;
  }

  HttpResponse control(const std::string& target) {
    const std::lock_guard lock(m_mutex);
    const std::size_t queryStart = target.find('?');
    if (target.rfind("/behave", 0) == 0 && queryStart != std::string::npos) {
      m_mode = queryValue(target.substr(queryStart + 1), "mode");
      m_ms = std::atoi(queryValue(target.substr(queryStart + 1), "ms").c_str());
      return jsonResponse(200, "{}\n");
    }
    if (target == "/peak") return jsonResponse(200, std::to_string(m_peak.load()) + "\n");
    std::string json = "{";
    for (const auto& [id, count] : m_runs)
      json += (json.size() > 1 ? "," : "") + jsonQuote(id) + ":" + std::to_string(count);
    return jsonResponse(200, json + "}\n");
  }

  static std::mt19937& randomGenerator() {
    thread_local std::mt19937 generator(std::random_device{}());
    return generator;
  }

  asio::io_context& m_io;
  asio::ip::tcp::acceptor m_acceptor;
  std::string m_name;
  std::mutex m_mutex;
  std::string m_mode = "ok";
  int m_ms = 0;
  std::map<std::string, int> m_runs;
  std::atomic<unsigned> m_running{0};
  std::atomic<unsigned> m_peak{0};
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Stand-in for a target");
  unsigned port = 0;
  std::string name = "target";
  app.add_option("--port", port, "Port; 0 picks a free one");
  app.add_option("--name", name, "Name in its answers");
  CLI11_PARSE(app, argc, argv);
  asio::io_context io;
  StandInTarget target(io, name);
  const unsigned bound = target.start(port);
  if (bound == 0) return 1;
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](auto, auto) { io.stop(); });
  std::cout << "ready name=" << name << " http=127.0.0.1:" << bound << std::endl;
  std::thread second([&io] { io.run(); });
  io.run();
  second.join();
  return 0;
}
