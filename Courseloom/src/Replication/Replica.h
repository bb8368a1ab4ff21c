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
 * \brief One replica of the log, after Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014): pre-vote and
 * check-quorum (chapter 9.6, 6.2), leader lease (6.4.1), hand-over (3.10), single member changes (4.1), snapshots (5).
 *
 * A plain class without clock, socket, file or thread: each call takes the time, and takeOutput() tells what to do.
 * Beyond Raft, a member is a replica number together with the identity of its disk. A vote or an acknowledgement counts
 * only with the identity that the members name, so that a wiped disk has no say; the leader replaces it by a learner,
 * catches it up and promotes it.
 * \sa ReplicaOutput, LogStore
 */
class Replica {
 public:
  Replica(ReplicaOptions options, ReplicaState restored, Time now);

  /** Lets time pass: elections, heartbeats, check-quorum. Call at least once a heartbeat. */
  void tick(Time now);
  /** Takes one message in. \returns false if it was refused: wrong cluster or receiver, impossible content */
  bool receive(const schema::ReplicaMessage& message, Time now);
  /** Proposes one command. \returns its index, or nothing if this replica may not propose */
  std::optional<LogIndex> propose(std::string payload);
  /** Says that all output up to and including an index of a term is synced on this disk. */
  void synced(LogIndex index, Term term);
  /** Says whether the disk is writing; meanwhile answers that wait for it are preceded by signs of life. */
  void setStoring(bool storing) { m_storing = storing; }
  /** Says that the state machine has applied everything up to an index. */
  void applied(LogIndex index) { m_applied = index; }
  /** Begins to hand leadership to the most advanced voter; no proposals are taken until that ends. */
  void handOver(Time now);
  /** Takes a replica in that asks to join; the leader then finds out what its disk holds. */
  void addPeer(ReplicaId id, Time now);
  /** \returns when the leader was last heard; a leader hears itself. */
  Time leaderHeard(Time now) const { return isLeader() ? now : m_leaderHeard; }
  /** Drops the log that a snapshot covers. */
  void compact(schema::Snapshot snapshot);
  /** \returns what is to be done since the last call. */
  ReplicaOutput takeOutput();
  /** \returns the messages that need no sync, so that a slow disk does not hold back heartbeats. */
  std::vector<schema::ReplicaMessage> takeMessages();
  const schema::HardState& hardState() const { return m_hard; }

  ReplicaRole role() const { return m_role; }
  bool isLeader() const { return m_role == ReplicaRole::Leader; }
  /** \returns whether reads may be answered from the applied state: leader, lease held, and the
   * first entry of its own term applied, so that everything that former leaders acknowledged is in the state. */
  bool canRead(Time now) const;
  Term term() const { return m_hard.term(); }
  /** \returns the leader of this term as far as known; 0 if none. */
  ReplicaId leader() const { return m_leader; }
  LogIndex commitIndex() const { return m_commit; }
  LogIndex lastIndex() const { return m_log.lastIndex(); }
  const schema::Members& members() const { return m_log.members(); }
  bool isVoter() const { return isVoter(m_options.id, m_options.diskId); }
  /** \returns the index up to which a peer is known to hold the log. */
  LogIndex matchOf(ReplicaId peer) const;
  const ReplicaLog& log() const { return m_log; }

 private:
  struct Peer {
    std::string diskId;
    LogIndex match = 0;
    LogIndex next = 1;
    unsigned inFlight = 0;
    bool probing = false;  ///< its log differs: one empty append at a time until they agree
    Time heard{};          ///< when its last answer came
    Time acknowledged{};   ///< when the newest message it has answered was sent
    Time progressed{};     ///< when match last grew or a resend began
    Time snapshotUntil{};  ///< a snapshot is on its way; refusals before this are expected
  };

  bool isVoter(ReplicaId id, const std::string& diskId) const;
  std::size_t voters() const { return voterCount(members()); }
  std::size_t quorum() const { return voters() / 2 + 1; }
  Duration randomTimeout();
  schema::ReplicaMessage make(schema::MessageKind kind, ReplicaId to) const;
  void send(schema::ReplicaMessage message) { m_output.messages.push_back(std::move(message)); }
  void sendAfterSync(schema::ReplicaMessage message) { m_output.messagesAfterSync.push_back(std::move(message)); }

  void becomeFollower(Term term, ReplicaId leader, Time now);
  void startPreVote(Time now);
  void startElection(Time now, bool forced);
  void becomeLeader(Time now);
  void askForVotes(schema::MessageKind kind, Term term, bool forced);
  void countVote(const schema::ReplicaMessage& message, Time now);
  bool logIsUpToDate(const schema::ReplicaMessage& message) const;
  bool hearsLeader(Time now) const;

  void onVoteRequest(const schema::ReplicaMessage& message, Time now);
  void onAppend(const schema::ReplicaMessage& message, Time now);
  void onAppendReply(const schema::ReplicaMessage& message, Time now);
  void onSnapshot(const schema::ReplicaMessage& message, Time now);
  void replyThatLeaderIsHeard(const schema::ReplicaMessage& message, Time now);
  void replyToAppend(const schema::ReplicaMessage& message, bool ok, LogIndex match);

  void appendOwn(schema::LogEntry entry);
  void replicateTo(ReplicaId id, Time now, bool heartbeat);
  void replicateToAll(Time now, bool heartbeat);
  void advanceCommit();
  void commitTo(LogIndex index);
  void checkQuorum(Time now);
  Time quorumAcknowledged(Time now) const;
  void reviewMembers(const schema::ReplicaMessage& message);
  bool isLearner(ReplicaId id) const;
  void promoteLearner(ReplicaId id);
  bool acceptDisk(const schema::ReplicaMessage& message, Peer& peer, Time now);
  bool memberChangeAllowed() const;
  bool hearsQuorumOf(const schema::Members& next) const;
  const schema::Member* silentMember(bool voter, Duration patience, Time now) const;
  const schema::Member* silentVoter(Time now) const;
  void demoteSurplusVoter(Time now);
  void forgetSilentLearner(Time now);
  std::set<ReplicaId> knownPeers() const;
  void changeMembers(schema::Members members);
  void continueHandOver(Time now);
  void persistHard();

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
  std::set<std::string> m_formerDisks;  ///< disks that this leader has seen replaced
  LogIndex m_termStart = 0;             ///< first index of the leader's own term
  Time m_electionDue{};
  Time m_heartbeatDue{};
  Time m_leaderHeard{};
  Time m_leaderSince{};
  Time m_contactSent{};  ///< when a sign of life was last sent ahead of an answer
  bool m_storing = false;
  std::optional<Time> m_handOverUntil;
  bool m_handOverSent = false;
  Time m_now{};
  std::mt19937_64 m_random;
  ReplicaOutput m_output;
};

/** \returns the identity that `--init` gives the disk of a founding member. */
std::string foundingDiskId(const std::string& clusterId, ReplicaId id);
/** \returns the snapshot from which a founding member starts. */
schema::Snapshot foundingSnapshot(const std::string& clusterId, const std::vector<ReplicaId>& ids);

}  // namespace courseloom
