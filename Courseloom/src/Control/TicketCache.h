// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
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

/** \defgroup TicketNeed Which starts need a ticket
 *
 * The rule: what an accepted workflow needs is found out without its queue, which may be replaced, removed or changed
 * while the workflow waits. Sources, the first that applies counts:
 *
 * 1. The queue of the workflow's name in the configuration in force has an advice policy: its starts need tickets.
 * 2. A target has refused a start of the workflow for want of a valid ticket (`wants_ticket` of its record, which is in
 *    the log): its starts need tickets, whatever the configuration says.
 * 3. The queue has had a policy since the workflow was accepted (`advice` of its record, kept in the log): they are
 *    presumed to need tickets. If the advice service does not answer, a start is tried without one; a refusal then
 *    leads to 2.
 *
 * The times are those in force, else the newest ones known for the workflow. So a queue that
 * | changes             | its accepted workflows                                                          |
 * |---------------------|---------------------------------------------------------------------------------|
 * | is kept             | 1                                                                               |
 * | gains a policy      | 1                                                                               |
 * | changes its times   | 1, with the new times                                                           |
 * | loses its policy    | 3                                                                               |
 * | gets another name   | 3; the queue of the new name concerns only workflows that are submitted to it   |
 * | is removed          | 3                                                                               |
 * | is given back       | 1 if it has a policy, else 3                                                    |
 * Workflows that an earlier version accepted have their policy stored at the next change of the configuration; if their
 * queue is gone by then, 2 applies after one refused start.
 */

/** How sure it is that the starts of a workflow need tickets. */
enum class TicketCertainty : std::uint8_t { NotNeeded, Presumed, Needed };

/** \class TicketNeed
 * \brief Whether the starts of a workflow need tickets, and how long these are valid.
 */
struct TicketNeed {
  TicketCertainty certainty = TicketCertainty::NotNeeded;
  Duration validity{};  ///< of a ticket, from the request for it
};
/** \returns the need of a workflow. \param queue queue of the workflow's name in the configuration in force; may be
 * null */
TicketNeed ticketNeedOf(const schema::Workflow& workflow, const schema::Queue* queue);

/** \class TicketCache
 * \brief The leader's tickets for steps, and the pending requests for them. Until a step's tickets expire, no target is
 * included in a further request once the advice service has answered for it.
 *
 * The advice service decides on one request after another, so a workflow has at most MaxRequestsPerWorkflow at a time.
 * After a refused ticket, the next request for its step waits for a pause that doubles with each refusal.
 */
class TicketCache {
 public:
  using StepName = std::pair<std::string, StepKey>;    ///< workflow and step
  using Tickets = std::map<std::string, std::string>;  ///< tickets by target

  /** Most requests of one workflow that are pending at the same time. */
  static constexpr std::size_t MaxRequestsPerWorkflow = 8;

  /** \param port advice service; if null, no step needs a ticket \param onAnswer called on the strand after each answer
   * of the advice service, and after each failure and the pause that follows it, unless the step was discarded in the
   * meantime */
  TicketCache(ControlStrand strand, std::unique_ptr<AdvicePort> port, std::function<void()> onAnswer)
      : m_strand(std::move(strand)), m_port(std::move(port)), m_onAnswer(std::move(onAnswer)) {}

  /** Discards all tickets and ignores the answers to pending requests. */
  void clear();
  /** Discards the tickets of a workflow that has ended. */
  void forget(const std::string& workflow);
  /** Discards the tickets of a step that is done. */
  void forget(const StepName& step);
  /** Returns the valid tickets of a step, and requests tickets for targets without an answer so far, unless a
   * request for the step is pending. \param targets identities of targets that could run the step \returns tickets by
   * target; nothing if a start needs none, or is to be tried without one */
  std::optional<Tickets> ticketsFor(const StepName& name, const TicketNeed& need,
                                    const std::vector<std::string>& targets);
  /** Discards the tickets of a step after a target has refused a start for want of a valid one: the others are as old.
   * Delays the next request for the step. */
  void refused(const StepName& step);

 private:
  struct StepTickets {
    std::map<std::string, std::string> tickets;
    /** When all tickets expire, set by the first successful request since the last expiry; zero before any. */
    Time until{};
    std::set<std::string> requested;  ///< targets of successful requests since the last expiry
    std::uint64_t requestId = 0;      ///< the pending request, or 0
    bool failed = false;              ///< the newest request was not answered
    Time nextRequest{};               ///< after a refusal: earliest time of the next request
    Duration refusalPause{};          ///< pause after the next refusal; zero before the first one
  };
  void removeExpired(const std::string& workflow);
  bool mayRequest(const std::string& workflow) const;
  Awaitable<void> requestTickets(StepName name, std::vector<std::string> targets, Duration validity,
                                 std::uint64_t requestId);

  ControlStrand m_strand;
  std::unique_ptr<AdvicePort> m_port;
  std::function<void()> m_onAnswer;
  std::map<StepName, StepTickets> m_stepTickets;
  std::map<std::string, std::set<StepKey>> m_requested;  ///< steps with a pending request, by workflow
  std::uint64_t m_lastRequestId = 0;
};

}  // namespace courseloom
