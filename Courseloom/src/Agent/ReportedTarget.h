// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <string>

#include "generated/workflow.pb.h"

namespace courseloom {

/** \class ReportedTarget
 * \brief Omits the description of a target from an agent's reports while the leader has it.
 *
 * A leader acknowledges a description by its version. A new leader, and a leader that asks for a whole report, gets the
 * full description again; a leader that acknowledges no version gets it in every report. \sa RunLedger::complete
 */
class ReportedTarget {
 public:
  /** Adds the description, or its version alone, to a report. The term of the report must be set already. */
  void put(schema::AttendRequest& report, const schema::TargetReport& target);
  /** Applies the reply to a report. */
  void answered(const schema::AttendRequest& report, const schema::AttendReply& reply);

 private:
  std::string m_bytes;                      ///< newest description, serialised
  std::uint64_t m_version = 0;              ///< version of the newest description; 0 before the first
  std::uint64_t m_acknowledgedVersion = 0;  ///< version that a leader has acknowledged; 0 for none
  std::uint64_t m_acknowledgedTerm = 0;     ///< term of the leader that acknowledged it
};

}  // namespace courseloom
