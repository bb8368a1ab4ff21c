// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Transport/RpcClient.h"
#include "generated/rpc.pb.h"

namespace courseloom {

/** \class Target
 * \brief One target as an entry sees it: where its agent is, what is in flight from here, what the agent last said.
 *
 * The counters are atomics, read and written on the path of requests by all threads; the rest does not change.
 */
struct Target {
  std::string service;
  std::string name;
  std::string dataHall;
  std::uint64_t incarnation = 0;     ///< of the agent's life that the list names
  std::shared_ptr<RpcClient> agent;  ///< null in benches

  std::atomic<unsigned> inFlight{0};      ///< sent from this entry and not answered
  std::atomic<unsigned> reportedLoad{0};  ///< running and queued, as last reported
  std::atomic<unsigned> slots{1};
  std::atomic<std::int64_t> reportedAt{0};  ///< microseconds since boot
  std::atomic<unsigned> failuresInRow{0};
  std::atomic<unsigned> ejections{0};  ///< in a row, for the back-off
  std::atomic<std::int64_t> ejectedUntil{0};
  std::atomic<bool> leaving{false};
  std::atomic<std::uint64_t> answeredAs{0};  ///< the agent's life as it last answered; 0 before that

  /** Takes a report of the agent's load in. */
  void report(const schema::AgentLoad& load, Time now);
  /** Takes the agent's life from an answer; one that was overtaken by a later life's changes nothing. */
  void heardLife(std::uint64_t life);
  /** \returns the life for which tokens are made: the agent's own word comes before the list, which is told later. */
  std::uint64_t lifeForTokens() const { return std::max(incarnation, answeredAs.load(std::memory_order_relaxed)); }
};

using TargetPointer = std::shared_ptr<Target>;

}  // namespace courseloom
