// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/QueueHandler.h"

#include "Courseloom/src/Control/StrandSlice.h"
#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Scheduling/Objective.h"
#include "Courseloom/src/State/WorkflowSize.h"

namespace courseloom {

namespace internal {
namespace {
constexpr Duration CommitLimit = milliseconds(3000);
/** Longest id of a workflow, bytes. */
constexpr std::size_t MaxIdBytes = 64;
/** Time after which a caller whose workflow did not fit into the memory should come back, ms: some runs will have ended
 * by then. */
constexpr std::uint32_t RetryWithoutMemoryMs = 5000;

/** \returns the number of tasks of one occurrence. */
std::uint64_t tasks_of(const schema::WorkflowSpec& spec) {
  std::uint64_t tasks = 0;
  for (const schema::StepSpec& step : spec.steps()) tasks += step.count();
  return tasks;
}

AdmissionOptions admission_options(const schema::PolicySettings& policy) {
  AdmissionOptions options;
  options.margin = policy.admission_margin();
  return options;
}
}  // namespace
}  // namespace internal

QueueHandler::QueueHandler(const DaemonContext& context, ReplicaDriver& driver, AdmissionSource& admission,
                           std::uint64_t workBytes)
    : m_context(context),
      m_driver(driver),
      m_admission(admission),
      m_review(internal::admission_options(context.settings.policy())),
      m_work(workBytes),
      m_random(std::random_device()()) {}

void QueueHandler::lead(bool leads) {
  if (!m_context.settings.policy().admission()) return;
  const std::size_t places = m_review.clear();
  // A new leader does not know whether its predecessor rejected callers; without a configuration there were none.
  const bool lost = leads ? table().configured() : places > 0;
  if (lost) logEvent(schema::ReturnPlacesLost, {{"leads", leads ? "yes" : "no"}, {"places", std::uint64_t{places}}});
}

// ---- queue calls

const schema::Queue* QueueHandler::findQueue(const schema::QueueCall& call, std::string& id) const {
  const schema::Queue* found = nullptr;
  for (const schema::Queue& queue : table().configuration().queues()) {
    if (queue.host() != call.host() || call.path().rfind(queue.path_prefix(), 0) != 0) continue;
    if (found == nullptr || queue.path_prefix().size() > found->path_prefix().size()) found = &queue;
  }
  if (found != nullptr) id = call.path().substr(found->path_prefix().size());
  return found;
}

Result<std::string> QueueHandler::tenantOf(const schema::Queue& queue, const schema::QueueCall& call) const {
  for (const schema::Tenant& tenant : table().configuration().tenants()) {
    for (const std::string& key : tenant.keys()) {
      if (!call.key().empty() && key == call.key()) return tenant.name();
    }
  }
  if (queue.public_access()) return std::string();
  return fail(Failure{FailureCode::UnknownWorkspace, Ran::No, "authorise", "", "the key belongs to no tenant", 0});
}

Awaitable<Result<schema::QueueAnswer>> QueueHandler::call(schema::QueueCall call) {
  if (!leads()) co_return fail(m_driver.noLeader("queue"));
  schema::QueueAnswer answer;
  if (!table().configured()) {
    answer.set_outcome(schema::QueueUnconfigured);
    co_return answer;
  }
  std::string id;
  const schema::Queue* queue = findQueue(call, id);
  if (queue == nullptr) {
    answer.set_outcome(schema::QueueUnknown);
    co_return answer;
  }
  Result<std::string> tenant = tenantOf(*queue, call);
  if (!tenant) {
    answer.set_outcome(schema::QueueUnauthorised);
    co_return answer;
  }
  if (call.kind() == schema::QueueSubmit) co_return co_await submit(call, *queue, *tenant, id);
  if (call.kind() == schema::QueueCancel) co_return co_await cancel(*tenant, id);
  if (!id.empty()) co_return stateOf(*tenant, id);
  answer.set_outcome(schema::QueueAnswered);
  answer.set_counted(true);
  answer.set_pending(pendingOf(*queue));
  co_return answer;
}

Awaitable<Result<schema::QueueAnswer>> QueueHandler::submit(const schema::QueueCall& call, const schema::Queue& queue,
                                                            std::string tenant, std::string id) {
  schema::QueueAnswer answer;
  if (!call.unreadable().empty() || id.empty()) {
    answer.set_outcome(schema::QueueInvalid);
    answer.set_detail(id.empty() ? "the path names no workflow" : call.unreadable());
    co_return answer;
  }
  if (id.size() > internal::MaxIdBytes) {
    answer.set_outcome(schema::QueueInvalid);
    answer.set_detail("the id of the workflow is too long");
    co_return answer;
  }
  answer.set_outcome(schema::QueueAccepted);
  if (table().find(id) != nullptr) co_return answer;
  schema::Command command;
  schema::Workflow& workflow = *command.mutable_submit_workflow()->mutable_workflow();
  workflow.set_id(id);
  *workflow.mutable_spec() = call.spec();
  workflow.set_queue(queue.name());
  workflow.set_tenant(tenant);
  workflow.set_service(queue.service());
  workflow.set_priority(queue.priority());
  workflow.set_max_attempts(std::max(1U, queue.max_attempts()));
  workflow.set_stretch(queue.stretch());
  workflow.set_latency_target_ms(queue.latency_target_ms());
  workflow.set_queue_host(queue.host());
  workflow.set_queue_path_prefix(queue.path_prefix());
  if (queue.has_advice()) *workflow.mutable_advice() = queue.advice();
  const std::uint64_t bytes = workflowBytes(workflow);
  const bool mayReject = !m_work.isPending(id);
  if (mayReject && (exceedsMemory(workflow, bytes, answer) || rejects(workflow, answer))) co_return answer;
  const WorkLimit::Commit committing(m_work, workflow, bytes);
  // The configuration may change during the commit, and the queue with it.
  const std::string queueName = queue.name();  // NOLINT(performance-unnecessary-copy-initialization)
  const Time before = BootClock::now();
  Result<schema::CommandReply> reply =
      co_await m_driver.submit(std::move(command), BootClock::now() + internal::CommitLimit);
  if (!reply) co_return fail(extractFailure(reply));
  const double tookMs = toMilliseconds(BootClock::now() - before);
  m_context.metrics.record("workflow_accept_ms", tenant, queueName, tookMs);
  logEvent(schema::WorkflowAccepted, {{"workflow", id},
                                      {"queue", queueName},
                                      {"tenant", tenant},
                                      {"tasks", internal::tasks_of(call.spec())},
                                      {"accelerators", widestAccelerators(call.spec())},
                                      {"configuration", table().configuration().version()},
                                      {"tookMs", static_cast<std::uint64_t>(tookMs)}});
  co_return answer;
}

/** Decides whether a workflow that is not known yet fits into the memory of the replicas. \param answer set to the
 * answer of a rejection */
bool QueueHandler::exceedsMemory(const schema::Workflow& workflow, std::uint64_t bytes,
                                 schema::QueueAnswer& answer) const {
  m_context.metrics.set("accepted_work_bytes", static_cast<double>(table().heldBytes()));
  if (m_work.admits(table(), workflow.tenant(), bytes)) return false;
  m_context.metrics.count("workflow_rejections", "memory");
  m_context.metrics.count("workflow_rejections_by_workspace", workflow.tenant());
  logEvent(schema::WorkflowExceedsMemory, {{"workflow", workflow.id()},
                                           {"queue", workflow.queue()},
                                           {"tenant", workflow.tenant()},
                                           {"bytes", bytes},
                                           {"heldByTenant", table().heldBytes(workflow.tenant())},
                                           {"held", table().heldBytes()}});
  answer.set_outcome(schema::QueueBusy);
  answer.set_retry_after_ms(internal::RetryWithoutMemoryMs);
  answer.set_detail("the accepted work takes too much memory");
  return true;
}

/** Decides on the admission of a workflow that is not known yet. \param answer set to the answer of a rejection
 * \returns whether it is rejected */
bool QueueHandler::rejects(const schema::Workflow& workflow, schema::QueueAnswer& answer) {
  if (!m_context.settings.policy().admission()) return false;
  const StretchTimer timer(m_context, "admission");
  const std::optional<AdmissionInput> input = m_admission.admissionInput(workflow);
  if (!input) return false;
  const auto nowMs = static_cast<std::uint64_t>(toMilliseconds(BootClock::now().time_since_epoch()));
  const double spread = std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
  const AdmissionVerdict verdict = m_review.decide(workflow.id(), workflow.service(), *input, nowMs, spread);
  m_context.metrics.set("return_places", static_cast<double>(m_review.places()));
  if (verdict.accepted()) {
    m_admission.addToBacklog(workflow.service(), input->submission);
    return false;
  }
  const std::string reason = reasonName(verdict.reason);
  m_context.metrics.count("workflow_rejections", reason);
  m_context.metrics.count("workflow_rejections_by_workspace", workflow.tenant());
  logEvent(schema::WorkflowRejected, {{"workflow", workflow.id()},
                                      {"queue", workflow.queue()},
                                      {"tenant", workflow.tenant()},
                                      {"reason", reason},
                                      {"expectedStartMs", static_cast<std::uint64_t>(verdict.expectedStartMs)},
                                      {"retryAfterMs", std::uint64_t{verdict.retryAfterMs}}});
  answer.set_outcome(schema::QueueBusy);
  answer.set_retry_after_ms(verdict.retryAfterMs);
  answer.set_detail("the backlog is too long: " + reason);
  return true;
}

Awaitable<Result<schema::QueueAnswer>> QueueHandler::cancel(const std::string& tenant, std::string id) {
  schema::QueueAnswer answer = stateOf(tenant, id);
  if (answer.outcome() == schema::WorkflowUnknown || isEnded(answer.phase())) co_return answer;
  schema::Command command;
  command.mutable_cancel_workflow()->set_id(id);
  Result<schema::CommandReply> reply =
      co_await m_driver.submit(std::move(command), BootClock::now() + internal::CommitLimit);
  if (!reply) co_return fail(extractFailure(reply));
  logEvent(schema::WorkflowCancelledByCaller, {{"workflow", id}});
  answer.set_phase(schema::WorkflowCancelled);
  co_return answer;
}

schema::QueueAnswer QueueHandler::stateOf(const std::string& tenant, const std::string& id) const {
  schema::QueueAnswer answer;
  const WorkflowState* workflow = table().find(id);
  const bool visible = workflow != nullptr &&
                       (tenant.empty() || workflow->record.tenant().empty() || workflow->record.tenant() == tenant);
  if (!visible) {
    answer.set_outcome(schema::WorkflowUnknown);
    return answer;
  }
  answer.set_outcome(schema::QueueAnswered);
  answer.set_phase(workflow->record.phase());
  return answer;
}

/** \returns the number of workflows of a queue none of whose tasks has begun. Callers know a queue by its host and path
 * prefix, so workflows count that were accepted there under another name. */
std::uint32_t QueueHandler::pendingOf(const schema::Queue& queue) const {
  std::uint32_t pending = 0;
  for (const std::string& id : table().open()) {
    const schema::Workflow& record = table().find(id)->record;
    const bool samePath = record.queue_host() == queue.host() && record.queue_path_prefix() == queue.path_prefix();
    const bool own = samePath || record.queue() == queue.name();
    if (own && record.phase() == schema::WorkflowQueued) ++pending;
  }
  return pending;
}

// ---- configuration

Awaitable<Result<void>> QueueHandler::putConfiguration(schema::QueueConfiguration configuration) {
  if (!leads()) co_return fail(m_driver.noLeader("put configuration"));
  if (configuration.version() <= table().configuration().version()) co_return Result<void>();
  const std::uint64_t version = configuration.version();
  schema::Command command;
  *command.mutable_put_configuration()->mutable_configuration() = std::move(configuration);
  Result<schema::CommandReply> reply =
      co_await m_driver.submit(std::move(command), BootClock::now() + internal::CommitLimit);
  if (!reply) co_return fail(extractFailure(reply));
  logEvent(schema::ConfigurationAccepted, {{"version", version}});
  co_return Result<void>();
}

Awaitable<Result<void>> QueueHandler::drainHall(std::string hall, bool drained) {
  if (!leads()) co_return fail(m_driver.noLeader("drain hall"));
  if (!isHallName(hall)) {
    co_return fail(
        Failure{FailureCode::BadRequest, Ran::No, "drain hall", "", "'" + hall + "' cannot name a data hall", 0});
  }
  // The state of a leader that can read is committed, so a retried order needs no further change.
  if (m_driver.state().hallDrains().contains(hall) == drained) co_return Result<void>();
  schema::Command command;
  command.set_operator_name("platform");
  command.mutable_action()->set_kind(drained ? schema::Drain : schema::Resume);
  command.mutable_action()->set_selector("kind=hall,hall=" + hall);
  command.mutable_action()->add_halls(hall);
  Result<schema::CommandReply> reply =
      co_await m_driver.submit(std::move(command), BootClock::now() + internal::CommitLimit);
  if (!reply) co_return fail(extractFailure(reply));
  co_return Result<void>();
}

Awaitable<Result<schema::QueueConfiguration>> QueueHandler::readConfiguration() {
  if (!leads()) co_return fail(m_driver.noLeader("read configuration"));
  co_return table().configuration();
}

}  // namespace courseloom
