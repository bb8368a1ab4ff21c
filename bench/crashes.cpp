// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Compares rules for giving up a task under which targets have crashed. All rules run on the same seeded loads, with
// tasks that crash targets and with targets that crash for other reasons.
//
//   bench_crashes [--seeds N] [--first N] [--waves TARGETS,...]
//
// With --waves, it compares rules for simultaneous crashes instead: when crashes of several targets at the same time
// count as evidence of a cause outside the tasks that had been running there for some time.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <functional>

#include "test/LoadReplay.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

std::vector<ReplayVariant> giveUpRules() {
  std::vector<ReplayVariant> rules;
  const auto add = [&rules](const char* name, CrashRule rule, bool trials) {
    ReplayVariant& variant = rules.emplace_back();
    variant.name = name;
    variant.crashes = rule;
    variant.trials = trials;
  };
  add("never", CrashRule::Never, false);
  add("two-lost", CrashRule::TwoLost, false);
  add("three-lost", CrashRule::ThreeLost, false);
  add("present-without-trials", CrashRule::Current, false);
  add("two-alone", CrashRule::TwoAlone, true);
  add("present", CrashRule::Current, true);
  return rules;
}

std::vector<ReplayVariant> simultaneousCrashRules() {
  std::vector<ReplayVariant> rules;
  const std::vector<std::pair<const char*, CommonCauseRule>> named{{"an-eighth", CommonCauseRule::AnEighth},
                                                                   {"any-three", CommonCauseRule::Three},
                                                                   {"other-work", CommonCauseRule::OtherWork}};
  for (const auto& [name, rule] : named) {
    ReplayVariant& variant = rules.emplace_back();
    variant.name = name;
    variant.commonCauseRule = rule;
  }
  return rules;
}

/** Sums of the results of one rule on one pattern over all seeds. */
struct Row {
  double worth = 0.0;
  unsigned crashes = 0;
  unsigned lostRuns = 0;
  unsigned givenUp = 0;
  unsigned falselyGivenUp = 0;
  unsigned maxStarts = 0;
  unsigned suspected = 0;

  void add(const ReplayResult& result) {
    worth += result.worth();
    crashes += result.crashes;
    lostRuns += result.lostRuns;
    givenUp += result.givenUp;
    falselyGivenUp += result.falselyGivenUp;
    maxStarts = std::max(maxStarts, result.maxStarts);
    suspected += result.suspected;
  }
};

using Patterns = std::function<std::vector<ReplayPattern>(std::uint64_t seed)>;

void compare(const Patterns& patterns, const std::vector<ReplayVariant>& rules, std::uint64_t first,
             std::uint64_t seeds) {
  for (std::size_t p = 0; p < patterns(first).size(); ++p) {
    std::vector<Row> rows(rules.size());
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
      const ReplayPattern pattern = patterns(seed)[p];
      for (std::size_t v = 0; v < rules.size(); ++v) rows[v].add(LoadReplay(pattern, rules[v], seed).simulate());
    }
    std::printf("%s\n", patterns(first)[p].name.c_str());
    for (std::size_t v = 0; v < rules.size(); ++v) {
      std::printf(
          "  %-23s worth %.3f  crashes by tasks %u  runs lost %u  wrongly suspected %u  given up %u  wrongly %u  most "
          "starts "
          "%u\n",
          rules[v].name.c_str(), rows[v].worth / static_cast<double>(seeds), rows[v].crashes, rows[v].lostRuns,
          rows[v].suspected, rows[v].givenUp, rows[v].falselyGivenUp, rows[v].maxStarts);
    }
    std::fflush(stdout);
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::uint64_t seeds = 20;
  std::uint64_t first = 1;
  CLI::App app("compares rules on tasks that crash targets on seeded loads");
  app.add_option("--seeds", seeds, "number of seeds for each pattern")->check(CLI::Range(1, 10000));
  app.add_option("--first", first, "first seed");
  std::vector<std::size_t> waves;
  app.add_option("--waves", waves, "numbers of targets for the comparison of simultaneous crashes")->delimiter(',');
  CLI11_PARSE(app, argc, argv);
  for (const std::size_t targets : waves) {
    const auto patterns = [targets](std::uint64_t seed) { return wavePatterns(seed, targets); };
    compare(patterns, simultaneousCrashRules(), first, seeds);
  }
  if (!waves.empty()) {
    compare(crashPatterns, simultaneousCrashRules(), first, seeds);
  } else {
    compare(crashPatterns, giveUpRules(), first, seeds);
  }
  return 0;
}
