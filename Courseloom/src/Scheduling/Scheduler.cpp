// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/Scheduler.h"

#include <algorithm>

namespace courseloom {

namespace internal {
namespace {

constexpr double PackFromWeight = 0.25;  ///< from this fragmentationWeight on, partly used workers are filled first
/** Number of waiting jobs for which one call of decide() tries to find a reservation. It is more than one so that a job
 * that can never fit does not deprive the others of a reservation. */
constexpr int ReservationTries = 2;

Guarantee make_guarantee(const schema::Object& object) {
  Guarantee guarantee;
  guarantee.name = object.name();
  guarantee.workspace = object.guarantee().workspace();
  guarantee.shape = object.guarantee().shape();
  return guarantee;
}

}  // namespace
}  // namespace internal

Scheduler::Scheduler(SchedulerOptions options) : m_options(options), m_search(m_topology), m_book(m_topology) {}

bool Scheduler::holdsLeases(schema::JobPhase phase) {
  return phase == schema::JobReserving || phase == schema::JobStarting || phase == schema::JobRunning ||
         phase == schema::JobStopping;
}

// ---- input from the caller

void Scheduler::setWorkers(std::vector<schema::Worker> workers) {
  // Placements refer to workers by index. Convert the old indexes to the new ones by worker name.
  const std::vector<schema::Worker> before = m_topology.workers();
  m_topology.setWorkers(std::move(workers));
  std::vector<int> newIndex(before.size());
  for (std::size_t i = 0; i < before.size(); ++i) newIndex[i] = m_topology.find(before[i].name());
  const auto remap = [&newIndex](Placement& placement) {
    const std::size_t size = placement.size();
    std::erase_if(placement, [&](const TaskPlace& place) { return newIndex[place.worker] < 0; });
    for (TaskPlace& place : placement) place.worker = static_cast<WorkerIndex>(newIndex[place.worker]);
    return placement.size() == size;
  };
  for (auto& [id, job] : m_jobs) job.broken = !remap(job.held) || job.broken;
  for (Guarantee& guarantee : m_book.guarantees())
    guarantee.witnessed = remap(guarantee.witness) && guarantee.witnessed;
  for (auto nomination = m_nominations.begin(); nomination != m_nominations.end();) {
    nomination = remap(nomination->second.placement) ? std::next(nomination) : m_nominations.erase(nomination);
  }
  m_reservation.reset();
}

void Scheduler::setForeign(const std::map<std::string, WorkerCapacity>& foreign) { m_foreign = foreign; }

void Scheduler::setGuarantees(const std::vector<schema::Object>& guarantees) {
  std::vector<Guarantee> next;
  for (const schema::Object& object : guarantees) {
    if (!object.guarantee().has_shape()) continue;
    Guarantee guarantee = internal::make_guarantee(object);
    const Guarantee* known = m_book.find(guarantee.name);
    if (known != nullptr && known->witnessed) {
      guarantee.witness = known->witness;
      guarantee.witnessed = true;
    }
    next.push_back(std::move(guarantee));
  }
  m_book.setGuarantees(std::move(next));
}

void Scheduler::setBlocked(std::set<std::string> workspaces, std::set<std::string> services) {
  m_blockedWorkspaces = std::move(workspaces);
  m_blockedServices = std::move(services);
}

void Scheduler::updateJob(const schema::Job& job) {
  const bool ended =
      job.phase() == schema::JobFinished || job.phase() == schema::JobCancelled || job.phase() == schema::JobLost;
  if (ended) {
    m_jobs.erase(job.id());
    m_nominations.erase(job.id());
    return;
  }
  JobEntry& entry = m_jobs[job.id()];
  entry.id = job.id();
  entry.spec = job.spec();
  entry.phase = job.phase();
  entry.paused = job.paused();
  entry.guarantee = job.guarantee();
  entry.submittedMs = job.submitted_ms();
  entry.startedMs = job.started_ms();
  entry.held.clear();
  entry.broken = false;
  if (!holdsLeases(job.phase())) return;
  m_nominations.erase(job.id());
  for (const schema::Lease& lease : job.leases()) {
    const int worker = m_topology.find(lease.worker());
    if (worker < 0) {
      entry.broken = true;
      continue;
    }
    TaskPlace place{static_cast<WorkerIndex>(worker), {0, lease.cores(), static_cast<std::int64_t>(lease.memory_mb())}};
    for (const std::uint32_t accelerator : lease.accelerators()) place.part.accelerators |= 1ULL << accelerator;
    entry.held.push_back(place);
  }
}

std::vector<std::string> Scheduler::brokenJobs() const {
  std::vector<std::string> broken;
  for (const auto& [id, job] : m_jobs) {
    if (job.broken) broken.push_back(id);
  }
  return broken;
}

// ---- counting

void Scheduler::recount() {
  m_free = m_topology.total();
  for (const auto& [name, used] : m_foreign) {
    const int worker = m_topology.find(name);
    if (worker >= 0) m_free[static_cast<std::size_t>(worker)].subtract(used);
  }
  for (Guarantee& guarantee : m_book.guarantees()) guarantee.used = 0;
  for (const auto& [id, job] : m_jobs) {
    subtractAll(m_free, job.held);
    Guarantee* charged = job.guarantee.empty() || job.held.empty() ? nullptr : m_book.find(job.guarantee);
    if (charged != nullptr) charged->used += static_cast<unsigned>(job.held.size());
  }
  m_grantable = m_free;
  for (const auto& [id, nomination] : m_nominations) {
    // A nominated place that is still held is not part of the free capacity. Only what is already free is set aside.
    setAside(m_grantable, nomination.placement);
  }
}

WorkerCapacities Scheduler::witnessCapacity() const {
  WorkerCapacities capacity = m_topology.total();
  for (const auto& [name, used] : m_foreign) {
    const int worker = m_topology.find(name);
    if (worker >= 0) capacity[static_cast<std::size_t>(worker)].subtract(used);
  }
  for (const auto& [id, job] : m_jobs) {
    if (!job.guarantee.empty()) subtractAll(capacity, job.held);
  }
  return capacity;
}

bool Scheduler::reclaimable(const JobEntry& job) const {
  return job.guarantee.empty() && job.phase == schema::JobRunning && !job.held.empty();
}

std::uint64_t Scheduler::expectedEnd(const JobEntry& job, std::uint64_t nowMs) const {
  const std::uint64_t run = job.spec.expected_ms() > 0 ? job.spec.expected_ms() : m_options.assumedRunMs;
  const std::uint64_t started = job.startedMs > 0 ? job.startedMs : nowMs;
  // A job that exceeds its estimate is assumed to end within a second.
  return std::max(started + run, nowMs + 1000);
}

// ---- order

int Scheduler::rankOf(const JobEntry& job, std::uint64_t nowMs) const {
  if (!m_options.urgentFirst) return 0;
  if (job.spec.urgency() == schema::Urgent) return 0;
  const bool aged = nowMs > job.submittedMs + m_options.agingMs;
  return job.spec.urgency() == schema::Low && !aged ? 2 : 1;
}

std::vector<Scheduler::JobEntry*> Scheduler::queueInOrder(std::uint64_t nowMs) {
  std::vector<std::pair<std::pair<int, std::uint64_t>, JobEntry*>> ranked;
  for (auto& [id, job] : m_jobs) {
    if (job.phase != schema::JobQueued) continue;
    int rank = 2 * rankOf(job, nowMs);
    if (m_options.urgentFirst && guaranteeFor(job) == nullptr) ++rank;
    ranked.push_back({{rank, job.submittedMs}, &job});
  }
  std::stable_sort(ranked.begin(), ranked.end(),
                   [](const auto& lhs, const auto& rhs) { return lhs.first < rhs.first; });
  std::vector<JobEntry*> queue;
  for (const auto& [key, job] : ranked) queue.push_back(job);
  return queue;
}

bool Scheduler::mayStart(JobEntry& job) const {
  if (job.paused) {
    job.why = "the job is paused";
  } else if (m_blockedWorkspaces.count(job.spec.workspace()) > 0) {
    job.why = "workspace '" + job.spec.workspace() + "' is paused or draining";
  } else if (m_blockedServices.count(job.spec.service()) > 0) {
    job.why = "service '" + job.spec.service() + "' is paused or draining";
  } else {
    return true;
  }
  return false;
}

Guarantee* Scheduler::guaranteeFor(const JobEntry& job) {
  for (Guarantee& guarantee : m_book.guarantees()) {
    if (guarantee.holds(job.spec.workspace(), job.spec.shape())) return &guarantee;
  }
  return nullptr;
}

// ---- decisions

std::vector<Decision> Scheduler::decide(std::uint64_t nowMs) {
  m_nowMs = nowMs;
  std::vector<Decision> decisions;
  recount();
  m_witnessCapacity = witnessCapacity();
  m_book.rebuild(m_witnessCapacity, m_free);
  m_reservation.reset();
  std::set<std::string> failedShapes;
  int reservationTries = 0;
  m_costs.clear();
  for (JobEntry* job : queueInOrder(nowMs)) {
    if (!mayStart(*job)) {
      m_nominations.erase(job->id);
      continue;
    }
    if (m_nominations.count(job->id) > 0) {
      placeNominated(*job, decisions);
      continue;
    }
    if (placeInGuarantee(*job, decisions)) continue;
    // If a shape could not be placed outside guarantees, equal shapes of the same urgency are not tried in this call.
    const std::string key = job->spec.shape().SerializeAsString() + std::to_string(job->spec.urgency());
    if (failedShapes.count(key) > 0) {
      job->why = "no room for its shape; an equal job waits before it";
      continue;
    }
    if (!placeOutside(*job, nowMs, decisions)) {
      failedShapes.insert(key);
      const bool reserve = m_options.reservation && !m_reservation && reservationTries++ < internal::ReservationTries;
      if (reserve) reserveFor(*job, nowMs);
    }
  }
  return decisions;
}

void Scheduler::accept(JobEntry& job, const std::string& guarantee, Placement placement,
                       std::vector<Decision>& decisions) {
  subtractAll(m_free, placement);
  subtractAll(m_grantable, placement);
  job.held = placement;
  job.guarantee = guarantee;
  job.phase = schema::JobReserving;
  job.startedMs = m_nowMs;
  job.why = "starting";
  m_nominations.erase(job.id);
  if (Guarantee* charged = m_book.find(guarantee)) charged->used += static_cast<unsigned>(placement.size());
  if (!guarantee.empty()) {
    // Only gangs inside guarantees reduce the capacity for witnesses.
    subtractAll(m_witnessCapacity, placement);
    if (m_options.witness) m_book.rebuild(m_witnessCapacity, m_free);
  }
  decisions.push_back({DecisionKind::Place, job.id, guarantee, std::move(placement), ""});
}

bool Scheduler::witnessesSurvive(const std::string& guarantee, unsigned tasks, const Placement& placement) {
  // A gang outside guarantees is reclaimable, so it does not reduce the capacity for witnesses.
  if (!m_options.witness || guarantee.empty()) return true;
  WorkerCapacities capacity = m_witnessCapacity;
  subtractAll(capacity, placement);
  Guarantee* charged = m_book.find(guarantee);
  charged->used += tasks;
  const bool survive = m_book.canWitnessAll(capacity);
  charged->used -= tasks;
  return survive;
}

Placement Scheduler::witnessPlacement(const JobEntry& job, const Guarantee& guarantee) const {
  WorkerCapacities witnessed(m_topology.workers().size());
  for (const TaskPlace& place : guarantee.witness) witnessed[place.worker].add(place.part);
  return m_search.find(job.spec.shape(), witnessed);
}

bool Scheduler::placeInGuarantee(JobEntry& job, std::vector<Decision>& decisions) {
  Guarantee* guarantee = guaranteeFor(job);
  if (guarantee == nullptr) return false;
  const auto tasks = static_cast<unsigned>(job.spec.shape().tasks());
  const bool pack = m_options.fragmentationWeight >= internal::PackFromWeight;
  Placement available = m_search.find(job.spec.shape(), m_grantable, {}, pack);
  if (!available.empty() && witnessesSurvive(guarantee->name, tasks, available)) {
    accept(job, guarantee->name, std::move(available), decisions);
    return true;
  }
  Placement witness = witnessPlacement(job, *guarantee);
  if (witness.empty()) return false;
  if (coversAll(m_grantable, witness)) {
    accept(job, guarantee->name, std::move(witness), decisions);
    return true;
  }
  if (!m_options.reclaim) return false;
  // Reclaim where it costs least if all guarantees keep a witness then; otherwise reclaim the places of the own
  // witness.
  Placement cheapest = m_search.find(job.spec.shape(), reclaimableCapacity(false), reclaimCosts(m_nowMs), pack);
  const bool valid = !cheapest.empty() && witnessesSurvive(guarantee->name, tasks, cheapest);
  return reclaimFor(job, guarantee->name, valid ? cheapest : witness, decisions);
}

bool Scheduler::placeOutside(JobEntry& job, std::uint64_t nowMs, std::vector<Decision>& decisions) {
  const bool needsGuarantee = job.spec.not_repeatable() && !job.spec.checkpointable();
  if (needsGuarantee && m_options.witness) {
    job.why =
        "it can be neither checkpointed nor repeated, so it runs only inside its workspace's guarantee, which is in "
        "use";
    return true;
  }
  const bool pack = m_options.fragmentationWeight >= internal::PackFromWeight;
  WorkerCapacities capacity = m_grantable;
  if (m_reservation && expectedEnd(job, nowMs) > m_reservation->atMs) {
    setAside(capacity, m_reservation->placement);
  }
  schema::Shape shape = job.spec.shape();
  Placement placement = m_search.find(shape, capacity, {}, pack);
  if (placement.empty() && !m_options.wholeGangs && shape.tasks() > 1) {
    shape.set_tasks(1);
    placement = m_search.find(shape, capacity, {}, pack);
  }
  if (!placement.empty()) {
    accept(job, "", std::move(placement), decisions);
    return true;
  }
  if (m_options.reclaim && job.spec.urgency() == schema::Urgent) {
    Placement cheapest = m_search.find(job.spec.shape(), reclaimableCapacity(true), reclaimCosts(nowMs), pack);
    if (!cheapest.empty() && reclaimFor(job, "", cheapest, decisions)) return true;
  }
  job.why = "no " + std::to_string(shape.tasks()) + " places of " + std::to_string(shape.accelerators()) +
            " adjacent accelerators are free";
  return false;
}

// ---- answers for operators

std::string Scheduler::why(const std::string& job) const {
  const auto found = m_jobs.find(job);
  if (found == m_jobs.end()) return "the job has ended or does not exist";
  if (found->second.phase != schema::JobQueued) return "the job is " + schema::JobPhase_Name(found->second.phase);
  return found->second.why.empty() ? "the job has just arrived" : found->second.why;
}

bool Scheduler::fitsEmptyCluster(const schema::Shape& shape) const {
  return !m_search.find(shape, m_topology.total()).empty();
}

std::optional<std::string> Scheduler::guaranteeConflict(const std::vector<schema::Object>& guarantees) const {
  GuaranteeBook trial(m_topology);
  std::vector<Guarantee> required;
  for (const schema::Object& object : guarantees) {
    if (object.guarantee().has_shape()) required.push_back(internal::make_guarantee(object));
  }
  trial.setGuarantees(required);
  if (trial.canWitnessAll(m_topology.total())) return std::nullopt;
  trial.rebuild(m_topology.total(), m_topology.total());
  for (const Guarantee& guarantee : trial.guarantees()) {
    if (guarantee.witnessed) continue;
    // The nearest guarantee that can be held: the same shape with fewer tasks.
    schema::Shape nearest = guarantee.shape;
    unsigned tasks = nearest.tasks();
    for (; tasks > 0; --tasks) {
      std::vector<Guarantee> smaller = required;
      for (Guarantee& candidate : smaller) {
        if (candidate.name == guarantee.name) candidate.shape.set_tasks(tasks);
      }
      GuaranteeBook attempt(m_topology);
      attempt.setGuarantees(smaller);
      if (attempt.canWitnessAll(m_topology.total())) break;
    }
    return "guarantee '" + guarantee.name + "' cannot be held beside the others; the nearest that can has " +
           std::to_string(tasks) + " tasks";
  }
  return "the guarantees cannot all be held";
}

std::vector<schema::GuaranteeStatus> Scheduler::guaranteeStatus() const {
  std::vector<schema::GuaranteeStatus> list;
  for (const Guarantee& guarantee : m_book.guarantees()) {
    schema::GuaranteeStatus status;
    status.set_name(guarantee.name);
    status.set_witnessed(guarantee.unused() == 0 || guarantee.witnessed);
    status.set_reason(guarantee.reason);
    list.push_back(std::move(status));
  }
  return list;
}

}  // namespace courseloom
