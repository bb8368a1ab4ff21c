// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "Courseloom/src/Control/AdviceBook.h"
#include "Courseloom/src/Control/ReplicaDriver.h"
#include "Courseloom/src/Membership/RelayDirectory.h"
#include "Courseloom/src/Runtime/ChangeSignal.h"
#include "Courseloom/src/Scheduling/RunPace.h"
#include "Courseloom/src/Scheduling/RunPlanner.h"
#include "Courseloom/src/Scheduling/TargetHealth.h"
#include "generated/rpc.pb.h"

namespace courseloom {

namespace internal {

/** What the active runs of one step have in common. */
struct RunsOfStep {
  std::pair<std::string, StepKey> name;  ///< workflow and step
  const WorkflowState* workflow = nullptr;
  Room need;
  Rank rank = UrgentRank;
  bool ended = false;
  bool movable = true;
  bool gang = false;
  bool checkpointable = false;
  double cores = 0.0;
  double expectedMs = 0.0;  ///< run time of a task

  bool covers(const RunKey& key) const { return key.task.stepKey() == name.second && key.workflow == name.first; }
};

}  // namespace internal

/** \class WorkflowRunner
 * \brief Serves agents on the leader: plans runs of workflows, commits them, gives the orders, takes reports.
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

  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request);
  /** \returns nodes that relay calls for one that cannot reach control. \param asker name of that node */
  std::vector<std::uint32_t> relaysFor(const std::string& asker);
  /** \returns data halls of the targets that are known. */
  std::set<std::string> dataHalls() const;
  /** \returns each drained data hall with the targets and runs that are still there. */
  std::vector<schema::HallDrainStatus> hallDrainStatus() const;
  /** \returns each target with what is believed of it. */
  std::vector<schema::TargetStatus> targetStatus() const;
  /** Lets waiting agents go, so that they look for another leader. */
  void release();
  /** \returns control replicas, for agents that follow them. */
  void setMembersSource(std::function<std::vector<ReplicaId>()> source) { m_membersSource = std::move(source); }

 private:
  using StepName = AdviceBook::StepName;

  Awaitable<void> tickLoop();
  Awaitable<void> planLoop();
  schema::AttendReply makeReply(const schema::AttendRequest& request);
  schema::AttendReply askForWhole(const schema::AttendRequest& request);
  void tellEnded(const schema::RunEnd& end, const schema::AttendRequest& report) const;
  schema::RecordRuns endsIn(const schema::AttendRequest& report, Time received);
  Awaitable<bool> commitRuns(schema::RecordRuns runs);
  Awaitable<void> expireRuns();
  void wake();
  bool leads() const { return leads(BootClock::now()); }
  bool leads(Time at) const { return m_leads && m_driver.canRead(at); }
  const WorkflowTable& table() const { return m_driver.state().workflows(); }

  Awaitable<schema::RecordRuns> makePlan();
  void stopPlanned(const RunPlan& plan, const std::vector<PlannedStep>& steps);
  schema::RecordRuns recordStarts(const std::vector<RunPlan::Start>& starts, const std::vector<PlannedStep>& steps,
                                  const std::vector<PlannedTarget>& targets) const;
  bool takesStarts(const PlannedTarget& target) const;
  std::vector<RunPlan::Start> startsInReach(const RunPlan& plan, const std::vector<PlannedStep>& steps,
                                            const std::vector<PlannedTarget>& targets);
  void reviewRuns();
  void takeDrains();
  bool isDrained(const TargetTrack& target) const;
  bool runsInDrainedHall(const RunTrack& track) const;
  void noteHealth(const RunChange& change);
  void noteLived(schema::RunEnd& end) const;
  void tellCrash(const RunChange& change) const;
  void tellGivenUp(const WorkflowState& workflow) const;
  bool isTrial(const WorkflowState& workflow, const RunKey& key, const RunTrack& track) const;
  bool isInReach(const RunTrack& track) const;
  void findTrials();
  std::size_t newTrials(const PlannedStep& step) const;
  void addParts(PlannedStep step, std::vector<PlannedStep>& steps);
  void stopSiblings(const RunChange& change);
  void noteEnded(const WorkflowState& workflow);
  void noteStarted(const RunChange& change);
  void showGauges();
  void reviewGuarantees();
  void markGuaranteed();
  Rank rankOfWorkflow(const WorkflowState& workflow) const;
  unsigned wholeTargetsToKeep(const std::vector<PlannedRun>& runs, const std::vector<PlannedStep>& steps);
  bool leavesTooLate(const RunKey& key, const RunTrack& track) const;
  bool standsStill(const RunKey& key, const RunTrack& track) const;
  bool learns() const { return m_context.settings.policy().learn_run_times(); }
  double expectedMs(const std::string& queue, const schema::StepSpec& step) const;
  double timeFactor(const std::string& target) const;
  double remainingMs(const RunTrack& track, double usualMs) const;
  std::optional<double> wholeMs(const RunKey& key, const RunTrack& track) const;
  bool beganAnew(const RunKey& key) const;
  void noteWholeTime(schema::RunEnd& end, Time now) const;
  void learnFromRuns();
  void notePaces();
  void stopWhole(const RunKey& key, const char* reason);
  void describeTargets();
  const std::vector<PlannedTarget>& planTargets();
  static void endGangsTogether(std::vector<PlannedRun>& runs);
  internal::RunsOfStep sharedBy(const RunKey& key) const;
  std::vector<PlannedRun> planRuns(const std::vector<PlannedTarget>& targets) const;
  std::vector<PlannedStep> planSteps();
  void addSteps(const WorkflowState& workflow, std::uint64_t nowMs, std::vector<PlannedStep>& steps);
  double objectiveChainMs(const WorkflowState& workflow);
  std::map<std::string, Room> serviceRooms() const;
  std::set<std::string> targetsToAvoid(const WorkflowState& workflow, const PlannedStep& step) const;
  const std::vector<std::string>& openTargets(const std::string& service);
  const schema::Queue* queueNamed(const std::string& name);
  void notifyAgent(const std::string& agent);

  DaemonContext m_context;
  ControlStrand m_strand;
  ReplicaDriver& m_driver;
  AdviceBook m_advice;
  RunLedger m_ledger;
  RelayDirectory m_relays;  ///< as of the last tick
  RunPlanner m_planner;
  TargetHealth m_health;
  RunOutlook m_outlook;                         ///< of the log, and of what active runs show by now
  std::map<std::string, TargetSpeed> m_speeds;  ///< by target's life, as last told
  Time m_learnAgainAt{};                        ///< when the outlook is next brought up to date
  ChangeSignal m_planWanted;
  std::map<std::string, ChangeSignal> m_agentSignals;
  std::map<StepName, Time> m_readySince;
  std::function<std::vector<ReplicaId>()> m_membersSource;
  std::set<std::string> m_drainedHalls;      ///< as last seen
  std::vector<PlannedTarget> m_planTargets;  ///< in the order of the ledger's, without those in drained halls
  std::vector<std::string> m_planLives;      ///< of all targets
  std::pair<std::uint64_t, std::uint64_t> m_describedAt;  ///< descriptions and drains that m_planTargets follows
  std::set<std::string> m_guaranteed;   ///< workflows within their tenants' guarantees, as of this plan
  std::set<std::string> m_trialAgents;  ///< whose targets try a task, as of this plan
  std::size_t m_trialsLeft = 0;         ///< tasks that may be put on trial in this plan
  std::optional<std::map<std::string, Room>> m_serviceRooms;  ///< by service, as of this plan; nothing until asked for
  std::map<std::string, const schema::Queue*> m_queues;       ///< by name, of the configuration of version m_queuesOf
  std::uint64_t m_queuesOf = 0;
  std::map<std::string, std::vector<std::string>> m_openTargets;  ///< by service, as of this plan
  double m_urgentPeak = 0.0;    ///< accelerators that priority 0 lately needed at once
  Time m_urgentSeen{};          ///< when the peak was last brought up to date
  Duration m_planTook{};        ///< by the last plan
  bool m_guaranteesFit = true;  ///< as last told
  bool m_leads = false;
  bool m_inherits = false;  ///< what is applied now was committed, or proposed, by a former leader
  bool m_dirty = false;
  bool m_released = false;
};

}  // namespace courseloom
