// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Scheduling/GuaranteeBook.h"

#include <algorithm>
#include <numeric>

namespace courseloom {

namespace internal {
namespace {

/** \returns a rank of an adjacency, higher for a tighter one, which is harder to place. */
int tightness(schema::Adjacency adjacency) {
  if (adjacency == schema::SameWorker) return 3;
  if (adjacency == schema::SameRack) return 2;
  return adjacency == schema::SameDataHall ? 1 : 0;
}

/** \returns, for each worker, the capacity that both arguments contain: the part of the usable capacity that is free.
 */
WorkerCapacities intersection(const WorkerCapacities& lhs, const WorkerCapacities& rhs) {
  WorkerCapacities common(lhs.size());
  for (std::size_t i = 0; i < lhs.size(); ++i) {
    common[i] = {lhs[i].accelerators & rhs[i].accelerators, std::min(lhs[i].cores, rhs[i].cores),
                 std::min(lhs[i].memoryMb, rhs[i].memoryMb)};
  }
  return common;
}

}  // namespace
}  // namespace internal

schema::Shape Guarantee::unusedShape() const {
  schema::Shape remaining = shape;
  remaining.set_tasks(unused());
  return remaining;
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

bool GuaranteeBook::keepWitness(Guarantee& guarantee, WorkerCapacities& capacity) const {
  if (!guarantee.witnessed || guarantee.witness.size() != guarantee.unused()) return false;
  WorkerCapacities remaining = capacity;
  for (const TaskPlace& place : guarantee.witness) {
    if (place.worker >= remaining.size() || !remaining[place.worker].covers(place.part)) return false;
    remaining[place.worker].subtract(place.part);
  }
  capacity = std::move(remaining);
  return true;
}

bool GuaranteeBook::findWitness(Guarantee& guarantee, WorkerCapacities& capacity,
                                const WorkerCapacities& preferred) const {
  const schema::Shape shape = guarantee.unusedShape();
  guarantee.reason.clear();
  guarantee.witness.clear();
  guarantee.witnessed = true;
  if (guarantee.unused() == 0) return true;
  guarantee.witness = m_search.find(shape, internal::intersection(capacity, preferred));
  if (guarantee.witness.empty()) guarantee.witness = m_search.find(shape, capacity);
  guarantee.witnessed = !guarantee.witness.empty();
  if (!guarantee.witnessed) {
    guarantee.reason = std::to_string(shape.tasks()) + " tasks of " + std::to_string(shape.accelerators()) +
                       " accelerators cannot be held together any more";
  }
  subtractAll(capacity, guarantee.witness);
  return guarantee.witnessed;
}

bool GuaranteeBook::findWitnesses(WorkerCapacities capacity, const WorkerCapacities& preferred, bool keepValid) {
  std::vector<std::size_t> missing;
  for (const std::size_t i : searchOrder()) {
    const bool kept = keepValid && keepWitness(m_guarantees[i], capacity);
    if (!kept) missing.push_back(i);
  }
  bool all = true;
  for (const std::size_t i : missing) all = findWitness(m_guarantees[i], capacity, preferred) && all;
  return all;
}

bool GuaranteeBook::rebuild(const WorkerCapacities& capacity, const WorkerCapacities& free) {
  return findWitnesses(capacity, free, true) || findWitnesses(capacity, free, false) ||
         findWitnesses(capacity, capacity, false);
}

bool GuaranteeBook::canWitnessAll(const WorkerCapacities& capacity) const {
  WorkerCapacities left = capacity;
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
