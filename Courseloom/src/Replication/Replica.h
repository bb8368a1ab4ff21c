// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <random>
#include <set>

#include "Courseloom/src/Replication/ReplicaLog.h"
#include "Courseloom/src/Replication/ReplicaTypes.h"

namespace courseloom {

/** \class Replica
 * \brief One replica of the log, after Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014).
 *
 * Implements pre-vote and check-quorum (chapters 9.6 and 6.2), the leader lease (6.4.1), leadership transfer (3.10),
 * single-server membership changes (4.1) and snapshots (5).
 *
 * The class uses no clock, socket, file or thread: calls receive the current time, and consumeOutput() returns the
 * actions that the caller has to perform. In addition to Raft, a member is identified by its replica number and the
 * identity of its disk. A vote or an acknowledgement counts only if it carries the disk identity listed in the members,
 * so a replica with a wiped disk has no vote. The leader adds the new disk as a learner, brings its log up to date and
 * promotes it to a voter. \sa ReplicaOutput, LogStore
 */
class Replica {
 public:
  /** \param restored state that was read from the disk */
  Replica(ReplicaOptions options, ReplicaState restored, Time now);

  /** Performs the actions that depend on time: elections, heartbeats, check-quorum, leadership transfer and the removal
   * of silent members. Call it at least once per heartbeat interval. */
  void tick(Time now);
  /** Receives one message.
   *
   * \returns false if it was refused for a wrong cluster, a wrong receiver or impossible content */
  bool receive(const schema::ReplicaMessage& message, Time now);
  /** Appends one command to the log of the leader. \returns its index, or nothing if this replica is not the leader or
   * is transferring leadership */
  std::optional<LogIndex> propose(std::string payload);
  /** Notifies the replica that its disk has synced all entries up to and including this index, whose entry has this
   * term. Ignored if the log no longer has this entry. */
  void synced(LogIndex index, Term term);
  /** Notifies the replica whether a disk write is under way. During a write, a follower confirms contact to the leader
   * ahead of the answers that wait for the write. */
  void setStoring(bool storing) { m_storing = storing; }
  /** Notifies the replica that the state machine has applied all entries up to and including an index. */
  void applied(LogIndex index) { m_applied = index; }
  /** Starts a leadership transfer to a voter whose log is complete. Proposals are refused until the transfer ends, at
   * the latest after one election timeout. No effect on a replica that is not the leader or is the only voter.
   * \param successor the voter to transfer to; 0 for any */
  void handOver(Time now, ReplicaId successor = 0);
  /** \returns whether the newest list of members in the log is not committed yet. */
  bool changesMembers() const { return m_log.membersIndex() > m_commit; }
  /** Adds a replica that asks to join as a peer; the leader then determines the state of its log. No effect on a
   * replica that is not the leader, or if the peer is known. */
  void addPeer(ReplicaId id, Time now);
  /** \returns time of the last contact with the leader: `now` on the leader itself. Before the first contact it is
   * the start time of this replica, or zero without ReplicaMechanisms::waitAfterStart. */
  Time lastLeaderContact(Time now) const { return isLeader() ? now : m_lastLeaderContact; }
  /** Replaces the snapshot and removes the entries that it covers. Ignored if the snapshot is not newer than the
   * present one or covers uncommitted entries. */
  void compact(schema::Snapshot snapshot);
  /** \returns the actions that have accumulated since the last call. */
  ReplicaOutput consumeOutput();
  /** \returns and removes from the output the messages that need no sync, so that a slow disk does not delay
   * heartbeats. */
  std::vector<schema::ReplicaMessage> consumeMessages();
  const schema::HardState& hardState() const { return m_hard; }

  ReplicaRole role() const { return m_role; }
  bool isLeader() const { return m_role == ReplicaRole::Leader; }
  /** \returns whether reads may be answered from the applied state: this replica is the leader, has a valid lease and
   * has applied the first entry of its own term, so that the state contains everything that former leaders
   * acknowledged. */
  bool canRead(Time now) const;
  Term term() const { return m_hard.term(); }
  /** \returns the leader of the current term; 0 if it is unknown. */
  ReplicaId leader() const { return m_leader; }
  LogIndex commitIndex() const { return m_commit; }
  LogIndex lastIndex() const { return m_log.lastIndex(); }
  const schema::Members& members() const { return m_log.members(); }
  bool isVoter() const { return isVoter(m_options.id, m_options.diskId); }
  /** \returns the last index up to which a peer is known to store the log (on this replica: the last synced index); 0
   * if the peer is unknown. */
  LogIndex matchOf(ReplicaId peer) const;
  const ReplicaLog& log() const { return m_log; }

 private:
  /** State of another replica, as the leader knows it. */
  struct Peer {
    std::string diskId;       ///< disk of its last answer; empty before the first answer
    LogIndex match = 0;       ///< its log is known to agree up to this index
    LogIndex next = 1;        ///< index of the next entry to send
    unsigned inFlight = 0;    ///< unanswered appends with entries
    bool probing = false;     ///< its log differs: send one empty append at a time until the logs agree
    Time lastContact{};       ///< when its last answer arrived, other than an early contact reply
    Time acknowledgedSend{};  ///< when the newest message that it has answered was sent
    Time lastProgress{};      ///< when match last grew or sending started or restarted
    Time snapshotUntil{};     ///< a snapshot is being transferred; refusals until this time are expected
  };

  bool isVoter(ReplicaId id, const std::string& diskId) const;
  std::size_t voters() const { return voterCount(members()); }
  std::size_t quorum() const { return voters() / 2 + 1; }
  Duration randomTimeout();
  schema::ReplicaMessage makeMessage(schema::MessageKind kind, ReplicaId to) const;
  void send(schema::ReplicaMessage message) { m_output.messages.push_back(std::move(message)); }
  void sendAfterSync(schema::ReplicaMessage message) { m_output.messagesAfterSync.push_back(std::move(message)); }

  void becomeFollower(Term term, ReplicaId leader, Time now);
  void startPreVote(Time now);
  void startElection(Time now, bool forced);
  void becomeLeader(Time now);
  void requestVotes(schema::MessageKind kind, Term term, bool forced);
  void countVote(const schema::ReplicaMessage& message, Time now);
  bool logIsUpToDate(const schema::ReplicaMessage& message) const;
  bool hasLiveLeader(Time now) const;

  void onVoteRequest(const schema::ReplicaMessage& message, Time now);
  void onAppend(const schema::ReplicaMessage& message, Time now);
  void onAppendReply(const schema::ReplicaMessage& message, Time now);
  void onSnapshot(const schema::ReplicaMessage& message, Time now);
  void sendEarlyContact(const schema::ReplicaMessage& message, Time now);
  void replyToAppend(const schema::ReplicaMessage& message, bool ok, LogIndex match);

  void appendOwn(schema::LogEntry entry);
  void replicateTo(ReplicaId id, Time now, bool heartbeat);
  void replicateToAll(Time now, bool heartbeat);
  void advanceCommit();
  void commitTo(LogIndex index);
  void checkQuorum(Time now);
  Time quorumAcknowledged(Time now) const;
  void registerPeerDisk(const schema::ReplicaMessage& message);
  bool isLearner(ReplicaId id) const;
  void promoteLearner(ReplicaId id);
  bool acceptDisk(const schema::ReplicaMessage& message, Peer& peer, Time now);
  bool memberChangeAllowed() const;
  bool hasQuorumContact(const schema::Members& next) const;
  const schema::Member* silentMember(bool voter, Duration silenceLimit, Time now) const;
  const schema::Member* silentVoter(Time now) const;
  void demoteSurplusVoter(Time now);
  void removeSilentLearner(Time now);
  std::set<ReplicaId> knownPeers() const;
  void changeMembers(schema::Members members);
  void continueHandOver(Time now);
  void persistHardState();

  ReplicaOptions m_options;
  schema::HardState m_hard;
  ReplicaLog m_log;
  LogIndex m_commit = 0;
  LogIndex m_syncedIndex = 0;
  LogIndex m_applied = 0;
  ReplicaRole m_role = ReplicaRole::Follower;
  ReplicaId m_leader = 0;
  std::map<ReplicaId, Peer> m_peers;
  std::set<ReplicaId> m_votes;
  std::set<std::string> m_formerDisks;  ///< disks that were replaced while this replica led
  LogIndex m_termStart = 0;             ///< index of the first entry of the leader's own term
  Time m_electionDue{};
  Time m_heartbeatDue{};
  Time m_lastLeaderContact{};
  Time m_leaderSince{};
  Time m_earlyContactSent{};  ///< when the last early contact reply was sent
  bool m_storing = false;
  std::optional<Time> m_handOverUntil;
  bool m_handOverSent = false;
  ReplicaId m_successor = 0;  ///< to which leadership is transferred; 0 for any voter
  Time m_now{};
  std::mt19937_64 m_random;
  ReplicaOutput m_output;
};

/** \returns the identity that `--init` assigns to the disk of a founding member. */
std::string foundingDiskId(const std::string& clusterId, ReplicaId id);
/** \returns the snapshot from which the founding members start: it lists them all as voters. */
schema::Snapshot foundingSnapshot(const std::string& clusterId, const std::vector<ReplicaId>& ids);

}  // namespace courseloom
