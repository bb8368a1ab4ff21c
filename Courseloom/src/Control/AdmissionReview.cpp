// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/AdmissionReview.h"

#include <algorithm>
#include <cmath>

namespace courseloom {

namespace internal {
namespace {

/** Time constant of the rate of accepted work, ms: longer than a burst, shorter than a change of load. */
constexpr double InflowMs = 10000.0;

/** Rate below which a workspace's work is forgotten, amounts for each ms. */
constexpr double ForgottenRate = 1e-6;

using RatesByWorkspace = std::map<std::string, ResourceWork>;

void decay(RatesByWorkspace& rates, double factor) {
  for (auto& [workspace, rate] : rates) rate = {rate.accelerators * factor, rate.cores * factor};
  std::erase_if(rates, [](const auto& entry) {
    return entry.second.accelerators < ForgottenRate && entry.second.cores < ForgottenRate;
  });
}

ResourceWork sum_of(const RatesByWorkspace& rates) {
  ResourceWork sum;
  for (const auto& [workspace, rate] : rates) sum.add(rate);
  return sum;
}

}  // namespace
}  // namespace internal

AdmissionVerdict AdmissionReview::decide(const std::string& workflow, const std::string& service,
                                         const AdmissionInput& input, std::uint64_t nowMs, double spread) {
  m_returns.expire(nowMs);
  Submission submission = input.submission;
  submission.firstArrivalMs = m_returns.firstArrival(workflow).value_or(nowMs);
  Inflow& inflow = inflowOf(service, nowMs);
  const AdmissionVerdict verdict = m_forecast.decide(submission, *input.backlog, m_returns.places(service, workflow),
                                                     input.capacity, inflowBefore(inflow, submission), spread);
  if (verdict.accepted()) {
    internal::RatesByWorkspace& rates = submission.rank <= UrgentRank ? inflow.urgent : inflow.other;
    rates[submission.workspace].add(submission.work, 1.0 / internal::InflowMs);
    m_returns.accept(workflow);
  } else {
    m_returns.reject(workflow, service, std::move(submission), nowMs + verdict.retryAfterMs);
  }
  return verdict;
}

/** \returns the rate of accepted work of a service, decayed until now. */
AdmissionReview::Inflow& AdmissionReview::inflowOf(const std::string& service, std::uint64_t nowMs) {
  Inflow& inflow = m_inflows[service];
  const double elapsedMs = static_cast<double>(nowMs - std::min(nowMs, inflow.updatedMs));
  const double factor = std::exp(-elapsedMs / internal::InflowMs);
  internal::decay(inflow.urgent, factor);
  internal::decay(inflow.other, factor);
  inflow.updatedMs = nowMs;
  return inflow;
}

AcceptedInflow AdmissionReview::inflowBefore(const Inflow& inflow, const Submission& submission) {
  const bool urgent = submission.rank <= UrgentRank;
  const internal::RatesByWorkspace& same = urgent ? inflow.urgent : inflow.other;
  AcceptedInflow rates;
  if (!urgent) rates.better = internal::sum_of(inflow.urgent);
  rates.same = internal::sum_of(same);
  const auto own = same.find(submission.workspace);
  if (own != same.end()) rates.own = own->second;
  return rates;
}

std::size_t AdmissionReview::clear() {
  const std::size_t places = m_returns.size();
  m_returns.clear();
  m_inflows.clear();
  return places;
}

}  // namespace courseloom
