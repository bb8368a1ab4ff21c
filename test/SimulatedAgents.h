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

/** \class SimulatedAgents
 * \brief Many simulated agents, each with its own connection to the leader and a simulated target. The payload of an
 * order is the run time of the task, ms.
 *
 * The agents run on a thread of this object. The public functions may be called from another thread.
 */
class SimulatedAgents {
 public:
  SimulatedAgents(const schema::ClusterSettings& cluster, std::size_t agents);
  ~SimulatedAgents();

  /** \returns the terms of the leaders that have answered since the last call of clearTerms(). */
  std::set<std::uint64_t> terms() const;
  void clearTerms();
  /** \returns number of runs started so far. */
  std::size_t started() const { return m_started; }
  /** \returns number of runs that are running now. */
  std::size_t running() const { return m_running; }
  /** Returns and clears the delays of reports: the time of each from request to answer, without the time for which the
   * leader held it back, ms. */
  std::vector<double> consumeDelays();
  /** \returns number of reports answered so far. */
  std::size_t reports() const { return m_reports; }
  /** \returns total size of all answered reports and their answers so far, as serialized messages, bytes. */
  std::size_t bytes() const { return m_bytes; }
  /** \returns number of agents that have got a lease from a leader of this term or a later one. */
  std::size_t agentsWithLeaseSince(std::uint64_t term) const;

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
    std::map<std::uint64_t, std::pair<RunKey, schema::RunEndKind>> unacknowledgedEnds;  ///< by number
    std::uint64_t lastEnd = 0;
    std::uint64_t term = 0;
    std::uint64_t leaseTerm = 0;  ///< newest term in which it got a lease; 0 if there was none
    std::uint64_t sequence = 0;
    ReportedTarget reported;
    std::uint64_t directory = 0;  ///< number of the newest directory of replicas and relays that it received
    std::uint32_t waitMs = 0;     ///< time for which the leader may hold its reports back, ms
  };

  Awaitable<void> attend(Agent& agent);
  schema::AttendRequest report(Agent& agent) const;
  void endRuns(Agent& agent);
  void end(Agent& agent, const RunKey& key, schema::RunEndKind kind);
  void applyReply(Agent& agent, const schema::AttendReply& reply);
  void recordReply(std::uint64_t term, double delayMs);

  boost::asio::io_context m_io;
  std::vector<std::unique_ptr<Agent>> m_agents;
  std::atomic<std::size_t> m_started{0};
  std::atomic<std::size_t> m_running{0};
  std::atomic<std::size_t> m_reports{0};
  std::atomic<std::size_t> m_bytes{0};
  /** Number of agents by the newest term in which they got a lease. */
  std::map<std::uint64_t, std::size_t> m_agentsByLeaseTerm;
  mutable std::mutex m_mutex;
  std::set<std::uint64_t> m_terms;
  std::vector<double> m_delays;
  std::thread m_thread;
};

}  // namespace courseloom::test
