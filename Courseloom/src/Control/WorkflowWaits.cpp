// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of WorkflowRunner that logs work which waits for long, with what keeps it from being started.

#include <algorithm>

#include "Courseloom/src/Control/WorkflowRunner.h"
#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace internal {
namespace {

constexpr Duration WaitReviewInterval = milliseconds(1000);
/** Most steps, and most runs, that one review logs. */
constexpr std::size_t MaxWaitsLogged = 4;
/** A run that its target has not listed after this time is logged. */
constexpr Duration UnseenAfter = milliseconds(5000);

}  // namespace
}  // namespace internal

/** \returns the steps that are ready and have tasks without an active run. */
std::set<WorkflowRunner::StepName> WorkflowRunner::findWaitingSteps() {
  std::set<StepName> waiting;
  const std::uint64_t nowMs = wallClockMs();
  for (const std::string& id : table().open()) {
    const WorkflowState& workflow = *table().find(id);
    if (workflow.ended()) continue;
    for (std::uint32_t occurrence = 0; occurrence < workflow.occurrences(); ++occurrence) {
      if (workflow.dueMs(occurrence) > nowMs) break;
      for (int s = 0; s < workflow.record.spec().steps_size(); ++s) {
        const StepKey key{occurrence, static_cast<std::uint32_t>(s)};
        const bool waits = !workflow.stepDone(key) && workflow.hasWaitingTasks(key) && workflow.stepReady(key);
        if (waits) waiting.emplace(id, key);
      }
    }
  }
  return waiting;
}

/** Logs the steps that wait for long although there may be room for them, and the runs that no target lists. The
 * parameters are those of a planning pass that has just ended. */
void WorkflowRunner::reviewWaits(const std::vector<PlannedStep>& steps, const std::vector<PlannedTarget>& targets,
                                 const std::vector<PlannedRun>& runs) {
  const Time now = BootClock::now();
  if (now < m_nextWaitReview) return;
  m_nextWaitReview = now + internal::WaitReviewInterval;
  std::size_t logged = 0;
  for (const StepName& name : m_waitReview.update(findWaitingSteps(), now)) {
    const auto isNamed = [&name](const PlannedStep& step) {
      return step.workflow != nullptr && step.workflow->record.id() == name.first && step.key == name.second;
    };
    const auto step = std::find_if(steps.begin(), steps.end(), isNamed);
    // Steps that are not planned at all are gangs with active members, or have only suspect tasks.
    const bool gang = table().find(name.first)->step(name.second.step).gang();
    const WaitGate unplanned = gang ? WaitGate::GangActive : WaitGate::Trial;
    const WaitGate gate = step == steps.end() ? unplanned : findWaitGate(*step, targets, runs);
    if (gate != WaitGate::NoRoom && ++logged <= internal::MaxWaitsLogged) logWait(name, gate);
  }
  logUnseenRuns(now);
}

void WorkflowRunner::logWait(const StepName& name, WaitGate gate) {
  const Duration waited = m_waitReview.waited(name, BootClock::now());
  m_context.metrics.count("long_waits", nameOf(gate));
  logEvent(schema::StepWaits, {{"workflow", name.first},
                               {"occurrence", std::uint64_t{name.second.occurrence}},
                               {"step", std::uint64_t{name.second.step}},
                               {"waitedMs", static_cast<std::uint64_t>(toMilliseconds(waited))},
                               {"gate", nameOf(gate)}});
}

void WorkflowRunner::logUnseenRuns(Time now) {
  std::size_t logged = 0;
  for (const auto& [key, track] : m_ledger.runs()) {
    if (track.begun || now < track.startedAt + internal::UnseenAfter) continue;
    if (now < m_nextUnseenEvent || ++logged > internal::MaxWaitsLogged) continue;
    const auto target = m_ledger.targets().find(track.agent);
    const bool known = target != m_ledger.targets().end();
    const Duration silent = known ? now - target->second.lastContact : now - track.startedAt;
    logEvent(schema::RunUnseen, {{"task", taskText(makeTaskId(key.workflow, key.task))},
                                 {"run", std::uint64_t{key.run}},
                                 {"target", track.target},
                                 {"reported", known ? target->second.report.id() : ""},
                                 {"sinceMs", static_cast<std::uint64_t>(toMilliseconds(now - track.startedAt))},
                                 {"silentMs", static_cast<std::uint64_t>(toMilliseconds(silent))},
                                 {"stopRequested", track.stopRequested ? "yes" : "no"}});
  }
  if (logged > 0) m_nextUnseenEvent = now + WaitReview::ReportInterval;
}

}  // namespace courseloom
