// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Measures the time of one decision at the present size of a deployment and at the size expected in two years, with
// running work, a queue and guarantees.

#include <random>
#include <string>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Scheduling/Scheduler.h"
#include "bench/Figures.h"

using namespace courseloom;
using namespace courseloom::bench;

namespace {

/** Size of a measured deployment. */
struct Size {
  const char* name;
  unsigned workers;
  unsigned accelerators;  ///< total over all workers
  unsigned tasks;         ///< running tasks, at least, before the measurement
  unsigned workspaces;
};

schema::Job makeJob(unsigned number, unsigned workspaces, unsigned maxTasks, unsigned accelerators,
                    std::mt19937& random) {
  schema::Job job;
  job.set_id("j" + std::to_string(number));
  schema::JobSpec* spec = job.mutable_spec();
  spec->set_workspace("w" + std::to_string(random() % workspaces));
  spec->set_service("s");
  spec->set_checkpointable(true);
  spec->set_urgency(static_cast<schema::Urgency>(random() % 3));
  spec->set_expected_ms(3600000 + random() % 7200000);
  spec->mutable_shape()->set_tasks(1 + random() % maxTasks);
  spec->mutable_shape()->set_accelerators(accelerators);
  spec->mutable_shape()->set_cores(1);
  spec->mutable_shape()->set_adjacency(accelerators > 0 ? schema::SameRack : schema::Anywhere);
  job.set_submitted_ms(1000000 + number);
  return job;
}

void measure(const Size& size) {
  std::mt19937 random(7);
  Scheduler scheduler;
  std::vector<schema::Worker> workers(size.workers);
  const unsigned each = size.accelerators / size.workers + 1;
  for (unsigned i = 0; i < size.workers; ++i) {
    workers[i].set_name("worker-" + std::to_string(i));
    workers[i].set_rack("rack-" + std::to_string(i / 3));
    workers[i].set_data_hall("hall-" + std::to_string(i / 3 % 8));
    workers[i].set_accelerators(std::min(each, size.accelerators));
    workers[i].set_cores(130);
    workers[i].set_memory_mb(260000);
  }
  scheduler.setWorkers(workers);
  std::vector<schema::Object> guarantees;
  for (unsigned i = 0; i < size.workspaces / 2; ++i) {
    schema::Object object;
    object.set_name("g" + std::to_string(i));
    object.mutable_guarantee()->set_workspace("w" + std::to_string(i));
    object.mutable_guarantee()->mutable_shape()->set_tasks(2);
    object.mutable_guarantee()->mutable_shape()->set_accelerators(1);
    object.mutable_guarantee()->mutable_shape()->set_cores(4);
    object.mutable_guarantee()->mutable_shape()->set_adjacency(schema::SameRack);
    guarantees.push_back(object);
  }
  scheduler.setGuarantees(guarantees);
  std::map<std::string, schema::Job> jobs;
  std::uint64_t now = 2000000;
  unsigned number = 0;
  unsigned running = 0;
  const auto execute = [&](const std::vector<Decision>& decisions) {
    for (const Decision& decision : decisions) {
      schema::Job& job = jobs.at(decision.job);
      const bool place = decision.kind == DecisionKind::Place;
      running -= static_cast<unsigned>(job.leases_size());
      job.clear_leases();
      job.set_phase(place ? schema::JobRunning : schema::JobQueued);
      job.set_guarantee(decision.guarantee);
      job.set_started_ms(now);
      for (const TaskPlace& where : decision.placement) {
        schema::Lease* lease = job.add_leases();
        lease->set_worker(workers[where.worker].name());
        lease->set_cores(static_cast<unsigned>(where.part.cores));
        for (unsigned i = 0; i < 64; ++i) {
          if ((where.part.accelerators >> i) & 1U) lease->add_accelerators(i);
        }
      }
      running += static_cast<unsigned>(job.leases_size());
      scheduler.updateJob(job);
    }
  };
  const auto addJob = [&](unsigned maxTasks, unsigned accelerators) {
    schema::Job job = makeJob(++number, size.workspaces, maxTasks, accelerators, random);
    jobs[job.id()] = job;
    scheduler.updateJob(job);
  };
  // Fills the workers with gangs of up to 64 tasks; most tasks need no accelerator.
  for (int round = 0; running < size.tasks && round < 4000; ++round) {
    for (int i = 0; i < 20; ++i) addJob(64, round % 8 == 0 ? 1 : 0);
    execute(scheduler.decide(now));
  }
  std::vector<double> times;
  for (int i = 0; i < 400; ++i) {
    now += 50;
    addJob(i % 20 == 0 ? 64 : 4, i % 3 == 0 ? 1 : 0);
    const Time before = BootClock::now();
    const std::vector<Decision> decisions = scheduler.decide(now);
    times.push_back(toMilliseconds(BootClock::now() - before));
    execute(decisions);
    // One job ends for each job that arrives.
    for (auto& [id, job] : jobs) {
      if (job.phase() != schema::JobRunning || job.leases_size() > 4 || random() % 30 != 0) continue;
      running -= static_cast<unsigned>(job.leases_size());
      job.set_phase(schema::JobFinished);
      scheduler.updateJob(job);
      break;
    }
  }
  const std::string prefix = std::string("decision_") + size.name;
  figure((prefix + "_running_tasks").c_str(), running, "tasks");
  figure((prefix + "_p50").c_str(), quantile(times, 0.5), "ms");
  figure((prefix + "_p99").c_str(), quantile(times, 0.99), "ms");
}

}  // namespace

int main() {
  measure({"10_workers", 10, 80, 150, 4});
  measure({"185_workers", 185, 400, 2750, 28});
  measure({"740_workers", 740, 1600, 11000, 110});
  return 0;
}
