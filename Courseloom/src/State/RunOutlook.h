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

/** \class TargetPace
 * \brief How slow one target is believed to be.
 */
struct TargetPace {
  /** Logarithm of its run times against those of a usual target: 0.7 is twice as long. */
  double slowness = 0.0;
  /** Standard error of that. */
  double error = 0.0;
};

/** How targets are told apart where that is told. */
enum class TargetSpeed : std::uint8_t { Usual, Slow, Fast };
/** \returns the kind of a target: usual, unless it surely is not. */
TargetSpeed speedOf(const TargetPace& pace);

/** \class StepOfRuns
 * \brief Whose tasks ran, as far as it matters to their run times.
 */
struct StepOfRuns {
  std::string name;  ///< "WORKFLOW.OCCURRENCE.STEP"
  std::string queue;
  double estimateMs = 0.0;
  bool gang = false;  ///< all its tasks do the same work
};

/** \class RunOutlook
 * \brief Run times to be expected of a task on a target, learnt from what ran.
 *
 * The logarithm of a run's time is taken as the sum of what its step asks for and how slow its target is. What runs of
 * one step show on several targets tells these apart: the members of a gang do the same work, so that one gang tells
 * its targets' speeds to a few hundredths; other tasks of a step differ by about a seventh. When its workflow has
 * ended, the belief in each of its targets is renewed, and what the step asked for, free of its targets, goes to its
 * queue.
 *
 * It is part of the replicated state, so that a new leader, also one that began from a snapshot, knows what the former
 * one knew. Source of the idea: throughputs of work on unlike machines as in Gavel (Narayanan et al., OSDI 2020); the
 * update is that of a Kalman filter whose random walk lets a target turn slow.
 */
class RunOutlook {
 public:
  /** Targets' lives that are remembered; the one not seen for the longest time goes first. */
  static constexpr std::size_t MostTargets = 4096;

  /** Takes in what a run showed. \param wholeMs time that a task takes there from its beginning to its end
   * \param nowMs wall clock */
  void ran(const StepOfRuns& step, const std::string& target, double wholeMs, std::uint64_t nowMs);
  /** Learns from the steps of a workflow that has ended, and forgets them. */
  void closeWorkflow(const std::string& workflow);
  /** Learns from all steps as they are by now; for a copy that is used for a moment. */
  void closeAll();
  /** Forgets a target whose life is over. */
  void forget(const std::string& target) { m_beliefs.erase(target); }

  /** \returns the run time of a task to be expected on a usual target, ms. */
  double expectedMs(const std::string& queue, double estimateMs) const { return m_times.expectedMs(queue, estimateMs); }
  /** \returns how slow a target is; usual, with the error of a guess, if nothing was seen of it. */
  TargetPace paceOf(const std::string& target) const;
  /** \returns how many times as long as on a usual target a task takes on one. */
  double timeFactor(const std::string& target) const;
  std::size_t targets() const { return m_beliefs.size(); }
  std::size_t openSteps() const { return m_open.size(); }

  void save(schema::StateSnapshot& snapshot) const;
  void load(const schema::StateSnapshot& snapshot);

 private:
  struct Belief {
    double slowness = 0.0;
    double variance = 0.0;
    std::uint64_t seenMs = 0;
  };
  struct OpenStep {
    StepOfRuns step;
    std::map<std::string, std::vector<double>> logs;  ///< of run times in ms, by target
    std::uint64_t seenMs = 0;
  };
  /** What one target shows of a step. */
  struct Sight {
    Belief* belief = nullptr;
    double value = 0.0;     ///< logarithm of the run time against the estimate
    double variance = 0.0;  ///< of that, beside what is not known of the step and the target
    double ofStep = 0.0;    ///< the value less the target's slowness, within bounds
  };

  Belief& beliefIn(const std::string& target);
  std::vector<Sight> sightsOf(const OpenStep& step);
  static void boundOfStep(std::vector<Sight>& sights);
  void learn(const OpenStep& step);

  std::map<std::string, Belief> m_beliefs;  ///< by target
  std::map<std::string, OpenStep> m_open;   ///< by step
  RunTimes m_times;
};

}  // namespace courseloom
