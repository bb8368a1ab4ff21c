// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/Recovery.h"

#include <sstream>

#include "Courseloom/src/Control/ReplicaDriver.h"
#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace internal {
namespace {

/** \returns whether a disk is a voter. */
bool votes(const schema::Members& members, const std::string& diskId) {
  for (const schema::Member& member : members.members()) {
    if (member.disk_id() == diskId && member.voter()) return true;
  }
  return false;
}

/** Describes which committed commands this disk could lack. None if the newest members entry is known to be committed,
 * this disk is a voter and a quorum needs every voter (at most two voters): each commit since that entry then needed
 * this disk. */
std::string describe_missing_commands(const ReplicaLog& log, const schema::HardState& hard, const std::string& diskId) {
  const std::size_t voters = voterCount(log.members());
  const bool everyVoterNeeded = voters / 2 + 1 == voters;
  const bool membersCommitted = log.membersIndex() <= std::max<LogIndex>(hard.commit(), log.snapshot().info().index());
  if (!votes(log.members(), diskId)) return "this disk does not vote; commands of any age could be missing";
  if (everyVoterNeeded && membersCommitted)
    return "no accepted command is missing: each one since the last change of members needed this disk";
  return "accepted commands after index " + std::to_string(hard.commit()) +
         " could be missing, if only other disks held them";
}

/** \returns members with this disk as the only voter and all other disks retired. */
schema::Members with_only_voter(const schema::Members& members, ReplicaId id, const std::string& diskId) {
  schema::Members next;
  *next.mutable_retired_disks() = members.retired_disks();
  for (const schema::Member& member : members.members()) {
    if (member.disk_id() != diskId) next.add_retired_disks(member.disk_id());
  }
  schema::Member* own = next.add_members();
  own->set_id(id);
  own->set_disk_id(diskId);
  own->set_voter(true);
  return next;
}

}  // namespace
}  // namespace internal

Result<std::string> inspectFolder(const schema::Settings& settings) {
  BOOST_LEAF_AUTO(id, ownReplicaId(settings));
  LogStore store(settings.node().data_folder());
  BOOST_LEAF_AUTO(state, store.open(settings.cluster().id(), id));
  const schema::DiskIdentity identity = store.identity();
  const ReplicaLog log(state.snapshot, state.entries);
  std::ostringstream text;
  text << "cluster: " << identity.cluster_id() << "\nreplica: " << identity.replica_id()
       << "\ndisk: " << identity.disk_id() << "\nformat: " << identity.format() << "\nterm: " << state.hard.term()
       << "\nvotedFor: " << state.hard.voted_for() << "\nknownCommit: " << state.hard.commit()
       << "\nsnapshotIndex: " << state.snapshot.info().index() << "\nsnapshotBytes: " << state.snapshot.state().size()
       << "\nlastIndex: " << log.lastIndex() << "\nlogBytes: " << store.logBytes()
       << "\ntornBytesCut: " << store.bytesCut() << "\nmembers:\n";
  for (const schema::Member& member : log.members().members()) {
    text << "  - {id: " << member.id() << ", disk: " << member.disk_id()
         << ", voter: " << (member.voter() ? "true" : "false") << "}\n";
  }
  return text.str();
}

Result<std::string> recoverFolder(const schema::Settings& settings) {
  BOOST_LEAF_AUTO(id, ownReplicaId(settings));
  LogStore store(settings.node().data_folder());
  BOOST_LEAF_AUTO(state, store.open(settings.cluster().id(), id));
  const std::string diskId = store.identity().disk_id();
  const ReplicaLog log(state.snapshot, state.entries);
  const std::string missing = internal::describe_missing_commands(log, state.hard, diskId);
  ReplicaOutput output;
  output.hard = state.hard;
  output.hard->set_term(state.hard.term() + 1);
  output.hard->set_voted_for(0);
  schema::LogEntry entry;
  entry.set_index(log.lastIndex() + 1);
  entry.set_term(output.hard->term());
  *entry.mutable_members() = internal::with_only_voter(log.members(), id, diskId);
  output.append.push_back(std::move(entry));
  BOOST_LEAF_CHECK(store.write(output));
  logEvent(schema::Recovered, {{"index", log.lastIndex()}, {"missing", missing}});
  return "replica " + std::to_string(id) + " is now the only voter, with its log up to index " +
         std::to_string(log.lastIndex()) + "; " + missing + "\n";
}

}  // namespace courseloom
