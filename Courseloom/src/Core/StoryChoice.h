// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>

namespace courseloom {

/** \class StoryChoice
 * \brief Chooses whose lines are logged when there are more than a second's budget holds.
 *
 * Lines that belong together, such as those of one workflow's runs, are written or left out together: each time that
 * the budget is used up half as many stories are chosen, always from among the former ones, so that the last ones are
 * told from beginning to end. More are chosen again after a second that used little of it.
 */
class StoryChoice {
 public:
  explicit StoryChoice(unsigned linesEachSecond) : m_lines(linesEachSecond) {}

  /** \param story a hash of the story's name \param second now, in whole seconds \param omitted set to the lines left
   * out in the last busy second, once it is over. \returns whether to write the line */
  bool take(std::uint64_t story, std::int64_t second, std::uint64_t& omitted);

 private:
  bool isChosen(std::uint64_t story) const { return (story & ((std::uint64_t{1} << m_halvings) - 1)) == 0; }
  void beginSecond(std::int64_t second);

  unsigned m_lines;
  unsigned m_halvings = 0;  ///< one in so many powers of two is chosen
  unsigned m_written = 0;   ///< in this second
  unsigned m_halveAt = 0;   ///< so many lines written in this second halve the choice again
  std::uint64_t m_omitted = 0;
  std::int64_t m_second = -1;
};

}  // namespace courseloom
