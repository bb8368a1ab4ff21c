// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>

namespace courseloom {

/** \class LogGroupSampler
 * \brief Samples log groups when there are more log lines than the budget of a second allows.
 *
 * The lines of a group belong together, such as those of one workflow's runs. A group is sampled or left out as a whole
 * while the number of halvings stays the same. When the lines written in a second reach the budget, and again after
 * each further half of it, the number of sampled groups is halved; the budget is thus not a hard limit. The remaining
 * groups are always a subset of the former ones, so a group that stays sampled has all its lines. The number is doubled
 * again after a second that used less than a quarter of the budget.
 */
class LogGroupSampler {
 public:
  /** \param linesPerSecond budget, in lines per second */
  explicit LogGroupSampler(unsigned linesPerSecond) : m_budget(linesPerSecond) {}

  /** Decides on one line. \param group a hash of the group's name \param second now, in whole seconds
   * \param omitted set to the number of lines left out and not yet reported, if this is the first line of a new second
   * \returns whether to write the line */
  bool admit(std::uint64_t group, std::int64_t second, std::uint64_t& omitted);

 private:
  bool isSampled(std::uint64_t group) const { return (group & ((std::uint64_t{1} << m_halvings) - 1)) == 0; }
  /** Starts a new second: undoes one halving for each second of low usage, and resets the budget. */
  void beginSecond(std::int64_t second);

  unsigned m_budget;            ///< lines per second
  unsigned m_halvings = 0;      ///< one in 2^m_halvings groups is sampled
  unsigned m_written = 0;       ///< lines written in this second
  unsigned m_halveAt = 0;       ///< lines written in this second at which the number of sampled groups is halved next
  std::uint64_t m_omitted = 0;  ///< lines left out and not reported yet
  std::int64_t m_second = -1;   ///< the current second; -1 before the first line
};

}  // namespace courseloom
