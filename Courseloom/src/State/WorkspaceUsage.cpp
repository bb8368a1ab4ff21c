// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/WorkspaceUsage.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace courseloom {

namespace internal {
namespace {

constexpr double MillisecondsPerSecond = 1000.0;
constexpr double MilliPerCore = 1000.0;
/** Cores that one accelerator counts for, and memory that counts like one core, when the use of different resources is
 * added up to find the least used entry. */
constexpr double AcceleratorCores = 8.0;
constexpr double MemoryMbPerCore = 4096.0;

double core_seconds(const ResourceTime& use) {
  return use.cpuSeconds + AcceleratorCores * use.acceleratorSeconds + use.memoryMbSeconds / MemoryMbPerCore;
}

}  // namespace
}  // namespace internal

void ResourceTime::add(const ResourceTime& other) {
  cpuSeconds += other.cpuSeconds;
  memoryMbSeconds += other.memoryMbSeconds;
  acceleratorSeconds += other.acceleratorSeconds;
}

void ResourceTime::scale(double factor) {
  cpuSeconds *= factor;
  memoryMbSeconds *= factor;
  acceleratorSeconds *= factor;
}

double WorkspaceUsage::windowS() { return HalfLifeMs / std::numbers::ln2 / internal::MillisecondsPerSecond; }

ResourceTime WorkspaceUsage::useBetween(const schema::Resources& need, std::uint64_t fromMs, std::uint64_t toMs) {
  if (toMs <= fromMs) return {};
  ResourceTime use{static_cast<double>(need.cpu_milli()) / internal::MilliPerCore,
                   static_cast<double>(need.memory_mb()), static_cast<double>(need.accelerators())};
  // Integral of the decaying weight over the time of the run: its earlier use has already decayed at its end.
  use.scale(windowS() * (1.0 - std::exp2(-static_cast<double>(toMs - fromMs) / HalfLifeMs)));
  return use;
}

ResourceTime WorkspaceUsage::decayed(const Entry& entry, std::uint64_t atMs) {
  ResourceTime use = entry.usage;
  if (atMs > entry.atMs) use.scale(std::exp2(-static_cast<double>(atMs - entry.atMs) / HalfLifeMs));
  return use;
}

void WorkspaceUsage::record(const std::string& workspace, const std::string& service, const schema::Resources& need,
                            std::uint64_t fromMs, std::uint64_t toMs) {
  if (toMs <= fromMs) return;
  m_newestMs = std::max(m_newestMs, toMs);
  Entry& entry = m_entries[{workspace, service}];
  entry.usage = decayed(entry, m_newestMs);
  entry.atMs = m_newestMs;
  entry.usage.add(useBetween(need, fromMs, toMs));
  if (m_entries.size() > MaxEntries) evictLeast();
}

ResourceTime WorkspaceUsage::usageOf(const std::string& workspace, const std::string& service,
                                     std::uint64_t nowMs) const {
  const auto found = m_entries.find({workspace, service});
  return found == m_entries.end() ? ResourceTime() : decayed(found->second, std::max(nowMs, m_newestMs));
}

void WorkspaceUsage::evictLeast() {
  const auto use = [this](const auto& entry) { return internal::core_seconds(decayed(entry.second, m_newestMs)); };
  const auto least = std::min_element(m_entries.begin(), m_entries.end(),
                                      [&use](const auto& a, const auto& b) { return use(a) < use(b); });
  m_entries.erase(least);
  updateNewest();
}

void WorkspaceUsage::updateNewest() {
  m_newestMs = 0;
  for (const auto& [key, entry] : m_entries) m_newestMs = std::max(m_newestMs, entry.atMs);
}

// ---- snapshots

void WorkspaceUsage::save(schema::StateSnapshot& snapshot) const {
  for (const auto& [key, entry] : m_entries) {
    schema::WorkspaceUsageRecord* row = snapshot.add_workspace_usages();
    row->set_workspace(key.first);
    row->set_service(key.second);
    row->set_cpu_seconds(entry.usage.cpuSeconds);
    row->set_memory_mb_seconds(entry.usage.memoryMbSeconds);
    row->set_accelerator_seconds(entry.usage.acceleratorSeconds);
    row->set_at_ms(entry.atMs);
  }
}

void WorkspaceUsage::load(const schema::StateSnapshot& snapshot) {
  m_entries.clear();
  for (const schema::WorkspaceUsageRecord& row : snapshot.workspace_usages()) {
    Entry& entry = m_entries[{row.workspace(), row.service()}];
    entry.usage = {row.cpu_seconds(), row.memory_mb_seconds(), row.accelerator_seconds()};
    entry.atMs = row.at_ms();
  }
  updateNewest();
}

}  // namespace courseloom
