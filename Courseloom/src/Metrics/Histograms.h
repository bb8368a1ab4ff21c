// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>
#include <boost/histogram/axis/category.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/unlimited_storage.hpp>
#include <map>
#include <mutex>
#include <string>

#include "Courseloom/src/Core/Clock.h"

namespace courseloom {

/** \class Histograms
 * \brief Histograms of durations by workspace and class, counters and gauges, in the Prometheus text format.
 *
 * Durations are in milliseconds, on a logarithmic axis from 0.05 ms to 10 h; shorter ones are counted in the first bin.
 * Thread-safe: one lock guards all families and is held for one update or one printing. The number of series of a
 * family is bounded, since a workspace name of a caller is recorded only after it was found in the configuration.
 */
class Histograms {
 public:
  /** Records one duration. \param family metric name without prefix, such as "request_ms" \param ms duration in
   * milliseconds */
  void record(const std::string& family, const std::string& workspace, const std::string& className, double ms);
  /** Adds to a counter. \param label value of the counter's label "kind" */
  void count(const std::string& family, const std::string& label, std::uint64_t add = 1);
  /** Sets a gauge. \param family metric name without prefix */
  void set(const std::string& family, double value);
  /** \returns all metrics in the Prometheus text format. */
  std::string prometheus() const;

 private:
  using Axes = std::tuple<boost::histogram::axis::category<std::string, boost::histogram::use_default,
                                                           boost::histogram::axis::option::growth_t>,
                          boost::histogram::axis::category<std::string, boost::histogram::use_default,
                                                           boost::histogram::axis::option::growth_t>,
                          boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>>;
  struct Family {
    boost::histogram::histogram<Axes> bins;
    std::map<std::pair<std::string, std::string>, double> sums;
  };

  /** Appends one histogram to a text; buckets without a value are left out. */
  static void print(const std::string& name, const Family& family, std::string& out);

  mutable std::mutex m_mutex;
  std::map<std::string, Family> m_families;
  std::map<std::string, std::map<std::string, std::uint64_t>> m_counters;
  std::map<std::string, double> m_gauges;
};

}  // namespace courseloom
