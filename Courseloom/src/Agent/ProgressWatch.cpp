// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Agent/ProgressWatch.h"

#include <algorithm>

namespace courseloom {

namespace internal {
namespace {

/** A run without progress for this long is reported at once. A healthy run progresses with each hundredth of its work.
 */
constexpr Duration ReportStillAfter = milliseconds(600);
/** Longest time between two polls that counts as time without progress. In a longer gap the machine was suspended or
 * the target could not be polled. */
constexpr Duration MaxPollGap = milliseconds(1000);

}  // namespace
}  // namespace internal

bool ProgressWatch::note(std::vector<schema::RunReport>& running, Time now) {
  std::map<RunKey, Progress> progress;
  bool reportNow = false;
  const Duration gap = m_polledAt == Time{} ? Duration(0) : now - m_polledAt;
  const Duration unseen = std::max(Duration(0), gap - internal::MaxPollGap);
  m_polledAt = now;
  for (schema::RunReport& row : running) {
    const RunKey key = runKeyOf(row.task(), row.run());
    const auto before = m_progress.find(key);
    const bool moved = before == m_progress.end() || before->second.percent != row.percent();
    Progress& entry = progress[key];
    entry = moved ? Progress{row.percent(), now, false} : before->second;
    if (!moved) entry.since += unseen;
    row.set_still_ms(static_cast<std::uint32_t>(toMilliseconds(now - entry.since)));
    if (entry.reported || now < entry.since + internal::ReportStillAfter) continue;
    entry.reported = true;
    reportNow = true;
  }
  m_progress = std::move(progress);
  return reportNow;
}

}  // namespace courseloom
