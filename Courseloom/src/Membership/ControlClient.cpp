// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Membership/ControlClient.h"

#include "Courseloom/src/Runtime/OneShot.h"

namespace courseloom {

namespace internal {
namespace {
constexpr Duration RetryPause = milliseconds(20);
}  // namespace
}  // namespace internal

std::string replicaPeer(std::uint32_t id) { return "replica " + std::to_string(id); }

ControlClient::ControlClient(boost::asio::io_context& io, const schema::ClusterSettings& cluster)
    : m_tryLimit(2 * milliseconds(cluster.election_timeout_ms())) {
  for (const schema::ControlMember& member : cluster.members()) {
    m_replicas.push_back({member.id(), std::make_shared<RpcClient>(io, member.address(), member.rpc_port())});
  }
}

void ControlClient::moveOn(std::size_t from, const Failure& failure) {
  std::size_t next = (from + 1) % m_replicas.size();
  for (std::size_t i = 0; i < m_replicas.size(); ++i) {
    if (failure.code == FailureCode::NoLeader && failure.peer == replicaPeer(m_replicas[i].id)) next = i;
  }
  m_current.compare_exchange_strong(from, next);
}

template <class Reply, class Request>
Awaitable<Result<Reply>> ControlClient::callLeader(std::string method, Request request, Time deadline) {
  Failure last{FailureCode::NoLeader, Ran::No, method, "", "no control replica answered", 0};
  Ran ran = Ran::No;
  while (BootClock::now() < deadline) {
    const std::size_t current = m_current.load();
    const std::shared_ptr<RpcClient> client = m_replicas[current].client;
    // A call that the leader holds back on purpose says how long in its own message; give that on top.
    Duration limit = m_tryLimit;
    if constexpr (requires { request.wait_ms(); }) limit += milliseconds(request.wait_ms());
    const Time tryDeadline = std::min(deadline, BootClock::now() + limit);
    Result<Reply> reply = co_await client->template call<Reply>(method, request, tryDeadline);
    if (reply) co_return reply;
    last = takeFailure(reply);
    if (last.ran == Ran::Unknown) ran = Ran::Unknown;
    const bool elsewhere = last.code == FailureCode::NoLeader || last.code == FailureCode::PeerUnreachable ||
                           last.code == FailureCode::PeerFailed;
    if (!elsewhere) break;
    moveOn(current, last);
    co_await sleepFor(internal::RetryPause);
  }
  // One try whose outcome is unknown makes the whole unknown, whatever the last one said.
  if (ran == Ran::Unknown) last.ran = Ran::Unknown;
  if (last.retryAfterMs == 0) last.retryAfterMs = static_cast<std::uint32_t>(toMilliseconds(m_tryLimit));
  co_return fail(std::move(last));
}

Awaitable<Result<schema::CommandReply>> ControlClient::command(schema::Command command, Time deadline) {
  schema::CommandRequest request;
  *request.mutable_command() = std::move(command);
  return callLeader<schema::CommandReply>("command", std::move(request), deadline);
}

Awaitable<Result<schema::QueryReply>> ControlClient::query(schema::QueryRequest request, Time deadline) {
  return callLeader<schema::QueryReply>("query", std::move(request), deadline);
}

Awaitable<Result<schema::WatchReply>> ControlClient::watch(schema::WatchRequest request, Time deadline) {
  return callLeader<schema::WatchReply>("watch", std::move(request), deadline);
}

}  // namespace courseloom
