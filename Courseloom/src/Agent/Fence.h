// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>

namespace courseloom {

/** \class Fence
 * \brief The fencing tokens of one agent's calls: they rise with the leader's term and, within a term, with each life
 * of the target.
 *
 * A target does nothing for a lower token than it has seen. A call that was meant for a former life, and is carried out
 * late, may reach the next life under the same identity; once that has seen its own token, such a call does nothing.
 * An agent keeps nothing on disk, so that the steps within a term are counted from the time of day: a restarted agent's
 * are above those that it gave before. \sa TargetLife
 */
class Fence {
 public:
  /** Begins the next step. \param nowMs time of day, ms since 1970 */
  void raise(std::uint64_t nowMs);
  /** After a refusal for a lower token: the time of day went back while the agent was restarted. */
  void overtake();
  /** \returns the token of calls under a term. */
  std::uint64_t token(std::uint64_t term) const { return (term << StepBits) + m_step; }

 private:
  /** Steps are tenths of a second, which 33 bits count for 27 years. Tokens stay exact as floating-point numbers, as
   * JSON readers may take them, up to term 2^20. */
  static constexpr unsigned StepBits = 33;

  std::uint64_t m_step = 0;
  std::uint64_t m_leap = 1;  ///< by how much the next refusal raises
};

}  // namespace courseloom
