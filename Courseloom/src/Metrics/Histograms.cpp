// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Metrics/Histograms.h"

#include <sstream>

namespace courseloom {
namespace internal {
namespace {
// Logarithmic axis of durations.
constexpr unsigned TimeBins = 60;
constexpr double ShortestMs = 0.05;
constexpr double LongestMs = 36.0e6;  // 10 h
}  // namespace
}  // namespace internal

void Histograms::record(const std::string& family, const std::string& workspace, const std::string& className,
                        double ms) {
  const std::lock_guard lock(m_mutex);
  auto found = m_families.find(family);
  if (found == m_families.end()) {
    Axes axes{{}, {}, {internal::TimeBins, internal::ShortestMs, internal::LongestMs}};
    found = m_families.emplace(family, Family{boost::histogram::histogram<Axes>(axes), {}}).first;
  }
  found->second.bins(workspace, className, std::max(ms, internal::ShortestMs));
  found->second.sums[{workspace, className}] += ms;
}

void Histograms::count(const std::string& family, const std::string& label, std::uint64_t add) {
  const std::lock_guard lock(m_mutex);
  m_counters[family][label] += add;
}

void Histograms::set(const std::string& family, double value) {
  const std::lock_guard lock(m_mutex);
  m_gauges[family] = value;
}

void Histograms::print(const std::string& name, const Family& family, std::string& out) {
  std::ostringstream text;
  const auto& workspaces = family.bins.axis(std::integral_constant<unsigned, 0>{});
  const auto& classes = family.bins.axis(std::integral_constant<unsigned, 1>{});
  const auto& times = family.bins.axis(std::integral_constant<unsigned, 2>{});
  text << "# TYPE courseloom_" << name << " histogram\n";
  for (const auto& [key, sum] : family.sums) {
    const std::string labels = "workspace=\"" + key.first + "\",class=\"" + key.second + "\"";
    const int workspace = workspaces.index(key.first);
    const int className = classes.index(key.second);
    double total = 0;
    for (int bin = 0; bin < times.size(); ++bin) {
      const double binCount = family.bins.at(workspace, className, bin);
      total += binCount;
      if (binCount > 0) {
        text << "courseloom_" << name << "_bucket{" << labels << ",le=\"" << times.bin(bin).upper() << "\"} " << total
             << "\n";
      }
    }
    total += family.bins.at(workspace, className, times.size());
    text << "courseloom_" << name << "_bucket{" << labels << ",le=\"+Inf\"} " << total << "\n";
    text << "courseloom_" << name << "_sum{" << labels << "} " << sum << "\n";
    text << "courseloom_" << name << "_count{" << labels << "} " << total << "\n";
  }
  out += text.str();
}

std::string Histograms::prometheus() const {
  const std::lock_guard lock(m_mutex);
  std::string out;
  for (const auto& [name, family] : m_families) print(name, family, out);
  for (const auto& [name, labels] : m_counters) {
    out.append("# TYPE courseloom_").append(name).append("_total counter\n");
    for (const auto& [label, value] : labels) {
      out += "courseloom_" + name + "_total{kind=\"" + label + "\"} " + std::to_string(value) + "\n";
    }
  }
  for (const auto& [name, value] : m_gauges) {
    out += "# TYPE courseloom_" + name + " gauge\ncourseloom_" + name + " " + std::to_string(value) + "\n";
  }
  return out;
}

}  // namespace courseloom
