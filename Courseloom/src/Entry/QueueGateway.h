// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Membership/ControlClient.h"

namespace courseloom {

/** \class QueueGateway
 * \brief An entry's way to the queues: hands each call to the control leader, which alone knows the configuration in
 * force, and gives it up early enough that the caller can still come back.
 */
class QueueGateway {
 public:
  explicit QueueGateway(ControlClient& control) : m_control(control) {}
  /** \param allowed time that the caller gives. \returns the answer, or a failure whose `ran` is true to fact */
  Awaitable<Result<schema::QueueAnswer>> call(schema::QueueCall call, Duration allowed);

 private:
  ControlClient& m_control;
};

}  // namespace courseloom
