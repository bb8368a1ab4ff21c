// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <string>

#include "generated/workflow.pb.h"

namespace courseloom {

/** \class ReportedTarget
 * \brief Leaves the description of a target out of an agent's reports while the leader has it.
 *
 * A leader that has taken a description in says so by its number. The next leader, and one that asks for it, is told
 * everything again; a leader that names no number always is. \sa RunLedger::complete
 */
class ReportedTarget {
 public:
  /** Puts the description into a report that carries its term already, or the number alone. */
  void put(schema::AttendRequest& report, const schema::TargetReport& target);
  /** Takes the answer to a report in. */
  void answered(const schema::AttendRequest& report, const schema::AttendReply& reply);

 private:
  std::string m_bytes;               ///< of the description as it was put last
  std::uint64_t m_version = 0;       ///< of it
  std::uint64_t m_takenVersion = 0;  ///< that a leader has ...
  std::uint64_t m_takenTerm = 0;     ///< ... in this term
};

}  // namespace courseloom
