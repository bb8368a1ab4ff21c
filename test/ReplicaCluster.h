// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Courseloom/src/Replication/Replica.h"

namespace courseloom::test {

/** What may go wrong in one seeded run. */
struct ClusterFaults {
  double loss = 0.05;
  double duplicate = 0.05;
  bool crashes = true;
  bool freezes = true;
  bool partitions = true;
  bool wipes = true;
  bool handOvers = true;
};

/** Replicas that come after the founders, and when they take the place of others. */
struct ClusterMembership {
  std::size_t standbys = 0;      ///< the last of the replicas, which begin with empty disks
  Duration replaceAfter{};       ///< \sa ReplicaOptions
  std::size_t wantedVoters = 0;  ///< \sa ReplicaOptions
};

/** \class ReplicaCluster
 * \brief Replicas on a virtual clock with a network that loses, delays, doubles and reorders, and disks that lose what
 * was not synced; with a checker of agreement, of acknowledged commands and of reads.
 */
class ReplicaCluster {
 public:
  ReplicaCluster(std::size_t count, std::uint64_t seed, ClusterFaults faults, ReplicaMechanisms mechanisms = {},
                 ClusterMembership membership = {});

  /** Runs a number of steps with faults and client traffic. Stops early at a violation. */
  void run(std::size_t steps);
  /** Ends all faults, waits until one leader has committed and all voters have caught up, then checks the whole. */
  void healAndCheck();

  /** \returns what went wrong first, or an empty string. */
  const std::string& violation() const { return m_violation; }
  std::size_t acknowledged() const { return m_acknowledged.size(); }
  std::size_t wipes() const { return m_wipes; }

  // Steps for tests that bring about one failure by hand.
  void advance(Duration duration);
  bool propose();
  int leader() const;
  void crash(std::size_t node);
  void restart(std::size_t node);
  void wipe(std::size_t node);
  /** Sets how long each later sync of a node takes; zero is some milliseconds, drawn anew each time. */
  void slowDisk(std::size_t node, Duration sync) { m_nodes[node].syncTime = sync; }
  void cut(std::size_t node, bool on) { m_nodes[node].cut = on; }
  const Replica* replica(std::size_t node) const { return m_nodes[node].replica.get(); }
  /** \returns acknowledged commands that a node's disk does not hold. */
  std::size_t missingOnDisk(std::size_t node) const;
  Time now() const { return m_now; }

 private:
  struct Disk {
    std::string id;
    ReplicaState state;
    std::vector<std::string> snapshotState() const;
  };
  struct Node {
    Disk disk;
    std::unique_ptr<Replica> replica;
    std::vector<std::string> applied;  ///< payloads by index - 1; empty ones are no commands
    bool frozen = false;
    bool cut = false;
    Time thawAt{};
    Time restartAt{};
    bool syncing = false;
    Duration syncTime{};  ///< zero draws a short one for each sync
    std::uint64_t life = 0;
    std::map<LogIndex, std::pair<Term, std::string>> waiting;
  };
  struct Event {
    Time at;
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::uint64_t life = 0;
    std::shared_ptr<schema::ReplicaMessage> message;
    std::shared_ptr<ReplicaOutput> output;
    bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
  };

  double chance() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
  std::size_t anyNode() { return std::uniform_int_distribution<std::size_t>(0, m_nodes.size() - 1)(m_random); }
  Duration delay(std::int64_t mostMs) {
    return Duration(std::uniform_int_distribution<std::int64_t>(100, mostMs * 1000)(m_random));
  }
  void boot(std::size_t node);
  void pump(std::size_t node);
  void send(std::size_t from, const std::vector<schema::ReplicaMessage>& messages);
  void handle(const Event& event);
  void finishSync(std::size_t node, const ReplicaOutput& output);
  void store(Disk& disk, const ReplicaOutput& output) const;
  void apply(std::size_t node, const schema::LogEntry& entry);
  void proposeAt(std::size_t node);
  void readAt(std::size_t node);
  void injectFault();
  void maybeCompact(std::size_t node);
  bool mayWipe(std::size_t node) const;
  void fail(const std::string& what);

  std::vector<Node> m_nodes;
  std::mt19937_64 m_random;
  ClusterFaults m_faults;
  ReplicaMechanisms m_mechanisms;
  ClusterMembership m_membership;
  std::priority_queue<Event> m_events;
  Time m_now = Time(milliseconds(100000));
  std::uint64_t m_order = 0;
  std::uint64_t m_nextCommand = 1;
  std::map<LogIndex, std::string> m_committed;  ///< what any replica has applied at an index
  std::set<std::string> m_acknowledged;
  std::map<std::string, LogIndex> m_acknowledgedAt;
  LogIndex m_highestAcknowledged = 0;
  std::string m_violation;
  std::size_t m_wipes = 0;
  bool m_healed = false;
};

}  // namespace courseloom::test
