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
 * \brief One target as seen by an entry: the client for its agent, the requests in flight from this entry, and the load
 * that the agent last reported.
 *
 * The atomics are read and written by all threads that handle requests; the other members do not change.
 */
struct Target {
  std::string service;
  std::string name;
  std::string dataHall;
  std::uint64_t incarnation = 0;     ///< incarnation of the agent by the list of targets
  std::shared_ptr<RpcClient> agent;  ///< null in benches

  std::atomic<unsigned> inFlight{0};        ///< requests sent from this entry and not answered
  std::atomic<unsigned> reportedLoad{0};    ///< running and queued requests, as last reported
  std::atomic<unsigned> slots{1};           ///< as last reported, at least 1
  std::atomic<std::int64_t> reportedAt{0};  ///< time of the last report, microseconds since boot
  std::atomic<unsigned> failuresInRow{0};
  std::atomic<unsigned> ejections{0};         ///< ejections in a row, for the exponential back-off
  std::atomic<std::int64_t> ejectedUntil{0};  ///< end of the last ejection, microseconds since boot; 0 before the first
  std::atomic<bool> leaving{false};
  std::atomic<std::uint64_t> answeredIncarnation{
      0};  ///< highest incarnation in the agent's answers; 0 before the first

  /** Applies a report of the agent's load. */
  void report(const schema::AgentLoad& load, Time now);
  /** Records the agent's incarnation from an answer. A late answer of a former incarnation changes nothing. */
  void recordIncarnation(std::uint64_t reported);
  /** \returns the incarnation for which tokens are made: the higher of the one in the agent's answers and the one in
   * the list of targets, since the list is updated later. */
  std::uint64_t incarnationForTokens() const {
    return std::max(incarnation, answeredIncarnation.load(std::memory_order_relaxed));
  }
};

using TargetPointer = std::shared_ptr<Target>;

}  // namespace courseloom
