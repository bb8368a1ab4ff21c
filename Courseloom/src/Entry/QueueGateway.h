// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>

#include "Courseloom/src/Entry/EntryLimits.h"
#include "Courseloom/src/Membership/ControlClient.h"

namespace courseloom {

/** \class QueueGateway
 * \brief Forwards an entry's queue calls to the control leader.
 *
 * Only the leader knows the configuration in force. A call that certainly did not run is given up early enough that the
 * caller can retry it within its own deadline. At the limits of the entry, a call is rejected before it is sent.
 */
class QueueGateway {
 public:
  /** \param limits limits of the entry; without them every call is sent */
  explicit QueueGateway(ControlClient& control, std::optional<EntryLimits> limits = std::nullopt)
      : m_control(control), m_limits(limits) {}
  /** Makes one call.
   * \param allowed time that the caller waits for the answer
   * \returns the answer, QueueBusy if the entry is at its limits and did not send the call, or a failure whose `ran`
   * says whether the call took effect
   */
  Awaitable<Result<schema::QueueAnswer>> call(schema::QueueCall call, Duration allowed);

  /** \returns the number of calls that were rejected at the limits of the entry. */
  std::uint64_t rejected() const { return m_rejected.load(); }

 private:
  Awaitable<Result<schema::QueueAnswer>> forward(schema::QueueCall call, Duration allowed);

  ControlClient& m_control;
  std::optional<EntryLimits> m_limits;
  std::atomic<std::size_t> m_inFlight{0};
  std::atomic<std::uint64_t> m_bodyBytes{0};  ///< of the calls in flight
  std::atomic<std::uint64_t> m_rejected{0};
};

}  // namespace courseloom
