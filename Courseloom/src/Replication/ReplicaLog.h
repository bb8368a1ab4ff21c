// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <deque>

#include "Courseloom/src/Replication/ReplicaTypes.h"

namespace courseloom {

/** \class ReplicaLog
 * \brief The part of the replicated log that follows the newest snapshot, in memory.
 */
class ReplicaLog {
 public:
  ReplicaLog(schema::Snapshot snapshot, std::vector<schema::LogEntry> entries);

  LogIndex firstIndex() const { return m_snapshot.info().index() + 1; }
  LogIndex lastIndex() const { return m_snapshot.info().index() + m_entries.size(); }
  Term lastTerm() const { return termAt(lastIndex()); }
  /** \returns whether the log still knows the term at an index. */
  bool knows(LogIndex index) const { return index + 1 >= firstIndex() && index <= lastIndex(); }
  /** \returns the term at an index that the log knows. */
  Term termAt(LogIndex index) const;
  const schema::LogEntry& at(LogIndex index) const;
  /** \returns entries from an index on, at most `maxBytes` of payload but at least one where there is one. */
  std::vector<schema::LogEntry> slice(LogIndex from, LogIndex to, std::size_t maxBytes) const;

  void append(schema::LogEntry entry);
  /** Drops everything from an index on. */
  void truncateFrom(LogIndex index);
  /** Replaces the snapshot by a newer one and drops the entries it covers. */
  void compact(schema::Snapshot snapshot);
  /** Replaces everything. */
  void reset(schema::Snapshot snapshot);

  const schema::Snapshot& snapshot() const { return m_snapshot; }
  /** \returns the newest members in the log, committed or not, as Raft's single change rule asks. */
  const schema::Members& members() const;
  /** \returns index of the entry that set members(); 0 where the snapshot did. */
  LogIndex membersIndex() const;

 private:
  schema::Snapshot m_snapshot;
  std::deque<schema::LogEntry> m_entries;
  std::vector<LogIndex> m_memberChanges;
};

/** \returns how many of the members vote. */
std::size_t voterCount(const schema::Members& members);

}  // namespace courseloom
