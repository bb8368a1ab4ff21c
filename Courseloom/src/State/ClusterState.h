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
 * \brief Bounds that every replica must hold to alike; they come from the cluster's settings.
 */
struct StateLimits {
  std::size_t maxAnswerBytes = 65536;
  std::uint64_t retentionMs = 7ULL * 24 * 3600 * 1000;
  std::uint64_t workflowRetentionMs = 300ULL * 1000;
};

/** \class ClusterState
 * \brief The replicated state machine: configuration, claims, jobs and remembered command ids.
 *
 * apply() depends on nothing but the state, the entry and its index, so every replica comes to the same state.
 */
class ClusterState {
 public:
  explicit ClusterState(StateLimits limits = {}) : m_limits(limits), m_workflows(limits.workflowRetentionMs) {}

  /** Applies one committed command. A command whose id was seen gets its first reply and changes nothing. */
  schema::CommandReply apply(LogIndex index, const schema::Command& command);
  /** Says what a command would do, without doing it: for dry runs and early refusals. */
  schema::CommandReply preview(const schema::Command& command) const;

  /** \returns whether a command id was seen, so that the command would only get its first reply again. */
  bool knowsCommand(const std::string& commandId) const { return keptReply(commandId) != nullptr; }

  const ObjectTable& objects() const { return m_objects; }
  const ClaimTable& claims() const { return m_claims; }
  const WorkflowTable& workflows() const { return m_workflows; }
  WorkflowTable& workflows() { return m_workflows; }
  const HallDrains& hallDrains() const { return m_hallDrains; }
  const std::map<std::string, schema::Job>& jobs() const { return m_jobs; }
  const schema::Job* job(const std::string& id) const;
  /** \returns jobs changed since the last call, for the scheduler; each id once. */
  std::set<std::string> takeChangedJobs();
  std::uint64_t nextLease() const { return m_nextLease; }

  std::string save() const;
  Result<void> load(const std::string& bytes);

 private:
  schema::CommandReply applyNew(LogIndex index, const schema::Command& command);
  schema::CommandReply applyObjects(LogIndex index, const schema::Command& command);
  schema::CommandReply removeObject(LogIndex index, const schema::Command& command);
  schema::CommandReply act(LogIndex index, const schema::Command& command);
  schema::CommandReply submit(const schema::Command& command);
  schema::CommandReply cancel(const schema::Command& command);
  schema::CommandReply changeJob(const schema::Command& command);
  schema::CommandReply applyToWorkflows(const schema::Command& command);
  schema::CommandReply matchAction(const schema::Action& action, std::vector<ObjectId>& objects,
                                   std::vector<std::string>& jobs) const;
  void actOnObject(const ObjectId& id, const schema::Action& action, LogIndex index, const std::string& operatorName);
  void actOnHall(const std::string& hall, LogIndex index, const schema::Command& command);
  void actOnJob(schema::Job& job, const schema::Action& action);
  const schema::KeptReply* keptReply(const std::string& commandId) const;
  void keepReply(const schema::Command& command, const schema::CommandReply& reply);
  void expire(std::uint64_t nowMs);
  void touch(const std::string& jobId) { m_changedJobs.insert(jobId); }

  StateLimits m_limits;
  ObjectTable m_objects;
  ClaimTable m_claims;
  WorkflowTable m_workflows;
  HallDrains m_hallDrains;
  std::map<std::string, schema::Job> m_jobs;
  std::map<std::pair<std::string, std::string>, std::string> m_jobByRequest;
  std::deque<std::pair<std::uint64_t, std::string>> m_endedJobs;
  std::map<std::string, schema::KeptReply> m_replies;
  std::deque<std::pair<std::uint64_t, std::string>> m_replyOrder;
  std::set<std::string> m_changedJobs;
  std::uint64_t m_nextLease = 1;
  std::uint64_t m_nextJob = 1;
};

/** \returns whether a job has come to its end. */
bool isEnded(schema::JobPhase phase);
/** \returns a digest of a message, by its serialized bytes. */
std::string digestOf(const google::protobuf::Message& message);

}  // namespace courseloom
