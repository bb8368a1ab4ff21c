// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Entry/EntryLimits.h"

#include <algorithm>
#include <limits>

namespace courseloom {

namespace internal {
namespace {

constexpr std::uint64_t BytesPerMb = 1024 * 1024;
constexpr double BytesPerMegabit = 125000.0;
/** Descriptors for logs, listeners and connections to control and agents. */
constexpr std::uint64_t ReservedDescriptors = 256;
/** Memory of an open connection: socket buffers, parser and coroutine. */
constexpr std::uint64_t BytesPerConnection = 32ULL * 1024;
/** Parts of the memory that connections and bodies may take; the rest is for the process itself and for answers. */
constexpr std::uint64_t MemoryPerConnectionShare = 3;
constexpr std::uint64_t MemoryPerBodyShare = 4;
/** Calls that one core serves in a second, each with its round trip to control. */
constexpr double CallsPerCoreSecond = 2000.0;
/** Time within which the entry should have processed and transferred an admitted call, s. Callers usually allow a few
 * seconds, of which the acknowledgement by control takes a part. */
constexpr double TurnSeconds = 1.0;
/** Lower bounds of the limits, so that an entry with few resources still serves calls. */
constexpr std::uint64_t FewestConnections = 64;
constexpr std::uint64_t FewestInFlight = 16;
constexpr std::uint64_t FewestBodyBytes = 256 * 1024;
/** Shares of the limits up to which calls are admitted. The rest is kept for more urgent ones. */
constexpr double QueryShare = 0.75;
constexpr double SubmissionShare = 0.95;

/** \returns the smaller of a limit and an amount; an amount of 0 is not known. */
std::uint64_t limited(std::uint64_t limit, std::uint64_t amount) {
  return amount == 0 ? limit : std::min(limit, amount);
}

std::uint64_t connections_of(const schema::EntrySettings& settings, std::uint64_t descriptors) {
  std::uint64_t limit = settings.max_connections();
  if (descriptors > 0) limit = std::min(limit, descriptors - std::min(descriptors, ReservedDescriptors));
  const std::uint64_t memory = settings.memory_mb() * BytesPerMb;
  return limited(limit, memory / MemoryPerConnectionShare / BytesPerConnection);
}

std::uint64_t in_flight_of(const schema::EntrySettings& settings) {
  const double calls = settings.processor_share() * CallsPerCoreSecond * TurnSeconds;
  return limited(settings.max_in_flight(), static_cast<std::uint64_t>(calls));
}

std::uint64_t body_bytes_of(const schema::EntrySettings& settings) {
  const std::uint64_t memory = settings.memory_mb() * BytesPerMb / MemoryPerBodyShare;
  const double link = settings.link_mbps() * BytesPerMegabit * TurnSeconds;
  return limited(limited(std::numeric_limits<std::uint64_t>::max(), memory), static_cast<std::uint64_t>(link));
}

double share_of(CallUrgency urgency) {
  if (urgency == CallUrgency::Query) return QueryShare;
  return urgency == CallUrgency::Submission ? SubmissionShare : 1.0;
}

}  // namespace
}  // namespace internal

EntryLimits deriveEntryLimits(const schema::EntrySettings& settings, std::uint64_t openDescriptors) {
  EntryLimits limits{settings.max_connections(), settings.max_in_flight(), std::numeric_limits<std::uint64_t>::max()};
  if (!settings.instance_limits()) return limits;
  const std::uint64_t descriptors = settings.max_descriptors() > 0 ? settings.max_descriptors() : openDescriptors;
  const std::uint64_t connections =
      std::max(internal::connections_of(settings, descriptors), internal::FewestConnections);
  const std::uint64_t inFlight = std::max(internal::in_flight_of(settings), internal::FewestInFlight);
  limits.connections = static_cast<std::uint32_t>(std::min<std::uint64_t>(connections, settings.max_connections()));
  limits.inFlight = static_cast<std::uint32_t>(std::min<std::uint64_t>(inFlight, settings.max_in_flight()));
  limits.bodyBytes = std::max(internal::body_bytes_of(settings), internal::FewestBodyBytes);
  return limits;
}

bool admitsCall(const EntryLimits& limits, CallUrgency urgency, std::size_t inFlight, std::uint64_t bodyBytes) {
  const double share = internal::share_of(urgency);
  const bool hasTurn = static_cast<double>(inFlight) < share * limits.inFlight;
  return hasTurn && static_cast<double>(bodyBytes) <= share * static_cast<double>(limits.bodyBytes);
}

}  // namespace courseloom
