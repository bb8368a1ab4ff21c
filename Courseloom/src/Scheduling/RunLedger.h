// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/range/iterator_range_core.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Scheduling/LateCalls.h"
#include "Courseloom/src/Scheduling/ResourceAmounts.h"
#include "Courseloom/src/State/WorkflowTable.h"
#include "generated/settings.pb.h"

namespace courseloom {

/** \class RunKey
 * \brief Identifies one run of one task.
 */
struct RunKey {
  std::string workflow;
  TaskKey task;
  std::uint32_t run = 0;
  auto operator<=>(const RunKey&) const = default;
};

/** A run that has been seen at its target for this long did not crash the target at its start. */
inline constexpr Duration StartPhase = milliseconds(2000);

/** \class RunLedgerOptions
 * \brief Time limits of the ledger, and switches that turn single mechanisms off.
 */
struct RunLedgerOptions {
  Duration grant = milliseconds(5500);         ///< lease: how long an agent may hold runs after an answer of the leader
  Duration slack = milliseconds(300);          ///< added to the end of a lease before the agent's runs count as lapsed
  Duration leavingLease = milliseconds(5500);  ///< upper limit of the lease while the agent's target is draining
  Duration longestHold = milliseconds(6000);   ///< longest time for which a target keeps its runs after one call
  Duration silenceLimit = milliseconds(2500);  ///< an agent gets no new runs once its last contact is this long ago
  Duration retryOrdersAfter = milliseconds(1500);  ///< an order without a reported result is sent again after this time
  /** An agent whose last contact is at most this long ago is taken to be reachable. Covers many round trips. */
  Duration fresh = milliseconds(150);
  unsigned reportsPerSecond = 1000;  ///< wanted rate of reports from all agents together while nothing happens
  /** An agent that has not answered a request for a report within this time gets no new runs. */
  Duration reportRequestTimeout = milliseconds(150);
  // Proofs use these switches to turn single mechanisms off. All are on in production.
  bool awaitLateStarts = true;     ///< a run whose start may be in transit is neither lost nor lapsed
  bool waitForLeases = true;       ///< the runs of a silent agent end only after its lease has expired
  bool inheritLeases = true;       ///< a new leader assumes that the former one granted leases until the new one began
  bool withholdEndingRuns = true;  ///< a run whose end is about to be committed gets no start order
  bool awaitOtherRun = true;  ///< an end RunDone is committed only once no order in transit can begin the task's copy
  bool rejectStaleReports =
      true;  ///< a delayed report neither ends runs nor displaces a newer incarnation of its agent
};

/** \class RunTrack
 * \brief What the leader knows about one active run in addition to the log.
 */
struct RunTrack {
  std::string agent;
  std::string target;
  bool confirmed = false;  ///< the agent is known to have the run, and the start to have been carried out
  bool begun = false;      ///< the target has listed the run, so that no start call of it is in transit
  bool lived = false;      ///< the log holds that the run has survived its start, or will
  bool stopRequested = false;
  bool doneProposed = false;         ///< an end RunDone of the run was handed over to be committed
  bool endProposed = false;          ///< the end of the run was handed over to be committed
  bool inherited = false;            ///< a former leader may have ordered the start
  std::uint64_t firstOrderedTo = 0;  ///< incarnation of the agent that got the first start order; 0 if there was none
  Time startOrderedAt{};           ///< when the agent's current incarnation was last ordered to start it; zero if never
  Time stopOrderedAt{};            ///< when the agent's current incarnation was last ordered to stop it; zero if never
  Time startedAt{};                ///< when the start was applied here, or when this leader began to lead
  std::string checkpoint;          ///< newest checkpoint that was reported
  Time checkpointAt{};             ///< when a report first contained this checkpoint; zero until one of this run did
  std::uint32_t percent = 0;       ///< newest reported progress
  std::uint32_t noProgressMs = 0;  ///< time without progress when last reported, by the agent's clock
  Time percentChanged{};           ///< when the run was first seen at this percentage; startedAt until it has changed
  std::uint32_t firstPercent = 0;  ///< progress when the run was first seen
  Time firstSeen{};                ///< when the run was first seen at its target; zero if never
  Time seen{};                     ///< when the run was last seen at its target
  std::uint64_t usage = 0;

  /** \returns whether an agent may have been ordered to start the run. */
  bool mayBeOrdered() const { return inherited || firstOrderedTo != 0; }
};

/** \class TargetTrack
 * \brief What the leader knows about one agent and the target that it guards.
 */
struct TargetTrack {
  schema::TargetReport report;  ///< newest description of the target
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  ///< sequence number of the newest report
  std::uint64_t version = 0;   ///< version of the target's description; 0 if every report contains the description
  std::uint32_t relay = 0;     ///< number under which the agent relays calls; 0 if it does not relay
  bool relayed = false;        ///< the newest report came through another node
  Time leaseUntil{};           ///< end of the latest lease
  Time firstTargetReport{};    ///< when the agent first named a target; zero if it has not yet
  Time lastContact{};          ///< last contact with the agent
  Time lastReachable{};        ///< when the target was last reachable; initially the time of the first report
  Time
      lostSince{};  ///< when the target was last reported unreachable, or replaced without such a report; zero if never
  std::set<std::string> workflowsAtLoss;  ///< workflows that had runs on the target at lostSince
  Time reportRequestedAt{};  ///< when a report was first requested since the last contact; zero if none was
  /** Number of the first end in the newest report that is not to be committed yet; 0 if there is none. */
  std::uint64_t withheldEnd = 0;
  std::string withheldFor;     ///< agent of the other run of the task, for which that end is withheld
  std::vector<RunKey> strays;  ///< runs reported as running that the log does not hold as active on this incarnation
};

/** \class TargetOffer
 * \brief What one target currently offers to a plan.
 */
struct TargetOffer {
  std::string incarnation;  ///< name of the target's incarnation
  bool open = false;        ///< the target may be given new runs
  ResourceAmounts room;     ///< total capacity, including what current runs use
  bool operator==(const TargetOffer& other) const = default;
};

/** \class RelayAgent
 * \brief An agent that relays calls to control.
 */
struct RelayAgent {
  std::uint32_t number = 0;  ///< number by which nodes find the agent
  std::string dataHall;
};

/** \class RunLedger
 * \brief The leader's record of active runs, which reconciles the log with the agents' reports.
 *
 * The class uses no clock and no sockets. The caller passes in committed changes and the agents' reports; the ledger
 * returns the ends to commit and the orders to send. It keeps two rules. An order is issued only for a run that the log
 * holds as active. A run ends only when its target listed the end, when the target's incarnation is over, when its
 * agent ensured that the run never started, or when every lease that could have kept the run alive has certainly
 * expired; and, except for a listed end, not while its start call may be in transit.
 * \sa LateCalls.h, WorkflowTable, RunAgentService
 */
class RunLedger {
 public:
  explicit RunLedger(RunLedgerOptions options = {}) : m_options(options) {}

  /** Begins to lead. Discards all state about agents and targets, which has to be learnt again from their reports.
   * \param table supplies the active runs, which count as inherited \param term term in which this replica leads */
  void lead(const WorkflowTable& table, Time now, std::uint64_t term = 0);
  /** Applies committed changes. \param inherited whether a former leader made them, so that it may have ordered their
   * starts */
  void apply(const std::vector<RunChange>& changes, Time now, bool inherited = false);
  /** Reads what the log holds of the active runs and of leases: which runs have begun and survived their start, and the
   * length of former leases. To be called after each change that a former leader made: a replica that has restarted
   * applies most of its log only once it leads. */
  void readRecords(const WorkflowTable& table);
  /** \returns whether a report may change the ledger: its agent has had an answer from this leader, so the report
   * cannot be older than this leadership. Any other report only gets an answer. */
  bool isCurrent(const schema::AttendRequest& report) const;
  /** \returns whether a newer report arrived before this one, on another connection or through another node. */
  bool isSuperseded(const schema::AttendRequest& report) const;
  /** Adds the target's description where the report omits it because the leader has it. \returns false if the leader
   * does not have that description; the report must not be applied then */
  bool complete(schema::AttendRequest& report) const;
  /** \returns whether this leader has already applied a report of the same incarnation of the agent. */
  bool isKnown(const schema::AttendRequest& report) const;
  /** Applies an agent's report. Of a report that is not current or was overtaken it records only the contact with that
   * incarnation of the agent. \returns ends to commit; the target may be allowed to forget its ends only after the
   * commit */
  std::vector<schema::RunEnd> receiveReport(const schema::AttendRequest& report, Time now);
  /** \returns the track of an agent whose newest report has an end that is not to be committed yet, otherwise null.
   * Such an end must not be acknowledged, so that the agent reports it again. */
  const TargetTrack* withholds(const std::string& agent) const;
  /** \returns ends of runs whose leases have all expired. */
  std::vector<schema::RunEnd> expire(Time now);
  /** Grants an agent a lease for its runs, beginning now. \returns the length of the lease. It is limited to
   * leavingLease while the target drains, since an agent that leaves together with its target sends no final report. It
   * is zero while the agent reports no target, since runs would never lapse otherwise. */
  Duration grant(const std::string& agent, Time now);
  /** \returns the length of leases, ms, that is to be recorded in the log; 0 if the recorded one may stay. Longer
   * leases must be recorded before they are granted. Shorter ones are recorded once the leases of former leaders are
   * over. \param recordedMs the recorded length, ms; 0 for none */
  std::uint32_t leaseToRecord(std::uint32_t recordedMs, Time now) const;
  /** \returns the orders that are due for an agent, and records them as sent. */
  std::vector<schema::RunOrder> issueOrders(const std::string& agent, const WorkflowTable& table, Time now);
  /** \returns whether starts or stops of active runs are due for an agent. Stops of stray runs do not count. */
  bool hasDueOrders(const std::string& agent, const WorkflowTable& table, Time now) const;
  /** \returns whether a run was seen for at least StartPhase, by this leader or a former one. \param members size of
   * the run's gang, which is measured from the time at which all members had been seen, since it works only then; 1 for
   * a single task */
  bool lived(const RunKey& key, std::uint32_t members) const;
  /** \returns whether a start that never began counts against its target: this leader ordered it first, to the agent's
   * present incarnation, and has not asked to stop it, and the target is the same and in reach, has not been lost since
   * the start and is not draining. */
  bool blamesTarget(const RunKey& key) const;
  /** \returns the runs that a report shows as begun on the agent's target and that were not known to have begun. To be
   * called before the report is applied. */
  std::vector<RunKey> newlyBegun(const schema::AttendRequest& report) const;
  /** \returns the runs that were first listed by their targets since the last call, to be recorded in the log. */
  std::vector<schema::StartReport> consumeBegun() { return std::exchange(m_begun, {}); }
  /** Notes that a run's survival of its start is being recorded in the log. */
  void setLived(const RunKey& key) { m_runs.at(key).lived = true; }
  bool hasUnrecordedBegun() const { return !m_begun.empty(); }
  /** \returns whether an agent has an active run that is not known to have begun. */
  bool hasUnconfirmedStart(const std::string& agent) const;
  /** Requests that a run be stopped. \returns its agent, or an empty string if the run is not active */
  std::string requestStop(const RunKey& key);

  /** Some active runs, in the order of their keys. */
  using Runs = boost::iterator_range<std::map<RunKey, RunTrack>::const_iterator>;

  const std::map<RunKey, RunTrack>& runs() const { return m_runs; }
  /** \returns the active runs of a workflow. */
  Runs runsOf(const std::string& workflow) const;
  /** \returns the active runs of a step. */
  Runs runsOf(const std::string& workflow, const StepKey& step) const;
  const std::map<std::string, TargetTrack>& targets() const { return m_targets; }
  /** \returns how long an agent may delay a report without changes, so that all agents together send about
   * reportsPerSecond. It is always shorter than the time for which an agent may be silent. */
  Duration reportWait() const;
  /** \returns a number that increases whenever a target is added or its description changes: incarnation, service,
   * rack, data hall, labels or capacity. */
  std::uint64_t descriptions() const { return m_descriptions; }
  /** \returns whether an agent may be given new runs now. */
  bool open(const std::string& agent, Time now) const;
  bool open(const TargetTrack& target, Time now) const;
  /** \returns what an agent's target offers now. */
  TargetOffer offer(const std::string& agent, Time now) const;
  /** \returns whether a target that is closed to new runs is expected to open soon: it is not draining, and it was last
   * reachable no longer ago than a full lease with its slack, which its runs would outlast. */
  bool awaited(const std::string& agent, Time now) const;
  bool awaited(const TargetTrack& target, Time now) const;
  /** \returns whether the last contact with an agent is so recent that a start will reach it. */
  bool fresh(const std::string& agent, Time now) const;
  /** Requests a report from an agent, which is not to be delayed any longer. */
  void requestReport(const std::string& agent, Time now);
  /** \returns whether a requested report of an agent is outstanding. */
  bool reportRequested(const std::string& agent) const;
  /** \returns whether targets are still registering, as they do after a start: this replica has led for less than the
   * time for which an agent may be silent, or many of the known targets were first named within that time. */
  bool arriving(Time now) const;
  /** \returns agents that relay calls to control and were recently in contact without a relay. */
  std::vector<RelayAgent> relays(Time now) const;
  const RunLedgerOptions& options() const { return m_options; }

 private:
  void recordContact(const schema::AttendRequest& report);
  std::size_t contactOrder(const std::string& agent, std::uint64_t incarnation) const;
  schema::RunEnd makeEnd(const RunKey& key, schema::RunEndKind kind, const std::string& checkpoint);
  void classifyCrashes(const schema::AttendRequest& report, const schema::TargetReport& before,
                       std::vector<schema::RunEnd>& ends) const;
  TargetTrack& track(const std::string& agent);
  void recordTargetLoss(const std::string& agent, TargetTrack& target, Time now);
  bool lostWithOthers(const std::string& agent, const std::string& workflow) const;
  void recordBegun(const RunKey& key, RunTrack& track);
  bool mayBeginLate(const RunKey& key, const RunTrack& track, const schema::AttendRequest& report) const;
  Time lapseTime(const std::string& agent, const RunTrack& track) const;
  bool mayHaveStarted(const RunTrack& track, std::uint64_t incarnation) const;
  void applyRunReports(const schema::AttendRequest& report, Time now);
  bool guardsTargetOf(const std::string& agent, const RunTrack& track) const;
  bool startDue(const RunTrack& track, Time now) const;
  bool stopDue(const RunKey& key, const RunTrack& track, const WorkflowTable& table, Time now) const;
  Time leaseEnd(const std::string& agent) const;
  RunTrack* otherRunOf(const RunKey& key);
  bool holdBackOther(const RunKey& key);
  void add(const schema::TaskId& task, const schema::ActiveRun& run, Time now, bool inherited);

  RunLedgerOptions m_options;
  Time m_leaderSince{};
  Duration m_formerGrant{};  ///< longest lease that a former leader may have granted
  std::uint64_t m_term = 0;
  std::uint64_t m_descriptions = 0;
  std::map<RunKey, RunTrack> m_runs;
  std::map<std::string, std::set<RunKey>> m_byAgent;
  std::map<std::string, TargetTrack> m_targets;  ///< by agent
  std::vector<schema::StartReport> m_begun;      ///< runs whose targets have listed them, not recorded in the log yet
  std::multimap<Time, std::string> m_losses;     ///< agents by the lostSince of their targets
  /** By agent: its incarnations, numbered from 1 in the order of their first contact. */
  std::map<std::string, std::map<std::uint64_t, std::size_t>> m_incarnations;
};

RunKey runKeyOf(const schema::TaskId& task, std::uint32_t run);
/** \returns a row that names a run. */
schema::StartReport makeStartReport(const RunKey& key);

/** \returns whether the loss of a target has a cause outside of a workflow that ran there. \param others number of
 * targets that were lost at about the same time and ran nothing of that workflow */
bool hasExternalCause(std::size_t others);

/** \returns the length of a lease of an agent: at least run_grant_ms, and at least an outage (outage_s, if set) plus
 * the time for an election. */
Duration leaseLength(const schema::ControlSettings& settings);

}  // namespace courseloom
