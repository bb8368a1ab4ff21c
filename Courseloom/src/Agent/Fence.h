// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>

namespace courseloom {

/** \class Fence
 * \brief Fencing tokens for the calls of one agent. Tokens rise with each incarnation of the target and, within an
 * incarnation, with the leader's term.
 *
 * A target refuses a call whose token is lower than one that it has seen. A delayed call to a former incarnation may
 * reach the next incarnation under the same identity. The target refuses such a call, whatever its term, as soon as the
 * new incarnation has seen the token of its own step. An agent stores nothing on disk, so it derives steps from the
 * time of day; after a restart its steps are higher than those that it used before. \sa TargetIncarnation
 */
class Fence {
 public:
  /** \returns a step above all previous ones. \param nowMs time of day, ms since 1970 */
  std::uint64_t nextStep(std::uint64_t nowMs);
  /** Raises the step after the target refused a token as too low: the time of day was set back while the agent was
   * restarted. The increment doubles with each refusal; beyond about a day the step stays. */
  void skipAhead();
  /** \returns the token of a call to an incarnation whose fence step is known. \param term the leader's term; terms
   * above 20 bits count as the highest */
  static std::uint64_t token(std::uint64_t step, std::uint64_t term);

 private:
  std::uint64_t m_step = 0;
  std::uint64_t m_skip = 1;  ///< increment of the step at the next refusal
};

}  // namespace courseloom
