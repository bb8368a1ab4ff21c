// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Routing/Target.h"

namespace courseloom {

void Target::report(const schema::AgentLoad& load, Time now) {
  reportedLoad.store(load.running() + load.queued(), std::memory_order_relaxed);
  slots.store(std::max(1U, load.slots()), std::memory_order_relaxed);
  reportedAt.store(now.time_since_epoch().count(), std::memory_order_relaxed);
  if (load.leaving()) leaving.store(true, std::memory_order_relaxed);
}

void Target::recordIncarnation(std::uint64_t reported) {
  std::uint64_t known = answeredIncarnation.load(std::memory_order_relaxed);
  while (reported > known && !answeredIncarnation.compare_exchange_weak(known, reported, std::memory_order_relaxed)) {
  }
}

}  // namespace courseloom
