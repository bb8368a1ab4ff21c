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
 * \brief The policy, and switches with which proofs and benches turn one mechanism off; all on in production.
 */
struct SchedulerOptions {
  double fragmentationWeight = 0.3;          ///< 0 spreads for completion time, 1 packs for adjacency
  std::uint64_t agingMs = 3600 * 1000;       ///< wait after which low urgency counts as normal
  std::uint64_t assumedRunMs = 3600 * 1000;  ///< run time taken for a job that names none
  bool witness = true;                       ///< guarantees are kept reclaimable
  bool wholeGangs = true;                    ///< a gang is placed whole or not at all
  bool reclaim = true;                       ///< gangs outside guarantees make room for owners and urgent work
  bool reservation = true;                   ///< the oldest large gang keeps a reservation that backfill respects
  bool urgentFirst = true;                   ///< guaranteed and urgent work goes before other work
};

enum class DecisionKind : std::uint8_t { Place, Reclaim };

/** \class Decision
 * \brief One thing to do: start a gang on named accelerators, or checkpoint and stop one.
 */
struct Decision {
  DecisionKind kind = DecisionKind::Place;
  std::string job;
  std::string guarantee;  ///< guarantee that a placed gang is charged to; empty is none
  Placement placement;    ///< one place a task, for Place
  std::string forJob;     ///< job that the room is for, for Reclaim
};

/** \class Scheduler
 * \brief Decides which gang runs where, what is reclaimed for whom, and keeps every guarantee reclaimable.
 *
 * No clock, input or output: the caller tells of workers, guarantees and jobs, and performs the decisions. The rules:
 * a gang is placed whole; after each placement every unused guarantee has a witness; a gang that can be neither
 * checkpointed nor repeated runs only inside its own workspace's guarantee; gangs outside guarantees are reclaimable.
 * Backfill follows EASY (Lifka, "The ANL/IBM SP scheduling system", 1995): one reservation, for the first job that has
 * to wait, and later jobs may start only if they do not delay it by their expected run times.
 * \sa GuaranteeBook, PlacementSearch
 */
class Scheduler {
 public:
  explicit Scheduler(SchedulerOptions options = {});
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /** Takes a new inventory of live workers. Gangs with a task on a lost worker are given by brokenJobs(). */
  void setWorkers(std::vector<schema::Worker> workers);
  /** Accelerators that unknown tasks use; they are nobody's to give. */
  void setForeign(const std::map<std::string, Capacity>& foreign);
  /** Replaces the guarantees by those of the configuration. */
  void setGuarantees(const std::vector<schema::Object>& guarantees);
  /** Workspaces and services in which nothing new may start. */
  void setHeld(std::set<std::string> workspaces, std::set<std::string> services);
  /** Takes a job's newest state in; an ended one is forgotten. */
  void updateJob(const schema::Job& job);

  /** Decides. \param nowMs wall clock, for ages and expected ends */
  std::vector<Decision> decide(std::uint64_t nowMs);

  /** \returns jobs that hold leases on workers that are gone. */
  std::vector<std::string> brokenJobs() const;
  /** \returns why a job waits, in a sentence. */
  std::string why(const std::string& job) const;
  /** \returns whether a new set of guarantees could all be witnessed now, with the reason if not. */
  std::optional<std::string> refusesGuarantees(const std::vector<schema::Object>& guarantees) const;
  /** \returns whether a shape could be held by the empty cluster. */
  bool everFits(const schema::Shape& shape) const;
  std::vector<schema::GuaranteeStatus> guaranteeStatus() const;
  const GuaranteeBook& guarantees() const { return m_book; }
  const Topology& topology() const { return m_topology; }
  /** \returns what nobody holds. */
  const Capacities& free() const { return m_free; }
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
  Capacities roomForWitnesses() const;
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
  Capacities reclaimableRoom(bool lowOnly) const;
  void reserveFor(const JobEntry& job, std::uint64_t nowMs);
  std::uint64_t expectedEnd(const JobEntry& job, std::uint64_t nowMs) const;

  SchedulerOptions m_options;
  Topology m_topology;
  PlacementSearch m_search;
  GuaranteeBook m_book;
  std::map<std::string, Capacity> m_foreign;
  std::set<std::string> m_heldWorkspaces;
  std::set<std::string> m_heldServices;
  std::map<std::string, JobEntry> m_jobs;
  struct Nomination {
    std::string guarantee;
    Placement placement;
  };
  std::map<std::string, Nomination> m_nominations;  ///< places being reclaimed for a waiting job
  Capacities m_free;                                ///< held by nobody
  std::vector<double> m_costs;                      ///< of reclaim, by worker; empty until a pass needs them
  Capacities m_witnessRoom;                         ///< all live capacity less what gangs inside guarantees hold
  Capacities m_grantable;                           ///< free and not nominated for another job
  struct Reservation {
    std::string job;
    std::uint64_t atMs = 0;
    Placement placement;
  };
  std::optional<Reservation> m_reservation;
  std::uint64_t m_nowMs = 0;
};

}  // namespace courseloom
