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
/** A replica that said that it does not lead is not gone to on another's word for this long: about ten tries. Replicas
 * that were cut off together name each other, and a client that believed them would never try the others. */
constexpr Duration RefusalHolds = milliseconds(600);
/** Interval at which a node that uses a relay looks whether the replicas answer again. */
constexpr Duration ProbeInterval = milliseconds(500);
constexpr Duration ProbeLimit = milliseconds(300);
constexpr const char* PeerPrefix = "replica ";

/** \returns whether another replica may do better. */
bool is_elsewhere(FailureCode code) {
  return code == FailureCode::NoLeader || code == FailureCode::PeerUnreachable || code == FailureCode::PeerFailed;
}

/** \returns whether nothing came back at all, as from behind a cut. */
bool is_silence(FailureCode code) { return code == FailureCode::PeerUnreachable || code == FailureCode::PeerFailed; }

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
    m_configured.push_back({member.id(), std::make_shared<RpcClient>(io, member.address(), member.rpc_port()), Time{}});
  }
  for (const schema::Seed& seed : cluster.seeds()) m_configured.push_back(make(replicaIdOf(seed.endpoint())));
  m_replicas = m_configured;
}

ControlClient::Replica ControlClient::make(std::uint32_t id) const {
  return {id, std::make_shared<RpcClient>(m_io, replicaAddressOf(id), m_seedPort), Time{}};
}

ControlClient::Way ControlClient::current() const {
  const std::lock_guard lock(m_mutex);
  if (m_viaRelay && !m_relays.empty()) return {m_relays[m_relay % m_relays.size()], true};
  return {m_replicas[m_current % m_replicas.size()], false};
}

/** Where a relay is known, silence is not waited for as long: another election timeout, in which a leader is found. */
Duration ControlClient::limitOf(const Way& way) const {
  const std::lock_guard lock(m_mutex);
  return way.relayed || m_relays.empty() ? m_tryLimit : m_tryLimit / 2;
}

bool ControlClient::relayed() const {
  const std::lock_guard lock(m_mutex);
  return m_viaRelay && !m_relays.empty();
}

void ControlClient::setRelays(const std::vector<std::uint32_t>& ids) {
  const std::lock_guard lock(m_mutex);
  const auto isSame = [](const Replica& relay, std::uint32_t id) { return relay.id == id; };
  if (m_seedPort == 0 || std::equal(m_relays.begin(), m_relays.end(), ids.begin(), ids.end(), isSame)) return;
  std::vector<Replica> next;
  for (const std::uint32_t id : ids) next.push_back(knownOrNew(m_relays, id));
  // The one in use stays in use if it is still named.
  const std::uint32_t now = m_relays.empty() ? 0 : m_relays[m_relay % m_relays.size()].id;
  const auto same = std::find_if(next.begin(), next.end(), [now](const Replica& r) { return r.id == now; });
  m_relay = same == next.end() ? 0 : static_cast<std::size_t>(same - next.begin());
  m_relays = std::move(next);
}

/** A peer that answers after another one did is stayed with; connections to those that were asked on the way to it
 * would burden them for nothing. */
void ControlClient::leaveOthers(const Way& way) {
  std::vector<std::shared_ptr<RpcClient>> others;
  {
    const std::lock_guard lock(m_mutex);
    if (std::exchange(m_servedBy, way.peer.id) == way.peer.id) return;
    for (const std::vector<Replica>* peers : {&m_replicas, &m_relays}) {
      for (const Replica& peer : *peers) {
        if (peer.client != way.peer.client) others.push_back(peer.client);
      }
    }
  }
  for (const std::shared_ptr<RpcClient>& other : others) other->closeIfIdle();
}

/** While a relay serves, the replicas are tried beside it. */
void ControlClient::worked(const Way& way) {
  leaveOthers(way);
  if (!way.relayed) return;
  const std::lock_guard lock(m_mutex);
  const Time now = BootClock::now();
  if (m_probing || now < m_probedAt + internal::ProbeInterval) return;
  m_probing = true;
  m_probedAt = now;
  boost::asio::co_spawn(m_io, probeDirect(m_replicas[m_current % m_replicas.size()]), boost::asio::detached);
}

Awaitable<void> ControlClient::probeDirect(Replica replica) {
  Result<schema::Empty> reply =
      co_await replica.client->call<schema::Empty>("ping", schema::Empty(), BootClock::now() + internal::ProbeLimit);
  const std::lock_guard lock(m_mutex);
  m_probing = false;
  if (reply) {
    if (m_viaRelay) logEvent(schema::RelayLeft, {{"replica", replica.client->peer()}});
    m_viaRelay = false;
  } else {
    m_current = (m_current + 1) % m_replicas.size();
  }
}

/** Silence makes calls go through a relay; a relay that does not serve makes them go direct again. */
void ControlClient::failed(const Way& way, const Failure& failure) {
  if (!internal::is_elsewhere(failure.code)) return;
  if (!way.relayed) {
    moveOn(way.peer.id, failure);
    const std::lock_guard lock(m_mutex);
    if (!internal::is_silence(failure.code) || m_viaRelay || m_relays.empty()) return;
    m_viaRelay = true;
    logEvent(schema::RelayUsed, {{"relay", m_relays[m_relay % m_relays.size()].client->peer()},
                                 {"replica", way.peer.client->peer()},
                                 {"detail", failure.detail}});
    return;
  }
  const std::lock_guard lock(m_mutex);
  if (m_viaRelay) logEvent(schema::RelayLeft, {{"relay", way.peer.client->peer()}, {"detail", failure.detail}});
  m_viaRelay = false;
  ++m_relay;
}

ControlClient::Replica ControlClient::knownOrNew(const std::vector<Replica>& known, std::uint32_t id) const {
  const auto found = std::find_if(known.begin(), known.end(), [id](const Replica& peer) { return peer.id == id; });
  return found == known.end() ? make(id) : *found;
}

/** Puts the named replicas first and those of the settings after them; the current one stays current. */
void ControlClient::rebuild(const std::vector<std::uint32_t>& ids) {
  const std::uint32_t now = m_replicas[m_current % m_replicas.size()].id;
  std::vector<Replica> next;
  for (const std::uint32_t id : ids) next.push_back(knownOrNew(m_replicas, id));
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
  for (const schema::Seed& seed : cluster.seeds()) {
    m_configured.push_back(knownOrNew(m_replicas, replicaIdOf(seed.endpoint())));
  }
  rebuild(m_members);
}

/** \returns whether calls go to the named replica now. */
bool ControlClient::followHint(std::uint32_t leader, Time now) {
  for (std::size_t i = 0; i < m_replicas.size(); ++i) {
    if (m_replicas[i].id != leader) continue;
    if (now < m_replicas[i].refusedAt + internal::RefusalHolds) return false;
    m_current = i;
    return true;
  }
  if (m_seedPort == 0) return false;
  m_replicas.push_back(make(leader));
  m_current = m_replicas.size() - 1;
  return true;
}

void ControlClient::moveOn(std::uint32_t from, const Failure& failure) {
  const std::lock_guard lock(m_mutex);
  if (m_replicas[m_current % m_replicas.size()].id != from) return;  // another call has moved on already
  const Time now = BootClock::now();
  if (failure.code == FailureCode::NoLeader) m_replicas[m_current % m_replicas.size()].refusedAt = now;
  const std::optional<std::uint32_t> leader = replicaNamedBy(failure);
  if (leader && followHint(*leader, now)) return;
  m_current = (m_current + 1) % m_replicas.size();
}

template <class Reply, class Request>
Awaitable<Result<Reply>> ControlClient::tryOnce(const std::string& method, const Request& request, Time deadline) {
  const Way way = current();
  // A call that the leader holds back on purpose says how long in its own message; give that on top.
  Duration limit = limitOf(way);
  if constexpr (requires { request.wait_ms(); }) limit += milliseconds(request.wait_ms());
  const Time tryDeadline = std::min(deadline, BootClock::now() + limit);
  Result<Reply> reply = co_await way.peer.client->template call<Reply>(method, request, tryDeadline);
  if (reply) {
    worked(way);
    co_return reply;
  }
  Failure failure = takeFailure(reply);
  failed(way, failure);
  co_return fail(std::move(failure));
}

template <class Reply, class Request>
Awaitable<Result<Reply>> ControlClient::callLeader(std::string method, Request request, Time giveUpAt, Time deadline) {
  Failure last{FailureCode::NoLeader, Ran::No, method, "", "no control replica answered", 0};
  Ran ran = Ran::No;
  while (BootClock::now() < (ran == Ran::Unknown ? deadline : giveUpAt)) {
    Result<Reply> reply = co_await tryOnce<Reply>(method, request, deadline);
    if (reply) co_return reply;
    last = takeFailure(reply);
    if (last.ran == Ran::Unknown) ran = Ran::Unknown;
    if (!internal::is_elsewhere(last.code)) break;
    co_await sleepFor(LeaderRetryPause);
  }
  // One try whose outcome is unknown makes the whole unknown, whatever the last one said.
  if (ran == Ran::Unknown) last.ran = Ran::Unknown;
  if (last.retryAfterMs == 0) last.retryAfterMs = static_cast<std::uint32_t>(toMilliseconds(m_tryLimit));
  co_return fail(std::move(last));
}

Awaitable<Result<schema::QueueAnswer>> ControlClient::call(schema::QueueCall call, Time deadline) {
  return callLeader<schema::QueueAnswer>("queue", std::move(call), deadline, deadline);
}

Awaitable<Result<schema::QueueAnswer>> ControlClient::call(schema::QueueCall call, Time giveUpAt, Time deadline) {
  return callLeader<schema::QueueAnswer>("queue", std::move(call), giveUpAt, deadline);
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
