// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/ClusterState.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <xxhash.h>

#include <algorithm>

#include "Courseloom/src/State/StateWriter.h"

namespace courseloom {

namespace internal {
namespace {

schema::CommandReply refusal(const Failure& failure) {
  schema::CommandReply reply;
  *reply.mutable_failure() = toInfo(failure);
  return reply;
}

schema::CommandReply refusal(Result<void>& checked) { return refusal(extractFailure(checked)); }

}  // namespace
}  // namespace internal

std::string digestOf(const google::protobuf::Message& message) {
  std::string bytes;
  {
    google::protobuf::io::StringOutputStream stream(&bytes);
    google::protobuf::io::CodedOutputStream coded(&stream);
    coded.SetSerializationDeterministic(true);
    message.SerializeToCodedStream(&coded);
  }
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return std::string(reinterpret_cast<const char*>(&hash), sizeof(hash));
}

bool isEnded(schema::JobPhase phase) {
  return phase == schema::JobFinished || phase == schema::JobCancelled || phase == schema::JobLost;
}

const schema::Job* ClusterState::job(const std::string& id) const {
  const auto found = m_jobs.find(id);
  return found == m_jobs.end() ? nullptr : &found->second;
}

std::set<std::string> ClusterState::consumeChangedJobs() {
  std::set<std::string> changed = std::move(m_changedJobs);
  m_changedJobs.clear();
  return changed;
}

const schema::KeptReply* ClusterState::keptReply(const std::string& commandId) const {
  const auto found = commandId.empty() ? m_replies.end() : m_replies.find(commandId);
  return found == m_replies.end() ? nullptr : &found->second;
}

/** \returns a digest of those parts of a command that a retry repeats, so without its time. */
static std::string commandDigest(const schema::Command& command) {
  schema::Command repeated = command;
  repeated.clear_time_ms();
  // The data halls are filled in by the leader from what it knows at that time, and are not part of the request.
  if (repeated.has_action()) repeated.mutable_action()->clear_halls();
  return digestOf(repeated);
}

schema::CommandReply ClusterState::apply(LogIndex index, const schema::Command& command) {
  if (const schema::KeptReply* kept = keptReply(command.command_id())) {
    if (kept->digest() != commandDigest(command)) {
      return internal::refusal(Failure{FailureCode::CommandIdReused, Ran::No, "apply", "",
                                       "command id '" + command.command_id() + "' was used for another command", 0});
    }
    schema::CommandReply reply = kept->reply();
    reply.set_replayed(true);
    return reply;
  }
  schema::CommandReply reply = applyNew(index, command);
  if (!command.command_id().empty()) keepReply(command, reply);
  expire(command.time_ms());
  return reply;
}

void ClusterState::keepReply(const schema::Command& command, const schema::CommandReply& reply) {
  schema::KeptReply& kept = m_replies[command.command_id()];
  kept.set_command_id(command.command_id());
  kept.set_digest(commandDigest(command));
  kept.set_time_ms(command.time_ms());
  *kept.mutable_reply() = reply;
  m_replyOrder.emplace_back(command.time_ms(), command.command_id());
}

void ClusterState::expire(std::uint64_t nowMs) {
  m_workflows.expire(nowMs);
  if (nowMs < m_limits.retentionMs) return;
  const std::uint64_t before = nowMs - m_limits.retentionMs;
  m_claims.expire(before);
  while (!m_replyOrder.empty() && m_replyOrder.front().first < before) {
    m_replies.erase(m_replyOrder.front().second);
    m_replyOrder.pop_front();
  }
  while (!m_endedJobs.empty() && m_endedJobs.front().first < before) {
    const auto found = m_jobs.find(m_endedJobs.front().second);
    if (found != m_jobs.end()) {
      m_jobByRequest.erase({found->second.spec().workspace(), found->second.spec().request_id()});
      m_jobs.erase(found);
    }
    m_endedJobs.pop_front();
  }
}

schema::CommandReply ClusterState::applyNew(LogIndex index, const schema::Command& command) {
  switch (command.change_case()) {
    case schema::Command::kApply:
      return applyObjects(index, command);
    case schema::Command::kRemove:
      return removeObject(index, command);
    case schema::Command::kAction:
      return applyAction(index, command);
    case schema::Command::kOpenClaim:
      return m_claims.open(command.open_claim(), command.time_ms());
    case schema::Command::kEndClaim:
      return m_claims.end(command.end_claim(), command.time_ms(), m_limits.maxAnswerBytes);
    case schema::Command::kSubmit:
      return submit(command);
    case schema::Command::kCancel:
      return cancel(command);
    case schema::Command::kChangeJob:
      return changeJob(command);
    case schema::Command::kPutConfiguration:
    case schema::Command::kSubmitWorkflow:
    case schema::Command::kCancelWorkflow:
    case schema::Command::kRecordRuns:
      return applyToWorkflows(command);
    case schema::Command::CHANGE_NOT_SET:
      break;
  }
  return internal::refusal(Failure{FailureCode::BadRequest, Ran::No, "apply", "", "an empty command", 0});
}

schema::CommandReply ClusterState::preview(const schema::Command& command) const {
  schema::CommandReply reply;
  Result<void> checked;
  if (command.has_apply()) checked = m_objects.check(command.apply());
  if (command.has_remove()) checked = m_objects.checkRemoval(command.remove());
  if (!checked) return internal::refusal(checked);
  std::vector<ObjectId> objects;
  std::vector<std::string> jobs;
  if (command.has_action()) return matchAction(command.action(), objects, jobs);
  return reply;
}

schema::CommandReply ClusterState::applyObjects(LogIndex index, const schema::Command& command) {
  Result<void> checked = m_objects.check(command.apply());
  if (!checked) return internal::refusal(checked);
  m_objects.apply(command.apply(), index, command.operator_name());
  schema::CommandReply reply;
  reply.set_revision(index);
  return reply;
}

schema::CommandReply ClusterState::removeObject(LogIndex index, const schema::Command& command) {
  Result<void> checked = m_objects.checkRemoval(command.remove());
  if (!checked) return internal::refusal(checked);
  m_objects.remove(command.remove().key(), index, command.operator_name());
  schema::CommandReply reply;
  reply.set_revision(index);
  return reply;
}

// ---- actions of operators

schema::CommandReply ClusterState::matchAction(const schema::Action& action, std::vector<ObjectId>& objects,
                                               std::vector<std::string>& jobs) const {
  Result<Selector> selector = Selector::parse(action.selector());
  if (!selector) return internal::refusal(extractFailure(selector));
  schema::CommandReply reply;
  const bool forJobsOnly = action.kind() == schema::Reshape;
  for (const auto& [id, object] : m_objects.objects()) {
    if (forJobsOnly || !selector->matches(labelsOf(object))) continue;
    objects.push_back(id);
    reply.add_matched(id.first + "/" + id.second);
  }
  for (const auto& [id, job] : m_jobs) {
    if (isEnded(job.phase()) || !selector->matches(labelsOf(job))) continue;
    jobs.push_back(id);
    reply.add_matched("job/" + id);
  }
  for (const std::string& hall : action.halls()) reply.add_matched("hall/" + hall);
  return reply;
}

schema::CommandReply ClusterState::applyAction(LogIndex index, const schema::Command& command) {
  std::vector<ObjectId> objects;
  std::vector<std::string> jobs;
  schema::CommandReply reply = matchAction(command.action(), objects, jobs);
  if (reply.has_failure()) return reply;
  for (const ObjectId& id : objects) applyActionToObject(id, command.action(), index, command.operator_name());
  for (const std::string& id : jobs) applyActionToJob(m_jobs.at(id), command.action());
  for (const std::string& hall : command.action().halls()) applyActionToHall(hall, index, command);
  reply.set_revision(objects.empty() ? m_objects.revision() : index);
  return reply;
}

void ClusterState::applyActionToObject(const ObjectId& id, const schema::Action& action, LogIndex index,
                                       const std::string& operatorName) {
  schema::Object object = *m_objects.find(id.first, id.second);
  switch (action.kind()) {
    case schema::Pause:
      object.set_paused(true);
      break;
    case schema::Resume:
      object.set_paused(false);
      object.set_draining(false);
      break;
    case schema::Drain:
      object.set_draining(true);
      break;
    case schema::Prioritise:
      object.set_urgency(action.urgency());
      break;
    default:
      return;
  }
  m_objects.put(std::move(object), index, operatorName);
}

void ClusterState::applyActionToHall(const std::string& hall, LogIndex index, const schema::Command& command) {
  if (command.action().kind() == schema::Drain)
    m_hallDrains.add(hall, command.time_ms(), command.operator_name(), index);
  if (command.action().kind() == schema::Resume) m_hallDrains.remove(hall);
}

void ClusterState::applyActionToJob(schema::Job& job, const schema::Action& action) {
  switch (action.kind()) {
    case schema::Pause:
    case schema::Drain:
      job.set_paused(true);
      break;
    case schema::Resume:
      job.set_paused(false);
      break;
    case schema::Prioritise:
      job.mutable_spec()->set_urgency(action.urgency());
      break;
    case schema::Reshape:
      *job.mutable_spec()->mutable_shape() = action.shape();
      break;
    default:
      return;
  }
  markChanged(job.id());
}

// ---- jobs

schema::CommandReply ClusterState::submit(const schema::Command& command) {
  const schema::JobSpec& spec = command.submit().spec();
  if (m_objects.find("workspace", spec.workspace()) == nullptr) {
    return internal::refusal(Failure{FailureCode::UnknownWorkspace, Ran::No, "submit", "",
                                     "workspace '" + spec.workspace() + "' does not exist", 0});
  }
  if (m_objects.find("service", spec.service()) == nullptr) {
    return internal::refusal(Failure{FailureCode::UnknownService, Ran::No, "submit", "",
                                     "service '" + spec.service() + "' does not exist", 0});
  }
  schema::CommandReply reply;
  const std::pair<std::string, std::string> request{spec.workspace(), spec.request_id()};
  const auto known = spec.request_id().empty() ? m_jobByRequest.end() : m_jobByRequest.find(request);
  if (known != m_jobByRequest.end()) {
    const schema::Job& first = m_jobs.at(known->second);
    if (first.spec_digest() != digestOf(spec)) {
      return internal::refusal(Failure{FailureCode::RequestIdReused, Ran::No, "submit", "",
                                       "request id '" + spec.request_id() + "' was used for another job", 0});
    }
    *reply.mutable_job() = first;
    reply.set_replayed(true);
    return reply;
  }
  const std::string id = "job-" + std::to_string(m_nextJob++);
  schema::Job& job = m_jobs[id];
  job.set_id(id);
  *job.mutable_spec() = spec;
  job.set_spec_digest(digestOf(spec));
  job.set_submitted_ms(command.time_ms());
  if (!spec.request_id().empty()) m_jobByRequest[request] = id;
  markChanged(id);
  *reply.mutable_job() = job;
  return reply;
}

schema::CommandReply ClusterState::cancel(const schema::Command& command) {
  const auto found = m_jobs.find(command.cancel().id());
  if (found == m_jobs.end()) {
    return internal::refusal(
        Failure{FailureCode::NotFound, Ran::No, "cancel", "", "job '" + command.cancel().id() + "' does not exist", 0});
  }
  schema::Job& job = found->second;
  if (!isEnded(job.phase())) {
    job.set_cancel_wanted(true);
    if (job.phase() == schema::JobQueued) {
      job.set_phase(schema::JobCancelled);
      job.set_ended_ms(command.time_ms());
      m_endedJobs.emplace_back(command.time_ms(), job.id());
    }
    markChanged(job.id());
  }
  schema::CommandReply reply;
  *reply.mutable_job() = job;
  return reply;
}

schema::CommandReply ClusterState::changeJob(const schema::Command& command) {
  const schema::ChangeJob& change = command.change_job();
  const auto found = m_jobs.find(change.job().id());
  const bool fits = found != m_jobs.end() && found->second.phase() == change.from();
  if (!fits) {
    return internal::refusal(Failure{FailureCode::Conflict, Ran::No, "change job", "",
                                     "job '" + change.job().id() + "' is no longer in that phase", 0});
  }
  const auto& leases = change.job().leases();
  const bool leaseReused = change.from() == schema::JobQueued &&
                           std::any_of(leases.begin(), leases.end(),
                                       [this](const schema::Lease& lease) { return lease.number() < m_nextLease; });
  if (leaseReused) {
    return internal::refusal(Failure{FailureCode::Conflict, Ran::No, "change job", "",
                                     "job '" + change.job().id() + "' names a lease that was given before", 0});
  }
  schema::Job next = change.job();
  // Callers and operators decide the spec, the pause and the cancellation; the scheduler's copy of these may be
  // outdated.
  *next.mutable_spec() = found->second.spec();
  next.set_paused(found->second.paused());
  next.set_cancel_wanted(found->second.cancel_wanted());
  for (const schema::Lease& lease : next.leases()) m_nextLease = std::max(m_nextLease, lease.number() + 1);
  if (isEnded(next.phase())) {
    next.set_ended_ms(command.time_ms());
    m_endedJobs.emplace_back(command.time_ms(), next.id());
  }
  found->second = std::move(next);
  markChanged(found->first);
  schema::CommandReply reply;
  *reply.mutable_job() = found->second;
  return reply;
}

// ---- workflows

schema::CommandReply ClusterState::applyToWorkflows(const schema::Command& command) {
  schema::CommandReply reply;
  if (command.has_put_configuration()) {
    m_workflows.putConfiguration(command.put_configuration().configuration());
  } else if (command.has_submit_workflow()) {
    reply.set_replayed(!m_workflows.submit(command.submit_workflow().workflow(), command.time_ms()));
  } else if (command.has_cancel_workflow()) {
    const std::string& id = command.cancel_workflow().id();
    if (!m_workflows.cancel(id, command.time_ms())) {
      return internal::refusal(
          Failure{FailureCode::NotFound, Ran::No, "cancel", "", "workflow '" + id + "' does not exist", 0});
    }
  } else {
    m_workflows.record(command.record_runs(), command.time_ms());
  }
  return reply;
}

// ---- snapshots

std::string ClusterState::save() const {
  StateWriter writer(*this);
  writer.advance([] { return false; });
  return writer.finish();
}

void ClusterState::saveWithoutWorkflows(schema::StateSnapshot& snapshot) const {
  m_objects.save(snapshot);
  m_claims.save(snapshot);
  m_workflows.saveWithoutWorkflows(snapshot);
  m_hallDrains.save(snapshot);
  for (const auto& [id, job] : m_jobs) *snapshot.add_jobs() = job;
  for (const auto& [time, id] : m_replyOrder) {
    const auto kept = m_replies.find(id);
    if (kept != m_replies.end()) *snapshot.add_replies() = kept->second;
  }
  snapshot.set_next_lease(m_nextLease);
  snapshot.set_next_job(m_nextJob);
}

Result<void> ClusterState::load(const std::string& bytes) {
  schema::StateSnapshot snapshot;
  if (!snapshot.ParseFromString(bytes)) {
    return fail(Failure{FailureCode::StorageDamaged, Ran::No, "load state", "", "the snapshot is not readable", 0});
  }
  *this = ClusterState(m_limits);
  m_objects.load(snapshot);
  m_claims.load(snapshot);
  m_workflows.load(snapshot);
  m_hallDrains.load(snapshot);
  std::multimap<std::uint64_t, std::string> ended;
  for (const schema::Job& job : snapshot.jobs()) {
    m_jobs[job.id()] = job;
    const std::string& request = job.spec().request_id();
    if (!request.empty()) m_jobByRequest[{job.spec().workspace(), request}] = job.id();
    if (isEnded(job.phase())) ended.emplace(job.ended_ms(), job.id());
    markChanged(job.id());
  }
  m_endedJobs.assign(ended.begin(), ended.end());
  for (const schema::KeptReply& kept : snapshot.replies()) {
    m_replies[kept.command_id()] = kept;
    m_replyOrder.emplace_back(kept.time_ms(), kept.command_id());
  }
  m_nextLease = std::max<std::uint64_t>(1, snapshot.next_lease());
  m_nextJob = std::max<std::uint64_t>(1, snapshot.next_job());
  return {};
}

}  // namespace courseloom
