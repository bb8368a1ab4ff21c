// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "Courseloom/src/Control/AdmissionReview.h"
#include "Courseloom/src/Control/ReplicaDriver.h"
#include "Courseloom/src/Control/StrandSlice.h"
#include "Courseloom/src/Control/TicketCache.h"
#include "Courseloom/src/Membership/RelayDirectory.h"
#include "Courseloom/src/Runtime/ChangeSignal.h"
#include "Courseloom/src/Scheduling/CopyPlanner.h"
#include "Courseloom/src/Scheduling/FairShare.h"
#include "Courseloom/src/Scheduling/RunPace.h"
#include "Courseloom/src/Scheduling/RunPlanner.h"
#include "Courseloom/src/Scheduling/StepSelection.h"
#include "Courseloom/src/Scheduling/TargetHealth.h"
#include "Courseloom/src/Scheduling/WaitReview.h"
#include "generated/rpc.pb.h"

namespace courseloom {

namespace internal {

/** Properties that all active runs of one step share. */
struct StepRunInfo {
  std::pair<std::string, StepKey> name;  ///< workflow and step
  const WorkflowState* workflow = nullptr;
  ResourceAmounts need;  ///< resources that one task needs
  Rank rank = UrgentRank;
  bool ended = false;
  bool preemptible = true;  ///< false for long-running steps
  bool gang = false;
  bool checkpointable = false;
  double cores = 0.0;                             ///< cores that a task takes, accelerators converted to cores
  bool speculative = false;                       ///< its tasks may have copies
  double expectedMs = 0.0;                        ///< expected run time of a task on a usual target
  const RunTimeDistribution* runTimes = nullptr;  ///< of its queue; null if forecasts do not use them
  bool reportsCheckpoints = false;                ///< the age of the newest checkpoint is known and counts as lost work

  /** \returns whether a run belongs to this step. */
  bool covers(const RunKey& key) const { return key.task.stepKey() == name.second && key.workflow == name.first; }
};

}  // namespace internal

/** \class WorkflowRunner
 * \brief Serves agents on the leader: plans runs of workflows, commits them, sends orders and receives reports.
 *
 * Every start is committed before its order is sent. Every end is committed before the target may discard it. All
 * functions run on the control strand. RunLedger and RunPlanner make all decisions; they do no input or output.
 */
class WorkflowRunner : public AdmissionSource {
 public:
  /** \param advice advice service; if null, no step needs a ticket */
  WorkflowRunner(const DaemonContext& context, ControlStrand strand, ReplicaDriver& driver,
                 std::unique_ptr<AdvicePort> advice);

  /** Starts the tick loop and the planning loop. Called once. */
  void start();
  /** Starts or stops acting as leader. \param leads whether this replica leads from now on */
  void lead(bool leads);
  /** Processes the changes that were committed and applied since the last call. */
  void onApplied();

  /** Handles an agent's report. The reply, with orders and the lease, is delayed until there is something to send, at
   * most by the request's `wait_ms`. \returns NoLeader if this replica does not lead, Fenced if a newer report of the
   * agent has already arrived */
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request);
  /** \returns numbers of nodes that can relay calls for a node that cannot reach control.
   * \param node name of the node that needs the relays */
  std::vector<std::uint32_t> relaysFor(const std::string& node);
  /** \returns the data halls of all known targets. */
  std::set<std::string> dataHalls() const;
  /** \returns each drained data hall with the numbers of targets and runs that are still in it. */
  std::vector<schema::HallDrainStatus> hallDrainStatus() const;
  /** \returns the status of each known target, with its estimated time factor. */
  std::vector<schema::TargetStatus> targetStatus() const;
  /** Ends all delayed replies to agents with a failure, so that the agents try other replicas. */
  void releaseWaiters();
  std::optional<AdmissionInput> admissionInput(const schema::Workflow& workflow) override;
  void addToBacklog(const std::string& service, const Submission& submission) override;
  /** Sets the function that returns the control replicas; replies to agents list them. */
  void setMembersSource(std::function<std::vector<ReplicaId>()> source) { m_membersSource = std::move(source); }

 private:
  using StepName = TicketCache::StepName;
  /** Number of steps of workflows that one pass, or one update of the backlogs, walks to compute chains and backlogs
   * anew. Beyond it those of a former pass are used. */
  static constexpr std::size_t StepWalksPerPass = 20000;

  /** Length of the longest chain of steps of a workflow, and what it was computed from. */
  struct ChainLength {
    double ms = 0.0;
    std::uint64_t estimates = 0;  ///< value of m_estimatorUpdates
    ResourceAmounts capacity;     ///< of the service
  };

  /** Work of a workflow that has not started, and what it was computed from. */
  struct WorkflowBacklog {
    ResourceWork unstarted;
    ResourceWork held;            ///< by its long-running tasks; resources rather than work
    std::uint64_t changes = 0;    ///< WorkflowState::changes
    std::uint64_t estimates = 0;  ///< value of m_estimatorUpdates
    std::uint32_t due = 0;        ///< number of due occurrences
  };

  /** What is kept of an open workflow from pass to pass, since it takes a walk over all steps of the workflow. */
  struct WorkflowFigures {
    std::optional<ChainLength> chain;
    std::optional<WorkflowBacklog> backlog;
    std::optional<std::uint64_t> widest;  ///< accelerators of its widest step
    /** Step with which the next pass begins, if the workflow has more steps than a pass examines. */
    std::uint32_t stepTurn = 0;
  };

  Awaitable<void> tickLoop();
  Awaitable<void> planLoop();
  schema::AttendReply makeReply(const schema::AttendRequest& request);
  schema::AttendReply requestFullReport(const schema::AttendRequest& request);
  void logRunEnd(const schema::RunEnd& end, const schema::AttendRequest& report) const;
  std::uint64_t findWithheldEnd(const std::string& agent);
  schema::RecordRuns collectEnds(const schema::AttendRequest& report, Time received);
  Awaitable<bool> commitRuns(schema::RecordRuns runs);
  Awaitable<void> expireRuns();
  Awaitable<void> recordLedger();
  void addLivedRuns(schema::RecordRuns& runs);
  std::set<StepName> findWaitingSteps();
  void reviewWaits(const std::vector<PlannedStep>& steps, const std::vector<PlannedTarget>& targets,
                   const std::vector<PlannedRun>& runs);
  void logWaits(const std::vector<StepName>& due, const std::vector<PlannedStep>& steps, WaitGates gates);
  void logWait(const StepName& name, WaitGate gate);
  void logUnseenRuns(Time now);
  bool isLeaseRecorded();
  void requestPlan();
  bool leads() const { return leads(BootClock::now()); }
  bool leads(Time at) const { return m_leads && m_driver.canRead(at); }
  const WorkflowTable& table() const { return m_driver.state().workflows(); }

  Awaitable<schema::RecordRuns> makePlan();
  void stopPlanned(const RunPlan& plan, const std::vector<PlannedStep>& steps);
  void logStopDelays(const RunPlan& plan, const std::vector<PlannedStep>& steps) const;
  bool makesCopies() const { return m_context.settings.policy().copies(); }
  void addCopies(const RunPlan& plan, const std::vector<PlannedStep>& steps, const std::vector<PlannedTarget>& targets,
                 unsigned keepFullyFree, schema::RecordRuns& runs);
  std::vector<CopyCandidate> copyCandidates(const std::vector<PlannedRun>& active,
                                            const std::vector<PlannedTarget>& targets, std::size_t& activeCopies);
  std::vector<std::size_t> eligibleForCopy(const WorkflowState& workflow, const StepKey& key,
                                           const std::vector<PlannedTarget>& targets);
  TargetCapacities freeForCopies(const RunPlan& plan, const std::vector<PlannedStep>& steps,
                                 const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& active,
                                 unsigned keepFullyFree) const;
  std::vector<WaitingWork> workStillWaiting(const RunPlan& plan, const std::vector<PlannedStep>& steps) const;
  void recordCopyStart(const RunKey& slow, const PlannedTarget& target, schema::RecordRuns& runs);
  bool isCopy(const RunKey& key) const;
  void observeCopies(const RunChange& change);
  schema::RecordRuns recordStarts(const std::vector<RunPlan::Start>& starts, const std::vector<PlannedStep>& steps,
                                  const std::vector<PlannedTarget>& targets) const;
  bool acceptsStarts(const PlannedTarget& target) const;
  std::vector<RunPlan::Start> startsOnRespondingAgents(const RunPlan& plan, const std::vector<PlannedStep>& steps,
                                                       const std::vector<PlannedTarget>& targets);
  void countYoungStop(const RunKey& key);
  void observeGangs();
  void recordFillLimit();
  void reviewRuns();
  void applyHallDrains();
  bool isDrained(const TargetTrack& target) const;
  bool runsInDrainedHall(const RunTrack& track) const;
  /** Voided starts among committed changes, by what they show. */
  struct VoidedStarts {
    std::set<RunKey> blamingTarget;  ///< they count against their targets
    std::set<RunKey> stopped;        ///< their stop had been requested
  };
  void recordHealth(const RunChange& change, bool stopped);
  VoidedStarts findVoidedStarts(const std::vector<RunChange>& changes) const;
  void recordVoid(const RunChange& change, bool blamesTarget);
  void recordBegun(const std::string& target);
  void recordStartSurvived(schema::RunEnd& end) const;
  void logCrash(const RunChange& change) const;
  void logGivenUpTasks(const WorkflowState& workflow) const;
  bool isTrialStart(const WorkflowState& workflow, const RunKey& key, const RunTrack& track) const;
  bool isTargetReachable(const RunTrack& track) const;
  void findTrialAgents();
  std::size_t newTrialsAllowed(const PlannedStep& step) const;
  void addStepParts(PlannedStep step, std::vector<PlannedStep>& steps);
  void stopGangMembers(const RunChange& change);
  void recordTicketRefusal(const RunChange& change);
  void forgetDoneStep(const RunChange& change);
  void recordWorkflowEnd(const WorkflowState& workflow);
  void recordFirstStart(const RunChange& change);
  void updateGauges();
  void reviewGuarantees();
  void markGuaranteed();
  std::map<std::string, std::uint64_t> assignGuarantees(std::set<std::string>& guaranteed);
  void updateBacklogs();
  void addBacklogOf(const WorkflowState& workflow, std::uint64_t nowMs);
  const WorkflowBacklog* backlogOf(const WorkflowState& workflow, std::uint64_t nowMs);
  std::uint64_t widestOf(const WorkflowState& workflow);
  ResourceWork workOf(const std::string& queue, const schema::StepSpec& step, std::uint64_t tasks) const;
  Rank rankOfSubmission(const schema::Workflow& workflow);
  Rank rankOfWorkflow(const WorkflowState& workflow) const;
  unsigned freeTargetsToKeep(const std::vector<PlannedRun>& runs, const std::vector<PlannedStep>& steps);
  bool endsAfterTarget(const RunKey& key, const RunTrack& track) const;
  bool isStalled(const RunKey& key, const RunTrack& track) const;
  bool learnsRunTimes() const { return m_context.settings.policy().learn_run_times(); }
  double expectedMs(const std::string& queue, const schema::StepSpec& step) const;
  double timeFactor(const std::string& target) const;
  double remainingMs(const RunTrack& track, double usualMs, const RunTimeDistribution* runTimes) const;
  const RunTimeDistribution* runTimesOf(const std::string& queue) const;
  double quantileMs(const std::string& queue, double expectedMs) const;
  void forecastEnd(PlannedRun& run, const RunTrack& track, const internal::StepRunInfo& shared) const;
  std::optional<double> fullRunTimeMs(const RunKey& key, const RunTrack& track) const;
  bool startedFromBeginning(const RunKey& key) const;
  void recordFullRunTime(schema::RunEnd& end, Time now) const;
  void updateEstimator();
  void logSpeedChanges();
  void stopRunOrGang(const RunKey& key, const char* reason);
  void updateTargetDescriptions();
  const std::vector<PlannedTarget>& planTargets();
  static void alignGangEnds(std::vector<PlannedRun>& runs);
  bool stepReportsCheckpoints(const RunKey& key) const;
  internal::StepRunInfo stepRunInfo(const RunKey& key) const;
  std::vector<PlannedRun> planRuns(const std::vector<PlannedTarget>& targets) const;
  Awaitable<std::vector<PlannedStep>> collectSteps(StrandSlice& slice);
  void refreshSteps(std::vector<PlannedStep>& steps, const std::vector<std::string>& owners) const;
  const WorkflowState* findWaiting(const StepName& name) const;
  Awaitable<std::vector<WorkflowDemand>> findDemands(std::uint64_t nowMs, StrandSlice& slice);
  Awaitable<std::vector<StepName>> selectSteps(std::uint64_t nowMs, StrandSlice& slice);
  static void addRemembered(const WorkflowState& workflow, const std::set<StepName>& remembered,
                            std::vector<StepKey>& keys);
  std::vector<std::size_t> limitTasks(const std::vector<StepName>& selected);
  void addStep(const WorkflowState& workflow, const StepKey& key, std::size_t most, std::uint64_t nowMs,
               std::vector<PlannedStep>& steps);
  std::map<std::string, unsigned> activeByTarget(const StepName& name) const;
  void assignBands(std::vector<PlannedStep>& steps);
  WorkspaceDemands workspaceDemands(const std::vector<PlannedStep>& steps, std::uint64_t nowMs) const;
  ResourceTime activeUse(const WorkflowState& workflow, std::uint64_t nowMs) const;
  void reportShares(const FairShare& shares);
  double objectiveChainMs(const WorkflowState& workflow);
  double computeChainMs(const schema::Workflow& record, const ResourceAmounts& capacity) const;
  ResourceAmounts capacityForWaves(const std::string& service);
  std::map<std::string, ResourceAmounts> serviceCapacities() const;
  std::set<std::string> targetsToAvoid(const WorkflowState& workflow, const PlannedStep& step) const;
  const std::vector<std::string>& openTargets(const std::string& service);
  std::optional<TicketCache::Tickets> ticketsOf(const WorkflowState& workflow, const StepKey& key);
  const schema::Queue* queueNamed(const std::string& name);
  void notifyAgent(const std::string& agent);

  DaemonContext m_context;
  ControlStrand m_strand;
  ReplicaDriver& m_driver;
  TicketCache m_tickets;
  RunLedger m_ledger;
  RelayDirectory m_relays;  ///< updated at each tick
  RunPlanner m_planner;
  CopyPlanner m_copyPlanner;
  double m_lostCopySeconds = 0.0;  ///< core-seconds of runs whose task another run completed first
  TargetHealth m_health;
  ShareReview m_shareReview;
  Time m_nextShareRecord{};                     ///< when the shares of workspaces are next recorded as a metric
  RunTimeEstimator m_runTimeEstimator;          ///< run time estimates from the log and from the active runs
  std::map<std::string, TargetSpeed> m_speeds;  ///< last logged speed, by target identity
  Time m_nextEstimatorUpdate{};                 ///< time of the next update of the run time estimates
  ChangeSignal m_planWanted;
  std::map<std::string, ChangeSignal> m_agentSignals;
  std::map<StepName, Time> m_readySince;  ///< when this leader first found the step ready; until it is done
  std::vector<StepName> m_selectedSteps;  ///< the waiting steps that the last pass examined
  std::uint64_t m_passes = 0;             ///< number of planning passes
  StepName m_nextLargeGang;               ///< with which the gangs begin that are larger than their share of a pass
  std::map<std::string, WorkflowFigures> m_figures;  ///< by workflow
  std::size_t m_stepWalksLeft = 0;  ///< number of steps that may still be walked in this pass, for chains and backlogs
  std::uint64_t m_estimatorUpdates = 0;  ///< number of updates of m_runTimeEstimator
  std::function<std::vector<ReplicaId>()> m_membersSource;
  std::set<std::string> m_drainedHalls;           ///< as of the last applied change
  std::vector<PlannedTarget> m_planTargets;       ///< in the ledger's order, without targets in drained halls
  std::vector<std::string> m_targetIncarnations;  ///< incarnations of all targets, including those in drained halls
  /** Versions of the descriptions and of the drains that m_planTargets was made from. */
  std::pair<std::uint64_t, std::uint64_t> m_planTargetsVersion;
  std::set<std::string> m_guaranteed;   ///< workflows within their tenants' guarantees, in this plan
  std::set<std::string> m_trialAgents;  ///< agents whose targets run a trial start, in this plan
  std::size_t m_trialsLeft = 0;         ///< trial starts that this plan may still add
  std::optional<std::map<std::string, ResourceAmounts>>
      m_serviceCapacities;                               ///< by service; computed on first use in a plan
  std::map<std::string, const schema::Queue*> m_queues;  ///< by name, in configuration m_queuesVersion
  std::uint64_t m_queuesVersion = 0;
  std::map<std::string, std::vector<std::string>> m_openTargets;  ///< by service; computed on first use in a plan
  /** Accepted work and capacity of one service, as input of admissions. */
  struct ServiceBacklog {
    std::vector<BacklogEntry> entries;
    ResourceWork capacity;  ///< of the open targets, without what long-running work holds
  };
  std::map<std::string, ServiceBacklog> m_backlogs;  ///< by service, as of m_backlogsUpdated
  Time m_ledgerRecorded{};                           ///< when the state of the ledger was last recorded in the log
  Time m_backlogsUpdated{};                          ///< zero if they have to be computed anew
  double m_urgentPeak = 0.0;     ///< decaying maximum of accelerators that work of priority 0 needs at once
  WaitReview m_waitReview;       ///< steps that wait for long
  Time m_nextWaitReview{};       ///< when waiting steps and unseen runs are reviewed next
  Time m_nextUnseenEvent{};      ///< earliest time of the next events RunUnseen
  Time m_urgentPeakUpdated{};    ///< when m_urgentPeak was last updated; zero before the first plan
  std::size_t m_keptLogged = 0;  ///< targets kept for gangs as last logged
  Time m_nextFillEvent{};        ///< earliest time of the next event FillLimitChanged
  Duration m_planDuration{};     ///< duration of the last plan
  bool m_guaranteesFit = true;   ///< as last logged
  bool m_leads = false;
  bool m_changesInherited = false;  ///< true until this leader may have proposed runs itself: run changes applied until
                                    ///< then come from former leaders
  bool m_dirty = false;             ///< a new plan is requested
  bool m_released = false;          ///< releaseWaiters() was called
};

}  // namespace courseloom
