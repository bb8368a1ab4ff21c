// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Agent/ProgressWatch.h"

namespace courseloom {

namespace internal {
namespace {

/** A run that has not moved for this long is told of at once. A sound one moves by a hundredth of its work, which is 25
 * ms for the shortest kinds seen and half a second for the longest ones on a target that is six times too slow. */
constexpr Duration StillTold = milliseconds(600);

}  // namespace
}  // namespace internal

bool ProgressWatch::note(std::vector<schema::RunReport>& running, Time now) {
  std::map<RunKey, Progress> progress;
  bool news = false;
  for (schema::RunReport& row : running) {
    const RunKey key = runKeyOf(row.task(), row.run());
    const auto before = m_progress.find(key);
    const bool moved = before == m_progress.end() || before->second.percent != row.percent();
    Progress& entry = progress[key];
    entry = moved ? Progress{row.percent(), now, false} : before->second;
    row.set_still_ms(static_cast<std::uint32_t>(toMilliseconds(now - entry.since)));
    if (entry.told || now < entry.since + internal::StillTold) continue;
    entry.told = true;
    news = true;
  }
  m_progress = std::move(progress);
  return news;
}

}  // namespace courseloom
