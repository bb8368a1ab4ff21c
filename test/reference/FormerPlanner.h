// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Scheduling/RunPlanner.h"

namespace courseloom::test {

/** \class FormerPlanner
 * \brief Plain form of RunPlanner, which tries every target and every end anew for each task; tests compare plans with
 * it.
 *
 * Decides which waiting tasks start where, and which runs make room for work of priority 0.
 *
 * A plain class without clock, input or output. Steps are served by rank, then by the time by which they should be
 * done. A gang is placed whole or not at all. Tasks are packed onto the fullest target that holds them, so that whole
 * targets stay free for tasks that need them; the rack of the data and the rack of the gang come first.
 */
class FormerPlanner {
 public:
  explicit FormerPlanner(RunPlannerOptions options = {}) : m_options(options) {}

  /** \param keepFullyFree targets to be kept wholly free for priority 0 \param nowMs wall clock, ms since 1970 */
  RunPlan plan(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs,
               std::vector<PlannedStep> steps, unsigned keepFullyFree = 0, double nowMs = 0.0);

 private:
  using TargetCapacities = std::vector<ResourceAmounts>;
  using StepName = std::pair<std::string, StepKey>;
  struct Choice {
    std::vector<std::size_t> targets;  ///< one for each task
    double cost = 0.0;
  };

  /** ResourceAmounts that will be free for a gang that waits. */
  struct Reservation {
    TargetCapacities rooms;  ///< by target
    double untilMs = 0.0;    ///< time until then; what ends before may use it
  };

  /** Runs that may be stopped, by index among the given runs. */
  struct Stoppable {
    std::map<std::size_t, std::vector<std::size_t>> byTarget;  ///< the cheapest first
    std::map<std::string, std::vector<std::size_t>> gangs;
    std::map<std::size_t, double> prices;  ///< work that is lost with a run and all that end with it, core-seconds
  };
  /** What is stopped so that a target holds one more task. */
  struct Clearing {
    std::size_t target = 0;
    std::vector<std::size_t> victims;
    double price = 0.0;  ///< work that is lost, core-seconds, and the target's penalty
  };

  void age();
  std::vector<std::size_t> servingOrder() const;
  void serve(std::size_t index);
  void servePieces(std::size_t index);
  void serveGang(std::size_t index);
  bool tryGang(const PlannedStep& step, const TargetCapacities& rooms, Choice& choice) const;
  bool tryGroups(const PlannedStep& step, const std::vector<std::vector<std::size_t>>& groups,
                 const TargetCapacities& rooms, Choice& choice) const;
  bool fillGang(const PlannedStep& step, const std::vector<std::size_t>& among, TargetCapacities rooms,
                Choice& choice) const;
  std::optional<std::size_t> best(const PlannedStep& step, const std::vector<std::size_t>& among,
                                  const TargetCapacities& rooms, const std::map<std::string, unsigned>& placed) const;
  double penaltyOf(const PlannedStep& step, const PlannedTarget& target) const;
  bool allowed(const PlannedStep& step, const PlannedTarget& target) const;
  bool preempt(std::size_t index);
  bool preemptForGang(std::size_t index);
  double worthStopping(const PlannedStep& step) const;
  bool trustsEnds(const PlannedStep& step) const;
  const TargetCapacities& laterFor(const PlannedStep& step) const { return trustsEnds(step) ? m_later : m_sure; }
  Stoppable stoppableFor(const PlannedStep& step) const;
  std::vector<std::size_t> wholeOf(const Stoppable& stoppable, std::size_t run) const;
  std::optional<Clearing> clear(const PlannedStep& step, std::size_t target, const Stoppable& stoppable,
                                const std::vector<bool>& gone, ResourceAmounts room) const;
  bool makeRoom(const PlannedStep& step, const std::vector<std::size_t>& among, Choice& choice,
                std::vector<std::size_t>& victims, double& cost) const;
  void reserve(const PlannedStep& step);
  bool keptByReservations(const PlannedStep& step, std::size_t target, const ResourceAmounts& room,
                          const ResourceAmounts& need) const;
  std::optional<double> naturalWait(const PlannedStep& step, Choice& choice,
                                    const std::vector<std::size_t>* among = nullptr) const;
  std::vector<std::size_t> waitedFor(const PlannedStep& step) const;
  bool waitsInPeace(const PlannedStep& step);
  bool keptForUrgent(const PlannedStep& step, std::size_t target, const TargetCapacities& rooms) const;
  static StepName nameOf(const PlannedStep& step) { return {step.workflow->record.id(), step.key}; }
  bool nominatedForOther(const PlannedStep& step, const std::string& target) const;
  void setAside(const PlannedStep& step, const Choice& choice);
  void take(std::size_t index, const std::vector<std::size_t>& chosen);
  void findEndsSoon();
  void orderByEnd();
  static bool isFull(const schema::StepSpec& spec, const std::string& target,
                     const std::map<std::string, unsigned>& placed);
  bool hasOthers(const PlannedStep& step) const;
  void occupy(TargetCapacities& rooms, std::size_t target, const ResourceAmounts& need) const;
  bool couldHold(const PlannedStep& step, const std::vector<std::size_t>& among) const;
  bool wouldServe(const PlannedStep& step, const PlannedTarget& target) const;
  std::vector<std::vector<std::size_t>> gangGroups(const PlannedStep& step) const;
  std::vector<std::size_t> all() const;

  RunPlannerOptions m_options;
  const std::vector<PlannedTarget>* m_targets = nullptr;
  const std::vector<PlannedRun>* m_runs = nullptr;
  std::vector<PlannedStep> m_steps;
  TargetCapacities m_free;   ///< now
  TargetCapacities m_later;  ///< once what is being stopped, or is about to end, has ended
  TargetCapacities m_sure;   ///< once what is being stopped has ended
  std::vector<Reservation> m_reservations;
  unsigned m_keepFullyFree = 0;
  unsigned m_gangStops = 0;  ///< gangs outside priority 0 that made room in this plan
  double m_nowMs = 0.0;
  std::map<StepName, std::set<std::string>> m_nominated;   ///< targets being freed for a step, as of the last plan
  std::map<StepName, std::set<std::string>> m_nominating;  ///< the same, as of this plan
  std::map<StepName, std::set<std::string>> m_waitedFor;   ///< targets that a gang waits for, as of the last plan
  std::map<StepName, std::set<std::string>> m_waitingFor;  ///< the same, as of this plan
  std::map<RunKey, double> m_soonSince;                    ///< wall clock from which a run is expected to end soon
  std::vector<bool> m_endsSoon;                            ///< by run: expected to end soon, and not for too long
  std::vector<std::size_t> m_byEnd;                        ///< runs, the first to end first
  std::vector<bool> m_stopped;                             ///< by run: chosen as victim now
  RunPlan m_plan;
};

}  // namespace courseloom::test
