// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>

namespace courseloom {

/** \class LogGroupSampler
 * \brief Samples log groups when there are more log lines than the budget of a second allows.
 *
 * The lines of a group belong together, such as those of one workflow's runs. They are all written or all left out.
 * Each time the budget is used up, the number of sampled groups is halved. The remaining groups are always a subset of
 * the former ones, so that their lines are complete from the first to the last. The number is doubled again after a
 * second that used less than a quarter of the budget.
 */
class LogGroupSampler {
 public:
  /** \param linesEachSecond budget, in lines a second */
  explicit LogGroupSampler(unsigned linesEachSecond) : m_lines(linesEachSecond) {}

  /** Decides on one line. \param group a hash of the group's name \param second now, in whole seconds
   * \param omitted set to the number of lines left out and not yet reported, if this is the first line of a new second
   * \returns whether to write the line */
  bool admit(std::uint64_t group, std::int64_t second, std::uint64_t& omitted);

 private:
  bool isSampled(std::uint64_t group) const { return (group & ((std::uint64_t{1} << m_halvings) - 1)) == 0; }
  /** Starts a new second: undoes one halving for each second of low usage, and resets the budget. */
  void beginSecond(std::int64_t second);

  unsigned m_lines;
  unsigned m_halvings = 0;      ///< one in 2^m_halvings groups is sampled
  unsigned m_written = 0;       ///< lines written in this second
  unsigned m_halveAt = 0;       ///< number of lines written in this second at which the sampled groups are halved again
  std::uint64_t m_omitted = 0;  ///< lines left out and not reported yet
  std::int64_t m_second = -1;   ///< the current second; -1 before the first line
};

}  // namespace courseloom
