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
/** Most steps whose waits are reviewed at once. */
constexpr std::size_t MaxReviewedSteps = 2 * MaxStepsPerPass;
/** A run that its target has not listed after this time is logged. */
constexpr Duration UnseenAfter = milliseconds(5000);

}  // namespace
}  // namespace internal

/** \returns the steps that the last pass examined or that are under review, and that wait; at most MaxReviewedSteps. */
std::set<WorkflowRunner::StepName> WorkflowRunner::findWaitingSteps() {
  std::set<StepName> waiting;
  for (const StepName& name : m_waitReview.steps()) {
    if (findWaiting(name) != nullptr) waiting.insert(name);
  }
  for (const StepName& name : m_selectedSteps) {
    if (waiting.size() == internal::MaxReviewedSteps) break;
    if (findWaiting(name) != nullptr) waiting.insert(name);
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
  const std::vector<StepName> due = m_waitReview.update(findWaitingSteps(), now);
  if (!due.empty()) logWaits(due, steps, WaitGates(targets, runs));
  logUnseenRuns(now);
}

/** Logs steps with their gates, but none that finds no room. */
void WorkflowRunner::logWaits(const std::vector<StepName>& due, const std::vector<PlannedStep>& steps,
                              WaitGates gates) {
  std::map<StepName, const PlannedStep*> planned;
  for (const PlannedStep& step : steps) {
    if (step.workflow != nullptr) planned.emplace(StepName{step.workflow->record.id(), step.key}, &step);
  }
  std::size_t logged = 0;
  for (const StepName& name : due) {
    const auto step = planned.find(name);
    // A step that this pass did not examine has its turn in another one.
    if (step == planned.end() && !std::binary_search(m_selectedSteps.begin(), m_selectedSteps.end(), name)) continue;
    // Steps that are not planned at all are gangs with active members, or have only suspect tasks.
    const bool gang = table().find(name.first)->step(name.second.step).gang();
    const WaitGate unplanned = gang ? WaitGate::GangActive : WaitGate::Trial;
    const WaitGate gate = step == planned.end() ? unplanned : gates.find(*step->second);
    if (gate == WaitGate::NoRoom) continue;
    logWait(name, gate);
    if (++logged == internal::MaxWaitsLogged) return;
  }
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
  if (now < m_nextUnseenEvent) return;
  std::size_t logged = 0;
  for (const auto& [key, track] : m_ledger.runs()) {
    if (track.begun || now < track.startedAt + internal::UnseenAfter) continue;
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
    m_nextUnseenEvent = now + WaitReview::ReportInterval;
    if (++logged == internal::MaxWaitsLogged) return;
  }
}

}  // namespace courseloom
