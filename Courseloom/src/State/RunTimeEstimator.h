// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Courseloom/src/State/RunTimes.h"
#include "generated/state.pb.h"

namespace courseloom {

/** \class TargetSlowdown
 * \brief Estimated slowdown of one target.
 */
struct TargetSlowdown {
  /** Logarithm of the target's run times relative to those of a usual target: 0.7 is twice as long. */
  double slowness = 0.0;
  /** Standard error of the slowdown, also on the logarithmic scale. */
  double error = 0.0;
};

/** Class of a target's speed, as log events name it. */
enum class TargetSpeed : std::uint8_t { Usual, Slow, Fast };
/** \returns the class of a target's speed: Usual if its absolute slowdown is below 0.1 or below its standard error. */
TargetSpeed speedOf(const TargetSlowdown& pace);

/** \class ObservedStep
 * \brief The properties of a step that its tasks' run times depend on.
 */
struct ObservedStep {
  std::string name;         ///< "WORKFLOW.OCCURRENCE.STEP"
  std::string queue;        ///< queue whose run times are learnt from the step
  double estimateMs = 0.0;  ///< estimated run time of one task, as submitted; 0 if there is none
  bool gang = false;        ///< whether all its tasks do the same work
};

/** \class RunTimeEstimator
 * \brief Predicts the run time of a task on a target from the run times seen.
 *
 * The logarithm of a run time is modelled as the sum of the amount of work of the run's step and the slowdown of its
 * target. The runs of one step on several targets separate the two. The members of a gang do the same work, so one gang
 * determines the slowdowns of its targets to a few hundredths. Other tasks of a step differ by about a seventh. When a
 * workflow has ended, the estimated slowdown of each of its targets is updated, and the step's amount of work,
 * corrected for the slowdowns of its targets, is added to the run times of its queue.
 *
 * The estimator is part of the replicated state, so that a new leader, also one that started from a snapshot, has the
 * estimates of the former leader. Source of the idea: throughputs of work on unlike machines as in Gavel (Narayanan et
 * al., OSDI 2020). The update is that of a Kalman filter whose random walk allows a target's slowdown to change.
 */
class RunTimeEstimator {
 public:
  /** Largest number of target incarnations with an estimate; the one with the oldest last run is evicted first. */
  static constexpr std::size_t MaxTargets = 4096;

  /** Records the run time of a task; a run time or an estimate of the step that is not above 0 is ignored.
   * \param fullRunMs time that the whole task takes on the target from its beginning to its end, ms
   * \param nowMs wall clock, ms since 1970 */
  void recordRunTime(const ObservedStep& step, const std::string& target, double fullRunMs, std::uint64_t nowMs);
  /** Updates the estimates from the steps of a workflow that has ended, and removes these steps. */
  void closeWorkflow(const std::string& workflow);
  /** Updates the estimates from the runs so far of all open steps, and removes the steps. Meant for short-lived copies,
   * since later runs of these steps would count as new steps. */
  void includeOpenSteps();
  /** Removes the estimate of a target incarnation that has ended. */
  void forget(const std::string& target) { m_estimates.erase(target); }

  /** \returns the expected run time of a task on a usual target, ms. */
  double expectedMs(const std::string& queue, double estimateMs) const { return m_times.expectedMs(queue, estimateMs); }
  /** \returns the slowdown of a target; 0 with the standard error of the initial estimate if no run counted yet. */
  TargetSlowdown slowdownOf(const std::string& target) const;
  /** \returns the run time of a task on a target relative to that on a usual target; 1 is equal, 2 is twice as long. */
  double timeFactor(const std::string& target) const;
  /** \returns the number of target incarnations with an estimate. */
  std::size_t targets() const { return m_estimates.size(); }
  /** \returns the number of steps with recorded runs that did not update the estimates yet. */
  std::size_t openSteps() const { return m_open.size(); }

  /** Adds the estimates, the open steps and the run times of queues to a snapshot. */
  void save(schema::StateSnapshot& snapshot) const;
  /** Replaces the estimates, the open steps and the run times of queues by those of a snapshot. */
  void load(const schema::StateSnapshot& snapshot);

 private:
  /** State of a target's filter. */
  struct TargetEstimate {
    double slowdown = 0.0;
    double variance = 0.0;
    std::uint64_t lastSeenMs = 0;  ///< lastSeenMs of the step that updated it last
  };
  struct OpenStep {
    ObservedStep info;
    std::map<std::string, std::vector<double>> logTimes;  ///< logarithms of run times in ms, by target
    std::uint64_t lastSeenMs = 0;                         ///< when its newest run was recorded, ms since 1970
  };
  /** What the runs of one step on one target show. */
  struct Observation {
    TargetEstimate* targetEstimate = nullptr;
    double value = 0.0;       ///< logarithm of the median run time relative to the step's estimate
    double variance = 0.0;    ///< of the value, without the uncertainty of the step's work and the target's slowdown
    double stepEffect = 0.0;  ///< the value minus the target's slowdown, clamped to a range around the median
  };

  /** \returns the estimate of a target, newly added if there is none; may evict another target's. */
  TargetEstimate& estimateFor(const std::string& target);
  /** \returns one observation for each target on which the step ran. */
  std::vector<Observation> observationsOf(const OpenStep& step);
  static void clampStepEffects(std::vector<Observation>& observations);
  /** Updates the estimates of a step's targets and the run times of its queue from the runs of the step. */
  void learn(const OpenStep& step);

  std::map<std::string, TargetEstimate> m_estimates;  ///< by target
  std::map<std::string, OpenStep> m_open;             ///< by step
  RunTimes m_times;
};

}  // namespace courseloom
