// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace courseloom {

namespace internal {
namespace {

constexpr double square(double value) { return value * value; }

/** Variance of a target's slowdown before any run was seen there: covers time factors of 0.7 to 1.7, the widest known
 * range. */
constexpr double InitialVariance = square(0.4);
/** Variance of a step's amount of work relative to its estimate: estimates are off by up to half. */
constexpr double StepVariance = square(0.5);
/** Variance among tasks of one step on equal targets. The measured standard deviation is 0.13 to 0.14 (1,320 runs). */
constexpr double TaskVariance = square(0.15);
/** Variance of a run time itself, also among members of a gang, whose work is the same: the error of a run time that is
 * calculated from progress in whole percents. */
constexpr double MeasurementVariance = square(0.05);
/** Variance added to a target's estimate with each step: its speed may have changed by a tenth since. */
constexpr double DriftVariance = square(0.1);
/** Variance added to a target's estimate when it was off by more than MaxDeviations, so that a second such step changes
 * the estimate. */
constexpr double JumpVariance = square(0.3);
/** Standard errors beyond which a deviation counts no further: one task in thirty may take several times as long as the
 * others of its step, whatever its target. */
constexpr double MaxDeviations = 2.5;
/** Run times kept of one step on one target; only their median counts. */
constexpr std::size_t MaxTimesPerTarget = 8;
/** Largest weight of one step in the run times of its queue, in runs: a step on many targets is still one estimate. */
constexpr std::size_t MaxRunsPerStep = 5;

/** Smallest absolute slowdown at which a target is called slow or fast: a tenth. It must also be at least the
 * standard error. */
constexpr double MinNotableSlowdown = 0.1;

double median_of(std::vector<double> values) {
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace
}  // namespace internal

TargetSpeed speedOf(const TargetSlowdown& pace) {
  if (std::abs(pace.slowness) < std::max(internal::MinNotableSlowdown, pace.error)) return TargetSpeed::Usual;
  return pace.slowness > 0.0 ? TargetSpeed::Slow : TargetSpeed::Fast;
}

void RunTimeEstimator::recordRunTime(const ObservedStep& step, const std::string& target, double fullRunMs,
                                     std::uint64_t nowMs) {
  if (fullRunMs <= 0.0 || step.estimateMs <= 0.0) return;
  OpenStep& open = m_open[step.name];
  open.info = step;
  open.lastSeenMs = nowMs;
  std::vector<double>& logTimes = open.logTimes[target];
  if (logTimes.size() < internal::MaxTimesPerTarget) logTimes.push_back(std::log(fullRunMs));
}

void RunTimeEstimator::closeWorkflow(const std::string& workflow) {
  const std::string prefix = workflow + ".";
  for (auto step = m_open.lower_bound(prefix); step != m_open.end() && step->first.starts_with(prefix);) {
    learn(step->second);
    step = m_open.erase(step);
  }
}

void RunTimeEstimator::includeOpenSteps() {
  for (const auto& [name, step] : m_open) learn(step);
  m_open.clear();
}

RunTimeEstimator::TargetEstimate& RunTimeEstimator::estimateFor(const std::string& target) {
  const auto found = m_estimates.find(target);
  if (found != m_estimates.end()) return found->second;
  if (m_estimates.size() >= MaxTargets) {
    m_estimates.erase(std::min_element(m_estimates.begin(), m_estimates.end(), [](const auto& a, const auto& b) {
      return a.second.lastSeenMs < b.second.lastSeenMs;
    }));
  }
  return m_estimates[target] = {0.0, internal::InitialVariance, 0};
}

std::vector<RunTimeEstimator::Observation> RunTimeEstimator::observationsOf(const OpenStep& step) {
  std::vector<Observation> observations;
  for (const auto& [target, logTimes] : step.logTimes) {
    TargetEstimate& targetEstimate = estimateFor(target);
    targetEstimate.lastSeenMs = step.lastSeenMs;
    const double taskVariance = step.info.gang ? 0.0 : internal::TaskVariance / static_cast<double>(logTimes.size());
    const double value = internal::median_of(logTimes) - std::log(step.info.estimateMs);
    observations.push_back({&targetEstimate, value, internal::MeasurementVariance + taskVariance, 0.0});
  }
  return observations;
}

/** Clamps the step effects to a range around their median, so that one target with an outlier has little weight. */
void RunTimeEstimator::clampStepEffects(std::vector<Observation>& observations) {
  std::vector<double> values;
  for (const Observation& observation : observations)
    values.push_back(observation.value - observation.targetEstimate->slowdown);
  const double middle = internal::median_of(values);
  for (Observation& observation : observations) {
    const double limit =
        internal::MaxDeviations * std::sqrt(observation.targetEstimate->variance + observation.variance);
    observation.stepEffect =
        std::clamp(observation.value - observation.targetEstimate->slowdown, middle - limit, middle + limit);
  }
}

/** Estimates the step's amount of work from all targets, and updates each target from what the other targets show of
 * the step. */
void RunTimeEstimator::learn(const OpenStep& step) {
  std::vector<Observation> observations = observationsOf(step);
  clampStepEffects(observations);
  const ObservedStep& info = step.info;
  double weight = 1.0 / internal::StepVariance;
  double sum = weight * std::log(m_times.expectedMs(info.queue, info.estimateMs) / info.estimateMs);
  for (const Observation& observation : observations) {
    const double ownWeight = 1.0 / (observation.targetEstimate->variance + observation.variance);
    weight += ownWeight;
    sum += ownWeight * observation.stepEffect;
  }
  const double stepMs = info.estimateMs * std::exp(sum / weight);
  m_times.ended(info.queue, info.estimateMs, stepMs,
                static_cast<double>(std::min(observations.size(), internal::MaxRunsPerStep)));
  for (const Observation& observation : observations) {
    TargetEstimate& targetEstimate = *observation.targetEstimate;
    const double ownWeight = 1.0 / (targetEstimate.variance + observation.variance);
    const double othersWeight = weight - ownWeight;
    const double othersMean = (sum - ownWeight * observation.stepEffect) / othersWeight;
    const double innovationVariance = targetEstimate.variance + observation.variance + 1.0 / othersWeight;
    const double innovation = observation.value - othersMean - targetEstimate.slowdown;
    const double limit = internal::MaxDeviations * std::sqrt(innovationVariance);
    const double gain = targetEstimate.variance / innovationVariance;
    targetEstimate.slowdown += gain * std::clamp(innovation, -limit, limit);
    targetEstimate.variance = (1.0 - gain) * targetEstimate.variance + internal::DriftVariance;
    if (std::abs(innovation) > limit) targetEstimate.variance += internal::JumpVariance;
    targetEstimate.variance = std::min(targetEstimate.variance, internal::InitialVariance);
  }
}

TargetSlowdown RunTimeEstimator::slowdownOf(const std::string& target) const {
  const auto found = m_estimates.find(target);
  if (found == m_estimates.end()) return {0.0, std::sqrt(internal::InitialVariance)};
  return {found->second.slowdown, std::sqrt(found->second.variance)};
}

double RunTimeEstimator::timeFactor(const std::string& target) const { return std::exp(slowdownOf(target).slowness); }

// ---- snapshots

void RunTimeEstimator::save(schema::StateSnapshot& snapshot) const {
  m_times.save(snapshot);
  for (const auto& [target, targetEstimate] : m_estimates) {
    schema::TargetPaceRecord* row = snapshot.add_target_paces();
    row->set_target(target);
    row->set_slowness(targetEstimate.slowdown);
    row->set_variance(targetEstimate.variance);
    row->set_seen_ms(targetEstimate.lastSeenMs);
  }
  for (const auto& [name, open] : m_open) {
    for (const auto& [target, logTimes] : open.logTimes) {
      schema::StepSightRecord* row = snapshot.add_step_sights();
      row->set_step(name);
      row->set_queue(open.info.queue);
      row->set_estimate_ms(open.info.estimateMs);
      row->set_gang(open.info.gang);
      row->set_target(target);
      row->set_seen_ms(open.lastSeenMs);
      for (const double logTime : logTimes) row->add_logs(logTime);
    }
  }
}

void RunTimeEstimator::load(const schema::StateSnapshot& snapshot) {
  m_times.load(snapshot);
  m_estimates.clear();
  m_open.clear();
  for (const schema::TargetPaceRecord& row : snapshot.target_paces()) {
    m_estimates[row.target()] = {row.slowness(), row.variance(), row.seen_ms()};
  }
  for (const schema::StepSightRecord& row : snapshot.step_sights()) {
    if (row.logs_size() == 0 || row.estimate_ms() <= 0.0) continue;
    OpenStep& open = m_open[row.step()];
    open.info = {row.step(), row.queue(), row.estimate_ms(), row.gang()};
    open.lastSeenMs = row.seen_ms();
    open.logTimes[row.target()].assign(row.logs().begin(), row.logs().end());
  }
}

}  // namespace courseloom
