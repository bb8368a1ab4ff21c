// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <string>

#include "Courseloom/src/Core/Failure.h"
#include "Courseloom/src/Replication/ReplicaTypes.h"

namespace courseloom {

/** \class LogStore
 * \brief Stores the identity, the newest snapshot and the log of one replica in a data folder. Each record has a
 * checksum.
 *
 * Records are written and synced one at a time, so only the last record of the log can be torn. A torn last record
 * was never acknowledged, and open() truncates it. An invalid record that is followed by a valid one means damage:
 * open() fails and names the file and the offset.
 * In format 1 a record consists of a magic number (4 bytes), the length of the payload (4 bytes), an xxh3 checksum of
 * the payload seeded with the offset of the record (8 bytes), and the payload in protobuf encoding. Numbers are
 * little-endian. All calls block; use an object from one thread.
 */
class LogStore {
 public:
  static constexpr std::uint32_t Format = 1;

  explicit LogStore(std::string folder) : m_folder(std::move(folder)) {}
  ~LogStore();
  LogStore(const LogStore&) = delete;
  LogStore& operator=(const LogStore&) = delete;

  /** Creates a new data folder; fails with Conflict if it already holds an identity.
   * \param snapshot state to start from: the founding snapshot, or an empty one for a joining disk */
  Result<void> initialise(const schema::DiskIdentity& identity, const schema::Snapshot& snapshot);
  /** \returns whether the folder holds an identity. */
  bool exists() const;
  /** Reads the stored state and opens the log for writing; call it before write() and compact().
   * \returns the state of the replica; BadSettings if the data belongs to another cluster or replica or has another
   * format; StorageDamaged if it is not readable */
  Result<ReplicaState> open(const std::string& clusterId, ReplicaId replica);
  /** Writes the parts of an output that are to be stored as one record and syncs it. A snapshot in `install` replaces
   * the stored snapshot and log first. */
  Result<void> write(const ReplicaOutput& output);
  /** Writes a snapshot and replaces the log. \param keep entries after the snapshot, which make up the new log */
  Result<void> compact(const schema::Snapshot& snapshot, const schema::HardState& hard,
                       const std::vector<schema::LogEntry>& keep);
  /** Deletes the identity, so that the next start treats the folder as empty. */
  Result<void> erase();
  /** \returns free bytes on the file system of the folder; 0 if they cannot be determined. */
  std::uint64_t freeBytes() const;

  const schema::DiskIdentity& identity() const { return m_identity; }
  /** \returns number of bytes that open() truncated from the end of the log. */
  std::uint64_t bytesCut() const { return m_bytesCut; }
  /** \returns size of the log in bytes. */
  std::uint64_t logBytes() const { return m_offset; }

 private:
  Result<std::string> readFile(const std::string& name) const;
  Result<void> replaceFile(const std::string& name, const std::string& bytes);
  Result<void> readLog(ReplicaState& state);
  Result<void> applyRecord(const std::string& payload, std::uint64_t offset, ReplicaState& state) const;
  Result<void> appendRecord(const std::string& payload);
  Result<void> syncFolder() const;
  std::string path(const std::string& name) const { return m_folder + "/" + name; }
  Failure storageFailure(const std::string& step, const std::string& name, int error) const;
  Failure damageFailure(const std::string& name, std::uint64_t offset, const std::string& detail) const;

  std::string m_folder;
  schema::DiskIdentity m_identity;
  int m_file = -1;
  std::uint64_t m_offset = 0;  ///< end of the log, where the next record is written
  std::uint64_t m_bytesCut = 0;
};

}  // namespace courseloom
