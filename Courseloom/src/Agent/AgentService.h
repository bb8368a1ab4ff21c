// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/asio/strand.hpp>
#include <map>
#include <memory>

#include "Courseloom/src/Admission/Admission.h"
#include "Courseloom/src/Admission/TokenTable.h"
#include "Courseloom/src/Membership/ViewFollower.h"
#include "Courseloom/src/Runtime/ChangeSignal.h"
#include "Courseloom/src/Runtime/Daemon.h"
#include "Courseloom/src/Runtime/OneShot.h"
#include "Courseloom/src/Runtime/ProcessLimits.h"
#include "Courseloom/src/Transport/HttpClient.h"
#include "Courseloom/src/Transport/RpcServer.h"

namespace courseloom {

/** \class AgentService
 * \brief The agent daemon: guards one target's slots, fences tokens, and speaks HTTP to the target.
 *
 * Decisions run on one strand, exchanges with the target run in parallel to it. An exchange that outlives its caller's
 * deadline continues, since the target is still busy with it. It keeps its slot until it ends, and its answer is stored
 * for callers that query the token.
 */
class AgentService : public Service {
 public:
  explicit AgentService(const DaemonContext& context);
  Result<ListeningPorts> start() override;
  Awaitable<std::size_t> stop() override;

 private:
  using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;
  using Admitted = std::shared_ptr<OneShot<AdmissionAction>>;
  using Finished = std::shared_ptr<OneShot<schema::RunReply>>;

  Awaitable<Result<schema::RunReply>> run(schema::RunRequest request);
  Awaitable<Result<schema::ResolveReply>> resolve(schema::ResolveRequest request);
  Awaitable<schema::RunReply> admitAndRun(schema::RunRequest request, Time deadline);
  Awaitable<std::optional<Failure>> admit(std::uint64_t id, const schema::RunRequest& request, Time deadline);
  Awaitable<void> execute(std::uint64_t id, schema::RunRequest request, Time deadline, Finished finished);
  Awaitable<Result<schema::Answer>> exchange(std::uint64_t id, const schema::RunRequest& request, Time deadline);
  Awaitable<void> tickLoop();
  void deliver(std::vector<AdmissionAction> actions);
  void settleToken(const schema::Token& token, const Result<schema::Answer>& answer, Ran ran);
  std::optional<Failure> refusalOfNewWork(const schema::RunRequest& request) const;
  void applyView(const View& view);
  schema::AgentLoad load() const;
  schema::NodeStatus status() const;
  Failure makeFailure(FailureCode code, Ran ran, const std::string& step, const std::string& detail) const;

  DaemonContext m_context;
  Strand m_strand;
  HttpClient m_target;
  Admission m_admission;
  TokenTable m_tokens;
  ChangeSignal m_tokenChanged;
  ViewFollower m_follower;
  ProcessLimits m_limits;
  RpcServer m_rpc;
  HttpServer m_http;
  std::map<std::uint64_t, Admitted> m_waiting;  ///< queued requests, by number of the exchange
  std::uint64_t m_nextExchange = 1;
  std::atomic<std::uint64_t> m_incarnation;
  std::atomic<unsigned> m_running{0};
  std::atomic<unsigned> m_queued{0};
  std::atomic<bool> m_stopping{false};
  ListeningPorts m_listening;
};

}  // namespace courseloom
