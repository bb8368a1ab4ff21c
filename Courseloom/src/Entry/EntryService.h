// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Entry/OperatorRoutes.h"
#include "Courseloom/src/Entry/QueueGateway.h"
#include "Courseloom/src/Entry/RequestPath.h"

namespace courseloom {

/** \class EntryEdges
 * \brief The deployment's protocol, as far as an entry speaks it; empty where none is spoken.
 */
struct EntryEdges {
  std::function<Awaitable<HttpResponse>(HttpRequest, QueueGateway&)> answerCaller;
  std::function<HttpResponse(const HttpRequest&, bool ready)> answerReadiness;
};

/** \class EntryService
 * \brief The entry daemon: the HTTP interface for callers and operators.
 */
class EntryService : public Service {
 public:
  explicit EntryService(const DaemonContext& context, EntryEdges edges = {});
  Result<Listening> start() override;
  Awaitable<std::size_t> stop() override;
  void reload(const schema::Settings& settings) override;

 private:
  Awaitable<HttpResponse> handle(HttpRequest request, std::string peer);
  Awaitable<HttpResponse> serveRequest(HttpRequest request, std::string service);
  Result<void> startEdge();
  schema::NodeStatus status() const;
  bool ready() const { return m_follower.fresh() && !m_stopping; }

  DaemonContext m_context;
  EntryEdges m_edges;
  ViewFollower m_follower;
  RequestPath m_requests;
  OperatorRoutes m_operators;
  QueueGateway m_queues;
  HttpServer m_http;
  HttpServer m_callers;
  HttpServer m_readiness;
  Listening m_listening;
  std::atomic<bool> m_stopping{false};
};

}  // namespace courseloom
