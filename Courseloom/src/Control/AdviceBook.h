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
 * \brief Permission to run a step on one life of a target.
 */
struct Ticket {
  std::string target;
  std::string text;
};

/** \class AdvicePort
 * \brief The service that alone knows which targets may run a step of a queue under a policy.
 */
class AdvicePort {
 public:
  virtual ~AdvicePort() = default;
  /** Asks for the targets that may run a step. \param step any task of it \param limit time for all of it */
  virtual Awaitable<Result<std::vector<Ticket>>> advise(schema::TaskId step, std::vector<std::string> targets,
                                                        Duration limit) = 0;
};

/** \class AdviceBook
 * \brief The tickets that the leader holds for steps, and the questions under way; each target is asked for once.
 */
class AdviceBook {
 public:
  using StepName = std::pair<std::string, StepKey>;  ///< workflow and step

  /** \param port may be null: then no step needs a ticket \param arrived called when an answer has come */
  AdviceBook(ControlStrand strand, std::unique_ptr<AdvicePort> port, std::function<void()> arrived)
      : m_strand(std::move(strand)), m_port(std::move(port)), m_arrived(std::move(arrived)) {}

  void clear() { m_permissions.clear(); }
  /** Forgets the tickets of a workflow that has ended. */
  void forget(const std::string& workflow) {
    std::erase_if(m_permissions, [&workflow](const auto& entry) { return entry.first.first == workflow; });
  }
  bool needed(const schema::Queue* queue) const { return m_port && queue != nullptr && queue->has_advice(); }
  /** \param targets lives of targets that could run the step; those not asked for yet are asked for now
   * \returns the tickets that are held and still good, by target */
  std::map<std::string, std::string> ticketsFor(const StepName& name, const schema::AdvicePolicy& policy,
                                                const std::vector<std::string>& targets);

 private:
  struct Permission {
    std::map<std::string, std::string> tickets;
    Time until{};
    std::set<std::string> asked;  ///< targets that were named
    std::uint64_t asking = 0;     ///< the question under way, or 0
  };
  Awaitable<void> ask(StepName name, std::vector<std::string> targets, Duration validity, std::uint64_t question);

  ControlStrand m_strand;
  std::unique_ptr<AdvicePort> m_port;
  std::function<void()> m_arrived;
  std::map<StepName, Permission> m_permissions;
  std::uint64_t m_questions = 0;
};

}  // namespace courseloom
