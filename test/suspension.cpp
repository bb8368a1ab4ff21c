// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Suspension of the machine: the boot-time and wall clocks jump forward, timers and the steady clock do not.

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <ctime>

#include "Courseloom/src/Agent/ProgressWatch.h"
#include "test/AgentFixture.h"
#include "test/main.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

std::atomic<std::int64_t> suspendedMs{0};

/** Simulates a suspension of the machine. */
void suspend(std::int64_t ms) { suspendedMs += ms; }

}  // namespace

/** Overrides the function of the C library. Adds suspendedMs, in whole seconds, to the clocks that advance during a
 * suspension. */
extern "C" int clock_gettime(clockid_t id, timespec* time) noexcept {
  const long result = ::syscall(SYS_clock_gettime, id, time);
  const bool advances = id == CLOCK_BOOTTIME || id == CLOCK_REALTIME;
  if (result == 0 && advances) time->tv_sec += suspendedMs / 1000;
  return static_cast<int>(result);
}

namespace {

constexpr std::int64_t SuspensionMs = 8000;

/** Sends one order. The machine is suspended before the answer with the order is sent (heldBack), or before the agent
 * reads it. */
class SuspendedLeader : public FakeLeader {
 public:
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request) override {
    schema::AttendReply answer = leaseReply(LongLeaseMs);
    if (!orderOnce(request, answer)) {
      co_await sleepFor(milliseconds(20));
      co_return answer;
    }
    // The agent counts the lease from the time at which it sent the request. The lease has expired then, unless the
    // leader states for how long it held the request back.
    if (heldBack) answer.set_held_ms(SuspensionMs);
    suspend(SuspensionMs);
    co_return answer;
  }
  bool heldBack = false;
};

}  // namespace

Test(suspension, the_boot_clock_jumps_and_the_steady_clock_does_not) {
  const Time before = BootClock::now();
  const auto steadyBefore = std::chrono::steady_clock::now();
  suspend(SuspensionMs);
  cr_assert(BootClock::now() - before >= milliseconds(SuspensionMs));
  cr_assert(std::chrono::steady_clock::now() - steadyBefore < milliseconds(SuspensionMs));
}

// By the end of the suspension the leader has counted the run as lapsed.
Test(suspension, an_order_from_before_a_suspension_starts_nothing_after_it) {
  SuspendedLeader leader;
  AgentFixture fixture(leader);
  fixture.target.refusesStarts = false;
  fixture.run(milliseconds(1000));
  cr_assert_eq(fixture.target.starts, 0);
}

// A target that was suspended with its agent would hold the run for the time of the suspension after the lease expired.
Test(suspension, a_hold_is_not_extended_by_the_time_of_a_suspension) {
  SuspendedLeader leader;
  leader.heldBack = true;
  AgentFixture fixture(leader);
  fixture.target.refusesStarts = false;
  fixture.run(milliseconds(1000));
  cr_assert_eq(fixture.target.starts, 1);
  cr_assert(fixture.target.lastDeadlineMs <= TargetClockMs + LongLeaseMs, "the run was held for %lu ms",
            fixture.target.lastDeadlineMs - TargetClockMs);
}

Test(suspension, the_time_of_a_suspension_does_not_count_as_time_without_progress) {
  ProgressWatch watch;
  std::vector<schema::RunReport> running(1);
  running[0].set_percent(40);
  const Time now = BootClock::now();
  watch.note(running, now);
  cr_assert_not(watch.note(running, now + milliseconds(200)));
  watch.note(running, now + milliseconds(SuspensionMs));
  cr_assert(running[0].still_ms() <= 1200, "%u ms", running[0].still_ms());
}
