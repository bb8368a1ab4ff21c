// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "Courseloom/src/Control/ReplicaDriver.h"
#include "Courseloom/src/Runtime/ChangeSignal.h"
#include "Courseloom/src/Scheduling/RunPlanner.h"
#include "Courseloom/src/Scheduling/TargetHealth.h"

namespace courseloom {

/** \class Ticket
 * \brief Permission to run a step on one life of a target.
 */
struct Ticket {
  std::string target;
  std::string text;
};

/** \class AdvicePort
 * \brief The service that alone knows which targets may run a step of a queue under a policy.
 */
class AdvicePort {
 public:
  virtual ~AdvicePort() = default;
  /** Asks for the targets that may run a step. \param step any task of it \param limit time for all of it */
  virtual Awaitable<Result<std::vector<Ticket>>> advise(schema::TaskId step, std::vector<std::string> targets,
                                                        Duration limit) = 0;
};

/** \class WorkflowRunner
 * \brief Serves queues and agents on the leader: takes workflows in, plans runs, commits them, gives the orders.
 *
 * Every start is committed before its order leaves, and every end before the target may forget it. Runs on the control
 * strand; all decisions are made by RunLedger and RunPlanner, which have no input or output of their own.
 */
class WorkflowRunner {
 public:
  WorkflowRunner(const DaemonContext& context, ControlStrand strand, ReplicaDriver& driver,
                 std::unique_ptr<AdvicePort> advice);

  void start();
  /** Begins or ends to act as leader. */
  void lead(bool leads);
  /** Takes committed changes in. */
  void onApplied();

  Awaitable<Result<schema::QueueAnswer>> call(schema::QueueCall call);
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request);
  Awaitable<Result<void>> putConfiguration(schema::QueueConfiguration configuration);
  /** \returns the configuration in force, surely the newest one. */
  Awaitable<Result<schema::QueueConfiguration>> readConfiguration();
  /** Lets waiting agents go, so that they look for another leader. */
  void release();
  /** \returns control replicas, for agents that follow them. */
  void setMembersSource(std::function<std::vector<ReplicaId>()> source) { m_membersSource = std::move(source); }

 private:
  struct Permission {
    std::map<std::string, std::string> tickets;
    Time until{};
    std::set<std::string> asked;  ///< targets that were named
    bool asking = false;
  };
  using StepName = std::pair<std::string, StepKey>;

  Awaitable<void> tickLoop();
  Awaitable<void> planLoop();
  Awaitable<bool> commitRuns(schema::RecordRuns runs);
  Awaitable<void> expireRuns();
  void wake();
  bool leads() const { return m_leads && m_driver.canRead(); }
  const WorkflowTable& table() const { return m_driver.state().workflows(); }

  schema::RecordRuns makePlan();
  void reviewRuns();
  void markGuaranteed();
  Rank rankOfWorkflow(const WorkflowState& workflow) const;
  unsigned wholeTargetsToKeep(const std::vector<PlannedRun>& runs, const std::vector<PlannedStep>& steps);
  bool leavesTooLate(const RunKey& key, const RunTrack& track) const;
  bool standsStill(const RunKey& key, const RunTrack& track) const;
  static double remainingMs(const schema::StepSpec& step, const RunTrack& track);
  void stopWhole(const RunKey& key, const char* reason);
  std::vector<PlannedTarget> planTargets() const;
  std::vector<PlannedRun> planRuns(const std::vector<PlannedTarget>& targets) const;
  std::vector<PlannedStep> planSteps();
  void addSteps(const WorkflowState& workflow, std::uint64_t nowMs, std::vector<PlannedStep>& steps);
  bool permit(PlannedStep& step, const schema::Queue* queue);
  Awaitable<void> askAdvice(StepName name, std::vector<std::string> targets, Duration validity);
  const schema::Queue* queueNamed(const std::string& name) const;
  void notifyAgent(const std::string& agent);

  const schema::Queue* findQueue(const schema::QueueCall& call, std::string& id) const;
  Result<std::string> tenantOf(const schema::Queue& queue, const schema::QueueCall& call) const;
  Awaitable<Result<schema::QueueAnswer>> submit(const schema::QueueCall& call, const schema::Queue& queue,
                                                std::string tenant, std::string id);
  Awaitable<Result<schema::QueueAnswer>> cancel(const std::string& tenant, std::string id);
  schema::QueueAnswer stateOf(const std::string& tenant, const std::string& id) const;
  std::uint32_t pendingOf(const std::string& queue) const;

  DaemonContext m_context;
  ControlStrand m_strand;
  ReplicaDriver& m_driver;
  std::unique_ptr<AdvicePort> m_advice;
  RunLedger m_ledger;
  RunPlanner m_planner;
  TargetHealth m_health;
  ChangeSignal m_planWanted;
  std::map<std::string, ChangeSignal> m_agentSignals;
  std::map<StepName, Permission> m_permissions;
  std::map<StepName, Time> m_readySince;
  std::function<std::vector<ReplicaId>()> m_membersSource;
  std::set<std::string> m_guaranteed;  ///< workflows within their tenants' guarantees, as of this plan
  double m_urgentPeak = 0.0;           ///< accelerators that priority 0 lately needed at once
  Time m_urgentSeen{};                 ///< when the peak was last brought up to date
  bool m_leads = false;
  bool m_dirty = false;
  bool m_expiring = false;
  bool m_released = false;
};

/** \returns run time of the longest chain of steps, ms. */
double longestChainMs(const schema::WorkflowSpec& spec);

}  // namespace courseloom
