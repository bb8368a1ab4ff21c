// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of RunLedger for leases: their length, their end, and when the runs of a silent agent are over.

#include <algorithm>

#include "Courseloom/src/Scheduling/LateCalls.h"
#include "Courseloom/src/Scheduling/RunLedger.h"

namespace courseloom {

namespace internal {
namespace {

/** Time after an outage until a leader has been elected and has had reports from its agents. */
constexpr Duration ElectionAllowance = milliseconds(2000);

}  // namespace
}  // namespace internal

Duration leaseLength(const schema::ControlSettings& settings) {
  const Duration minimum = milliseconds(settings.run_grant_ms());
  if (settings.outage_s() == 0) return minimum;
  return std::max(minimum, milliseconds(std::int64_t{1000} * settings.outage_s()) + internal::ElectionAllowance);
}

Duration RunLedger::grant(const std::string& agent, Time now) {
  TargetTrack& target = track(agent);
  if (target.report.id().empty()) return Duration(0);
  const Duration length =
      target.report.draining() ? std::min(m_options.grant, m_options.leavingLease) : m_options.grant;
  // An earlier lease may have been longer, and so may still end later than this one.
  target.leaseUntil = std::max(target.leaseUntil, now + length);
  return length;
}

std::uint32_t RunLedger::leaseToRecord(std::uint32_t recordedMs, Time now) const {
  const auto own = static_cast<std::uint32_t>(toMilliseconds(m_options.grant));
  const bool formerOver = now > m_leaderSince + m_formerGrant + m_options.slack;
  const bool mayChange = recordedMs < own || (recordedMs > own && formerOver);
  return mayChange ? own : 0;
}

/** \returns when the last lease of an agent ends. A former leader may have granted leases up to the instant at which
 * this one began. */
Time RunLedger::leaseEnd(const std::string& agent) const {
  if (!m_options.waitForLeases) return m_leaderSince;
  const Time inherited = m_options.inheritLeases ? m_leaderSince + m_formerGrant : m_leaderSince;
  const auto found = m_targets.find(agent);
  return found == m_targets.end() ? inherited : std::max(inherited, found->second.leaseUntil);
}

/** \returns when a run of a silent agent is over. A run that was not seen at its target may have begun in the next
 * incarnation, through a call that the agent sent during its lease. */
Time RunLedger::lapseTime(const std::string& agent, const RunTrack& track) const {
  const Time end = leaseEnd(agent) + m_options.slack;
  if (!m_options.awaitLateStarts || track.begun || !track.mayBeOrdered()) return end;
  return latestEndOfLateRuns(end, m_options.longestHold);
}

std::vector<schema::RunEnd> RunLedger::expire(Time now) {
  std::vector<schema::RunEnd> ends;
  for (const auto& [agent, keys] : m_byAgent) {
    if (keys.empty()) continue;
    if (now <= leaseEnd(agent) + m_options.slack) continue;
    for (const RunKey& key : keys) {
      const RunTrack& track = m_runs.at(key);
      if (now <= lapseTime(agent, track)) continue;
      schema::RunEnd& end = ends.emplace_back(makeEnd(key, schema::RunLapsed, track.checkpoint));
      // The target may have crashed, but no agent is left to report it.
      if (track.mayBeOrdered()) end.set_crash(schema::CrashUnclear);
    }
  }
  return ends;
}

}  // namespace courseloom
