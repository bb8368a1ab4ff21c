// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "Courseloom/src/Agent/ReportedTarget.h"
#include "Courseloom/src/Membership/ControlClient.h"
#include "Courseloom/src/Scheduling/RunLedger.h"

namespace courseloom::test {

/** \class AgentCrowd
 * \brief Many agents that the test plays itself, each with a connection of its own to the leader and a target that runs
 * whatever is ordered for as many milliseconds as its payload says.
 */
class AgentCrowd {
 public:
  AgentCrowd(const schema::ClusterSettings& cluster, std::size_t agents);
  ~AgentCrowd();

  /** \returns terms of which a leader has answered, from the last call of forgetTerms() on. */
  std::set<std::uint64_t> terms() const;
  void forgetTerms();
  std::size_t started() const { return m_started; }
  std::size_t running() const { return m_running; }
  /** \returns the time that each report took beyond what the leader held it back, ms. */
  std::vector<double> takeDelays();
  /** \returns reports that were answered so far. */
  std::size_t reports() const { return m_reports; }
  /** \returns bytes of all reports and answers so far, as messages. */
  std::size_t bytes() const { return m_bytes; }
  /** \returns how many agents a leader of this term, or of a later one, has granted anything. */
  std::size_t attendedSince(std::uint64_t term) const;

 private:
  struct Run {
    Time endsAt{};
    Time startedAt{};
  };
  struct Agent {
    std::unique_ptr<ControlClient> control;
    std::string name;
    std::size_t number = 0;
    std::map<RunKey, Run> running;
    std::map<std::uint64_t, std::pair<RunKey, schema::RunEndKind>> ended;  ///< by number, not taken yet
    std::uint64_t lastEnd = 0;
    std::uint64_t term = 0;
    std::uint64_t grantedIn = 0;  ///< newest term whose leader has granted it anything
    std::uint64_t sequence = 0;
    ReportedTarget reported;
    std::uint64_t directory = 0;
    std::uint32_t waitMs = 0;  ///< for which the leader may hold its reports back
  };

  Awaitable<void> attend(Agent& agent);
  schema::AttendRequest report(Agent& agent) const;
  void endRuns(Agent& agent);
  void end(Agent& agent, const RunKey& key, schema::RunEndKind kind);
  void take(Agent& agent, const schema::AttendReply& reply);
  void note(std::uint64_t term, double delayMs);

  boost::asio::io_context m_io;
  std::vector<std::unique_ptr<Agent>> m_agents;
  std::atomic<std::size_t> m_started{0};
  std::atomic<std::size_t> m_running{0};
  std::atomic<std::size_t> m_reports{0};
  std::atomic<std::size_t> m_bytes{0};
  std::map<std::uint64_t, std::size_t> m_granted;  ///< agents by the newest term whose leader has granted them anything
  mutable std::mutex m_mutex;
  std::set<std::uint64_t> m_terms;
  std::vector<double> m_delays;
  std::thread m_thread;
};

}  // namespace courseloom::test
