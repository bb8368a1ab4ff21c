// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "Courseloom/src/Core/Clock.h"
#include "generated/rpc.pb.h"

namespace courseloom {

/** \class NodeTable
 * \brief The leader's soft state: which entries and agents are live, and the numbered list of targets made from it.
 *
 * Nothing here must survive: a new leader learns it again from the nodes' next heartbeats, so for one lease after it
 * took over it knows less. The platform's list of instances lags and is only a hint that a target is leaving.
 */
class NodeTable {
 public:
  explicit NodeTable(Duration lease) : m_lease(lease) {}

  /** Takes a heartbeat in, unless a later one of the node has come before it: that one's silence ends its place. */
  void heard(const schema::NodeStatus& node, Time now);
  /** Forgets nodes that have been silent for longer than the lease. */
  void expire(Time now);
  /** Takes the platform's list of leaving instances. */
  void setLeavingInstances(std::set<std::string> names);
  /** Takes the data halls that are drained; targets there are leaving until they are given back. */
  void setDrainedHalls(std::set<std::string> halls);
  void clear();

  /** \returns a number that grows whenever the list of targets changes otherwise than in load. */
  std::uint64_t version() const { return m_version; }
  /** \returns the agents, leaving ones marked. */
  std::vector<schema::NodeStatus> targets() const;
  /** \returns all live nodes with the time since they were heard. */
  std::vector<schema::NodeStatus> nodes(Time now) const;
  /** \returns whether a node's target gets nothing new: the platform says that it leaves, or its hall is drained. */
  bool isLeaving(const schema::NodeStatus& node) const;

 private:
  struct Entry {
    schema::NodeStatus status;
    Time heard{};
  };

  Duration m_lease;
  std::map<std::string, Entry> m_nodes;
  std::set<std::string> m_leavingInstances;
  std::set<std::string> m_drainedHalls;
  std::uint64_t m_version = 1;
};

}  // namespace courseloom
