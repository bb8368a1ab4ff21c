// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <string>

#include "Courseloom/src/Core/Failure.h"
#include "Courseloom/src/Replication/ReplicaTypes.h"

namespace courseloom {

/** \class LogStore
 * \brief The data folder of one replica: identity, newest snapshot and log, each record with a checksum.
 *
 * One record is written and synced at a time, so that only the last one can be torn. A torn last record was never
 * acknowledged and is cut at open; a bad record that a good one follows is damage and is refused with file and offset.
 * Format 1: each record is magic (4 bytes), length (4), xxh3 checksum seeded with the offset (8), protobuf bytes;
 * numbers little-endian. Blocking; use from one thread.
 */
class LogStore {
 public:
  static constexpr std::uint32_t Format = 1;

  explicit LogStore(std::string folder) : m_folder(std::move(folder)) {}
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  /** Makes a new data folder. \param snapshot state to start from: the founding one, or empty for a joining disk */
  Result<void> initialise(const schema::DiskIdentity& identity, const schema::Snapshot& snapshot);
  /** \returns whether the folder holds an identity. */
  bool exists() const;
  /** Reads everything back. \returns the replica's state; BadSettings for another cluster, replica or format */
  Result<ReplicaState> open(const std::string& clusterId, ReplicaId replica);
  /** Writes one record and syncs it. */
  Result<void> write(const ReplicaOutput& output);
  /** Writes a snapshot and drops the log that it covers. \param keep entries that follow it */
  Result<void> compact(const schema::Snapshot& snapshot, const schema::HardState& hard,
                       const std::vector<schema::LogEntry>& keep);
  /** Takes the identity away, so that the next start finds an empty folder. */
  Result<void> erase();
  /** \returns free bytes on the folder's file system. */
  std::uint64_t freeBytes() const;

  const schema::DiskIdentity& identity() const { return m_identity; }
  /** \returns bytes cut from a torn tail at open. */
  std::uint64_t bytesCut() const { return m_bytesCut; }
  std::uint64_t logBytes() const { return m_offset; }

 private:
  Result<std::string> readWhole(const std::string& name) const;
  Result<void> writeWhole(const std::string& name, const std::string& bytes);
  Result<void> readLog(ReplicaState& state);
  Result<void> applyRecord(const std::string& payload, std::uint64_t offset, ReplicaState& state) const;
  Result<void> appendRecord(const std::string& payload);
  Result<void> syncFolder() const;
  std::string path(const std::string& name) const { return m_folder + "/" + name; }
  Failure storageFailure(const std::string& step, const std::string& name, int error) const;
  Failure damaged(const std::string& name, std::uint64_t offset, const std::string& detail) const;

  std::string m_folder;
  schema::DiskIdentity m_identity;
  int m_file = -1;
  std::uint64_t m_offset = 0;
  std::uint64_t m_bytesCut = 0;
};

}  // namespace courseloom
