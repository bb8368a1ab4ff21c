// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <optional>
#include <vector>

#include "Courseloom/src/Scheduling/Placer.h"

namespace courseloom {

/** \class RoomMaker
 * \brief Chooses runs to be stopped so that a step finds room, those where the least work is lost first.
 *
 * A gang's runs end together. What stopping costs is worked out once for each rank, and for each target once until
 * something changes there.
 */
class RoomMaker {
 public:
  /** Places for tasks of a step, and what is stopped for them. */
  struct Cleared {
    StepPlacement placement;
    std::vector<std::size_t> victims;  ///< runs, by index
  };

  /** \param endsSoon by run: expected to end soon, and not for too long */
  RoomMaker(const std::vector<PlannedRun>& runs, const TargetIndex& targets, const Placer& placer,
            const std::vector<bool>& endsSoon);

  /** \returns how room is made within one group at the least cost, or nothing if that is not worth it: for a gang as a
   * whole, otherwise for as many tasks as are worth it.
   * \param trustsEnds whether the step counts on runs that are about to end
   * \param worth work of others, core-seconds, that may be lost for one task
   * \param rooms what will be free without this */
  std::optional<Cleared> clear(const StepDemand& demand, const TargetGroups& groups, bool trustsEnds, double worth,
                               const Rooms& rooms);
  /** Takes runs as stopped. */
  void stop(const std::vector<std::size_t>& victims);

 private:
  /** Runs that work of one rank may stop. */
  struct Stoppable {
    std::vector<std::vector<std::size_t>> byTarget;  ///< the cheapest first
    std::vector<std::vector<std::size_t>> byGang;
    std::vector<double> prices;  ///< work that is lost with a run and all that end with it, core-seconds
  };
  class Group;

  const Stoppable& stoppableFor(Rank rank, bool trustsEnds);
  Stoppable makeStoppable(Rank rank, bool trustsEnds) const;
  std::optional<Cleared> clearWithin(const StepDemand& demand, const std::vector<std::size_t>& among,
                                     const Stoppable& stoppable, double worth, double limit, const Rooms& rooms);

  const std::vector<PlannedRun>& m_runs;
  const TargetIndex& m_targets;
  const Placer& m_placer;
  const std::vector<bool>& m_endsSoon;
  std::vector<std::size_t> m_gangOf;  ///< by run; the number of gangs for a task of its own
  std::size_t m_gangs = 0;
  std::vector<bool> m_gone;  ///< by run: chosen as victim
  std::map<std::pair<Rank, bool>, Stoppable> m_stoppable;
};

}  // namespace courseloom
