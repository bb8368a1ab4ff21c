// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Membership/ControlClient.h"

namespace courseloom {

/** \class QueueGateway
 * \brief Forwards an entry's queue calls to the control leader.
 *
 * Only the leader knows the configuration in force. A call that certainly did not run is given up early enough that the
 * caller can retry it within its own deadline.
 */
class QueueGateway {
 public:
  explicit QueueGateway(ControlClient& control) : m_control(control) {}
  /** Makes one call.
   * \param allowed time that the caller waits for the answer
   * \returns the answer, or a failure whose `ran` says whether the call took effect
   */
  Awaitable<Result<schema::QueueAnswer>> call(schema::QueueCall call, Duration allowed);

 private:
  ControlClient& m_control;
};

}  // namespace courseloom
