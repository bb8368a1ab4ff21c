// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Courseloom/src/Control/ReturnTable.h"
#include "Courseloom/src/Scheduling/AdmissionForecast.h"
#include "generated/workflow.pb.h"

namespace courseloom {

/** \class AdmissionInput
 * \brief What the admission of one workflow depends on.
 */
struct AdmissionInput {
  Submission submission;                               ///< without the time of its first arrival
  const std::vector<BacklogEntry>* backlog = nullptr;  ///< of its service; valid until the next suspension
  ResourceWork capacity;                               ///< of its service's open targets
};

/** \class AdmissionSource
 * \brief Supplies what the admission of a workflow depends on; called on the control strand.
 */
class AdmissionSource {
 public:
  virtual ~AdmissionSource() = default;
  /** \returns the input for a workflow, or nothing if it has to be accepted: it has scheduled occurrences, it is
   * long-running, or the leader does not know its targets yet */
  virtual std::optional<AdmissionInput> admissionInput(const schema::Workflow& workflow) = 0;
  /** Counts a workflow that was accepted as backlog before it is committed, since further submissions arrive meanwhile.
   */
  virtual void addToBacklog(const std::string& service, const Submission& submission) = 0;
};

/** \class AdmissionReview
 * \brief Decides on submissions in the order of their first arrival. It has no clock and no random source.
 *
 * The first arrival of a workflow counts only for its admission. Once accepted, its objective and its waiting time
 * count from the committed submission, which every later leader knows. If they counted from the first arrival, a caller
 * could gain priority by submitting early.
 */
class AdmissionReview {
 public:
  explicit AdmissionReview(AdmissionOptions options = {}) : m_forecast(options) {}
  /** \param nowMs steady clock, ms \param spread as for AdmissionForecast::decide() */
  AdmissionVerdict decide(const std::string& workflow, const std::string& service, const AdmissionInput& input,
                          std::uint64_t nowMs, double spread);
  /** Forgets all rejected callers and all accepted work. \returns how many rejected workflows were recorded */
  std::size_t clear();
  std::size_t places() const { return m_returns.size(); }

 private:
  /** Accepted work of one service as rates that decay exponentially, by workspace. */
  struct Inflow {
    std::map<std::string, ResourceWork> urgent;  ///< of the urgent and the guaranteed rank
    std::map<std::string, ResourceWork> other;
    std::uint64_t updatedMs = 0;
  };
  Inflow& inflowOf(const std::string& service, std::uint64_t nowMs);
  static AcceptedInflow inflowBefore(const Inflow& inflow, const Submission& submission);

  AdmissionForecast m_forecast;
  ReturnTable m_returns;
  std::map<std::string, Inflow> m_inflows;  ///< by service of the configuration
};

}  // namespace courseloom
