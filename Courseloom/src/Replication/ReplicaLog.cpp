// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Replication/ReplicaLog.h"

#include <algorithm>

#include "Courseloom/src/Core/Assert.h"

namespace courseloom {

ReplicaLog::ReplicaLog(schema::Snapshot snapshot, std::vector<schema::LogEntry> entries)
    : m_snapshot(std::move(snapshot)) {
  for (schema::LogEntry& entry : entries) append(std::move(entry));
}

Term ReplicaLog::termAt(LogIndex index) const {
  if (index == m_snapshot.info().index()) return m_snapshot.info().term();
  return at(index).term();
}

const schema::LogEntry& ReplicaLog::at(LogIndex index) const {
  courseloom_assert(index >= firstIndex() && index <= lastIndex());
  return m_entries[index - firstIndex()];
}

std::vector<schema::LogEntry> ReplicaLog::slice(LogIndex from, LogIndex to, std::size_t maxBytes) const {
  std::vector<schema::LogEntry> entries;
  std::size_t bytes = 0;
  for (LogIndex index = from; index <= to && index <= lastIndex(); ++index) {
    const schema::LogEntry& entry = at(index);
    bytes += entry.payload().size();
    if (!entries.empty() && bytes > maxBytes) break;
    entries.push_back(entry);
  }
  return entries;
}

void ReplicaLog::append(schema::LogEntry entry) {
  courseloom_assert(entry.index() == lastIndex() + 1);
  if (entry.has_members()) m_memberChanges.push_back(entry.index());
  m_entries.push_back(std::move(entry));
}

void ReplicaLog::truncateFrom(LogIndex index) {
  courseloom_assert(index >= firstIndex());
  while (lastIndex() >= index) m_entries.pop_back();
  while (!m_memberChanges.empty() && m_memberChanges.back() >= index) m_memberChanges.pop_back();
}

void ReplicaLog::compact(schema::Snapshot snapshot) {
  const LogIndex index = snapshot.info().index();
  courseloom_assert(index >= m_snapshot.info().index() && index <= lastIndex());
  while (!m_entries.empty() && m_entries.front().index() <= index) m_entries.pop_front();
  std::erase_if(m_memberChanges, [index](LogIndex change) { return change <= index; });
  m_snapshot = std::move(snapshot);
}

void ReplicaLog::reset(schema::Snapshot snapshot) {
  m_entries.clear();
  m_memberChanges.clear();
  m_snapshot = std::move(snapshot);
}

const schema::Members& ReplicaLog::members() const {
  if (m_memberChanges.empty()) return m_snapshot.info().members();
  return at(m_memberChanges.back()).members();
}

LogIndex ReplicaLog::membersIndex() const { return m_memberChanges.empty() ? 0 : m_memberChanges.back(); }

std::size_t voterCount(const schema::Members& members) {
  const auto& all = members.members();
  const auto count = std::count_if(all.begin(), all.end(), [](const auto& member) { return member.voter(); });
  return static_cast<std::size_t>(count);
}

}  // namespace courseloom
