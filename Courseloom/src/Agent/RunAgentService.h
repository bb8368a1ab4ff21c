// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>
#include <boost/asio/strand.hpp>
#include <chrono>
#include <map>
#include <memory>

#include "Courseloom/src/Agent/Fence.h"
#include "Courseloom/src/Agent/FillerPacer.h"
#include "Courseloom/src/Agent/ProgressWatch.h"
#include "Courseloom/src/Agent/ReportedTarget.h"
#include "Courseloom/src/Agent/TargetPort.h"
#include "Courseloom/src/Membership/ControlRelay.h"
#include "Courseloom/src/Runtime/ChangeSignal.h"
#include "Courseloom/src/Runtime/Daemon.h"
#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/Scheduling/RunLedger.h"

namespace courseloom {

/** \class RunAgentEdges
 * \brief The deployment's protocol, as far as an agent speaks it.
 */
struct RunAgentEdges {
  std::function<std::unique_ptr<TargetPort>(const DaemonContext&)> makePort;
  std::function<Awaitable<HttpResponse>(HttpRequest, TargetRegistry&)> answerRegistration;
};

/** \returns whether an agent that was answered at an instant is still taken to reach control, so that it may relay
 * calls of others: until two reports could have been answered. \param reportWait for which a report may be held back */
bool reachesControl(Time answered, Duration reportWait, Time now);

/** \class RunAgentService
 * \brief The agent daemon that runs tasks of workflows: the only process that calls the target beside it.
 *
 * It follows the control leader, carries out its orders under the leader's term, and holds what runs for as long as the
 * leader's grants last. A start without an answer is stopped until the target confirms that, and its fate is read from
 * the target's lists afterwards. Ends are reported until the leader has committed them; only then may the target forget
 * them. A heartbeat may have been long on its way: another life of the target is believed once it has answered a look.
 * Everything runs on one strand. \sa RunLedger TargetLife
 */
class RunAgentService : public Service, private TargetRegistry {
 public:
  RunAgentService(const DaemonContext& context, RunAgentEdges edges);
  Result<Listening> start() override;
  Awaitable<std::size_t> stop() override;
  void reload(const schema::Settings& settings) override;

 private:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

  /** Looks without answer after which a target gets nothing new. */
  static constexpr unsigned FailuresUnreachable = 2;

  struct LocalRun {
    bool busy = false;        ///< a call for it is under way
    bool neverBegan = false;  ///< its start was answered, and began nothing
  };
  /** What a target's going away says of one run that was there. */
  struct CrashSight {
    schema::CrashKind kind = schema::NoCrash;
    Duration after{};  ///< from the order to start the run to the first call without an answer
  };
  /** What became of a run, as this agent has made sure of it. */
  struct Fate {
    schema::EndReport report;
    bool told = false;  ///< the leader has committed it
    Time keptUntil{};   ///< once told: the grants of orders that left the leader before are over then
  };
  /** The target's present life. */
  struct Life {
    schema::TargetReport report;
    std::uint64_t sequence = 0;
    std::uint64_t clockMs = 0;                           ///< its clock ...
    Time clockAt{};                                      ///< ... at or before this instant
    std::chrono::steady_clock::time_point clockAwakeAt;  ///< the same by a clock that stands while the machine sleeps
    bool left = false;                                   ///< it said that it ends
    unsigned failures = 0;                               ///< looks in a row without answer
    std::string successor;                               ///< life that answered a look in its place; empty is none
    std::uint64_t step = 0;                              ///< of the newest token under which it has answered a look
    bool fenced = false;  ///< it, or a successor, refused the newest look for a higher token
    std::uint64_t endsTaken = 0;
    Time missedAt{};                   ///< when a call first got no answer since the last one that did; zero is not
    std::map<RunKey, Time> orderedAt;  ///< when it was told to start a run, until it lists its end
    std::map<std::uint64_t, schema::EndReport> ends;  ///< not committed yet, by number
    bool moreEnds = false;                            ///< the newest look left ends out
    std::vector<schema::RunReport> running;
    Time lookedAt{};  ///< when the target last told what runs
    ProgressWatch progress;
  };

  Awaitable<void> announce(TargetAnnouncement announcement) override;
  Awaitable<void> leave(std::string life) override;
  Awaitable<void> announceOnStrand(TargetAnnouncement announcement);
  Awaitable<void> leaveOnStrand(std::string life);
  void takeAnnouncement(const TargetAnnouncement& announcement);
  void takeOtherLife(const TargetAnnouncement& announcement);
  Awaitable<void> confirmLoop();
  Awaitable<void> confirm(std::string life);
  void beginLife(const TargetAnnouncement& announcement);
  void takeWord(const TargetAnnouncement& announcement);
  void tellRoom(const schema::TargetReport& before) const;

  Awaitable<void> attendLoop();
  Awaitable<void> newsLoop();
  /** How a report fared. */
  enum class Heard : std::uint8_t {
    Nothing,     ///< no leader answered
    Introduced,  ///< a leader that this agent did not know has told its term, and has taken nothing in
    Taken,
  };
  Awaitable<bool> exchange(std::uint32_t waitMs);
  Awaitable<Heard> tellLeader(std::uint32_t waitMs);
  schema::AttendRequest makeReport();
  void takeReply(const schema::AttendRequest& request, const schema::AttendReply& reply, Time sentAt);
  void followDirectory(const schema::AttendReply& reply);
  void takeOrder(const schema::RunOrder& order, Time until);
  void news();

  Awaitable<void> lookLoop();
  Awaitable<bool> look(std::uint32_t waitMs);
  void takeLook(const TargetAnswer& answer, Time receivedAt);
  void takeSuccessor(const TargetAnswer& answer);
  void takeMiss();
  void takeSilence();
  void closeTarget();
  void endLife();
  bool inTouch() const;
  bool granted() const { return BootClock::now() < m_grantUntil; }
  bool isLife(const std::string& life) const { return m_life && m_life->report.id() == life; }
  /** \returns the token of calls to the present life. */
  std::uint64_t token() const { return Fence::token(m_life->step, m_term); }
  std::uint64_t raiseFence() { return m_fence.raise(wallClockMs()); }
  std::uint64_t deadlineOnTarget(Time until) const;
  void takeClock(std::uint64_t clockMs);
  Time longestHold() const;
  std::optional<std::uint64_t> holdDeadline();

  void paceFillers();
  Awaitable<void> paceRun(PaceChange change);
  Awaitable<void> startRun(schema::RunOrder order);
  Awaitable<void> stopRun(schema::RunOrder order);
  void settle(const schema::TaskId& task, std::uint32_t run, schema::RunEndKind kind, const std::string& reason);
  void takeTold(const schema::AttendRequest& request, const schema::AttendReply& reply);
  void settleAll(schema::RunEndKind kind, const std::string& reason);
  void noteLost(const RunKey& key, schema::RunEndKind kind);
  CrashSight crashUnder(const RunKey& key) const;
  bool hasRoomFor(const schema::RunOrder& order) const;
  bool listed(const RunKey& key) const;
  /** \returns whether a run of a life is still to be made sure of. */
  bool isOpen(const std::string& life, const RunKey& key) const { return isLife(life) && m_runs.count(key) > 0; }

  DaemonContext m_context;
  RunAgentEdges m_edges;
  Strand m_strand;
  ControlClient m_control;
  ControlRelay m_relay;
  std::unique_ptr<TargetPort> m_port;
  HttpServer m_registration;
  HttpServer m_http;
  std::uint64_t m_incarnation;
  std::uint64_t m_sequence = 0;  ///< of the newest report
  ReportedTarget m_reported;
  std::uint64_t m_directory = 0;        ///< of the replicas and relays that it was told last
  std::atomic<std::uint32_t> m_waitMs;  ///< for which reports may be held back; the relay asks from any thread
  /** When control last answered without a relay, since the clock's beginning; the relay asks from any thread. */
  std::atomic<Duration::rep> m_directAt{0};
  std::optional<Life> m_life;
  /** Newest heartbeats of other lives than the present one, by name; believed once that life answers. */
  std::map<std::string, TargetAnnouncement> m_announced;
  std::map<RunKey, LocalRun> m_runs;
  std::map<RunKey, RunTraits> m_traits;  ///< of runs whose order this agent has seen
  FillerPacer m_pacer;
  std::map<RunKey, Fate> m_fates;                   ///< of runs that this life of the target is not to begin any more
  std::map<RunKey, schema::StartReport> m_started;  ///< not reported yet
  std::map<RunKey, schema::LostRun> m_lost;         ///< with a life or its silence, not reported yet
  std::uint64_t m_term = 0;
  Fence m_fence;
  Time m_grantUntil{};
  Duration m_longestGrant{};  ///< that any leader has given
  Time m_leaderHeard{};       ///< when a leader last answered
  Time m_heldUntil{};         ///< latest end of any hold that the target may have taken
  bool m_following = false;
  bool m_hasNews = false;
  bool m_stopping = false;
  ChangeSignal m_newsSignal;
  ChangeSignal m_lifeSignal;
  ChangeSignal m_announcedSignal;
  ChangeSignal m_lookSignal;
};

}  // namespace courseloom
