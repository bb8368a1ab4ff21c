// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Courseloom/src/Agent/RunAgentService.h"
#include "Courseloom/src/Transport/RpcServer.h"

namespace courseloom::test {

/** Length of the leases that the fake leaders of the tests grant, ms. */
constexpr std::uint32_t LongLeaseMs = 5000;

/** \returns an order to start run 1 of the only task of these tests. \param target incarnation of the target */
schema::RunOrder startOrder(const std::string& target = "i-1");
/** \returns an answer of the leader of term 1 without orders. A real leader applies only reports that carry its term;
 * the fake leaders of these tests do not check it. \param leaseMs length of the granted lease, ms */
schema::AttendReply leaseReply(std::uint32_t leaseMs);

/** The time of the target's clock in every answer, ms. */
constexpr std::uint64_t TargetClockMs = 1000;

/** \class TargetScript
 * \brief The behaviour of a fake target, and a record of the calls that it received.
 */
struct TargetScript {
  std::string incarnation = "i-1";      ///< the present incarnation; calls for another one are rejected
  bool startsGetNoAnswer = false;       ///< a start gets no answer
  bool refusesStarts = true;            ///< an answered start is refused with the reason `room`
  unsigned stopsToRefuse = 0;           ///< this many stops, from the first, are refused with 429 and have no effect
  unsigned discardsToIgnore = 0;        ///< this many polls that name ends, from the first, get no answer
  bool silent = false;                  ///< answers no call
  bool busy = false;                    ///< answers polls with 429, whatever incarnation they are for
  std::string busyIncarnation;          ///< answers polls for this incarnation with 429
  bool reportsStalledRun = false;       ///< lists a run without progress
  std::vector<schema::EndReport> ends;  ///< the ends that it lists
  Duration answerDelay{};               ///< delay of answers to polls
  /** The next answer to a poll is older than the previous ones and lists run 1 of the first task as running. */
  bool answersLateWithFirstRun = false;
  bool moreEnds = false;     ///< whether it has more ends than it lists
  std::set<RunKey> running;  ///< accepted starts without an accepted stop; those in `ends` are not listed
  // Record of received calls.
  unsigned starts = 0;
  std::uint64_t lastDeadlineMs = 0;  ///< deadline of the newest start, by the target's clock
  unsigned stops = 0;
  unsigned stopsAccepted = 0;
  unsigned polls = 0;                                ///< polls that were answered
  std::map<std::string, std::uint64_t> startTokens;  ///< highest token of a start, by intended incarnation
  std::map<std::string, std::uint64_t> pollTokens;   ///< token of the first answered poll, by incarnation
  std::uint64_t discardToken = 0;                    ///< highest token of a poll that names ends, answered or not
  std::uint64_t ignoredToken = 0;                    ///< highest token of such a poll that got no answer
  std::uint64_t lastSeen = 0;  ///< number up to which the newest answered poll lets the target discard ends
};

/** \class FakeTarget
 * \brief A fake target that behaves as its TargetScript says.
 */
class FakeTarget : public TargetPort {
 public:
  explicit FakeTarget(TargetScript& script) : m_script(script) {}
  Awaitable<Result<TargetAnswer>> start(std::string incarnation, TargetStart start, Duration limit) override;
  Awaitable<Result<TargetAnswer>> stop(std::string incarnation, schema::TaskId task, std::uint32_t run,
                                       std::uint64_t term, Duration limit) override;
  Awaitable<Result<TargetAnswer>> hold(std::string incarnation, TargetHold hold, Duration limit) override;
  Awaitable<Result<TargetAnswer>> pace(std::string incarnation, schema::TaskId task, std::uint32_t run,
                                       std::uint32_t percent, std::uint64_t term, Duration limit) override;

 private:
  TargetScript& m_script;
};

/** \class FakeLeader
 * \brief Base of the fake leaders of the tests.
 */
class FakeLeader {
 public:
  virtual ~FakeLeader() = default;
  /** Answers a report of the agent. */
  virtual Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) = 0;
  TargetScript* target = nullptr;  ///< set by AgentFixture

 protected:
  /** Adds the order to start run 1 to the answer to the first report of incarnation i-1. \returns whether the order was
   * added */
  bool orderOnce(const schema::AttendRequest& request, schema::AttendReply& answer);
  bool m_ordered = false;
};

/** \class AgentFixture
 * \brief An agent between a fake leader and a fake target. The target announces itself once, as incarnation i-1.
 */
class AgentFixture {
 public:
  explicit AgentFixture(FakeLeader& leader, bool draining = false, std::uint32_t maxHoldMs = 6000);
  /** Runs everything for the given time. */
  void run(Duration length) { io.run_for(length); }
  /** Runs for 300 ms, so that the agent finds incarnation i-1, then replaces it by i-2, which announces itself once.
   * \param silent whether i-2 answers no calls */
  void startNextIncarnation(bool silent = false);
  /** Delivers a heartbeat of an incarnation to the agent. */
  void announce(const std::string& incarnation, std::uint64_t sequence);
  /** Delivers a heartbeat of incarnation i-1 with a changed number of accelerators. */
  void resize(std::uint64_t sequence, unsigned accelerators);

  boost::asio::io_context io;
  TargetScript target;

 private:
  Awaitable<void> deliverHeartbeat(std::string path);

  RpcServer m_server;
  schema::Settings m_settings;
  Histograms m_metrics;
  unsigned m_registrationPort = 0;
  std::unique_ptr<RunAgentService> m_agent;
};

}  // namespace courseloom::test
