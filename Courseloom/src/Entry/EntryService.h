// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Entry/EntryLimits.h"
#include "Courseloom/src/Entry/OperatorRoutes.h"
#include "Courseloom/src/Entry/QueueGateway.h"
#include "Courseloom/src/Entry/RequestPath.h"
#include "Courseloom/src/Runtime/ProcessLimits.h"

namespace courseloom {

/** \class EntryProtocol
 * \brief Handlers of the deployment's own protocol at an entry. An empty handler has no listener.
 */
struct EntryProtocol {
  /** Queue calls. \param memory what the process holds for the call */
  std::function<Awaitable<HttpResponse>(HttpRequest, QueueGateway&, ByteShare& memory)> answerCaller;
  /** Decides from the head of a queue call whether its large body is read. \returns an answer that rejects it, or
   * nothing */
  std::function<Awaitable<std::optional<HttpResponse>>(const HttpRequest& head, QueueGateway&)> checkCaller;
  std::function<HttpResponse(const HttpRequest&, bool ready)> answerReadiness;  ///< readiness probes
};

/** \class EntryService
 * \brief The entry daemon: the HTTP interface for callers and operators.
 */
class EntryService : public Service {
 public:
  explicit EntryService(const DaemonContext& context, EntryProtocol protocol = {});
  Result<ListeningPorts> start() override;
  Awaitable<std::size_t> stop() override;
  void reload(const schema::Settings& settings) override;

 private:
  Awaitable<HttpResponse> handle(HttpRequest request, HttpCaller caller);
  Awaitable<HttpResponse> serveRequest(HttpRequest request, std::string service);
  HttpBodyCheck bodyCheck();
  HttpLimits callerLimits(std::uint32_t connections) const;
  std::uint32_t ownConnections() const;
  Result<void> startProtocolListeners();
  void publishLimits() const;
  schema::NodeStatus status() const;
  bool ready() const { return m_follower.fresh() && !m_stopping; }

  DaemonContext m_context;
  EntryProtocol m_protocol;
  EntryLimits m_limits;
  ProcessLimits m_processLimits;
  std::shared_ptr<ByteBudget> m_memory;  ///< budget for callers
  ViewFollower m_follower;
  RequestPath m_requests;
  OperatorRoutes m_operators;
  QueueGateway m_queues;
  HttpServer m_http;       ///< courseloom's own HTTP interface
  HttpServer m_callers;    ///< queue calls in the deployment's protocol
  HttpServer m_readiness;  ///< readiness probes in the deployment's protocol
  ListeningPorts m_listening;
  std::atomic<bool> m_stopping{false};
};

}  // namespace courseloom
