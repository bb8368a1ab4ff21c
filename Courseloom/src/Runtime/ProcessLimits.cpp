// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Runtime/ProcessLimits.h"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace courseloom {

namespace internal {
namespace {

constexpr std::uint64_t BytesPerMb = 1024ULL * 1024;
/** Descriptors for files, listeners and connections to peers. */
constexpr std::uint64_t OwnDescriptors = 64;
/** Largest numbers of connections, and their parts of the descriptors in percent. */
constexpr std::uint32_t ProbeConnections = 64;
constexpr unsigned ProbePercent = 10;
constexpr std::uint32_t OperatorConnections = 256;
constexpr unsigned OperatorPercent = 15;
constexpr std::uint32_t RpcConnections = 3000;
constexpr unsigned RpcPercent = 75;
constexpr unsigned Percent = 100;
/** Lower bound of each number, so that a process with few descriptors can be reached. */
constexpr std::uint64_t FewestConnections = 8;
/** Largest body of a request that needs none. */
constexpr std::uint64_t ProbeBodyBytes = 4ULL * 1024;

}  // namespace
}  // namespace internal

ProcessLimits::ProcessLimits(std::uint64_t memoryMb)
    : m_memoryBytes((memoryMb == 0 ? DefaultMemoryMb : memoryMb) * internal::BytesPerMb) {
  const std::uint64_t limit = descriptorLimit();
  m_descriptors = limit == 0 ? std::numeric_limits<std::uint32_t>::max() : limit;
  m_descriptors -= std::min(m_descriptors, internal::OwnDescriptors);
}

std::uint32_t ProcessLimits::connections(std::uint32_t wanted, unsigned percent) const {
  const std::uint64_t part = std::max(m_descriptors * percent / internal::Percent, internal::FewestConnections);
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(wanted, part));
}

HttpLimits ProcessLimits::probeLimits() const {
  HttpLimits limits;
  limits.maxBodyBytes = internal::ProbeBodyBytes;
  limits.maxConnections = connections(internal::ProbeConnections, internal::ProbePercent);
  return limits;
}

HttpLimits ProcessLimits::operatorLimits(std::shared_ptr<ByteBudget> memory) const {
  HttpLimits limits;
  limits.maxConnections = connections(internal::OperatorConnections, internal::OperatorPercent);
  limits.memory = std::move(memory);
  return limits;
}

RpcLimits ProcessLimits::rpcLimits(std::shared_ptr<ByteBudget> memory) const {
  return {connections(internal::RpcConnections, internal::RpcPercent), std::move(memory)};
}

std::uint64_t descriptorLimit() {
  rlimit limit{};
  const bool limited = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  return limited ? limit.rlim_cur : 0;
}

}  // namespace courseloom
