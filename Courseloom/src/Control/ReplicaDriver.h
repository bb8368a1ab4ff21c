// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <map>
#include <memory>

#include "Courseloom/src/Replication/LogStore.h"
#include "Courseloom/src/Replication/Replica.h"
#include "Courseloom/src/Runtime/Daemon.h"
#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/State/ClusterState.h"
#include "Courseloom/src/Transport/RpcClient.h"

namespace courseloom {

using ControlStrand = boost::asio::strand<boost::asio::io_context::executor_type>;

/** \class ReplicaDriver
 * \brief Performs what Replica decides: sends messages, syncs the log, applies committed commands, takes snapshots.
 *
 * Runs on one strand; the disk has a thread of its own, and one batch at a time is synced there, so that commands that
 * arrive meanwhile share the next sync (group commit).
 */
class ReplicaDriver {
 public:
  ReplicaDriver(const DaemonContext& context, ControlStrand strand);

  /** Opens the data folder; an empty one becomes a joining disk. */
  Result<void> open();
  /** Begins to tick. */
  void start();
  /** Takes a message of a peer in; on the strand. \returns false if it was refused */
  bool receive(const schema::ReplicaMessage& message);
  /** Proposes a command and waits until it is applied; on the strand. */
  Awaitable<Result<schema::CommandReply>> submit(schema::Command command, Time deadline);
  /** Hands leadership over and waits for that, up to a limit; on the strand. */
  Awaitable<void> handOver(Duration limit);

  /** Called on the strand after commands were applied. */
  void onApplied(std::function<void()> hook) { m_onApplied = std::move(hook); }
  /** Called on the strand when this replica begins or ends to lead. */
  void onRole(std::function<void(bool leads)> hook) { m_onRole = std::move(hook); }

  /** Takes a replica in that asks to join; on the strand. */
  Result<schema::JoinReply> join(const schema::JoinRequest& request);
  /** Takes further seeds in, through which a leader may be found; on the strand. */
  void addSeeds(const schema::ClusterSettings& cluster);
  /** \returns the ids of the replicas in the log. */
  std::vector<ReplicaId> memberIds() const;

  const Replica& replica() const { return *m_replica; }
  const ClusterState& state() const { return m_state; }
  std::set<std::string> takeChangedJobs() { return m_state.takeChangedJobs(); }
  std::vector<RunChange> takeRunChanges() { return m_state.workflows().takeRunChanges(); }
  std::vector<std::string> takeEndedWorkflows() { return m_state.workflows().takeEnded(); }
  bool canRead() const { return canRead(BootClock::now()); }
  /** \returns whether nobody else led at an instant; what is granted from that very instant needs no other clock. */
  bool canRead(Time at) const { return m_replica->canRead(at); }
  /** \returns the failure of whoever asks this replica for what only the leader can do; it names the leader. */
  Failure noLeader(const std::string& step) const;

 private:
  struct Waiter {
    Term term = 0;
    std::shared_ptr<OneShot<Result<schema::CommandReply>>> done;
  };

  Awaitable<void> tickLoop();
  Awaitable<void> joinLoop();
  Awaitable<void> askToJoin(ReplicaId at);
  bool usesSeeds() const { return m_context.settings.cluster().seeds_size() > 0; }
  std::shared_ptr<RpcClient> clientOf(ReplicaId id);
  Result<void> prepareFolder(ReplicaId id);
  void leaveIfRetired();
  void drive();
  void setStoring(bool storing);
  void store(ReplicaOutput output);
  void finish(const ReplicaOutput& output);
  void apply(const schema::LogEntry& entry);
  void send(const std::vector<schema::ReplicaMessage>& messages);
  void sendOne(schema::ReplicaMessage message);
  void watchRole();
  void failWaiters();
  bool snapshotDue() const;
  void takeSnapshot();
  [[noreturn]] static void endOnStorageFailure(const Failure& failure);

  DaemonContext m_context;
  ControlStrand m_strand;
  boost::asio::thread_pool m_disk;
  LogStore m_store;
  std::unique_ptr<Replica> m_replica;
  ClusterState m_state;
  std::map<ReplicaId, std::shared_ptr<RpcClient>> m_peers;
  std::map<ReplicaId, std::shared_ptr<std::atomic<unsigned>>> m_sending;  ///< messages under way, by peer
  std::set<ReplicaId> m_joinAt;                                           ///< replicas that may know the leader
  std::map<LogIndex, Waiter> m_waiters;
  LogIndex m_applied = 0;
  Term m_appliedTerm = 0;
  schema::Members m_appliedMembers;
  bool m_storing = false;
  bool m_leads = false;
  std::function<void()> m_onApplied;
  std::function<void(bool)> m_onRole;
};

/** Makes a founding member's data folder: `courseloom-control --init`. */
Result<void> initialiseFounder(const schema::Settings& settings);
/** \returns this process's replica number: the member with its address and RPC port. */
Result<ReplicaId> ownReplicaId(const schema::Settings& settings);

}  // namespace courseloom
