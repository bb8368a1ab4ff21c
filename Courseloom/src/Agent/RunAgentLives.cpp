// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The lives of the target beside an agent: what it announces, and which announcements are believed.

#include <algorithm>
#include <boost/asio/co_spawn.hpp>

#include "Courseloom/src/Agent/RunAgentService.h"
#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {

/** Lives that are asked for at once: a target's former lives whose heartbeats a cut can hold back, with room to spare.
 */
constexpr std::size_t MostAnnounced = 8;
/** Before a life that has not answered is asked for again; such calls stay on the target's own machine. */
constexpr Duration ConfirmPause = milliseconds(150);
/** A target that crashes within this time after a run was ordered crashes at its start. */
constexpr Duration CrashAtStartWithin = milliseconds(500);

}  // namespace
}  // namespace internal

Awaitable<void> RunAgentService::announce(TargetAnnouncement announcement) {
  co_await asio::co_spawn(m_strand, announceOnStrand(std::move(announcement)), asio::use_awaitable);
}

Awaitable<void> RunAgentService::announceOnStrand(TargetAnnouncement announcement) {
  takeAnnouncement(announcement);
  co_return;
}

void RunAgentService::takeAnnouncement(const TargetAnnouncement& announcement) {
  const std::string& life = announcement.report.id();
  if (!isLife(life)) return takeOtherLife(announcement);
  if (announcement.sequence <= m_life->sequence) return;
  const schema::TargetReport before = m_life->report;
  takeWord(announcement);
  const bool resized = roomOf(before.capacity()) != roomOf(announcement.report.capacity());
  if (resized) tellRoom(before);
  if (resized || before.draining() != announcement.report.draining()) news();
}

/** Tells of a room that has become another. \param before what the target said of itself until then */
void RunAgentService::tellRoom(const schema::TargetReport& before) const {
  const Room former = roomOf(before.capacity());
  const Room room = roomOf(m_life->report.capacity());
  const auto number = [](std::int64_t amount) { return static_cast<std::uint64_t>(amount); };
  logEvent(schema::TargetResized, {{"target", m_life->report.id()},
                                   {"accelerators", number(room.accelerators)},
                                   {"cpuMilli", number(room.cpuMilli)},
                                   {"memoryMb", number(room.memoryMb)},
                                   {"formerAccelerators", number(former.accelerators)},
                                   {"formerCpuMilli", number(former.cpuMilli)},
                                   {"formerMemoryMb", number(former.memoryMb)}});
}

/** Takes in what the present life says of itself. */
void RunAgentService::takeWord(const TargetAnnouncement& announcement) {
  const bool leaves = announcement.report.draining() && !m_life->report.draining();
  if (leaves) logEvent(schema::TargetLeaving, {{"target", announcement.report.id()}});
  m_life->report = announcement.report;
  m_life->report.set_reachable(m_life->failures < FailuresUnreachable);
  m_life->sequence = announcement.sequence;
  takeClock(announcement.clockMs);
}

void RunAgentService::takeOtherLife(const TargetAnnouncement& announcement) {
  const std::string& life = announcement.report.id();
  const auto found = m_announced.find(life);
  if (found != m_announced.end() && announcement.sequence <= found->second.sequence) return;
  if (found == m_announced.end()) {
    if (m_announced.size() >= internal::MostAnnounced) return;
    logEvent(schema::TargetAnnounced,
             {{"target", life}, {"present", m_life ? m_life->report.id() : ""}, {"sequence", announcement.sequence}});
  }
  m_announced[life] = announcement;
  m_announcedSignal.notify();
}

/** Asks the target for each life that was announced, one call at a time, so that lives are believed in the order in
 * which the target has had them. */
Awaitable<void> RunAgentService::confirmLoop() {
  while (true) {
    while (m_announced.empty()) co_await m_announcedSignal.wait(BootClock::now() + milliseconds(60000));
    std::vector<std::string> lives;
    for (const auto& [life, announcement] : m_announced) lives.push_back(life);
    for (const std::string& life : lives) co_await confirm(life);
    if (!m_announced.empty()) co_await sleepFor(internal::ConfirmPause);
  }
}

/** A refusal does not say which life refuses, and silence says nothing: the life is asked for again. Whichever life
 * answers was there after the announcement had come, so that an announced one that does not answer is over, whatever
 * the clocks say that their births were set by. */
Awaitable<void> RunAgentService::confirm(std::string life) {
  // The answer's lists then hold all that calls for a former life can ever have begun in this one.
  const std::uint64_t step = raiseFence();
  TargetHold hold;
  hold.token = Fence::token(step, m_term);
  Result<TargetAnswer> answer =
      co_await m_port->hold(life, hold, milliseconds(m_context.settings.runner().order_limit_ms()));
  if (answer && answer->fenced) m_fence.overtake();
  const auto found = m_announced.find(life);
  if (!answer || answer->verdict == TargetVerdict::Refused || found == m_announced.end()) co_return;
  const bool taken = answer->verdict == TargetVerdict::Taken;
  if (taken && answer->life == life) {
    beginLife(found->second);
    m_life->step = step;
    takeLook(*answer, BootClock::now());
  } else {
    if (taken && isLife(answer->life)) m_life->step = std::max(m_life->step, step);
    logEvent(schema::TargetDisowned, {{"target", life}, {"present", m_life ? m_life->report.id() : ""}});
  }
  m_announced.erase(found);
}

/** What ran in the former life ended with it; the leader concludes that from the new life's name and lists. */
void RunAgentService::beginLife(const TargetAnnouncement& announcement) {
  const std::string& life = announcement.report.id();
  logEvent(schema::TargetRegistered,
           {{"target", life}, {"former", m_life ? m_life->report.id() : ""}, {"sequence", announcement.sequence}});
  for (const auto& [key, run] : m_runs) noteLost(key, schema::RunTargetLost);
  m_life = Life();
  takeWord(announcement);
  m_runs.clear();
  m_traits.clear();
  m_fates.clear();
  m_started.clear();
  // A former life of this agent may have had the target hold its runs for as long as it can.
  m_heldUntil = BootClock::now() + milliseconds(m_context.settings.runner().max_hold_ms());
  news();
  m_lifeSignal.notify();
}

/** The first call that a dead process leaves unanswered follows its death by a moment: looks wait at the target. */
RunAgentService::CrashSight RunAgentService::crashUnder(const RunKey& key) const {
  if (m_life->report.draining() || m_life->left) return {};
  const auto ordered = m_life->orderedAt.find(key);
  if (m_life->missedAt == Time{} || ordered == m_life->orderedAt.end()) return {schema::CrashUnclear, {}};
  if (ordered->second > m_life->missedAt) return {};  // it had gone before
  const Duration after = m_life->missedAt - ordered->second;
  if (after > internal::CrashAtStartWithin) return {schema::CrashUnclear, after};
  const auto justStarted = [&](const auto& other) {
    return other.second <= m_life->missedAt && m_life->missedAt - other.second <= StartPhase;
  };
  const auto starts = std::count_if(m_life->orderedAt.begin(), m_life->orderedAt.end(), justStarted);
  return {starts > 1 ? schema::CrashAmongStarts : schema::CrashAtStart, after};
}

/** A target that stays silent may have crashed for good: only a silence that began with the run accuses it. */
void RunAgentService::noteLost(const RunKey& key, schema::RunEndKind kind) {
  if (kind != schema::RunTargetLost && kind != schema::RunLapsed) return;
  const auto run = m_runs.find(key);
  const bool neverBegan = run != m_runs.end() && run->second.neverBegan;
  CrashSight sight = neverBegan ? CrashSight{} : crashUnder(key);
  if (kind == schema::RunLapsed && sight.kind == schema::CrashUnclear) sight.kind = schema::NoCrash;
  schema::LostRun& lost = m_lost[key];
  *lost.mutable_task() = makeTaskId(key.workflow, key.task);
  lost.set_run(key.run);
  lost.set_crash(sight.kind);
  lost.set_after_ms(static_cast<std::uint32_t>(toMilliseconds(sight.after)));
}

Awaitable<void> RunAgentService::leave(std::string life) {
  co_await asio::co_spawn(m_strand, leaveOnStrand(std::move(life)), asio::use_awaitable);
}

Awaitable<void> RunAgentService::leaveOnStrand(std::string life) {
  if (isLife(life)) m_life->left = true;
  m_announced.erase(life);
  co_return;
}

}  // namespace courseloom
