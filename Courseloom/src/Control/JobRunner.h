// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <set>
#include <string>

#include "Courseloom/src/Control/ReplicaDriver.h"
#include "Courseloom/src/Platform/Platform.h"
#include "Courseloom/src/Scheduling/Scheduler.h"

namespace courseloom {

/** \class JobRunner
 * \brief Carries out the scheduler's decisions through leases of the platform, while this replica leads.
 *
 * A gang first reserves all its leases and then starts them all. If any member is lost, late or refused, the whole gang
 * is stopped. Each step is committed to the log before it is ordered from the platform. Orders carry the lease's number
 * and the leader's term, so that a later leader can continue from the committed step. Runs on the control strand.
 */
class JobRunner {
 public:
  JobRunner(const DaemonContext& context, ControlStrand strand, ReplicaDriver& driver);

  /** Starts or stops acting as leader. \param leads whether this replica leads from now on */
  void lead(bool leads);
  /** Passes applied changes of jobs, guarantees and pauses on to the scheduler. If this replica leads, also continues
   * open gangs and decides on queued jobs. */
  void onApplied();
  /** Starts the scheduling and polling loops; without settings of the platform it does nothing. Called once. */
  void start();

  /** \returns the scheduler, for queries of its state. */
  const Scheduler& scheduler() const { return m_scheduler; }
  /** \returns the instances that the platform's last report lists as leaving; the report lags behind their state. */
  const std::set<std::string>& leavingInstances() const { return m_leaving; }
  /** \returns whether the platform's inventory was read since this replica last began or ceased to lead. */
  bool knowsWorkers() const { return m_knowsWorkers; }

 private:
  using Phases = std::vector<schema::TaskPhase>;
  enum class GangResult : std::uint8_t { All, Refused, Unreachable };

  Awaitable<void> scheduleLoop();
  Awaitable<void> pollLoop();
  void decide();
  void resumeOpenGangs();
  void applyReport(const schema::PlatformReport& report);
  void applyInventory(const schema::PlatformReport& report);
  void reviewRunning();
  void reviewJob(const schema::Job& job);
  void reloadJobs();
  void reloadObjects();
  void logGuaranteeChanges();

  void commit(schema::Job job, schema::JobPhase from);
  Awaitable<void> commitLater(schema::Job job, schema::JobPhase from);
  void commitPlacement(const Decision& decision);
  void reclaim(const Decision& decision);
  void beginPhase(const std::string& jobId);
  Awaitable<void> runPhase(std::string jobId);
  Awaitable<void> reserve(schema::Job job);
  Awaitable<void> launch(schema::Job job);
  Awaitable<void> stop(schema::Job job);
  Awaitable<void> renewAll(schema::Job job);
  Awaitable<bool> checkpointAll(schema::Job& job);
  Awaitable<GangResult> orderAll(const schema::Job& job, schema::OrderKind kind, Duration limit, Phases& phases,
                                 std::string* checkpoint = nullptr);
  Awaitable<Result<schema::OrderReply>> orderUntil(schema::LeaseOrder order, Time deadline);
  Awaitable<void> stopAndRelease(const schema::Job& job, Phases& phases);
  schema::LeaseOrder makeOrder(const schema::Job& job, const schema::Lease& lease, schema::OrderKind kind) const;
  bool leads() const { return m_leads && m_driver.canRead(); }
  void recordTimes(const schema::Job& job);

  DaemonContext m_context;
  ControlStrand m_strand;
  ReplicaDriver& m_driver;
  HttpPlatform m_platform;
  Scheduler m_scheduler;
  bool m_leads = false;
  bool m_knowsWorkers = false;
  bool m_reloadWanted = true;
  std::uint64_t m_objectsRevision = 0;
  std::uint64_t m_nextLease = 1;
  std::set<std::string> m_activePhases;                   ///< jobs whose gang phase runs on this replica
  std::set<std::string> m_committing;                     ///< jobs with a change that is not committed yet
  std::map<std::string, Time> m_renewedAt;                ///< last renewal of leases, by job
  std::map<std::uint64_t, schema::LeaseReport> m_leases;  ///< leases of the last report, by number
  std::set<std::string> m_leaving;                        ///< leaving instances of the last report
  std::set<std::string> m_atRisk;                         ///< guarantees last logged as at risk
  std::set<std::string> m_workers;                        ///< workers of the last report
  Time m_reportSentAt{};                                  ///< when the last report was requested
  std::map<std::string, Time> m_runningSince;  ///< when this replica started the job or first found it running
};

}  // namespace courseloom
