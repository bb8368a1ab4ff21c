// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Membership/NodeTable.h"

namespace courseloom {

namespace internal {
namespace {

bool same_target(const schema::NodeStatus& lhs, const schema::NodeStatus& rhs) {
  return lhs.incarnation() == rhs.incarnation() && lhs.address() == rhs.address() && lhs.rpc_port() == rhs.rpc_port() &&
         lhs.leaving() == rhs.leaving() && lhs.service() == rhs.service() && lhs.target() == rhs.target();
}

/** \returns whether a heartbeat was sent before the one that is recorded. The incarnation numbers of an agent rise, and
 * so do the sequence numbers of the heartbeats within an incarnation. Heartbeats without a sequence number (0) and
 * those of nodes other than agents are never stale. */
bool is_stale(const schema::NodeStatus& node, const schema::NodeStatus& known) {
  if (node.role() != schema::AgentRole || node.sequence() == 0) return false;
  if (node.incarnation() != known.incarnation()) return node.incarnation() < known.incarnation();
  return node.sequence() < known.sequence();
}

}  // namespace
}  // namespace internal

void NodeTable::recordHeartbeat(const schema::NodeStatus& node, Time now) {
  const auto found = m_nodes.find(node.name());
  if (found != m_nodes.end() && internal::is_stale(node, found->second.status)) return;
  const bool isAgent = node.role() == schema::AgentRole;
  const bool changed = found == m_nodes.end() || !internal::same_target(found->second.status, node);
  if (isAgent && changed) ++m_version;
  m_nodes[node.name()] = {node, now};
}

void NodeTable::expire(Time now) {
  for (auto node = m_nodes.begin(); node != m_nodes.end();) {
    if (now < node->second.lastContact + m_lease) {
      ++node;
      continue;
    }
    if (node->second.status.role() == schema::AgentRole) ++m_version;
    node = m_nodes.erase(node);
  }
}

void NodeTable::setLeavingInstances(std::set<std::string> names) {
  if (names == m_leavingInstances) return;
  m_leavingInstances = std::move(names);
  ++m_version;
}

void NodeTable::setDrainedHalls(std::set<std::string> halls) {
  if (halls == m_drainedHalls) return;
  m_drainedHalls = std::move(halls);
  ++m_version;
}

bool NodeTable::isLeaving(const schema::NodeStatus& node) const {
  const bool isListed = m_leavingInstances.count(node.target()) > 0 || m_leavingInstances.count(node.name()) > 0;
  return isListed || (node.role() == schema::AgentRole && m_drainedHalls.count(node.data_hall()) > 0);
}

void NodeTable::clear() {
  m_nodes.clear();
  ++m_version;
}

std::vector<schema::NodeStatus> NodeTable::targets() const {
  std::vector<schema::NodeStatus> list;
  for (const auto& [name, entry] : m_nodes) {
    if (entry.status.role() != schema::AgentRole) continue;
    list.push_back(entry.status);
    if (isLeaving(entry.status)) list.back().set_leaving(true);
  }
  return list;
}

std::vector<schema::NodeStatus> NodeTable::nodes(Time now) const {
  std::vector<schema::NodeStatus> list;
  for (const auto& [name, entry] : m_nodes) {
    list.push_back(entry.status);
    list.back().set_silent_ms(static_cast<std::uint32_t>(toMilliseconds(now - entry.lastContact)));
    if (isLeaving(entry.status)) list.back().set_leaving(true);
  }
  return list;
}

}  // namespace courseloom
