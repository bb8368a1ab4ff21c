// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "test/AgentFixture.h"
#include "test/standins/RunnerTarget.h"

namespace courseloom::test {

/** \class TableLeader
 * \brief A leader with a table and a ledger. It places waiting tasks on the only target.
 */
class TableLeader : public FakeLeader {
 public:
  TableLeader();
  /** Submits a workflow of `count` tasks. \param payload run time of each task, ms */
  void submit(const std::string& id, const std::string& payload, unsigned count = 1);
  /** Cancels a workflow, so that its runs are stopped. */
  void cancel(const std::string& id) { m_table.cancel(id, 1); }
  bool isDone(const std::string& id) const { return m_table.find(id)->record.phase() == schema::WorkflowCompleted; }
  /** \returns whether the log holds an active run of the first task. */
  bool hasActiveRun(const std::string& id) const;
  /** Replaces the leader by another replica, which knows only the committed state. */
  void replaceLeader();
  /** Ends the runs whose agent has not reported for longer than its lease. */
  void expire();
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override;

  std::vector<std::string> incarnations;  ///< incarnations of the target in the order of their reports
  bool draining = false;                  ///< whether the target was last reported as draining
  bool unreachable = false;               ///< the agent's reports get no answer

 private:
  static RunLedgerOptions options();
  void recordTarget(const schema::TargetReport& report);
  void place(Time now);
  void commit(std::vector<schema::RunEnd> ends);
  void record(const schema::RecordRuns& runs);

  WorkflowTable m_table;
  RunLedger m_ledger;
  std::uint64_t m_term = 1;
};

/** \class RestartFixture
 * \brief An agent, its target and its leader on one thread.
 *
 * If $COURSELOOM_LOG is set, the agent's log is written to standard output and the target's events to standard error.
 */
class RestartFixture {
 public:
  /** \param statesStartTime whether the target states the start time of its incarnation */
  explicit RestartFixture(bool statesStartTime = true);

  void run(std::int64_t ms) { io.run_for(milliseconds(ms)); }
  /** Runs until a condition holds, for at most 400 steps of 10 ms. \returns whether it holds */
  bool waitFor(const std::function<bool()>& condition);
  bool waitForDone(const std::string& id);
  /** Sends a control call of the test to the target. \returns the body of the answer, `{}` if there is none */
  std::string callTarget(const std::string& path);
  /** \returns how often a task was started. */
  std::int64_t starts(const std::string& task);
  /** \returns a number among the counts that the target keeps. */
  std::int64_t countOf(const std::string& name);
  /** Sends a registration message of the target to the agent. \returns the status of the answer, or 0 without one */
  unsigned sendToAgent(const std::string& path, const std::string& body);
  /** Submits workflow `a` of one task, and waits until the target has received its start call and left it without an
   * answer. \param payload run time of the task, ms \param windowMs for how long start calls are delayed, ms
   * \param delayMs from the start call to the start, ms */
  void submitWithDelayedStart(const std::string& payload, unsigned windowMs, unsigned delayMs);
  /** Submits workflow `a` of one short task, whose start call the target receives and carries out later. It restarts in
   * between. The hold of the former incarnation ends before that: a new agent assumes that holds of its former process
   * last up to 6 s, so this runs for most of that time first.
   * \param fault control call that precedes the restart
   * \param delayMs from the start call to the start, ms */
  void restartWithDelayedStart(const std::string& fault, unsigned delayMs = 2800);
  /** \returns the identity of the target's present incarnation. */
  std::string identity() const { return m_target->id(); }

  boost::asio::io_context io;
  TableLeader leader;

 private:
  Awaitable<void> answerCall(std::string path, std::optional<HttpResponse>& answer);
  Awaitable<void> sendMessage(std::string path, std::string body, std::optional<unsigned>& status);

  RpcServer m_server;
  schema::Settings m_settings;
  Histograms m_metrics;
  unsigned m_registrationPort = 0;
  std::unique_ptr<RunnerTarget> m_target;
  std::unique_ptr<RunAgentService> m_agent;
};

}  // namespace courseloom::test
