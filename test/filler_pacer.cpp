// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Fillers are slowed down while the tail latency of a serving run on the same target is high, and speed up again
// afterwards.

#include "Courseloom/src/Agent/FillerPacer.h"

#include "test/main.h"

using namespace courseloom;

namespace {

/** \class PacedTarget
 * \brief One serving run with a latency target of 100 ms, one filler on the same target, and a clock.
 */
class PacedTarget {
 public:
  PacedTarget() {
    m_traits[serving()].latencyTargetMs = 100;
    m_traits[filler()].filler = true;
  }
  static RunKey serving() { return {"serving", {0, 0, 0}, 1}; }
  static RunKey filler() { return {"filler", {0, 0, 0}, 1}; }

  /** Passes reports to the pacer at intervals of 500 ms. \param tailMs reported tail latency of the serving run, ms
   * \returns the filler's pace afterwards, percent */
  std::uint32_t advance(std::uint64_t tailMs, unsigned reports) {
    for (unsigned i = 0; i < reports; ++i) {
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

Test(filler_pacer, a_filler_is_paused_within_seconds_while_latencies_are_high) {
  PacedTarget target;
  cr_assert_eq(target.advance(50, 5), 100);
  cr_assert_eq(target.advance(150, 1), 50);
  cr_assert_lt(target.advance(150, 4), 30, "the pace after 2.5 s");
  cr_assert_eq(target.advance(150, 8), 0);
}

Test(filler_pacer, a_filler_speeds_up_in_steps_and_keeps_its_pace_between_the_bounds) {
  PacedTarget target;
  target.advance(150, 20);
  cr_assert_eq(target.advance(80, 10), 0, "the latency is neither high enough to slow down nor low enough to speed up");
  const std::uint32_t partial = target.advance(40, 4);
  cr_assert(partial > 0 && partial <= 40);
  cr_assert_eq(target.advance(40, 40), 100);
}

Test(filler_pacer, a_restarted_agent_sends_a_running_filler_its_pace_once) {
  PacedTarget target;
  FillerPacer restarted;
  const Time now = Time(milliseconds(5000));
  cr_assert_eq(restarted.decide(target.rows(50), target.m_traits, now).size(), 1);
  cr_assert(restarted.decide(target.rows(50), target.m_traits, now + milliseconds(700)).empty());
}

Test(filler_pacer, only_targets_with_a_filler_and_a_serving_run_are_shared) {
  PacedTarget target;
  cr_assert(FillerPacer::isShared(target.rows(50), target.m_traits));
  target.m_traits[PacedTarget::serving()].latencyTargetMs = 0;
  cr_assert_not(FillerPacer::isShared(target.rows(50), target.m_traits));
  cr_assert_not(FillerPacer::isShared(target.rows(50), {}));
}
