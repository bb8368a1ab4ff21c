// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Membership/ControlClient.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <cstdlib>

#include "Courseloom/src/Runtime/OneShot.h"

namespace courseloom {

namespace internal {
namespace {
constexpr Duration RetryPause = milliseconds(40);
constexpr const char* PeerPrefix = "replica ";

/** \returns whether another replica may do better. */
bool is_elsewhere(FailureCode code) {
  return code == FailureCode::NoLeader || code == FailureCode::PeerUnreachable || code == FailureCode::PeerFailed;
}

}  // namespace
}  // namespace internal

std::string replicaPeer(std::uint32_t id) { return internal::PeerPrefix + std::to_string(id); }

std::optional<std::uint32_t> replicaNamedBy(const Failure& failure) {
  const std::string prefix = internal::PeerPrefix;
  if (failure.code != FailureCode::NoLeader || failure.peer.rfind(prefix, 0) != 0) return std::nullopt;
  return static_cast<std::uint32_t>(std::strtoul(failure.peer.c_str() + prefix.size(), nullptr, 10));
}

std::uint32_t replicaIdOf(const std::string& endpoint) {
  return boost::asio::ip::make_address_v4(endpoint.substr(0, endpoint.rfind(':'))).to_uint();
}

std::string replicaAddressOf(std::uint32_t id) { return boost::asio::ip::address_v4(id).to_string(); }

ControlClient::ControlClient(boost::asio::io_context& io, const schema::ClusterSettings& cluster)
    : m_io(io), m_seedPort(cluster.seed_rpc_port()), m_tryLimit(2 * milliseconds(cluster.election_timeout_ms())) {
  for (const schema::ControlMember& member : cluster.members()) {
    m_configured.push_back({member.id(), std::make_shared<RpcClient>(io, member.address(), member.rpc_port())});
  }
  for (const schema::Seed& seed : cluster.seeds()) m_configured.push_back(make(replicaIdOf(seed.endpoint())));
  m_replicas = m_configured;
}

ControlClient::Replica ControlClient::make(std::uint32_t id) const {
  return {id, std::make_shared<RpcClient>(m_io, replicaAddressOf(id), m_seedPort)};
}

ControlClient::Replica ControlClient::current() const {
  const std::lock_guard lock(m_mutex);
  return m_replicas[m_current % m_replicas.size()];
}

ControlClient::Replica ControlClient::knownOrNew(std::uint32_t id) const {
  for (const Replica& replica : m_replicas) {
    if (replica.id == id) return replica;
  }
  return make(id);
}

/** Puts the named replicas first and those of the settings after them; the current one stays current. */
void ControlClient::rebuild(const std::vector<std::uint32_t>& ids) {
  const std::uint32_t now = m_replicas[m_current % m_replicas.size()].id;
  std::vector<Replica> next;
  for (const std::uint32_t id : ids) next.push_back(knownOrNew(id));
  for (const Replica& replica : m_configured) {
    const bool named = std::find(ids.begin(), ids.end(), replica.id) != ids.end();
    if (!named) next.push_back(replica);
  }
  m_replicas = std::move(next);
  m_current = 0;
  for (std::size_t i = 0; i < m_replicas.size(); ++i) {
    if (m_replicas[i].id == now) m_current = i;
  }
}

void ControlClient::setMembers(const std::vector<std::uint32_t>& ids) {
  const std::lock_guard lock(m_mutex);
  if (m_seedPort == 0 || ids.empty() || ids == m_members) return;
  m_members = ids;
  rebuild(ids);
}

void ControlClient::setSeeds(const schema::ClusterSettings& cluster) {
  const std::lock_guard lock(m_mutex);
  if (cluster.seeds_size() == 0) return;
  m_configured.clear();
  for (const schema::Seed& seed : cluster.seeds()) m_configured.push_back(knownOrNew(replicaIdOf(seed.endpoint())));
  rebuild(m_members);
}

void ControlClient::moveOn(std::uint32_t from, const Failure& failure) {
  const std::lock_guard lock(m_mutex);
  if (m_replicas[m_current % m_replicas.size()].id != from) return;  // another call has moved on already
  const std::optional<std::uint32_t> leader = replicaNamedBy(failure);
  if (leader) {
    for (std::size_t i = 0; i < m_replicas.size(); ++i) {
      if (m_replicas[i].id != *leader) continue;
      m_current = i;
      return;
    }
    if (m_seedPort != 0) {
      m_replicas.push_back(make(*leader));
      m_current = m_replicas.size() - 1;
      return;
    }
  }
  m_current = (m_current + 1) % m_replicas.size();
}

template <class Reply, class Request>
Awaitable<Result<Reply>> ControlClient::tryOnce(const std::string& method, const Request& request, Time deadline) {
  const Replica replica = current();
  // A call that the leader holds back on purpose says how long in its own message; give that on top.
  Duration limit = m_tryLimit;
  if constexpr (requires { request.wait_ms(); }) limit += milliseconds(request.wait_ms());
  const Time tryDeadline = std::min(deadline, BootClock::now() + limit);
  Result<Reply> reply = co_await replica.client->template call<Reply>(method, request, tryDeadline);
  if (reply) co_return reply;
  Failure failure = takeFailure(reply);
  if (internal::is_elsewhere(failure.code)) moveOn(replica.id, failure);
  co_return fail(std::move(failure));
}

template <class Reply, class Request>
Awaitable<Result<Reply>> ControlClient::callLeader(std::string method, Request request, Time deadline) {
  Failure last{FailureCode::NoLeader, Ran::No, method, "", "no control replica answered", 0};
  Ran ran = Ran::No;
  while (BootClock::now() < deadline) {
    Result<Reply> reply = co_await tryOnce<Reply>(method, request, deadline);
    if (reply) co_return reply;
    last = takeFailure(reply);
    if (last.ran == Ran::Unknown) ran = Ran::Unknown;
    if (!internal::is_elsewhere(last.code)) break;
    co_await sleepFor(internal::RetryPause);
  }
  // One try whose outcome is unknown makes the whole unknown, whatever the last one said.
  if (ran == Ran::Unknown) last.ran = Ran::Unknown;
  if (last.retryAfterMs == 0) last.retryAfterMs = static_cast<std::uint32_t>(toMilliseconds(m_tryLimit));
  co_return fail(std::move(last));
}

Awaitable<Result<schema::QueueAnswer>> ControlClient::call(schema::QueueCall call, Time deadline) {
  return callLeader<schema::QueueAnswer>("queue", std::move(call), deadline);
}

Awaitable<Result<schema::AttendReply>> ControlClient::attend(schema::AttendRequest request, Time deadline) {
  co_return co_await tryOnce<schema::AttendReply>("attend", request, deadline);
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
