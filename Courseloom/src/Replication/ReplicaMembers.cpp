// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of Replica that changes members and hands leadership over.

#include <algorithm>

#include "Courseloom/src/Replication/Replica.h"

namespace courseloom {

namespace internal {
namespace {
/** A learner is forgotten after this many times the silence after which a voter loses its vote. */
constexpr int ForgetAfterReplacements = 10;
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
  peer.heard = now;
}

/** \returns whether enough voters of a configuration are within reach to commit it: one that is in the log counts at
 * once, and could not be taken back without them. */
bool Replica::hearsQuorumOf(const schema::Members& next) const {
  std::size_t voters = 0;
  std::size_t heard = 0;
  for (const schema::Member& member : next.members()) {
    if (!member.voter()) continue;
    ++voters;
    const auto peer = m_peers.find(member.id());
    const bool lately = peer != m_peers.end() && peer->second.diskId == member.disk_id() &&
                        m_now < peer->second.heard + m_options.electionTimeout;
    heard += member.id() == m_options.id || lately ? 1 : 0;
  }
  return heard >= voters / 2 + 1;
}

/** \returns a member other than this leader, with or without a vote, that has been silent for longer than the patience,
 * or nothing. */
const schema::Member* Replica::silentMember(bool voter, Duration patience, Time now) const {
  if (m_options.replaceAfter == Duration(0)) return nullptr;
  for (const schema::Member& member : members().members()) {
    const auto found = m_peers.find(member.id());
    if (member.voter() != voter || found == m_peers.end()) continue;
    if (now > std::max(found->second.heard, m_leaderSince) + patience) return &member;
  }
  return nullptr;
}

const schema::Member* Replica::silentVoter(Time now) const { return silentMember(true, m_options.replaceAfter, now); }

/** Takes the vote of a silent replica beyond the wanted ones, so that the voters that are left can lose another one.
 * Should it come back, it follows with the log that it has, like any other learner. */
void Replica::demoteSurplusVoter(Time now) {
  if (m_options.wantedVoters == 0 || voters() <= m_options.wantedVoters) return;
  const schema::Member* silent = silentVoter(now);
  if (silent == nullptr || !memberChangeAllowed()) return;
  const ReplicaId id = silent->id();
  schema::Members next = members();
  for (schema::Member& member : *next.mutable_members()) {
    if (member.id() == id) member.set_voter(false);
  }
  if (hearsQuorumOf(next)) changeMembers(std::move(next));
}

/** Forgets a learner that has been silent for long, as one does whose instance is gone for good. */
void Replica::forgetSilentLearner(Time now) {
  const schema::Member* silent = silentMember(false, m_options.replaceAfter * internal::ForgetAfterReplacements, now);
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

/** A known replica with a new disk: its old disk is lost and leaves, the new one joins without a vote. */
void Replica::reviewMembers(const schema::ReplicaMessage& message) {
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
  // The successor votes before the silent one loses its vote: with fewer voters meanwhile, the loss of one more disk
  // could leave a quorum that never comes back.
  const std::size_t wanted = m_options.wantedVoters + (silentVoter(m_now) == nullptr ? 0 : 1);
  if (m_options.wantedVoters > 0 && voters() >= wanted) return;
  schema::Members next = members();
  for (schema::Member& member : *next.mutable_members()) {
    const bool learner = member.id() == id && !member.voter() && member.disk_id() == m_peers.at(id).diskId;
    if (!learner || m_peers.at(id).match < m_commit) continue;
    member.set_voter(true);
    if (!hearsQuorumOf(next)) return;
    return changeMembers(std::move(next));
  }
}

// ---- hand-over and snapshots

void Replica::handOver(Time now) {
  if (!isLeader() || voters() < 2) return;
  m_handOverUntil = now + m_options.electionTimeout;
  m_handOverSent = false;
  continueHandOver(now);
}

void Replica::continueHandOver(Time now) {
  if (!m_handOverUntil) return;
  if (now > *m_handOverUntil) {
    m_handOverUntil.reset();
    // The lease was given up when TimeoutNow left; it must not come back within this term.
    if (m_handOverSent) becomeFollower(m_hard.term(), 0, now);
    return;
  }
  if (m_handOverSent) return;
  for (const schema::Member& member : members().members()) {
    const auto found = m_peers.find(member.id());
    if (found == m_peers.end() || !isVoter(member.id(), found->second.diskId)) continue;
    if (found->second.match < m_log.lastIndex()) continue;
    m_handOverSent = true;
    return send(make(schema::TimeoutNow, member.id()));
  }
}

}  // namespace courseloom
