// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/RunOutlook.h"

#include <algorithm>
#include <cmath>

namespace courseloom {

namespace internal {
namespace {

constexpr double square(double value) { return value * value; }

/** Variance of targets' slowness before anything was seen: time factors of 0.7 to 1.7, the widest known range. */
constexpr double UnseenVariance = square(0.4);
/** The same of what steps ask for, against their estimates: those are off by up to half. */
constexpr double StepVariance = square(0.5);
/** The same among tasks of one step on equal targets; measured 0.13 to 0.14 as deviation, 1,320 runs. */
constexpr double TaskVariance = square(0.15);
/** The same for members of a gang, whose work is the same: the error of a pace taken from whole percents. */
constexpr double PaceVariance = square(0.05);
/** What a belief loses with each step: a target may have turned slow or sound since, by a tenth. */
constexpr double DriftVariance = square(0.1);
/** What a belief loses when it was off by more than MostDeviations: a second such step is believed. */
constexpr double JumpVariance = square(0.3);
/** Standard errors beyond which a surprise counts no further: one task in thirty may take several times as long as the
 * others of its step, whatever its target. */
constexpr double MostDeviations = 2.5;
/** Run times that are kept of one step on one target; their median is what counts. */
constexpr std::size_t MostLogs = 8;
/** Targets of one step that count as runs of its queue at most: a wide step is still one estimate. */
constexpr std::size_t MostRunsPerStep = 5;

/** Slowness from which a target is called slow, and below whose negative fast: a tenth beyond the usual, and by more
 * than its error. */
constexpr double NotedSlowness = 0.1;

double median_of(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace
}  // namespace internal

TargetSpeed speedOf(const TargetPace& pace) {
  if (std::abs(pace.slowness) < std::max(internal::NotedSlowness, pace.error)) return TargetSpeed::Usual;
  return pace.slowness > 0.0 ? TargetSpeed::Slow : TargetSpeed::Fast;
}

void RunOutlook::ran(const StepOfRuns& step, const std::string& target, double wholeMs, std::uint64_t nowMs) {
  if (wholeMs <= 0.0 || step.estimateMs <= 0.0) return;
  OpenStep& open = m_open[step.name];
  open.step = step;
  open.seenMs = nowMs;
  std::vector<double>& logs = open.logs[target];
  if (logs.size() < internal::MostLogs) logs.push_back(std::log(wholeMs));
}

void RunOutlook::closeWorkflow(const std::string& workflow) {
  const std::string prefix = workflow + ".";
  for (auto step = m_open.lower_bound(prefix); step != m_open.end() && step->first.starts_with(prefix);) {
    learn(step->second);
    step = m_open.erase(step);
  }
}

void RunOutlook::closeAll() {
  for (const auto& [name, step] : m_open) learn(step);
  m_open.clear();
}

RunOutlook::Belief& RunOutlook::beliefIn(const std::string& target) {
  const auto found = m_beliefs.find(target);
  if (found != m_beliefs.end()) return found->second;
  if (m_beliefs.size() >= MostTargets) {
    m_beliefs.erase(std::min_element(m_beliefs.begin(), m_beliefs.end(),
                                     [](const auto& a, const auto& b) { return a.second.seenMs < b.second.seenMs; }));
  }
  return m_beliefs[target] = {0.0, internal::UnseenVariance, 0};
}

std::vector<RunOutlook::Sight> RunOutlook::sightsOf(const OpenStep& step) {
  std::vector<Sight> sights;
  for (const auto& [target, logs] : step.logs) {
    Belief& belief = beliefIn(target);
    belief.seenMs = step.seenMs;
    const double ofTasks = step.step.gang ? 0.0 : internal::TaskVariance / static_cast<double>(logs.size());
    const double value = internal::median_of(logs) - std::log(step.step.estimateMs);
    sights.push_back({&belief, value, internal::PaceVariance + ofTasks, 0.0});
  }
  return sights;
}

/** Draws in what lies far from the middle of what the targets say of the step: one that straggles says little of it. */
void RunOutlook::boundOfStep(std::vector<Sight>& sights) {
  std::vector<double> values;
  for (const Sight& sight : sights) values.push_back(sight.value - sight.belief->slowness);
  const double middle = internal::median_of(values);
  for (Sight& sight : sights) {
    const double most = internal::MostDeviations * std::sqrt(sight.belief->variance + sight.variance);
    sight.ofStep = std::clamp(sight.value - sight.belief->slowness, middle - most, middle + most);
  }
}

/** The step is seen through each of its targets, and each target against what all others say of the step. */
void RunOutlook::learn(const OpenStep& step) {
  std::vector<Sight> sights = sightsOf(step);
  boundOfStep(sights);
  const StepOfRuns& what = step.step;
  double weight = 1.0 / internal::StepVariance;
  double sum = weight * std::log(m_times.expectedMs(what.queue, what.estimateMs) / what.estimateMs);
  for (const Sight& sight : sights) {
    const double own = 1.0 / (sight.belief->variance + sight.variance);
    weight += own;
    sum += own * sight.ofStep;
  }
  const double tookMs = what.estimateMs * std::exp(sum / weight);
  m_times.ended(what.queue, what.estimateMs, tookMs,
                static_cast<double>(std::min(sights.size(), internal::MostRunsPerStep)));
  for (const Sight& sight : sights) {
    Belief& belief = *sight.belief;
    const double own = 1.0 / (belief.variance + sight.variance);
    const double othersWeight = weight - own;
    const double byOthers = (sum - own * sight.ofStep) / othersWeight;
    const double total = belief.variance + sight.variance + 1.0 / othersWeight;
    const double surprise = sight.value - byOthers - belief.slowness;
    const double most = internal::MostDeviations * std::sqrt(total);
    const double gain = belief.variance / total;
    belief.slowness += gain * std::clamp(surprise, -most, most);
    belief.variance = (1.0 - gain) * belief.variance + internal::DriftVariance;
    if (std::abs(surprise) > most) belief.variance += internal::JumpVariance;
    belief.variance = std::min(belief.variance, internal::UnseenVariance);
  }
}

TargetPace RunOutlook::paceOf(const std::string& target) const {
  const auto found = m_beliefs.find(target);
  if (found == m_beliefs.end()) return {0.0, std::sqrt(internal::UnseenVariance)};
  return {found->second.slowness, std::sqrt(found->second.variance)};
}

double RunOutlook::timeFactor(const std::string& target) const { return std::exp(paceOf(target).slowness); }

// ---- snapshots

void RunOutlook::save(schema::StateSnapshot& snapshot) const {
  m_times.save(snapshot);
  for (const auto& [target, belief] : m_beliefs) {
    schema::TargetPaceRecord* row = snapshot.add_target_paces();
    row->set_target(target);
    row->set_slowness(belief.slowness);
    row->set_variance(belief.variance);
    row->set_seen_ms(belief.seenMs);
  }
  for (const auto& [name, open] : m_open) {
    for (const auto& [target, logs] : open.logs) {
      schema::StepSightRecord* row = snapshot.add_step_sights();
      row->set_step(name);
      row->set_queue(open.step.queue);
      row->set_estimate_ms(open.step.estimateMs);
      row->set_gang(open.step.gang);
      row->set_target(target);
      row->set_seen_ms(open.seenMs);
      for (const double log : logs) row->add_logs(log);
    }
  }
}

void RunOutlook::load(const schema::StateSnapshot& snapshot) {
  m_times.load(snapshot);
  m_beliefs.clear();
  m_open.clear();
  for (const schema::TargetPaceRecord& row : snapshot.target_paces()) {
    m_beliefs[row.target()] = {row.slowness(), row.variance(), row.seen_ms()};
  }
  for (const schema::StepSightRecord& row : snapshot.step_sights()) {
    if (row.logs_size() == 0 || row.estimate_ms() <= 0.0) continue;
    OpenStep& open = m_open[row.step()];
    open.step = {row.step(), row.queue(), row.estimate_ms(), row.gang()};
    open.seenMs = row.seen_ms();
    open.logs[row.target()].assign(row.logs().begin(), row.logs().end());
  }
}

}  // namespace courseloom
