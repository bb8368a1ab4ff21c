// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Measures the latency that entry and agent add to a request, compared with a direct call of the target, and the rate
// of rejections under load.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Courseloom/src/Transport/HttpClient.h"
#include "bench/Figures.h"
#include "test/Processes.h"

using namespace courseloom;
using namespace courseloom::bench;

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/** Latencies of the requests of one measurement, ms, and its duration. */
struct LoadResult {
  std::vector<double> answered;
  std::vector<double> rejected;
  double seconds = 0;
};

/** Sends requests in an open loop: each request has a fixed send time, and its latency is measured from that time. */
LoadResult openLoop(const std::string& address, const std::string& path, double perSecond, unsigned count,
                    unsigned deadlineMs) {
  asio::io_context io;
  const std::size_t colon = address.find(':');
  HttpClient client(io, address.substr(0, colon), std::strtoul(address.c_str() + colon + 1, nullptr, 10), 512);
  LoadResult result;
  unsigned open = count;
  const Time start = BootClock::now() + milliseconds(20);
  for (unsigned i = 0; i < count; ++i) {
    auto one = [&, i]() -> Awaitable<void> {
      const Time due = start + Duration(static_cast<std::int64_t>(i * 1e6 / perSecond));
      asio::steady_timer timer(io);
      timer.expires_after(due - BootClock::now());
      co_await timer.async_wait(asio::use_awaitable);
      HttpRequest request(http::verb::post, path, 11);
      request.set("Courseloom-Workspace", "andes");
      request.set("Courseloom-Deadline-Ms", std::to_string(deadlineMs));
      request.body() = "quote";
      auto response = co_await client.exchange("bench", std::move(request), milliseconds(20000), 1 << 20);
      const double ms = toMilliseconds(BootClock::now() - due);
      (response && response->result_int() == 200 ? result.answered : result.rejected).push_back(ms);
      if (--open == 0) io.stop();
    };
    asio::co_spawn(io, std::move(one), asio::detached);
  }
  io.run_for(std::chrono::seconds(60));
  result.seconds = toMilliseconds(BootClock::now() - start) / 1000;
  return result;
}

}  // namespace

int main() {
  test::Deployment deployment({3, 1, 2, "", "queueLimit: 32", ""});
  deployment.setUp();
  const std::string path = "/v1/services/quotes/requests";
  for (int round = 1; round <= 3; ++round) {
    const LoadResult direct = openLoop(deployment.http("target-1"), "/run", 300, 1200, 2000);
    const LoadResult through = openLoop(deployment.http("entry-1"), path, 300, 1200, 2000);
    figure("direct_p50", quantile(direct.answered, 0.5), "ms");
    figure("through_p50", quantile(through.answered, 0.5), "ms");
    figure("added_p50", quantile(through.answered, 0.5) - quantile(direct.answered, 0.5), "ms");
    figure("added_p99", quantile(through.answered, 0.99) - quantile(direct.answered, 0.99), "ms");
  }
  // Two targets with 8 slots at 20 ms serve 800 requests per second, less the slot that each of them reserves for
  // urgent work.
  deployment.behave("target-1", "slow", 20);
  deployment.behave("target-2", "slow", 20);
  for (const double load : {0.5, 1.0, 2.0}) {
    const double capacity = 2 * 7 / 0.020;
    const LoadResult result =
        openLoop(deployment.http("entry-1"), path, capacity * load, static_cast<unsigned>(capacity * load * 3), 200);
    const std::string prefix = "load_" + std::to_string(load).substr(0, 3);
    figure((prefix + "_goodput_to_capacity").c_str(), static_cast<double>(result.answered.size()) / 3.0 / capacity,
           "ratio");
    figure((prefix + "_answered_p99").c_str(), quantile(result.answered, 0.99), "ms");
    figure((prefix + "_refused").c_str(), static_cast<double>(result.rejected.size()), "requests");
    figure((prefix + "_refused_p99").c_str(), quantile(result.rejected, 0.99), "ms");
  }
  return 0;
}
