// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include "Courseloom/src/Core/Clock.h"

namespace courseloom {

/** \file LateCalls.h
 * \brief The rule on calls in transit, which the agent and the leader share.
 *
 * A call to a target that was sent and not answered is in transit. Until LateCallLimit after it was sent, any
 * incarnation with the identity that it names may carry it out, at most once: the present one, its successor or a later
 * one. A successor knows neither the stops and ends nor the fencing tokens of its predecessors, and its clock starts
 * anew. So what one incarnation has confirmed does not bind the next one. Three rules follow.
 *
 * - *Starts.* A run has at most one start call. While that call is in transit, the run ends for the leader only through
 *   its end as listed by the target. It neither counts as void, lost or lapsed, nor does another run of its task begin.
 *   This holds whatever was confirmed about the run and also if its agent has ended. An answered call is not in
 *   transit, and another identity at the same address refuses it.
 * - *Ends.* A call that lets the target discard ends must not reach an incarnation that begins a run through a call in
 *   transit, since that run's end could be discarded before it was read. So an agent names ends only while no start is
 *   in transit, and while a poll that names ends is in transit, starts carry a newer token, so that an incarnation that
 *   has carried out the start refuses the poll.
 * - *Holds.* A call that extends holds extends them in the incarnation that carries it out, there for the full length.
 *   So runs that have begun late are over at latestEndOfLateRuns().
 */

/** Longest time after which a target may still carry out a call that it has not answered. */
inline constexpr Duration LateCallLimit = milliseconds(6000);

/** A target's clock may run slow. It advances by at least 98 ms in each 100 ms. */
inline constexpr std::int64_t SlowClockNumerator = 98;
inline constexpr std::int64_t SlowClockDenominator = 100;

/** \returns the latest time at which a run can be running that was begun or extended by a call in transit.
 * \param lastSent latest time at which a start or a hold was sent
 * \param longestHold longest time for which a target keeps its runs alive after one call, by its own clock */
inline Time latestEndOfLateRuns(Time lastSent, Duration longestHold) {
  return lastSent + LateCallLimit + longestHold * SlowClockDenominator / SlowClockNumerator;
}

}  // namespace courseloom
