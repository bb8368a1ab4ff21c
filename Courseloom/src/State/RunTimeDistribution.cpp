// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/RunTimeDistribution.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace courseloom {

namespace internal {
namespace {

/** Exponent of the Pareto tail. With 2, the mean remaining time of a run in the tail equals its elapsed time. */
constexpr double TailExponent = 2.0;
/** With fewer ratios above the elapsed one, the Pareto tail is used instead of them: for exponentially distributed
 * ratios, the relative standard error of their mean would exceed a half. */
constexpr std::ptrdiff_t MinInTail = 4;
/** Recorded ratios are limited to this range, so that one wrong estimate does not determine a mean. */
constexpr double MinRatio = 0.01;
constexpr double MaxRatio = 100.0;
/** Size of the default distribution, and exponent of its log-logistic shape: 6 in 100 runs take at least twice as long
 * as expected. */
constexpr std::size_t DefaultRatios = 64;
constexpr double DefaultShape = 4.0;

std::vector<float> default_ratios() {
  std::vector<float> ratios;
  for (std::size_t i = 0; i < DefaultRatios; ++i) {
    const double share = (static_cast<double>(i) + 0.5) / static_cast<double>(DefaultRatios);
    ratios.push_back(static_cast<float>(std::pow(share / (1.0 - share), 1.0 / DefaultShape)));
  }
  return ratios;
}

}  // namespace
}  // namespace internal

// ---- one queue

void RunTimeDistribution::record(double ratio) {
  if (!(ratio > 0.0)) return;
  const auto added = static_cast<float>(std::clamp(ratio, internal::MinRatio, internal::MaxRatio));
  if (m_ratios.size() < Kept) {
    m_ratios.push_back(added);
  } else {
    m_sorted.erase(std::lower_bound(m_sorted.begin(), m_sorted.end(), m_ratios[m_next]));
    m_ratios[m_next] = added;
    m_next = (m_next + 1) % Kept;
  }
  m_sorted.insert(std::upper_bound(m_sorted.begin(), m_sorted.end(), added), added);
}

std::vector<float> RunTimeDistribution::ratios() const {
  std::vector<float> ordered = m_ratios;
  std::rotate(ordered.begin(), ordered.begin() + static_cast<std::ptrdiff_t>(m_next), ordered.end());
  return ordered;
}

const std::vector<float>& RunTimeDistribution::sorted() const {
  static const std::vector<float> defaultRatios = internal::default_ratios();
  return m_ratios.size() < MinRecorded ? defaultRatios : m_sorted;
}

double RunTimeDistribution::remainingRatio(double passedRatio, double quantile) const {
  const double passed = std::max(0.0, passedRatio);
  const double share = std::clamp(quantile, 0.0, 0.999);
  const std::vector<float>& all = sorted();
  const auto first = std::upper_bound(all.begin(), all.end(), static_cast<float>(passed));
  const std::ptrdiff_t above = all.end() - first;
  if (above < internal::MinInTail) return passed * (std::pow(1.0 - share, -1.0 / internal::TailExponent) - 1.0);
  const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(above));
  return std::max(0.0, static_cast<double>(*(first + std::min(position, above - 1))) - passed);
}

double RunTimeDistribution::meanRemainingRatio(double passedRatio) const {
  const double passed = std::max(0.0, passedRatio);
  const std::vector<float>& all = sorted();
  const auto first = std::upper_bound(all.begin(), all.end(), static_cast<float>(passed));
  const std::ptrdiff_t above = all.end() - first;
  if (above < internal::MinInTail) return passed / (internal::TailExponent - 1.0);
  double sum = 0.0;
  for (auto ratio = first; ratio != all.end(); ++ratio) sum += static_cast<double>(*ratio) - passed;
  return sum / static_cast<double>(above);
}

double RunTimeDistribution::slowestExceeds(double ratio, std::size_t width) const {
  if (ratio <= 0.0) return width == 0 ? 0.0 : 1.0;
  const std::vector<float>& all = sorted();
  const auto first = std::upper_bound(all.begin(), all.end(), static_cast<float>(ratio));
  const auto count = static_cast<double>(all.size());
  const bool beyond = first == all.end();
  const double tail = std::pow(static_cast<double>(all.back()) / ratio, internal::TailExponent) / (count + 1.0);
  const double exceeds = beyond ? tail : static_cast<double>(all.end() - first) / count;
  return 1.0 - std::pow(1.0 - exceeds, static_cast<double>(width));
}

// ---- all queues

void RunTimeDistributions::record(const std::string& queue, double ratio) {
  if (m_queues.size() >= MaxQueues && m_queues.count(queue) == 0) return;
  m_queues[queue].record(ratio);
}

void RunTimeDistributions::keepOnly(const schema::QueueConfiguration& configuration) {
  std::set<std::string> names;
  for (const schema::Queue& queue : configuration.queues()) names.insert(queue.name());
  std::erase_if(m_queues, [&names](const auto& entry) { return names.count(entry.first) == 0; });
}

const RunTimeDistribution& RunTimeDistributions::of(const std::string& queue) const {
  static const RunTimeDistribution none;
  const auto found = m_queues.find(queue);
  return found == m_queues.end() ? none : found->second;
}

void RunTimeDistributions::save(schema::StateSnapshot& snapshot) const {
  for (const auto& [queue, distribution] : m_queues) {
    schema::RunTimeRatios* row = snapshot.add_run_time_ratios();
    row->set_queue(queue);
    for (const float ratio : distribution.ratios()) row->add_ratios(ratio);
  }
}

void RunTimeDistributions::load(const schema::StateSnapshot& snapshot) {
  m_queues.clear();
  for (const schema::RunTimeRatios& row : snapshot.run_time_ratios()) {
    for (const float ratio : row.ratios()) record(row.queue(), ratio);
  }
}

}  // namespace courseloom
