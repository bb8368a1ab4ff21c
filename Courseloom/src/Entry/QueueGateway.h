// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>

#include "Courseloom/src/Entry/AcknowledgementTimes.h"
#include "Courseloom/src/Entry/EntryLimits.h"
#include "Courseloom/src/Membership/ControlClient.h"

namespace courseloom {

/** \class QueueGateway
 * \brief Forwards an entry's queue calls to the control leader.
 *
 * Only the leader knows the configuration in force. A call that certainly did not run is given up early enough that the
 * caller can retry it within its own deadline. With early answers, a submission for which no leader was found is given
 * up as soon as the caller's remaining time is shorter than most recent acknowledgements took. At the limits of the
 * entry, a call is rejected before it is sent.
 */
class QueueGateway {
 public:
  /** \param earlyAnswers whether to answer early; it also makes queue calls probe silent connections
   * \param limits limits of the entry; without them every call is sent */
  explicit QueueGateway(ControlClient& control, bool earlyAnswers = false,
                        std::optional<EntryLimits> limits = std::nullopt);
  /** Makes one call.
   * \param allowed time that the caller waits for the answer
   * \returns the answer, QueueBusy if the entry is at its limits and did not send the call, or a failure whose `ran`
   * says whether the call took effect
   */
  Awaitable<Result<schema::QueueAnswer>> call(schema::QueueCall call, Duration allowed);
  AcknowledgementTimes& acknowledgements() { return m_acknowledgements; }

  /** \returns the number of calls that were rejected at the limits of the entry. */
  std::uint64_t rejected() const { return m_rejected.load(); }

 private:
  Awaitable<Result<schema::QueueAnswer>> forward(schema::QueueCall call, Duration allowed);
  Duration shortenedBudget(Duration allowed, Duration budget) const;

  ControlClient& m_control;
  std::optional<EntryLimits> m_limits;
  std::atomic<std::size_t> m_inFlight{0};
  std::atomic<std::uint64_t> m_bodyBytes{0};  ///< of the calls in flight
  std::atomic<std::uint64_t> m_rejected{0};
  bool m_earlyAnswers;
  AcknowledgementTimes m_acknowledgements;
};

}  // namespace courseloom
