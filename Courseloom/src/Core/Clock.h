// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <chrono>
#include <cstdint>

namespace courseloom {

/** \class BootClock
 * \brief Monotonic clock that also advances while the machine is suspended, so that a lease expires during a
 * suspension.
 */
struct BootClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;
  static time_point now() noexcept;
};

using Duration = BootClock::duration;  ///< in microseconds
using Time = BootClock::time_point;    ///< on the boot clock

/** \returns a duration of whole milliseconds. */
inline constexpr Duration milliseconds(std::int64_t count) { return std::chrono::milliseconds(count); }
/** \returns a duration in milliseconds, with fractions. */
inline double toMilliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

/** \returns the wall-clock time in ms since 1970. For records that people read, never for leases. */
std::uint64_t wallClockMs();

}  // namespace courseloom
