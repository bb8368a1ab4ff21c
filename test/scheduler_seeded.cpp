// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Seeded runs of the scheduler, verified by an independent checker: gangs are complete and adjacent, no accelerator is
// assigned twice, every guarantee can be reclaimed, and jobs that can be neither repeated nor checkpointed run inside a
// guarantee. With a mechanism switched off, the checker must find a violation.

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "Courseloom/src/Scheduling/Scheduler.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

constexpr unsigned AcceleratorsPerWorker = 8;

/** \class SchedulerRun
 * \brief Simulated workers and jobs around one scheduler, with bursts, ends, lost workers and changes of the leader.
 */
class SchedulerRun {
 public:
  SchedulerRun(std::uint64_t seed, SchedulerOptions options) : m_options(options), m_random(seed) {
    for (unsigned i = 0; i < 12; ++i) {
      schema::Worker worker;
      worker.set_name("w" + std::to_string(i));
      worker.set_rack("r" + std::to_string(i / 3));
      worker.set_data_hall("h" + std::to_string(i / 6));
      worker.set_accelerators(AcceleratorsPerWorker);
      worker.set_cores(100);
      worker.set_memory_mb(200000);
      m_workers[worker.name()] = worker;
    }
    addGuarantee("g-andes", "andes", 2, 8, schema::SameRack);
    addGuarantee("g-retail", "retail", 4, 2, schema::SameWorker);
    addGuarantee("g-funds", "funds", 3, 4, schema::SameDataHall);
    changeLeader();
  }

  /** \returns the first violation within some steps, or an empty string. */
  std::string run(unsigned steps) {
    for (unsigned step = 0; step < steps && m_violation.empty(); ++step) {
      m_nowMs += 50;
      if (chance(0.3)) addJobs(chance(0.1) ? 10 : 1);
      if (chance(0.02)) loseOrRestoreWorker();
      if (chance(0.01)) changeLeader();
      endRandomJobs();
      applyDecisions();
      check();
    }
    return m_violation;
  }

  /** \returns the number of started gangs. */
  std::size_t started() const { return m_started; }

 private:
  bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(m_random) < share; }
  unsigned randomBetween(unsigned least, unsigned most) {
    return std::uniform_int_distribution<unsigned>(least, most)(m_random);
  }
  void fail(const std::string& what) {
    if (m_violation.empty()) m_violation = what;
  }

  void addGuarantee(const std::string& name, const std::string& workspace, unsigned tasks, unsigned accelerators,
                    schema::Adjacency adjacency) {
    schema::Object object;
    object.set_name(name);
    object.mutable_guarantee()->set_workspace(workspace);
    schema::Shape* shape = object.mutable_guarantee()->mutable_shape();
    shape->set_tasks(tasks);
    shape->set_accelerators(accelerators);
    shape->set_cores(10);
    shape->set_adjacency(adjacency);
    m_guarantees.push_back(object);
  }

  /** Replaces the scheduler by that of a new leader, which knows the jobs from the log and nothing else. */
  void changeLeader() {
    m_scheduler = std::make_unique<Scheduler>(m_options);
    updateWorkers();
    m_scheduler->setGuarantees(m_guarantees);
    for (const auto& [id, job] : m_jobs) m_scheduler->updateJob(job);
  }

  void updateWorkers() {
    std::vector<schema::Worker> liveWorkers;
    for (const auto& [name, worker] : m_workers) {
      if (m_lost.count(name) == 0) liveWorkers.push_back(worker);
    }
    m_scheduler->setWorkers(liveWorkers);
  }

  void addJobs(unsigned count) {
    static const char* const Workspaces[] = {"andes", "retail", "funds", "other"};
    for (unsigned i = 0; i < count; ++i) {
      schema::Job job;
      job.set_id("j" + std::to_string(m_nextJob++));
      job.set_submitted_ms(m_nowMs);
      schema::JobSpec* spec = job.mutable_spec();
      spec->set_workspace(Workspaces[randomBetween(0, 3)]);
      spec->set_service("s");
      spec->mutable_shape()->set_tasks(randomBetween(1, 4));
      spec->mutable_shape()->set_accelerators(1U << randomBetween(0, 3));
      spec->mutable_shape()->set_cores(randomBetween(1, 10));
      spec->mutable_shape()->set_adjacency(static_cast<schema::Adjacency>(randomBetween(0, 3)));
      if (spec->shape().adjacency() == schema::SameWorker) spec->mutable_shape()->set_tasks(1);
      spec->set_not_repeatable(chance(0.3));
      spec->set_checkpointable(chance(0.5));
      spec->set_urgency(static_cast<schema::Urgency>(randomBetween(0, 2)));
      spec->set_expected_ms(randomBetween(1, 100) * 50);
      m_jobs[job.id()] = job;
      m_scheduler->updateJob(job);
    }
  }

  void loseOrRestoreWorker() {
    const std::string name = "w" + std::to_string(randomBetween(0, 11));
    if (m_lost.erase(name) == 0) m_lost.insert(name);
    updateWorkers();
    for (const std::string& id : m_scheduler->brokenJobs()) requeue(id);
    for (auto& [id, job] : m_jobs) m_scheduler->updateJob(job);
  }

  void requeue(const std::string& id) {
    schema::Job& job = m_jobs.at(id);
    job.set_phase(schema::JobQueued);
    job.clear_leases();
    job.clear_guarantee();
    m_scheduler->updateJob(job);
  }

  void endRandomJobs() {
    for (auto at = m_jobs.begin(); at != m_jobs.end();) {
      schema::Job job = at->second;
      const bool hasEnded = job.phase() == schema::JobRunning && chance(0.05);
      ++at;
      if (!hasEnded) continue;
      job.set_phase(schema::JobFinished);
      m_scheduler->updateJob(job);
      m_jobs.erase(job.id());
    }
  }

  void applyDecisions() {
    for (const Decision& decision : m_scheduler->decide(m_nowMs)) {
      schema::Job& job = m_jobs.at(decision.job);
      if (decision.kind == DecisionKind::Reclaim) {
        if (!job.guarantee().empty()) fail(job.id() + " was reclaimed although it runs inside a guarantee");
        requeue(decision.job);
        continue;
      }
      ++m_started;
      job.set_phase(schema::JobRunning);
      job.set_guarantee(decision.guarantee);
      job.set_started_ms(m_nowMs);
      job.clear_leases();
      for (const TaskPlace& place : decision.placement) {
        schema::Lease* lease = job.add_leases();
        lease->set_worker(m_scheduler->topology().workers()[place.worker].name());
        lease->set_cores(static_cast<unsigned>(place.part.cores));
        for (unsigned i = 0; i < 64; ++i) {
          if ((place.part.accelerators >> i) & 1U) lease->add_accelerators(i);
        }
      }
      m_scheduler->updateJob(job);
    }
  }

  // ---- the checker, which derives everything from the jobs alone

  void check() {
    std::map<std::string, std::set<unsigned>> held;     // by all gangs
    std::map<std::string, std::set<unsigned>> charged;  // by gangs inside guarantees
    std::map<std::string, unsigned> used;
    for (const auto& [id, job] : m_jobs) {
      if (job.phase() != schema::JobRunning) continue;
      checkGang(job);
      for (const schema::Lease& lease : job.leases()) {
        if (m_lost.count(lease.worker()) > 0) fail(id + " runs on a lost worker");
        for (const unsigned accelerator : lease.accelerators()) {
          if (!held[lease.worker()].insert(accelerator).second) fail("an accelerator is assigned twice");
          if (!job.guarantee().empty()) charged[lease.worker()].insert(accelerator);
        }
      }
      if (!job.guarantee().empty()) used[job.guarantee()] += static_cast<unsigned>(job.leases_size());
    }
    checkGuarantees(charged, used);
  }

  void checkGang(const schema::Job& job) {
    const schema::Shape& shape = job.spec().shape();
    if (job.leases_size() != static_cast<int>(shape.tasks())) fail(job.id() + " runs in part");
    std::set<std::string> places;
    for (const schema::Lease& lease : job.leases()) {
      if (lease.accelerators_size() != static_cast<int>(shape.accelerators()))
        fail(job.id() + " has too few accelerators");
      const schema::Worker& worker = m_workers.at(lease.worker());
      if (shape.adjacency() == schema::SameWorker) places.insert(worker.name());
      if (shape.adjacency() == schema::SameRack) places.insert(worker.rack());
      if (shape.adjacency() == schema::SameDataHall) places.insert(worker.data_hall());
    }
    if (places.size() > 1) fail(job.id() + " is not adjacent");
    const bool irreplaceable = job.spec().not_repeatable() && !job.spec().checkpointable();
    if (irreplaceable && job.guarantee().empty())
      fail(job.id() + " can be neither repeated nor checkpointed, and runs outside a guarantee");
  }

  /** \returns whether the guarantees from one on fit into the free accelerators. Tries all groups for all guarantees by
   * backtracking. Counts of accelerators suffice, since a task of each guarantee here needs a whole, half or quarter
   * worker. \param next index of the first guarantee \param free accelerators by worker \param used tasks by guarantee
   */
  bool fits(std::size_t next, std::map<std::string, unsigned>& free, const std::map<std::string, unsigned>& used) {
    if (next == m_guarantees.size()) return true;
    const schema::Object& guarantee = m_guarantees[next];
    const schema::Shape& shape = guarantee.guarantee().shape();
    const auto inUse = used.find(guarantee.name());
    const unsigned rest = shape.tasks() - std::min(shape.tasks(), inUse == used.end() ? 0U : inUse->second);
    if (rest == 0) return fits(next + 1, free, used);
    std::map<std::string, std::vector<std::string>> groups;
    for (const auto& [name, worker] : m_workers) {
      if (m_lost.count(name) > 0) continue;
      const std::string group = shape.adjacency() == schema::SameWorker ? name
                                : shape.adjacency() == schema::SameRack ? worker.rack()
                                                                        : worker.data_hall();
      groups[group].push_back(name);
    }
    for (const auto& [name, members] : groups) {
      if (placeTasks(next, members, 0, rest, free, used)) return true;
    }
    return false;
  }

  bool placeTasks(std::size_t next, const std::vector<std::string>& members, std::size_t at, unsigned rest,
                  std::map<std::string, unsigned>& free, const std::map<std::string, unsigned>& used) {
    if (rest == 0) return fits(next + 1, free, used);
    if (at == members.size()) return false;
    const unsigned each = m_guarantees[next].guarantee().shape().accelerators();
    unsigned& freeAccelerators = free[members[at]];
    for (int count = static_cast<int>(std::min(rest, freeAccelerators / each)); count >= 0; --count) {
      freeAccelerators -= static_cast<unsigned>(count) * each;
      const bool placed = placeTasks(next, members, at + 1, rest - static_cast<unsigned>(count), free, used);
      freeAccelerators += static_cast<unsigned>(count) * each;
      if (placed) return true;
    }
    return false;
  }

  void checkGuarantees(const std::map<std::string, std::set<unsigned>>& charged,
                       const std::map<std::string, unsigned>& used) {
    std::map<std::string, unsigned> free;
    for (const auto& [name, worker] : m_workers) {
      const auto chargedHere = charged.find(name);
      free[name] = m_lost.count(name) > 0
                       ? 0
                       : AcceleratorsPerWorker -
                             static_cast<unsigned>(chargedHere == charged.end() ? 0 : chargedHere->second.size());
    }
    const bool possible = fits(0, free, used);
    // Lost workers may make a guarantee impossible, and the scheduler must then report it. Its own decisions must not.
    bool reported = false;
    for (const schema::GuaranteeStatus& status : m_scheduler->guaranteeStatus())
      reported = reported || !status.witnessed();
    if (!possible && !reported) fail("a guarantee cannot be reclaimed, and its status does not say so");
    if (!possible && m_lost.empty()) fail("a guarantee cannot be reclaimed although no worker is lost");
  }

  SchedulerOptions m_options;
  std::mt19937_64 m_random;
  std::map<std::string, schema::Worker> m_workers;
  std::set<std::string> m_lost;
  std::vector<schema::Object> m_guarantees;
  std::map<std::string, schema::Job> m_jobs;
  std::unique_ptr<Scheduler> m_scheduler;
  std::uint64_t m_nowMs = 1000000;
  unsigned m_nextJob = 1;
  std::size_t m_started = 0;
  std::string m_violation;
};

std::string firstViolation(std::uint64_t seeds, unsigned steps, SchedulerOptions options) {
  for (std::uint64_t seed = firstSeed(); seed < firstSeed() + seeds; ++seed) {
    SchedulerRun run(seed, options);
    const std::string violation = run.run(steps);
    if (!violation.empty()) return "seed " + std::to_string(seed) + ": " + violation;
  }
  return {};
}

}  // namespace

Test(scheduler_seeded, every_rule_holds_after_every_step) {
  const std::string violation = firstViolation(seedCount(40), 1000, {});
  cr_assert(violation.empty(), "%s", violation.c_str());
}

Test(scheduler_seeded, gangs_are_started) {
  SchedulerRun run(1, {});
  run.run(1000);
  cr_assert(run.started() > 200, "only %zu gangs started", run.started());
}

Test(scheduler_seeded, without_the_witness_the_checker_finds_a_violation) {
  SchedulerOptions options;
  options.witness = false;
  const std::string violation = firstViolation(40, 1000, options);
  cr_assert(violation.find("guarantee") != std::string::npos, "%s", violation.c_str());
}

Test(scheduler_seeded, without_whole_gangs_the_checker_finds_a_violation) {
  SchedulerOptions options;
  options.wholeGangs = false;
  const std::string violation = firstViolation(40, 1000, options);
  cr_assert(violation.find("runs in part") != std::string::npos, "%s", violation.c_str());
}
