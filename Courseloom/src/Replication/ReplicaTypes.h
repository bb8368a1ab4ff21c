// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Courseloom/src/Core/Clock.h"
#include "generated/replication.pb.h"

namespace courseloom {

using ReplicaId = std::uint32_t;
using LogIndex = std::uint64_t;
using Term = std::uint64_t;

/** \class ReplicaMechanisms
 * \brief Protocol mechanisms that a test can switch off to show that its check fails without them. All are on in
 * production.
 */
struct ReplicaMechanisms {
  bool diskIdentity = true;         ///< votes and acknowledgements count only from the disk listed in the members
  bool preVote = true;              ///< hold a pre-vote before raising the term
  bool checkQuorum = true;          ///< a leader without answers from a quorum steps down
  bool contactWhileStoring = true;  ///< a follower answers the leader before its disk write completes
  bool waitAfterStart = true;       ///< a restarted replica grants no vote for one election timeout
};

/** \class ReplicaOptions
 * \brief Configuration of a replica, fixed at its start.
 */
struct ReplicaOptions {
  std::string clusterId;
  ReplicaId id = 0;
  std::string diskId;
  /** Replicas listed in the settings. A leader also contacts those that are not members, since a replica with a wiped
   * disk is detected by its answers. */
  std::vector<ReplicaId> peers;
  Duration heartbeat = milliseconds(100);
  Duration electionTimeout = milliseconds(600);  ///< the time used is random, between this and twice this
  /** Time without contact after which a voter loses its vote to a replica that has joined and caught up. Zero disables
   * the replacement. */
  Duration replaceAfter{};
  /** Intended number of voters. No learner is promoted beyond this number, except to replace a silent voter. While
   * there are more voters, a silent one loses its vote. Zero means no limit. */
  std::size_t wantedVoters = 0;
  std::uint64_t seed = 1;
  ReplicaMechanisms mechanisms;
};

/** \class ReplicaState
 * \brief State of a replica as read from its disk.
 */
struct ReplicaState {
  schema::HardState hard;
  schema::Snapshot snapshot;
  std::vector<schema::LogEntry> entries;
};

/** \class ReplicaOutput
 * \brief Actions that the caller of Replica has to perform.
 *
 * Perform them in this order: send `messages`; store `hard`, `install` and `append` and sync the disk; call
 * Replica::synced and send `messagesAfterSync`; apply `install` and `committed` to the state machine.
 */
struct ReplicaOutput {
  std::vector<schema::ReplicaMessage> messages;
  std::optional<schema::HardState> hard;
  std::optional<schema::Snapshot> install;
  std::vector<schema::LogEntry> append;  ///< replaces all stored entries from the index of its first entry on
  std::vector<schema::ReplicaMessage> messagesAfterSync;
  std::vector<schema::LogEntry> committed;

  bool needsSync() const { return hard || install || !append.empty(); }
  bool empty() const { return messages.empty() && !needsSync() && messagesAfterSync.empty() && committed.empty(); }
};

/** Role of a replica in the current term. A PreCandidate holds a pre-vote, a Candidate an election. */
enum class ReplicaRole : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

}  // namespace courseloom
