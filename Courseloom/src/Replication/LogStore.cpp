// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Replication/LogStore.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>
#include <xxhash.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>

namespace courseloom {

namespace internal {
namespace {

constexpr std::uint32_t RecordMagic = 0x31524C43;  // "CLR1"
constexpr std::uint32_t MaxRecordBytes = 256U * 1024 * 1024;
constexpr std::size_t RecordHeaderBytes = 16;
const char* const IdentityFile = "identity";
const char* const SnapshotFile = "snapshot";
const char* const LogFile = "log";

struct RecordHeader {
  std::uint32_t magic = 0;
  std::uint32_t length = 0;
  std::uint64_t checksum = 0;
};
static_assert(sizeof(RecordHeader) == RecordHeaderBytes,
              "the header is written with its layout in memory, which must have no padding");

std::string make_record(const std::string& payload, std::uint64_t offset) {
  RecordHeader header{RecordMagic, static_cast<std::uint32_t>(payload.size()),
                      XXH3_64bits_withSeed(payload.data(), payload.size(), offset)};
  std::string record(sizeof(header), '\0');
  std::memcpy(record.data(), &header, sizeof(header));
  return record + payload;
}

/** Reads the record at an offset. \returns false if there is no complete record with a valid checksum. */
bool read_record(const std::string& bytes, std::uint64_t offset, std::string& payload) {
  RecordHeader header;
  if (offset + sizeof(header) > bytes.size()) return false;
  std::memcpy(&header, bytes.data() + offset, sizeof(header));
  if (header.magic != RecordMagic || header.length > MaxRecordBytes) return false;
  if (offset + sizeof(header) + header.length > bytes.size()) return false;
  const char* data = bytes.data() + offset + sizeof(header);
  if (XXH3_64bits_withSeed(data, header.length, offset) != header.checksum) return false;
  payload.assign(data, header.length);
  return true;
}

/** \returns whether a valid record begins at any position after an offset. */
bool valid_record_after(const std::string& bytes, std::uint64_t offset) {
  std::string payload;
  std::array<char, sizeof(RecordMagic)> magic{};
  std::memcpy(magic.data(), &RecordMagic, sizeof(RecordMagic));
  const std::string needle(magic.data(), magic.size());
  for (std::size_t at = bytes.find(needle, offset + 1); at != std::string::npos; at = bytes.find(needle, at + 1)) {
    if (read_record(bytes, at, payload)) return true;
  }
  return false;
}

bool write_all(int file, const std::string& bytes) {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t part = ::write(file, bytes.data() + done, bytes.size() - done);
    if (part < 0 && errno == EINTR) continue;
    if (part <= 0) return false;
    done += static_cast<std::size_t>(part);
  }
  return true;
}

}  // namespace
}  // namespace internal

LogStore::~LogStore() {
  if (m_file >= 0) ::close(m_file);
}

Failure LogStore::storageFailure(const std::string& step, const std::string& name, int error) const {
  const FailureCode code = error == ENOSPC || error == EDQUOT ? FailureCode::StorageFull : FailureCode::Internal;
  return Failure{code, Ran::Unknown, step, path(name), std::strerror(error), 0};
}

Failure LogStore::damageFailure(const std::string& name, std::uint64_t offset, const std::string& detail) const {
  return Failure{FailureCode::StorageDamaged,
                 Ran::No,
                 "open storage",
                 path(name),
                 "offset " + std::to_string(offset) + ": " + detail,
                 0};
}

bool LogStore::exists() const { return ::access(path(internal::IdentityFile).c_str(), F_OK) == 0; }

Result<void> LogStore::syncFolder() const {
  const int folder = ::open(m_folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool synced = folder >= 0 && ::fsync(folder) == 0;
  const int error = errno;
  if (folder >= 0) ::close(folder);
  if (!synced) return fail(storageFailure("sync folder", "", error));
  return {};
}

/** Replaces a file atomically: writes and syncs a temporary file, renames it, and syncs the folder. */
Result<void> LogStore::replaceFile(const std::string& name, const std::string& bytes) {
  const std::string temporary = path(name + ".new");
  const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  if (file < 0) return fail(storageFailure("create", name, errno));
  const bool written = internal::write_all(file, bytes) && ::fsync(file) == 0;
  const int error = errno;
  ::close(file);
  if (!written) return fail(storageFailure("write", name, error));
  if (::rename(temporary.c_str(), path(name).c_str()) != 0) return fail(storageFailure("rename", name, errno));
  return syncFolder();
}

Result<std::string> LogStore::readFile(const std::string& name) const {
  const int file = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) return fail(storageFailure("read", name, errno));
  std::string bytes;
  std::array<char, 65536> buffer{};
  ssize_t length = 0;
  while ((length = ::read(file, buffer.data(), buffer.size())) > 0)
    bytes.append(buffer.data(), static_cast<std::size_t>(length));
  const int error = errno;
  ::close(file);
  if (length < 0) return fail(storageFailure("read", name, error));
  return bytes;
}

Result<void> LogStore::initialise(const schema::DiskIdentity& identity, const schema::Snapshot& snapshot) {
  std::error_code error;
  std::filesystem::create_directories(m_folder, error);
  if (error) return fail(storageFailure("create folder", "", error.value()));
  if (exists()) {
    return fail(Failure{FailureCode::Conflict, Ran::No, "initialise storage", m_folder,
                        "the folder already holds a replica's data", 0});
  }
  BOOST_LEAF_CHECK(replaceFile(internal::SnapshotFile, internal::make_record(snapshot.SerializeAsString(), 0)));
  BOOST_LEAF_CHECK(replaceFile(internal::LogFile, ""));
  return replaceFile(internal::IdentityFile, internal::make_record(identity.SerializeAsString(), 0));
}

Result<ReplicaState> LogStore::open(const std::string& clusterId, ReplicaId replica) {
  BOOST_LEAF_AUTO(identityBytes, readFile(internal::IdentityFile));
  std::string payload;
  if (!internal::read_record(identityBytes, 0, payload) || !m_identity.ParseFromString(payload)) {
    return fail(damageFailure(internal::IdentityFile, 0, "the identity is not readable"));
  }
  const auto refuse = [&](const std::string& detail) -> Result<ReplicaState> {
    return fail(Failure{FailureCode::BadSettings, Ran::No, "open storage", m_folder, detail, 0});
  };
  if (m_identity.format() != Format)
    return refuse("the data has format " + std::to_string(m_identity.format()) + ", this program reads " +
                  std::to_string(Format));
  if (m_identity.cluster_id() != clusterId)
    return refuse("the data belongs to cluster '" + m_identity.cluster_id() + "'");
  if (m_identity.replica_id() != replica)
    return refuse("the data belongs to replica " + std::to_string(m_identity.replica_id()));
  ReplicaState state;
  BOOST_LEAF_AUTO(snapshotBytes, readFile(internal::SnapshotFile));
  if (!internal::read_record(snapshotBytes, 0, payload) || !state.snapshot.ParseFromString(payload)) {
    return fail(damageFailure(internal::SnapshotFile, 0, "the snapshot is not readable"));
  }
  BOOST_LEAF_CHECK(readLog(state));
  return state;
}

Result<void> LogStore::readLog(ReplicaState& state) {
  BOOST_LEAF_AUTO(bytes, readFile(internal::LogFile));
  std::string payload;
  std::uint64_t offset = 0;
  while (offset < bytes.size() && internal::read_record(bytes, offset, payload)) {
    BOOST_LEAF_CHECK(applyRecord(payload, offset, state));
    offset += internal::RecordHeaderBytes + payload.size();
  }
  // compact() writes the snapshot before the new log. A crash between the two can leave log entries of an older term
  // than the snapshot's, which the snapshot supersedes.
  const bool superseded = !state.entries.empty() && state.entries.front().term() < state.snapshot.info().term();
  if (superseded) state.entries.clear();
  if (offset < bytes.size() && internal::valid_record_after(bytes, offset)) {
    return fail(damageFailure(internal::LogFile, offset, "a damaged record that sound ones follow"));
  }
  m_bytesCut = bytes.size() - offset;
  m_offset = offset;
  m_file = ::open(path(internal::LogFile).c_str(), O_WRONLY | O_CLOEXEC);
  if (m_file < 0) return fail(storageFailure("open", internal::LogFile, errno));
  if (::ftruncate(m_file, static_cast<off_t>(offset)) != 0 || ::fsync(m_file) != 0) {
    return fail(storageFailure("cut tail", internal::LogFile, errno));
  }
  ::lseek(m_file, static_cast<off_t>(offset), SEEK_SET);
  return {};
}

Result<void> LogStore::applyRecord(const std::string& payload, std::uint64_t offset, ReplicaState& state) const {
  schema::LogRecord record;
  if (!record.ParseFromString(payload))
    return fail(damageFailure(internal::LogFile, offset, "the record is not readable"));
  if (record.has_hard()) state.hard = record.hard();
  const LogIndex base = state.snapshot.info().index();
  for (const schema::LogEntry& entry : record.entries()) {
    if (entry.index() <= base) continue;
    const LogIndex position = entry.index() - base - 1;
    if (position > state.entries.size()) return fail(damageFailure(internal::LogFile, offset, "entries are missing"));
    state.entries.resize(position);
    state.entries.push_back(entry);
  }
  return {};
}

Result<void> LogStore::appendRecord(const std::string& payload) {
  const std::string record = internal::make_record(payload, m_offset);
  if (!internal::write_all(m_file, record)) return fail(storageFailure("write", internal::LogFile, errno));
  if (::fdatasync(m_file) != 0) return fail(storageFailure("sync", internal::LogFile, errno));
  m_offset += record.size();
  return {};
}

Result<void> LogStore::write(const ReplicaOutput& output) {
  if (output.install) BOOST_LEAF_CHECK(compact(*output.install, output.hard.value(), {}));
  schema::LogRecord record;
  if (output.hard) *record.mutable_hard() = *output.hard;
  for (const schema::LogEntry& entry : output.append) *record.add_entries() = entry;
  return appendRecord(record.SerializeAsString());
}

Result<void> LogStore::compact(const schema::Snapshot& snapshot, const schema::HardState& hard,
                               const std::vector<schema::LogEntry>& keep) {
  // The snapshot is written first: an old log with a newer snapshot is readable, since applyRecord() skips the entries
  // that the snapshot covers.
  BOOST_LEAF_CHECK(replaceFile(internal::SnapshotFile, internal::make_record(snapshot.SerializeAsString(), 0)));
  schema::LogRecord record;
  *record.mutable_hard() = hard;
  for (const schema::LogEntry& entry : keep) *record.add_entries() = entry;
  const std::string bytes = internal::make_record(record.SerializeAsString(), 0);
  BOOST_LEAF_CHECK(replaceFile(internal::LogFile, bytes));
  if (m_file >= 0) ::close(m_file);
  m_file = ::open(path(internal::LogFile).c_str(), O_WRONLY | O_CLOEXEC);
  if (m_file < 0) return fail(storageFailure("open", internal::LogFile, errno));
  m_offset = bytes.size();
  ::lseek(m_file, static_cast<off_t>(m_offset), SEEK_SET);
  return {};
}

Result<void> LogStore::erase() {
  if (::unlink(path(internal::IdentityFile).c_str()) != 0) {
    return fail(storageFailure("erase", internal::IdentityFile, errno));
  }
  return syncFolder();
}

std::uint64_t LogStore::freeBytes() const {
  struct statvfs info {};
  if (::statvfs(m_folder.c_str(), &info) != 0) return 0;
  return static_cast<std::uint64_t>(info.f_bavail) * info.f_frsize;
}

}  // namespace courseloom
