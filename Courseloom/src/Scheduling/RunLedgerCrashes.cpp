// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of RunLedger that tells of lost runs whether their targets crashed under them.

#include <algorithm>

#include "Courseloom/src/Scheduling/RunLedger.h"

namespace courseloom {

namespace internal {
namespace {

/** Reports of targets that went at one moment come within this time of each other. */
constexpr Duration GoneTogether = milliseconds(500);
/** Two targets may well go at one moment for causes of their own. */
constexpr std::size_t LeastOthers = 2;

}  // namespace
}  // namespace internal

bool speaksForOthers(std::size_t others) { return others >= internal::LeastOthers; }

void RunLedger::noteMissed(const std::string& agent, TargetTrack& target, Time now) {
  const auto [first, last] = m_missed.equal_range(target.missedSince);
  const auto former = std::find_if(first, last, [&agent](const auto& entry) { return entry.second == agent; });
  if (former != last) m_missed.erase(former);
  target.missedSince = now;
  m_missed.emplace(now, agent);
  target.missedWith.clear();
  for (const RunKey& key : m_byAgent[agent]) target.missedWith.insert(key.workflow);
}

/** Tasks of one workflow may crash as many targets at once as it is wide; a cause outside hits others too, however
 * large the fleet. */
bool RunLedger::wentWithOthers(const std::string& agent, const std::string& workflow) const {
  const Time since = m_targets.at(agent).missedSince;
  if (since == Time{}) return false;
  std::size_t others = 0;
  const auto last = m_missed.upper_bound(since + internal::GoneTogether);
  for (auto missed = m_missed.lower_bound(since - internal::GoneTogether); missed != last; ++missed) {
    if (m_targets.at(missed->second).missedWith.count(workflow) == 0) ++others;
    if (speaksForOthers(others)) return true;
  }
  return false;
}

/** \returns whether a run may have begun although its agent knows nothing of it. */
bool RunLedger::mayHaveBegun(const RunTrack& track, std::uint64_t incarnation) const {
  return track.inherited || (track.deliveredTo != 0 && track.deliveredTo != incarnation);
}

/** Only the agent beside a target saw how closely its going away followed a start. \param before what the agent last
 * reported of the target that was lost */
void RunLedger::noteCrashes(const schema::AttendRequest& report, const schema::TargetReport& before,
                            std::vector<schema::RunEnd>& ends) const {
  std::map<RunKey, const schema::LostRun*> lost;
  for (const schema::LostRun& row : report.lost()) lost.emplace(runKeyOf(row.task(), row.run()), &row);
  for (schema::RunEnd& end : ends) {
    if (end.kind() != schema::RunTargetLost && end.kind() != schema::RunLapsed) continue;
    const RunKey key = runKeyOf(end.task(), end.run());
    const RunTrack& track = m_runs.at(key);
    const auto row = lost.find(key);
    const bool planned = before.id() == track.target && before.draining();
    const bool untold = end.kind() == schema::RunTargetLost && !planned && mayHaveBegun(track, report.incarnation());
    if (row == lost.end()) {
      end.set_crash(untold ? schema::CrashUnclear : schema::NoCrash);
      continue;
    }
    // Not right after its start, and others went too: the cause lies outside.
    const bool later = row->second->crash() == schema::CrashUnclear && row->second->after_ms() > 0;
    const bool outside = later && wentWithOthers(report.agent(), key.workflow);
    end.set_crash(outside ? schema::NoCrash : row->second->crash());
    end.set_crash_after_ms(row->second->after_ms());
  }
}

bool RunLedger::lived(const RunKey& key, std::uint32_t members) const {
  const auto own = m_runs.find(key);
  if (own == m_runs.end() || own->second.firstSeen == Time{}) return false;
  Time since = own->second.firstSeen;
  for (std::uint32_t index = 0; members > 1 && index < members; ++index) {
    const auto member = m_runs.find({key.workflow, {key.task.occurrence, key.task.step, index}, key.run});
    if (member == m_runs.end() || member->second.firstSeen == Time{}) return false;
    since = std::max(since, member->second.firstSeen);
  }
  return own->second.seen - since >= StartPhase;
}

}  // namespace courseloom
