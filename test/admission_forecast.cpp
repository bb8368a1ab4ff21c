// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Admission of new workflows: AdmissionForecast, ReturnTable and AdmissionReview against a simulated service.

#include "Courseloom/src/Scheduling/AdmissionForecast.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>

#include "Courseloom/src/Control/AdmissionReview.h"
#include "test/main.h"

using namespace courseloom;

namespace {

constexpr double Capacity = 64.0;  // accelerators
constexpr std::uint64_t StepMs = 10;
const std::string Service = "service";

/** A workflow of one gang. */
struct Work {
  std::string id;
  std::string workspace = "a";
  Rank rank = UrgentRank;
  double accelerators = 8.0;
  double runMs = 1000.0;
  double stretch = 3.0;
  std::uint64_t arrivedMs = 0;   // first submission
  std::uint64_t acceptedMs = 0;  // 0 while it is rejected
  std::uint64_t endedMs = 0;
  unsigned rejections = 0;

  double objectiveAllowanceMs() const { return stretch * runMs; }
  double objectiveMs() const { return static_cast<double>(acceptedMs) + objectiveAllowanceMs(); }
  Prospect prospect(std::uint64_t nowMs) const {
    PlannedStep step;
    step.estimateMs = runMs;
    step.objectiveMs = objectiveMs();
    step.worthlessMs = static_cast<double>(acceptedMs) + 3.0 * objectiveAllowanceMs();
    return prospectOf(step, static_cast<double>(nowMs));
  }
};

Submission submissionOf(const Work& work, std::uint64_t nowMs) {
  Submission submission;
  submission.rank = work.rank;
  submission.workspace = work.workspace;
  submission.work.accelerators = work.accelerators * work.runMs;
  submission.criticalPathMs = work.runMs;
  submission.inTimeMs = work.objectiveAllowanceMs();
  submission.usefulMs = 3.0 * work.objectiveAllowanceMs();
  submission.objectiveMs = static_cast<double>(nowMs) + work.objectiveAllowanceMs();
  submission.firstArrivalMs = nowMs;
  return submission;
}

/** \class SimulatedService
 * \brief Starts accepted gangs in the planner's order (rank after ageing, prospect, objective) as capacity becomes
 * free.
 */
class SimulatedService {
 public:
  void accept(Work& work, std::uint64_t nowMs) {
    work.acceptedMs = std::max<std::uint64_t>(nowMs, 1);
    m_waiting.push_back(&work);
  }
  void advance(std::uint64_t nowMs) {
    std::erase_if(m_running, [&](const Work* work) { return work->endedMs <= nowMs; });
    double used = 0.0;
    for (const Work* work : m_running) used += work->accelerators;
    const auto orderOf = [nowMs](const Work* work) {
      return std::make_tuple(std::min(work->rank, UrgentRank + 1), work->prospect(nowMs), work->objectiveMs());
    };
    std::stable_sort(m_waiting.begin(), m_waiting.end(),
                     [&orderOf](const Work* a, const Work* b) { return orderOf(a) < orderOf(b); });
    while (!m_waiting.empty() && used + m_waiting.front()->accelerators <= Capacity) {
      Work* work = m_waiting.front();
      m_waiting.erase(m_waiting.begin());
      work->endedMs = nowMs + static_cast<std::uint64_t>(work->runMs);
      used += work->accelerators;
      m_running.push_back(work);
    }
  }
  AdmissionInput inputFor(const Work& work, std::uint64_t nowMs) {
    m_backlog.clear();
    for (const Work* waiting : m_waiting) {
      if (waiting->prospect(nowMs) == Prospect::Worthless) continue;
      m_backlog.push_back(BacklogEntry{waiting->rank,
                                       waiting->workspace,
                                       {waiting->accelerators * waiting->runMs, 0.0},
                                       waiting->objectiveMs(),
                                       waiting->prospect(nowMs) != Prospect::InTime});
    }
    return AdmissionInput{submissionOf(work, nowMs), &m_backlog, ResourceWork{Capacity, 0.0}};
  }

 private:
  std::vector<Work*> m_waiting;
  std::vector<Work*> m_running;
  std::vector<BacklogEntry> m_backlog;
};

/** \returns arrivals over a time, drawn from a seed. \param load offered work relative to the capacity */
std::vector<Work> drawWork(std::uint64_t seed, double load, double durationMs, const std::string& workspace) {
  std::mt19937_64 random(seed);
  std::vector<Work> drawn;
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  double atMs = 1.0;
  while (true) {
    Work work;
    work.accelerators = uniform(random) < 0.2 ? 16.0 : 4.0;
    work.runMs = 300.0 + 1200.0 * uniform(random);
    work.rank = uniform(random) < 0.3 ? UrgentRank : UrgentRank + 1;
    atMs += work.accelerators * work.runMs / Capacity / load * 2.0 * uniform(random);
    if (atMs > durationMs) return drawn;
    work.arrivedMs = static_cast<std::uint64_t>(atMs);
    work.workspace = workspace;
    work.id = workspace + std::to_string(drawn.size());
    drawn.push_back(work);
  }
}

/** \class SimulatedCallers
 * \brief Callers that submit to a service and return as told until they are accepted.
 */
class SimulatedCallers {
 public:
  explicit SimulatedCallers(std::uint64_t seed) : m_random(seed) {}
  /** \param returns whether these callers return after a rejection */
  void add(std::vector<Work>& works, bool returns) {
    for (Work& work : works) m_due.emplace(work.arrivedMs, std::make_pair(&work, returns));
  }
  void run(std::uint64_t untilMs) {
    for (; m_nowMs <= untilMs; m_nowMs += StepMs) {
      while (!m_due.empty() && m_due.begin()->first <= m_nowMs) submitFirst();
      m_service.advance(m_nowMs);
    }
  }
  bool admits = true;  // whether the verdict applies; otherwise everything is accepted
  /** Called at each acceptance. */
  std::function<void(const Work& accepted, const AdmissionReview& before, std::uint64_t nowMs)> onAccepted;
  SimulatedService& service() { return m_service; }
  AdmissionReview& review() { return m_review; }
  std::uint64_t nowMs() const { return m_nowMs; }
  std::size_t mostPlaces() const { return m_mostPlaces; }

 private:
  void submitFirst() {
    const auto [work, returns] = m_due.begin()->second;
    m_due.erase(m_due.begin());
    const double spread = std::uniform_real_distribution<double>(0.0, 1.0)(m_random);
    const AdmissionInput input = m_service.inputFor(*work, m_nowMs);
    const AdmissionReview before = onAccepted ? m_review : AdmissionReview();
    const AdmissionVerdict verdict = m_review.decide(work->id, Service, input, m_nowMs, spread);
    m_mostPlaces = std::max(m_mostPlaces, m_review.places());
    if (verdict.accepted() || !admits) {
      if (onAccepted) onAccepted(*work, before, m_nowMs);
      m_service.accept(*work, m_nowMs);
      return;
    }
    ++work->rejections;
    if (returns) m_due.emplace(m_nowMs + verdict.retryAfterMs, std::make_pair(work, true));
  }

  SimulatedService m_service;
  AdmissionReview m_review;
  std::mt19937_64 m_random;
  std::multimap<std::uint64_t, std::pair<Work*, bool>> m_due;
  std::uint64_t m_nowMs = 0;
  std::size_t m_mostPlaces = 0;
};

AdmissionVerdict decideAgainst(const Submission& submission, double waitingMs, const std::string& holder,
                               const std::vector<const Submission*>& places = {}, double inflow = 0.0) {
  const std::vector<BacklogEntry> backlog{{UrgentRank, holder, {waitingMs * Capacity, 0.0}, 0.0, false}};
  return AdmissionForecast().decide(submission, backlog, places, {Capacity, 0.0}, {{}, {inflow, 0.0}, {inflow, 0.0}},
                                    0.5);
}

}  // namespace

// Guards against a rejection of work that its workspace's guarantee holds room for, however long the backlog is.
Test(admission_forecast, guaranteed_work_is_never_rejected) {
  std::mt19937_64 random(11);
  for (int i = 0; i < 2000; ++i) {
    Work work;
    work.rank = GuaranteedRank;
    work.workspace = random() % 2 == 0 ? "a" : "b";
    const Submission submission = submissionOf(work, random() % 100000);
    cr_assert(decideAgainst(submission, static_cast<double>(random() % 10000000), "a").accepted());
  }
}

// Guards against a rejection because of missing data: no open target, no objective.
Test(admission_forecast, work_without_an_objective_or_a_known_capacity_is_accepted) {
  Submission submission = submissionOf(Work{}, 0);
  cr_assert_not(decideAgainst(submission, 1e7, "a").accepted());
  const std::vector<BacklogEntry> backlog{{GuaranteedRank, "a", {1e9, 0.0}, 0.0, false}};
  cr_assert(AdmissionForecast().decide(submission, backlog, {}, {0.0, 0.0}, {}, 0.5).accepted());
  submission.usefulMs = 0.0;
  cr_assert(decideAgainst(submission, 1e7, "a").accepted());
}

// Guards against a caller that returns forever: a task whose estimate exceeds its useful time is not late because of
// the backlog, and an empty service takes it.
Test(admission_forecast, an_empty_service_takes_everything) {
  Submission submission = submissionOf(Work{}, 0);
  submission.criticalPathMs = 100.0 * submission.usefulMs;
  cr_assert(AdmissionForecast().decide(submission, {}, {}, {Capacity, 0.0}, {}, 0.5).accepted());
}

// Guards against a forecast that counts work which the planner serves later: of a lower rank, or due later.
Test(admission_forecast, only_work_that_is_served_before_counts) {
  Submission submission = submissionOf(Work{}, 1000);
  const std::vector<BacklogEntry> behind{{UrgentRank + 1, "a", {1e9, 0.0}, 0.0, false},
                                         {UrgentRank, "a", {1e9, 0.0}, submission.objectiveMs + 1.0, false}};
  cr_assert(AdmissionForecast().decide(submission, behind, {}, {Capacity, 0.0}, {}, 0.5).accepted());
  const std::vector<BacklogEntry> ahead{{UrgentRank, "a", {1e9, 0.0}, submission.objectiveMs - 1.0, false}};
  cr_assert_not(AdmissionForecast().decide(submission, ahead, {}, {Capacity, 0.0}, {}, 0.5).accepted());
}

// Guards against rejections of work that the planner serves in time: while the load stays within the capacity, with
// random bursts, nothing is rejected.
Test(admission_forecast, nothing_is_rejected_while_the_load_stays_within_the_capacity) {
  for (std::uint64_t seed = 1; seed <= 16; ++seed) {
    const double load = 0.05 * static_cast<double>(seed);
    std::vector<Work> works = drawWork(seed, load, 120000.0, "a");
    std::vector<Work> others = drawWork(seed + 100, 0.1, 120000.0, "b");
    SimulatedCallers callers(seed);
    callers.add(works, true);
    callers.add(others, true);
    callers.run(120000);
    for (const std::vector<Work>* all : {&works, &others}) {
      for (const Work& work : *all)
        cr_assert_eq(work.rejections, 0, "seed %lu: %s at a load of %.2f", seed, work.id.c_str(), load + 0.1);
    }
  }
}

namespace {

/** Result of an overload that lasts OverloadMs. */
struct Outcome {
  double usefulMs = 0.0;   // work that ended while its result had a value, as a time at full capacity
  unsigned worthless = 0;  // workflows that were accepted and ended later or not at all
};

constexpr double OverloadMs = 60000.0;

Outcome serveOverload(std::uint64_t seed, double load, bool admission) {
  std::vector<Work> works = drawWork(seed, load, OverloadMs, "a");
  SimulatedCallers callers(seed);
  callers.admits = admission;
  callers.add(works, false);
  callers.run(120000);
  Outcome outcome;
  for (const Work& work : works) {
    if (work.acceptedMs == 0) continue;
    const double usefulUntilMs = static_cast<double>(work.acceptedMs) + 3.0 * work.objectiveAllowanceMs();
    const bool useful = work.endedMs > 0 && static_cast<double>(work.endedMs) <= usefulUntilMs;
    if (useful) outcome.usefulMs += work.accelerators * work.runMs / Capacity;
    outcome.worthless += useful ? 0 : 1;
  }
  return outcome;
}

}  // namespace

// Guards against an admission that leaves capacity unused in lasting overload, and against one that accepts work which
// ends without a value: at least nine tenths of the capacity serve work that is of use, and most of the work that would
// end without a value is rejected.
Test(admission_forecast, in_overload_work_is_rejected_that_would_be_accepted_in_vain) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    const double load = 1.0 + 0.4 * static_cast<double>(seed);
    const Outcome without = serveOverload(seed, load, false);
    const Outcome with = serveOverload(seed, load, true);
    cr_assert(with.usefulMs >= 0.9 * OverloadMs, "seed %lu: %.0f ms", seed, with.usefulMs);
    cr_assert(with.worthless <= 0.5 * without.worthless, "seed %lu: %u instead of %u", seed, with.worthless,
              without.worthless);
  }
}

// Guards against overtaking: whenever a caller is accepted, each equal one that arrived before it, was rejected and has
// not returned yet must be acceptable too.
Test(admission_forecast, callers_that_arrived_first_are_admitted_first) {
  unsigned compared = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    std::vector<Work> works = drawWork(seed, 2.5, 40000.0, "a");
    for (Work& work : works) {
      work.rank = UrgentRank;
      work.accelerators = 8.0;
      work.runMs = 700.0;
    }
    SimulatedCallers callers(seed);
    callers.add(works, true);
    callers.onAccepted = [&](const Work& accepted, const AdmissionReview& before, std::uint64_t nowMs) {
      for (const Work& earlier : works) {
        if (earlier.arrivedMs >= accepted.arrivedMs || earlier.rejections == 0 || earlier.acceptedMs > 0) continue;
        AdmissionReview copy = before;
        const AdmissionInput input = callers.service().inputFor(earlier, nowMs);
        cr_assert(copy.decide(earlier.id, Service, input, nowMs, 0.5).accepted(), "seed %lu: %s overtook %s", seed,
                  accepted.id.c_str(), earlier.id.c_str());
        ++compared;
      }
    };
    callers.run(120000);
    for (const Work& work : works) cr_assert(work.acceptedMs > 0, "seed %lu: %s starves", seed, work.id.c_str());
  }
  cr_assert_gt(compared, 100);
}

namespace {

/** One workspace submits four times the capacity and never returns, another one submits a fifth of the capacity and
 * returns as told. */
void checkNotStarved(std::uint64_t seed, Rank floodRank, Rank smallRank) {
  std::vector<Work> flood = drawWork(seed, 4.0, 60000.0, "flood");
  std::vector<Work> small = drawWork(seed + 100, 0.2, 60000.0, "small");
  for (Work& work : flood) work.rank = floodRank;
  for (Work& work : small) work.rank = smallRank;
  SimulatedCallers callers(seed);
  callers.add(flood, false);
  callers.add(small, true);
  callers.run(70000);
  for (const Work& work : small) {
    cr_assert(work.acceptedMs > 0, "seed %lu: %s was rejected %u times", seed, work.id.c_str(), work.rejections);
    // The longest wait at which work is accepted: a caller that is rejected returns within that time.
    const double limitMs = 1.5 * 3.0 * work.objectiveAllowanceMs();
    const auto awayMs = static_cast<double>(work.acceptedMs - work.arrivedMs);
    cr_assert(awayMs <= limitMs, "seed %lu: %s was away for %.0f of %.0f ms", seed, work.id.c_str(), awayMs, limitMs);
  }
  cr_assert(std::any_of(flood.begin(), flood.end(), [](const Work& work) { return work.acceptedMs > 0; }));
}

}  // namespace

// Guards against the starvation of a workspace by rejections, also if the flood has the better one of two priorities
// that ageing makes equal.
Test(admission_forecast, a_flood_of_one_workspace_starves_no_other) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    checkNotStarved(seed, UrgentRank, UrgentRank);
    checkNotStarved(seed, UrgentRank + 1, UrgentRank + 2);
    checkNotStarved(seed, UrgentRank + 2, UrgentRank + 1);
  }
}

// Guards against a service that accepts nothing because of rejected callers that never return: their places take up at
// most half of the longest wait at which others are accepted.
Test(admission_forecast, places_of_callers_that_do_not_return_leave_room_for_others) {
  const Submission submission = submissionOf(Work{}, 1000);
  Submission place = submissionOf(Work{}, 0);
  place.workspace = "other";
  const std::vector<const Submission*> places(10000, &place);
  const double inTimeWaitMs = 1.5 * submission.inTimeMs - submission.criticalPathMs;
  cr_assert(decideAgainst(submission, 0.45 * inTimeWaitMs, "a", places, Capacity).accepted());
  cr_assert_not(decideAgainst(submission, 0.55 * inTimeWaitMs, "a", places, Capacity).accepted());
}

// Guards against one workspace that fills the whole margin while others wait.
Test(admission_forecast, a_workspace_above_its_part_has_no_margin_while_others_wait) {
  Work work;
  work.workspace = "a";
  const Submission submission = submissionOf(work, 1000);
  Submission waiting = submissionOf(work, 2000);
  waiting.workspace = "b";
  const double waitMs = 1.2 * submission.usefulMs;
  cr_assert(decideAgainst(submission, waitMs, "a").accepted(), "nobody else waits");
  const AdmissionVerdict limited = decideAgainst(submission, waitMs, "a", {&waiting});
  cr_assert(limited.reason == AdmissionVerdict::Reason::WorkspaceLimit);
  cr_assert(decideAgainst(submission, waitMs, "b", {&waiting}).accepted(), "the other one holds the backlog");
}

// Guards against callers that all return at the same time.
Test(admission_forecast, callers_are_told_different_times_within_the_limits) {
  const Submission submission = submissionOf(Work{}, 0);
  const std::vector<BacklogEntry> backlog{{GuaranteedRank, "a", {1e9, 0.0}, 0.0, false}};
  const auto retryMs = [&](double spread) {
    return AdmissionForecast().decide(submission, backlog, {}, {Capacity, 0.0}, {}, spread).retryAfterMs;
  };
  cr_assert_lt(retryMs(0.0), retryMs(0.5));
  cr_assert_lt(retryMs(0.5), retryMs(1.0));
  cr_assert_leq(retryMs(1.0), AdmissionOptions().longestRetryMs);
  cr_assert_geq(retryMs(0.0), AdmissionOptions().shortestRetryMs);
}

// Guards against a place that improves by retries, and against a table that grows with them.
Test(admission_forecast, a_caller_that_retries_at_once_and_forever_gains_nothing) {
  std::vector<BacklogEntry> backlog{{GuaranteedRank, "a", {1e9, 0.0}, 0.0, false}};
  AdmissionReview review;
  const auto submit = [&](const std::string& id, std::uint64_t nowMs) {
    const AdmissionInput input{submissionOf(Work{}, nowMs), &backlog, ResourceWork{Capacity, 0.0}};
    return review.decide(id, Service, input, nowMs, 0.5).accepted();
  };
  cr_assert_not(submit("patient", 1000));
  for (std::uint64_t nowMs = 1001; nowMs < 3000; ++nowMs) cr_assert_not(submit("impatient", nowMs));
  cr_assert_eq(review.places(), 2);
  // As much room as one of the two needs: what the patient caller's place takes up keeps the other one out.
  const Submission submission = submissionOf(Work{}, 3000);
  const double longestWaitMs = 1.5 * submission.usefulMs - submission.criticalPathMs;
  backlog[0].work.accelerators = (longestWaitMs - 1.0) * Capacity;
  cr_assert_not(submit("impatient", 3000));
  cr_assert(submit("patient", 3001));
}

// Guards against a table that grows without bound, and against a workspace that removes the places of others.
Test(admission_forecast, the_table_is_bounded_and_a_flood_removes_only_its_own_places) {
  ReturnTable table;
  Submission small = submissionOf(Work{}, 1);
  small.workspace = "small";
  table.reject("first", Service, small, 2);
  Submission flood = submissionOf(Work{}, 5);
  flood.workspace = "flood";
  for (int i = 0; i < 20000; ++i) table.reject("flood" + std::to_string(i), Service, flood, 1000 + i);
  cr_assert_eq(table.size(), ReturnTable::MaxEntries);
  cr_assert(table.firstArrival("first") == 1U);
  cr_assert_not(table.firstArrival("flood0").has_value(), "the earliest due time goes first");
  table.expire(2 + ReturnTable::GraceMs);
  cr_assert(table.firstArrival("first").has_value());
  table.expire(3 + ReturnTable::GraceMs);
  cr_assert_not(table.firstArrival("first").has_value(), "it did not return in time");
  table.expire(1000000);
  cr_assert_eq(table.size(), 0);
}

// Guards against a second place for a workflow that is submitted through two entries at about the same time.
Test(admission_forecast, a_workflow_that_comes_through_two_entries_has_one_place) {
  ReturnTable table;
  cr_assert_eq(table.reject("workflow", Service, submissionOf(Work{}, 10), 500), 10);
  cr_assert_eq(table.reject("workflow", Service, submissionOf(Work{}, 14), 700), 10);
  cr_assert_eq(table.size(), 1);
  cr_assert_eq(table.places(Service, "").size(), 1);
  cr_assert_eq(table.places(Service, "workflow").size(), 0, "a workflow does not wait for itself");
  cr_assert_eq(table.places("another service", "").size(), 0);
  table.accept("workflow");
  cr_assert_eq(table.size(), 0);
}

// Guards against places that survive a change of leader: the next leader knows nothing of them, and the event reports
// how many are lost.
Test(admission_forecast, after_a_change_of_leader_a_caller_that_returns_counts_as_new) {
  std::vector<Work> works = drawWork(3, 3.0, 20000.0, "a");
  SimulatedCallers callers(3);
  callers.add(works, true);
  callers.run(10000);
  cr_assert_gt(callers.review().places(), 0);
  const std::size_t places = callers.review().places();
  cr_assert_eq(callers.review().clear(), places);
  cr_assert_eq(callers.review().places(), 0);
  callers.run(120000);
  for (const Work& work : works) cr_assert(work.acceptedMs > 0, "%s was lost with the leader", work.id.c_str());
}
