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
 * \brief Protections that a proof can switch off to show that it fails without them; all on in production.
 */
struct ReplicaMechanisms {
  bool diskIdentity = true;         ///< a vote or acknowledgement counts only from the disk that the members name
  bool preVote = true;              ///< ask before a term is raised
  bool checkQuorum = true;          ///< a leader that a quorum has not answered steps down
  bool contactWhileStoring = true;  ///< a follower whose disk is busy says at once that it hears the leader
  bool waitAfterStart = true;       ///< a restarted replica grants no vote until an election timeout has passed
};

/** \class ReplicaOptions
 * \brief What a replica is told at its start.
 */
struct ReplicaOptions {
  std::string clusterId;
  ReplicaId id = 0;
  std::string diskId;
  std::vector<ReplicaId> peers;  ///< replicas that the settings list; a wiped one is found by its answers
  Duration heartbeat = milliseconds(100);
  Duration electionTimeout = milliseconds(600);  ///< randomised up to twice this
  /** A voter that was silent for this long loses its vote to a replica that has joined and caught up; zero is never. */
  Duration replaceAfter{};
  /** Voters that there should be: no learner is promoted beyond this number, and a silent voter beyond it loses its
   * vote; zero is no limit. */
  std::size_t wantedVoters = 0;
  std::uint64_t seed = 1;
  ReplicaMechanisms mechanisms;
};

/** \class ReplicaState
 * \brief What a replica finds on its disk.
 */
struct ReplicaState {
  schema::HardState hard;
  schema::Snapshot snapshot;
  std::vector<schema::LogEntry> entries;
};

/** \class ReplicaOutput
 * \brief Actions to perform, in this order: send `messages`; store `hard`, `install` and `append` and sync; call
 * Replica::synced and send `messagesAfterSync`; apply `install` and `committed` to the state.
 */
struct ReplicaOutput {
  std::vector<schema::ReplicaMessage> messages;
  std::optional<schema::HardState> hard;
  std::optional<schema::Snapshot> install;
  std::vector<schema::LogEntry> append;  ///< replaces whatever is stored from the first one's index on
  std::vector<schema::ReplicaMessage> messagesAfterSync;
  std::vector<schema::LogEntry> committed;

  bool needsSync() const { return hard || install || !append.empty(); }
  bool empty() const { return messages.empty() && !needsSync() && messagesAfterSync.empty() && committed.empty(); }
};

/** The part a replica plays. */
enum class ReplicaRole : std::uint8_t { Follower, PreCandidate, Candidate, Leader };

}  // namespace courseloom
