// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Courseloom/src/Control/ReplicaDriver.h"
#include "Courseloom/src/State/WorkflowTable.h"

namespace courseloom {

/** \class Ticket
 * \brief Permission to run a step on one incarnation of a target.
 */
struct Ticket {
  std::string target;  ///< identity of the target's incarnation
  std::string text;    ///< opaque ticket, passed on with the start
};

/** \class AdvicePort
 * \brief Interface of the advice service, which decides which targets may run a step of a queue with an advice policy.
 */
class AdvicePort {
 public:
  virtual ~AdvicePort() = default;
  /** Requests tickets for a step. \param step any task of the step \param targets identities of the candidate targets
   * \param limit time limit of the whole call \returns a ticket for each target that may run the step */
  virtual Awaitable<Result<std::vector<Ticket>>> advise(schema::TaskId step, std::vector<std::string> targets,
                                                        Duration limit) = 0;
};

/** \class TicketCache
 * \brief The leader's tickets for steps, and the pending requests for them. Until a step's tickets expire, no target is
 * included in a further request once the advice service has answered for it.
 */
class TicketCache {
 public:
  using StepName = std::pair<std::string, StepKey>;  ///< workflow and step

  /** \param port advice service; if null, no step needs a ticket \param onAnswer called on the strand after each answer
   * of the advice service, and after each failure and the pause that follows it, unless the step was discarded in the
   * meantime */
  TicketCache(ControlStrand strand, std::unique_ptr<AdvicePort> port, std::function<void()> onAnswer)
      : m_strand(std::move(strand)), m_port(std::move(port)), m_onAnswer(std::move(onAnswer)) {}

  /** Discards all tickets and ignores the answers to pending requests. */
  void clear() { m_stepTickets.clear(); }
  /** Discards the tickets of a workflow that has ended. */
  void forget(const std::string& workflow) {
    std::erase_if(m_stepTickets, [&workflow](const auto& entry) { return entry.first.first == workflow; });
  }
  /** Discards the tickets of a step that is done. */
  void forget(const StepName& step) { m_stepTickets.erase(step); }
  /** \returns whether steps of a queue need a ticket for their starts. \param queue may be null: then none is needed */
  bool needed(const schema::Queue* queue) const { return m_port && queue != nullptr && queue->has_advice(); }
  /** Returns the valid tickets of a step, and requests tickets for targets without an answer so far, unless a
   * request for the step is pending. \param targets identities of targets that could run the step \returns tickets by
   * target */
  std::map<std::string, std::string> ticketsFor(const StepName& name, const schema::AdvicePolicy& policy,
                                                const std::vector<std::string>& targets);

 private:
  struct StepTickets {
    std::map<std::string, std::string> tickets;
    /** When all tickets expire, set by the first successful request since the last expiry; zero before any. */
    Time until{};
    std::set<std::string> requested;  ///< targets of successful requests since the last expiry
    std::uint64_t requestId = 0;      ///< the pending request, or 0
  };
  Awaitable<void> requestTickets(StepName name, std::vector<std::string> targets, Duration validity,
                                 std::uint64_t requestId);

  ControlStrand m_strand;
  std::unique_ptr<AdvicePort> m_port;
  std::function<void()> m_onAnswer;
  std::map<StepName, StepTickets> m_stepTickets;
  std::uint64_t m_lastRequestId = 0;
};

}  // namespace courseloom
