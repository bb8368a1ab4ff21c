// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/RoomMaker.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>

namespace courseloom {

namespace internal {
namespace {

/** Price of a stop beside the work that is lost, core-seconds: what is free is never dearer. */
constexpr double StopPrice = 1.0;

}  // namespace
}  // namespace internal

RoomMaker::RoomMaker(const std::vector<PlannedRun>& runs, const TargetIndex& targets, const Placer& placer,
                     const std::vector<bool>& endsSoon)
    : m_runs(runs), m_targets(targets), m_placer(placer), m_endsSoon(endsSoon) {
  std::unordered_map<std::string_view, std::size_t> numbers;
  m_gangOf.reserve(runs.size());
  for (const PlannedRun& run : runs) {
    const std::size_t next = numbers.size();
    m_gangOf.push_back(run.gang.empty() ? 0 : numbers.try_emplace(run.gang, next).first->second);
  }
  m_gangs = numbers.size();
  for (std::size_t r = 0; r < runs.size(); ++r) {
    if (runs[r].gang.empty()) m_gangOf[r] = m_gangs;
  }
  m_gone.assign(runs.size(), false);
}

void RoomMaker::stop(const std::vector<std::size_t>& victims) {
  for (const std::size_t run : victims) m_gone[run] = true;
}

const RoomMaker::Stoppable& RoomMaker::stoppableFor(Rank rank, bool trustsEnds) {
  const auto found = m_stoppable.find({rank, trustsEnds});
  if (found != m_stoppable.end()) return found->second;
  return m_stoppable[{rank, trustsEnds}] = makeStoppable(rank, trustsEnds);
}

RoomMaker::Stoppable RoomMaker::makeStoppable(Rank rank, bool trustsEnds) const {
  Stoppable stoppable;
  stoppable.byTarget.resize(m_targets.size());
  stoppable.byGang.resize(m_gangs);
  stoppable.prices.assign(m_runs.size(), 0.0);
  std::vector<double> gangPrices(m_gangs, 0.0);
  for (std::size_t r = 0; r < m_runs.size(); ++r) {
    const PlannedRun& run = m_runs[r];
    const bool waitsForIt = m_endsSoon[r] && trustsEnds;
    if (run.stopping || waitsForIt || !run.movable || run.rank <= rank) continue;
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

/** \class RoomMaker::Group
 * \brief Targets of one group while places are cleared there one task after another.
 */
class RoomMaker::Group {
 public:
  Group(const RoomMaker& maker, const StepDemand& demand, const std::vector<std::size_t>& among,
        const Stoppable& stoppable, const Rooms& rooms)
      : m_maker(maker), m_demand(demand), m_among(among), m_stoppable(stoppable), m_gone(maker.m_gone) {
    m_rooms.reserve(among.size());
    m_left.reserve(among.size());
    for (const std::size_t target : among) {
      m_rooms.push_back(rooms[target]);
      m_left.push_back(maker.m_targets[target].open ? demand.leftOn(target) : 0);
    }
    m_versions.assign(among.size(), 0);
    for (std::size_t place = 0; place < among.size(); ++place) offer(place);
  }

  /** \returns the least price at which one more task finds room, or nothing. */
  std::optional<double> leastPrice() {
    while (!m_offers.empty() && m_offers.front().version != m_versions[m_offers.front().place]) dropOffer();
    if (m_offers.empty()) return std::nullopt;
    return m_offers.front().price;
  }

  /** Clears room at the least price, and takes it. */
  void takeCheapest(Cleared& cleared) {
    const std::size_t place = m_offers.front().place;
    dropOffer();
    std::vector<std::size_t> victims;
    clearing(place, &victims);
    std::vector<std::size_t> changed{place};
    for (const std::size_t r : victims) {
      m_gone[r] = true;
      const PlannedRun& run = m_maker.m_runs[r];
      const auto at = std::lower_bound(m_among.begin(), m_among.end(), run.target);
      if (at == m_among.end() || *at != run.target) continue;
      const auto other = static_cast<std::size_t>(at - m_among.begin());
      m_rooms[other].add(run.need);
      changed.push_back(other);
    }
    m_maker.m_placer.occupy(m_rooms[place], m_among[place], m_demand.need);
    if (m_left[place] != StepDemand::Unlimited) --m_left[place];
    cleared.placement.targets.push_back(m_among[place]);
    cleared.victims.insert(cleared.victims.end(), victims.begin(), victims.end());
    std::sort(changed.begin(), changed.end());
    changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
    for (const std::size_t other : changed) offer(other);
  }

 private:
  /** What room for one more task costs at a target; out of date once the target has a newer version. */
  struct Offer {
    double price = 0.0;
    std::size_t place = 0;
    unsigned version = 0;
    bool operator<(const Offer& other) const {
      return price != other.price ? price > other.price : place > other.place;
    }
  };

  void dropOffer() {
    std::pop_heap(m_offers.begin(), m_offers.end());
    m_offers.pop_back();
  }

  void offer(std::size_t place) {
    ++m_versions[place];
    if (m_left[place] == 0) return;
    const std::optional<double> price = clearing(place, nullptr);
    if (!price) return;
    m_offers.push_back({*price, place, m_versions[place]});
    std::push_heap(m_offers.begin(), m_offers.end());
  }

  /** \returns what is lost if a target is to hold one more task, the cheapest runs first, or nothing if it cannot.
   * \param victims takes the runs that are stopped, if asked for */
  std::optional<double> clearing(std::size_t place, std::vector<std::size_t>* victims) const {
    const std::size_t target = m_among[place];
    Room room = m_rooms[place];
    // A place where the step ends late is worth as little as one where its own work is lost.
    double price = m_maker.m_placer.penaltyOf(m_demand, target) +
                   m_maker.m_placer.lateChance(m_demand, target) * m_demand.taskWork;
    std::vector<std::size_t> gangs;
    for (const std::size_t r : m_stoppable.byTarget[target]) {
      if (room.holds(m_demand.need)) break;
      const std::size_t gang = m_maker.m_gangOf[r];
      const bool taken = std::find(gangs.begin(), gangs.end(), gang) != gangs.end();
      if (m_gone[r] || taken) continue;  // taken with another member of its gang
      price += m_stoppable.prices[r];
      if (gang == m_maker.m_gangs) {
        room.add(m_maker.m_runs[r].need);
        if (victims != nullptr) victims->push_back(r);
        continue;
      }
      gangs.push_back(gang);
      for (const std::size_t member : m_stoppable.byGang[gang]) {
        if (m_maker.m_runs[member].target == target) room.add(m_maker.m_runs[member].need);
        if (victims != nullptr) victims->push_back(member);
      }
    }
    if (!room.holds(m_demand.need)) return std::nullopt;
    return price;
  }

  const RoomMaker& m_maker;
  const StepDemand& m_demand;
  const std::vector<std::size_t>& m_among;  ///< ascending
  const Stoppable& m_stoppable;
  std::vector<bool> m_gone;
  Rooms m_rooms;                    ///< by place in the group
  std::vector<std::size_t> m_left;  ///< tasks that a target may still get
  std::vector<unsigned> m_versions;
  std::vector<Offer> m_offers;  ///< a heap
};

std::optional<RoomMaker::Cleared> RoomMaker::clearWithin(const StepDemand& demand,
                                                         const std::vector<std::size_t>& among,
                                                         const Stoppable& stoppable, double worth, double limit,
                                                         const Rooms& rooms) {
  Group group(*this, demand, among, stoppable, rooms);
  Cleared cleared;
  while (cleared.placement.targets.size() < demand.tasks) {
    const std::optional<double> price = group.leastPrice();
    // Tasks of their own take what is worth it; a gang needs room for all.
    if (!price || *price > worth) {
      if (demand.gang) return std::nullopt;
      break;
    }
    cleared.placement.cost += *price;
    if (cleared.placement.cost >= limit) return std::nullopt;
    group.takeCheapest(cleared);
  }
  if (cleared.placement.targets.empty()) return std::nullopt;
  return cleared;
}

std::optional<RoomMaker::Cleared> RoomMaker::clear(const StepDemand& demand, const TargetGroups& groups,
                                                   bool trustsEnds, double worth, const Rooms& rooms) {
  const Stoppable& stoppable = stoppableFor(demand.rank, trustsEnds);
  std::optional<Cleared> best;
  const auto consider = [&](const std::vector<std::size_t>& group) {
    const double limit = best ? best->placement.cost : std::numeric_limits<double>::max();
    std::optional<Cleared> next = clearWithin(demand, group, stoppable, worth, limit, rooms);
    if (next) best = std::move(next);
  };
  for (const TargetGroups::Rack& rack : groups.racks) consider(rack.targets);
  if (groups.anywhere) consider(*groups.anywhere);
  return best;
}

}  // namespace courseloom
