// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

#include "Courseloom/src/Core/Clock.h"

namespace courseloom {

/** \class AcknowledgementTimes
 * \brief Recent times from the sending of a submission to the leader's acknowledgement.
 *
 * Only the attempt that was acknowledged counts, not the search for a leader before it. Otherwise the long searches of
 * one outage would shorten the time for which a leader is sought in the next one.
 *
 * Entries use a quantile of these times to answer a caller early while no leader is known: once less time is left than
 * an acknowledgement takes, further waiting only reduces the caller's time for another attempt. Safe for concurrent
 * use.
 */
class AcknowledgementTimes {
 public:
  /** Records one acknowledged submission. */
  void record(Duration took);
  /** \returns a quantile of the newest times, or `initial` while there are fewer than eight. \param quantile 0 to 1 */
  Duration quantile(double quantile, Duration initial) const;

 private:
  static constexpr std::size_t Kept = 64;
  static constexpr std::uint32_t LongestMs = 3600000;
  std::array<std::atomic<std::uint32_t>, Kept> m_newestMs{};
  std::atomic<std::uint64_t> m_count{0};
};

}  // namespace courseloom
