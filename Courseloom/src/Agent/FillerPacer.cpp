// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Agent/FillerPacer.h"

#include <algorithm>

namespace courseloom {

namespace internal {
namespace {

constexpr std::uint32_t FullSpeedPercent = 100;

const RunTraits* traits_of(const schema::RunReport& row, const std::map<RunKey, RunTraits>& traits) {
  const auto found = traits.find(runKeyOf(row.task(), row.run()));
  return found == traits.end() ? nullptr : &found->second;
}

}  // namespace
}  // namespace internal

bool FillerPacer::isShared(const std::vector<schema::RunReport>& rows, const std::map<RunKey, RunTraits>& traits) {
  bool fills = false;
  bool serves = false;
  for (const schema::RunReport& row : rows) {
    const RunTraits* known = internal::traits_of(row, traits);
    if (known == nullptr) continue;
    fills = fills || known->filler;
    serves = serves || known->latencyTargetMs > 0;
  }
  return fills && serves;
}

std::uint32_t FillerPacer::nextPercent(std::uint32_t percent, double worstTail) const {
  if (worstTail > m_options.slowDownAbove) {
    const std::uint32_t half = percent / 2;
    return half < m_options.minPercent ? 0 : half;
  }
  if (worstTail < m_options.speedUpBelow) return std::min(internal::FullSpeedPercent, percent + m_options.stepPercent);
  return percent;
}

std::vector<PaceChange> FillerPacer::decide(const std::vector<schema::RunReport>& rows,
                                            const std::map<RunKey, RunTraits>& traits, Time now) {
  std::vector<PaceChange> changes;
  if (m_changed != Time{} && now < m_changed + m_options.interval) return changes;
  double worstTail = 0.0;
  std::map<RunKey, std::uint32_t> percents;
  for (const schema::RunReport& row : rows) {
    const RunTraits* known = internal::traits_of(row, traits);
    if (known == nullptr) continue;
    const RunKey key = runKeyOf(row.task(), row.run());
    if (known->latencyTargetMs > 0) {
      worstTail = std::max(worstTail, static_cast<double>(row.usage()) / known->latencyTargetMs);
    } else if (known->filler) {
      const auto paced = m_percents.find(key);
      percents[key] = paced == m_percents.end() ? internal::FullSpeedPercent : paced->second;
    }
  }
  for (auto& [key, percent] : percents) {
    const std::uint32_t next = nextPercent(percent, worstTail);
    // A former incarnation of this agent may have paced a filler that is new here, so each filler gets its pace once.
    const bool alreadySent = m_percents.count(key) > 0;
    if (next == percent && alreadySent) continue;
    percent = next;
    changes.push_back({key, next});
    m_changed = now;
  }
  m_percents = std::move(percents);
  return changes;
}

}  // namespace courseloom
