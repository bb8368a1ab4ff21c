// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/AdviceBook.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Courseloom/src/Core/Log.h"

namespace courseloom {

namespace internal {
namespace {
/** Taken off a ticket's time, for orders on their way. */
constexpr Duration AdviceMargin = milliseconds(300);
constexpr Duration AdviceLimit = milliseconds(5000);
constexpr Duration AdvicePause = milliseconds(200);
constexpr std::size_t MaxAdvisedTargets = 100;
}  // namespace
}  // namespace internal

std::map<std::string, std::string> AdviceBook::ticketsFor(const StepName& name, const schema::AdvicePolicy& policy,
                                                          const std::vector<std::string>& targets) {
  Permission& permission = m_permissions[name];
  if (BootClock::now() >= permission.until) {
    permission.tickets.clear();
    permission.asked.clear();
  }
  std::vector<std::string> unasked;
  for (const std::string& target : targets) {
    if (permission.asked.count(target) == 0 && unasked.size() < internal::MaxAdvisedTargets) unasked.push_back(target);
  }
  if (!unasked.empty() && permission.asking == 0) {
    permission.asking = ++m_questions;
    boost::asio::co_spawn(m_strand,
                          ask(name, std::move(unasked), milliseconds(policy.validity_ms()), permission.asking),
                          boost::asio::detached);
  }
  return permission.tickets;
}

Awaitable<void> AdviceBook::ask(StepName name, std::vector<std::string> targets, Duration validity,
                                std::uint64_t question) {
  const Time askedAt = BootClock::now();
  const schema::TaskId step = makeTaskId(name.first, {name.second.occurrence, name.second.step, 0});
  Result<std::vector<Ticket>> tickets = co_await m_port->advise(step, targets, internal::AdviceLimit);
  if (!tickets) {
    logFailure(schema::AdviceFailed, takeFailure(tickets));
    co_await sleepFor(internal::AdvicePause);
  }
  const auto found = m_permissions.find(name);
  // Forgotten, and perhaps asked anew: its time does not count from this question.
  if (found == m_permissions.end() || found->second.asking != question) co_return;
  Permission& permission = found->second;
  permission.asking = 0;
  if (tickets) {
    if (permission.asked.empty()) permission.until = askedAt + validity - internal::AdviceMargin;
    permission.asked.insert(targets.begin(), targets.end());
    for (Ticket& ticket : *tickets) permission.tickets[ticket.target] = std::move(ticket.text);
  }
  m_arrived();
}

}  // namespace courseloom
