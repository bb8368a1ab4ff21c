// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Fillers give way to what serves beside them, and come back.

#include "Courseloom/src/Agent/FillerPacer.h"

#include "test/main.h"

using namespace courseloom;

namespace {

/** \class PacedTarget
 * \brief One serving run with a target of 100 ms and one filler.
 */
class PacedTarget {
 public:
  PacedTarget() {
    m_traits[serving()].latencyTargetMs = 100;
    m_traits[filler()].filler = true;
  }
  static RunKey serving() { return {"serving", {0, 0, 0}, 1}; }
  static RunKey filler() { return {"filler", {0, 0, 0}, 1}; }

  /** Lets time pass with one tail. \returns the filler's pace afterwards */
  std::uint32_t pass(std::uint64_t tailMs, unsigned looks) {
    for (unsigned i = 0; i < looks; ++i) {
      m_now += milliseconds(500);
      for (const PaceChange& change : m_pacer.decide(rows(tailMs), m_traits, m_now)) {
        cr_assert(change.run == filler());
        m_percent = change.percent;
      }
    }
    return m_percent;
  }
  std::vector<schema::RunReport> rows(std::uint64_t tailMs) const {
    std::vector<schema::RunReport> rows(2);
    *rows[0].mutable_task() = makeTaskId("serving", {0, 0, 0});
    rows[0].set_run(1);
    rows[0].set_usage(tailMs);
    *rows[1].mutable_task() = makeTaskId("filler", {0, 0, 0});
    rows[1].set_run(1);
    return rows;
  }
  std::map<RunKey, RunTraits> m_traits;

 private:
  FillerPacer m_pacer;
  Time m_now = Time(milliseconds(1000));
  std::uint32_t m_percent = 100;
};

}  // namespace

Test(filler_pacer, a_filler_stands_still_well_before_harm_counts) {
  PacedTarget target;
  cr_assert_eq(target.pass(50, 5), 100);
  cr_assert_eq(target.pass(150, 1), 50);
  cr_assert_lt(target.pass(150, 4), 30, "within 2.5 s");
  cr_assert_eq(target.pass(150, 8), 0);
}

Test(filler_pacer, it_comes_back_in_steps_and_stays_between_the_bounds) {
  PacedTarget target;
  target.pass(150, 20);
  cr_assert_eq(target.pass(80, 10), 0, "neither harm nor room");
  const std::uint32_t some = target.pass(40, 4);
  cr_assert(some > 0 && some <= 40);
  cr_assert_eq(target.pass(40, 40), 100);
}

Test(filler_pacer, a_filler_of_a_former_life_is_told_its_pace_once) {
  PacedTarget target;
  FillerPacer blank;
  const Time now = Time(milliseconds(5000));
  cr_assert_eq(blank.decide(target.rows(50), target.m_traits, now).size(), 1);
  cr_assert(blank.decide(target.rows(50), target.m_traits, now + milliseconds(700)).empty());
}

Test(filler_pacer, only_fillers_beside_serving_runs_are_watched) {
  PacedTarget target;
  cr_assert(FillerPacer::isShared(target.rows(50), target.m_traits));
  target.m_traits[PacedTarget::serving()].latencyTargetMs = 0;
  cr_assert_not(FillerPacer::isShared(target.rows(50), target.m_traits));
  cr_assert_not(FillerPacer::isShared(target.rows(50), {}));
}
