// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/WaitReview.h"

namespace courseloom {

const char* nameOf(WaitGate gate) {
  switch (gate) {
    case WaitGate::GangActive:
      return "members of its gang are active";
    case WaitGate::Trial:
      return "its tasks are suspect";
    case WaitGate::NoTarget:
      return "no target is open to it";
    case WaitGate::NoRoom:
      return "no room";
    case WaitGate::RoomKept:
      return "room is kept from it";
  }
  return "";
}

WaitGates::WaitGates(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs)
    : m_targets(targets) {
  m_free.reserve(targets.size());
  for (const PlannedTarget& target : targets) m_free.push_back(target.capacity);
  for (const PlannedRun& run : runs) m_free[run.target].subtract(run.need);
}

WaitGate WaitGates::find(const PlannedStep& step) {
  const schema::StepSpec& spec = step.workflow->step(step.key.step);
  const ResourceAmounts need = resourceAmountsOf(spec);
  bool anyOpen = false;
  std::size_t fitting = 0;
  for (const std::size_t i : *m_targets.targetsOf(step.workflow->record.service(), spec.required_label())) {
    if (!m_targets[i].open) continue;
    anyOpen = true;
    fitting += m_free[i].fits(need, step.tasks.size());
  }
  const std::size_t wanted = step.isGang() ? step.tasks.size() : 1;
  if (fitting >= wanted) return WaitGate::RoomKept;
  return anyOpen ? WaitGate::NoRoom : WaitGate::NoTarget;
}

std::vector<WaitReview::StepName> WaitReview::update(const std::set<StepName>& waiting, Time now) {
  std::erase_if(m_waits, [&waiting](const auto& entry) { return waiting.count(entry.first) == 0; });
  std::vector<StepName> due;
  for (const StepName& step : waiting) {
    Wait& wait = m_waits.try_emplace(step, Wait{now, Time{}}).first->second;
    const bool isLong = now >= wait.since + ReportAfter;
    if (!isLong || (wait.reported != Time{} && now < wait.reported + ReportInterval)) continue;
    wait.reported = now;
    due.push_back(step);
  }
  return due;
}

std::vector<WaitReview::StepName> WaitReview::steps() const {
  std::vector<StepName> names;
  for (const auto& [step, wait] : m_waits) names.push_back(step);
  return names;
}

void WaitReview::recordStart(const StepName& step, Time now) {
  const auto found = m_waits.find(step);
  if (found != m_waits.end()) found->second = Wait{now, Time{}};
}

Duration WaitReview::waited(const StepName& step, Time now) const {
  const auto found = m_waits.find(step);
  return found == m_waits.end() ? Duration(0) : now - found->second.since;
}

}  // namespace courseloom
