// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The part of WorkflowRunner that estimates run times of tasks and slowdowns of targets from observed runs.

#include <algorithm>
#include <cmath>

#include "Courseloom/src/Control/WorkflowRunner.h"
#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace internal {
namespace {

/** Shortest interval between the starts of two updates from active runs. Runs are observed every 250 ms, so more
 * frequent updates would find nothing new. */
constexpr Duration MinUpdateInterval = milliseconds(250);
/** Shortest interval between the starts of two updates, as a multiple of the last update's duration, so that updates
 * take at most a hundredth of the leader's time. */
constexpr int MinUpdateIntervalFactor = 100;
/** Upper bound of a recorded run time, ms; the extrapolated run time of a stalled run may not fit in RunEnd.whole_ms, a
 * uint32. */
constexpr double MaxFullRunTimeMs = 1e9;
constexpr double WholePercent = 100.0;
/** Quantile of the run times by which the end of a run is forecast: one run in ten takes longer. */
constexpr double ForecastQuantile = 0.9;

const char* name_of(TargetSpeed speed) {
  switch (speed) {
    case TargetSpeed::Slow:
      return "slow";
    case TargetSpeed::Fast:
      return "fast";
    case TargetSpeed::Usual:
      break;
  }
  return "usual";
}

}  // namespace
}  // namespace internal

/** \returns the run time of a run's whole task on its target, ms, extrapolated from the run's progress. Nothing if that
 * does not characterise the target: the task is long-running, its data is in another rack, or too little progress was
 * observed. */
std::optional<double> WorkflowRunner::fullRunTimeMs(const RunKey& key, const RunTrack& track) const {
  const schema::StepSpec& step = table().find(key.workflow)->step(key.task.step);
  const auto target = m_ledger.targets().find(track.agent);
  if (target == m_ledger.targets().end() || step.long_running()) return std::nullopt;
  if (!step.preferred_rack().empty() && step.preferred_rack() != target->second.report.rack()) return std::nullopt;
  return durationFromProgressMs(track);
}

/** \returns whether an active run started its task from the beginning rather than from a checkpoint. */
bool WorkflowRunner::startedFromBeginning(const RunKey& key) const {
  const TaskState* task = table().find(key.workflow)->task(key.task);
  if (task == nullptr) return false;
  return std::any_of(task->active.begin(), task->active.end(), [&key](const schema::ActiveRun& run) {
    return run.number() == key.run && run.checkpoint().empty();
  });
}

/** Stores the run time of the whole task in the run's RunEnd record, so that every replica applies the same value from
 * the log. */
void WorkflowRunner::recordFullRunTime(schema::RunEnd& end, Time now) const {
  const RunKey key = runKeyOf(end.task(), end.run());
  const auto run = m_ledger.runs().find(key);
  if (run == m_ledger.runs().end() || table().find(key.workflow) == nullptr) return;
  const RunTrack& track = run->second;
  const schema::StepSpec& step = table().find(key.workflow)->step(key.task.step);
  std::optional<double> whole = fullRunTimeMs(key, track);
  // A short task may end before its progress was observed twice. If it ran from the beginning, the time since this
  // leader applied the start, or began to lead, is used instead. Not for gangs: it would only reflect the slowest
  // member. Not for steps with a preferred rack: fullRunTimeMs() also returns nothing for runs outside that rack.
  const bool usesMeasured = end.kind() == schema::RunDone && !step.gang() && step.preferred_rack().empty();
  if (!whole && usesMeasured && startedFromBeginning(key)) whole = toMilliseconds(now - track.startedAt);
  if (whole) end.set_whole_ms(static_cast<std::uint32_t>(std::clamp(*whole, 1.0, internal::MaxFullRunTimeMs)));
}

/** Updates the run time estimates from the log and from the progress of active runs, at most once per
 * MinUpdateInterval. */
void WorkflowRunner::updateEstimator() {
  const Time now = BootClock::now();
  if (!learnsRunTimes() || now < m_nextEstimatorUpdate) return;
  m_runTimeEstimator = table().runTimeEstimator();
  ++m_estimatorUpdates;
  for (const auto& [key, track] : m_ledger.runs()) {
    const WorkflowState* workflow = table().find(key.workflow);
    const bool observed = workflow != nullptr && !workflow->isSuperseded(key.task);
    const std::optional<double> whole = observed ? fullRunTimeMs(key, track) : std::nullopt;
    if (whole)
      m_runTimeEstimator.recordRunTime(observedStep(*workflow, key.task.stepKey()), track.target, *whole,
                                       wallClockMs());
  }
  // The estimator is a copy of the replicated one, so the runs of open steps can be included.
  m_runTimeEstimator.includeOpenSteps();
  logSpeedChanges();
  const Duration took = BootClock::now() - now;
  m_context.metrics.record("learn_ms", "all", "all", toMilliseconds(took));
  m_nextEstimatorUpdate = now + std::max(internal::MinUpdateInterval, internal::MinUpdateIntervalFactor * took);
}

/** Logs targets whose estimated speed class has changed, and updates the gauge of slow targets. */
void WorkflowRunner::logSpeedChanges() {
  std::map<std::string, TargetSpeed> speeds;
  double slow = 0.0;
  for (const auto& [agent, track] : m_ledger.targets()) {
    const std::string& target = track.report.id();
    const TargetSlowdown slowdown = m_runTimeEstimator.slowdownOf(target);
    const TargetSpeed speed = speeds[target] = speedOf(slowdown);
    slow += speed == TargetSpeed::Slow ? 1.0 : 0.0;
    const auto before = m_speeds.find(target);
    const bool changed = speed != (before == m_speeds.end() ? TargetSpeed::Usual : before->second);
    if (!changed) continue;
    // Both in hundredths. The error is that of the factor's logarithm.
    const auto factor = static_cast<std::uint64_t>(std::lround(internal::WholePercent * std::exp(slowdown.slowness)));
    const auto error = static_cast<std::uint64_t>(std::lround(internal::WholePercent * slowdown.error));
    logEvent(schema::TargetPaceChanged,
             {{"target", target}, {"pace", internal::name_of(speed)}, {"timeFactor", factor}, {"error", error}});
  }
  m_speeds = std::move(speeds);
  m_context.metrics.set("targets_slow", slow);
}

std::vector<schema::TargetStatus> WorkflowRunner::targetStatus() const {
  std::map<std::string, std::uint32_t> runsByAgent;
  for (const auto& [key, track] : m_ledger.runs()) ++runsByAgent[track.agent];
  std::vector<schema::TargetStatus> statuses;
  for (const auto& [agent, track] : m_ledger.targets()) {
    schema::TargetStatus& status = statuses.emplace_back();
    const TargetSlowdown slowdown = m_runTimeEstimator.slowdownOf(track.report.id());
    status.set_id(track.report.id());
    status.set_agent(agent);
    status.set_service(track.report.service());
    status.set_data_hall(track.report.data_hall());
    status.set_rack(track.report.rack());
    status.set_open(m_ledger.open(agent, BootClock::now()) && !isDrained(track));
    status.set_runs(runsByAgent[agent]);
    // The status has factors, so the standard error, which is logarithmic too, is converted.
    status.set_time_factor(std::exp(slowdown.slowness));
    status.set_uncertainty(std::exp(slowdown.error));
  }
  return statuses;
}

/** \returns the expected run time of a step's task on a usual target, ms; the step's estimate if learning is off. */
double WorkflowRunner::expectedMs(const std::string& queue, const schema::StepSpec& step) const {
  const auto estimateMs = static_cast<double>(step.estimate_ms());
  return learnsRunTimes() ? m_runTimeEstimator.expectedMs(queue, estimateMs) : estimateMs;
}

/** \returns the time factor of a target: run time of a task on it relative to that on a usual target; 1 if learning is
 * off. */
double WorkflowRunner::timeFactor(const std::string& target) const {
  return learnsRunTimes() ? m_runTimeEstimator.timeFactor(target) : 1.0;
}

/** \returns the distribution of a queue's run times, or null if forecasts do not use it. */
const RunTimeDistribution* WorkflowRunner::runTimesOf(const std::string& queue) const {
  return m_context.settings.policy().remaining_times() ? &table().runTimeDistribution(queue) : nullptr;
}

/** \returns the remaining run time of a run, ms.
 * \param usualMs expected run time of its whole task on a usual target, ms
 * \param runTimes distribution from which the remaining time of a run past its expected end is taken; may be null */
double WorkflowRunner::remainingMs(const RunTrack& track, double usualMs, const RunTimeDistribution* runTimes) const {
  const double wholeMs = usualMs * timeFactor(track.target);
  const double leftMs = wholeMs * (1.0 - track.percent / internal::WholePercent);
  const std::optional<double> fromProgress =
      learnsRunTimes() ? remainingFromProgressMs(track, BootClock::now()) : std::nullopt;
  const double expectedLeftMs = fromProgress ? *fromProgress : std::max(0.0, leftMs);
  const bool endsNow = track.percent >= internal::WholePercent || (fromProgress && *fromProgress > 0.0);
  const double passed = passedRatio(track, wholeMs, BootClock::now());
  if (runTimes == nullptr || endsNow || passed <= 1.0) return expectedLeftMs;
  return std::max(expectedLeftMs, wholeMs * runTimes->meanRemainingRatio(passed));
}

/** \returns the quantile of a task's run time on a usual target, ms; 0 if forecasts use no distributions. */
double WorkflowRunner::quantileMs(const std::string& queue, double expectedMs) const {
  const RunTimeDistribution* runTimes = runTimesOf(queue);
  return runTimes == nullptr ? 0.0 : expectedMs * runTimes->remainingRatio(0.0, internal::ForecastQuantile);
}

/** Sets the forecasts of a planned run's end. Where the run's own progress is known, it replaces the distribution. */
void WorkflowRunner::forecastEnd(PlannedRun& run, const RunTrack& track, const internal::StepRunInfo& shared) const {
  run.remainingMs = remainingMs(track, shared.expectedMs, shared.runTimes);
  const double wholeMs = shared.expectedMs * timeFactor(track.target);
  if (shared.runTimes == nullptr || !shared.preemptible || wholeMs <= 0.0) return;
  const Time now = BootClock::now();
  const std::optional<double> fromProgress = learnsRunTimes() ? remainingFromProgressMs(track, now) : std::nullopt;
  const bool showsProgress = track.percent >= internal::WholePercent || (fromProgress && *fromProgress > 0.0);
  const double passed = passedRatio(track, wholeMs, now);
  run.outlived = !showsProgress && passed > shared.runTimes->remainingRatio(0.0, internal::ForecastQuantile);
  run.remainingQuantileMs =
      showsProgress ? run.remainingMs : wholeMs * shared.runTimes->remainingRatio(passed, internal::ForecastQuantile);
}

}  // namespace courseloom
