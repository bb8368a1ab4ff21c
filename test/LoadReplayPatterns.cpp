// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include <algorithm>

#include "test/LoadReplay.h"

namespace courseloom::test {

namespace {

/** Arrivals of one kind at random times. \param perSecond mean rate */
void addArrivals(ReplayPattern& pattern, std::mt19937_64& random, ReplayClass kind, double fromMs, double untilMs,
                 double perSecond) {
  std::exponential_distribution<double> gap(perSecond / 1000.0);
  for (double at = fromMs + gap(random); at < untilMs; at += gap(random)) pattern.arrivals.push_back({at, kind});
}

/** The usual mix on 40 targets, which keeps about three fifths of them busy. */
ReplayPattern usual(const std::string& name, std::mt19937_64& random, double load = 1.0) {
  ReplayPattern pattern;
  pattern.name = name;
  addArrivals(pattern, random, ReplayClass::Urgent, 0, 34000, 1.3 * load);
  addArrivals(pattern, random, ReplayClass::Gangs, 0, 34000, 0.3 * load);
  addArrivals(pattern, random, ReplayClass::Pieces, 0, 34000, 0.12 * load);
  return pattern;
}

void sortArrivals(ReplayPattern& pattern) {
  std::stable_sort(pattern.arrivals.begin(), pattern.arrivals.end(),
                   [](const ReplayArrival& a, const ReplayArrival& b) { return a.atMs < b.atMs; });
}

}  // namespace

std::vector<ReplayPattern> replayPatterns(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<ReplayPattern> patterns;
  patterns.push_back(usual("equal targets", random));

  patterns.push_back(usual("speeds 0.8 1 1.25", random));
  patterns.back().timeFactors = {0.8, 1.0, 1.25};

  patterns.push_back(usual("speeds 0.7 0.7 1.7", random));
  patterns.back().timeFactors = {0.7, 0.7, 1.7};

  patterns.push_back(usual("urgent burst", random));
  patterns.back().timeFactors = {0.8, 1.0, 1.25};
  addArrivals(patterns.back(), random, ReplayClass::Urgent, 8000, 14000, 4.0);

  patterns.push_back(usual("burst of wide steps", random));
  patterns.back().timeFactors = {0.8, 1.0, 1.25};
  addArrivals(patterns.back(), random, ReplayClass::Pieces, 5000, 9000, 2.0);

  patterns.push_back(usual("targets turn slow", random));
  patterns.back().slow = {{8000, 20000, 0.15}};

  patterns.push_back(usual("withdrawals", random));
  patterns.back().timeFactors = {0.8, 1.0, 1.25};
  patterns.back().withdrawals = {{6000, 6000, 0.1}, {12000, 12000, 0.1}, {18000, 18000, 0.1}};

  patterns.push_back(usual("dark", random));
  patterns.back().timeFactors = {0.8, 1.0, 1.25};
  const double darkMs = 2000.0 + static_cast<double>(random() % 15000);
  patterns.back().dark = {{8000, 8000 + darkMs, 1.0}};

  patterns.push_back(usual("callers return", random));
  patterns.back().timeFactors = {0.8, 1.0, 1.25};
  for (int i = 0; i < 12; ++i) patterns.back().arrivals.push_back({10000, ReplayClass::Urgent});
  for (int i = 0; i < 4; ++i) patterns.back().arrivals.push_back({10000, ReplayClass::Gangs});

  patterns.push_back(usual("estimates off by half", random));
  patterns.back().timeFactors = {0.8, 1.0, 1.25};
  patterns.back().estimateSpread = 0.8;

  for (ReplayPattern& pattern : patterns) sortArrivals(pattern);
  return patterns;
}

std::vector<ReplayPattern> crashPatterns(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<ReplayPattern> patterns;
  patterns.push_back(usual("tasks crash targets", random));
  patterns.back().crashingShare = 0.06;

  patterns.push_back(usual("tasks crash few targets", random, 0.3));
  patterns.back().targets = 11;
  patterns.back().perRack = 3;
  patterns.back().crashingShare = 0.15;

  patterns.push_back(usual("tasks crash targets late", random));
  patterns.back().crashingShare = 0.06;
  patterns.back().crashAfterMs = 1200.0;

  patterns.push_back(usual("targets crash in waves", random));
  for (double at = 2000; at < 29000; at += 3000) patterns.back().crashes.push_back({at, at + 2000, 0.4});

  patterns.push_back(usual("targets crash often", random));
  for (double at = 1000; at < 30000; at += 700) patterns.back().crashes.push_back({at, at + 1500, 0.1});

  patterns.push_back(usual("both", random));
  patterns.back().crashingShare = 0.06;
  for (double at = 2000; at < 29000; at += 3000) patterns.back().crashes.push_back({at, at + 2000, 0.4});

  for (ReplayPattern& pattern : patterns) {
    pattern.timeFactors = {0.8, 1.0, 1.25};
    sortArrivals(pattern);
  }
  return patterns;
}

std::vector<ReplayPattern> wavePatterns(std::uint64_t seed, std::size_t targets) {
  std::mt19937_64 random(seed);
  std::vector<ReplayPattern> patterns;
  for (const unsigned percent : {2, 5, 10, 20}) {
    const std::string name = "waves of " + std::to_string(percent) + "% of " + std::to_string(targets) + " targets";
    patterns.push_back(usual(name, random, static_cast<double>(targets) / 40.0));
    patterns.back().targets = targets;
    patterns.back().timeFactors = {0.8, 1.0, 1.25};
    for (double at = 2000; at < 29000; at += 3000) patterns.back().crashes.push_back({at, at + 2000, percent / 100.0});
    sortArrivals(patterns.back());
  }
  return patterns;
}

}  // namespace courseloom::test
