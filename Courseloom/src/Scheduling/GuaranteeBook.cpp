// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/GuaranteeBook.h"

#include <algorithm>
#include <numeric>

namespace courseloom {

namespace internal {
namespace {

/** Tighter adjacency is harder to place. */
int tightness(schema::Adjacency adjacency) {
  if (adjacency == schema::SameWorker) return 3;
  if (adjacency == schema::SameRack) return 2;
  return adjacency == schema::SameDataHall ? 1 : 0;
}

/** What both rooms have: the free part of what may be used. */
Capacities common_part(const Capacities& lhs, const Capacities& rhs) {
  Capacities both(lhs.size());
  for (std::size_t i = 0; i < lhs.size(); ++i) {
    both[i] = {lhs[i].accelerators & rhs[i].accelerators, std::min(lhs[i].cores, rhs[i].cores),
               std::min(lhs[i].memoryMb, rhs[i].memoryMb)};
  }
  return both;
}

}  // namespace
}  // namespace internal

schema::Shape Guarantee::unusedShape() const {
  schema::Shape rest = shape;
  rest.set_tasks(unused());
  return rest;
}

bool Guarantee::holds(const std::string& ofWorkspace, const schema::Shape& job) const {
  return workspace == ofWorkspace && job.tasks() <= unused() && job.accelerators() <= shape.accelerators() &&
         job.cores() <= shape.cores() && job.memory_mb() <= shape.memory_mb();
}

void GuaranteeBook::setGuarantees(std::vector<Guarantee> guarantees) { m_guarantees = std::move(guarantees); }

Guarantee* GuaranteeBook::find(const std::string& name) {
  for (Guarantee& guarantee : m_guarantees) {
    if (guarantee.name == name) return &guarantee;
  }
  return nullptr;
}

std::vector<std::size_t> GuaranteeBook::searchOrder() const {
  std::vector<std::size_t> order(m_guarantees.size());
  std::iota(order.begin(), order.end(), 0);
  std::stable_sort(order.begin(), order.end(), [this](std::size_t lhs, std::size_t rhs) {
    const Guarantee& left = m_guarantees[lhs];
    const Guarantee& right = m_guarantees[rhs];
    const int leftTight = internal::tightness(left.shape.adjacency());
    const int rightTight = internal::tightness(right.shape.adjacency());
    if (leftTight != rightTight) return leftTight > rightTight;
    return left.shape.accelerators() * left.unused() > right.shape.accelerators() * right.unused();
  });
  return order;
}

bool GuaranteeBook::keepWitness(Guarantee& guarantee, Capacities& room) const {
  if (!guarantee.witnessed || guarantee.witness.size() != guarantee.unused()) return false;
  Capacities rest = room;
  for (const TaskPlace& place : guarantee.witness) {
    if (place.worker >= rest.size() || !rest[place.worker].covers(place.part)) return false;
    rest[place.worker].subtract(place.part);
  }
  room = std::move(rest);
  return true;
}

bool GuaranteeBook::findWitness(Guarantee& guarantee, Capacities& room, const Capacities& preferred) const {
  const schema::Shape shape = guarantee.unusedShape();
  guarantee.reason.clear();
  guarantee.witness.clear();
  guarantee.witnessed = true;
  if (guarantee.unused() == 0) return true;
  guarantee.witness = m_search.find(shape, internal::common_part(room, preferred));
  if (guarantee.witness.empty()) guarantee.witness = m_search.find(shape, room);
  guarantee.witnessed = !guarantee.witness.empty();
  if (!guarantee.witnessed) {
    guarantee.reason = std::to_string(shape.tasks()) + " tasks of " + std::to_string(shape.accelerators()) +
                       " accelerators cannot be held together any more";
  }
  subtractAll(room, guarantee.witness);
  return guarantee.witnessed;
}

bool GuaranteeBook::search(Capacities room, const Capacities& preferred, bool keepSound) {
  std::vector<std::size_t> missing;
  for (const std::size_t i : searchOrder()) {
    const bool kept = keepSound && keepWitness(m_guarantees[i], room);
    if (!kept) missing.push_back(i);
  }
  bool all = true;
  for (const std::size_t i : missing) all = findWitness(m_guarantees[i], room, preferred) && all;
  return all;
}

bool GuaranteeBook::rebuild(const Capacities& room, const Capacities& free) {
  return search(room, free, true) || search(room, free, false) || search(room, room, false);
}

bool GuaranteeBook::possible(const Capacities& room) const {
  Capacities left = room;
  for (const std::size_t i : searchOrder()) {
    const Guarantee& guarantee = m_guarantees[i];
    if (guarantee.unused() == 0) continue;
    const Placement witness = m_search.find(guarantee.unusedShape(), left);
    if (witness.empty()) return false;
    subtractAll(left, witness);
  }
  return true;
}

}  // namespace courseloom
