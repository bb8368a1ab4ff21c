// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of FairShare and ShareReview: which workspaces are served after others, and what is logged about it.

#include "Courseloom/src/Scheduling/FairShare.h"

#include "test/main.h"

using namespace courseloom;

namespace {

constexpr double WindowS = 40.0;
const std::string Service = "s";

/** \class Competition
 * \brief Workspaces that compete for one service of 100 accelerators, 1000 cores and 1000 GB.
 */
class Competition {
 public:
  /** \param share share of all accelerators that the workspace has used \param waiting whether it waits for more */
  WorkspaceDemand& add(const std::string& workspace, double share, bool waiting = true) {
    WorkspaceDemand& demand = m_demands[Service][workspace];
    demand.past.acceleratorSeconds = share * 100.0 * WindowS;
    demand.waiting = waiting;
    return demand;
  }
  FairShare shares(FairShareOptions options = {}) const {
    return FairShare({{Service, {1000000, 1000000, 100}}}, m_demands, WindowS, options);
  }
  unsigned bandOf(const std::string& workspace, FairShareOptions options = {}) const {
    return shares(options).bandOf(workspace, Service);
  }

 private:
  WorkspaceDemands m_demands;
};

}  // namespace

// Guards against shares that are not relative to an equal share by weight.
Test(fair_share, equal_use_is_exactly_the_share) {
  Competition competition;
  for (const char* name : {"a", "b", "c", "d"}) competition.add(name, 0.25);
  for (const char* name : {"a", "b", "c", "d"}) {
    cr_assert(std::abs(competition.shares().relativeShare(name, Service) - 1.0) < 1e-9);
    cr_assert_eq(competition.bandOf(name), 0);
  }
}

// Guards against one workspace of many that takes nearly all capacity.
Test(fair_share, a_workspace_far_above_its_share_is_in_a_higher_band) {
  Competition competition;
  competition.add("large", 0.8);
  for (int i = 0; i < 9; ++i) competition.add("w" + std::to_string(i), 0.02);
  cr_assert_eq(competition.bandOf("large"), FairShare::MaxBand);
  cr_assert_eq(competition.bandOf("w0"), 0);
}

// Without the burst allowance, a workspace that submits rarely would be served last as soon as it begins.
Test(fair_share, a_workspace_within_its_burst_stays_in_band_0) {
  Competition competition;
  competition.add("a", 0.28);
  for (const char* name : {"b", "c", "d"}) competition.add(name, 0.24);
  cr_assert_eq(competition.bandOf("a"), 0);
  FairShareOptions tight;
  tight.burst = 1.0;
  cr_assert_eq(competition.bandOf("a", tight), 1);
}

// After an idle time, the first runs are the only recorded use, and their workspace must not be served last for them.
Test(fair_share, the_first_runs_after_an_idle_time_change_no_band) {
  Competition competition;
  competition.add("first", 0.01);
  for (int i = 0; i < 9; ++i) competition.add("w" + std::to_string(i), 0.0);
  cr_assert_eq(competition.bandOf("first"), 0);
}

// Bands must not change the order of steps if all of them belong to one workspace.
Test(fair_share, a_workspace_that_waits_alone_is_in_band_0) {
  Competition competition;
  competition.add("large", 1.0);
  for (int i = 0; i < 9; ++i) competition.add("w" + std::to_string(i), 0.01, false);
  cr_assert_eq(competition.bandOf("large"), 0);
  competition.add("w0", 0.01, true);
  cr_assert_gt(competition.bandOf("large"), 0);
}

// The use of one service must not place a workspace behind others at another service.
Test(fair_share, services_are_independent) {
  WorkspaceDemands demands;
  demands["s"]["large"].past.acceleratorSeconds = 100.0 * WindowS;
  demands["s"]["large"].waiting = true;
  demands["other"]["small"].waiting = true;
  demands["other"]["large"].waiting = true;
  const FairShare shares({{"s", {0, 0, 100}}, {"other", {0, 0, 100}}}, demands, WindowS);
  cr_assert_eq(shares.bandOf("large", "s"), 0, "nobody else waits at s");
  cr_assert_eq(shares.bandOf("large", "other"), 0, "it has used nothing there");
}

// A workspace of weight 3 is entitled to three times the use.
Test(fair_share, weights_multiply_the_share) {
  Competition competition;
  competition.add("heavy", 0.6).weight = 3.0;
  competition.add("a", 0.2);
  competition.add("b", 0.2);
  const FairShare shares = competition.shares();
  cr_assert(std::abs(shares.relativeShare("heavy", Service) - shares.relativeShare("a", Service)) < 1e-9);
  cr_assert_eq(competition.bandOf("heavy"), 0);
}

// Otherwise a workspace could take all memory while it uses no accelerator.
Test(fair_share, the_dominant_resource_counts) {
  Competition competition;
  competition.add("memory", 0.0).past.memoryMbSeconds = 0.9 * 1000000.0 * WindowS;
  competition.add("processors", 0.0).past.cpuSeconds = 0.1 * 1000.0 * WindowS;
  for (int i = 0; i < 4; ++i) competition.add("w" + std::to_string(i), 0.02);
  cr_assert_gt(competition.bandOf("memory"), 0);
  cr_assert_eq(competition.bandOf("processors"), 0);
}

// Otherwise long runs would be charged only at their end.
Test(fair_share, active_runs_count_as_use) {
  Competition competition;
  competition.add("large", 0.0).active.acceleratorSeconds = 0.9 * 100.0 * WindowS;
  competition.add("small", 0.0);
  competition.add("other", 0.0);
  cr_assert_gt(competition.bandOf("large"), 0);
}

// Guards against shares so small that a large workspace is not told apart from many small ones.
Test(fair_share, one_large_workspace_is_served_after_200_small_ones) {
  Competition competition;
  competition.add("large", 0.5);
  for (int i = 0; i < 200; ++i) competition.add("w" + std::to_string(i), 0.5 / 200);
  cr_assert_eq(competition.bandOf("large"), FairShare::MaxBand);
  for (int i = 0; i < 200; ++i) cr_assert_eq(competition.bandOf("w" + std::to_string(i)), 0);
}

// After an outage the use has decayed: nobody may be served last because of what it used before.
Test(fair_share, when_all_return_after_an_outage_nobody_is_behind) {
  Competition competition;
  competition.add("large", 0.8 / 64);
  for (int i = 0; i < 9; ++i) competition.add("w" + std::to_string(i), 0.02 / 64);
  cr_assert_eq(competition.bandOf("large"), 0);
}

// With no data or no capacity the order stays as with the switch off.
Test(fair_share, without_use_or_capacity_all_bands_are_0) {
  cr_assert_eq(FairShare().bandOf("a", Service), 0);
  WorkspaceDemands demands;
  for (const char* name : {"a", "b"}) demands[Service][name].waiting = true;
  cr_assert_eq(FairShare({{Service, {1000, 1000, 8}}}, demands, WindowS).bandOf("a", Service), 0);
  demands[Service]["a"].past.acceleratorSeconds = 1e9;
  cr_assert_eq(FairShare({}, demands, WindowS).bandOf("a", Service), 0);
  cr_assert_eq(FairShare({{Service, {}}}, demands, WindowS).bandOf("a", Service), 0);
}

// Each doubling of the share beyond the burst raises the band by one. Without a highest band, ageing could not bound
// the wait of a step.
Test(fair_share, bands_are_coarse_and_bounded) {
  FairShareOptions options;
  options.burst = 1.0;
  Competition competition;
  competition.add("a", 1.0);
  for (int i = 0; i < 99; ++i) competition.add("w" + std::to_string(i), 0.0);
  cr_assert_eq(competition.bandOf("a", options), FairShare::MaxBand);
  options.burst = 60.0;
  cr_assert_eq(competition.bandOf("a", options), 1);
  options.burst = 30.0;
  cr_assert_eq(competition.bandOf("a", options), 2);
  options.burst = 200.0;
  cr_assert_eq(competition.bandOf("a", options), 0);
}

// Who else waits changes in each pass; a line for each of these changes would fill the log.
Test(fair_share, a_workspace_is_logged_once_until_it_is_within_its_share) {
  ShareReview review;
  Competition competition;
  competition.add("large", 0.8);
  competition.add("a", 0.1);
  competition.add("b", 0.1);
  const std::vector<ShareReview::Change> first = review.update(competition.shares());
  cr_assert_eq(first.size(), 1);
  cr_assert(first[0].over && first[0].workspace == "large" && first[0].service == Service);
  for (int pass = 0; pass < 100; ++pass) {
    competition.add("a", 0.1, pass % 2 == 0);
    competition.add("b", 0.1, pass % 2 == 0);
    cr_assert(review.update(competition.shares()).empty());
  }
  competition.add("a", 0.1, true);
  competition.add("large", 0.1);
  const std::vector<ShareReview::Change> last = review.update(competition.shares());
  cr_assert_eq(last.size(), 1);
  cr_assert(!last[0].over && last[0].workspace == "large");
}

// With two workspaces, the share of one halves whenever the other neither waits nor runs. The
// workspace must not be logged as over and within its share again and again.
Test(fair_share, a_workspace_that_is_alone_for_a_moment_is_not_logged_as_within_its_share) {
  ShareReview review;
  Competition competition;
  competition.add("large", 0.5);
  competition.add("small", 0.0);
  cr_assert_eq(review.update(competition.shares()).size(), 1);
  competition.add("small", 0.0, false);
  cr_assert(competition.shares().relativeShare("large", Service) <= 1.0);
  cr_assert(review.update(competition.shares()).empty());
  competition.add("small", 0.5);
  cr_assert_eq(review.update(competition.shares()).size(), 1);
}

// A workspace that is removed while it is over its share must not stay in the table.
Test(fair_share, a_workspace_that_is_gone_is_no_longer_over_its_share) {
  ShareReview review;
  Competition competition;
  competition.add("large", 0.8);
  competition.add("a", 0.1);
  cr_assert_eq(review.update(competition.shares()).size(), 1);
  const std::vector<ShareReview::Change> changes = review.update(FairShare());
  cr_assert_eq(changes.size(), 1);
  cr_assert_not(changes[0].over);
  cr_assert(review.update(FairShare()).empty());
}
