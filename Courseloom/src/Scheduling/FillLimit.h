// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "Courseloom/src/Scheduling/RunPlan.h"

namespace courseloom {

/** \class FillLimitOptions
 * \brief Limits of the number of whole targets that are kept free for gangs.
 */
struct FillLimitOptions {
  /** Time for which the maximum of the gang demand is kept before it decays, ms. With an immediate decay, gangs that
   * return after a short pause would find fewer whole targets than they need. */
  double holdMs = 10000.0;
  double decayMs = 20000.0;     ///< time constant of the decay of the observed gang demand, ms
  double largestShare = 0.5;    ///< largest share of the targets kept for gangs; the rest stays usable for other work
  double longestWaitMs = 4000;  ///< wait after which a step may use the kept targets, ms
  /** Share of the targets that is kept regardless of the observed demand; 0: the number is derived from the demand. */
  double fixedShare = 0.0;
};

/** \class GangDemand
 * \brief The whole targets that one waiting or running gang needs.
 */
struct GangDemand {
  std::size_t wholeTargets = 0;  ///< number of targets that its tasks need entirely
  bool running = false;
  bool oneRack = false;  ///< the targets have to be in the same rack; of a running gang: they are
};

/** \class FreeTargets
 * \brief How many fully free targets of a service are kept for gangs.
 */
struct FreeTargets {
  std::size_t targets = 0;  ///< number of fully free targets to leave free; includes the headroom for priority 0
  std::size_t inRack = 0;   ///< number of them to leave free in the rack that has the most
  bool operator==(const FreeTargets&) const = default;
};

/** \class FillLimit
 * \brief Limits how many fully free targets of one service small tasks may occupy, so that gangs find whole targets.
 *
 * It addresses a load in which single tasks occupy each accelerator as soon as it becomes free, so that a gang that
 * needs all accelerators of several targets at once never finds them free and has to stop other runs.
 */
class FillLimit {
 public:
  explicit FillLimit(FillLimitOptions options = {}) : m_options(options) {}

  /** Updates the expected demand from the gangs outside priority 0. \param nowMs wall clock, ms since 1970 */
  void update(const std::vector<GangDemand>& gangs, double nowMs);
  /** \returns the fully free targets that steps of small tasks have to leave free at present.
   * \param targets number of open targets with accelerators
   * \param headroom number of targets that gangs outside priority 0 have to leave free for priority 0. It is added to
   * their demand: otherwise, they would find only part of the kept targets usable. */
  FreeTargets targetsToKeep(std::size_t targets, std::size_t headroom = 0) const;
  /** \returns whether the limit applies to a step. Tasks that need a whole target are exempt.
   * \param target largest capacity of a target \param waitedMs time since the step became ready, ms */
  bool appliesTo(bool gang, bool urgent, const ResourceAmounts& need, const ResourceAmounts& target,
                 double waitedMs) const;

 private:
  /** Maximum that decays after it has not been reached for some time. */
  struct Peak {
    double value = 0.0;
    double heldMs = 0.0;   ///< time since the maximum was last reached, ms
    bool reached = false;  ///< whether the demand equalled it at the last update
  };

  void updatePeak(Peak& peak, double wanted, double elapsedMs) const;

  FillLimitOptions m_options;
  Peak m_peak;               ///< whole targets that gangs need at once
  Peak m_rackPeak;           ///< the same for the gang that needs the most targets in one rack
  double m_held = 0.0;       ///< whole targets that running gangs hold at present
  double m_updatedMs = 0.0;  ///< when the peaks were last updated, ms since 1970; 0 before the first update
};

/** \class FillLimits
 * \brief The fill limit of each service, updated from the input of planning passes.
 */
class FillLimits {
 public:
  explicit FillLimits(FillLimitOptions options = {}) : m_options(options) {}

  /** Updates the limits at the start of a pass. \param headroom number of targets kept fully free for priority 0
   * \param nowMs wall clock, ms since 1970 */
  void update(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs,
              const std::vector<PlannedStep>& steps, std::size_t headroom, double nowMs);
  /** Forgets the observed demand, as at a change of leader. */
  void clear() { m_services.clear(); }
  /** \returns the targets of a service that are kept at present. */
  FreeTargets keptFor(const std::string& service) const;
  /** \returns the number of targets kept in all services. */
  std::size_t kept() const;
  /** \returns whether the limit applies to a step and keeps any target of the service. \param waitedMs time since the
   * step became ready, ms */
  bool appliesTo(const std::string& service, bool gang, bool urgent, const ResourceAmounts& need,
                 double waitedMs) const;

 private:
  struct Service {
    FillLimit limit;
    std::size_t openTargets = 0;  ///< number of open targets with accelerators
    ResourceAmounts largest;      ///< capacity of the target with the most accelerators
    std::vector<GangDemand> gangs;
    FreeTargets kept;
  };

  void countTargets(const std::vector<PlannedTarget>& targets);
  void addRunning(const std::vector<PlannedTarget>& targets, const std::vector<PlannedRun>& runs);
  void addWaiting(const std::vector<PlannedStep>& steps);

  FillLimitOptions m_options;
  std::map<std::string, Service> m_services;  ///< by name; only services that have targets
};

}  // namespace courseloom
