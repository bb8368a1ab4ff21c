// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/LoadReplay.h"

#include <algorithm>
#include <cmath>

#include "Courseloom/src/Scheduling/Trials.h"

namespace courseloom::test {

namespace {

constexpr double StepMs = 50.0;   ///< of the clock
constexpr double StartMs = 60.0;  ///< from a plan to a run that works: commit, order, begin
constexpr double StopMs = 400.0;
constexpr double NoticeMs = 2000.0;
constexpr double SlowFactor = 3.0;
constexpr double RestartMs = 2000.0;
constexpr double LateShare = 0.25;  ///< of a workflow's worth that is left when it is late
constexpr double WorthlessAfter = 3.0;
constexpr double ClockStartMs = 1e6;  ///< wall clock at the beginning
constexpr double CheckpointLossMs = 300.0;
constexpr double TellingShare = 0.1;     ///< of a task that has to be seen before its pace tells
constexpr double LearnMs = 250.0;        ///< between two fits
constexpr double AtStartMs = 500.0;      ///< a crash this soon after a start accuses the run
constexpr double LivesAfterMs = 2250.0;  ///< a run is seen to live: the start phase and a look
constexpr double BackAfterMs = 3000.0;   ///< a target that a task has crashed
constexpr ResourceAmounts Capacity = {128000, 524288, 8};

/** What workflows of one kind ask for. */
struct Shape {
  double tasks;
  double mostTasks;
  std::vector<std::uint32_t> accelerators;
  std::uint32_t cores;
  double workMs;
  double workSpread;
  double uneven;  ///< among the tasks of a step; a gang's are alike
  bool gang;
  double stretch;
  double latencyMs;
  double worth;
  double saves;  ///< share that checkpoints
  Rank rank;
};

const Shape& shapeOf(ReplayClass kind) {
  static const std::array<Shape, ReplayClasses> shapes = {
      Shape{5, 20, {1, 2, 4, 8, 8}, 15, 2500, 0.5, 0.0, true, 1.5, 250, 4, 0.0, UrgentRank},
      Shape{6, 24, {1, 2, 4, 8, 8}, 52, 8500, 0.3, 0.0, true, 3.0, 1000, 3, 0.45, rankOf(1, false)},
      Shape{39, 150, {1}, 11, 9000, 0.3, 0.15, false, 3.0, 3000, 1, 0.45, rankOf(2, false)}};
  return shapes[static_cast<std::size_t>(kind)];
}

std::string targetName(std::size_t target) { return "t" + std::to_string(target); }

bool within(const std::vector<ReplayTrouble>& troubles, double nowMs) {
  return std::any_of(troubles.begin(), troubles.end(), [nowMs](const ReplayTrouble& trouble) {
    return nowMs >= trouble.fromMs && nowMs < trouble.untilMs;
  });
}

}  // namespace

double ReplayResult::worth() const {
  double owed = 0.0;
  double earned = 0.0;
  for (const Class& one : classes) {
    owed += one.owed;
    earned += one.earned;
  }
  return owed > 0.0 ? earned / owed : 0.0;
}

LoadReplay::LoadReplay(const ReplayPattern& pattern, const ReplayVariant& variant, std::uint64_t seed)
    : m_pattern(pattern),
      m_random(seed),
      m_planner(variant.planner),
      m_speeds(variant.speeds),
      m_crashRule(variant.crashes),
      m_together(variant.together),
      m_trials(variant.trials) {
  m_targets.resize(pattern.targets);
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    m_targets[i].timeFactor = pattern.timeFactors[i % pattern.timeFactors.size()];
  }
  std::shuffle(m_targets.begin(), m_targets.end(), m_random);
  for (const ReplayTrouble& trouble : pattern.slow) {
    for (Target& target : m_targets) {
      if (between(0, 1) >= trouble.share) continue;
      target.slowFrom = trouble.fromMs;
      target.slowUntil = trouble.untilMs;
    }
  }
  for (const ReplayTrouble& trouble : pattern.withdrawals) {
    for (Target& target : m_targets) {
      if (target.leavesAt == 0.0 && between(0, 1) < trouble.share) target.leavesAt = trouble.fromMs + NoticeMs;
    }
  }
}

ReplayResult LoadReplay::play() {
  for (m_nowMs = 0.0; m_nowMs < m_pattern.lastsMs; m_nowMs += StepMs) {
    arrive();
    work();
    crashTargets();
    if (isDark()) continue;
    endRuns();
    plan();
  }
  for (const Job& job : m_jobs) {
    m_result.mostStarts = std::max(m_result.mostStarts, job.startsAfter);
    if (job.givenUp) ++(job.crashing ? m_result.givenUp : m_result.falselyGivenUp);
    if (job.crashing) continue;  // earns nothing and is not missed
    ReplayResult::Class& of = m_result.classes[static_cast<std::size_t>(job.kind)];
    of.owed += job.worth;
    const Shape& shape = shapeOf(job.kind);
    const double objectiveMs = shape.stretch * job.workMs + shape.latencyMs;
    const double tookMs = job.endedMs - job.dueMs;
    if (job.endedMs == 0.0 || tookMs > WorthlessAfter * objectiveMs) {
      ++of.unfinished;
      continue;
    }
    ++of.ended;
    const bool late = tookMs > objectiveMs;
    of.late += late ? 1 : 0;
    of.earned += late ? LateShare * job.worth : job.worth;
  }
  return m_result;
}

// ---- arrivals

void LoadReplay::addJob(ReplayClass kind) {
  const Shape& shape = shapeOf(kind);
  Job& job = m_jobs.emplace_back();
  job.kind = kind;
  job.dueMs = m_nowMs;
  job.readyMs = m_nowMs;
  const double meanMs = std::clamp(shape.workMs * logNormal(shape.workSpread), 300.0, 3.0 * shape.workMs);
  const auto count = static_cast<std::uint32_t>(std::clamp(shape.tasks * logNormal(0.8), 1.0, shape.mostTasks));
  const std::uint32_t accelerators = shape.accelerators[m_random() % shape.accelerators.size()];
  for (std::uint32_t i = 0; i < count; ++i) {
    job.taskMs.push_back(meanMs * logNormal(shape.uneven));
    job.workMs = std::max(job.workMs, job.taskMs.back());
  }
  job.saved.assign(count, 0.0);
  job.done.assign(count, false);
  job.active.assign(count, 0);
  job.number.assign(count, 0);
  job.worth = shape.worth;
  job.saves = between(0, 1) < shape.saves;
  schema::Workflow& record = job.workflow.record;
  record.set_id("w" + std::to_string(m_jobs.size()));
  record.set_service("s");
  record.set_queue("q" + std::to_string(static_cast<int>(kind)));
  schema::StepSpec* spec = record.mutable_spec()->add_steps();
  spec->set_count(count);
  spec->set_gang(shape.gang);
  spec->set_same_rack(shape.gang && count * accelerators <= 8 * m_pattern.perRack && between(0, 1) < 0.7);
  spec->mutable_need()->set_accelerators(accelerators);
  spec->mutable_need()->set_cpu_milli(1000 * shape.cores);
  spec->mutable_need()->set_memory_mb(1000);
  const double spread = kind == ReplayClass::Urgent ? m_pattern.estimateSpread : 0.2;
  spec->set_estimate_ms(static_cast<std::uint64_t>(meanMs * logNormal(spread)));
  m_jobOf[record.id()] = m_jobs.size() - 1;
  if (m_pattern.crashingShare > 0.0 && between(0, 1) < m_pattern.crashingShare) job.crashing = m_random() % count;
}

void LoadReplay::arrive() {
  for (; m_arrived < m_pattern.arrivals.size() && m_pattern.arrivals[m_arrived].atMs <= m_nowMs; ++m_arrived) {
    addJob(m_pattern.arrivals[m_arrived].kind);
  }
}

// ---- targets

bool LoadReplay::isDark() const { return within(m_pattern.dark, m_nowMs); }

bool LoadReplay::isOpen(std::size_t target) const {
  const double leavesAt = m_targets[target].leavesAt;
  if (m_nowMs < m_targets[target].downUntil) return false;
  return leavesAt == 0.0 || m_nowMs < leavesAt - NoticeMs;
}

double LoadReplay::timeFactor(std::size_t target) const {
  const Target& one = m_targets[target];
  const bool slow = m_nowMs >= one.slowFrom && m_nowMs < one.slowUntil;
  return slow ? SlowFactor * one.timeFactor : one.timeFactor;
}

void LoadReplay::work() {
  std::map<std::string, unsigned> there;
  for (const Run& run : m_runs) there[run.gang] += m_nowMs >= run.fromMs ? 1 : 0;
  for (Run& run : m_runs) {
    const Job& job = m_jobs[run.job];
    const bool whole = run.gang.empty() || there[run.gang] == job.done.size();
    if (!whole || m_nowMs < run.fromMs) continue;
    run.heldMs += StepMs;
    if (run.share >= 1.0) continue;  // waits for the rest of its gang
    run.workedMs += StepMs;
    run.share = std::min(1.0, run.share + StepMs / (job.taskMs[run.task] * timeFactor(run.target)));
  }
}

// ---- crashes

void LoadReplay::crashTargets() {
  for (const ReplayTrouble& trouble : m_pattern.crashes) {
    if (m_nowMs < trouble.fromMs || m_nowMs >= trouble.fromMs + StepMs) continue;
    std::vector<std::size_t> crashing;
    for (std::size_t i = 0; i < m_targets.size(); ++i) {
      if (between(0, 1) < trouble.share) crashing.push_back(i);
    }
    for (const std::size_t i : crashing) crash(i, trouble.untilMs, crashing);
  }
  for (std::size_t r = 0; r < m_runs.size(); ++r) {
    const Run& run = m_runs[r];
    Job& job = m_jobs[run.job];
    if (run.lost || job.crashing != run.task || m_nowMs < run.fromMs + m_pattern.crashAfterMs) continue;
    ++job.crashes;
    ++m_result.crashes;
    crash(run.target, m_nowMs + BackAfterMs, {run.target});
  }
}

/** \returns whether targets that crash together speak for a cause outside of a run that is lost with one of them. */
bool LoadReplay::outside(const Run& run, const std::vector<std::size_t>& together) const {
  if (m_together == TogetherRule::AnEighth) {
    return together.size() >= std::max<std::size_t>(3, m_targets.size() / 8);
  }
  if (m_together == TogetherRule::Three) return together.size() >= 3;
  std::set<std::size_t> same;
  for (const Run& other : m_runs) {
    if (other.job == run.job) same.insert(other.target);
  }
  const auto others =
      std::count_if(together.begin(), together.end(), [&same](std::size_t target) { return same.count(target) == 0; });
  return hasExternalCause(static_cast<std::size_t>(others));
}

/** \param together targets that crash now, this one among them */
void LoadReplay::crash(std::size_t target, double untilMs, const std::vector<std::size_t>& together) {
  Target& one = m_targets[target];
  std::vector<schema::CrashKind> kinds;
  for (const Run& run : m_runs) kinds.push_back(kindOf(run));
  for (std::size_t r = 0; r < m_runs.size(); ++r) {
    Run& run = m_runs[r];
    if (run.target != target || run.lost) continue;
    run.lost = true;
    ++m_result.lostRuns;
    schema::ActiveRun active;
    active.set_number(m_jobs[run.job].number[run.task]);
    active.set_target(targetName(target) + "@" + std::to_string(one.lives));
    schema::RunEnd end;
    end.set_kind(schema::RunTargetLost);
    const bool later = !countsAll() && kinds[r] == schema::CrashUnclear;
    end.set_crash(later && outside(run, together) ? schema::NoCrash : kinds[r]);
    const bool innocent = m_jobs[run.job].crashing != run.task;
    m_result.suspected += innocent && end.crash() != schema::NoCrash ? 1 : 0;
    end.set_lived(!countsAll() && lives(run));
    WorkflowState& workflow = m_jobs[run.job].workflow;
    CrashRecord& record = workflow.tasks[{0, 0, run.task}].crashes;
    const bool suspected = record.suspected();
    record.ended(active, end);
    if (suspected && !record.suspected()) --workflow.suspectTasks;
    if (!suspected && record.suspected()) ++workflow.suspectTasks;
  }
  ++one.lives;
  one.downUntil = std::max(one.downUntil, untilMs);
}

bool LoadReplay::lives(const Run& run) const { return m_nowMs - run.fromMs >= LivesAfterMs; }

schema::CrashKind LoadReplay::kindOf(const Run& run) const {
  if (m_nowMs < run.fromMs) return schema::NoCrash;
  if (countsAll()) return schema::CrashUnclear;
  if (m_nowMs - run.fromMs > AtStartMs) return lives(run) ? schema::NoCrash : schema::CrashUnclear;
  const auto justStarted = [&](const Run& other) {
    return other.target == run.target && !other.lost && m_nowMs >= other.fromMs && !lives(other);
  };
  const auto starts = std::count_if(m_runs.begin(), m_runs.end(), justStarted);
  return starts > 1 ? schema::CrashAmongStarts : schema::CrashAtStart;
}

/** Takes the end of a run into what is held against its task. */
void LoadReplay::noteEnd(const Run& run, schema::RunEndKind kind) {
  WorkflowState& workflow = m_jobs[run.job].workflow;
  CrashRecord& record = workflow.tasks[{0, 0, run.task}].crashes;
  if (!record.suspected() || run.lost) return;
  schema::RunEnd end;
  end.set_kind(kind);
  end.set_lived(!countsAll() && lives(run));
  record.ended({}, end);
  if (kind == schema::RunDone) record = CrashRecord();
  if (!record.suspected()) --workflow.suspectTasks;
}

bool LoadReplay::isGivenUp(const Job& job, std::uint32_t task) const {
  const TaskState* state = job.workflow.task({0, 0, task});
  if (state == nullptr) return false;
  const std::vector<schema::TargetCrash>& crashes = state->crashes.crashes();
  const auto alone = std::count_if(crashes.begin(), crashes.end(),
                                   [](const auto& crash) { return crash.kind() == schema::CrashAtStart; });
  switch (m_crashRule) {
    case CrashRule::Never:
      return false;
    case CrashRule::TwoLost:
      return crashes.size() >= 2;
    case CrashRule::ThreeLost:
      return crashes.size() >= 3;
    case CrashRule::TwoAlone:
      return alone >= 2 || state->crashes.shouldGiveUp();
    case CrashRule::Present:
      break;
  }
  return state->crashes.shouldGiveUp();
}

std::set<std::size_t> LoadReplay::trialTargets() const {
  std::set<std::size_t> targets;
  for (const Run& run : m_runs) {
    const bool trial = !run.lost && !lives(run) && m_jobs[run.job].workflow.onTrial({0, 0, run.task});
    if (m_trials && trial) targets.insert(run.target);
  }
  return targets;
}

/** A gang ends with its slowest member. */
bool LoadReplay::gangIsDone(const Run& run) const {
  std::size_t done = 0;
  for (const Run& other : m_runs) done += other.gang == run.gang && other.share >= 1.0 ? 1 : 0;
  return done == m_jobs[run.job].done.size();
}

void LoadReplay::finish(const Run& run) {
  Job& job = m_jobs[run.job];
  --job.active[run.task];
  const double cores = static_cast<double>(shapeOf(job.kind).cores);
  m_result.worked += cores * run.heldMs / 1000.0;
  job.done[run.task] = true;
  if (run.share > run.began)
    m_ended.ran(stepOf(run), targetName(run.target), run.workedMs / (run.share - run.began), 0);
  const bool ended = std::all_of(job.done.begin(), job.done.end(), [](bool done) { return done; });
  if (!ended) return;
  job.endedMs = m_nowMs;
  m_ended.closeWorkflow(job.workflow.record.id());
}

/** Ends a run before it is done. \param lost with its target, so that nothing is saved at the end */
void LoadReplay::stopRun(Run& run, bool lost) {
  Job& job = m_jobs[run.job];
  --job.active[run.task];
  const double cores = static_cast<double>(shapeOf(job.kind).cores) + 8.0 * job.workflow.step(0).need().accelerators();
  const bool keeps = job.saves && !lost;
  if (keeps) job.saved[run.task] = std::max(job.saved[run.task], run.share);
  if (!keeps) m_result.thrownAway += cores * run.heldMs / 1000.0;
  job.readyMs = m_nowMs;
}

void LoadReplay::endRuns() {
  std::set<std::string> broken;
  std::vector<Run> left;
  const std::vector<Run> all = m_runs;
  std::set<std::string> doneGangs;
  for (const Run& run : all) {
    if (!run.gang.empty() && doneGangs.count(run.gang) == 0 && gangIsDone(run)) doneGangs.insert(run.gang);
    const double leavesAt = m_targets[run.target].leavesAt;
    if (!run.gang.empty() && leavesAt > 0.0 && m_nowMs >= leavesAt) broken.insert(run.gang);
    if (!run.gang.empty() && run.lost) broken.insert(run.gang);
    if (m_jobs[run.job].givenUp) broken.insert(run.gang);
  }
  for (Run& run : m_runs) {
    const double leavesAt = m_targets[run.target].leavesAt;
    const bool back = m_nowMs >= m_targets[run.target].downUntil;
    if (run.lost && !back) {
      left.push_back(run);  // nothing tells of its end before the next life does
      continue;
    }
    const bool gone = run.lost || (leavesAt > 0.0 && m_nowMs >= leavesAt);
    const bool done = run.gang.empty() ? run.share >= 1.0 : doneGangs.count(run.gang) > 0;
    const bool stopped = run.stopAtMs > 0.0 && m_nowMs >= run.stopAtMs;
    noteEnd(run, done ? schema::RunDone : schema::RunStopped);
    if (!run.lost && done) {
      finish(run);
    } else if (gone || m_jobs[run.job].givenUp || (!run.gang.empty() && broken.count(run.gang) > 0)) {
      stopRun(run, gone);
    } else if (stopped) {
      stopRun(run, false);
    } else {
      left.push_back(run);
    }
  }
  m_runs = std::move(left);
}

// ---- planning

StepOfRuns LoadReplay::stepOf(const Run& run) const {
  const schema::Workflow& record = m_jobs[run.job].workflow.record;
  const auto estimateMs = static_cast<double>(record.spec().steps(0).estimate_ms());
  return {record.id() + ".0.0", record.queue(), estimateMs, !run.gang.empty()};
}

/** Brings what is expected of run times up to date. */
void LoadReplay::learn() {
  m_runTimeEstimator = m_ended;
  for (const Run& run : m_runs) {
    const double seen = run.share - run.began;
    if (m_speeds != SpeedsKnown::FromRuns || seen < TellingShare) continue;
    m_runTimeEstimator.ran(stepOf(run), targetName(run.target), run.workedMs / seen, 0);
  }
  m_runTimeEstimator.closeAll();
}

TargetSlowdown LoadReplay::slowdownOf(std::size_t target) const {
  if (m_speeds == SpeedsKnown::Nothing) return {};
  if (m_speeds == SpeedsKnown::All) return {std::log(timeFactor(target)), 0.0};
  return m_runTimeEstimator.slowdownOf(targetName(target));
}

double LoadReplay::expectedMs(const Job& job) const {
  return m_runTimeEstimator.expectedMs(job.workflow.record.queue(),
                                       static_cast<double>(job.workflow.step(0).estimate_ms()));
}

double LoadReplay::remainingMs(const Run& run) const {
  const double seen = run.share - run.began;
  if (seen >= TellingShare) return (1.0 - run.share) * run.workedMs / seen;
  return (1.0 - run.share) * expectedMs(m_jobs[run.job]) * std::exp(slowdownOf(run.target).slowness);
}

std::vector<PlannedTarget> LoadReplay::planTargets() const {
  const std::set<std::size_t> trials = trialTargets();
  std::vector<PlannedTarget> targets;
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    PlannedTarget& target = targets.emplace_back();
    target.id = targetName(i);
    target.agent = target.id;
    target.service = "s";
    target.rack = "r" + std::to_string(i / m_pattern.perRack);
    target.capacity = Capacity;
    target.open = isOpen(i) && trials.count(i) == 0;
    target.awaited = target.open;
    target.pace = slowdownOf(i);
  }
  return targets;
}

std::vector<PlannedRun> LoadReplay::planRuns() const {
  std::map<std::string, double> gangMs;
  for (const Run& run : m_runs) gangMs[run.gang] = std::max(gangMs[run.gang], remainingMs(run));
  std::vector<PlannedRun> runs;
  for (const Run& run : m_runs) {
    const Job& job = m_jobs[run.job];
    const schema::StepSpec& spec = job.workflow.step(0);
    PlannedRun& planned = runs.emplace_back();
    planned.key = {job.workflow.record.id(), {0, 0, run.task}, job.number[run.task]};
    planned.target = run.target;
    planned.need = resourceAmountsOf(spec);
    planned.rank = shapeOf(job.kind).rank;
    planned.stopping = run.stopAtMs > 0.0;
    planned.gang = run.gang;
    planned.remainingMs = run.gang.empty() ? remainingMs(run) : gangMs[run.gang];
    const double cores = shapeOf(job.kind).cores + 8.0 * spec.need().accelerators();
    const double lostMs = job.saves ? std::min(run.heldMs, CheckpointLossMs) : run.heldMs;
    planned.lostWork = cores * (lostMs + (run.gang.empty() ? 0.0 : RestartMs)) / 1000.0;
  }
  return runs;
}

std::vector<PlannedStep> LoadReplay::planSteps() {
  std::vector<PlannedStep> steps;
  std::size_t trialsLeft = trialsAllowed(m_targets.size(), trialTargets().size());
  for (Job& job : m_jobs) {
    for (std::uint32_t i = 0; i < job.done.size(); ++i) job.givenUp |= job.active[i] == 0 && isGivenUp(job, i);
    if (job.endedMs > 0.0 || job.givenUp) continue;
    const Shape& shape = shapeOf(job.kind);
    PlannedStep step;
    for (std::uint32_t i = 0; i < job.done.size(); ++i) {
      if (!job.done[i] && job.active[i] == 0) step.tasks.push_back(i);
    }
    if (step.tasks.empty() || (shape.gang && step.tasks.size() < job.done.size())) continue;
    step.workflow = &job.workflow;
    step.rank = shape.rank;
    step.estimateMs = expectedMs(job);
    const double cores = shape.cores + 8.0 * job.workflow.step(0).need().accelerators();
    step.taskWork = cores * step.estimateMs / 1000.0;
    step.objectiveMs = ClockStartMs + job.dueMs + shape.stretch * step.estimateMs + shape.latencyMs;
    step.worthlessMs = ClockStartMs + job.dueMs + WorthlessAfter * (shape.stretch * step.estimateMs + shape.latencyMs);
    step.waitedMs = m_nowMs - job.readyMs;
    if (!m_trials || job.workflow.suspectTasks == 0) {
      steps.push_back(std::move(step));
      continue;
    }
    std::size_t underWay = 0;
    std::size_t lived = 0;
    for (const Run& run : m_runs) {
      const bool own = &m_jobs[run.job] == &job && job.workflow.onTrial({0, 0, run.task});
      if (own) ++(lives(run) && !run.lost ? lived : underWay);
    }
    const bool runs = std::any_of(job.active.begin(), job.active.end(), [](unsigned active) { return active > 0; });
    const std::size_t left = runs ? trialsLeft : std::max<std::size_t>(1, trialsLeft);
    for (PlannedStep& part : splitForTrial(std::move(step), std::min(left, trialsOfStep(underWay, lived)))) {
      if (part.trial) trialsLeft -= std::min(trialsLeft, part.tasks.size());
      steps.push_back(std::move(part));
    }
  }
  return steps;
}

void LoadReplay::start(const RunPlan::Start& start, const PlannedStep& step) {
  const std::size_t number = m_jobOf.at(step.workflow->record.id());
  Job& job = m_jobs[number];
  Run& run = m_runs.emplace_back();
  run.job = number;
  run.task = start.task;
  run.target = start.target;
  run.fromMs = m_nowMs + StartMs;
  run.share = run.began = job.saved[start.task];
  ++job.active[start.task];
  ++job.number[start.task];
  job.workflow.tasks[{0, 0, start.task}].crashes.started();
  if (job.crashing == start.task && job.crashes >= CrashRecord::CrashesAllowed) ++job.startsAfter;
  if (step.isGang()) run.gang = job.workflow.record.id() + "." + std::to_string(job.number[start.task]);
}

void LoadReplay::plan() {
  if (std::fmod(m_nowMs, LearnMs) == 0.0) learn();
  const std::vector<PlannedStep> steps = planSteps();
  if (steps.empty()) return;
  const std::vector<PlannedTarget> targets = planTargets();
  const std::vector<PlannedRun> runs = planRuns();
  const RunPlan plan = m_planner.plan(targets, runs, steps, 2, ClockStartMs + m_nowMs);
  for (const RunPlan::Stop& stop : plan.stops) {
    for (std::size_t r = 0; r < runs.size(); ++r) {
      if (runs[r].key != stop.run || m_runs[r].stopAtMs > 0.0) continue;
      m_runs[r].stopAtMs = m_nowMs + StopMs;
      ++m_result.stops;
    }
  }
  for (const RunPlan::Start& one : plan.starts) start(one, steps[one.step]);
}

}  // namespace courseloom::test
