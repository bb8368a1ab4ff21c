// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace courseloom {

namespace internal {
namespace {

/** Weight, in ended runs, of the prior assumption that the estimates are right; as many as the tasks of a few steps. */
constexpr double PriorRuns = 10.0;
/** Variance of the logarithms of the estimates under this prior assumption: estimates that differ by half. */
constexpr double PriorVariance = 0.25;

}  // namespace
}  // namespace internal

void RunTimes::ended(const std::string& queue, double estimateMs, double runMs, double weight) {
  if (estimateMs <= 0.0 || runMs <= 0.0) return;
  const double x = std::log(estimateMs);
  const double y = std::log(runMs);
  Sums& sums = m_queues[queue];
  sums.count += weight;
  sums.x += weight * x;
  sums.y += weight * y;
  sums.xx += weight * x * x;
  sums.xy += weight * x * y;
}

double RunTimes::expectedMs(const std::string& queue, double estimateMs) const {
  const auto found = m_queues.find(queue);
  if (found == m_queues.end() || estimateMs <= 0.0) return estimateMs;
  const Sums& sums = found->second;
  const double meanX = sums.x / sums.count;
  const double meanY = sums.y / sums.count;
  const double prior = internal::PriorRuns * internal::PriorVariance;
  const double squaredDeviations = sums.xx - sums.count * meanX * meanX;
  const double crossDeviations = sums.xy - sums.count * meanX * meanY;
  const double slope = std::clamp((crossDeviations + prior) / (squaredDeviations + prior), 0.0, 1.0);
  const double dataWeight = sums.count / (sums.count + internal::PriorRuns);
  const double x = std::log(estimateMs);
  return std::exp(x + dataWeight * (meanY - meanX + (slope - 1.0) * (x - meanX)));
}

void RunTimes::save(schema::StateSnapshot& snapshot) const {
  for (const auto& [queue, sums] : m_queues) {
    schema::QueueTimes* row = snapshot.add_queue_times();
    row->set_queue(queue);
    row->set_count(sums.count);
    row->set_x(sums.x);
    row->set_y(sums.y);
    row->set_xx(sums.xx);
    row->set_xy(sums.xy);
  }
}

void RunTimes::load(const schema::StateSnapshot& snapshot) {
  m_queues.clear();
  for (const schema::QueueTimes& row : snapshot.queue_times()) {
    if (row.count() > 0.0) m_queues[row.queue()] = {row.count(), row.x(), row.y(), row.xx(), row.xy()};
  }
}

}  // namespace courseloom
