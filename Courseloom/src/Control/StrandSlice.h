// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <optional>

#include "Courseloom/src/Control/ReplicaDriver.h"
#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Runtime/Daemon.h"

namespace courseloom {

/** \defgroup StrandStretch Uninterrupted work on the control strand
 *
 * The control strand carries votes, heartbeats, commits, reports of agents and calls of clients. While one computation
 * holds it, all of these wait. A computation that holds it for longer than the lease deposes its own leader; the next
 * leader makes the same computation, so the fault repeats for ever.
 *
 * The rule: the length of an uninterrupted stretch on the strand does not grow with what clients have submitted, but at
 * most with what the cluster can run at once. A computation over more than that either is limited (StepSelection), or
 * uses what was recorded with each change (WaitingSteps), or is divided into slices (StrandSlice). The metric
 * `strand_ms` has the stretches of the computations that depend on submitted work, by computation.
 */

/** A stretch of this length is logged. A lease lasts for less than twice as long with the usual election timeout. */
inline constexpr Duration LongStretch = milliseconds(200);

/** \class StretchTimer
 * \brief Records the time from its construction to its destruction as one stretch, and logs it if it is long.
 */
class StretchTimer {
 public:
  /** \param work name of the computation */
  StretchTimer(const DaemonContext& context, const char* work) : m_context(context), m_work(work) {}
  StretchTimer(const StretchTimer&) = delete;
  StretchTimer& operator=(const StretchTimer&) = delete;
  ~StretchTimer();

  /** \returns the time since the construction. */
  Duration elapsed() const { return BootClock::now() - m_begin; }

 private:
  const DaemonContext& m_context;
  const char* m_work;
  Time m_begin = BootClock::now();
};

/** \class StrandSlice
 * \brief Divides one long computation on the control strand into slices, and records each as a stretch. The last one
 * ends with the object.
 *
 * Everything on the strand may have changed after yield(), so pointers into its state are invalid.
 */
class StrandSlice {
 public:
  /** Begins the first slice. \param work name of the computation \param length length of a slice */
  StrandSlice(const DaemonContext& context, ControlStrand strand, const char* work, Duration length)
      : m_context(context), m_strand(std::move(strand)), m_work(work), m_length(length) {
    m_stretch.emplace(m_context, m_work);
  }

  /** \returns whether the present slice is over, so that the computation should yield at the next opportunity. */
  bool isOver() const { return m_stretch->elapsed() >= m_length; }
  /** Lets everything else that waits for the strand run, and begins a new slice. */
  Awaitable<void> yield();
  /** \returns whether yield() was called. */
  bool hasYielded() const { return m_yielded; }

 private:
  const DaemonContext& m_context;
  ControlStrand m_strand;
  const char* m_work;
  Duration m_length;
  std::optional<StretchTimer> m_stretch;  ///< of the present slice; none while other work runs
  bool m_yielded = false;
};

}  // namespace courseloom
