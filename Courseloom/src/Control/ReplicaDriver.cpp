// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/ReplicaDriver.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/post.hpp>
#include <iostream>
#include <random>

#include "Courseloom/src/Control/StrandSlice.h"
#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Core/ScopedCount.h"
#include "Courseloom/src/Membership/ControlClient.h"
#include "Courseloom/src/State/StateWriter.h"
#include "generated/rpc.pb.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {

constexpr std::uint64_t BytesPerMb = 1024ULL * 1024;
constexpr int TicksPerHeartbeat = 2;
/** Size of the applied entries of the log, in memory and on disk, from which a snapshot is taken, bytes. */
constexpr std::uint64_t SnapshotLogBytes = 8 * BytesPerMb;

std::string random_disk_id() {
  std::random_device device;
  std::string id = "disk-";
  for (int i = 0; i < 4; ++i) id += std::to_string(device()) + (i < 3 ? "-" : "");
  return id;
}

std::vector<ReplicaId> member_ids(const schema::Settings& settings) {
  std::vector<ReplicaId> ids;
  for (const schema::ControlMember& member : settings.cluster().members()) ids.push_back(member.id());
  for (const schema::Seed& seed : settings.cluster().seeds()) ids.push_back(replicaIdOf(seed.endpoint()));
  std::sort(ids.begin(), ids.end());
  return ids;
}

/** Most sends in flight to one peer. Further messages are dropped, as a network might drop them. */
constexpr unsigned MaxSendsInFlight = 32;
/** Interval between requests to join. */
constexpr Duration JoinInterval = milliseconds(250);
/** Time limit of one request to join. */
constexpr Duration JoinLimit = milliseconds(800);
/** Time since the last contact with a leader after which a replica requests to join. */
constexpr Duration JoinSilence = milliseconds(800);

/** Weight of the newest measurement in a smoothed delay; the average follows within about half a second of ticks. */
constexpr double DelayWeight = 0.1;

void smooth_delay(Duration& smoothed, Duration delay) {
  const double change = DelayWeight * static_cast<double>((delay - smoothed).count());
  smoothed += Duration(static_cast<Duration::rep>(change));
}

LeaderSpeedOptions speed_options(const schema::ControlSettings& control) {
  LeaderSpeedOptions options;
  options.factor = control.yield_factor();
  options.after = milliseconds(control.yield_after_ms());
  options.interval = milliseconds(control.yield_interval_ms());
  return options;
}

StateLimits state_limits(const schema::ControlSettings& control) {
  return {control.max_kept_answer_bytes(), 1000ULL * control.claim_retention_s(),
          1000ULL * control.workflow_retention_s()};
}

/** \returns whether a command adds new work. New work is refused when disk space is short; commands that end work that
 * has begun must not be refused. */
bool is_new_work(const schema::Command& command) {
  return command.has_apply() || command.has_action() || command.has_open_claim() || command.has_submit() ||
         command.has_submit_workflow() || command.has_put_configuration();
}

schema::DiskIdentity make_identity(const schema::Settings& settings, ReplicaId id, const std::string& diskId) {
  schema::DiskIdentity identity;
  identity.set_format(LogStore::Format);
  identity.set_cluster_id(settings.cluster().id());
  identity.set_replica_id(id);
  identity.set_disk_id(diskId);
  return identity;
}

}  // namespace
}  // namespace internal

Result<ReplicaId> ownReplicaId(const schema::Settings& settings) {
  if (settings.cluster().seeds_size() > 0) return replicaIdOf(settings.node().address());
  for (const schema::ControlMember& member : settings.cluster().members()) {
    const bool own = member.address() == settings.node().address() && member.rpc_port() == settings.node().rpc_port();
    if (own) return member.id();
  }
  return fail(Failure{FailureCode::BadSettings, Ran::No, "find replica", "node.rpcPort",
                      "no member under 'cluster.members' has this process's address and RPC port", 0});
}

Result<void> initialiseFounder(const schema::Settings& settings) {
  BOOST_LEAF_AUTO(id, ownReplicaId(settings));
  const std::string& cluster = settings.cluster().id();
  LogStore store(settings.node().data_folder());
  return store.initialise(internal::make_identity(settings, id, foundingDiskId(cluster, id)),
                          foundingSnapshot(cluster, internal::member_ids(settings)));
}

ReplicaDriver::ReplicaDriver(const DaemonContext& context, ControlStrand strand)
    : m_context(context),
      m_strand(std::move(strand)),
      m_disk(1),
      m_store(context.settings.node().data_folder()),
      m_state(internal::state_limits(context.settings.control())),
      m_speed(internal::speed_options(context.settings.control())) {
  for (const schema::ControlMember& member : context.settings.cluster().members()) {
    m_peers[member.id()] = std::make_shared<RpcClient>(context.io, member.address(), member.rpc_port());
  }
}

Result<void> ReplicaDriver::open() {
  const schema::Settings& settings = m_context.settings;
  const schema::ClusterSettings& cluster = settings.cluster();
  BOOST_LEAF_AUTO(id, ownReplicaId(settings));
  BOOST_LEAF_CHECK(prepareFolder(id));
  BOOST_LEAF_AUTO(restored, m_store.open(cluster.id(), id));
  if (m_store.bytesCut() > 0) logEvent(schema::LogTailCut, {{"bytes", m_store.bytesCut()}});
  m_appliedMembers = restored.snapshot.info().members();
  for (const schema::Member& member : m_appliedMembers.members()) {
    if (usesSeeds() || m_peers.count(member.id()) > 0) continue;
    return fail(Failure{FailureCode::BadSettings, Ran::No, "open storage", settings.node().data_folder(),
                        "the log names replica " + std::to_string(member.id()) + ", which the settings do not list",
                        0});
  }
  m_applied = restored.snapshot.info().index();
  m_appliedTerm = restored.snapshot.info().term();
  if (!restored.snapshot.state().empty()) BOOST_LEAF_CHECK(m_state.load(restored.snapshot.state()));
  ReplicaOptions options;
  options.clusterId = cluster.id();
  options.id = id;
  options.diskId = m_store.identity().disk_id();
  if (!usesSeeds()) options.peers = internal::member_ids(settings);
  if (usesSeeds()) {
    options.replaceAfter = milliseconds(settings.control().replace_after_ms());
    const std::size_t losses = settings.control().tolerated_losses();
    options.wantedVoters = losses > 0 ? 2 * losses + 1 : static_cast<std::size_t>(cluster.seeds_size());
    for (const ReplicaId seed : internal::member_ids(settings)) m_joinContacts.insert(seed);
  }
  options.heartbeat = milliseconds(cluster.heartbeat_ms());
  options.electionTimeout = milliseconds(cluster.election_timeout_ms());
  options.seed = std::random_device()();
  m_replica = std::make_unique<Replica>(options, std::move(restored), BootClock::now());
  return {};
}

/** Initialises an empty data folder: as a founder's if this replica is a seed and the settings ask to bootstrap, else
 * as that of a joining replica. */
Result<void> ReplicaDriver::prepareFolder(ReplicaId id) {
  if (m_store.exists()) return {};
  const schema::Settings& settings = m_context.settings;
  const std::vector<ReplicaId> founders = internal::member_ids(settings);
  const bool isFounder = std::find(founders.begin(), founders.end(), id) != founders.end();
  if (usesSeeds() && settings.cluster().bootstrap() && isFounder) return initialiseFounder(settings);
  logEvent(schema::DiskJoining, {{"folder", settings.node().data_folder()}});
  return m_store.initialise(internal::make_identity(settings, id, internal::random_disk_id()), {});
}

void ReplicaDriver::start() {
  asio::co_spawn(m_strand, tickLoop(), asio::detached);
  if (usesSeeds()) asio::co_spawn(m_strand, joinLoop(), asio::detached);
}

// ---- joining

std::vector<ReplicaId> ReplicaDriver::memberIds() const {
  std::vector<ReplicaId> ids;
  for (const schema::Member& member : m_replica->members().members()) ids.push_back(member.id());
  return ids;
}

void ReplicaDriver::addSeeds(const schema::ClusterSettings& cluster) {
  for (const schema::Seed& seed : cluster.seeds()) m_joinContacts.insert(replicaIdOf(seed.endpoint()));
}

Awaitable<void> ReplicaDriver::joinLoop() {
  while (true) {
    co_await sleepFor(internal::JoinInterval);
    const Time now = BootClock::now();
    if (now < m_replica->lastLeaderContact(now) + internal::JoinSilence) continue;
    for (const ReplicaId id : memberIds()) m_joinContacts.insert(id);
    for (const ReplicaId id : m_joinContacts) asio::co_spawn(m_strand, requestJoin(id), asio::detached);
  }
}

Awaitable<void> ReplicaDriver::requestJoin(ReplicaId at) {
  schema::JoinRequest request;
  request.set_id(replicaIdOf(m_context.settings.node().address()));
  request.set_disk_id(m_store.identity().disk_id());
  if (at == request.id()) co_return;
  Result<schema::JoinReply> reply =
      co_await clientOf(at)->call<schema::JoinReply>("join", request, BootClock::now() + internal::JoinLimit);
  if (reply) {
    for (const ReplicaId id : reply->members()) m_joinContacts.insert(id);
    co_return;
  }
  const Failure failure = extractFailure(reply);
  const std::optional<ReplicaId> leader = replicaNamedBy(failure);
  if (leader) m_joinContacts.insert(*leader);
}

Result<schema::JoinReply> ReplicaDriver::join(const schema::JoinRequest& request) {
  if (!m_replica->isLeader()) return fail(noLeader("join"));
  m_replica->addPeer(request.id(), BootClock::now());
  drive();
  schema::JoinReply reply;
  for (const ReplicaId id : memberIds()) reply.add_members(id);
  return reply;
}

/** Ends the process if its disk was retired from the members. A retired disk must not vote any more, so it is erased,
 * and the replica starts anew with an empty one. */
void ReplicaDriver::exitIfRetired() {
  if (!usesSeeds()) return;
  const auto& retired = m_appliedMembers.retired_disks();
  if (std::find(retired.begin(), retired.end(), m_store.identity().disk_id()) == retired.end()) return;
  logEvent(schema::DiskRetired, {{"disk", m_store.identity().disk_id()}});
  Result<void> erased = m_store.erase();
  if (!erased) logFailure(schema::StorageFailed, extractFailure(erased));
  flushLog();
  std::_Exit(ExitStorage);
}

std::shared_ptr<RpcClient> ReplicaDriver::clientOf(ReplicaId id) {
  const auto found = m_peers.find(id);
  if (found != m_peers.end()) return found->second;
  if (!usesSeeds()) return nullptr;
  auto client =
      std::make_shared<RpcClient>(m_context.io, replicaAddressOf(id), m_context.settings.cluster().seed_rpc_port());
  m_peers[id] = client;
  return client;
}

Awaitable<void> ReplicaDriver::tickLoop() {
  const Duration step = milliseconds(m_context.settings.cluster().heartbeat_ms()) / internal::TicksPerHeartbeat;
  while (true) {
    const Time now = BootClock::now();
    m_replica->tick(now);
    drive();
    reviewSpeed(now);
    const Time due = BootClock::now() + step;
    co_await sleepFor(step);
    internal::smooth_delay(m_tickDelay, BootClock::now() - due);
  }
}

void ReplicaDriver::recordPeerDelay(const schema::ReplicaMessage& message, Time now) {
  if (!m_leads || message.kind() != schema::AppendReply || message.delay_us() == 0) return;
  const auto& members = m_replica->members().members();
  const bool voter = std::any_of(members.begin(), members.end(), [&](const schema::Member& member) {
    return member.id() == message.from() && member.voter();
  });
  if (voter) m_speed.recordPeer(message.from(), Duration(static_cast<Duration::rep>(message.delay_us())), now);
}

/** Hands over to a faster voter if this leader has been much slower than its peers for some time. */
void ReplicaDriver::reviewSpeed(Time now) {
  if (!m_leads || !m_context.settings.control().yield_when_slow()) return;
  m_speed.recordOwn(ownDelay(), now);
  const auto delayMs = static_cast<std::uint64_t>(toMilliseconds(ownDelay()));
  m_context.metrics.set("leader_slow", m_speed.isSlow() ? 1.0 : 0.0);
  if (std::exchange(m_slow, m_speed.isSlow()) != m_slow && m_slow) {
    logEvent(schema::LeaderSlow, {{"term", m_replica->term()}, {"delayMs", delayMs}});
  }
  const std::optional<ReplicaId> successor = m_speed.chooseSuccessor(now, m_replica->changesMembers());
  if (!successor) return;
  logEvent(schema::LeadershipYielded,
           {{"term", m_replica->term()}, {"to", std::uint64_t{*successor}}, {"delayMs", delayMs}});
  m_context.metrics.count("leadership_yields", "all");
  m_replica->handOver(now, *successor);
  drive();
}

bool ReplicaDriver::receive(const schema::ReplicaMessage& message) {
  recordPeerDelay(message, BootClock::now());
  if (!m_replica->receive(message, BootClock::now())) {
    logEvent(schema::MessageRefused, {{"from", std::uint64_t{message.from()}},
                                      {"cluster", message.cluster_id()},
                                      {"kind", schema::MessageKind_Name(message.kind())}});
    return false;
  }
  drive();
  return true;
}

// ---- performing the replica's output

void ReplicaDriver::drive() {
  updateRole();
  send(m_replica->consumeMessages());
  if (m_storing) return;
  if (snapshotDue()) return takeSnapshot();
  ReplicaOutput output = m_replica->consumeOutput();
  if (output.empty()) return;
  if (output.needsSync()) return store(std::move(output));
  finish(output);
  drive();
}

void ReplicaDriver::setStoring(bool storing) {
  m_storing = storing;
  m_replica->setStoring(storing);
}

void ReplicaDriver::store(ReplicaOutput output) {
  setStoring(true);
  const Time before = BootClock::now();
  asio::post(m_disk, [this, before, output = std::move(output)]() mutable {
    Result<void> written = m_store.write(output);
    if (!written) exitOnStorageFailure(extractFailure(written));
    asio::post(m_strand, [this, before, output = std::move(output)] {
      internal::smooth_delay(m_syncDelay, BootClock::now() - before);
      setStoring(false);
      finish(output);
      drive();
    });
  });
}

void ReplicaDriver::exitOnStorageFailure(const Failure& failure) {
  // After a failed write or sync the content of the disk is unknown; it has to be read again at a restart.
  logFailure(schema::StorageFailed, failure);
  flushLog();
  std::cerr << "courseloom-control: " << failure.text() << "\n";
  std::_Exit(ExitStorage);
}

void ReplicaDriver::finish(const ReplicaOutput& output) {
  const StretchTimer timer(m_context, "apply");
  if (output.install) {
    const schema::SnapshotInfo& info = output.install->info();
    Result<void> loaded = m_state.load(output.install->state());
    if (!loaded) exitOnStorageFailure(extractFailure(loaded));
    m_applied = info.index();
    m_appliedTerm = info.term();
    m_appliedBytes = 0;
    m_appliedMembers = info.members();
    m_replica->synced(info.index(), info.term());
    logEvent(schema::SnapshotInstalled, {{"index", info.index()}});
  }
  if (!output.append.empty()) m_replica->synced(output.append.back().index(), output.append.back().term());
  send(output.messagesAfterSync);
  for (const schema::LogEntry& entry : output.committed) apply(entry);
  m_replica->applied(m_applied);
  if ((output.install || !output.committed.empty()) && m_onApplied) m_onApplied();
}

void ReplicaDriver::apply(const schema::LogEntry& entry) {
  if (entry.index() <= m_applied) return;
  m_applied = entry.index();
  m_appliedTerm = entry.term();
  m_appliedBytes += entry.payload().size();
  if (entry.has_members()) {
    m_appliedMembers = entry.members();
    logEvent(schema::MembersChanged, {{"index", entry.index()}, {"members", entry.members().ShortDebugString()}});
    exitIfRetired();
  }
  Result<schema::CommandReply> reply = schema::CommandReply();
  schema::Command command;
  if (!entry.payload().empty() && command.ParseFromString(entry.payload()))
    reply = m_state.apply(entry.index(), command);
  const auto waiter = m_waiters.find(entry.index());
  if (waiter == m_waiters.end()) return;
  if (waiter->second.term != entry.term()) {
    // Another leader's entry was committed at this index, so the submitted command can never be committed.
    Failure superseded = noLeader("commit");
    reply = fail(std::move(superseded));
  }
  waiter->second.done->set(std::move(reply));
  m_waiters.erase(waiter);
}

void ReplicaDriver::send(const std::vector<schema::ReplicaMessage>& messages) {
  for (const schema::ReplicaMessage& message : messages) sendOne(message);
}

void ReplicaDriver::sendOne(schema::ReplicaMessage message) {
  const std::shared_ptr<RpcClient> client = clientOf(message.to());
  if (!client) return;
  std::shared_ptr<std::atomic<unsigned>>& inFlight = m_sendsInFlight[message.to()];
  if (!inFlight) inFlight = std::make_shared<std::atomic<unsigned>>(0);
  if (inFlight->load() >= internal::MaxSendsInFlight) return;
  const bool reportsDelay = message.kind() == schema::AppendReply;
  if (reportsDelay) message.set_delay_us(static_cast<std::uint64_t>(std::max<Duration::rep>(ownDelay().count(), 1)));
  const Time deadline = BootClock::now() + 2 * milliseconds(m_context.settings.cluster().election_timeout_ms());
  // Replica resends lost messages. Failures show in the metrics and in the missing contact with the peer.
  asio::co_spawn(
      m_context.io,
      [this, client, inFlight, message = std::move(message), deadline]() -> Awaitable<void> {
        const ScopedCount<unsigned> counted(*inFlight);
        Result<schema::Empty> reply = co_await client->call<schema::Empty>("replicate", message, deadline);
        if (!reply) m_context.metrics.count("replica_send_failures", client->peer());
      },
      asio::detached);
}

void ReplicaDriver::updateRole() {
  if (m_replica->isLeader() == m_leads) return;
  m_leads = m_replica->isLeader();
  m_slow = false;
  if (m_leads) m_speed.lead(BootClock::now());
  logEvent(m_leads ? schema::BecameLeader : schema::LostLeadership, {{"term", m_replica->term()}});
  if (!m_leads) failWaiters();
  if (m_onRole) m_onRole(m_leads);
}

// ---- commands

Failure ReplicaDriver::noLeader(const std::string& step) const {
  const ReplicaId leader = m_replica->isLeader() ? 0 : m_replica->leader();
  return Failure{FailureCode::NoLeader,
                 Ran::No,
                 step,
                 leader == 0 ? "" : "replica " + std::to_string(leader),
                 leader == 0 ? "no leader is known" : "another replica leads",
                 m_context.settings.cluster().election_timeout_ms()};
}

void ReplicaDriver::failWaiters() {
  auto waiters = std::move(m_waiters);
  m_waiters.clear();
  for (auto& [index, waiter] : waiters) {
    Failure failure = noLeader("commit");
    failure.ran = Ran::Unknown;
    failure.detail = "leadership ended before the command was known to be committed";
    waiter.done->set(fail(std::move(failure)));
  }
}

Awaitable<Result<schema::CommandReply>> ReplicaDriver::submit(schema::Command command, Time deadline) {
  if (!m_replica->isLeader()) co_return fail(noLeader("propose"));
  const std::uint64_t reserve = internal::BytesPerMb * m_context.settings.control().reserve_mb();
  if (internal::is_new_work(command) && m_store.freeBytes() < reserve) {
    co_return fail(Failure{FailureCode::StorageFull, Ran::No, "propose", m_context.settings.node().data_folder(),
                           "less than the reserve is left on the disk", 0});
  }
  command.set_time_ms(wallClockMs());
  const std::optional<LogIndex> index = m_replica->propose(command.SerializeAsString());
  if (!index) co_return fail(noLeader("propose"));
  auto done = std::make_shared<OneShot<Result<schema::CommandReply>>>(m_strand);
  m_waiters[*index] = {m_replica->term(), done};
  drive();
  std::optional<Result<schema::CommandReply>> reply = co_await done->wait(deadline);
  if (reply) co_return std::move(*reply);
  co_return fail(Failure{FailureCode::NoLeader, Ran::Unknown, "commit", "", "no quorum answered in time", 0});
}

Awaitable<void> ReplicaDriver::handOver(Duration limit) {
  const Time end = BootClock::now() + limit;
  m_replica->handOver(BootClock::now());
  drive();
  while (m_replica->isLeader() && BootClock::now() < end) co_await sleepFor(milliseconds(5));
}

// ---- snapshots

bool ReplicaDriver::snapshotDue() const {
  const LogIndex covered = m_replica->log().snapshot().info().index();
  const bool manyEntries = m_applied >= covered + m_context.settings.control().snapshot_entries();
  return manyEntries || m_appliedBytes >= internal::SnapshotLogBytes;
}

/** Begins to write a snapshot. Nothing is applied until it is stored, so that the state does not change. */
void ReplicaDriver::takeSnapshot() {
  schema::Snapshot snapshot;
  snapshot.mutable_info()->set_index(m_applied);
  snapshot.mutable_info()->set_term(m_appliedTerm);
  *snapshot.mutable_info()->mutable_members() = m_appliedMembers;
  std::vector<schema::LogEntry> keep =
      m_replica->log().slice(m_applied + 1, m_replica->log().lastIndex(), std::numeric_limits<std::size_t>::max());
  m_appliedBytes = 0;
  setStoring(true);
  asio::co_spawn(m_strand, writeSnapshot(std::move(snapshot), m_replica->hardState(), std::move(keep)), asio::detached);
}

/** Serializes the state, which yields the strand, and stores the snapshot with what the log keeps after it. */
Awaitable<void> ReplicaDriver::writeSnapshot(schema::Snapshot snapshot, schema::HardState hard,
                                             std::vector<schema::LogEntry> keep) {
  StrandSlice slice(m_context, m_strand, "snapshot", milliseconds(m_context.settings.control().plan_share_ms()));
  StateWriter writer(m_state);
  while (!writer.advance([&slice] { return slice.isOver(); })) co_await slice.yield();
  snapshot.set_state(writer.finish());
  const auto written = std::make_shared<schema::Snapshot>(std::move(snapshot));
  asio::post(m_disk, [this, written, hard = std::move(hard), keep = std::move(keep)] {
    Result<void> stored = m_store.compact(*written, hard, keep);
    if (!stored) exitOnStorageFailure(extractFailure(stored));
    asio::post(m_strand, [this, written] {
      setStoring(false);
      logEvent(schema::SnapshotTaken, {{"index", written->info().index()}, {"bytes", written->state().size()}});
      m_replica->compact(std::move(*written));
      drive();
    });
  });
}

}  // namespace courseloom
