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
 * \brief Carries the scheduler's decisions out over the platform's leases, as long as this replica leads.
 *
 * Each step of a gang is first committed in the log and then ordered from the platform, under the lease's number and
 * the leader's term, so that a later leader can go on from the committed step: reserve all leases, then start all; any
 * member lost, late or refused stops the whole. Runs on the control strand.
 */
class JobRunner {
 public:
  JobRunner(const DaemonContext& context, ControlStrand strand, ReplicaDriver& driver);

  /** Begins or ends to act as leader. */
  void lead(bool leads);
  /** Takes changes of the state in: jobs, guarantees, pauses. */
  void onApplied();
  void start();

  const Scheduler& scheduler() const { return m_scheduler; }
  /** \returns instances that the platform calls leaving, from its lagging list. */
  const std::set<std::string>& leavingInstances() const { return m_leaving; }
  /** \returns whether the platform's inventory has been read since this replica leads. */
  bool knowsWorkers() const { return m_knowsWorkers; }

 private:
  using Phases = std::vector<schema::TaskPhase>;
  enum class GangResult : std::uint8_t { All, Refused, Unreachable };

  Awaitable<void> scheduleLoop();
  Awaitable<void> pollLoop();
  void decide();
  void actOnOpenSteps();
  void takeReport(const schema::PlatformReport& report);
  void takeWorkers(const schema::PlatformReport& report);
  void reviewRunning();
  void reviewJob(const schema::Job& job);
  void reloadJobs();
  void reloadObjects();
  void watchGuarantees();

  void commit(schema::Job job, schema::JobPhase from);
  Awaitable<void> commitLater(schema::Job job, schema::JobPhase from);
  void carryOut(const Decision& decision);
  void reclaim(const Decision& decision);
  void act(const std::string& jobId);
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
  std::set<std::string> m_acting;      ///< jobs with a phase under way here
  std::set<std::string> m_committing;  ///< jobs with a change on its way through the log
  std::map<std::string, Time> m_renewed;
  std::map<std::uint64_t, schema::LeaseReport> m_leases;
  std::set<std::string> m_leaving;
  std::set<std::string> m_atRisk;
  std::set<std::string> m_workers;
  Time m_reportSentAt{};
  std::map<std::string, Time> m_runningSince;
};

}  // namespace courseloom
