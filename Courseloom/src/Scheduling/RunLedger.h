// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Scheduling/Room.h"
#include "Courseloom/src/State/WorkflowTable.h"
#include "generated/settings.pb.h"

namespace courseloom {

/** \class RunKey
 * \brief Names one run of one task.
 */
struct RunKey {
  std::string workflow;
  TaskKey task;
  std::uint32_t run = 0;
  auto operator<=>(const RunKey&) const = default;
};

/** A run that was seen at its target for this long has not crashed it at its start. */
inline constexpr Duration StartPhase = milliseconds(2000);

/** \class RunLedgerOptions
 * \brief Times that the ledger keeps to.
 */
struct RunLedgerOptions {
  Duration grant = milliseconds(5500);           ///< time for which an agent may hold runs after word from the leader
  Duration slack = milliseconds(300);            ///< added before runs of a silent agent count as lapsed
  Duration leavingGrant = milliseconds(5500);    ///< the same while the agent's target leaves
  Duration silence = milliseconds(2500);         ///< an agent not heard for this long gets no new runs
  Duration redeliverAfter = milliseconds(1500);  ///< an order without result is given again after this
  Duration fresh = milliseconds(150);     ///< an agent heard within this time is sure to be there: many round trips
  unsigned reportsEachSecond = 1000;      ///< wanted from all agents together while nothing happens
  Duration askLimit = milliseconds(150);  ///< an agent that was asked gets nothing new after this without an answer
  // Switches with which proofs turn one mechanism off; all on in production.
  bool waitForGrants = true;   ///< runs of a silent agent are over only when its grant has run out
  bool inheritGrants = true;   ///< a new leader counts on grants that a former one gave until it began
  bool withholdEnding = true;  ///< no start is ordered for a run whose end is on its way into the log
  bool doubtReports = true;    ///< a report that was long on its way ends no run and shuts no newer agent out
};

/** \class RunTrack
 * \brief What the leader believes of one active run, beyond the log.
 */
struct RunTrack {
  std::string agent;
  std::string target;
  bool confirmed = false;  ///< its start is known to have been carried out
  bool stopWanted = false;
  bool ending = false;            ///< its end was given to be committed
  bool inherited = false;         ///< a former leader may have ordered its start
  std::uint64_t deliveredTo = 0;  ///< incarnation of the agent that was first ordered to start it; 0 is none
  Time startDelivered{};
  Time stopDelivered{};
  Time startedAt{};
  std::string checkpoint;  ///< newest one reported
  std::uint32_t percent = 0;
  std::uint32_t stillMs = 0;       ///< time for which it stood still when it was last seen, by its agent's clock
  Time percentChanged{};           ///< when it was first seen at this percent, by the target's own word
  std::uint32_t firstPercent = 0;  ///< when it was first seen ...
  Time firstSeen{};                ///< ... at this instant; zero is never
  Time seen{};                     ///< newest word of the target on it
  std::uint64_t usage = 0;
};

/** \class TargetTrack
 * \brief What the leader believes of one agent and the target that it guards.
 */
struct TargetTrack {
  schema::TargetReport report;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  ///< of the newest report
  std::uint64_t version = 0;   ///< of its description of the target; 0 is one that is told each time
  std::uint32_t relay = 0;     ///< number under which the agent relays calls; 0 is not
  bool relayed = false;        ///< its newest report came through another node
  Time grantUntil{};
  Time met{};          ///< when its agent first named a target; zero is not yet
  Time heard{};        ///< when it was last heard
  Time reached{};      ///< when its target was last in reach; at first when it was met
  Time missedSince{};  ///< when it was last reported out of reach, or replaced without that; zero is never
  std::set<std::string> missedWith;  ///< workflows that ran there then
  Time askedAt{};                    ///< when a sign of life was first asked for since it was heard; zero is not
  std::vector<RunKey> strays;        ///< reported as running, but not active in the log, or meant for a former life
};

/** \class TargetOffer
 * \brief What a plan may count on at one target.
 */
struct TargetOffer {
  std::string life;
  bool open = false;  ///< it may be given new runs
  Room room;          ///< all of it, whatever runs there
  bool operator==(const TargetOffer& other) const = default;
};

/** \class RelayAgent
 * \brief An agent that relays calls to control.
 */
struct RelayAgent {
  std::uint32_t number = 0;  ///< by which nodes find it
  std::string dataHall;
};

/** \class RunLedger
 * \brief The leader's account of runs between the log and the agents.
 *
 * A plain class without clock or socket: it is told what was committed and what agents report, and says which ends to
 * commit and which orders to give. Rules that it keeps: an order is given only for a run that the log holds as active;
 * a run is over only when its target listed its end, its target's life is over, its agent made sure that it never
 * began, or every grant that could have kept it alive has surely run out. \sa WorkflowTable, RunAgent
 */
class RunLedger {
 public:
  explicit RunLedger(RunLedgerOptions options = {}) : m_options(options) {}

  /** Begins to lead: everything that a former leader knew has to be learnt again. \param term in which it leads */
  void lead(const WorkflowTable& table, Time now, std::uint64_t term = 0);
  /** Takes committed changes in. \param inherited whether a former leader made them: their starts may have been ordered
   */
  void apply(const std::vector<RunChange>& changes, Time now, bool inherited = false);
  /** \returns whether a report counts here: its agent has had an answer of this leader, so that the report cannot be
   * older than the leader itself. Any other is only to be answered. */
  bool isCurrent(const schema::AttendRequest& report) const;
  /** \returns whether a report was overtaken by a newer one: on another connection, or through another node. */
  bool isOvertaken(const schema::AttendRequest& report) const;
  /** Adds what a report leaves out because the leader has it. \returns false if it does not: the report tells too
   * little to be taken in */
  bool complete(schema::AttendRequest& report) const;
  /** \returns whether this leader has taken a report of the same life of an agent in before. */
  bool isKnown(const schema::AttendRequest& report) const;
  /** Takes an agent's report in; of one that does not count or was overtaken only that the agent was met. \returns ends
   * to commit; those of the target may be forgotten only afterwards */
  std::vector<schema::RunEnd> takeReport(const schema::AttendRequest& report, Time now);
  /** \returns ends of runs that nothing can hold any longer. */
  std::vector<schema::RunEnd> expire(Time now);
  /** Grants an agent that it may hold its runs from now on. \returns for how long: less if its target leaves, since an
   * agent that leaves with it says no last word; not at all while it reports no target, whose runs would never lapse */
  Duration grant(const std::string& agent, Time now);
  /** \returns orders that are due for an agent, and counts them as delivered. */
  std::vector<schema::RunOrder> takeOrders(const std::string& agent, const WorkflowTable& table, Time now);
  /** \returns whether takeOrders() would give any. */
  bool hasOrders(const std::string& agent, const WorkflowTable& table, Time now) const;
  /** \returns whether a run was seen for longer than a crash at its start takes. \param members of its gang, which
   * works only once all are there; 1 for a task of its own */
  bool lived(const RunKey& key, std::uint32_t members) const;
  /** Wants a run stopped. \returns its agent, or an empty string if the run is not active */
  std::string wantStop(const RunKey& key);

  const std::map<RunKey, RunTrack>& runs() const { return m_runs; }
  const std::map<std::string, TargetTrack>& targets() const { return m_targets; }
  /** \returns for how long reports may be held back, so that those without news are as many as wanted; always less than
   * an agent may be silent. */
  Duration reportWait() const;
  /** \returns a number that is another one whenever a target has come, or is described in another way: its life,
   * service, rack, data hall, labels or room. */
  std::uint64_t descriptions() const { return m_descriptions; }
  /** \returns whether an agent may be given new runs now. */
  bool open(const std::string& agent, Time now) const;
  bool open(const TargetTrack& target, Time now) const;
  /** \returns what an agent's target offers now. */
  TargetOffer offer(const std::string& agent, Time now) const;
  /** \returns whether an agent that may not be given new runs now is expected to be soon: its target does not leave,
   * and has not been out of reach for longer than its runs would outlast. */
  bool awaited(const std::string& agent, Time now) const;
  bool awaited(const TargetTrack& target, Time now) const;
  /** \returns whether an agent was heard so lately that a start will reach it. */
  bool fresh(const std::string& agent, Time now) const;
  /** Wants a sign of life from an agent: its report is not to be held back any longer. */
  void ask(const std::string& agent, Time now);
  /** \returns whether an agent owes a sign of life. */
  bool asked(const std::string& agent) const;
  /** \returns whether targets are still coming, as they do after a start: of those that are known, many were first
   * named within the time for which an agent may be silent. */
  bool arriving(Time now) const;
  /** \returns agents that relay calls to control and were heard lately without a relay. */
  std::vector<RelayAgent> relays(Time now) const;
  const RunLedgerOptions& options() const { return m_options; }

 private:
  void meet(const schema::AttendRequest& report);
  std::size_t metAs(const std::string& agent, std::uint64_t incarnation) const;
  schema::RunEnd makeEnd(const RunKey& key, schema::RunEndKind kind, const std::string& checkpoint);
  void noteCrashes(const schema::AttendRequest& report, const schema::TargetReport& before,
                   std::vector<schema::RunEnd>& ends) const;
  TargetTrack& track(const std::string& agent);
  void noteMissed(const std::string& agent, TargetTrack& target, Time now);
  bool wentWithOthers(const std::string& agent, const std::string& workflow) const;
  bool mayHaveBegun(const RunTrack& track, std::uint64_t incarnation) const;
  void takeRows(const schema::AttendRequest& report, Time now);
  bool guards(const std::string& agent, const RunTrack& track) const;
  bool startDue(const RunTrack& track, Time now) const;
  bool stopDue(const RunKey& key, const RunTrack& track, const WorkflowTable& table, Time now) const;
  Time heldUntil(const std::string& agent) const;
  void add(const schema::TaskId& task, const schema::ActiveRun& run, Time now, bool inherited);

  RunLedgerOptions m_options;
  Time m_leaderSince{};
  std::uint64_t m_term = 0;
  std::uint64_t m_descriptions = 0;
  std::map<RunKey, RunTrack> m_runs;
  std::map<std::string, std::set<RunKey>> m_byAgent;
  std::map<std::string, TargetTrack> m_targets;                       ///< by agent
  std::multimap<Time, std::string> m_missed;                          ///< agents by missedSince
  std::map<std::string, std::map<std::uint64_t, std::size_t>> m_met;  ///< by agent: its incarnations, as first heard
};

RunKey runKeyOf(const schema::TaskId& task, std::uint32_t run);

/** \returns whether a target's going away has a cause outside of a workflow that ran there. \param others targets that
 * went at the same moment and ran nothing of the workflow */
bool speaksForOthers(std::size_t others);

/** \returns the time for which agents may hold runs after word from the leader: at least an outage and an election. */
Duration grantLength(const schema::ControlSettings& settings);

}  // namespace courseloom
