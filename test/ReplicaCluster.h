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

/** Faults of one seeded run. `loss` and `duplicate` are probabilities per message; the others enable a kind of fault.
 */
struct ClusterFaults {
  double loss = 0.05;
  double duplicate = 0.05;
  bool crashes = true;
  bool freezes = true;
  bool partitions = true;
  bool wipes = true;
  bool handOvers = true;
};

/** Standby replicas, and when they replace others. */
struct ClusterMembership {
  std::size_t standbys = 0;      ///< number of standbys: the last of the replicas, which start with empty disks
  Duration replaceAfter{};       ///< \sa ReplicaOptions
  std::size_t wantedVoters = 0;  ///< \sa ReplicaOptions
};

/** \class ReplicaCluster
 * \brief Replicas on a virtual clock, with a network that loses, delays, duplicates and reorders messages, and disks
 * that lose unsynced writes. Checks that replicas agree, that acknowledged commands are kept, and that reads are fresh.
 */
class ReplicaCluster {
 public:
  ReplicaCluster(std::size_t count, std::uint64_t seed, ClusterFaults faults, ReplicaMechanisms mechanisms = {},
                 ClusterMembership membership = {});

  /** Runs a number of steps of 1 to 20 ms with faults and client traffic. Stops early at a violation. */
  void run(std::size_t steps);
  /** Ends all faults, gives the replicas time to elect a leader, commit a command and catch up, then checks all
   * acknowledged commands on all replicas. */
  void healAndCheck();

  /** \returns the first violation, or an empty string. */
  const std::string& violation() const { return m_violation; }
  std::size_t acknowledged() const { return m_acknowledged.size(); }
  std::size_t wipes() const { return m_wipes; }

  // Steps for tests that cause a particular failure. Nodes are numbered from 0.
  void advance(Duration duration);
  /** Proposes a new command at the leader. \returns whether there is a leader */
  bool propose();
  /** \returns the node that leads and may serve reads, or -1. */
  int leader() const;
  void crash(std::size_t node);
  void restart(std::size_t node);
  void wipe(std::size_t node);
  /** Sets the duration of each following sync of a node; zero: drawn for each sync, up to 10 ms. */
  void slowDisk(std::size_t node, Duration sync) { m_nodes[node].syncTime = sync; }
  /** Transfers leadership from a node that leads to another one. */
  void handOver(std::size_t from, std::size_t to);
  /** Cuts a node off from the network, or reconnects it. */
  void cut(std::size_t node, bool on) { m_nodes[node].cut = on; }
  const Replica* replica(std::size_t node) const { return m_nodes[node].replica.get(); }
  /** \returns the number of acknowledged commands that are missing on a node's disk. */
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
    std::vector<std::string> applied;  ///< payloads by log index - 1; `-` stands for an entry without a command
    bool frozen = false;
    bool cut = false;
    Time thawAt{};
    Time restartAt{};
    bool syncing = false;
    Duration syncTime{};            ///< zero: drawn for each sync, up to 10 ms
    std::uint64_t incarnation = 0;  ///< raised at each start and crash
    std::map<LogIndex, std::pair<Term, std::string>> waiting;
  };
  struct Event {
    Time at;
    std::uint64_t order = 0;
    std::size_t node = 0;
    std::uint64_t incarnation = 0;
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
  std::map<LogIndex, std::string> m_committed;  ///< payload that the first replica to apply an index applied there
  std::set<std::string> m_acknowledged;
  std::map<std::string, LogIndex> m_acknowledgedAt;
  LogIndex m_highestAcknowledged = 0;
  std::string m_violation;
  std::size_t m_wipes = 0;
  bool m_healed = false;
};

}  // namespace courseloom::test
