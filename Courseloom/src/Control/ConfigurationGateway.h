// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Transport/Http2Connection.h"
#include "generated/workflow.pb.h"

namespace courseloom {

/** \class ConfigurationGateway
 * \brief What an operator's protocol may ask of a control replica.
 */
class ConfigurationGateway {
 public:
  virtual ~ConfigurationGateway() = default;
  /** Takes a whole, checked configuration. \returns NoLeader where this replica cannot */
  virtual Awaitable<Result<void>> put(schema::QueueConfiguration configuration) = 0;
  /** \returns the newest configuration as it was sent; NoLeader where this replica cannot be sure */
  virtual Awaitable<Result<std::string>> read() = 0;
  /** Drains a data hall or gives it back, durably; the same again changes nothing. \returns NoLeader where this replica
   * cannot, BadRequest for what cannot name a data hall */
  virtual Awaitable<Result<void>> drainHall(std::string hall, bool drained) = 0;
  /** \returns IP number of the leader, or an empty string if it is not known or is this replica. */
  virtual std::string leaderAddress() = 0;
};

}  // namespace courseloom
