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

/** Grant of a leader as the tests play it, ms. */
constexpr std::uint32_t LongGrantMs = 5000;

/** \returns an order to start run 1 of the one task of these tests. */
schema::RunOrder startOrder(const std::string& target = "i-1");
/** \returns an answer of the leader of term 1 that grants for a while and orders nothing. A leader takes in only
 * reports that carry its term; answers of these tests do not depend on it. */
schema::AttendReply grantReply(std::uint32_t grantMs);

/** What the target's clock shows in every answer, ms. */
constexpr std::uint64_t TargetClockMs = 1000;

/** \class TargetScript
 * \brief What the target beside an agent does, and what it was asked.
 */
struct TargetScript {
  std::string incarnation = "i-1";      ///< identity that it answers to; a call for another one is told so
  bool startsGetNoAnswer = false;       ///< a start gets no answer and stays on its way
  bool refusesStarts = true;            ///< a start that is answered is refused for want of room
  unsigned stopsRefused = 0;            ///< so many stops are answered 429 and do nothing
  bool silent = false;                  ///< answers nothing
  bool busy = false;                    ///< answers looks with 429, whatever incarnation they are meant for
  std::string busyFor;                  ///< answers looks that are meant for this incarnation with 429
  bool standsStill = false;             ///< lists a run that does not move
  std::vector<schema::EndReport> ends;  ///< what it lists as ended
  Duration answersAfter{};              ///< looks are answered this late
  bool moreEnds = false;                ///< it has further ends than it lists
  // What it was asked.
  unsigned starts = 0;
  std::uint64_t lastDeadlineMs = 0;  ///< of the newest start, on its clock
  unsigned stops = 0;
  unsigned stopsTaken = 0;
  unsigned looks = 0;                                ///< answered ones
  std::map<std::string, std::uint64_t> startTokens;  ///< highest token of a start, by the incarnation that was meant
  std::map<std::string, std::uint64_t> lookTokens;   ///< token of the first answered look, by incarnation
  std::uint64_t lastSeen = 0;                        ///< ends that the newest answered look let the target forget
};

/** \class FakeTarget
 * \brief A target that follows a script.
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
 * \brief A leader as a test plays it.
 */
class FakeLeader {
 public:
  virtual ~FakeLeader() = default;
  virtual Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) = 0;
  TargetScript* target = nullptr;

 protected:
  /** Adds the order to start run 1 to the first answer to a report of incarnation i-1. \returns whether this is that
   * answer */
  bool orderOnce(const schema::AttendRequest& request, schema::AttendReply& answer);
  bool m_ordered = false;
};

/** \class Stage
 * \brief An agent between a leader and a target that are both played by the test. The target announces itself once, as
 * incarnation i-1.
 */
class Stage {
 public:
  explicit Stage(FakeLeader& leader, bool draining = false, std::uint32_t maxHoldMs = 6000);
  void run(Duration length) { io.run_for(length); }
  /** After incarnation i-1 was found: i-2 takes its place and announces itself once. */
  void beginNextLife(bool silent = false);
  /** The target's process, or the network, delivers a heartbeat. */
  void announce(const std::string& incarnation, std::uint64_t sequence);
  /** Life i-1 says that it has so many accelerators now. */
  void resize(std::uint64_t sequence, unsigned accelerators);

  boost::asio::io_context io;
  TargetScript target;

 private:
  Awaitable<void> deliver(std::string path);

  RpcServer m_server;
  schema::Settings m_settings;
  Histograms m_metrics;
  unsigned m_registrationPort = 0;
  std::unique_ptr<RunAgentService> m_agent;
};

}  // namespace courseloom::test
