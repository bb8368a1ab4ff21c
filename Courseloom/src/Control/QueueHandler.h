// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <string>

#include "Courseloom/src/Control/ReplicaDriver.h"

namespace courseloom {

/** \class QueueHandler
 * \brief Serves callers of queues and the configuration on the leader, against the configuration in force at that
 * moment.
 *
 * Runs on the control strand. Nothing here plans: what is taken in is committed, and the WorkflowRunner learns of it
 * there.
 */
class QueueHandler {
 public:
  QueueHandler(const DaemonContext& context, ReplicaDriver& driver) : m_context(context), m_driver(driver) {}

  Awaitable<Result<schema::QueueAnswer>> call(schema::QueueCall call);
  /** The highest version holds; one that is not above it is taken without effect. */
  Awaitable<Result<void>> putConfiguration(schema::QueueConfiguration configuration);
  /** \returns the configuration in force, surely the newest one; NoLeader where this replica cannot be sure */
  Awaitable<Result<schema::QueueConfiguration>> readConfiguration();
  /** Drains a data hall or gives it back. \returns once a quorum holds that */
  Awaitable<Result<void>> drainHall(std::string hall, bool drained);

 private:
  bool leads() const { return m_driver.canRead(); }
  const WorkflowTable& table() const { return m_driver.state().workflows(); }
  const schema::Queue* findQueue(const schema::QueueCall& call, std::string& id) const;
  Result<std::string> tenantOf(const schema::Queue& queue, const schema::QueueCall& call) const;
  Awaitable<Result<schema::QueueAnswer>> submit(const schema::QueueCall& call, const schema::Queue& queue,
                                                std::string tenant, std::string id);
  Awaitable<Result<schema::QueueAnswer>> cancel(const std::string& tenant, std::string id);
  schema::QueueAnswer stateOf(const std::string& tenant, const std::string& id) const;
  std::uint32_t pendingOf(const std::string& queue) const;

  DaemonContext m_context;
  ReplicaDriver& m_driver;
};

}  // namespace courseloom
