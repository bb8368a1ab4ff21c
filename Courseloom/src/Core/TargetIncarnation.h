// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace courseloom {

/** \class TargetIncarnation
 * \brief One incarnation of a target, from the start of its process to the end: identity and start time.
 *
 * A process may be restarted with the same identity and then has no state of its former incarnation. Messages, the log,
 * health and tickets therefore identify a target by the name of its incarnation, which holds identity and start time.
 */
struct TargetIncarnation {
  std::string id;                 ///< identity with which the process registers
  std::uint64_t startTimeMs = 0;  ///< start time that the target reports, ms since 1970; 0 if it reports none

  /** \returns ID@START with the start time in ms since 1970, or ID alone if the start time is 0. */
  std::string name() const;
  /** Parses a name(). The start time is 0 if the name has none, or if it is not a number. */
  static TargetIncarnation named(std::string_view name);
  /** \returns whether two names are of incarnations with the same identity, so that either can carry out a call that
   * was meant for the other; false if a name is empty. */
  static bool haveSameId(std::string_view name, std::string_view other);
  /** \returns whether a text is valid as an identity: not empty, and without the '@' that precedes the start time. */
  static bool isValidId(std::string_view id);
};

}  // namespace courseloom
