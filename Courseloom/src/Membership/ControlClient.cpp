// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Membership/ControlClient.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <cstdlib>
#include <utility>

#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Runtime/OneShot.h"

namespace courseloom {

namespace internal {
namespace {
/** Time for which hints to a replica are ignored after this replica answered that it is not the leader: about ten
 * attempts. Replicas that were cut off together name each other as the leader, and a client that followed their hints
 * would never try the other replicas. */
constexpr Duration RefusalValidity = milliseconds(600);
/** Minimum interval between probes for a replica that answers directly, while a relay is in use. */
constexpr Duration ProbeInterval = milliseconds(500);
constexpr Duration ProbeTimeout = milliseconds(300);
/** Silence of a connection after which it is probed before a queue call is sent; the probe costs one round trip. The
 * outcome of a call to a replica that lost power is unknown only if the call was sent within this time after the loss.
 */
constexpr Duration ProbeAfter = milliseconds(20);
constexpr const char* PeerPrefix = "replica ";

/** \returns whether a call that failed in this way may succeed at another replica. */
bool is_retriable_elsewhere(FailureCode code) {
  return code == FailureCode::NoLeader || code == FailureCode::PeerUnreachable || code == FailureCode::PeerFailed;
}

/** \returns whether there was no answer at all, as in a network partition. */
bool is_no_answer(FailureCode code) { return code == FailureCode::PeerUnreachable || code == FailureCode::PeerFailed; }

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
    : m_io(io), m_seedPort(cluster.seed_rpc_port()), m_attemptTimeout(2 * milliseconds(cluster.election_timeout_ms())) {
  for (const schema::ControlMember& member : cluster.members()) {
    m_configured.push_back({member.id(), std::make_shared<RpcClient>(io, member.address(), member.rpc_port()), Time{}});
  }
  for (const schema::Seed& seed : cluster.seeds()) m_configured.push_back(makePeer(replicaIdOf(seed.endpoint())));
  m_replicas = m_configured;
}

ControlClient::Peer ControlClient::makePeer(std::uint32_t id) const {
  return {id, std::make_shared<RpcClient>(m_io, replicaAddressOf(id), m_seedPort), Time{}};
}

ControlClient::Destination ControlClient::currentDestination() const {
  const std::lock_guard lock(m_mutex);
  if (m_viaRelay && !m_relays.empty()) return {m_relays[m_relay % m_relays.size()], true};
  return {m_replicas[m_current % m_replicas.size()], false};
}

/** \returns the time limit of one attempt: two election timeouts. If relays are known, an attempt at a replica is
 * limited to one election timeout, in which a leader is elected. */
Duration ControlClient::timeoutOf(const Destination& destination) const {
  const std::lock_guard lock(m_mutex);
  return destination.relayed || m_relays.empty() ? m_attemptTimeout : m_attemptTimeout / 2;
}

bool ControlClient::relayed() const {
  const std::lock_guard lock(m_mutex);
  return m_viaRelay && !m_relays.empty();
}

void ControlClient::setRelays(const std::vector<std::uint32_t>& ids) {
  const std::lock_guard lock(m_mutex);
  const auto isSame = [](const Peer& relay, std::uint32_t id) { return relay.id == id; };
  if (m_seedPort == 0 || std::equal(m_relays.begin(), m_relays.end(), ids.begin(), ids.end(), isSame)) return;
  std::vector<Peer> next;
  for (const std::uint32_t id : ids) next.push_back(findOrMake(m_relays, id));
  // The relay in use stays in use if the new list contains it.
  const std::uint32_t now = m_relays.empty() ? 0 : m_relays[m_relay % m_relays.size()].id;
  const auto same = std::find_if(next.begin(), next.end(), [now](const Peer& r) { return r.id == now; });
  m_relay = same == next.end() ? 0 : static_cast<std::size_t>(same - next.begin());
  m_relays = std::move(next);
}

/** Closes idle connections to all other peers if the answering peer differs from the one that answered last. The client
 * stays with the new peer, so connections to peers tried before it would burden these for nothing. */
void ControlClient::closeOtherConnections(const Destination& destination) {
  std::vector<std::shared_ptr<RpcClient>> others;
  {
    const std::lock_guard lock(m_mutex);
    if (std::exchange(m_lastAnsweredBy, destination.peer.id) == destination.peer.id) return;
    for (const std::vector<Peer>* peers : {&m_replicas, &m_relays}) {
      for (const Peer& peer : *peers) {
        if (peer.client != destination.peer.client) others.push_back(peer.client);
      }
    }
  }
  for (const std::shared_ptr<RpcClient>& other : others) other->closeIfIdle();
}

/** Handles an answer. While a relay is in use, a replica is probed directly from time to time. */
void ControlClient::onSuccess(const Destination& destination) {
  closeOtherConnections(destination);
  if (!destination.relayed) return;
  const std::lock_guard lock(m_mutex);
  const Time now = BootClock::now();
  if (m_probing || now < m_probedAt + internal::ProbeInterval) return;
  m_probing = true;
  m_probedAt = now;
  boost::asio::co_spawn(m_io, probeDirect(m_replicas[m_current % m_replicas.size()]), boost::asio::detached);
}

Awaitable<void> ControlClient::probeDirect(Peer replica) {
  Result<schema::Empty> reply =
      co_await replica.client->call<schema::Empty>("ping", schema::Empty(), BootClock::now() + internal::ProbeTimeout);
  const std::lock_guard lock(m_mutex);
  m_probing = false;
  if (reply) {
    if (m_viaRelay) logEvent(schema::RelayLeft, {{"replica", replica.client->peer()}});
    m_viaRelay = false;
  } else {
    m_current = (m_current + 1) % m_replicas.size();
  }
}

/** Handles a failed attempt. If a replica did not answer, later calls go through a relay. If a relay failed, later
 * calls go to the replicas again. */
void ControlClient::onFailure(const Destination& destination, const Failure& failure) {
  if (!internal::is_retriable_elsewhere(failure.code)) return;
  if (!destination.relayed) {
    switchReplica(destination.peer.id, failure);
    const std::lock_guard lock(m_mutex);
    if (!internal::is_no_answer(failure.code) || m_viaRelay || m_relays.empty()) return;
    m_viaRelay = true;
    logEvent(schema::RelayUsed, {{"relay", m_relays[m_relay % m_relays.size()].client->peer()},
                                 {"replica", destination.peer.client->peer()},
                                 {"detail", failure.detail}});
    return;
  }
  const std::lock_guard lock(m_mutex);
  if (m_viaRelay) logEvent(schema::RelayLeft, {{"relay", destination.peer.client->peer()}, {"detail", failure.detail}});
  m_viaRelay = false;
  ++m_relay;
}

ControlClient::Peer ControlClient::findOrMake(const std::vector<Peer>& known, std::uint32_t id) const {
  const auto found = std::find_if(known.begin(), known.end(), [id](const Peer& peer) { return peer.id == id; });
  return found == known.end() ? makePeer(id) : *found;
}

/** Rebuilds the list of replicas: the listed ones first, then those of the settings. The current replica stays current
 * if it is still in the list. */
void ControlClient::rebuildReplicas(const std::vector<std::uint32_t>& ids) {
  const std::uint32_t now = m_replicas[m_current % m_replicas.size()].id;
  std::vector<Peer> next;
  for (const std::uint32_t id : ids) next.push_back(findOrMake(m_replicas, id));
  for (const Peer& replica : m_configured) {
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
  rebuildReplicas(ids);
}

void ControlClient::setSeeds(const schema::ClusterSettings& cluster) {
  const std::lock_guard lock(m_mutex);
  if (cluster.seeds_size() == 0) return;
  m_configured.clear();
  for (const schema::Seed& seed : cluster.seeds()) {
    m_configured.push_back(findOrMake(m_replicas, replicaIdOf(seed.endpoint())));
  }
  rebuildReplicas(m_members);
}

/** Makes the named leader the current replica, unless it has recently answered that it is not the leader or is unknown
 * and cannot be found by number.
 *
 * \returns whether it is now the current replica */
bool ControlClient::followHint(std::uint32_t leader, Time now) {
  for (std::size_t i = 0; i < m_replicas.size(); ++i) {
    if (m_replicas[i].id != leader) continue;
    if (now < m_replicas[i].refusedAt + internal::RefusalValidity) return false;
    m_current = i;
    return true;
  }
  if (m_seedPort == 0) return false;
  m_replicas.push_back(makePeer(leader));
  m_current = m_replicas.size() - 1;
  return true;
}

void ControlClient::switchReplica(std::uint32_t from, const Failure& failure) {
  const std::lock_guard lock(m_mutex);
  if (m_replicas[m_current % m_replicas.size()].id != from) return;  // another call has already switched
  const Time now = BootClock::now();
  if (failure.code == FailureCode::NoLeader) m_replicas[m_current % m_replicas.size()].refusedAt = now;
  const std::optional<std::uint32_t> leader = replicaNamedBy(failure);
  if (leader && followHint(*leader, now)) return;
  m_current = (m_current + 1) % m_replicas.size();
}

template <class Reply, class Request>
Awaitable<Result<Reply>> ControlClient::tryOnce(const std::string& method, const Request& request, Time deadline,
                                                SendRule rule) {
  const Destination destination = currentDestination();
  // The request may allow the leader to delay its answer; this waiting time is added to the time limit.
  Duration attemptTimeout = timeoutOf(destination);
  if constexpr (requires { request.wait_ms(); }) attemptTimeout += milliseconds(request.wait_ms());
  const Time tryDeadline = std::min(deadline, BootClock::now() + attemptTimeout);
  Result<Reply> reply = co_await destination.peer.client->template call<Reply>(method, request, tryDeadline, rule);
  if (reply) {
    onSuccess(destination);
    co_return reply;
  }
  Failure failure = extractFailure(reply);
  onFailure(destination, failure);
  co_return fail(std::move(failure));
}

template <class Reply, class Request>
Awaitable<Result<Reply>> ControlClient::callLeader(std::string method, Request request, Time giveUpAt, Time deadline,
                                                   Duration* attemptTook) {
  Failure last{FailureCode::NoLeader, Ran::No, method, "", "no control replica answered", 0};
  Ran ran = Ran::No;
  while (BootClock::now() < (ran == Ran::Unknown ? deadline : giveUpAt)) {
    SendRule rule;
    if (std::is_same_v<Request, schema::QueueCall> && m_probesQueueCalls) {
      rule.probeAfter = internal::ProbeAfter;
      if (ran == Ran::No) rule.sendBy = giveUpAt;
    }
    const Time before = BootClock::now();
    Result<Reply> reply = co_await tryOnce<Reply>(method, request, deadline, rule);
    if (attemptTook != nullptr) *attemptTook = BootClock::now() - before;
    if (reply) co_return reply;
    last = extractFailure(reply);
    if (last.ran == Ran::Unknown) ran = Ran::Unknown;
    if (!internal::is_retriable_elsewhere(last.code)) break;
    co_await sleepFor(LeaderRetryPause);
  }
  // If the outcome of any attempt is unknown, the outcome of the call is unknown, whatever the last attempt returned.
  if (ran == Ran::Unknown) last.ran = Ran::Unknown;
  if (last.retryAfterMs == 0) last.retryAfterMs = static_cast<std::uint32_t>(toMilliseconds(m_attemptTimeout));
  co_return fail(std::move(last));
}

Awaitable<Result<schema::QueueAnswer>> ControlClient::call(schema::QueueCall call, Time deadline) {
  return callLeader<schema::QueueAnswer>("queue", std::move(call), deadline, deadline);
}

Awaitable<Result<schema::QueueAnswer>> ControlClient::call(schema::QueueCall call, Time giveUpAt, Time deadline,
                                                           Duration* attemptTook) {
  return callLeader<schema::QueueAnswer>("queue", std::move(call), giveUpAt, deadline, attemptTook);
}

Awaitable<Result<schema::AttendReply>> ControlClient::attend(schema::AttendRequest request, Time deadline) {
  co_return co_await tryOnce<schema::AttendReply>("attend", request, deadline);
}

Awaitable<Result<schema::WatchReply>> ControlClient::watchOnce(schema::WatchRequest request, Time deadline) {
  co_return co_await tryOnce<schema::WatchReply>("watch", request, deadline);
}

Awaitable<Result<schema::CommandReply>> ControlClient::command(schema::Command command, Time deadline) {
  schema::CommandRequest request;
  *request.mutable_command() = std::move(command);
  return callLeader<schema::CommandReply>("command", std::move(request), deadline, deadline);
}

Awaitable<Result<schema::QueryReply>> ControlClient::query(schema::QueryRequest request, Time deadline) {
  return callLeader<schema::QueryReply>("query", std::move(request), deadline, deadline);
}

Awaitable<Result<schema::WatchReply>> ControlClient::watch(schema::WatchRequest request, Time deadline) {
  return callLeader<schema::WatchReply>("watch", std::move(request), deadline, deadline);
}

}  // namespace courseloom
