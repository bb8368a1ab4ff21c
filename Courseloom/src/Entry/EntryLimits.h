// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>

#include "generated/settings.pb.h"

namespace courseloom {

/** \class EntryLimits
 * \brief Limits of one entry, derived from the resources of its instance.
 */
struct EntryLimits {
  std::uint32_t connections = 0;  ///< open connections from callers
  std::uint32_t inFlight = 0;     ///< calls that are being served
  std::uint64_t bodyBytes = 0;    ///< bytes of request bodies of these calls, which are held in memory
};

/** \returns the limits of an entry. With instance_limits on, they are derived from the resources that the settings
 * name; a resource of 0 is not known and does not limit. The settings max_connections and max_in_flight are upper
 * bounds. \param openDescriptors limit of open descriptors of this process, used if the settings name none */
EntryLimits deriveEntryLimits(const schema::EntrySettings& settings, std::uint64_t openDescriptors);

/** Kinds of calls at an entry. Near the limits, the calls that cost their callers least to repeat are rejected first.
 */
enum class CallUrgency : std::uint8_t {
  Query,         ///< changes nothing and can be repeated at any time
  Submission,    ///< adds work
  Cancellation,  ///< frees capacity
};

/** \returns whether a new call may be served. \param inFlight other calls that are being served \param bodyBytes bytes
 * of their bodies and of the new call's */
bool admitsCall(const EntryLimits& limits, CallUrgency urgency, std::size_t inFlight, std::uint64_t bodyBytes);

}  // namespace courseloom
