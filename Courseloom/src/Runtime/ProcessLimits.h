// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>

#include "Courseloom/src/Transport/HttpServer.h"
#include "Courseloom/src/Transport/RpcServer.h"

namespace courseloom {

/** \class ProcessLimits
 * \brief Limits of a process and of its listeners, derived from its memory and its descriptors, so that callers of all
 * listeners together cannot exhaust either.
 */
class ProcessLimits {
 public:
  /** \param memoryMb memory that the process may use; 0 is not known, and counts as DefaultMemoryMb */
  explicit ProcessLimits(std::uint64_t memoryMb);

  /** Memory that a process may use if the settings do not say, MB. */
  static constexpr std::uint64_t DefaultMemoryMb = 1024;

  /** \returns a part of the memory, bytes. */
  std::uint64_t memoryShare(std::uint64_t parts) const { return m_memoryBytes / parts; }
  /** \returns a budget of a part of the memory. */
  std::shared_ptr<ByteBudget> budget(std::uint64_t parts) const {
    return std::make_shared<ByteBudget>(memoryShare(parts));
  }
  /** \returns the limits of a listener for probes and metrics, whose requests have no bodies. */
  HttpLimits probeLimits() const;
  /** \returns the limits of a listener for operators or targets. \param memory budget of the process for them */
  HttpLimits operatorLimits(std::shared_ptr<ByteBudget> memory) const;
  /** \returns the limits of the RPC server. \param memory budget of received calls */
  RpcLimits rpcLimits(std::shared_ptr<ByteBudget> memory) const;

 private:
  std::uint32_t connections(std::uint32_t wanted, unsigned percent) const;

  std::uint64_t m_memoryBytes;
  std::uint64_t m_descriptors;  ///< for connections that are accepted
};

/** \returns the limit of open descriptors of this process; 0 if it has none. */
std::uint64_t descriptorLimit();

}  // namespace courseloom
