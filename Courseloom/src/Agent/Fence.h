// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>

namespace courseloom {

/** \class Fence
 * \brief The fencing tokens of one agent's calls: they rise with each life of the target and, within a life, with the
 * leader's term.
 *
 * A target does nothing for a lower token than it has seen. A call that was meant for a former life, and is carried out
 * late, may reach the next life under the same identity; once that has seen the token of its own step, such a call does
 * nothing, under whatever term it was made. An agent keeps nothing on disk, so that steps are counted from the time of
 * day: a restarted agent's are above those that it gave before. \sa TargetLife
 */
class Fence {
 public:
  /** \returns a step above all former ones. \param nowMs time of day, ms since 1970 */
  std::uint64_t raise(std::uint64_t nowMs);
  /** After a refusal for a lower token: the time of day went back while the agent was restarted. */
  void overtake();
  /** \returns the token of a call to the life that began with a step, under a term. */
  static std::uint64_t token(std::uint64_t step, std::uint64_t term);

 private:
  std::uint64_t m_step = 0;
  std::uint64_t m_leap = 1;  ///< by how much the next refusal raises
};

}  // namespace courseloom
