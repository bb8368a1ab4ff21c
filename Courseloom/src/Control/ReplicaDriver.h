// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/asio/strand.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <map>
#include <memory>

#include "Courseloom/src/Replication/LeaderSpeed.h"
#include "Courseloom/src/Replication/LogStore.h"
#include "Courseloom/src/Replication/Replica.h"
#include "Courseloom/src/Runtime/Daemon.h"
#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/State/ClusterState.h"
#include "Courseloom/src/Transport/RpcClient.h"

namespace courseloom {

using ControlStrand = boost::asio::strand<boost::asio::io_context::executor_type>;

/** \class ReplicaDriver
 * \brief Performs the output of Replica: sends messages, syncs the log, applies committed commands, takes snapshots.
 *
 * Runs on one strand. The disk is written on a thread of its own, one batch at a time. Commands that arrive during a
 * sync share the next one (group commit).
 */
class ReplicaDriver {
 public:
  ReplicaDriver(const DaemonContext& context, ControlStrand strand);

  /** Opens the data folder. An empty folder is initialised as a founder's if this replica is a seed and the settings
   * ask to bootstrap, else as that of a joining replica. Called before any other function. */
  Result<void> open();
  /** Starts the tick loop and, where the settings have seeds, the join loop. Called once. */
  void start();
  /** Handles a message of a peer; on the strand. \returns false if the message was refused */
  bool receive(const schema::ReplicaMessage& message);
  /** Proposes a command and waits until it is applied; on the strand. \returns the reply to it; NoLeader if this
   * replica does not lead, loses leadership or got no quorum before the deadline; StorageFull for new work if the disk
   * is short of space */
  Awaitable<Result<schema::CommandReply>> submit(schema::Command command, Time deadline);
  /** Hands leadership over to another replica and waits until this one no longer leads, at most for `limit`; on the
   * strand. */
  Awaitable<void> handOver(Duration limit);

  /** Sets the hook that is called on the strand after commands were applied or a snapshot was installed. */
  void onApplied(std::function<void()> hook) { m_onApplied = std::move(hook); }
  /** Sets the hook that is called on the strand when this replica starts or stops leading. */
  void onRole(std::function<void(bool leads)> hook) { m_onRole = std::move(hook); }

  /** Handles the request of a replica that wants to join; on the strand. \returns the members, or NoLeader where this
   * replica does not lead */
  Result<schema::JoinReply> join(const schema::JoinRequest& request);
  /** Adds seeds to the replicas that are contacted to find a leader; on the strand. */
  void addSeeds(const schema::ClusterSettings& cluster);
  /** \returns the ids of the replicas in the newest list of members in the log. */
  std::vector<ReplicaId> memberIds() const;

  /** \returns the consensus state; valid after open(). */
  const Replica& replica() const { return *m_replica; }
  /** \returns the state after the last applied command. */
  const ClusterState& state() const { return m_state; }
  /** \returns jobs that were changed since the last call. */
  std::set<std::string> consumeChangedJobs() { return m_state.consumeChangedJobs(); }
  /** \returns starts and ends of runs that were applied since the last call. */
  std::vector<RunChange> consumeRunChanges() { return m_state.workflows().consumeRunChanges(); }
  /** \returns workflows that ended since the last call; some may still have active runs. */
  std::vector<std::string> consumeEndedWorkflows() { return m_state.workflows().consumeEnded(); }
  /** \returns whether this replica leads now, so that its state may be read. */
  bool canRead() const { return canRead(BootClock::now()); }
  /** \returns whether the state may be read at an instant, at which no other replica could lead. A lease that is
   * granted from that instant needs no other clock. */
  bool canRead(Time at) const { return m_replica->canRead(at); }
  /** \returns the failure for requests that only the leader can serve; its peer is the leader, if one is known. */
  Failure noLeader(const std::string& step) const;

 private:
  /** A submitted command that waits to be applied. */
  struct Waiter {
    Term term = 0;  ///< term in which the command was proposed
    std::shared_ptr<OneShot<Result<schema::CommandReply>>> done;
  };

  Awaitable<void> tickLoop();
  Awaitable<void> joinLoop();
  Awaitable<void> requestJoin(ReplicaId at);
  bool usesSeeds() const { return m_context.settings.cluster().seeds_size() > 0; }
  std::shared_ptr<RpcClient> clientOf(ReplicaId id);
  Result<void> prepareFolder(ReplicaId id);
  void exitIfRetired();
  void drive();
  void setStoring(bool storing);
  Duration ownDelay() const { return std::max(m_tickDelay, m_syncDelay); }
  void recordPeerDelay(const schema::ReplicaMessage& message, Time now);
  void reviewSpeed(Time now);
  void store(ReplicaOutput output);
  void finish(const ReplicaOutput& output);
  void apply(const schema::LogEntry& entry);
  void send(const std::vector<schema::ReplicaMessage>& messages);
  void sendOne(schema::ReplicaMessage message);
  void updateRole();
  void failWaiters();
  bool snapshotDue() const;
  void takeSnapshot();
  Awaitable<void> writeSnapshot(schema::Snapshot snapshot, schema::HardState hard, std::vector<schema::LogEntry> keep);
  [[noreturn]] static void exitOnStorageFailure(const Failure& failure);

  DaemonContext m_context;
  ControlStrand m_strand;
  boost::asio::thread_pool m_disk;
  LogStore m_store;
  std::unique_ptr<Replica> m_replica;
  ClusterState m_state;
  std::map<ReplicaId, std::shared_ptr<RpcClient>> m_peers;
  std::map<ReplicaId, std::shared_ptr<std::atomic<unsigned>>> m_sendsInFlight;  ///< number of sends in flight, by peer
  std::set<ReplicaId> m_joinContacts;  ///< replicas that requests to join are sent to
  std::map<LogIndex, Waiter> m_waiters;
  LogIndex m_applied = 0;
  Term m_appliedTerm = 0;
  std::uint64_t m_appliedBytes = 0;  ///< payloads of the entries that were applied since the last snapshot
  schema::Members m_appliedMembers;
  bool m_storing = false;
  Duration m_tickDelay{};  ///< smoothed lateness of ticks
  Duration m_syncDelay{};  ///< smoothed duration of disk syncs
  LeaderSpeed m_speed;
  bool m_slow = false;  ///< as last logged
  bool m_leads = false;
  std::function<void()> m_onApplied;
  std::function<void(bool)> m_onRole;
};

/** Initialises the data folder of a founding member, for `courseloom-control --init`. */
Result<void> initialiseFounder(const schema::Settings& settings);
/** \returns this process's replica number. With seeds it is made from the node's address; otherwise it is the id of the
 * member with the node's address and RPC port, or BadSettings if there is none. */
Result<ReplicaId> ownReplicaId(const schema::Settings& settings);

}  // namespace courseloom
