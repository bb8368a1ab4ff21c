// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/GuaranteeBook.h"
#include "Courseloom/src/Scheduling/Placement.h"
#include "generated/rpc.pb.h"

namespace courseloom {

/** \class SchedulerOptions
 * \brief The scheduling policy, and switches with which proofs and benchmarks turn off single mechanisms.
 *
 * All switches are on in production.
 */
struct SchedulerOptions {
  double fragmentationWeight = 0.3;          ///< 0 spreads gangs for completion time, 1 packs them for adjacency
  std::uint64_t agingMs = 3600 * 1000;       ///< waiting time after which low urgency counts as normal
  std::uint64_t assumedRunMs = 3600 * 1000;  ///< run time assumed for a job that gives no estimate
  bool witness = true;                       ///< guarantees are kept reclaimable
  bool wholeGangs = true;                    ///< a gang is placed completely or not at all
  bool reclaim = true;      ///< gangs outside guarantees are stopped for guarantee owners and urgent work
  bool reservation = true;  ///< the first gang that has to wait gets a reservation, which backfill respects
  bool urgentFirst = true;  ///< guaranteed and urgent work is placed before other work
};

/** What the caller has to do: start a gang, or checkpoint and stop one. */
enum class DecisionKind : std::uint8_t { Place, Reclaim };

/** \class Decision
 * \brief One action for the caller: start a gang on named accelerators, or checkpoint and stop a gang.
 */
struct Decision {
  DecisionKind kind = DecisionKind::Place;
  std::string job;
  std::string guarantee;  ///< guarantee that a placed gang is charged to; empty if there is none
  Placement placement;    ///< for Place: one place per task
  std::string forJob;     ///< for Reclaim: job that will use the reclaimed capacity
};

/** \class Scheduler
 * \brief Decides which gang runs where and which gangs are reclaimed, and keeps every guarantee reclaimable.
 *
 * The class uses no clock and performs no input or output. The caller supplies workers, guarantees and jobs, and
 * carries out the decisions. The scheduler keeps these rules. A gang is placed completely. After each placement every
 * unused guarantee has a witness. A gang that can be neither checkpointed nor repeated runs only inside its own
 * workspace's guarantee. Gangs outside guarantees are reclaimable. Backfill follows EASY (Lifka, "The ANL/IBM SP
 * scheduling system", 1995): the first job that has to wait gets the only reservation, and later jobs may start only if
 * they do not delay it according to their expected run times.
 * \sa GuaranteeBook, PlacementSearch
 */
class Scheduler {
 public:
  explicit Scheduler(SchedulerOptions options = {});
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /** Replaces the inventory of live workers. Afterwards brokenJobs() returns the gangs with a task on a lost worker. */
  void setWorkers(std::vector<schema::Worker> workers);
  /** Replaces the capacity, by worker name, that tasks unknown to the scheduler use. It cannot be allocated. */
  void setForeign(const std::map<std::string, WorkerCapacity>& foreign);
  /** Replaces the guarantees by those of the configuration. */
  void setGuarantees(const std::vector<schema::Object>& guarantees);
  /** Sets the workspaces and services that are paused or draining, in which no job may start. */
  void setBlocked(std::set<std::string> workspaces, std::set<std::string> services);
  /** Applies the newest state of a job. Removes the job if it has ended. */
  void updateJob(const schema::Job& job);

  /** Makes all decisions that are possible now. \param nowMs wall clock, ms since 1970, for waiting times and expected
   * ends */
  std::vector<Decision> decide(std::uint64_t nowMs);

  /** \returns jobs that hold leases on workers that are no longer in the inventory. */
  std::vector<std::string> brokenJobs() const;
  /** \returns the reason why a job waits, in words. */
  std::string why(const std::string& job) const;
  /** \returns nothing if all of a new set of guarantees could be held by the empty cluster, or the reason if not. */
  std::optional<std::string> guaranteeConflict(const std::vector<schema::Object>& guarantees) const;
  /** \returns whether the empty cluster could hold a shape. */
  bool fitsEmptyCluster(const schema::Shape& shape) const;
  std::vector<schema::GuaranteeStatus> guaranteeStatus() const;
  const GuaranteeBook& guarantees() const { return m_book; }
  const Topology& topology() const { return m_topology; }
  /** \returns the capacity of each worker that no job and no unknown task holds. */
  const WorkerCapacities& free() const { return m_free; }
  double fragmentation() const { return fragmentationOf(m_topology, m_free); }

 private:
  struct JobEntry {
    std::string id;
    schema::JobSpec spec;
    schema::JobPhase phase = schema::JobQueued;
    bool paused = false;
    std::string guarantee;
    Placement held;
    bool broken = false;
    std::uint64_t submittedMs = 0;
    std::uint64_t startedMs = 0;
    std::string why;
  };

  static bool holdsLeases(schema::JobPhase phase);
  void recount();
  WorkerCapacities witnessCapacity() const;
  std::vector<JobEntry*> queueInOrder(std::uint64_t nowMs);
  int rankOf(const JobEntry& job, std::uint64_t nowMs) const;
  bool mayStart(JobEntry& job) const;
  Guarantee* guaranteeFor(const JobEntry& job);

  bool placeInGuarantee(JobEntry& job, std::vector<Decision>& decisions);
  bool placeOutside(JobEntry& job, std::uint64_t nowMs, std::vector<Decision>& decisions);
  bool reclaimFor(JobEntry& job, const std::string& guarantee, const Placement& placement,
                  std::vector<Decision>& decisions);
  void nominate(JobEntry& job, const std::string& guarantee, Placement placement);
  void accept(JobEntry& job, const std::string& guarantee, Placement placement, std::vector<Decision>& decisions);
  bool placeNominated(JobEntry& job, std::vector<Decision>& decisions);
  Placement witnessPlacement(const JobEntry& job, const Guarantee& guarantee) const;
  bool witnessesSurvive(const std::string& guarantee, unsigned tasks, const Placement& placement);
  std::vector<JobEntry*> victimsOn(const Placement& placement, schema::Urgency forUrgency, bool forOwner);
  const std::vector<double>& reclaimCosts(std::uint64_t nowMs);
  bool reclaimable(const JobEntry& job) const;
  WorkerCapacities reclaimableCapacity(bool lowOnly) const;
  void reserveFor(const JobEntry& job, std::uint64_t nowMs);
  std::uint64_t expectedEnd(const JobEntry& job, std::uint64_t nowMs) const;

  SchedulerOptions m_options;
  Topology m_topology;
  PlacementSearch m_search;
  GuaranteeBook m_book;
  std::map<std::string, WorkerCapacity> m_foreign;
  std::set<std::string> m_blockedWorkspaces;
  std::set<std::string> m_blockedServices;
  std::map<std::string, JobEntry> m_jobs;
  struct Nomination {
    std::string guarantee;
    Placement placement;
  };
  std::map<std::string, Nomination> m_nominations;  ///< by waiting job: places that are being reclaimed for it
  WorkerCapacities m_free;                          ///< live capacity that no job and no unknown task holds
  std::vector<double> m_costs;         ///< cost of reclaim, by worker; empty until a call of decide() needs it
  WorkerCapacities m_witnessCapacity;  ///< live capacity without what gangs inside guarantees or unknown tasks hold
  WorkerCapacities m_grantable;        ///< free capacity without nominated places
  struct Reservation {
    std::string job;
    std::uint64_t atMs = 0;
    Placement placement;
  };
  std::optional<Reservation> m_reservation;
  std::uint64_t m_nowMs = 0;
};

}  // namespace courseloom
