// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Control/ConfigurationGateway.h"
#include "Courseloom/src/Control/JobRunner.h"
#include "Courseloom/src/Control/QueueHandler.h"
#include "Courseloom/src/Control/WorkflowRunner.h"
#include "Courseloom/src/Membership/NodeTable.h"
#include "Courseloom/src/Runtime/ChangeSignal.h"
#include "Courseloom/src/Runtime/ProcessLimits.h"
#include "Courseloom/src/Transport/RpcServer.h"

namespace courseloom {

/** \class ControlProtocol
 * \brief Parts of the deployment's protocol that a control replica serves; empty functions where it serves none.
 */
struct ControlProtocol {
  /** Makes the client of the advice service. */
  std::function<std::unique_ptr<AdvicePort>(const DaemonContext&)> makeAdvice;
  /** Answers an operator's HTTP request. \param port port on which the operators' endpoint listens \param memory what
   * the process holds for the request */
  std::function<Awaitable<HttpResponse>(HttpRequest, ConfigurationGateway&, unsigned port, ByteShare& memory)>
      answerOperator;
};

/** \class ControlService
 * \brief The control daemon. It serves commands, queries and the nodes' watch calls (their heartbeats) on the leader,
 * and replication messages on every replica.
 */
class ControlService : public Service, private ConfigurationGateway {
 public:
  /** \param edges handlers of the deployment's protocol */
  explicit ControlService(const DaemonContext& context, ControlProtocol edges = {});
  Result<ListeningPorts> start() override;
  Awaitable<std::size_t> stop() override;
  void reload(const schema::Settings& settings) override;

 private:
  Awaitable<Result<void>> put(schema::QueueConfiguration configuration) override;
  Awaitable<Result<std::string>> read() override;
  Awaitable<Result<void>> drainHall(std::string hall, bool drained) override;
  std::string leaderAddress() override;
  Result<void> startEdge();
  void registerHandlers();
  void registerWorkflowHandlers();
  Awaitable<Result<schema::Empty>> replicate(schema::ReplicaMessage message);
  Awaitable<Result<schema::CommandReply>> command(schema::CommandRequest request);
  void resolveHalls(schema::Action& action) const;
  Awaitable<void> waitForInventory(Time deadline) const;
  Awaitable<Result<schema::CommandReply>> configure(schema::Command command, Time deadline);
  Awaitable<Result<schema::QueryReply>> query(schema::QueryRequest request);
  Awaitable<Result<schema::WatchReply>> watch(schema::WatchRequest request);
  Awaitable<void> housekeeping();

  Result<void> checkCommand(schema::Command& command) const;
  Result<void> checkJob(schema::JobSpec& spec) const;
  Result<void> checkGuarantees(const schema::Command& command) const;
  schema::QueryReply answerQuery(const schema::QueryRequest& request) const;
  schema::ClusterStatus clusterStatus() const;
  schema::WatchReply makeWatchReply(const schema::WatchRequest& request);
  bool hasNewTargets(const schema::WatchRequest& request) const;
  bool hasUpdates(const schema::WatchRequest& request) const;
  bool targetsSettled() const;
  bool leads() const { return m_driver.canRead(); }
  HttpResponse answerHttp(const HttpRequest& request) const;

  DaemonContext m_context;
  ControlProtocol m_edges;
  ControlStrand m_strand;
  ReplicaDriver m_driver;
  JobRunner m_jobs;
  WorkflowRunner m_workflows;
  ProcessLimits m_limits;
  QueueHandler m_queues;
  NodeTable m_nodes;
  ChangeSignal m_changed;
  RpcServer m_rpc;
  HttpServer m_http;
  HttpServer m_operators;
  unsigned m_edgePort = 0;             ///< port of the operators' endpoint; 0 if it is not served
  Time m_leadsSince{};                 ///< last change of this replica's role
  bool m_configuring = false;          ///< a change of configuration is being checked or committed
  std::atomic<ReplicaId> m_leader{0};  ///< copy of the replica's leader for threads outside the strand; 0 if unknown
  std::atomic<bool> m_ready{false};
  std::atomic<bool> m_stopping{false};
};

}  // namespace courseloom
