// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Measures commit latency and rate on three real replicas relative to one synced write of the same bytes, and the time
// without a leader.

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <filesystem>

#include "Courseloom/src/Membership/ControlClient.h"
#include "Courseloom/src/Replication/LogStore.h"
#include "Courseloom/src/Schema/YamlReader.h"
#include "Courseloom/src/State/ClusterState.h"
#include "bench/Figures.h"
#include "test/Processes.h"
#include "test/ReplicaCluster.h"

using namespace courseloom;
using namespace courseloom::bench;

namespace asio = boost::asio;

namespace {

schema::Command claim(std::uint64_t number) {
  schema::Command command;
  schema::OpenClaim* open = command.mutable_open_claim();
  open->mutable_token()->set_workspace("andes");
  open->mutable_token()->set_request_id("bench-" + std::to_string(number));
  open->mutable_token()->set_target("target-1");
  open->mutable_token()->set_incarnation(1);
  open->set_digest("0123456789abcdef");
  open->set_service("quotes");
  open->set_opener("bench");
  return command;
}

/** \returns the median time of one synced write of the bytes of a claim, ms. */
double medianSyncedWriteMs() {
  std::string pattern = "/tmp/courseloom-bench-XXXXXX";
  const std::string folder = mkdtemp(pattern.data());
  LogStore store(folder + "/data");
  schema::DiskIdentity identity;
  identity.set_format(LogStore::Format);
  identity.set_cluster_id("bench");
  identity.set_replica_id(1);
  std::vector<double> times;
  if (store.initialise(identity, {}) && store.open("bench", 1)) {
    for (std::uint64_t i = 1; i <= 300; ++i) {
      ReplicaOutput output;
      schema::LogEntry entry;
      entry.set_index(i);
      entry.set_term(1);
      entry.set_payload(claim(i).SerializeAsString());
      output.append.push_back(entry);
      const Time before = BootClock::now();
      if (!store.write(output)) break;
      times.push_back(toMilliseconds(BootClock::now() - before));
    }
  }
  std::filesystem::remove_all(folder);
  return quantile(times, 0.5);
}

/** Latency and rate of commits. */
struct CommitFigures {
  double medianMs = 0;
  double perSecond = 0;
};

/** CommitFigures claims from several concurrent callers. \param each number of claims per caller
 * \param first number of the first claim */
CommitFigures commit(const schema::ClusterSettings& cluster, unsigned callers, unsigned each, std::uint64_t first) {
  asio::io_context io;
  ControlClient control(io, cluster);
  std::vector<double> times;
  unsigned open = callers;
  const Time start = BootClock::now();
  for (unsigned caller = 0; caller < callers; ++caller) {
    auto one = [&, caller]() -> Awaitable<void> {
      for (unsigned i = 0; i < each; ++i) {
        const Time before = BootClock::now();
        auto reply = co_await control.command(claim(first + caller * each + i), before + milliseconds(10000));
        if (reply) times.push_back(toMilliseconds(BootClock::now() - before));
      }
      if (--open == 0) io.stop();
    };
    asio::co_spawn(io, std::move(one), asio::detached);
  }
  io.run_for(std::chrono::seconds(30));
  const double seconds = toMilliseconds(BootClock::now() - start) / 1000;
  return {quantile(times, 0.5), static_cast<double>(times.size()) / seconds};
}

/** Measures the virtual time from a leader's crash to the next commit, over 200 seeds, in simulated clusters. */
void measureLeaderless() {
  std::vector<double> times;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    test::ReplicaCluster cluster(3, seed, {0, 0, false, false, false, false, false});
    cluster.advance(milliseconds(2000));
    cluster.propose();
    cluster.advance(milliseconds(100));
    cluster.crash(static_cast<std::size_t>(cluster.leader()));
    const Time crashed = cluster.now();
    const std::size_t before = cluster.acknowledged();
    while (cluster.acknowledged() == before && cluster.now() < crashed + milliseconds(20000)) {
      cluster.propose();
      cluster.advance(milliseconds(10));
    }
    times.push_back(toMilliseconds(cluster.now() - crashed));
  }
  figure("leaderless_virtual_p50", quantile(times, 0.5), "ms");
  figure("leaderless_virtual_p99", quantile(times, 0.99), "ms");
}

/** Measures the time from the kill of a leader to the next commit, on real processes. */
void measureLeaderlessReal(test::Deployment& deployment, const schema::ClusterSettings& cluster) {
  std::vector<double> times;
  for (unsigned i = 0; i < 8; ++i) {
    const std::string leader = deployment.leader();
    if (leader.empty()) continue;
    const Time before = BootClock::now();
    deployment.kill(leader);
    commit(cluster, 1, 1, 1000000 + i);
    times.push_back(toMilliseconds(BootClock::now() - before));
    deployment.start(leader);
    commit(cluster, 1, 1, 2000000 + i);
  }
  figure("leaderless_real_p50", quantile(times, 0.5), "ms");
  figure("leaderless_real_worst", quantile(times, 1.0), "ms");
}

/** Measures the bytes per claim of a snapshot at two numbers of claims. */
void measureSnapshotBytes() {
  for (const unsigned count : {1000U, 4000U}) {
    ClusterState state;
    for (unsigned i = 0; i < count; ++i) state.apply(i + 1, claim(i));
    figure(("snapshot_bytes_a_claim_at_" + std::to_string(count)).c_str(),
           static_cast<double>(state.save().size()) / count, "bytes");
  }
}

}  // namespace

int main() {
  test::Deployment deployment({3, 1, 1, "", "", ""});
  deployment.setUp();
  schema::Settings settings;
  if (!readYaml(deployment.commonSettings(), "settings", settings) || !checkRequired("settings", settings)) return 1;
  const double write = medianSyncedWriteMs();
  figure("synced_write_median", write, "ms");
  const CommitFigures single = commit(settings.cluster(), 1, 300, 0);
  figure("commit_median_1_caller", single.medianMs, "ms");
  figure("commit_to_write_ratio", single.medianMs / write, "ratio");
  figure("commits_1_caller", single.perSecond, "a_second");
  const CommitFigures some = commit(settings.cluster(), 16, 100, 10000);
  figure("commits_16_callers", some.perSecond, "a_second");
  const CommitFigures many = commit(settings.cluster(), 256, 40, 100000);
  figure("commits_256_callers", many.perSecond, "a_second");
  figure("rate_256_to_1_ratio", many.perSecond / single.perSecond, "ratio");
  measureLeaderless();
  measureLeaderlessReal(deployment, settings.cluster());
  measureSnapshotBytes();
  return 0;
}
