// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Entry/AcknowledgementTimes.h"
#include "Courseloom/src/Membership/ControlClient.h"

namespace courseloom {

/** \class QueueGateway
 * \brief Forwards an entry's queue calls to the control leader.
 *
 * Only the leader knows the configuration in force. A call that certainly did not run is given up early enough that the
 * caller can retry it within its own deadline. With early answers, a submission for which no leader was found is given
 * up as soon as the caller's remaining time is shorter than most acknowledgements took lately.
 */
class QueueGateway {
 public:
  /** \param earlyAnswers whether to answer early; it also makes queue calls probe silent connections */
  explicit QueueGateway(ControlClient& control, bool earlyAnswers = false);
  /** Makes one call.
   * \param allowed time that the caller waits for the answer
   * \returns the answer, or a failure whose `ran` says whether the call took effect
   */
  Awaitable<Result<schema::QueueAnswer>> call(schema::QueueCall call, Duration allowed);
  AcknowledgementTimes& acknowledgements() { return m_acknowledgements; }

 private:
  Duration shortenedBudget(Duration allowed, Duration budget) const;

  ControlClient& m_control;
  bool m_earlyAnswers;
  AcknowledgementTimes m_acknowledgements;
};

}  // namespace courseloom
