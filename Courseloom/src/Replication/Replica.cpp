// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Replication/Replica.h"

#include <algorithm>

#include "Courseloom/src/Core/Assert.h"

namespace courseloom {

namespace internal {
namespace {
/** Maximum number of unanswered appends per peer. */
constexpr unsigned MaxInFlight = 8;
/** Maximum payload of one append in bytes; a single larger entry is sent alone. */
constexpr std::size_t MaxAppendBytes = 1024UL * 1024;
/** The leader lease is nine tenths of the election timeout. It ends before followers may vote again, with a margin for
 * clocks that run at different speeds. */
constexpr int LeaseNumerator = 9;
constexpr int LeaseDenominator = 10;
/** Number of heartbeat intervals without progress after which unanswered appends are sent again. */
constexpr int ResendHeartbeats = 3;
/** Number of heartbeat intervals that a peer has to receive and install a snapshot. */
constexpr int SnapshotHeartbeats = 20;
/** Maximum number of early contact replies per heartbeat interval from a follower whose disk is busy. */
constexpr int ContactsPerHeartbeat = 2;
/** Messages whose term is ahead of the own term by this much or more are refused as impossible. */
constexpr Term MaxTermStep = 1ULL << 32U;
}  // namespace
}  // namespace internal

Replica::Replica(ReplicaOptions options, ReplicaState restored, Time now)
    : m_options(std::move(options)),
      m_hard(restored.hard),
      m_log(std::move(restored.snapshot), std::move(restored.entries)),
      m_now(now),
      m_random(m_options.seed) {
  m_commit = std::max(m_log.snapshot().info().index(), std::min(m_hard.commit(), m_log.lastIndex()));
  m_syncedIndex = m_log.lastIndex();
  if (m_options.mechanisms.waitAfterStart) m_lastLeaderContact = now;
  m_electionDue = now + randomTimeout();
  for (LogIndex index = m_log.firstIndex(); index <= m_commit; ++index) m_output.committed.push_back(m_log.at(index));
}

bool Replica::isVoter(ReplicaId id, const std::string& diskId) const {
  for (const schema::Member& member : members().members()) {
    if (member.id() != id || !member.voter()) continue;
    return member.disk_id() == diskId || !m_options.mechanisms.diskIdentity;
  }
  return false;
}

Duration Replica::randomTimeout() {
  std::uniform_int_distribution<Duration::rep> extra(0, m_options.electionTimeout.count());
  return m_options.electionTimeout + Duration(extra(m_random));
}

schema::ReplicaMessage Replica::makeMessage(schema::MessageKind kind, ReplicaId to) const {
  schema::ReplicaMessage message;
  message.set_cluster_id(m_options.clusterId);
  message.set_from(m_options.id);
  message.set_to(to);
  message.set_disk_id(m_options.diskId);
  message.set_kind(kind);
  message.set_term(m_hard.term());
  message.set_commit(m_commit);
  return message;
}

void Replica::persistHardState() {
  m_hard.set_commit(m_commit);
  m_output.hard = m_hard;
}

void Replica::tick(Time now) {
  m_now = now;
  if (isLeader()) {
    checkQuorum(now);
    if (!isLeader()) return;
    continueHandOver(now);
    demoteSurplusVoter(now);
    removeSilentLearner(now);
    if (now >= m_heartbeatDue) replicateToAll(now, true);
    return;
  }
  if (now >= m_electionDue && isVoter()) startPreVote(now);
}

bool Replica::receive(const schema::ReplicaMessage& message, Time now) {
  m_now = now;
  const bool addressed = message.cluster_id() == m_options.clusterId && message.to() == m_options.id;
  const bool possible = message.from() != m_options.id && message.term() < m_hard.term() + internal::MaxTermStep;
  if (!addressed || !possible) return false;
  switch (message.kind()) {
    case schema::PreVote:
    case schema::Vote:
      onVoteRequest(message, now);
      return true;
    case schema::PreVoteReply:
    case schema::VoteReply:
      countVote(message, now);
      return true;
    default:
      break;
  }
  if (message.term() < m_hard.term()) {
    // The answer informs a former leader of the newer term.
    if (message.kind() == schema::Append || message.kind() == schema::InstallSnapshot) replyToAppend(message, false, 0);
    return true;
  }
  switch (message.kind()) {
    case schema::Append:
      onAppend(message, now);
      return true;
    case schema::AppendReply:
      if (message.term() > m_hard.term()) {
        becomeFollower(message.term(), 0, now);
      } else {
        onAppendReply(message, now);
      }
      return true;
    case schema::InstallSnapshot:
      onSnapshot(message, now);
      return true;
    case schema::TimeoutNow:
      if (message.term() == m_hard.term() && isVoter()) startElection(now, true);
      return true;
    default:
      return false;
  }
}

// ---- elections

void Replica::becomeFollower(Term term, ReplicaId leader, Time now) {
  if (term > m_hard.term()) {
    m_hard.set_term(term);
    m_hard.set_voted_for(0);
    persistHardState();
  }
  m_role = ReplicaRole::Follower;
  m_leader = leader;
  m_handOverUntil.reset();
  m_electionDue = now + randomTimeout();
}

bool Replica::hasLiveLeader(Time now) const {
  if (isLeader()) return true;
  return m_lastLeaderContact != Time{} && now < m_lastLeaderContact + m_options.electionTimeout;
}

void Replica::startPreVote(Time now) {
  m_electionDue = now + randomTimeout();
  if (!m_options.mechanisms.preVote) return startElection(now, false);
  m_role = ReplicaRole::PreCandidate;
  m_leader = 0;
  m_votes = {m_options.id};
  requestVotes(schema::PreVote, m_hard.term() + 1, false);
  if (m_votes.size() >= quorum()) startElection(now, false);
}

void Replica::startElection(Time now, bool forced) {
  m_role = ReplicaRole::Candidate;
  m_leader = 0;
  m_hard.set_term(m_hard.term() + 1);
  m_hard.set_voted_for(m_options.id);
  persistHardState();
  m_electionDue = now + randomTimeout();
  m_votes = {m_options.id};
  requestVotes(schema::Vote, m_hard.term(), forced);
  if (m_votes.size() >= quorum()) becomeLeader(now);
}

void Replica::requestVotes(schema::MessageKind kind, Term term, bool forced) {
  for (const schema::Member& member : members().members()) {
    if (!member.voter() || member.id() == m_options.id) continue;
    schema::ReplicaMessage request = makeMessage(kind, member.id());
    request.set_term(term);
    request.set_prev_index(m_log.lastIndex());
    request.set_prev_term(m_log.lastTerm());
    request.set_forced(forced);
    // The own vote must be on disk before votes are requested from others.
    sendAfterSync(std::move(request));
  }
}

bool Replica::logIsUpToDate(const schema::ReplicaMessage& message) const {
  if (message.prev_term() != m_log.lastTerm()) return message.prev_term() > m_log.lastTerm();
  return message.prev_index() >= m_log.lastIndex();
}

void Replica::onVoteRequest(const schema::ReplicaMessage& message, Time now) {
  const bool pre = message.kind() == schema::PreVote;
  if (!message.forced() && hasLiveLeader(now)) return;
  if (!pre && message.term() > m_hard.term()) becomeFollower(message.term(), 0, now);
  const bool termMatches = pre ? message.term() > m_hard.term() : message.term() == m_hard.term();
  const bool voteAvailable = pre || m_hard.voted_for() == 0 || m_hard.voted_for() == message.from();
  const bool granted = termMatches && voteAvailable && logIsUpToDate(message);
  schema::ReplicaMessage reply = makeMessage(pre ? schema::PreVoteReply : schema::VoteReply, message.from());
  reply.set_ok(granted);
  if (pre && granted) reply.set_term(message.term());
  if (!pre && granted && m_hard.voted_for() == 0) {
    m_hard.set_voted_for(message.from());
    persistHardState();
    m_electionDue = now + randomTimeout();
  }
  sendAfterSync(std::move(reply));
}

void Replica::countVote(const schema::ReplicaMessage& message, Time now) {
  const bool pre = message.kind() == schema::PreVoteReply;
  if (!message.ok()) {
    if (message.term() > m_hard.term()) becomeFollower(message.term(), 0, now);
    return;
  }
  const bool expected = pre ? m_role == ReplicaRole::PreCandidate && message.term() == m_hard.term() + 1
                            : m_role == ReplicaRole::Candidate && message.term() == m_hard.term();
  if (!expected || !isVoter(message.from(), message.disk_id())) return;
  m_votes.insert(message.from());
  if (m_votes.size() < quorum()) return;
  if (pre) {
    startElection(now, false);
  } else {
    becomeLeader(now);
  }
}

void Replica::becomeLeader(Time now) {
  m_role = ReplicaRole::Leader;
  m_leader = m_options.id;
  m_leaderSince = now;
  m_peers.clear();
  for (const ReplicaId id : knownPeers()) addPeer(id, now);
  m_formerDisks.clear();
  m_handOverSent = false;
  m_termStart = m_log.lastIndex() + 1;
  appendOwn(schema::LogEntry());
  replicateToAll(now, true);
}

// ---- the follower's side of replication

/** Confirms contact to the leader before the disk write completes. The leader lease depends only on followers that
 * receive its messages, not on their disks. Without this reply, a disk sync of 1.9 s kept a follower from answering for
 * more than twice an election timeout of 0.6 s, and an otherwise healthy leader stepped down. At most two such replies
 * are sent per heartbeat interval, since each costs a message. */
void Replica::sendEarlyContact(const schema::ReplicaMessage& message, Time now) {
  const bool due = now >= m_earlyContactSent + m_options.heartbeat / internal::ContactsPerHeartbeat;
  if (!m_storing || !due || !m_options.mechanisms.contactWhileStoring) return;
  m_earlyContactSent = now;
  schema::ReplicaMessage reply = makeMessage(schema::AppendReply, message.from());
  reply.set_contact(true);
  reply.set_sent_us(message.sent_us());
  send(std::move(reply));
}

void Replica::replyToAppend(const schema::ReplicaMessage& message, bool ok, LogIndex match) {
  schema::ReplicaMessage reply = makeMessage(schema::AppendReply, message.from());
  reply.set_ok(ok);
  // A refusal names the refused append by its previous index, and gives the last index at which the logs may agree.
  const LogIndex refused = message.prev_index();
  reply.set_match(ok ? match : std::min(m_log.lastIndex(), refused == 0 ? 0 : refused - 1));
  reply.set_prev_index(refused);
  reply.set_sent_us(message.sent_us());
  sendAfterSync(std::move(reply));
}

void Replica::onAppend(const schema::ReplicaMessage& message, Time now) {
  becomeFollower(message.term(), message.from(), now);
  m_lastLeaderContact = now;
  sendEarlyContact(message, now);
  LogIndex previous = message.prev_index();
  if (previous + 1 < m_log.firstIndex()) {
    // Entries covered by the snapshot are committed and therefore agree with the leader's log.
    replyToAppend(message, true, m_log.snapshot().info().index());
    return;
  }
  if (!m_log.hasTermAt(previous) || m_log.termAt(previous) != message.prev_term()) {
    replyToAppend(message, false, 0);
    return;
  }
  for (const schema::LogEntry& entry : message.entries()) {
    ++previous;
    if (entry.index() != previous) return;
    if (previous <= m_log.lastIndex()) {
      if (m_log.termAt(previous) == entry.term()) continue;
      courseloom_assert(previous > m_commit);
      m_log.truncateFrom(previous);
      std::erase_if(m_output.append, [previous](const auto& stored) { return stored.index() >= previous; });
      m_syncedIndex = std::min(m_syncedIndex, previous - 1);
    }
    m_log.append(entry);
    m_output.append.push_back(entry);
  }
  commitTo(std::min<LogIndex>(message.commit(), previous));
  replyToAppend(message, true, previous);
}

void Replica::onSnapshot(const schema::ReplicaMessage& message, Time now) {
  becomeFollower(message.term(), message.from(), now);
  m_lastLeaderContact = now;
  sendEarlyContact(message, now);
  const schema::SnapshotInfo& info = message.snapshot().info();
  // Raft, chapter 5: a log that agrees with the snapshot is kept, since entries after it may have been acknowledged.
  const bool agrees = m_log.hasTermAt(info.index()) && m_log.termAt(info.index()) == info.term();
  if (agrees) commitTo(info.index());
  const bool known = info.index() <= m_commit;
  if (!known) {
    m_log.reset(message.snapshot());
    m_commit = info.index();
    m_syncedIndex = info.index();
    m_output.append.clear();
    m_output.committed.clear();
    m_output.install = message.snapshot();
    persistHardState();
  }
  replyToAppend(message, true, info.index());
}

void Replica::commitTo(LogIndex index) {
  for (; m_commit < index; ++m_commit) m_output.committed.push_back(m_log.at(m_commit + 1));
}

// ---- the leader's side of replication

std::optional<LogIndex> Replica::propose(std::string payload) {
  if (!isLeader() || m_handOverUntil) return std::nullopt;
  schema::LogEntry entry;
  entry.set_payload(std::move(payload));
  appendOwn(std::move(entry));
  replicateToAll(m_now, false);
  return m_log.lastIndex();
}

void Replica::appendOwn(schema::LogEntry entry) {
  entry.set_index(m_log.lastIndex() + 1);
  entry.set_term(m_hard.term());
  m_log.append(entry);
  m_output.append.push_back(std::move(entry));
}

void Replica::synced(LogIndex index, Term term) {
  if (index > m_log.lastIndex() || !m_log.hasTermAt(index) || m_log.termAt(index) != term) return;
  m_syncedIndex = std::max(m_syncedIndex, index);
  if (isLeader()) advanceCommit();
}

void Replica::replicateToAll(Time now, bool heartbeat) {
  if (heartbeat) m_heartbeatDue = now + m_options.heartbeat;
  for (auto& [id, peer] : m_peers) replicateTo(id, now, heartbeat);
}

void Replica::replicateTo(ReplicaId id, Time now, bool heartbeat) {
  Peer& peer = m_peers.at(id);
  const bool stuck = peer.inFlight > 0 && now > peer.lastProgress + m_options.heartbeat * internal::ResendHeartbeats;
  if (heartbeat && stuck) {
    peer.inFlight = 0;
    peer.next = peer.match + 1;
    peer.lastProgress = now;
  }
  const bool windowClosed = peer.inFlight >= internal::MaxInFlight || now < peer.snapshotUntil;
  const bool snapshotNeeded = peer.next < m_log.firstIndex() && !peer.diskId.empty() && now >= peer.snapshotUntil;
  const bool hasDataToSend = peer.next <= m_log.lastIndex() && !windowClosed && (!peer.probing || snapshotNeeded);
  if (!hasDataToSend && !heartbeat) return;
  if (snapshotNeeded && hasDataToSend) {
    peer.probing = false;
    schema::ReplicaMessage message = makeMessage(schema::InstallSnapshot, id);
    *message.mutable_snapshot() = m_log.snapshot();
    message.set_sent_us(static_cast<std::uint64_t>(now.time_since_epoch().count()));
    peer.next = m_log.firstIndex();
    peer.snapshotUntil = now + m_options.heartbeat * internal::SnapshotHeartbeats;
    peer.lastProgress = now;
    send(std::move(message));
    return;
  }
  schema::ReplicaMessage message = makeMessage(schema::Append, id);
  message.set_sent_us(static_cast<std::uint64_t>(now.time_since_epoch().count()));
  LogIndex previous = std::max(peer.next, m_log.firstIndex()) - 1;
  previous = std::min(previous, m_log.lastIndex());
  message.set_prev_index(previous);
  message.set_prev_term(m_log.termAt(previous));
  if (hasDataToSend && peer.next >= m_log.firstIndex()) {
    for (schema::LogEntry& entry : m_log.slice(peer.next, m_log.lastIndex(), internal::MaxAppendBytes)) {
      peer.next = entry.index() + 1;
      *message.add_entries() = std::move(entry);
    }
    if (peer.inFlight == 0) peer.lastProgress = now;
    ++peer.inFlight;
  }
  send(std::move(message));
}

void Replica::onAppendReply(const schema::ReplicaMessage& message, Time now) {
  const auto found = m_peers.find(message.from());
  if (!isLeader() || found == m_peers.end()) return;
  Peer& peer = found->second;
  if (!acceptDisk(message, peer, now)) return;
  // An early contact reply renews the leader lease. It does not count as contact with a replica that can store entries.
  peer.acknowledgedSend = std::max(peer.acknowledgedSend, Time(Duration(message.sent_us())));
  if (message.contact()) return;
  registerPeerDisk(message);
  peer.lastContact = now;
  if (peer.inFlight > 0) --peer.inFlight;
  if (!message.ok()) {
    // A refusal of another append than the current probe is stale. Sending another probe for it would multiply
    // messages.
    const bool stale = peer.probing && message.prev_index() + 1 != peer.next;
    if (now < peer.snapshotUntil || stale) return;
    peer.probing = true;
    peer.inFlight = 0;
    peer.next = std::max(peer.match + 1, std::min<LogIndex>(message.prev_index(), message.match() + 1));
    return replicateTo(message.from(), now, true);
  } else if (message.match() > peer.match && message.match() <= m_log.lastIndex()) {
    peer.match = message.match();
    peer.next = std::max(peer.next, peer.match + 1);
    peer.lastProgress = now;
    peer.snapshotUntil = Time{};
    advanceCommit();
  }
  peer.probing = false;
  if (isLearner(message.from())) promoteLearner(message.from());
  if (peer.next <= m_log.lastIndex()) replicateTo(message.from(), now, false);
  if (m_handOverUntil) continueHandOver(now);
}

/** Checks the disk that an answer comes from, and resets the state of the peer if its disk is new.
 * \returns false if the disk was replaced or retired, so that its answer must be ignored */
bool Replica::acceptDisk(const schema::ReplicaMessage& message, Peer& peer, Time now) {
  const auto& retired = members().retired_disks();
  const bool isRetired = std::find(retired.begin(), retired.end(), message.disk_id()) != retired.end();
  if (isRetired || m_formerDisks.count(message.disk_id()) > 0) return false;
  if (peer.diskId == message.disk_id()) return true;
  if (!peer.diskId.empty()) m_formerDisks.insert(peer.diskId);
  const LogIndex next = m_log.lastIndex() + 1;
  peer = Peer{message.disk_id(), 0, next, 0, false, now, Time{}, now, Time{}};
  return true;
}

void Replica::advanceCommit() {
  std::vector<LogIndex> matchIndexes;
  for (const schema::Member& member : members().members()) {
    if (!member.voter()) continue;
    if (member.id() == m_options.id) {
      matchIndexes.push_back(m_syncedIndex);
      continue;
    }
    const auto found = m_peers.find(member.id());
    const bool counts = found != m_peers.end() && isVoter(member.id(), found->second.diskId);
    matchIndexes.push_back(counts ? found->second.match : 0);
  }
  if (matchIndexes.empty()) return;
  std::sort(matchIndexes.begin(), matchIndexes.end(), std::greater<>());
  const LogIndex quorumMatch = matchIndexes[quorum() - 1];
  if (quorumMatch > m_commit && m_log.termAt(quorumMatch) == m_hard.term()) commitTo(quorumMatch);
}

LogIndex Replica::matchOf(ReplicaId peer) const {
  if (peer == m_options.id) return m_syncedIndex;
  const auto found = m_peers.find(peer);
  return found == m_peers.end() ? 0 : found->second.match;
}

Time Replica::quorumAcknowledged(Time now) const {
  std::vector<Time> times;
  for (const schema::Member& member : members().members()) {
    if (!member.voter()) continue;
    if (member.id() == m_options.id) {
      times.push_back(now);
      continue;
    }
    const auto found = m_peers.find(member.id());
    const bool counts = found != m_peers.end() && isVoter(member.id(), found->second.diskId);
    times.push_back(counts ? found->second.acknowledgedSend : Time{});
  }
  if (times.empty()) return Time{};
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[quorum() - 1];
}

bool Replica::canRead(Time now) const {
  if (!isLeader() || m_applied < m_termStart || m_handOverSent) return false;
  const Duration lease = m_options.electionTimeout * internal::LeaseNumerator / internal::LeaseDenominator;
  return now < quorumAcknowledged(now) + lease;
}

void Replica::checkQuorum(Time now) {
  if (!m_options.mechanisms.checkQuorum) return;
  const Time since = std::max(quorumAcknowledged(now), m_leaderSince);
  if (now < since + 2 * m_options.electionTimeout) return;
  becomeFollower(m_hard.term(), 0, now);
}

// ---- snapshots and output

void Replica::compact(schema::Snapshot snapshot) {
  if (snapshot.info().index() <= m_log.snapshot().info().index() || snapshot.info().index() > m_commit) return;
  m_log.compact(std::move(snapshot));
}

ReplicaOutput Replica::consumeOutput() {
  ReplicaOutput output = std::move(m_output);
  m_output = ReplicaOutput();
  return output;
}

std::vector<schema::ReplicaMessage> Replica::consumeMessages() {
  std::vector<schema::ReplicaMessage> messages = std::move(m_output.messages);
  m_output.messages.clear();
  return messages;
}

std::string foundingDiskId(const std::string& clusterId, ReplicaId id) {
  return "founding-" + clusterId + "-" + std::to_string(id);
}

schema::Snapshot foundingSnapshot(const std::string& clusterId, const std::vector<ReplicaId>& ids) {
  schema::Snapshot snapshot;
  for (const ReplicaId id : ids) {
    schema::Member* member = snapshot.mutable_info()->mutable_members()->add_members();
    member->set_id(id);
    member->set_disk_id(foundingDiskId(clusterId, id));
    member->set_voter(true);
  }
  return snapshot;
}

}  // namespace courseloom
