// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/TicketCache.h"

#include <algorithm>
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
/** Validity of the tickets of a workflow for which none is known. A ticket that is not valid any more is refused. */
constexpr Duration UnknownValidity = milliseconds(5000);
/** Pauses between a refused ticket and the next request for its step. */
constexpr Duration FirstRefusalPause = milliseconds(200);
constexpr Duration LongestRefusalPause = milliseconds(5000);
/** Time without a refusal after which the pauses of a step begin anew. */
constexpr Duration RefusalMemory = milliseconds(10000);
/** Most targets in one request. */
constexpr std::size_t MaxAdvisedTargets = 100;
}  // namespace
}  // namespace internal

TicketNeed ticketNeedOf(const schema::Workflow& workflow, const schema::Queue* queue) {
  if (queue != nullptr && queue->has_advice())
    return {TicketCertainty::Needed, milliseconds(queue->advice().validity_ms())};
  const Duration known =
      workflow.has_advice() ? milliseconds(workflow.advice().validity_ms()) : internal::UnknownValidity;
  if (workflow.wants_ticket()) return {TicketCertainty::Needed, known};
  if (workflow.has_advice()) return {TicketCertainty::Presumed, known};
  return {};
}

void TicketCache::clear() {
  m_stepTickets.clear();
  m_requested.clear();
}

void TicketCache::forget(const std::string& workflow) {
  m_stepTickets.erase(m_stepTickets.lower_bound({workflow, StepKey()}),
                      m_stepTickets.upper_bound({workflow, StepKey{UINT32_MAX, UINT32_MAX}}));
  m_requested.erase(workflow);
}

void TicketCache::forget(const StepName& step) {
  m_stepTickets.erase(step);
  const auto requested = m_requested.find(step.first);
  if (requested != m_requested.end()) requested->second.erase(step.second);
}

/** Removes the steps of a workflow that have no valid tickets, no pending request and no recent refusal or failure. */
void TicketCache::removeExpired(const std::string& workflow) {
  const Time now = BootClock::now();
  auto step = m_stepTickets.lower_bound({workflow, StepKey()});
  while (step != m_stepTickets.end() && step->first.first == workflow) {
    const StepTickets& held = step->second;
    const bool remembered = held.failed || now < held.nextRequest + internal::RefusalMemory;
    const bool idle = held.requestId == 0 && now >= held.until && !remembered;
    step = idle ? m_stepTickets.erase(step) : std::next(step);
  }
}

bool TicketCache::mayRequest(const std::string& workflow) const {
  const auto requested = m_requested.find(workflow);
  return requested == m_requested.end() || requested->second.size() < MaxRequestsPerWorkflow;
}

std::optional<TicketCache::Tickets> TicketCache::ticketsFor(const StepName& name, const TicketNeed& need,
                                                            const std::vector<std::string>& targets) {
  if (!m_port || need.certainty == TicketCertainty::NotNeeded) return std::nullopt;
  if (m_stepTickets.count(name) == 0) {
    if (!mayRequest(name.first)) return Tickets();
    removeExpired(name.first);
  }
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
  const bool triedWithout = held.failed && held.tickets.empty() && need.certainty == TicketCertainty::Presumed;
  const bool mayAsk = held.requestId == 0 && BootClock::now() >= held.nextRequest && mayRequest(name.first);
  if (!newTargets.empty() && mayAsk) {
    held.requestId = ++m_lastRequestId;
    m_requested[name.first].insert(name.second);
    boost::asio::co_spawn(m_strand, requestTickets(name, std::move(newTargets), need.validity, held.requestId),
                          boost::asio::detached);
  }
  if (triedWithout) return std::nullopt;
  return held.tickets;
}

void TicketCache::refused(const StepName& step) {
  if (!m_port) return;
  StepTickets& held = m_stepTickets[step];
  held.tickets.clear();
  held.requested.clear();
  held.refusalPause = std::clamp(2 * held.refusalPause, internal::FirstRefusalPause, internal::LongestRefusalPause);
  held.nextRequest = BootClock::now() + held.refusalPause;
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
  held.failed = !tickets;
  m_requested[name.first].erase(name.second);
  if (tickets) {
    if (held.requested.empty()) held.until = requestedAt + validity - internal::AdviceMargin;
    held.requested.insert(targets.begin(), targets.end());
    for (Ticket& ticket : *tickets) held.tickets[ticket.target] = std::move(ticket.text);
  }
  m_onAnswer();
}

}  // namespace courseloom
