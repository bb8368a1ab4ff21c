// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of RunLedger that decides for each lost run whether its target crashed under it.

#include <algorithm>

#include "Courseloom/src/Scheduling/RunLedger.h"

namespace courseloom {

namespace internal {
namespace {

/** Losses of targets that have one cause are reported within this time of each other. */
constexpr Duration CommonLossWindow = milliseconds(500);
/** Number of other targets lost at about the same time from which a common cause is assumed. Two targets may well be
 * lost together for separate causes. */
constexpr std::size_t MinOthersLost = 2;

}  // namespace
}  // namespace internal

bool hasExternalCause(std::size_t others) { return others >= internal::MinOthersLost; }

void RunLedger::recordTargetLoss(const std::string& agent, TargetTrack& target, Time now) {
  const auto [first, last] = m_losses.equal_range(target.lostSince);
  const auto former = std::find_if(first, last, [&agent](const auto& entry) { return entry.second == agent; });
  if (former != last) m_losses.erase(former);
  target.lostSince = now;
  m_losses.emplace(now, agent);
  target.workflowsAtLoss.clear();
  for (const RunKey& key : m_byAgent[agent]) target.workflowsAtLoss.insert(key.workflow);
}

/** \returns whether enough targets that ran nothing of a workflow were lost together with an agent's target. The tasks
 * of one workflow may crash as many targets at once as it has parallel tasks, so the number of lost targets alone says
 * nothing; an external cause also hits targets without the workflow, however large the fleet is. */
bool RunLedger::lostWithOthers(const std::string& agent, const std::string& workflow) const {
  const Time since = m_targets.at(agent).lostSince;
  if (since == Time{}) return false;
  std::size_t others = 0;
  const auto last = m_losses.upper_bound(since + internal::CommonLossWindow);
  for (auto loss = m_losses.lower_bound(since - internal::CommonLossWindow); loss != last; ++loss) {
    if (m_targets.at(loss->second).workflowsAtLoss.count(workflow) == 0) ++others;
    if (hasExternalCause(others)) return true;
  }
  return false;
}

/** \returns whether a run may have started although this incarnation of its agent has no record of it. */
bool RunLedger::mayHaveStarted(const RunTrack& track, std::uint64_t incarnation) const {
  return track.inherited || (track.firstOrderedTo != 0 && track.firstOrderedTo != incarnation);
}

/** Sets the crash field of ends of lost runs, mostly from the agent's report: only the agent beside a target saw how
 * soon after a start the target was lost. \param before the agent's previous report of the target */
void RunLedger::classifyCrashes(const schema::AttendRequest& report, const schema::TargetReport& before,
                                std::vector<schema::RunEnd>& ends) const {
  std::map<RunKey, const schema::LostRun*> lost;
  for (const schema::LostRun& row : report.lost()) lost.emplace(runKeyOf(row.task(), row.run()), &row);
  for (schema::RunEnd& end : ends) {
    if (end.kind() != schema::RunTargetLost && end.kind() != schema::RunLapsed) continue;
    const RunKey key = runKeyOf(end.task(), end.run());
    const RunTrack& track = m_runs.at(key);
    const auto row = lost.find(key);
    const bool planned = before.id() == track.target && before.draining();
    const bool startUnreported =
        end.kind() == schema::RunTargetLost && !planned && mayHaveStarted(track, report.incarnation());
    if (row == lost.end()) {
      end.set_crash(startUnreported ? schema::CrashUnclear : schema::NoCrash);
      continue;
    }
    // The loss did not follow the start directly, and other targets were lost too, so the cause is external.
    const bool delayedLoss = row->second->crash() == schema::CrashUnclear && row->second->after_ms() > 0;
    const bool externalCause = delayedLoss && lostWithOthers(report.agent(), key.workflow);
    end.set_crash(externalCause ? schema::NoCrash : row->second->crash());
    end.set_crash_after_ms(row->second->after_ms());
  }
}

bool RunLedger::lived(const RunKey& key, std::uint32_t members) const {
  const auto own = m_runs.find(key);
  if (own != m_runs.end() && own->second.lived) return true;
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
