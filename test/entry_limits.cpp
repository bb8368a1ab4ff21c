// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of the limits of an entry by the resources of its instance. Entries of one deployment may have instances of
// different sizes, so one constant would either overload the small ones or leave the large ones unused.

#include <deque>
#include <random>

#include "Courseloom/src/Entry/EntryLimits.h"
#include "test/main.h"

using namespace courseloom;

namespace {

schema::EntrySettings settingsOf(double cores, std::uint32_t memoryMb, std::uint32_t descriptors, double linkMbps) {
  schema::EntrySettings settings;
  settings.set_max_connections(4096);
  settings.set_max_in_flight(2048);
  settings.set_instance_limits(true);
  settings.set_processor_share(cores);
  settings.set_memory_mb(memoryMb);
  settings.set_max_descriptors(descriptors);
  settings.set_link_mbps(linkMbps);
  return settings;
}

/** Calls in flight at an entry with a fixed time for each call. */
struct BurstReplay {
  EntryLimits limits;
  std::size_t longest = 0;              ///< most calls in flight
  std::size_t served[3] = {0, 0, 0};    ///< by CallUrgency
  std::size_t rejected[3] = {0, 0, 0};  ///< by CallUrgency

  /** Replays calls of random kinds. \param everyMs time between calls, ms \param serviceMs time of each call, ms */
  void run(std::size_t calls, double everyMs, double serviceMs, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::deque<double> ends;
    for (std::size_t i = 0; i < calls; ++i) {
      const double now = static_cast<double>(i) * everyMs;
      while (!ends.empty() && ends.front() <= now) ends.pop_front();
      const auto urgency = static_cast<CallUrgency>(random() % 3);
      const bool admitted = admitsCall(limits, urgency, ends.size(), 0);
      ++(admitted ? served : rejected)[static_cast<std::size_t>(urgency)];
      if (admitted) ends.push_back(now + serviceMs);
      longest = std::max(longest, ends.size());
    }
  }
};

}  // namespace

// Guards against a change of the limits with the setting off.
Test(entry_limits, without_the_switch_the_settings_hold) {
  schema::EntrySettings settings = settingsOf(0.01, 16, 300, 0.1);
  settings.set_instance_limits(false);
  const EntryLimits limits = deriveEntryLimits(settings, 300);
  cr_assert_eq(limits.connections, 4096);
  cr_assert_eq(limits.inFlight, 2048);
}

// Guards against limits that do not depend on a resource, or exceed it.
Test(entry_limits, a_larger_instance_admits_more) {
  const EntryLimits small = deriveEntryLimits(settingsOf(0.09, 120, 3075, 1.5), 0);
  const EntryLimits large = deriveEntryLimits(settingsOf(0.3, 400, 10250, 5.0), 0);
  cr_assert_lt(small.connections, large.connections);
  cr_assert_lt(small.inFlight, large.inFlight);
  cr_assert_lt(small.bodyBytes, large.bodyBytes);
  cr_assert_leq(small.connections, 3075, "more connections than descriptors");
  cr_assert_leq(large.connections, 4096, "the setting is an upper bound");
}

// An unknown resource must not close the entry, and neither must a very small one.
Test(entry_limits, an_unknown_resource_does_not_limit_and_a_small_one_leaves_a_minimum) {
  const EntryLimits unknown = deriveEntryLimits(settingsOf(0.0, 0, 0, 0.0), 0);
  cr_assert_eq(unknown.connections, 4096);
  cr_assert_eq(unknown.inFlight, 2048);
  const EntryLimits tiny = deriveEntryLimits(settingsOf(0.001, 1, 10, 0.001), 0);
  cr_assert_gt(tiny.connections, 0);
  cr_assert_gt(tiny.inFlight, 0);
  cr_assert_gt(tiny.bodyBytes, 0);
}

// Guards against more connections than the process may open descriptors.
Test(entry_limits, the_limit_of_the_process_counts_if_the_settings_name_none) {
  cr_assert_leq(deriveEntryLimits(settingsOf(1.0, 0, 0, 0.0), 1024).connections, 1024);
}

// In a burst of four times what the entry serves, cancellations, which free capacity, must not wait behind queries.
Test(entry_limits, a_burst_rejects_queries_before_submissions_and_cancellations_last) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    BurstReplay replay;
    replay.limits = {4096, 100, 1U << 20U};
    replay.run(20000, 0.25, 100.0, seed);
    cr_assert_leq(replay.longest, 100, "seed %lu", seed);
    const auto share = [&](CallUrgency urgency) {
      const auto i = static_cast<std::size_t>(urgency);
      return static_cast<double>(replay.served[i]) / static_cast<double>(replay.served[i] + replay.rejected[i]);
    };
    cr_assert_leq(share(CallUrgency::Query), share(CallUrgency::Submission), "seed %lu", seed);
    cr_assert_leq(share(CallUrgency::Submission), share(CallUrgency::Cancellation), "seed %lu", seed);
    cr_assert_gt(share(CallUrgency::Cancellation), 0.5, "seed %lu", seed);
  }
}

// Guards against a few calls with large bodies that take all memory.
Test(entry_limits, large_bodies_are_limited_by_their_bytes) {
  const EntryLimits limits{4096, 1000, 1000};
  cr_assert(admitsCall(limits, CallUrgency::Submission, 1, 900));
  cr_assert_not(admitsCall(limits, CallUrgency::Submission, 1, 1100));
}
