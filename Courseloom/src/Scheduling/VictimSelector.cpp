// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/VictimSelector.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace courseloom {

namespace internal {
namespace {

/** Price of a stop in addition to the lost work, core-seconds, so that free capacity never costs more than a stop. */
constexpr double StopPrice = 1.0;

}  // namespace
}  // namespace internal

VictimSelector::VictimSelector(const std::vector<PlannedRun>& runs, const TargetIndex& targets, const Placer& placer,
                               const std::vector<bool>& endsSoon)
    : m_runs(runs), m_targets(targets), m_placer(placer), m_endsSoon(endsSoon) {
  std::unordered_map<std::string_view, std::size_t> gangIndexes;
  m_gangOf.reserve(runs.size());
  for (const PlannedRun& run : runs) {
    const std::size_t next = gangIndexes.size();
    m_gangOf.push_back(run.gang.empty() ? 0 : gangIndexes.try_emplace(run.gang, next).first->second);
  }
  m_gangs = gangIndexes.size();
  for (std::size_t r = 0; r < runs.size(); ++r) {
    if (runs[r].gang.empty()) m_gangOf[r] = m_gangs;
  }
  m_selected.assign(runs.size(), false);
}

void VictimSelector::stop(const std::vector<std::size_t>& victims) {
  for (const std::size_t run : victims) m_selected[run] = true;
}

const VictimSelector::Stoppable& VictimSelector::stoppableFor(Rank rank, bool reliesOnEnds) {
  const auto found = m_stoppable.find({rank, reliesOnEnds});
  if (found != m_stoppable.end()) return found->second;
  return m_stoppable[{rank, reliesOnEnds}] = makeStoppable(rank, reliesOnEnds);
}

VictimSelector::Stoppable VictimSelector::makeStoppable(Rank rank, bool reliesOnEnds) const {
  Stoppable stoppable;
  stoppable.byTarget.resize(m_targets.size());
  stoppable.byGang.resize(m_gangs);
  stoppable.prices.assign(m_runs.size(), 0.0);
  std::vector<double> gangPrices(m_gangs, 0.0);
  for (std::size_t r = 0; r < m_runs.size(); ++r) {
    const PlannedRun& run = m_runs[r];
    const bool aboutToEnd = m_endsSoon[r] && reliesOnEnds;
    if (run.stopping || aboutToEnd || !run.preemptible || run.rank <= rank) continue;
    stoppable.byTarget[run.target].push_back(r);
    stoppable.prices[r] = run.lostWork + internal::StopPrice;
    if (m_gangOf[r] == m_gangs) continue;
    stoppable.byGang[m_gangOf[r]].push_back(r);
    gangPrices[m_gangOf[r]] += stoppable.prices[r];
  }
  for (std::size_t r = 0; r < m_runs.size(); ++r) {
    if (m_gangOf[r] != m_gangs) stoppable.prices[r] = gangPrices[m_gangOf[r]];
  }
  for (std::vector<std::size_t>& runs : stoppable.byTarget) {
    std::sort(runs.begin(), runs.end(), [&stoppable](std::size_t a, std::size_t b) {
      const double priceA = stoppable.prices[a];
      const double priceB = stoppable.prices[b];
      return priceA != priceB ? priceA < priceB : a < b;
    });
  }
  return stoppable;
}

/** \class VictimSelector::Group
 * \brief Targets of one group during a selection, which places one task after another.
 */
class VictimSelector::Group {
 public:
  Group(const VictimSelector& selector, const StepDemand& demand, const std::vector<std::size_t>& among,
        const Stoppable& stoppable, const TargetCapacities& capacities)
      : m_selector(selector),
        m_demand(demand),
        m_among(among),
        m_stoppable(stoppable),
        m_selected(selector.m_selected) {
    m_capacities.reserve(among.size());
    m_remaining.reserve(among.size());
    for (const std::size_t target : among) {
      m_capacities.push_back(capacities[target]);
      const PlannedTarget& planned = selector.m_targets[target];
      const std::size_t most = planned.oneStart ? 1 : StepDemand::Unlimited;
      m_remaining.push_back(planned.open ? std::min(demand.remainingOn(target), most) : 0);
    }
    m_versions.assign(among.size(), 0);
    for (std::size_t position = 0; position < among.size(); ++position) updateOffer(position);
  }

  /** \returns the lowest price of placing one more task, or nothing if none can be placed. */
  std::optional<double> leastPrice() {
    while (!m_offers.empty() && m_offers.front().version != m_versions[m_offers.front().position]) popOffer();
    if (m_offers.empty()) return std::nullopt;
    return m_offers.front().price;
  }

  /** Places one more task at the lowest price. Requires that leastPrice() has just returned a price.
   * \param selection the target and the runs to be stopped are added to it */
  void selectCheapest(Selection& selection) {
    const std::size_t position = m_offers.front().position;
    popOffer();
    std::vector<std::size_t> victims;
    findCheapestVictims(position, &victims);
    std::vector<std::size_t> changed{position};
    for (const std::size_t r : victims) {
      m_selected[r] = true;
      const PlannedRun& run = m_selector.m_runs[r];
      const auto at = std::lower_bound(m_among.begin(), m_among.end(), run.target);
      if (at == m_among.end() || *at != run.target) continue;
      const auto other = static_cast<std::size_t>(at - m_among.begin());
      m_capacities[other].add(run.need);
      changed.push_back(other);
    }
    m_selector.m_placer.occupy(m_capacities[position], m_among[position], m_demand.need);
    if (m_remaining[position] != StepDemand::Unlimited) --m_remaining[position];
    selection.placement.targets.push_back(m_among[position]);
    selection.victims.insert(selection.victims.end(), victims.begin(), victims.end());
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    for (const std::size_t other : changed) updateOffer(other);
  }

 private:
  /** Price of placing one more task on a target; outdated once the target has a newer version. */
  struct Offer {
    double price = 0.0;
    std::size_t position = 0;
    unsigned version = 0;
    bool operator<(const Offer& other) const {
      return price != other.price ? price > other.price : position > other.position;
    }
  };

  void popOffer() {
    std::pop_heap(m_offers.begin(), m_offers.end());
    m_offers.pop_back();
  }

  void updateOffer(std::size_t position) {
    ++m_versions[position];
    if (m_remaining[position] == 0) return;
    const std::optional<double> price = findCheapestVictims(position, nullptr);
    if (!price) return;
    m_offers.push_back({*price, position, m_versions[position]});
    std::push_heap(m_offers.begin(), m_offers.end());
  }

  /** \returns the price of placing one more task on a target, where the cheapest runs are stopped first; nothing if the
   * target cannot hold the task.
   * \param position index of the target in the group
   * \param victims the runs to be stopped are added here; may be null */
  std::optional<double> findCheapestVictims(std::size_t position, std::vector<std::size_t>* victims) const {
    const std::size_t target = m_among[position];
    ResourceAmounts capacity = m_capacities[position];
    // The step's own work counts as lost to the extent that it ends late on the target.
    double price = m_selector.m_placer.penaltyOf(m_demand, target) +
                   m_selector.m_placer.lateChance(m_demand, target) * m_demand.taskWork;
    std::vector<std::size_t> gangs;
    for (const std::size_t r : m_stoppable.byTarget[target]) {
      if (capacity.holds(m_demand.need)) break;
      const std::size_t gang = m_selector.m_gangOf[r];
      const bool counted = std::find(gangs.begin(), gangs.end(), gang) != gangs.end();
      if (m_selected[r] || counted) continue;  // already counted with another run of its gang
      price += m_stoppable.prices[r];
      if (gang == m_selector.m_gangs) {
        capacity.add(m_selector.m_runs[r].need);
        if (victims != nullptr) victims->push_back(r);
        continue;
      }
      gangs.push_back(gang);
      for (const std::size_t member : m_stoppable.byGang[gang]) {
        if (m_selector.m_runs[member].target == target) capacity.add(m_selector.m_runs[member].need);
        if (victims != nullptr) victims->push_back(member);
      }
    }
    if (!capacity.holds(m_demand.need)) return std::nullopt;
    return price;
  }

  const VictimSelector& m_selector;
  const StepDemand& m_demand;
  const std::vector<std::size_t>& m_among;  ///< indexes of targets, ascending
  const Stoppable& m_stoppable;
  std::vector<bool> m_selected;
  TargetCapacities m_capacities;         ///< by index in the group
  std::vector<std::size_t> m_remaining;  ///< tasks that a target may still receive, by index in the group
  std::vector<unsigned> m_versions;
  std::vector<Offer> m_offers;  ///< heap with the lowest price at the front
};

std::optional<VictimSelector::Selection> VictimSelector::selectWithin(const StepDemand& demand,
                                                                      const std::vector<std::size_t>& among,
                                                                      const Stoppable& stoppable, double maxLoss,
                                                                      double limit,
                                                                      const TargetCapacities& capacities) {
  Group group(*this, demand, among, stoppable, capacities);
  Selection selection;
  while (selection.placement.targets.size() < demand.tasks) {
    const std::optional<double> price = group.leastPrice();
    // Tasks outside a gang are placed as far as the price allows; a gang needs places for all of its tasks.
    if (!price || *price > maxLoss) {
      if (demand.gang) return std::nullopt;
      break;
    }
    selection.placement.cost += *price;
    if (selection.placement.cost >= limit) return std::nullopt;
    group.selectCheapest(selection);
  }
  if (selection.placement.targets.empty()) return std::nullopt;
  return selection;
}

std::optional<VictimSelector::Selection> VictimSelector::select(const StepDemand& demand, const TargetGroups& groups,
                                                                bool reliesOnEnds, double maxLoss,
                                                                const TargetCapacities& capacities) {
  const Stoppable& stoppable = stoppableFor(demand.rank, reliesOnEnds);
  std::optional<Selection> best;
  const auto consider = [&](const std::vector<std::size_t>& group) {
    const double limit = best ? best->placement.cost : std::numeric_limits<double>::max();
    std::optional<Selection> next = selectWithin(demand, group, stoppable, maxLoss, limit, capacities);
    if (next) best = std::move(next);
  };
  for (const TargetGroups::Rack& rack : groups.racks) consider(rack.targets);
  if (groups.anywhere) consider(*groups.anywhere);
  return best;
}

}  // namespace courseloom
