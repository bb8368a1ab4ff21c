// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/JobRunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/channel.hpp>

#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {

constexpr Duration ReserveLimit = milliseconds(2000);
constexpr Duration StartLimit = milliseconds(5000);
/** Pause before an unanswered order is retried. */
constexpr Duration OrderRetryPause = milliseconds(50);
/** Pause before a refused or unanswered stop is retried: the platform may be overloaded. */
constexpr Duration StopRetryPause = milliseconds(200);
constexpr Duration CommitLimit = milliseconds(5000);

SchedulerOptions scheduler_options(const schema::ControlSettings& control) {
  SchedulerOptions options;
  options.fragmentationWeight = control.fragmentation_weight();
  return options;
}

std::string platform_address(const schema::Settings& settings) {
  return settings.has_platform() ? settings.platform().address() : "127.0.0.1";
}

std::string class_of(const schema::Job& job) { return schema::Urgency_Name(job.spec().urgency()); }

bool all_are(const std::vector<schema::TaskPhase>& phases, schema::TaskPhase phase) {
  return std::all_of(phases.begin(), phases.end(), [phase](schema::TaskPhase p) { return p == phase; });
}

}  // namespace
}  // namespace internal

JobRunner::JobRunner(const DaemonContext& context, ControlStrand strand, ReplicaDriver& driver)
    : m_context(context),
      m_strand(std::move(strand)),
      m_driver(driver),
      m_platform(context.io, internal::platform_address(context.settings), context.settings.platform().port(),
                 milliseconds(context.settings.platform().timeout_ms())),
      m_scheduler(internal::scheduler_options(context.settings.control())) {}

void JobRunner::start() {
  // Without the platform's interface no workers are known, and gangs stay queued.
  if (!m_context.settings.has_platform()) return;
  asio::co_spawn(m_strand, scheduleLoop(), asio::detached);
  asio::co_spawn(m_strand, pollLoop(), asio::detached);
}

void JobRunner::lead(bool leads) {
  m_leads = leads;
  m_reloadWanted = true;
  m_knowsWorkers = false;
  m_renewedAt.clear();
  m_leases.clear();
}

// ---- the scheduler's inputs

void JobRunner::reloadObjects() {
  const ObjectTable& objects = m_driver.state().objects();
  if (objects.revision() == m_objectsRevision) return;
  m_objectsRevision = objects.revision();
  std::vector<schema::Object> guarantees;
  std::set<std::string> workspaces;
  std::set<std::string> services;
  for (const auto& [id, object] : objects.objects()) {
    const bool held = object.paused() || object.draining();
    if (id.first == "guarantee" && !object.paused()) guarantees.push_back(object);
    if (id.first == "workspace" && held) workspaces.insert(id.second);
    if (id.first == "service" && held) services.insert(id.second);
  }
  m_scheduler.setGuarantees(guarantees);
  m_scheduler.setBlocked(std::move(workspaces), std::move(services));
}

void JobRunner::reloadJobs() {
  if (m_reloadWanted) {
    m_reloadWanted = false;
    for (const auto& [id, job] : m_driver.state().jobs()) m_scheduler.updateJob(job);
  }
  for (const std::string& id : m_driver.consumeChangedJobs()) {
    if (const schema::Job* job = m_driver.state().job(id)) m_scheduler.updateJob(*job);
  }
}

void JobRunner::onApplied() {
  reloadObjects();
  reloadJobs();
  if (!m_leads) return;
  resumeOpenGangs();
  decide();
}

/** Continues each gang that is reserving, starting or stopping. This includes gangs whose phase was abandoned while the
 * leader could not read. */
void JobRunner::resumeOpenGangs() {
  if (!leads()) return;
  for (const auto& [id, job] : m_driver.state().jobs()) {
    const bool stepOpen =
        job.phase() == schema::JobReserving || job.phase() == schema::JobStarting || job.phase() == schema::JobStopping;
    if (stepOpen) beginPhase(id);
  }
}

void JobRunner::applyInventory(const schema::PlatformReport& report) {
  std::set<std::string> names;
  for (const schema::Worker& worker : report.workers()) names.insert(worker.name());
  for (const std::string& name : m_workers) {
    if (names.count(name) == 0) logEvent(schema::WorkerLost, {{"worker", name}});
  }
  const bool changed = names != m_workers || !m_knowsWorkers;
  m_workers = std::move(names);
  if (changed) m_scheduler.setWorkers({report.workers().begin(), report.workers().end()});
  if (changed) {
    for (const auto& [id, job] : m_driver.state().jobs()) m_scheduler.updateJob(job);
  }
  m_knowsWorkers = true;
}

void JobRunner::applyReport(const schema::PlatformReport& report) {
  applyInventory(report);
  std::set<std::uint64_t> ownLeases;
  for (const auto& [id, job] : m_driver.state().jobs()) {
    if (isEnded(job.phase())) continue;
    for (const schema::Lease& lease : job.leases()) ownLeases.insert(lease.number());
  }
  std::map<std::string, WorkerCapacity> foreign;
  m_leases.clear();
  for (const schema::LeaseReport& lease : report.leases()) {
    m_leases[lease.number()] = lease;
    const bool live = lease.phase() == schema::TaskRunning || lease.phase() == schema::TaskReserved;
    if (!live || ownLeases.count(lease.number()) > 0) continue;
    // The lease is newer than this leader's applied state, or belongs to no job; its resources are not free either way.
    WorkerCapacity& used = foreign[lease.worker()];
    for (const std::uint32_t accelerator : lease.accelerators()) used.accelerators |= 1ULL << accelerator;
    used.cores += lease.used_cores();
    used.memoryMb += static_cast<std::int64_t>(lease.used_memory_mb());
    logEvent(schema::ForeignTask, {{"worker", lease.worker()}, {"lease", lease.number()}, {"job", lease.job()}});
  }
  m_scheduler.setForeign(foreign);
  m_leaving.clear();
  for (const schema::Instance& instance : report.instances()) {
    if (instance.leaving()) m_leaving.insert(instance.name());
  }
}

Awaitable<void> JobRunner::pollLoop() {
  const Duration interval = milliseconds(m_context.settings.platform().poll_ms());
  while (true) {
    if (leads()) {
      const Time sentAt = BootClock::now();
      Result<schema::PlatformReport> report = co_await m_platform.report();
      if (!report) {
        logFailure(schema::PlatformFailed, extractFailure(report));
      } else if (leads()) {
        m_reportSentAt = sentAt;
        applyReport(*report);
        reviewRunning();
        decide();
        logGuaranteeChanges();
      }
    }
    co_await sleepFor(interval);
  }
}

void JobRunner::logGuaranteeChanges() {
  for (const schema::GuaranteeStatus& status : m_scheduler.guaranteeStatus()) {
    const bool wasAtRisk = m_atRisk.count(status.name()) > 0;
    if (!status.witnessed() && !wasAtRisk) {
      m_atRisk.insert(status.name());
      logEvent(schema::GuaranteeAtRisk, {{"guarantee", status.name()}, {"reason", status.reason()}});
    } else if (status.witnessed() && wasAtRisk) {
      m_atRisk.erase(status.name());
      logEvent(schema::GuaranteeWitnessed, {{"guarantee", status.name()}});
    }
  }
  m_context.metrics.set("guarantees_at_risk", static_cast<double>(m_atRisk.size()));
  m_context.metrics.set("fragmentation", m_scheduler.fragmentation());
}

// ---- decisions

Awaitable<void> JobRunner::scheduleLoop() {
  const Duration interval = milliseconds(m_context.settings.control().schedule_ms());
  while (true) {
    resumeOpenGangs();
    decide();
    co_await sleepFor(interval);
  }
}

void JobRunner::decide() {
  if (!leads() || !m_knowsWorkers) return;
  const Time before = BootClock::now();
  const std::vector<Decision> decisions = m_scheduler.decide(wallClockMs());
  m_context.metrics.record("decision_ms", "all", "all", toMilliseconds(BootClock::now() - before));
  for (const Decision& decision : decisions) {
    if (decision.kind == DecisionKind::Place) {
      commitPlacement(decision);
    } else {
      reclaim(decision);
    }
  }
}

void JobRunner::commitPlacement(const Decision& decision) {
  const schema::Job* known = m_driver.state().job(decision.job);
  if (known == nullptr || known->phase() != schema::JobQueued || m_committing.count(decision.job) > 0) return;
  schema::Job job = *known;
  job.set_phase(schema::JobReserving);
  job.set_guarantee(decision.guarantee);
  job.set_term(m_driver.replica().term());
  job.set_started_ms(wallClockMs());
  job.clear_leases();
  m_nextLease = std::max(m_nextLease, m_driver.state().nextLease());
  for (const TaskPlace& place : decision.placement) {
    schema::Lease* lease = job.add_leases();
    lease->set_number(m_nextLease++);
    lease->set_worker(m_scheduler.topology().workers()[place.worker].name());
    lease->set_cores(static_cast<std::uint32_t>(place.part.cores));
    lease->set_memory_mb(static_cast<std::uint64_t>(place.part.memoryMb));
    for (std::uint32_t i = 0; i < 64; ++i) {
      if ((place.part.accelerators >> i) & 1U) lease->add_accelerators(i);
    }
  }
  logEvent(schema::JobPlaced,
           {{"job", job.id()}, {"guarantee", job.guarantee()}, {"tasks", std::uint64_t(job.leases_size())}});
  commit(std::move(job), schema::JobQueued);
}

void JobRunner::reclaim(const Decision& decision) {
  const schema::Job* known = m_driver.state().job(decision.job);
  if (known == nullptr || known->phase() != schema::JobRunning || m_committing.count(decision.job) > 0) return;
  schema::Job job = *known;
  job.set_phase(schema::JobStopping);
  job.set_note("reclaimed for " + decision.forJob);
  logEvent(schema::ReclaimOrdered, {{"job", job.id()}, {"forJob", decision.forJob}});
  commit(std::move(job), schema::JobRunning);
}

void JobRunner::commit(schema::Job job, schema::JobPhase from) {
  m_committing.insert(job.id());
  asio::co_spawn(m_strand, commitLater(std::move(job), from), asio::detached);
}

Awaitable<void> JobRunner::commitLater(schema::Job job, schema::JobPhase from) {
  const std::string id = job.id();
  const schema::Job copy = job;
  schema::Command command;
  *command.mutable_change_job()->mutable_job() = std::move(job);
  command.mutable_change_job()->set_from(from);
  Result<schema::CommandReply> reply =
      co_await m_driver.submit(std::move(command), BootClock::now() + internal::CommitLimit);
  m_committing.erase(id);
  if (reply && !reply->has_failure()) recordTimes(copy);
  // The change may have been refused or lost, so the scheduler's copy of the job is updated from the state.
  if (const schema::Job* current = m_driver.state().job(id)) m_scheduler.updateJob(*current);
}

void JobRunner::recordTimes(const schema::Job& job) {
  const std::string& workspace = job.spec().workspace();
  const auto now = static_cast<double>(wallClockMs());
  if (job.phase() == schema::JobRunning) {
    m_context.metrics.record("job_waiting_ms", workspace, internal::class_of(job),
                             now - static_cast<double>(job.submitted_ms()));
    logEvent(schema::JobStarted, {{"job", job.id()}, {"starts", std::uint64_t{job.starts()}}});
  } else if (isEnded(job.phase())) {
    m_context.metrics.record("job_completion_ms", workspace, internal::class_of(job),
                             now - static_cast<double>(job.submitted_ms()));
    logEvent(schema::JobEnded,
             {{"job", job.id()}, {"phase", schema::JobPhase_Name(job.phase())}, {"result", job.result()}});
  }
}

// ---- gangs

/** Checks each running gang: stops it if it has finished, is broken or was cancelled; renews its leases otherwise. */
void JobRunner::reviewRunning() {
  for (const auto& [id, job] : m_driver.state().jobs()) {
    if (job.phase() != schema::JobRunning || m_committing.count(id) > 0 || m_activePhases.count(id) > 0) continue;
    reviewJob(job);
  }
}

void JobRunner::reviewJob(const schema::Job& job) {
  // A report that was requested before the gang ran contains nothing about it.
  const auto since = m_runningSince.find(job.id());
  if (since == m_runningSince.end()) {
    m_runningSince[job.id()] = BootClock::now();
    return;
  }
  if (m_reportSentAt <= since->second) return;
  unsigned finished = 0;
  unsigned broken = 0;
  for (const schema::Lease& lease : job.leases()) {
    const auto report = m_leases.find(lease.number());
    const bool lost = report == m_leases.end() || m_workers.count(lease.worker()) == 0;
    if (!lost && report->second.phase() == schema::TaskFinished) ++finished;
    if (lost || (report->second.phase() != schema::TaskFinished && report->second.phase() != schema::TaskRunning))
      ++broken;
  }
  schema::Job next = job;
  next.set_phase(schema::JobStopping);
  if (finished == static_cast<unsigned>(job.leases_size())) {
    next.set_note("finished");
  } else if (broken > 0) {
    logEvent(schema::GangStopped, {{"job", job.id()}, {"members", std::uint64_t{broken}}});
    next.set_note("broken");
  } else if (job.cancel_wanted()) {
    next.set_note("cancelled");
  } else {
    const Duration renewal = milliseconds(m_context.settings.control().lease_ms()) / 3;
    const Time now = BootClock::now();
    if (now < m_renewedAt[job.id()] + renewal) return;
    m_renewedAt[job.id()] = now;
    asio::co_spawn(m_strand, renewAll(job), asio::detached);
    return;
  }
  commit(std::move(next), schema::JobRunning);
}

void JobRunner::beginPhase(const std::string& jobId) {
  if (!leads() || !m_activePhases.insert(jobId).second) return;
  asio::co_spawn(m_strand, runPhase(jobId), asio::detached);
}

Awaitable<void> JobRunner::runPhase(std::string jobId) {
  while (leads()) {
    const schema::Job* known = m_driver.state().job(jobId);
    if (known == nullptr) break;
    const schema::Job job = *known;
    if (job.phase() == schema::JobReserving) {
      co_await reserve(job);
    } else if (job.phase() == schema::JobStarting) {
      co_await launch(job);
    } else if (job.phase() == schema::JobStopping) {
      co_await stop(job);
    } else {
      break;
    }
  }
  m_activePhases.erase(jobId);
}

schema::LeaseOrder JobRunner::makeOrder(const schema::Job& job, const schema::Lease& lease,
                                        schema::OrderKind kind) const {
  schema::LeaseOrder order;
  order.set_kind(kind);
  order.set_number(lease.number());
  order.set_term(m_driver.replica().term());
  order.set_worker(lease.worker());
  order.set_job(job.id());
  *order.mutable_accelerators() = lease.accelerators();
  order.set_cores(lease.cores());
  order.set_memory_mb(lease.memory_mb());
  order.set_ttl_ms(m_context.settings.control().lease_ms());
  order.set_payload(job.spec().payload());
  order.set_checkpoint(job.checkpoint());
  order.set_run_ms(job.spec().expected_ms());
  return order;
}

/** Sends an order, and retries it under the same number until it is answered, the deadline has passed or this replica
 * ceases to lead. */
Awaitable<Result<schema::OrderReply>> JobRunner::orderUntil(schema::LeaseOrder order, Time deadline) {
  while (true) {
    Result<schema::OrderReply> reply = co_await m_platform.order(order);
    if (reply || BootClock::now() >= deadline || !leads()) co_return reply;
    co_await sleepFor(internal::OrderRetryPause);
  }
}

Awaitable<JobRunner::GangResult> JobRunner::orderAll(const schema::Job& job, schema::OrderKind kind, Duration limit,
                                                     Phases& phases, std::string* checkpoint) {
  const Time deadline = BootClock::now() + limit;
  const auto count = static_cast<std::size_t>(job.leases_size());
  asio::experimental::channel<void(boost::system::error_code, std::size_t)> done(m_strand, count);
  std::vector<std::optional<schema::OrderReply>> replies(count);
  for (std::size_t i = 0; i < count; ++i) {
    schema::LeaseOrder order = makeOrder(job, job.leases(static_cast<int>(i)), kind);
    auto one = [this, &done, &replies, i, order = std::move(order), deadline]() mutable -> Awaitable<void> {
      Result<schema::OrderReply> reply = co_await orderUntil(std::move(order), deadline);
      if (reply) replies[i] = std::move(*reply);
      done.try_send(boost::system::error_code(), i);
    };
    asio::co_spawn(m_strand, std::move(one), asio::detached);
  }
  for (std::size_t i = 0; i < count; ++i) co_await done.async_receive(asio::use_awaitable);
  GangResult result = GangResult::All;
  phases.clear();
  for (const auto& reply : replies) {
    phases.push_back(reply ? reply->phase() : schema::TaskExpired);
    if (reply && checkpoint != nullptr) *checkpoint = reply->checkpoint();
    if (!reply) {
      result = GangResult::Unreachable;
    } else if (!reply->accepted() && result == GangResult::All) {
      result = GangResult::Refused;
    }
  }
  co_return result;
}

Awaitable<void> JobRunner::reserve(schema::Job job) {
  Phases phases;
  const GangResult reserved = co_await orderAll(job, schema::Reserve, internal::ReserveLimit, phases);
  if (!leads()) co_return;
  const bool mayStart = reserved == GangResult::All && !job.cancel_wanted();
  schema::Job next = job;
  if (mayStart) {
    next.set_phase(schema::JobStarting);
    next.set_starts(job.starts() + 1);
  } else {
    Phases released;
    co_await stopAndRelease(job, released);
    if (!leads()) co_return;
    next.set_phase(job.cancel_wanted() ? schema::JobCancelled : schema::JobQueued);
    next.clear_leases();
    next.clear_guarantee();
  }
  co_await commitLater(std::move(next), schema::JobReserving);
}

Awaitable<void> JobRunner::launch(schema::Job job) {
  Phases phases;
  const GangResult started = co_await orderAll(job, schema::Start, internal::StartLimit, phases);
  if (!leads()) co_return;
  schema::Job next = job;
  if (started == GangResult::All) {
    next.set_phase(schema::JobRunning);
    next.set_started_ms(wallClockMs());
    m_runningSince[job.id()] = BootClock::now();
    m_renewedAt[job.id()] = BootClock::now();
  } else {
    logEvent(schema::GangStopped, {{"job", job.id()}, {"step", "start"}});
    next.set_phase(schema::JobStopping);
    next.set_note("broken");
  }
  co_await commitLater(std::move(next), schema::JobStarting);
}

Awaitable<void> JobRunner::renewAll(schema::Job job) {
  Phases phases;
  co_await orderAll(job, schema::Renew, milliseconds(m_context.settings.control().lease_ms()) / 3, phases);
}

Awaitable<bool> JobRunner::checkpointAll(schema::Job& job) {
  Phases phases;
  std::string checkpoint;
  const Duration limit = milliseconds(m_context.settings.control().checkpoint_limit_ms());
  const GangResult saved = co_await orderAll(job, schema::Checkpoint, limit, phases, &checkpoint);
  if (saved == GangResult::All) job.set_checkpoint(checkpoint);
  co_return saved == GangResult::All;
}

/** Stops every member and releases its lease. Stops are retried until each one is accepted, since no member may
 * continue to run, and a refused stop shows neither that the member has ended nor that it never started. */
Awaitable<void> JobRunner::stopAndRelease(const schema::Job& job, Phases& phases) {
  const Duration limit = milliseconds(m_context.settings.control().lease_ms());
  while (leads()) {
    const GangResult stopped = co_await orderAll(job, schema::Stop, limit, phases);
    if (stopped == GangResult::All) break;
    const char* const detail = stopped == GangResult::Refused ? "refused" : "no answer";
    logEvent(schema::PlatformFailed, {{"job", job.id()}, {"step", "stop"}, {"detail", detail}});
    co_await sleepFor(internal::StopRetryPause);
  }
  Phases released;
  if (leads()) co_await orderAll(job, schema::Release, limit, released);
}

Awaitable<void> JobRunner::stop(schema::Job job) {
  const std::string reason = job.note();
  const bool wantsCheckpoint =
      job.spec().checkpointable() && reason != "finished" && reason != "broken" && !job.cancel_wanted();
  bool saved = false;
  if (wantsCheckpoint) {
    saved = co_await checkpointAll(job);
    if (!saved) logEvent(schema::ReclaimForced, {{"job", job.id()}});
  }
  Phases phases;
  co_await stopAndRelease(job, phases);
  if (!leads()) co_return;
  schema::Job next = job;
  next.clear_leases();
  next.clear_guarantee();
  m_runningSince.erase(job.id());
  m_renewedAt.erase(job.id());
  if (internal::all_are(phases, schema::TaskFinished)) {
    next.set_phase(schema::JobFinished);
    next.set_result("finished");
  } else if (job.cancel_wanted()) {
    next.set_phase(schema::JobCancelled);
    next.set_result("cancelled by its caller");
  } else if (job.spec().not_repeatable() && !saved && !internal::all_are(phases, schema::TaskReserved)) {
    next.set_phase(schema::JobLost);
    next.set_result("it had started, may not be repeated, and was stopped: " + reason);
  } else {
    next.set_phase(schema::JobQueued);
  }
  co_await commitLater(std::move(next), schema::JobStopping);
}

}  // namespace courseloom
