// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <deque>

#include "Courseloom/src/Replication/ReplicaTypes.h"

namespace courseloom {

/** \class ReplicaLog
 * \brief The newest snapshot and the log entries that follow it, in memory.
 */
class ReplicaLog {
 public:
  ReplicaLog(schema::Snapshot snapshot, std::vector<schema::LogEntry> entries);

  LogIndex firstIndex() const { return m_snapshot.info().index() + 1; }
  LogIndex lastIndex() const { return m_snapshot.info().index() + m_entries.size(); }
  Term lastTerm() const { return termAt(lastIndex()); }
  /** \returns whether the term at an index is known: the index is that of the snapshot or of an entry. */
  bool hasTermAt(LogIndex index) const { return index + 1 >= firstIndex() && index <= lastIndex(); }
  /** \returns the term at an index. Requires hasTermAt(index). */
  Term termAt(LogIndex index) const;
  /** \returns the entry at an index, which must lie between firstIndex() and lastIndex(). */
  const schema::LogEntry& at(LogIndex index) const;
  /** \returns the entries from `from` to `to`, both included, up to `maxBytes` of payload. The first entry is returned
   * even if it is larger. */
  std::vector<schema::LogEntry> slice(LogIndex from, LogIndex to, std::size_t maxBytes) const;

  /** Appends an entry, whose index must be lastIndex() + 1. */
  void append(schema::LogEntry entry);
  /** Removes all entries from an index on. */
  void truncateFrom(LogIndex index);
  /** Replaces the snapshot by a newer one and removes the entries that it covers. */
  void compact(schema::Snapshot snapshot);
  /** Replaces the snapshot and removes all entries. */
  void reset(schema::Snapshot snapshot);

  const schema::Snapshot& snapshot() const { return m_snapshot; }
  /** \returns the newest members in the log, committed or not, as Raft requires for single-server membership changes.
   */
  const schema::Members& members() const;
  /** \returns index of the entry that contains members(); 0 if they come from the snapshot. */
  LogIndex membersIndex() const;

 private:
  schema::Snapshot m_snapshot;
  std::deque<schema::LogEntry> m_entries;
  std::vector<LogIndex> m_memberChanges;  ///< indexes of the entries that contain members, ascending
};

/** \returns the number of voters among the members. */
std::size_t voterCount(const schema::Members& members);

}  // namespace courseloom
