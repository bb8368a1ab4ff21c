// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/RunLedger.h"

namespace courseloom {

/** \class Room
 * \brief Free room of one target; may fall below zero where room is set aside for somebody.
 */
struct Room {
  std::int64_t cpuMilli = 0;
  std::int64_t memoryMb = 0;
  std::int64_t accelerators = 0;

  void add(const Room& other);
  void subtract(const Room& other);
  bool holds(const Room& need) const;
};

Room roomOf(const schema::Resources& resources);
/** \returns what one task of a step takes; a filler takes no processor time that others could use. */
Room roomOf(const schema::StepSpec& step);

/** Order in which work is served and may make room for itself: lower goes first. */
using Rank = std::uint32_t;
/** Work of priority 0 within its tenant's guarantee; may stop whatever is not. */
inline constexpr Rank GuaranteedRank = 0;
/** Other work of priority 0; may stop work of lower priority. */
inline constexpr Rank UrgentRank = 1;
/** \returns the rank of a workflow. \param guaranteed whether it lies within its tenant's guarantee */
Rank rankOf(std::uint32_t priority, bool guaranteed);

/** \class PlannedTarget
 * \brief One target as the planner sees it.
 */
struct PlannedTarget {
  std::string id;
  std::string agent;
  std::string service;
  std::string rack;
  std::set<std::string> labels;
  Room capacity;
  bool open = false;     ///< may be given new runs
  bool single = false;   ///< may have one run at a time: it has yet to show that it works
  double penalty = 0.0;  ///< added to its cost: slow or failing targets come last
};

/** \class PlannedRun
 * \brief One active run as the planner sees it.
 */
struct PlannedRun {
  RunKey key;
  std::size_t target = 0;
  Room need;
  Rank rank = UrgentRank;
  bool stopping = false;
  bool movable = true;       ///< may be stopped to make room
  std::string gang;          ///< names the gang's run; empty for a task of its own
  double lostWork = 0.0;     ///< core-seconds since its last checkpoint
  double remainingMs = 0.0;  ///< expected time until it ends
};

/** \class PlannedStep
 * \brief Tasks of one step that wait for room.
 */
struct PlannedStep {
  const WorkflowState* workflow = nullptr;
  StepKey key;
  std::vector<std::uint32_t> tasks;  ///< indexes that wait; for a gang all of them
  Rank rank = UrgentRank;
  double objectiveMs = 0.0;  ///< wall clock by which the workflow should be done
  double worthlessMs = 0.0;  ///< wall clock from which its end is worth nothing; 0 is never
  double taskWork = 0.0;     ///< core-seconds of one task, as estimated
  double estimateMs = 0.0;   ///< expected run time of one task
  double waitedMs = 0.0;     ///< time since the step became ready
  bool isUrgent() const { return rank <= UrgentRank; }
  std::set<std::string> avoided;             ///< targets on which it has failed: used only if no other could hold it
  std::map<std::string, unsigned> placedOn;  ///< tasks of this step by target id, for the limit on one target
  /** Targets that may run it, with their tickets; nothing where no permission is needed. */
  std::optional<std::map<std::string, std::string>> tickets;
};

/** What a step's workflow can still earn; within a rank, lower goes first. */
enum class Prospect : std::uint8_t { InTime, Late, Worthless };
/** \returns the prospect of a step that starts now. \param nowMs wall clock, ms since 1970 */
Prospect prospectOf(const PlannedStep& step, double nowMs);

/** \class RunPlan
 * \brief What to start and what to stop.
 */
struct RunPlan {
  struct Start {
    std::size_t step = 0;  ///< index among the given steps
    std::uint32_t task = 0;
    std::size_t target = 0;
  };
  struct Stop {
    RunKey run;
    std::size_t forStep = 0;  ///< index among the given steps: what the room is for
  };
  std::vector<Start> starts;
  std::vector<Stop> stops;
};

/** \returns the starts whose targets are within reach now; of a gang all or none.
 * \param withheld takes the targets, by index, on which a start has to wait */
std::vector<RunPlan::Start> startsInReach(const RunPlan& plan, const std::vector<PlannedStep>& steps,
                                          const std::function<bool(std::size_t target)>& inReach,
                                          std::set<std::size_t>& withheld);

/** \class RunPlannerOptions
 * \brief Switches with which proofs and benches turn one mechanism off; all on in production.
 */
struct RunPlannerOptions {
  bool preemption = true;  ///< priority 0 makes room for itself
  /** Work of any priority above 0 that waited this many of its run times is served like that of priority 1, so that
   * lasting overload starves no class; 0 is never. */
  double ageAfterEstimates = 2.0;
  bool prospects = true;              ///< what can still be in time goes before what is late already
  unsigned reservations = 8;          ///< gangs that wait and keep their places against later work
  double spreadAfterEstimates = 2.0;  ///< a gang of one rack waits this many run times before it spreads, and is slower
  double reserveAfterMs = 1000.0;     ///< wait after which a gang gets a reservation
  double backfillMargin = 2.0;        ///< later work may use reserved room if this many estimates of it end in time
  bool stickyReservations = true;     ///< a gang keeps the targets that it once chose to wait for
  bool patience = true;       ///< priority 0 waits for runs that end by themselves in time, rather than stop others
  double endsSoonMs = 500.0;  ///< a run that ends within this time is not worth stopping
  double endsSoonTrustMs = 1000.0;  ///< a run that should have ended for this long is no longer counted on
  /** Wait after which guaranteed work counts on no end any more and stops what it needs: the promise, less a stop. */
  double guaranteedTrustMs = 2300.0;
  double patienceShare = 0.5;        ///< share of the time to its objective that it may wait so
  double urgentPatienceShare = 0.8;  ///< the same outside guarantees, which no promise bounds
  double patienceLimitMs = 1400.0;   ///< longest wait after which others are stopped for it
  /** Work that may be lost for each unit of urgent work outside guarantees; within them any may be. */
  double lossRatio = 0.8;
  /** The same for a gang of any other priority that has waited, at the cost of lower ones; 0 is never. */
  double gangLossRatio = 0.0;
  double gangStopsAfterMs = 1000.0;  ///< wait after which such a gang stops others
  unsigned gangStopsAtOnce = 4;      ///< such gangs that make room for themselves in one plan
  bool nominations = true;           ///< a target that is being freed for a step is the last choice of others
  bool yields = true;                ///< urgent work that is late already stops nothing outside its guarantee
  bool headroom = true;              ///< whole targets are kept free for priority 0
  double headroomWaitMs = 4000.0;    ///< wait after which other work may take them all the same
};

/** \class RunPlanner
 * \brief Decides which waiting tasks start where, and which runs make room for work of priority 0.
 *
 * A plain class without clock, input or output. Steps are served by rank, then by the time by which they should be
 * done. A gang is placed whole or not at all. Tasks are packed onto the fullest target that holds them, so that whole
 * targets stay free for tasks that need them; the rack of the data and the rack of the gang come first.
 */
class RunPlanner {
 public:
  explicit RunPlanner(RunPlannerOptions options = {}) : m_options(options) {}

  /** \param keepWhole targets to be kept wholly free for priority 0 \param nowMs wall clock, ms since 1970 */
  RunPlan plan(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs,
               std::vector<PlannedStep> steps, unsigned keepWhole = 0, double nowMs = 0.0);

 private:
  using Rooms = std::vector<Room>;
  using StepName = std::pair<std::string, StepKey>;
  struct Choice {
    std::vector<std::size_t> targets;  ///< one for each task
    double cost = 0.0;
  };

  /** Room that will be free for a gang that waits. */
  struct Reservation {
    Rooms rooms;           ///< by target
    double untilMs = 0.0;  ///< time until then; what ends before may use it
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
  bool tryGang(const PlannedStep& step, const Rooms& rooms, Choice& choice) const;
  bool tryGroups(const PlannedStep& step, const std::vector<std::vector<std::size_t>>& groups, const Rooms& rooms,
                 Choice& choice) const;
  bool fillGang(const PlannedStep& step, const std::vector<std::size_t>& among, Rooms rooms, Choice& choice) const;
  std::optional<std::size_t> best(const PlannedStep& step, const std::vector<std::size_t>& among, const Rooms& rooms,
                                  const std::map<std::string, unsigned>& placed) const;
  double penaltyOf(const PlannedStep& step, const PlannedTarget& target) const;
  bool allowed(const PlannedStep& step, const PlannedTarget& target) const;
  bool preempt(std::size_t index);
  bool preemptForGang(std::size_t index);
  double worthStopping(const PlannedStep& step) const;
  bool trustsEnds(const PlannedStep& step) const;
  const Rooms& laterFor(const PlannedStep& step) const { return trustsEnds(step) ? m_later : m_sure; }
  Stoppable stoppableFor(const PlannedStep& step) const;
  std::vector<std::size_t> wholeOf(const Stoppable& stoppable, std::size_t run) const;
  std::optional<Clearing> clear(const PlannedStep& step, std::size_t target, const Stoppable& stoppable,
                                const std::vector<bool>& gone, Room room) const;
  bool makeRoom(const PlannedStep& step, const std::vector<std::size_t>& among, Choice& choice,
                std::vector<std::size_t>& victims, double& cost) const;
  void reserve(const PlannedStep& step);
  bool keptByReservations(const PlannedStep& step, std::size_t target, const Room& room, const Room& need) const;
  std::optional<double> naturalWait(const PlannedStep& step, Choice& choice,
                                    const std::vector<std::size_t>* among = nullptr) const;
  std::vector<std::size_t> waitedFor(const PlannedStep& step) const;
  bool waitsInPeace(const PlannedStep& step);
  bool keptForUrgent(const PlannedStep& step, std::size_t target, const Rooms& rooms) const;
  static StepName nameOf(const PlannedStep& step) { return {step.workflow->record.id(), step.key}; }
  bool nominatedForOther(const PlannedStep& step, const std::string& target) const;
  void setAside(const PlannedStep& step, const Choice& choice);
  void take(std::size_t index, const std::vector<std::size_t>& chosen);
  void findEndsSoon();
  void orderByEnd();
  static bool isFull(const schema::StepSpec& spec, const std::string& target,
                     const std::map<std::string, unsigned>& placed);
  bool hasOthers(const PlannedStep& step) const;
  void occupy(Rooms& rooms, std::size_t target, const Room& need) const;
  bool couldHold(const PlannedStep& step, const std::vector<std::size_t>& among) const;
  bool wouldServe(const PlannedStep& step, const PlannedTarget& target) const;
  std::vector<std::vector<std::size_t>> gangGroups(const PlannedStep& step) const;
  std::vector<std::size_t> all() const;

  RunPlannerOptions m_options;
  const std::vector<PlannedTarget>* m_targets = nullptr;
  const std::vector<PlannedRun>* m_runs = nullptr;
  std::vector<PlannedStep> m_steps;
  Rooms m_free;   ///< now
  Rooms m_later;  ///< once what is being stopped, or is about to end, has ended
  Rooms m_sure;   ///< once what is being stopped has ended
  std::vector<Reservation> m_reservations;
  unsigned m_keepWhole = 0;
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

}  // namespace courseloom
