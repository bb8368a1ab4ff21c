// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Transport/Http2Connection.h"
#include "generated/workflow.pb.h"

namespace courseloom {

/** \class ConfigurationGateway
 * \brief Operations of a control replica that an operator's protocol may use.
 */
class ConfigurationGateway {
 public:
  virtual ~ConfigurationGateway() = default;
  /** Commits a complete configuration that was checked before. \returns NoLeader where this replica cannot do so */
  virtual Awaitable<Result<void>> put(schema::QueueConfiguration configuration) = 0;
  /** \returns the source text of the newest configuration; NoLeader where this replica cannot tell that it is the
   * newest one */
  virtual Awaitable<Result<std::string>> read() = 0;
  /** Drains a data hall or ends its drain, durably. A repeated call changes nothing. \param drained whether to drain it
   * \returns NoLeader where this replica cannot do so, BadRequest for an invalid name of a data hall */
  virtual Awaitable<Result<void>> drainHall(std::string hall, bool drained) = 0;
  /** \returns the leader's IP address, or an empty string if the leader is unknown or is this replica. */
  virtual std::string leaderAddress() = 0;
};

}  // namespace courseloom
