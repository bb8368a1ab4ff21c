// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <limits>
#include <vector>

#include "Courseloom/src/Scheduling/TargetIndex.h"

namespace courseloom {

/** How the speeds of targets influence the placement of a step. */
enum class SpeedUse : std::uint8_t {
  None,    ///< not at all
  Order,   ///< through the costs of targets
  Choice,  ///< also, an urgent step does not use targets on which it would end late if others could hold it
};

/** \class StepDemand
 * \brief What one waiting step requires of targets, as plain numbers. It refers to nothing outside the pass.
 */
struct StepDemand {
  static constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();
  static constexpr std::size_t AnyRack = std::numeric_limits<std::size_t>::max();

  std::size_t step = 0;  ///< index among the given steps
  Rank rank = UrgentRank;
  unsigned band = 0;  ///< always 0 for guaranteed work; lowered by waiting
  Prospect prospect = Prospect::InTime;
  ResourceAmounts need;   ///< demand of one task
  std::size_t tasks = 0;  ///< number of tasks that wait
  bool gang = false;
  bool sameRack = false;
  bool trial = false;              ///< its tasks are trial starts: one per target, and no other start there in the pass
  bool waitsForData = false;       ///< may not yet run outside the rack of its data
  std::size_t dataRack = AnyRack;  ///< rack of its data
  std::size_t maxPerTarget = Unlimited;
  double estimateMs = 0.0;          ///< expected run time of one task, ms
  double estimateQuantileMs = 0.0;  ///< quantile of it, ms; 0 if no distribution is known
  double waitedMs = 0.0;            ///< time since the step became ready, ms
  double objectiveMs = 0.0;         ///< wall clock by which the workflow should end, ms since 1970
  double taskWork = 0.0;            ///< estimated work of one task, core-seconds
  /** By target: how much more probable it is that a task ends late there than on a usual target, 0 to 1; null if speeds
   * are not considered or the probability is about the same on all targets. */
  const std::vector<double>* lateChances = nullptr;
  TargetList eligible;  ///< targets that may run it while they are open
  bool shared = true;   ///< whether other steps of the same requirements may use exactly these targets
  std::vector<std::pair<std::size_t, std::size_t>> placed;  ///< targets and numbers of its tasks there, ascending
  std::vector<std::size_t> nominated;                       ///< targets that are being freed for it, ascending

  bool isUrgent() const { return rank <= UrgentRank; }
  /** \returns whether a rack is not that of the step's data; false if the step prefers no rack. */
  bool isAwayFromData(std::size_t rack) const { return dataRack != AnyRack && rack != dataRack; }
  /** \returns how many more of its tasks a target may receive under maxPerTarget. */
  std::size_t remainingOn(std::size_t target) const;
  /** \returns whether a target is being freed for the step. */
  bool isNominated(std::size_t target) const;
  /** Records one more of its tasks on a target. */
  void addTaskOn(std::size_t target);
};

/** \returns the demand of a step. Targets on which it has failed are excluded if others could hold it.
 * \param index index of the step among the given steps \param nowMs wall clock, ms since 1970
 * \param speeds how the speeds of targets influence its placement */
StepDemand makeDemand(const PlannedStep& step, std::size_t index, TargetIndex& targets, double nowMs, SpeedUse speeds);

/** How couldHold() counts a target that is limited to one run or start until a run shows that it works. */
enum class OnProbation : std::uint8_t {
  WillPass,  ///< with its total capacity
  TakesOne,  ///< with one run
};

/** \returns whether targets could hold all tasks of a step if nothing else ran there. Closed targets count only if they
 * are expected to open, since the step would never get the others. */
bool couldHold(const StepDemand& demand, const TargetIndex& targets, const std::vector<std::size_t>& among,
               OnProbation onProbation = OnProbation::WillPass);

}  // namespace courseloom
