// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/RunLedger.h"
#include "Courseloom/src/Scheduling/RunPlanner.h"
#include "Courseloom/src/State/RunTimeEstimator.h"

namespace courseloom::test {

/** Kinds of workflow in a replay; each has a queue of its own. */
enum class ReplayClass : std::uint8_t { Urgent, Gangs, Pieces };
inline constexpr std::size_t ReplayClasses = 3;

/** Workflows of one kind that come together at one time. */
struct ReplayArrival {
  double atMs = 0.0;
  ReplayClass kind = ReplayClass::Urgent;
};

/** A time during which something is out of order. */
struct ReplayTrouble {
  double fromMs = 0.0;
  double untilMs = 0.0;
  double share = 0.0;  ///< of the targets
};

/** \class ReplayPattern
 * \brief A load: targets, what comes when, and what goes wrong.
 */
struct ReplayPattern {
  std::string name;
  std::size_t targets = 40;
  std::size_t perRack = 8;
  std::vector<double> timeFactors = {1.0};  ///< by target in turn, shuffled: run time against the usual one
  std::vector<ReplayArrival> arrivals;
  double estimateSpread = 0.5;      ///< standard deviation of the logarithm of urgent estimates against the truth
  std::vector<ReplayTrouble> dark;  ///< nothing is planned or noticed
  std::vector<ReplayTrouble> slow;  ///< targets take three times as long
  std::vector<ReplayTrouble> withdrawals;  ///< targets leave for good 2 s after they said so
  std::vector<ReplayTrouble> crashes;      ///< targets crash, and are back at the end
  double crashingShare = 0.0;              ///< of the workflows: one of the tasks crashes each target that starts it
  double crashAfterMs = 10.0;              ///< from its start
  double lastsMs = 60000.0;
};

/** \returns the patterns of the bench, drawn from a seed: bursts, targets of different speeds, outages, withdrawals. */
std::vector<ReplayPattern> replayPatterns(std::uint64_t seed);

/** What is known of the targets' speeds. */
enum class SpeedsKnown : std::uint8_t {
  Nothing,
  FromEnds,  ///< learnt from runs that have ended
  FromRuns,  ///< and from those that run
  All,       ///< known from the beginning: a bound that nothing can reach
};

/** When a task under which targets have crashed is started no more. */
enum class CrashRule : std::uint8_t {
  Never,
  TwoLost,    ///< two targets were lost under it, however long after a start
  ThreeLost,  ///< three targets
  TwoAlone,   ///< two crashed right after its start, with nothing else just started there
  Present,    ///< as CrashRecord says
};

/** Which targets that crash at one moment speak for a cause outside of what ran there a while. */
enum class TogetherRule : std::uint8_t {
  AnEighth,   ///< an eighth of all, three at least
  Three,      ///< any three
  OtherWork,  ///< as RunLedger says: others that ran nothing of the same workflow
};

/** \returns a pattern of each kind of crash: by tasks, of many targets, and both. */
std::vector<ReplayPattern> crashPatterns(std::uint64_t seed);
/** \returns patterns in which a share of the targets crashes each 3 s, on a number of targets. */
std::vector<ReplayPattern> wavePatterns(std::uint64_t seed, std::size_t targets);

/** \class ReplayVariant
 * \brief Ways to decide that are compared on the same load.
 */
struct ReplayVariant {
  std::string name;
  RunPlannerOptions planner;
  SpeedsKnown speeds = SpeedsKnown::FromRuns;
  CrashRule crashes = CrashRule::Present;
  bool trials = true;  ///< tasks under which targets have crashed are tried apart
  TogetherRule together = TogetherRule::OtherWork;
};

/** \class ReplayResult
 * \brief What a load came to.
 */
struct ReplayResult {
  struct Class {
    double owed = 0.0;  ///< worth of all workflows, if each ended in time
    double earned = 0.0;
    unsigned ended = 0;
    unsigned late = 0;
    unsigned unfinished = 0;
  };
  std::array<Class, ReplayClasses> classes;
  double thrownAway = 0.0;  ///< core-seconds
  double worked = 0.0;      ///< core-seconds
  unsigned stops = 0;
  unsigned crashes = 0;         ///< of targets, by tasks
  unsigned lostRuns = 0;        ///< with a target that crashed
  unsigned givenUp = 0;         ///< workflows with a task that crashes targets
  unsigned falselyGivenUp = 0;  ///< others
  unsigned suspected = 0;       ///< runs that crashed no target and were held against their tasks
  unsigned mostStarts = 0;      ///< of one task after the third crash that it caused
  /** \returns the share of the worth owed that was earned. */
  double worth() const;
};

/** \class LoadReplay
 * \brief Plays arrivals from a seed against the planner and what it learns, on a clock of its own.
 *
 * No sockets and no replication: a start takes a fixed time, a stop too. A gang works from the moment all its members
 * are there and ends with its slowest. It is no model of the platform and decides nothing by itself: it makes a hundred
 * seeds cheap, where the worth of a played day varies by about 0.09.
 */
class LoadReplay {
 public:
  LoadReplay(const ReplayPattern& pattern, const ReplayVariant& variant, std::uint64_t seed);
  ReplayResult play();

 private:
  struct Target {
    double timeFactor = 1.0;
    double slowFrom = 0.0;
    double slowUntil = 0.0;
    double leavesAt = 0.0;  ///< 0 is never
    double downUntil = 0.0;
    unsigned lives = 1;
  };
  struct Job {
    ReplayClass kind = ReplayClass::Urgent;
    WorkflowState workflow;
    double dueMs = 0.0;
    double workMs = 0.0;                ///< longest task on a usual target
    std::vector<double> taskMs;         ///< by task
    std::vector<double> saved;          ///< share of a task that is done and saved
    std::vector<bool> done;             ///< by task
    std::vector<unsigned> active;       ///< runs by task
    std::vector<std::uint32_t> number;  ///< last run by task
    double worth = 0.0;
    bool saves = false;
    double readyMs = 0.0;
    double endedMs = 0.0;                   ///< 0 is not yet
    std::optional<std::uint32_t> crashing;  ///< the task that crashes targets
    unsigned crashes = 0;                   ///< that it has caused
    unsigned startsAfter = 0;               ///< its starts since the third of them
    bool givenUp = false;
  };
  struct Run {
    std::size_t job = 0;
    std::uint32_t task = 0;
    std::size_t target = 0;
    double fromMs = 0.0;    ///< from when it can work
    bool lost = false;      ///< with its target
    bool trial = false;     ///< tried apart
    double share = 0.0;     ///< of the task that is done
    double stopAtMs = 0.0;  ///< when a stop that was asked for is carried out; 0 is none
    double began = 0.0;     ///< share at its start
    double workedMs = 0.0;
    double heldMs = 0.0;  ///< beside its work the time for which it waited for its gang to end
    std::string gang;
  };

  void addJob(ReplayClass kind);
  void arrive();
  void work();
  void crashTargets();
  void crash(std::size_t target, double untilMs, const std::vector<std::size_t>& together);
  bool outside(const Run& run, const std::vector<std::size_t>& together) const;
  schema::CrashKind kindOf(const Run& run) const;
  void noteEnd(const Run& run, schema::RunEndKind kind);
  bool isGivenUp(const Job& job, std::uint32_t task) const;
  bool lives(const Run& run) const;
  /** \returns whether each lost target counts against all that ran there. */
  bool countsAll() const { return m_crashRule == CrashRule::TwoLost || m_crashRule == CrashRule::ThreeLost; }
  std::set<std::size_t> trialTargets() const;
  void endRuns();
  bool gangIsDone(const Run& run) const;
  void finish(const Run& run);
  void stopRun(Run& run, bool lost);
  void plan();
  StepOfRuns stepOf(const Run& run) const;
  void learn();
  TargetSlowdown slowdownOf(std::size_t target) const;
  std::vector<PlannedTarget> planTargets() const;
  std::vector<PlannedRun> planRuns() const;
  std::vector<PlannedStep> planSteps();
  void start(const RunPlan::Start& start, const PlannedStep& step);
  double timeFactor(std::size_t target) const;
  double expectedMs(const Job& job) const;
  double remainingMs(const Run& run) const;
  bool isDark() const;
  bool isOpen(std::size_t target) const;
  double between(double least, double most) { return std::uniform_real_distribution<double>(least, most)(m_random); }
  double logNormal(double spread) { return std::exp(std::normal_distribution<double>(0.0, spread)(m_random)); }

  ReplayPattern m_pattern;
  std::mt19937_64 m_random;
  std::vector<Target> m_targets;
  std::deque<Job> m_jobs;
  std::map<std::string, std::size_t> m_jobOf;  ///< by workflow
  std::vector<Run> m_runs;
  std::size_t m_arrived = 0;
  double m_nowMs = 0.0;
  RunPlanner m_planner;
  SpeedsKnown m_speeds;
  CrashRule m_crashRule;
  TogetherRule m_together;
  bool m_trials;
  RunTimeEstimator m_ended;             ///< learnt from runs that have ended
  RunTimeEstimator m_runTimeEstimator;  ///< and from those that run
  ReplayResult m_result;
};

}  // namespace courseloom::test
