// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/soak/RunHistory.h"

#include <algorithm>
#include <sstream>

namespace courseloom::test {

namespace {

/** Only a part of a gang may run for this long: orders may be in transit, faults may act, leases have to expire. */
constexpr Duration PartialGangLimit = milliseconds(20000);
/** After CrashesBeforeLimit crashes, a task that causes them may be started at most MaxStartsAfterCrashes more times.
 */
constexpr std::size_t CrashesBeforeLimit = 3;
constexpr std::ptrdiff_t MaxStartsAfterCrashes = 2;
/** A task under which this many back ends have crashed may be given up. */
constexpr std::ptrdiff_t CrashesToGiveUp = 2;

std::string describeRun(const std::string& task, std::uint64_t run) { return task + " run " + std::to_string(run); }

}  // namespace

std::optional<RunEvent> parseRunEvent(const std::string& line) {
  std::istringstream words(line);
  std::int64_t at = 0;
  std::string kind;
  RunEvent event;
  if (!(words >> at >> kind >> event.incarnation)) return std::nullopt;
  event.at = Time(Duration(at));
  if (kind == "over" || kind == "lapsed") {
    event.kind = kind == "over" ? RunEventKind::IncarnationOver : RunEventKind::Lapsed;
    return event;
  }
  if (!(words >> event.task >> event.run >> event.how)) return std::nullopt;
  if (kind == "started") event.kind = RunEventKind::Started;
  if (kind == "ended") event.kind = RunEventKind::Ended;
  if (kind == "noted") event.kind = RunEventKind::Acknowledged;
  return event;
}

void RunHistory::add(const RunEvent& event) {
  if (event.kind == RunEventKind::IncarnationOver) {
    for (auto& [task, runs] : m_runs) {
      for (Run& run : runs) {
        if (run.incarnation != event.incarnation || run.ended != Time::max()) continue;
        run.ended = event.at;
        run.crashed = true;
      }
    }
    return;
  }
  if (event.kind == RunEventKind::Lapsed) {
    for (auto& [task, runs] : m_runs) {
      for (Run& run : runs)
        run.lapsed =
            run.lapsed || (run.incarnation == event.incarnation && run.ended <= event.at && !run.endAcknowledged);
    }
    return;
  }
  std::vector<Run>& runs = m_runs[event.task];
  if (event.kind == RunEventKind::Started) {
    ++m_starts;
    m_tasks[jobOf(event.task)].insert(event.task);
    runs.push_back({event.incarnation, event.run, event.at, Time::max(), "", false, false, false});
    return;
  }
  for (Run& run : runs) {
    if (run.incarnation != event.incarnation || run.number != event.run) continue;
    if (event.kind == RunEventKind::Acknowledged) run.endAcknowledged = !run.lapsed;
    if (event.kind == RunEventKind::Ended) {
      run.ended = event.at;
      run.how = event.how;
    }
  }
}

unsigned RunHistory::doneTasks(const std::string& job) const {
  const auto tasks = m_tasks.find(job);
  if (tasks == m_tasks.end()) return 0;
  return static_cast<unsigned>(std::count_if(tasks->second.begin(), tasks->second.end(), [this](const auto& task) {
    const std::vector<Run>& runs = m_runs.at(task);
    return std::any_of(runs.begin(), runs.end(), [](const Run& run) { return run.how == "done"; });
  }));
}

void RunHistory::checkTask(const std::string& task, const std::vector<Run>& runs,
                           std::vector<std::string>& found) const {
  for (const Run& one : runs) {
    for (const Run& other : runs) {
      if (&one == &other || other.began < one.began) continue;
      if (&other < &one && other.began == one.began) continue;
      if (other.began < one.ended) {
        found.push_back("two at once: " + describeRun(task, one.number) + " on " + one.incarnation + " and run " +
                        std::to_string(other.number) + " on " + other.incarnation);
      }
      if (one.how == "done" && one.endAcknowledged && other.began >= one.ended) {
        found.push_back("started after done: " + describeRun(task, other.number) + " on " + other.incarnation);
      }
    }
  }
}

void RunHistory::checkCrashes(const std::string& task, const std::vector<Run>& runs,
                              std::vector<std::string>& found) const {
  std::vector<Time> crashes;
  for (const Run& run : runs) {
    if (run.crashed) crashes.push_back(run.ended);
  }
  std::sort(crashes.begin(), crashes.end());
  if (crashes.size() < CrashesBeforeLimit) return;
  const Time third = crashes[CrashesBeforeLimit - 1];
  const auto starts = std::count_if(runs.begin(), runs.end(), [third](const Run& run) { return run.began > third; });
  if (starts > MaxStartsAfterCrashes) found.push_back("started three times more after three crashes: " + task);
}

/** \returns whether the platform may give up a task of the job: two back ends have crashed under it. */
bool RunHistory::mayBeGivenUp(const std::string& job) const {
  const auto tasks = m_tasks.find(job);
  if (tasks == m_tasks.end()) return false;
  return std::any_of(tasks->second.begin(), tasks->second.end(), [this](const std::string& task) {
    const std::vector<Run>& runs = m_runs.at(task);
    return std::count_if(runs.begin(), runs.end(), [](const Run& run) { return run.crashed; }) >= CrashesToGiveUp;
  });
}

/** A run of a gang that not all members have started has to end within PartialGangLimit. */
void RunHistory::checkGang(const ExpectedJob& job, Time now, std::vector<std::string>& found) const {
  struct Members {
    unsigned began = 0;
    Time first = Time::max();
    Time last{};  ///< end of the member that runs last, or the present time
  };
  std::map<std::uint64_t, Members> byRun;
  for (const std::string& task : m_tasks.at(job.id)) {
    for (const Run& run : m_runs.at(task)) {
      Members& members = byRun[run.number];
      ++members.began;
      members.first = std::min(members.first, run.began);
      members.last = std::max(members.last, std::min(run.ended, now));
    }
  }
  for (const auto& [number, members] : byRun) {
    if (members.began >= job.tasks || members.last - members.first < PartialGangLimit) continue;
    found.push_back("part of a gang: " + describeRun(job.id, number) + " has " + std::to_string(members.began) +
                    " of " + std::to_string(job.tasks) + " members");
  }
}

void RunHistory::checkJob(const ExpectedJob& job, bool healed, std::vector<std::string>& found) const {
  const bool ran = m_tasks.count(job.id) > 0;
  if (ran && !job.accepted && !job.inDoubt) found.push_back("ran although refused: " + job.id);
  // The end of one member counts for its whole gang.
  const unsigned enough = job.gang ? 1 : job.tasks;
  if (job.outcome == JobOutcome::Completed && doneTasks(job.id) < enough) {
    found.push_back("shown as completed, " + std::to_string(doneTasks(job.id)) + " of " + std::to_string(job.tasks) +
                    " tasks done: " + job.id);
  }
  const bool mayFail = job.mayFail || mayBeGivenUp(job.id);
  if (job.outcome == JobOutcome::Failed && !mayFail) found.push_back("shown as failed without cause: " + job.id);
  if (job.outcome == JobOutcome::Cancelled && job.cancelSent == Time{})
    found.push_back("cancelled by nobody: " + job.id);
  if (healed && job.accepted && job.outcome == JobOutcome::Open) found.push_back("accepted and never ended: " + job.id);
}

std::vector<std::string> RunHistory::check(const std::map<std::string, ExpectedJob>& jobs, Time now,
                                           bool healed) const {
  std::vector<std::string> found;
  for (const auto& [task, runs] : m_runs) {
    checkTask(task, runs, found);
    const auto owner = jobs.find(jobOf(task));
    if (owner != jobs.end() && owner->second.crashes) checkCrashes(task, runs, found);
    if (jobs.count(jobOf(task)) == 0) found.push_back("nobody asked for it: " + task);
    const bool runsOn = std::any_of(runs.begin(), runs.end(), [](const Run& run) { return run.ended == Time::max(); });
    if (healed && runsOn) found.push_back("runs on after all has ended: " + task);
  }
  for (const auto& [id, job] : jobs) {
    checkJob(job, healed, found);
    if (job.gang && m_tasks.count(id) > 0) checkGang(job, now, found);
  }
  return found;
}

}  // namespace courseloom::test
