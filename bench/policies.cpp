// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Compares variants of the scheduling policy on the same seeded loads: worth, late workflows and wasted work.
//
//   bench_policies [--variant NAME]... [--pattern TEXT] [--seeds N] [--first N]

#include <CLI/CLI.hpp>
#include <cmath>
#include <cstdio>

#include "test/LoadReplay.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

/** Mean of added values and the standard error of the mean. */
struct Mean {
  double sum = 0.0;
  double squares = 0.0;
  unsigned count = 0;
  void add(double value) {
    sum += value;
    squares += value * value;
    ++count;
  }
  double mean() const { return count == 0 ? 0.0 : sum / count; }
  double error() const {
    if (count < 2) return 0.0;
    return std::sqrt(std::max(0.0, squares / count - mean() * mean()) / (count - 1));
  }
};

std::vector<ReplayVariant> allVariants() {
  std::vector<ReplayVariant> variants;
  const auto add = [&variants](const char* name) -> RunPlannerOptions& {
    return variants.emplace_back(ReplayVariant{name, {}}).planner;
  };
  add("present");
  add("speeds-unknown").speeds = false;
  variants.back().speeds = SpeedsKnown::Nothing;
  add("speeds-from-ends");
  variants.back().speeds = SpeedsKnown::FromEnds;
  add("speeds-all-known");
  variants.back().speeds = SpeedsKnown::All;
  add("speeds-not-used").speeds = false;
  add("no-slow-first").slowTargetDiscount = 0.0;
  add("slow-below-mean").slowByUrgentLateness = false;
  add("stops-in-time").stopMs = 500.0;
  add("no-ageing").ageAfterEstimates = 0.0;
  add("no-prospects").prospects = false;
  add("no-reservations").reservations = 0;
  add("no-patience").patience = false;
  add("no-nominations").nominations = false;
  add("no-yields").yields = false;
  add("no-headroom").headroom = false;
  add("headroom-waits-8s").headroomWaitMs = 8000.0;
  add("headroom-waits-16s").headroomWaitMs = 16000.0;
  add("loss-ratio-0.4").lossRatio = 0.4;
  add("urgent-patience-0.5").urgentPatienceShare = 0.5;
  add("ends-soon-1s").endsSoonMs = 1000.0;
  add("ends-soon-0.2s").endsSoonMs = 200.0;
  add("reserves-at-once").reserveAfterMs = 0.0;
  add("reservations-16").reservations = 16;
  add("backfill-margin-1").backfillMargin = 1.0;
  add("spreads-after-1").spreadAfterEstimates = 1.0;
  add("gang-loss-ratio-0.3").gangLossRatio = 0.3;
  add("loss-ratio-1.5").lossRatio = 1.5;
  add("fill-limit").fillLimit = true;
  add("fill-limit-ages").fillLimit = true;
  variants.back().checkpointAges = true;
  add("checkpoint-ages");
  variants.back().checkpointAges = true;
  add("fill-hold-0").fillLimit = true;
  variants.back().planner.fillHoldMs = 0.0;
  add("fill-decay-60s").fillLimit = true;
  variants.back().planner.fillDecayMs = 60000.0;
  add("fill-share-0.3").fillLimit = true;
  variants.back().planner.fillShare = 0.3;
  add("fill-fixed-0.2").fillLimit = true;
  variants.back().planner.fillFixedShare = 0.2;
  add("fill-fixed-0.4").fillLimit = true;
  variants.back().planner.fillFixedShare = 0.4;
  add("quantile-dates").quantileDates = true;
  add("fill-and-quantile").fillLimit = true;
  variants.back().planner.quantileDates = true;
  add("fill-and-median").fillLimit = true;
  variants.back().planner.quantileDates = true;
  variants.back().dateQuantile = 0.5;
  return variants;
}

/** Results of one variant on one pattern over all seeds. */
struct Row {
  Mean worth;
  Mean gain;  ///< worth minus that of the first variant on the same seed
  std::array<Mean, ReplayClasses> classes;
  Mean late;
  Mean wastedWork;
  Mean stops;
  Mean youngStops;
  Mean stoppedShare;  ///< share of the runs that were stopped
  Mean wastedShare;   ///< share of the run time that was lost
  Mean neverEnded;    ///< workflows of single tasks that did not end
  std::vector<double> gangWaitsMs;
  std::vector<double> largeGangWaitsMs;
  std::vector<double> bulkGangWaitsMs;
};

/** Adds the result of one seed to a row. \param baseWorth worth of the first variant on the same seed */
void addResult(Row& row, const ReplayResult& result, double baseWorth) {
  row.worth.add(result.worth());
  row.gain.add(result.worth() - baseWorth);
  for (std::size_t i = 0; i < ReplayClasses; ++i) {
    const ReplayResult::Class& workClass = result.classes[i];
    if (workClass.attainable > 0.0) row.classes[i].add(workClass.earned / workClass.attainable);
  }
  row.late.add(result.classes[0].late + result.classes[0].unfinished);
  row.wastedWork.add(result.wastedWork);
  row.stops.add(result.stops);
  row.youngStops.add(result.youngStops);
  if (result.starts > 0) row.stoppedShare.add(static_cast<double>(result.stops) / result.starts);
  if (result.runMs > 0.0) row.wastedShare.add(result.wastedRunMs / result.runMs);
  row.neverEnded.add(result.classes[2].neverEnded);
  const std::vector<double>& waits = result.classes[1].waitsMs;
  row.gangWaitsMs.insert(row.gangWaitsMs.end(), waits.begin(), waits.end());
  row.bulkGangWaitsMs.insert(row.bulkGangWaitsMs.end(), result.bulkGangWaitsMs.begin(), result.bulkGangWaitsMs.end());
  row.largeGangWaitsMs.insert(row.largeGangWaitsMs.end(), result.largeGangWaitsMs.begin(),
                              result.largeGangWaitsMs.end());
}

void print(const std::string& variant, const Row& row) {
  std::printf(
      "  %-18s worth %.3f +- %.3f  gain %+.3f +- %.3f  urgent %.3f gangs %.3f pieces %.3f  urgent late %.1f  "
      "wasted work %.0f  stops %.0f\n",
      variant.c_str(), row.worth.mean(), row.worth.error(), row.gain.mean(), row.gain.error(), row.classes[0].mean(),
      row.classes[1].mean(), row.classes[2].mean(), row.late.mean(), row.wastedWork.mean(), row.stops.mean());
  Mean bulkWaits;
  for (const double waitMs : row.bulkGangWaitsMs) bulkWaits.add(waitMs);
  std::printf(
      "  %-18s waits of gangs p50 %.2f p90 %.2f s, of large ones p90 %.2f s, after a bulk mean %.2f p90 %.2f s  "
      "stopped %.1f%% (young %.1f)  "
      "wasted "
      "%.1f%%  single tasks not ended %.2f\n",
      "", quantileOf(row.gangWaitsMs, 0.5) / 1000.0, quantileOf(row.gangWaitsMs, 0.9) / 1000.0,
      quantileOf(row.largeGangWaitsMs, 0.9) / 1000.0, bulkWaits.mean() / 1000.0,
      quantileOf(row.bulkGangWaitsMs, 0.9) / 1000.0, 100.0 * row.stoppedShare.mean(), row.youngStops.mean(),
      100.0 * row.wastedShare.mean(), row.neverEnded.mean());
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> names;
  std::string patternText;
  std::uint64_t seeds = 20;
  std::uint64_t first = 1;
  CLI::App app("compares variants of the scheduling policy on seeded loads");
  app.add_option("--variant", names, "variants to run; all if none is named");
  app.add_option("--pattern", patternText, "only patterns whose names contain this text");
  app.add_option("--seeds", seeds, "number of seeds for each pattern")->check(CLI::Range(1, 10000));
  app.add_option("--first", first, "first seed");
  CLI11_PARSE(app, argc, argv);
  std::vector<ReplayVariant> variants = allVariants();
  const auto isNamed = [&names](const ReplayVariant& variant) {
    return names.empty() || std::find(names.begin(), names.end(), variant.name) != names.end();
  };
  std::erase_if(variants, [&](const ReplayVariant& variant) { return !isNamed(variant); });
  if (variants.empty()) {
    std::fprintf(stderr, "no variant has one of the given names\n");
    return 2;
  }
  std::vector<Row> total(variants.size());
  const std::size_t patterns = replayPatterns(first).size();
  for (std::size_t p = 0; p < patterns; ++p) {
    const std::string name = replayPatterns(first)[p].name;
    if (name.find(patternText) == std::string::npos) continue;
    std::vector<Row> rows(variants.size());
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
      const ReplayPattern pattern = replayPatterns(seed)[p];
      double baseWorth = 0.0;
      for (std::size_t v = 0; v < variants.size(); ++v) {
        const ReplayResult result = LoadReplay(pattern, variants[v], seed).simulate();
        if (v == 0) baseWorth = result.worth();
        addResult(rows[v], result, baseWorth);
        addResult(total[v], result, baseWorth);
      }
    }
    std::printf("%s\n", name.c_str());
    for (std::size_t v = 0; v < variants.size(); ++v) print(variants[v].name, rows[v]);
    std::fflush(stdout);
  }
  std::printf("all patterns\n");
  for (std::size_t v = 0; v < variants.size(); ++v) print(variants[v].name, total[v]);
  return 0;
}
