// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Control/JobRunner.h"
#include "Courseloom/src/Membership/NodeTable.h"
#include "Courseloom/src/Runtime/ChangeSignal.h"
#include "Courseloom/src/Transport/RpcServer.h"

namespace courseloom {

/** \class ControlService
 * \brief The control daemon: serves commands, queries and heartbeats on the leader, and the replicas' own messages.
 */
class ControlService : public Service {
 public:
  explicit ControlService(const DaemonContext& context);
  Result<Listening> start() override;
  Awaitable<std::size_t> stop() override;

 private:
  void registerHandlers();
  Awaitable<Result<schema::Empty>> replicate(schema::ReplicaMessage message);
  Awaitable<Result<schema::CommandReply>> command(schema::CommandRequest request);
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
  schema::WatchReply makeWatchReply(const schema::WatchRequest& request) const;
  bool hasNewTargets(const schema::WatchRequest& request) const;
  bool hasNews(const schema::WatchRequest& request) const;
  bool targetsSettled() const;
  bool leads() const { return m_driver.canRead(); }
  HttpResponse answerHttp(const HttpRequest& request) const;

  DaemonContext m_context;
  ControlStrand m_strand;
  ReplicaDriver m_driver;
  JobRunner m_jobs;
  NodeTable m_nodes;
  ChangeSignal m_changed;
  RpcServer m_rpc;
  HttpServer m_http;
  Time m_leadsSince{};
  bool m_configuring = false;
  std::atomic<bool> m_ready{false};
  std::atomic<bool> m_stopping{false};
};

}  // namespace courseloom
