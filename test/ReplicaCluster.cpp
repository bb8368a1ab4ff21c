// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/ReplicaCluster.h"

#include <algorithm>
#include <sstream>

namespace courseloom::test {

namespace {

const char* const ClusterId = "test";
constexpr Duration Heartbeat = milliseconds(50);
constexpr Duration ElectionTimeout = milliseconds(300);
constexpr LogIndex CompactEvery = 40;
constexpr std::size_t NewDiskNumber = 1000;

std::string join(const std::vector<std::string>& payloads) {
  std::string text;
  for (const std::string& payload : payloads) text += payload + "\n";
  return text;
}

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> payloads;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) payloads.push_back(line);
  return payloads;
}

}  // namespace

ReplicaCluster::ReplicaCluster(std::size_t count, std::uint64_t seed, ClusterFaults faults,
                               ReplicaMechanisms mechanisms, ClusterMembership membership)
    : m_nodes(count), m_random(seed), m_faults(faults), m_mechanisms(mechanisms), m_membership(membership) {
  const std::size_t founders = count - membership.standbys;
  std::vector<ReplicaId> ids;
  for (std::size_t i = 0; i < founders; ++i) ids.push_back(static_cast<ReplicaId>(i + 1));
  for (std::size_t i = 0; i < count; ++i) {
    m_nodes[i].disk.id = foundingDiskId(ClusterId, static_cast<ReplicaId>(i + 1));
    if (i < founders) m_nodes[i].disk.state.snapshot = foundingSnapshot(ClusterId, ids);
    boot(i);
  }
}

void ReplicaCluster::boot(std::size_t index) {
  Node& node = m_nodes[index];
  ReplicaOptions options;
  options.clusterId = ClusterId;
  options.id = static_cast<ReplicaId>(index + 1);
  options.diskId = node.disk.id;
  for (std::size_t i = 0; i < m_nodes.size(); ++i) options.peers.push_back(static_cast<ReplicaId>(i + 1));
  options.heartbeat = Heartbeat;
  options.electionTimeout = ElectionTimeout;
  options.seed = m_random();
  options.mechanisms = m_mechanisms;
  options.replaceAfter = m_membership.replaceAfter;
  options.wantedVoters = m_membership.wantedVoters;
  ++node.incarnation;
  node.syncing = false;
  node.frozen = false;
  node.waiting.clear();
  node.applied = split(node.disk.state.snapshot.state());
  node.replica = std::make_unique<Replica>(options, node.disk.state, m_now);
  pump(index);
}

void ReplicaCluster::handOver(std::size_t from, std::size_t to) {
  m_nodes[from].replica->handOver(m_now, static_cast<ReplicaId>(to + 1));
  pump(from);
}

void ReplicaCluster::crash(std::size_t index) {
  m_nodes[index].replica.reset();
  ++m_nodes[index].incarnation;
}

void ReplicaCluster::restart(std::size_t index) { boot(index); }

void ReplicaCluster::wipe(std::size_t index) {
  crash(index);
  ++m_wipes;
  m_nodes[index].disk = Disk{"disk-" + std::to_string(NewDiskNumber + m_wipes), {}};
}

void ReplicaCluster::fail(const std::string& what) {
  if (m_violation.empty()) m_violation = what;
}

// ---- execution of the replicas' output

void ReplicaCluster::send(std::size_t from, const std::vector<schema::ReplicaMessage>& messages) {
  for (const schema::ReplicaMessage& message : messages) {
    const std::size_t to = message.to() - 1;
    if (to >= m_nodes.size() || m_nodes[from].cut || m_nodes[to].cut) continue;
    if (!m_healed && chance() < m_faults.loss) continue;
    const int copies = !m_healed && chance() < m_faults.duplicate ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const std::int64_t most = !m_healed && chance() < 0.05 ? 400 : 5;
      m_events.push(
          {m_now + delay(most), m_order++, to, 0, std::make_shared<schema::ReplicaMessage>(message), nullptr});
    }
  }
}

void ReplicaCluster::pump(std::size_t index) {
  Node& node = m_nodes[index];
  if (!node.replica) return;
  send(index, node.replica->consumeMessages());
  if (node.syncing) return;
  maybeCompact(index);
  ReplicaOutput output = node.replica->consumeOutput();
  if (output.empty()) return;
  send(index, output.messages);
  output.messages.clear();
  if (!output.needsSync()) {
    finishSync(index, output);
    return pump(index);
  }
  node.syncing = true;
  node.replica->setStoring(true);
  m_events.push({m_now + (node.syncTime == Duration(0) ? delay(10) : node.syncTime), m_order++, index, node.incarnation,
                 nullptr, std::make_shared<ReplicaOutput>(std::move(output))});
}

void ReplicaCluster::store(Disk& disk, const ReplicaOutput& output) const {
  ReplicaState& state = disk.state;
  if (output.hard) state.hard = *output.hard;
  if (output.install) {
    state.snapshot = *output.install;
    state.entries.clear();
  }
  const LogIndex base = state.snapshot.info().index();
  for (const schema::LogEntry& entry : output.append) {
    if (entry.index() <= base) continue;
    state.entries.resize(entry.index() - base - 1);
    state.entries.push_back(entry);
  }
}

void ReplicaCluster::finishSync(std::size_t index, const ReplicaOutput& output) {
  Node& node = m_nodes[index];
  if (output.install) {
    node.applied = split(output.install->state());
    node.replica->synced(output.install->info().index(), output.install->info().term());
  }
  if (!output.append.empty()) node.replica->synced(output.append.back().index(), output.append.back().term());
  send(index, output.messagesAfterSync);
  for (const schema::LogEntry& entry : output.committed) apply(index, entry);
  node.replica->applied(node.applied.size());
}

void ReplicaCluster::apply(std::size_t index, const schema::LogEntry& entry) {
  Node& node = m_nodes[index];
  if (entry.index() <= node.applied.size()) return;
  if (entry.index() != node.applied.size() + 1) return fail("a gap in what is applied");
  const std::string payload = entry.payload().empty() ? "-" : entry.payload();
  node.applied.push_back(payload);
  const auto [known, fresh] = m_committed.emplace(entry.index(), payload);
  if (!fresh && known->second != payload) {
    fail("replicas disagree at index " + std::to_string(entry.index()) + ": " + known->second + " and " + payload);
  }
  const auto waiter = node.waiting.find(entry.index());
  if (waiter == node.waiting.end()) return;
  if (waiter->second.first == entry.term()) {
    m_acknowledged.insert(waiter->second.second);
    m_acknowledgedAt[waiter->second.second] = entry.index();
    m_highestAcknowledged = std::max(m_highestAcknowledged, entry.index());
  }
  node.waiting.erase(waiter);
}

void ReplicaCluster::maybeCompact(std::size_t index) {
  Node& node = m_nodes[index];
  const LogIndex covered = node.replica->log().snapshot().info().index();
  const LogIndex applied = node.applied.size();
  if (applied < covered + CompactEvery || applied > node.replica->commitIndex()) return;
  schema::Snapshot snapshot;
  snapshot.mutable_info()->set_index(applied);
  snapshot.mutable_info()->set_term(node.replica->log().termAt(applied));
  schema::Members members = node.replica->log().snapshot().info().members();
  for (LogIndex i = covered + 1; i <= applied; ++i) {
    if (node.replica->log().at(i).has_members()) members = node.replica->log().at(i).members();
  }
  *snapshot.mutable_info()->mutable_members() = members;
  snapshot.set_state(join(node.applied));
  node.disk.state.entries = node.replica->log().slice(applied + 1, node.replica->lastIndex(), ~std::size_t{0});
  node.disk.state.hard = node.replica->hardState();
  node.disk.state.snapshot = snapshot;
  node.replica->compact(snapshot);
}

void ReplicaCluster::handle(const Event& event) {
  Node& node = m_nodes[event.node];
  if (event.output) {
    if (event.incarnation != node.incarnation) return;  // the node crashed before the sync completed
    store(node.disk, *event.output);
    node.syncing = false;
    node.replica->setStoring(false);
    finishSync(event.node, *event.output);
  } else {
    if (!node.replica || node.cut) return;
    if (node.frozen && m_now >= node.thawAt) node.frozen = false;
    if (node.frozen) return m_events.push({node.thawAt + delay(5), m_order++, event.node, 0, event.message, nullptr});
    node.replica->receive(*event.message, m_now);
  }
  pump(event.node);
}

// ---- clients

void ReplicaCluster::proposeAt(std::size_t index) {
  Node& node = m_nodes[index];
  if (!node.replica || node.frozen) return;
  const std::string payload = "c" + std::to_string(m_nextCommand);
  const std::optional<LogIndex> at = node.replica->propose(payload);
  if (!at) return;
  ++m_nextCommand;
  node.waiting[*at] = {node.replica->term(), payload};
  pump(index);
}

/** Checks that a read at a node would return every command that was acknowledged before it. */
void ReplicaCluster::readAt(std::size_t index) {
  const Node& node = m_nodes[index];
  if (!node.replica || node.frozen || !node.replica->canRead(m_now)) return;
  if (node.applied.size() < m_highestAcknowledged) fail("a read misses an acknowledged command");
}

bool ReplicaCluster::propose() {
  const int at = leader();
  if (at < 0) return false;
  proposeAt(static_cast<std::size_t>(at));
  return true;
}

int ReplicaCluster::leader() const {
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    if (m_nodes[i].replica && !m_nodes[i].frozen && m_nodes[i].replica->canRead(m_now)) return static_cast<int>(i);
  }
  return -1;
}

// ---- time and faults

void ReplicaCluster::advance(Duration duration) {
  const Time end = m_now + duration;
  while (m_now < end && m_violation.empty()) {
    const Time next = std::min(end, m_now + Heartbeat / 2);
    while (!m_events.empty() && m_events.top().at <= next) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = std::max(m_now, event.at);
      handle(event);
    }
    m_now = next;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      Node& node = m_nodes[i];
      if (node.frozen && m_now >= node.thawAt) node.frozen = false;
      if (!node.replica || node.frozen) continue;
      node.replica->tick(m_now);
      pump(i);
    }
  }
}

/** A disk may be lost only if there is a leader, the node is not the leader, the wanted number of replicas vote, and
 * every member still has its disk. */
bool ReplicaCluster::mayWipe(std::size_t index) const {
  const int at = leader();
  if (at < 0) return false;
  const Replica& lead = *m_nodes[static_cast<std::size_t>(at)].replica;
  std::size_t voters = 0;
  bool wipedVotes = false;
  for (const schema::Member& member : lead.members().members()) {
    voters += member.voter() ? 1 : 0;
    if (member.disk_id() != m_nodes[member.id() - 1].disk.id) wipedVotes = true;
  }
  const std::size_t wanted = m_membership.wantedVoters > 0 ? m_membership.wantedVoters : m_nodes.size();
  return voters == wanted && !wipedVotes && index != static_cast<std::size_t>(at);
}

void ReplicaCluster::injectFault() {
  const std::size_t index = anyNode();
  Node& node = m_nodes[index];
  const double kind = chance();
  if (kind < 0.25 && m_faults.crashes) {
    crash(index);
  } else if (kind < 0.4 && m_faults.freezes) {
    node.frozen = true;
    node.thawAt = m_now + ElectionTimeout * 4;
  } else if (kind < 0.6 && m_faults.partitions) {
    node.cut = true;
  } else if (kind < 0.7 && m_faults.wipes && mayWipe(index)) {
    wipe(index);
  } else if (kind < 0.8 && m_faults.handOvers && node.replica && !node.frozen) {
    node.replica->handOver(m_now);
    pump(index);
  }
}

void ReplicaCluster::run(std::size_t steps) {
  for (std::size_t step = 0; step < steps && m_violation.empty(); ++step) {
    advance(Duration(std::uniform_int_distribution<std::int64_t>(1000, 20000)(m_random)));
    const double kind = chance();
    if (kind < 0.5) proposeAt(anyNode());
    if (kind < 0.6) readAt(anyNode());
    if (kind > 0.97) injectFault();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
      if (!m_nodes[i].replica && chance() < 0.03) restart(i);
      if (m_nodes[i].cut && chance() < 0.02) m_nodes[i].cut = false;
    }
  }
}

void ReplicaCluster::healAndCheck() {
  if (!m_violation.empty()) return;
  m_healed = true;
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    m_nodes[i].cut = false;
    if (!m_nodes[i].replica) restart(i);
  }
  advance(ElectionTimeout * 40);
  if (!m_violation.empty()) return;
  const int at = leader();
  if (at < 0) return fail("no leader after all faults had ended");
  proposeAt(static_cast<std::size_t>(at));
  advance(ElectionTimeout * 10);
  const std::vector<std::string>& log = m_nodes[static_cast<std::size_t>(at)].applied;
  for (const auto& [payload, index] : m_acknowledgedAt) {
    if (index > log.size() || log[index - 1] != payload) return fail("acknowledged command " + payload + " is lost");
  }
  std::set<std::string> seen;
  for (const std::string& payload : log) {
    if (payload != "-" && !seen.insert(payload).second) return fail("command " + payload + " was applied twice");
  }
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    if (m_nodes[i].applied != log) return fail("replica " + std::to_string(i + 1) + " has not caught up");
  }
}

std::size_t ReplicaCluster::missingOnDisk(std::size_t index) const {
  const ReplicaState& state = m_nodes[index].disk.state;
  const std::vector<std::string> covered = split(state.snapshot.state());
  std::set<std::string> held(covered.begin(), covered.end());
  for (const schema::LogEntry& entry : state.entries) held.insert(entry.payload());
  return static_cast<std::size_t>(std::count_if(m_acknowledged.begin(), m_acknowledged.end(),
                                                [&held](const auto& payload) { return held.count(payload) == 0; }));
}

}  // namespace courseloom::test
