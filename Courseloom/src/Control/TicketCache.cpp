// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/TicketCache.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace internal {
namespace {
/** Subtracted from the validity of tickets, so that they are still valid when an order reaches its agent. */
constexpr Duration AdviceMargin = milliseconds(300);
/** Time limit of one request. */
constexpr Duration AdviceLimit = milliseconds(5000);
/** Pause after a failed request. */
constexpr Duration AdviceRetryPause = milliseconds(200);
/** Most targets in one request. */
constexpr std::size_t MaxAdvisedTargets = 100;
}  // namespace
}  // namespace internal

std::map<std::string, std::string> TicketCache::ticketsFor(const StepName& name, const schema::AdvicePolicy& policy,
                                                           const std::vector<std::string>& targets) {
  StepTickets& held = m_stepTickets[name];
  if (BootClock::now() >= held.until) {
    held.tickets.clear();
    held.requested.clear();
  }
  std::vector<std::string> newTargets;
  for (const std::string& target : targets) {
    if (held.requested.count(target) == 0 && newTargets.size() < internal::MaxAdvisedTargets)
      newTargets.push_back(target);
  }
  if (!newTargets.empty() && held.requestId == 0) {
    held.requestId = ++m_lastRequestId;
    boost::asio::co_spawn(
        m_strand, requestTickets(name, std::move(newTargets), milliseconds(policy.validity_ms()), held.requestId),
        boost::asio::detached);
  }
  return held.tickets;
}

Awaitable<void> TicketCache::requestTickets(StepName name, std::vector<std::string> targets, Duration validity,
                                            std::uint64_t requestId) {
  const Time requestedAt = BootClock::now();
  const schema::TaskId step = makeTaskId(name.first, {name.second.occurrence, name.second.step, 0});
  Result<std::vector<Ticket>> tickets = co_await m_port->advise(step, targets, internal::AdviceLimit);
  if (!tickets) {
    logFailure(schema::AdviceFailed, extractFailure(tickets));
    co_await sleepFor(internal::AdviceRetryPause);
  }
  const auto found = m_stepTickets.find(name);
  // The step was discarded meanwhile, and perhaps requested again: its tickets do not expire by this request's time.
  if (found == m_stepTickets.end() || found->second.requestId != requestId) co_return;
  StepTickets& held = found->second;
  held.requestId = 0;
  if (tickets) {
    if (held.requested.empty()) held.until = requestedAt + validity - internal::AdviceMargin;
    held.requested.insert(targets.begin(), targets.end());
    for (Ticket& ticket : *tickets) held.tickets[ticket.target] = std::move(ticket.text);
  }
  m_onAnswer();
}

}  // namespace courseloom
