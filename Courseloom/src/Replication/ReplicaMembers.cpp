// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of Replica that changes members and hands leadership over.

#include <algorithm>

#include "Courseloom/src/Replication/Replica.h"

namespace courseloom {

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
  schema::Members next = members();
  for (schema::Member& member : *next.mutable_members()) {
    const bool learner = member.id() == id && !member.voter() && member.disk_id() == m_peers.at(id).diskId;
    if (!learner || m_peers.at(id).match < m_commit) continue;
    member.set_voter(true);
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
