// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <string>
#include <vector>

#include "generated/workflow.pb.h"

namespace courseloom {

/** \class CrashRecord
 * \brief The crashes of targets during runs of one task, and the decision when to stop starting the task.
 *
 * A crash of a target ends all runs on it, so the kind of the crash matters: one right after the start of the task's
 * run, with nothing else just started there, weighs more than the others. A run that is seen at its target for longer
 * than a crash at a start takes clears the record. The record is part of the replicated state: it depends only on
 * committed starts and ends.
 *
 * \sa WorkflowTable
 */
class CrashRecord {
 public:
  /** Number of crashes from which on only StartsLeft more starts of the task may follow. */
  static constexpr std::size_t CrashesAllowed = 3;
  /** Number of crashes right after a start, with nothing else just started at the target, that stop a task which has
   * CrashesAllowed crashes in all. */
  static constexpr std::size_t IsolatedCrashLimit = 2;
  /** Starts allowed after CrashesAllowed crashes. */
  static constexpr std::uint32_t StartsLeft = 2;

  /** Records a committed start of a run. */
  void started();
  /** Records a committed end. \param run the run that ended \param end its end, with the kind of crash */
  void ended(const schema::ActiveRun& run, const schema::RunEnd& end);

  /** \returns whether any crash is recorded. */
  bool suspected() const { return !m_crashes.empty(); }
  /** \returns whether the next start must be a trial start, at a target that is kept free of other starts: after a
   * crash with nothing else just started, or after any two crashes. */
  bool needsTrial() const;
  /** \returns whether the task must not be started again. Valid only while none of its runs is active. */
  bool shouldGiveUp() const;
  /** \returns the crashes, oldest first. */
  const std::vector<schema::TargetCrash>& crashes() const { return m_crashes; }
  /** \returns the crashes as readable text: target, run, kind and time after the start in ms, if that is known. */
  std::string evidence() const;

  /** Adds the record to a task's part of a snapshot. */
  void save(schema::TaskRecord& record) const;
  /** Replaces the record by that of a snapshot. */
  void load(const schema::TaskRecord& record);

 private:
  /** \returns the number of crashes right after a start with nothing else just started at the target. */
  std::size_t isolatedCrashes() const;

  std::vector<schema::TargetCrash> m_crashes;
  std::uint32_t m_lastStarts = 0;  ///< starts since the number of crashes reached CrashesAllowed
};

}  // namespace courseloom
