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
 * \brief The leader's soft state of live entries and agents, and the versioned list of targets derived from it.
 *
 * Nothing here is stored: a new leader rebuilds the table from the next heartbeats of the nodes, so the table may be
 * incomplete for one lease after a change of leader. The platform's list of instances lags behind and serves only as a
 * hint that a target is leaving.
 */
class NodeTable {
 public:
  /** \param lease time without heartbeats after which a node is removed */
  explicit NodeTable(Duration lease) : m_lease(lease) {}

  /** Records a heartbeat, unless a later heartbeat of the same agent has already arrived. Such a stale heartbeat does
   * not renew the lease of the node. */
  void recordHeartbeat(const schema::NodeStatus& node, Time now);
  /** Removes the nodes whose last heartbeat is as old as the lease or older. */
  void expire(Time now);
  /** Sets the names of the instances that leave according to the platform. */
  void setLeavingInstances(std::set<std::string> names);
  /** Sets the drained data halls. Targets in these data halls count as leaving until the data hall is returned. */
  void setDrainedHalls(std::set<std::string> halls);
  /** Removes all nodes. */
  void clear();

  /** \returns the version of the list of targets. It grows with each change of the list, except changes of load. */
  std::uint64_t version() const { return m_version; }
  /** \returns the status of all live agents, with `leaving` set where isLeaving(). */
  std::vector<schema::NodeStatus> targets() const;
  /** \returns the status of all live nodes, with the time since the last heartbeat in `silent_ms` (milliseconds) and
   * `leaving` set where isLeaving(). */
  std::vector<schema::NodeStatus> nodes(Time now) const;
  /** \returns whether the target of a node must get no new work, because the platform lists the instance as leaving or
   * the data hall of the agent is drained. The `leaving` field of the heartbeat itself is not considered. */
  bool isLeaving(const schema::NodeStatus& node) const;

 private:
  struct Entry {
    schema::NodeStatus status;
    Time lastContact{};
  };

  Duration m_lease;
  std::map<std::string, Entry> m_nodes;
  std::set<std::string> m_leavingInstances;
  std::set<std::string> m_drainedHalls;
  std::uint64_t m_version = 1;
};

}  // namespace courseloom
