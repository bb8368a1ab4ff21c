// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The data folder: torn tails are cut; damage is reported with file and offset; folders of another cluster, replica or
// format are refused.

#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>

#include "Courseloom/src/Replication/LogStore.h"
#include "Courseloom/src/Replication/Replica.h"
#include "test/main.h"

using namespace courseloom;

namespace {

struct Folder {
  std::string path;
  Folder() {
    std::string pattern = "/tmp/courseloom-store-XXXXXX";
    path = std::string(mkdtemp(pattern.data())) + "/data";
  }
  ~Folder() { std::filesystem::remove_all(std::filesystem::path(path).parent_path()); }
};

schema::DiskIdentity identity() {
  schema::DiskIdentity made;
  made.set_format(LogStore::Format);
  made.set_cluster_id("test");
  made.set_replica_id(1);
  made.set_disk_id("disk");
  return made;
}

ReplicaOutput entryOutput(LogIndex index) {
  ReplicaOutput output;
  schema::LogEntry entry;
  entry.set_index(index);
  entry.set_term(1);
  entry.set_payload("payload " + std::to_string(index));
  output.append.push_back(entry);
  output.hard = schema::HardState();
  output.hard->set_term(1);
  return output;
}

void fill(const std::string& path, LogIndex entries) {
  LogStore store(path);
  cr_assert(bool(store.initialise(identity(), foundingSnapshot("test", {1, 2, 3}))));
  cr_assert(bool(store.open("test", 1)));
  for (LogIndex i = 1; i <= entries; ++i) cr_assert(bool(store.write(entryOutput(i))));
}

/** Lets no file of this process grow beyond a size, as on a full disk. */
void limitFileSize(std::uintmax_t bytes) {
  std::signal(SIGXFSZ, SIG_IGN);
  const rlimit limit{bytes, RLIM_INFINITY};
  cr_assert_eq(setrlimit(RLIMIT_FSIZE, &limit), 0);
}

Failure openFailure(const std::string& path, const std::string& cluster, ReplicaId replica) {
  LogStore store(path);
  Result<ReplicaState> state = store.open(cluster, replica);
  cr_assert_not(bool(state));
  return extractFailure(state);
}

}  // namespace

Test(log_store, synced_entries_are_read_back) {
  const Folder folder;
  fill(folder.path, 20);
  LogStore store(folder.path);
  Result<ReplicaState> state = store.open("test", 1);
  cr_assert(bool(state));
  cr_assert_eq(state->entries.size(), 20);
  cr_assert_eq(state->hard.term(), 1);
  cr_assert_str_eq(state->entries[19].payload().c_str(), "payload 20");
}

Test(log_store, a_torn_tail_is_cut_at_every_length) {
  const Folder folder;
  fill(folder.path, 5);
  const std::string log = folder.path + "/log";
  const auto whole = std::filesystem::file_size(log);
  std::uintmax_t fourRecords = 0;
  for (std::uintmax_t size = whole - 1; size > whole - 40; --size) {
    std::filesystem::resize_file(log, size);
    LogStore store(folder.path);
    Result<ReplicaState> state = store.open("test", 1);
    cr_assert(bool(state), "torn at %ju", size);
    cr_assert_eq(state->entries.size(), 4);
    fourRecords = store.logBytes();
    size = std::min(size, fourRecords + 1);
    if (size <= fourRecords + 1) break;
  }
  cr_assert_eq(std::filesystem::file_size(log), fourRecords);
}

Test(log_store, a_damaged_middle_is_refused_with_file_and_offset) {
  const Folder folder;
  fill(folder.path, 5);
  {
    std::fstream file(folder.path + "/log", std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(30);
    file.put('!');
  }
  const Failure failure = openFailure(folder.path, "test", 1);
  cr_assert_eq(failure.code, FailureCode::StorageDamaged);
  cr_assert(failure.peer.find("/log") != std::string::npos, "%s", failure.text().c_str());
  cr_assert(failure.detail.find("offset 0") != std::string::npos, "%s", failure.text().c_str());
}

Test(log_store, folders_of_another_cluster_or_replica_are_refused) {
  const Folder folder;
  fill(folder.path, 1);
  cr_assert_eq(openFailure(folder.path, "other", 1).code, FailureCode::BadSettings);
  cr_assert_eq(openFailure(folder.path, "test", 2).code, FailureCode::BadSettings);
  LogStore again(folder.path);
  Result<void> made = again.initialise(identity(), {});
  cr_assert_eq(extractFailure(made).code, FailureCode::Conflict);
}

Test(log_store, a_later_format_is_refused) {
  const Folder folder;
  LogStore store(folder.path);
  schema::DiskIdentity later = identity();
  later.set_format(LogStore::Format + 1);
  cr_assert(bool(store.initialise(later, {})));
  cr_assert_eq(openFailure(folder.path, "test", 1).code, FailureCode::BadSettings);
}

Test(log_store, compaction_drops_the_log_before_the_snapshot) {
  const Folder folder;
  fill(folder.path, 10);
  LogStore store(folder.path);
  Result<ReplicaState> state = store.open("test", 1);
  schema::Snapshot snapshot = state->snapshot;
  snapshot.mutable_info()->set_index(8);
  snapshot.mutable_info()->set_term(1);
  cr_assert(bool(store.compact(snapshot, state->hard, {state->entries[8], state->entries[9]})));
  cr_assert(bool(store.write(entryOutput(11))));
  LogStore reopened(folder.path);
  Result<ReplicaState> after = reopened.open("test", 1);
  cr_assert_eq(after->snapshot.info().index(), 8);
  cr_assert_eq(after->entries.size(), 3);
  cr_assert_eq(after->entries.back().index(), 11);
}

// A record that does not fit on the disk is written in part. Guards against a replica that then loses acknowledged
// entries or refuses its own folder.
Test(log_store, a_full_disk_fails_the_write_and_loses_no_synced_entry) {
  const Folder folder;
  fill(folder.path, 5);
  const auto whole = std::filesystem::file_size(folder.path + "/log");
  {
    LogStore store(folder.path);
    cr_assert(bool(store.open("test", 1)));
    limitFileSize(whole + 20);
    Result<void> written = store.write(entryOutput(6));
    cr_assert_not(bool(written), "a record that was written in part counts as stored");
    cr_assert_str_eq(extractFailure(written).step.c_str(), "write");
  }
  cr_assert_gt(std::filesystem::file_size(folder.path + "/log"), whole);
  LogStore store(folder.path);
  Result<ReplicaState> state = store.open("test", 1);
  cr_assert(bool(state), "the folder is refused after a write that failed");
  cr_assert_eq(state->entries.size(), 5);
}

Test(log_store, a_full_disk_during_compaction_keeps_the_former_snapshot_and_log) {
  const Folder folder;
  fill(folder.path, 5);
  {
    LogStore store(folder.path);
    cr_assert(bool(store.open("test", 1)));
    schema::Snapshot snapshot = foundingSnapshot("test", {1, 2, 3});
    snapshot.mutable_info()->set_index(4);
    snapshot.set_state(std::string(4096, 's'));
    limitFileSize(1024);
    Result<void> compacted = store.compact(snapshot, entryOutput(5).hard.value(), {});
    cr_assert_not(bool(compacted));
  }
  LogStore store(folder.path);
  Result<ReplicaState> state = store.open("test", 1);
  cr_assert(bool(state));
  cr_assert_eq(state->snapshot.info().index(), foundingSnapshot("test", {1, 2, 3}).info().index());
  cr_assert_eq(state->entries.size(), 5);
}
