// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Core/Clock.h"

#include <ctime>

namespace courseloom {

BootClock::time_point BootClock::now() noexcept {
  timespec spec{};
  clock_gettime(CLOCK_BOOTTIME, &spec);
  return time_point(
      std::chrono::duration_cast<duration>(std::chrono::seconds(spec.tv_sec) + std::chrono::nanoseconds(spec.tv_nsec)));
}

std::uint64_t wallClockMs() {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

}  // namespace courseloom
