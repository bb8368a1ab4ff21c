// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "Courseloom/src/Agent/Fence.h"
#include "Courseloom/src/Agent/FillerPacer.h"
#include "Courseloom/src/Agent/ProgressWatch.h"
#include "Courseloom/src/Agent/ReportedTarget.h"
#include "Courseloom/src/Agent/TargetPort.h"
#include "Courseloom/src/Membership/ControlRelay.h"
#include "Courseloom/src/Runtime/ChangeSignal.h"
#include "Courseloom/src/Runtime/Daemon.h"
#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/Runtime/ProcessLimits.h"
#include "Courseloom/src/Scheduling/LateCalls.h"
#include "Courseloom/src/Scheduling/RunLedger.h"

namespace courseloom {

/** \class RunAgentProtocol
 * \brief The parts of the deployment's protocol that an agent needs, as factories and handlers.
 */
struct RunAgentProtocol {
  /** Creates the port through which the agent calls its target. */
  std::function<std::unique_ptr<TargetPort>(const DaemonContext&)> makePort;
  /** Answers a request that the target sends to register, to repeat its registration or to deregister.
   * \param memory what the process holds for the request */
  std::function<Awaitable<HttpResponse>(HttpRequest, TargetRegistry&, ByteShare& memory)> answerRegistration;
};

/** \returns whether an agent is still considered connected to control, so that it may relay calls of others. This holds
 * until two further reports could have been answered. \param answered when control last answered the agent directly
 * \param reportWait how long control may hold back the reply to a report */
bool reachesControl(Time answered, Duration reportWait, Time now);

/** \class RunAgentService
 * \brief The agent daemon that runs tasks of workflows: the only process that calls the target beside it.
 *
 * The agent follows the control leader, carries out the leader's orders under the leader's term, and keeps runs alive
 * at the target for the duration of its lease. After an unconfirmed start the agent sends stop calls until the target
 * confirms one; it then reads the outcome of the run from the lists of the target. The agent reports ends until the
 * leader has committed them, and only then allows the target to forget them. A heartbeat may arrive with a long delay,
 * so the agent accepts a new incarnation of the target only after that incarnation has answered a poll. All state is
 * accessed on one strand. \sa RunLedger TargetIncarnation
 */
class RunAgentService : public Service, private TargetRegistry {
 public:
  RunAgentService(const DaemonContext& context, RunAgentProtocol protocol);
  Result<ListeningPorts> start() override;
  Awaitable<std::size_t> stop() override;
  void reload(const schema::Settings& settings) override;

 private:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

  /** Number of failed polls in a row after which the target counts as unreachable and gets no new runs. */
  static constexpr unsigned UnreachableAfterFailures = 2;

  /** Why a start does not fit on the target. */
  struct CapacityRefusal {
    ResourceAmounts counted;         ///< what the other runs at the target are counted to use
    std::optional<RunKey> blocking;  ///< the largest of these runs, or one of unknown demand; none if there are no runs
  };
  struct LocalRun {
    bool busy = false;           ///< a call to the target about this run is in progress
    bool neverStarted = false;   ///< the target answered the start call and did not begin the run
    bool wantsTicket = false;    ///< the target refused the start call because it had no valid ticket
    bool listed = false;         ///< the current incarnation has listed the run
    bool lapseDelayed = false;   ///< the run would have lapsed, but a successor may still begin it
    bool orderedBefore = false;  ///< a former process of this agent may have sent the start call
    Time startSentAt{};          ///< when this agent sent the start call; zero if it has sent none
    Time startAnsweredAt{};      ///< when the target answered it, so that it is in transit no more; zero if it has not
    std::uint64_t startDeadlineMs = 0;  ///< deadline of the start call on the target's clock, ms
    Time knownSince{};  ///< when the target was first known to have the run; zero while that is not confirmed
    std::optional<CapacityRefusal> refusal;  ///< set if this agent refused its start for lack of capacity
  };
  /** Whether the loss of a target is attributed to one of the runs that were there. */
  struct CrashEvidence {
    schema::CrashKind kind = schema::NoCrash;
    Duration after{};  ///< from the start call of the run to the first unanswered call
  };
  /** The outcome of a run that this agent, not the target, has determined. */
  struct RunOutcome {
    schema::EndReport report;
    bool committed = false;  ///< the leader has committed the report
    Time keptUntil{};  ///< set when committed; the leases of all orders sent before the commit have expired by then
  };
  /** A run of a former incarnation whose start call is in transit. The current incarnation is fenced and refuses the
   * call, but a further one could still carry it out. */
  struct StartInTransit {
    schema::LostRun lost;  ///< the loss, to be reported once the call cannot be carried out any more
    Time until{};          ///< when that is
  };
  /** State of the current incarnation of the target. */
  struct TargetState {
    schema::TargetReport report;
    std::uint64_t sequence = 0;  ///< number of the newest announcement
    std::uint64_t clockMs = 0;   ///< the target's steady clock as last received, ms; 0 before that
    Time clockAt{};              ///< when clockMs was received: the target's clock showed it then or earlier
    std::chrono::steady_clock::time_point clockAwakeAt;  ///< clockAt by a clock that stops during suspension
    bool deregistered = false;                           ///< the target has announced its end
    unsigned failures = 0;                               ///< number of failed polls in a row
    std::string successor;           ///< incarnation that answered a poll in place of this one; empty for none
    Time successorFencedAt{};        ///< when the newest poll was sent that it answered under a newer fence step
    std::set<RunKey> successorRuns;  ///< runs that the successor listed then
    std::uint64_t step = 0;   ///< fence step of the newest token under which this incarnation has answered a poll
    bool fenced = false;      ///< this incarnation or a successor refused the newest poll because its token was too low
    bool discarding = false;  ///< a poll that names ends to discard is waiting for its answer
    std::uint64_t discardStep = 0;     ///< fence step of the newest such poll that was not answered; 0 for none
    std::uint64_t endsTaken = 0;       ///< number of the newest end that the leader has committed
    Time unansweredSince{};            ///< first unanswered call since the last successful poll or start; zero for none
    std::map<RunKey, Time> orderedAt;  ///< time of the start call of each run, until the target lists the run's end
    std::map<std::uint64_t, schema::EndReport> ends;  ///< ends listed by the target and not committed yet, by number
    bool moreEnds = false;                            ///< the newest poll did not list all ends
    std::uint64_t firstListedEnd = 0;                 ///< lowest number in the newest list of ends; 0 for an empty list
    std::vector<schema::RunReport> running;           ///< running runs as of the newest answered poll
    Time polledAt{};                                  ///< when the newest answer to a poll arrived
    Time answeredSentAt{};                            ///< when the newest answered poll was sent
    std::uint64_t listedAtMs = 0;                     ///< the target's clock when it made the newest applied lists, ms
    ProgressWatch progress;
  };

  Awaitable<void> announce(TargetAnnouncement announcement) override;
  Awaitable<void> leave(std::string incarnation) override;
  Awaitable<void> announceOnStrand(TargetAnnouncement announcement);
  Awaitable<void> leaveOnStrand(std::string incarnation);
  void handleAnnouncement(const TargetAnnouncement& announcement);
  void recordOtherIncarnation(const TargetAnnouncement& announcement);
  Awaitable<void> confirmLoop();
  Awaitable<void> confirm(std::string incarnation);
  void beginIncarnation(const TargetAnnouncement& announcement);
  void applyAnnouncement(const TargetAnnouncement& announcement);
  void logResize(const schema::TargetReport& before) const;

  Awaitable<void> attendLoop();
  Awaitable<void> pendingChangesLoop();
  /** Outcome of sending a report. */
  enum class ReportOutcome : std::uint8_t {
    NoAnswer,    ///< no leader answered
    NotApplied,  ///< a leader answered, but its term is new to this agent or it wants a whole report
    Applied,     ///< the leader applied the report
  };
  Awaitable<bool> exchange(std::uint32_t waitMs);
  Awaitable<ReportOutcome> sendReport(std::uint32_t waitMs);
  schema::AttendRequest makeReport();
  void applyReply(const schema::AttendRequest& request, const schema::AttendReply& reply, Time sentAt);
  void followDirectory(const schema::AttendReply& reply);
  void handleOrder(const schema::RunOrder& order, Time until);
  /** Marks changes as pending and wakes the loop that reports them at once. */
  void notifyPendingChanges();

  Awaitable<void> pollLoop();
  /** Polls the target once. \param waitMs how long the target may wait for an end before it answers
   * \param discardUpTo number up to which the target may discard its ends; 0 for none
   * \returns whether the current incarnation answered */
  Awaitable<bool> poll(std::uint32_t waitMs, std::uint64_t discardUpTo = 0);
  void applyPoll(const TargetAnswer& answer, Time sentAt, Time receivedAt);
  void settleUnlisted(const TargetAnswer& answer, Time sentAt);
  void handleSuccessor(const TargetAnswer& answer, std::uint64_t step, Time sentAt);
  void recordUnansweredCall();
  void recordFailedPoll();
  void expireRuns();
  bool isSuccessorFencedSince(Time time) const;
  Time latestStart(const LocalRun& run) const;
  bool isStartInTransit(const LocalRun& run) const { return BootClock::now() <= latestStart(run); }
  Time latestEndInSuccessor(const LocalRun& run) const;
  Time latestEndOfAnyRun() const;
  bool isStartTooLate(const RunKey& key) const;
  bool delaysLapse(const RunKey& key, LocalRun& run, Time now);
  Awaitable<void> awaitStartInTransit(const std::string& incarnation, RunKey key);
  void allowNoMoreFailures();
  void endIncarnation();
  bool canRelay() const;
  /** \returns whether the lease granted by the leader still holds. */
  bool hasLease() const { return BootClock::now() < m_leaseUntil; }
  bool isCurrentIncarnation(const std::string& incarnation) const {
    return m_target && m_target->report.id() == incarnation;
  }
  /** \returns the fencing token for calls to the current incarnation. */
  std::uint64_t token() const { return Fence::token(m_target->step, m_term); }
  std::uint64_t nextFenceStep() { return m_fence.nextStep(wallClockMs()); }
  std::uint64_t deadlineOnTarget(Time until) const;
  void recordClock(std::uint64_t clockMs);
  std::uint64_t endsToDiscard() const;
  bool mayOtherBeginRuns() const;
  bool areStartsFenced() const;
  Awaitable<bool> awaitFencedStarts(const std::string& incarnation, Time until);
  Time latestHoldEnd() const;
  std::optional<std::uint64_t> holdDeadline();

  void paceFillers();
  Awaitable<void> paceRun(PaceChange change);
  Awaitable<void> startRun(schema::RunOrder order, Time until);
  Awaitable<void> stopRun(schema::RunOrder order);
  void settle(const schema::TaskId& task, std::uint32_t run, schema::RunEndKind kind, const std::string& reason);
  void applyAcknowledgement(const schema::AttendRequest& request, const schema::AttendReply& reply);
  void settleAll(schema::RunEndKind kind, const std::string& reason);
  void recordLost(const RunKey& key, schema::RunEndKind kind);
  schema::LostRun makeLostRun(const RunKey& key, schema::RunEndKind kind) const;
  void recordLossWithIncarnation(const RunKey& key, const LocalRun& run, const std::string& next);
  bool isTransitSettled(Time until) const;
  void reportStartsInTransit(schema::AttendRequest& request);
  bool hasCurrentIdentity(const std::string& incarnation) const;
  void endStartsInTransit();
  CrashEvidence crashEvidenceOf(const RunKey& key) const;
  std::optional<CapacityRefusal> findCapacityRefusal(const schema::RunOrder& order) const;
  static void logCapacityRefusal(const schema::RunOrder& order, const CapacityRefusal& refusal);
  bool isListed(const RunKey& key) const;
  bool isListedAsEnded(const RunKey& key) const;
  void forgetRun(const RunKey& key);
  /** \returns whether a target incarnation is the current one and the outcome of a run there is still undetermined. */
  bool isOpen(const std::string& incarnation, const RunKey& key) const {
    return isCurrentIncarnation(incarnation) && m_runs.count(key) > 0;
  }

  DaemonContext m_context;
  RunAgentProtocol m_protocol;
  Strand m_strand;
  ControlClient m_control;
  ProcessLimits m_limits;
  ControlRelay m_relay;
  std::unique_ptr<TargetPort> m_port;
  HttpServer m_registration;
  HttpServer m_http;
  std::uint64_t m_agentIncarnation;
  Time m_startedAt = BootClock::now();  ///< a former process of this agent may have sent calls until then
  std::uint64_t m_sequence = 0;         ///< number of the newest report
  ReportedTarget m_reported;
  std::uint64_t m_directory = 0;        ///< version of the newest list of replicas and relays received
  std::atomic<std::uint32_t> m_waitMs;  ///< how long the leader may hold back replies, ms; read from any thread
  /** When control last answered without a relay, as time since the clock's epoch; the relay reads it from any thread.
   */
  std::atomic<Duration::rep> m_lastDirectContact{0};
  std::optional<TargetState> m_target;
  /** A former process of this agent may have sent calls for the current incarnation: this one has not seen it begin. */
  bool m_formerProcessKnewTarget = true;
  /** Newest heartbeats of incarnations other than the current one, by name. An incarnation becomes current by answering
   * a poll. */
  std::map<std::string, TargetAnnouncement> m_announced;
  /** Runs that may be at the target and have no known end. A start or stop order, or a list of the target that names a
   * run as running, adds it. The listed end of the run, an outcome that this agent has determined, a list without the
   * run, or a new incarnation removes it. */
  std::map<RunKey, LocalRun> m_runs;
  std::map<RunKey, RunTraits> m_traits;  ///< for runs whose start order this agent has received
  FillerPacer m_pacer;
  std::map<RunKey, RunOutcome> m_outcomes;          ///< for runs that the current incarnation must not begin any more
  std::map<RunKey, schema::StartReport> m_started;  ///< confirmed starts not reported yet
  std::map<RunKey, schema::LostRun> m_lost;         ///< runs lost with an incarnation or lapsed; not reported yet
  std::map<RunKey, StartInTransit> m_startsInTransit;
  std::uint64_t m_term = 0;
  Fence m_fence;
  Time m_leaseUntil{};
  Duration m_longestLease{};   ///< longest lease that any leader has granted
  Time m_leaderLastContact{};  ///< when a leader last answered
  Time m_holdsEndBy{};         ///< latest deadline of all holds that the target may have received
  /** Until when the target may carry out start calls that were not answered, those of a former process included. */
  Time m_lateStartsUntil = m_startedAt + LateCallLimit;
  /** When a call that extends the target's holds was last sent; a former process may have sent one until its end. */
  Time m_lastHoldSentAt = m_startedAt;
  unsigned m_waitingStarts = 0;  ///< starts that wait for the answer to a poll that names ends
  bool m_following = false;      ///< a leader has answered and has not been lost since
  bool m_hasPendingChanges = false;
  bool m_stopping = false;
  ChangeSignal m_pendingChangesSignal;
  ChangeSignal m_targetSignal;
  ChangeSignal m_announcedSignal;
  ChangeSignal m_pollSignal;
};

}  // namespace courseloom
