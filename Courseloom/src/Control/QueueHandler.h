// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <random>
#include <string>

#include "Courseloom/src/Control/AdmissionReview.h"
#include "Courseloom/src/Control/ReplicaDriver.h"
#include "Courseloom/src/Control/WorkLimit.h"

namespace courseloom {

/** \class QueueHandler
 * \brief Serves queue calls and configuration requests on the leader, under the configuration in force at the time of
 * the call.
 *
 * Runs on the control strand. It does not plan: it commits accepted changes, and WorkflowRunner acts on them once they
 * are applied.
 */
class QueueHandler {
 public:
  /** \param admission supplies what the admission of new workflows depends on \param workBytes memory for accepted
   * workflows */
  QueueHandler(const DaemonContext& context, ReplicaDriver& driver, AdmissionSource& admission,
               std::uint64_t workBytes);

  /** Starts or stops acting as leader. The places of rejected callers (see ReturnTable) are lost. */
  void lead(bool leads);

  /** Handles a caller's submission, cancellation or query. \returns NoLeader where this replica cannot serve it */
  Awaitable<Result<schema::QueueAnswer>> call(schema::QueueCall call);
  /** Commits a configuration. One whose version is not above the current version succeeds without effect. */
  Awaitable<Result<void>> putConfiguration(schema::QueueConfiguration configuration);
  /** \returns the configuration in force, never an outdated one; NoLeader where this replica cannot ensure that */
  Awaitable<Result<schema::QueueConfiguration>> readConfiguration();
  /** Drains a data hall, or ends its drain. \param drained whether to drain it \returns once the change is committed;
   * NoLeader where this replica cannot serve it, BadRequest for an invalid name of a data hall */
  Awaitable<Result<void>> drainHall(std::string hall, bool drained);

 private:
  bool leads() const { return m_driver.canRead(); }
  const WorkflowTable& table() const { return m_driver.state().workflows(); }
  const schema::Queue* findQueue(const schema::QueueCall& call, std::string& id) const;
  Result<std::string> tenantOf(const schema::Queue& queue, const schema::QueueCall& call) const;
  Awaitable<Result<schema::QueueAnswer>> submit(const schema::QueueCall& call, const schema::Queue& queue,
                                                std::string tenant, std::string id);
  Awaitable<Result<schema::QueueAnswer>> cancel(const std::string& tenant, std::string id);
  bool rejects(const schema::Workflow& workflow, schema::QueueAnswer& answer);
  bool exceedsMemory(const schema::Workflow& workflow, std::uint64_t bytes, schema::QueueAnswer& answer) const;
  schema::QueueAnswer stateOf(const std::string& tenant, const std::string& id) const;
  std::uint32_t pendingOf(const schema::Queue& queue) const;

  DaemonContext m_context;
  ReplicaDriver& m_driver;
  AdmissionSource& m_admission;
  AdmissionReview m_review;
  WorkLimit m_work;
  std::mt19937 m_random;  ///< spreads the times at which rejected callers return
};

}  // namespace courseloom
