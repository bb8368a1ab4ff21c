// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>

#include "generated/settings.pb.h"

namespace courseloom {

/** \class InstanceResources
 * \brief Resources of the instance on which an entry runs; 0 where one is not known.
 */
struct InstanceResources {
  double processorShare = 0.0;  ///< cores that the process may use
  std::uint64_t memoryMb = 0;
  std::uint64_t descriptors = 0;  ///< limit of open descriptors
  double linkMbps = 0.0;          ///< bandwidth of the instance's link, Mbit/s
};

/** \class EntryLimits
 * \brief Limits of one entry, derived from the resources of its instance.
 */
struct EntryLimits {
  std::uint32_t connections = 0;  ///< open connections from callers
  std::uint32_t inFlight = 0;     ///< requests that are being served
  std::uint64_t bodyBytes = 0;    ///< bytes of request bodies held in memory
};

/** \returns the limits of an entry. The settings are upper bounds, and a resource that is not known imposes no limit.
 */
EntryLimits deriveEntryLimits(const InstanceResources& resources, const schema::EntrySettings& settings);

/** \returns whether a new call may be served. Near the limit the least urgent calls are rejected first.
 * \param priority priority of the call's queue; 0 is the most urgent */
bool admitsCall(const EntryLimits& limits, std::uint32_t inFlight, std::uint64_t bodyBytesHeld, std::uint32_t priority);

}  // namespace courseloom
