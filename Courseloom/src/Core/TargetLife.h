// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace courseloom {

/** \class TargetLife
 * \brief One life of a target's process: the identity that it registers under, and when it began.
 *
 * A process may begin again under the identity that it had; it then knows nothing of before. Everything that courseloom
 * remembers of a target goes by the name of a life, which holds both: messages, the log, health, tickets.
 */
struct TargetLife {
  std::string id;
  std::uint64_t bornMs = 0;  ///< ms since 1970, by the target's own word; 0 if it never says

  /** \returns ID@BORN, or ID alone for a target that never says when it began. */
  std::string name() const;
  /** Reads a name. */
  static TargetLife named(std::string_view name);
  /** \returns whether an identity can be told from the rest of a name. */
  static bool isIdentity(std::string_view id);
};

}  // namespace courseloom
