// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "Courseloom/src/Replication/ReplicaTypes.h"
#include "Courseloom/src/State/ClaimTable.h"
#include "Courseloom/src/State/HallDrains.h"
#include "Courseloom/src/State/ObjectTable.h"
#include "Courseloom/src/State/WorkflowTable.h"

namespace courseloom {

/** \class StateLimits
 * \brief Limits from the cluster's settings; they must be the same at every replica, as apply() depends on them.
 */
struct StateLimits {
  std::size_t maxAnswerBytes = 65536;                   ///< largest answer body that a claim keeps
  std::uint64_t retentionMs = 7ULL * 24 * 3600 * 1000;  ///< of ended claims, ended jobs and replies
  std::uint64_t workflowRetentionMs = 300ULL * 1000;    ///< of ended workflows
};

/** \class ClusterState
 * \brief The replicated state machine: configuration, claims, jobs, workflows and the replies to recent commands.
 *
 * apply() depends only on the state, the log entry and its index. Replicas that apply the same log therefore hold the
 * same state.
 */
class ClusterState {
 public:
  explicit ClusterState(StateLimits limits = {}) : m_limits(limits), m_workflows(limits.workflowRetentionMs) {}

  /** Applies one committed command. A command with the id of an earlier one changes nothing: it gets the reply to the
   * first command, or the failure CommandIdReused if its content differs. */
  schema::CommandReply apply(LogIndex index, const schema::Command& command);
  /** Checks a command without applying it, for dry runs and for rejection before the command enters the log.
   * \returns the failure that apply() would report for changes of objects and for selectors; for an action, what it
   * matches; empty for other commands */
  schema::CommandReply preview(const schema::Command& command) const;

  /** \returns whether a command with this id was applied and its reply is still kept. */
  bool knowsCommand(const std::string& commandId) const { return keptReply(commandId) != nullptr; }

  const ObjectTable& objects() const { return m_objects; }
  const ClaimTable& claims() const { return m_claims; }
  const WorkflowTable& workflows() const { return m_workflows; }
  WorkflowTable& workflows() { return m_workflows; }
  const HallDrains& hallDrains() const { return m_hallDrains; }
  const std::map<std::string, schema::Job>& jobs() const { return m_jobs; }
  /** \returns the job, or nullptr if there is none. */
  const schema::Job* job(const std::string& id) const;
  /** \returns the ids of jobs that changed since the last call, for the scheduler, and clears the list. */
  std::set<std::string> consumeChangedJobs();
  /** \returns the lowest lease number that was not granted yet. */
  std::uint64_t nextLease() const { return m_nextLease; }

  /** \returns the state as a serialized snapshot. \sa StateWriter */
  std::string save() const;
  /** Adds everything but the workflows to a snapshot. */
  void saveWithoutWorkflows(schema::StateSnapshot& snapshot) const;
  /** Replaces the state by that of a snapshot.
   * \returns StorageDamaged, with the state unchanged, if the snapshot cannot be parsed */
  Result<void> load(const std::string& bytes);

 private:
  schema::CommandReply applyNew(LogIndex index, const schema::Command& command);
  schema::CommandReply applyObjects(LogIndex index, const schema::Command& command);
  schema::CommandReply removeObject(LogIndex index, const schema::Command& command);
  schema::CommandReply applyAction(LogIndex index, const schema::Command& command);
  schema::CommandReply submit(const schema::Command& command);
  schema::CommandReply cancel(const schema::Command& command);
  schema::CommandReply changeJob(const schema::Command& command);
  schema::CommandReply applyToWorkflows(const schema::Command& command);
  schema::CommandReply matchAction(const schema::Action& action, std::vector<ObjectId>& objects,
                                   std::vector<std::string>& jobs) const;
  void applyActionToObject(const ObjectId& id, const schema::Action& action, LogIndex index,
                           const std::string& operatorName);
  void applyActionToHall(const std::string& hall, LogIndex index, const schema::Command& command);
  void applyActionToJob(schema::Job& job, const schema::Action& action);
  const schema::KeptReply* keptReply(const std::string& commandId) const;
  void keepReply(const schema::Command& command, const schema::CommandReply& reply);
  void expire(std::uint64_t nowMs);
  void markChanged(const std::string& jobId) { m_changedJobs.insert(jobId); }

  StateLimits m_limits;
  ObjectTable m_objects;
  ClaimTable m_claims;
  WorkflowTable m_workflows;
  HallDrains m_hallDrains;
  std::map<std::string, schema::Job> m_jobs;
  std::map<std::pair<std::string, std::string>, std::string> m_jobByRequest;  ///< by workspace and request id
  std::deque<std::pair<std::uint64_t, std::string>> m_endedJobs;   ///< time of the end and job id, oldest first
  std::map<std::string, schema::KeptReply> m_replies;              ///< by command id
  std::deque<std::pair<std::uint64_t, std::string>> m_replyOrder;  ///< time and command id, oldest first
  std::set<std::string> m_changedJobs;
  std::uint64_t m_nextLease = 1;
  std::uint64_t m_nextJob = 1;
};

/** \returns whether a job has ended: finished, cancelled or lost. */
bool isEnded(schema::JobPhase phase);
/** \returns the 128-bit XXH3 hash of a message's deterministic serialization, as 16 bytes. */
std::string digestOf(const google::protobuf::Message& message);

}  // namespace courseloom
