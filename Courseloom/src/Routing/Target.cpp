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

void Target::heardLife(std::uint64_t life) {
  std::uint64_t known = answeredAs.load(std::memory_order_relaxed);
  while (life > known && !answeredAs.compare_exchange_weak(known, life, std::memory_order_relaxed)) {
  }
}

}  // namespace courseloom
