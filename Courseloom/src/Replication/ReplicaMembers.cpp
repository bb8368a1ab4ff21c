// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Membership changes and leadership transfer of Replica.

#include <algorithm>

#include "Courseloom/src/Replication/Replica.h"

namespace courseloom {

namespace internal {
namespace {
/** A learner is removed after this many times ReplicaOptions::replaceAfter without contact. */
constexpr int LearnerRemovalFactor = 10;
}  // namespace
}  // namespace internal

// ---- members

bool Replica::memberChangeAllowed() const {
  return isLeader() && m_commit >= m_termStart && m_log.membersIndex() <= m_commit;
}

void Replica::changeMembers(schema::Members members) {
  schema::LogEntry entry;
  *entry.mutable_members() = std::move(members);
  appendOwn(std::move(entry));
  replicateToAll(m_now, false);
  advanceCommit();
}

std::set<ReplicaId> Replica::knownPeers() const {
  std::set<ReplicaId> known(m_options.peers.begin(), m_options.peers.end());
  for (const schema::Member& member : members().members()) known.insert(member.id());
  known.erase(m_options.id);
  return known;
}

void Replica::addPeer(ReplicaId id, Time now) {
  if (!isLeader() || id == m_options.id || m_peers.count(id) > 0) return;
  Peer& peer = m_peers[id];
  peer.next = m_log.lastIndex() + 1;
  peer.lastContact = now;
}

/** \returns whether a quorum of the voters of a configuration was in contact within the election timeout. A
 * configuration takes effect when it is appended to the log, so without a quorum of its own it could be neither
 * committed nor reverted. */
bool Replica::hasQuorumContact(const schema::Members& next) const {
  std::size_t voters = 0;
  std::size_t reachable = 0;
  for (const schema::Member& member : next.members()) {
    if (!member.voter()) continue;
    ++voters;
    const auto peer = m_peers.find(member.id());
    const bool recentContact = peer != m_peers.end() && peer->second.diskId == member.disk_id() &&
                               m_now < peer->second.lastContact + m_options.electionTimeout;
    reachable += member.id() == m_options.id || recentContact ? 1 : 0;
  }
  return reachable >= voters / 2 + 1;
}

/** \returns a member other than this leader without contact for longer than the limit, or null if there is none or the
 * replacement of members is disabled.
 * \param voter whether to search the voters or the learners */
const schema::Member* Replica::silentMember(bool voter, Duration silenceLimit, Time now) const {
  if (m_options.replaceAfter == Duration(0)) return nullptr;
  for (const schema::Member& member : members().members()) {
    const auto found = m_peers.find(member.id());
    if (member.voter() != voter || found == m_peers.end()) continue;
    if (now > std::max(found->second.lastContact, m_leaderSince) + silenceLimit) return &member;
  }
  return nullptr;
}

const schema::Member* Replica::silentVoter(Time now) const { return silentMember(true, m_options.replaceAfter, now); }

/** Demotes a silent voter to a learner while there are more voters than intended, so that the remaining voters tolerate
 * the loss of another one. If the replica returns, it continues from its own log like any other learner. */
void Replica::demoteSurplusVoter(Time now) {
  if (m_options.wantedVoters == 0 || voters() <= m_options.wantedVoters) return;
  const schema::Member* silent = silentVoter(now);
  if (silent == nullptr || !memberChangeAllowed()) return;
  const ReplicaId id = silent->id();
  schema::Members next = members();
  for (schema::Member& member : *next.mutable_members()) {
    if (member.id() == id) member.set_voter(false);
  }
  if (hasQuorumContact(next)) changeMembers(std::move(next));
}

/** Removes a learner without contact for a long time, such as one whose instance no longer exists. */
void Replica::removeSilentLearner(Time now) {
  const schema::Member* silent = silentMember(false, m_options.replaceAfter * internal::LearnerRemovalFactor, now);
  if (silent == nullptr || !memberChangeAllowed()) return;
  const ReplicaId id = silent->id();
  schema::Members next;
  *next.mutable_retired_disks() = members().retired_disks();
  for (const schema::Member& member : members().members()) {
    if (member.id() != id) *next.add_members() = member;
  }
  m_peers.erase(id);
  changeMembers(std::move(next));
}

/** Adds the replica and disk that sent a message to the members, if they are not listed yet. The new disk joins without
 * a vote. If the replica was a member with another disk, that disk is lost and becomes a retired disk. */
void Replica::registerPeerDisk(const schema::ReplicaMessage& message) {
  if (!m_options.mechanisms.diskIdentity || !memberChangeAllowed()) return;
  schema::Members next = members();
  schema::Member* found = nullptr;
  for (schema::Member& member : *next.mutable_members()) {
    if (member.id() == message.from()) found = &member;
  }
  if (found != nullptr && found->disk_id() == message.disk_id()) return;
  if (found == nullptr) {
    found = next.add_members();
    found->set_id(message.from());
  } else {
    next.add_retired_disks(found->disk_id());
  }
  found->set_disk_id(message.disk_id());
  found->set_voter(false);
  changeMembers(std::move(next));
}

bool Replica::isLearner(ReplicaId id) const {
  const auto& all = members().members();
  return std::any_of(all.begin(), all.end(), [id](const auto& member) { return member.id() == id && !member.voter(); });
}

void Replica::promoteLearner(ReplicaId id) {
  if (!memberChangeAllowed()) return;
  // The replacement becomes a voter before the silent voter loses its vote. With fewer voters in between, the loss of
  // one more disk could make a quorum permanently impossible.
  const std::size_t wanted = m_options.wantedVoters + (silentVoter(m_now) == nullptr ? 0 : 1);
  if (m_options.wantedVoters > 0 && voters() >= wanted) return;
  schema::Members next = members();
  for (schema::Member& member : *next.mutable_members()) {
    const bool learner = member.id() == id && !member.voter() && member.disk_id() == m_peers.at(id).diskId;
    if (!learner || m_peers.at(id).match < m_commit) continue;
    member.set_voter(true);
    if (!hasQuorumContact(next)) return;
    return changeMembers(std::move(next));
  }
}

// ---- leadership transfer

void Replica::handOver(Time now, ReplicaId successor) {
  if (!isLeader() || voters() < 2) return;
  m_successor = successor;
  m_handOverUntil = now + m_options.electionTimeout;
  m_handOverSent = false;
  continueHandOver(now);
}

void Replica::continueHandOver(Time now) {
  if (!m_handOverUntil) return;
  if (now > *m_handOverUntil) {
    m_handOverUntil.reset();
    // The leader gave up its lease when it sent TimeoutNow, and must not regain the lease in this term.
    if (m_handOverSent) becomeFollower(m_hard.term(), 0, now);
    return;
  }
  if (m_handOverSent) return;
  for (const schema::Member& member : members().members()) {
    const auto found = m_peers.find(member.id());
    if (found == m_peers.end() || !isVoter(member.id(), found->second.diskId)) continue;
    if (found->second.match < m_log.lastIndex()) continue;
    if (m_successor != 0 && member.id() != m_successor) continue;
    m_handOverSent = true;
    return send(makeMessage(schema::TimeoutNow, member.id()));
  }
}

}  // namespace courseloom
