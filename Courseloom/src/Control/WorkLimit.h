// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Courseloom/src/State/WorkflowTable.h"

namespace courseloom {

/** \class WorkLimit
 * \brief Limits the memory of accepted workflows, shared by their workspaces.
 *
 * A replica has to hold what was accepted until it is done, also after a restart, so what does not fit must be rejected
 * before it is committed. A workspace may use at most FreeFactor times what is still free (the dynamic threshold of
 * Choudhury and Hahne, IEEE/ACM Transactions on Networking 6(2), 1998), so that one workspace alone leaves a third of
 * the memory to the others.
 *
 * A workflow whose commit is in progress is not rejected when it is submitted again: a rejection states that it will
 * never run. All use must be on the control strand.
 */
class WorkLimit {
 public:
  /** \param limitBytes memory for accepted workflows by the estimate of workflowBytes() */
  explicit WorkLimit(std::uint64_t limitBytes) : m_limit(limitBytes) {}

  /** \class Commit
   * \brief Counts a workflow while its commit is in progress and the table does not hold it yet.
   */
  class Commit {
   public:
    Commit(WorkLimit& limit, const schema::Workflow& workflow, std::uint64_t bytes);
    ~Commit();
    Commit(const Commit&) = delete;
    Commit& operator=(const Commit&) = delete;

   private:
    WorkLimit& m_work;
    std::string m_id;
  };

  /** \returns whether a workflow's commit is in progress. */
  bool isPending(const std::string& id) const { return m_pending.count(id) > 0; }
  /** \returns whether a workflow that is not known yet fits. \param bytes workflowBytes() of it */
  bool admits(const WorkflowTable& table, const std::string& workspace, std::uint64_t bytes) const;

 private:
  /** Memory that a workspace may use for each byte that is free. */
  static constexpr std::uint64_t FreeFactor = 2;

  struct Pending {
    std::string workspace;
    std::uint64_t bytes = 0;
    unsigned calls = 0;  ///< submissions of the workflow that are in progress
  };

  std::uint64_t m_limit;
  std::map<std::string, Pending> m_pending;  ///< by id of the workflow
};

}  // namespace courseloom
