// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <chrono>
#include <cstdint>

namespace courseloom {

/** \class BootClock
 * \brief Monotonic clock that also runs while the machine is suspended, so that a lease cannot outlive a suspension.
 */
struct BootClock {
  using duration = std::chrono::microseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock, duration>;
  static constexpr bool is_steady = true;
  static time_point now() noexcept;
};

using Duration = BootClock::duration;
using Time = BootClock::time_point;

inline constexpr Duration milliseconds(std::int64_t count) { return std::chrono::milliseconds(count); }
inline double toMilliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

/** \returns wall-clock milliseconds since 1970, for records that people read; never used for leases. */
std::uint64_t wallClockMs();

}  // namespace courseloom
