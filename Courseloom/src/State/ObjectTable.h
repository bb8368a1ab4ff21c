// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "Courseloom/src/Core/Failure.h"
#include "Courseloom/src/State/Selector.h"

namespace courseloom {

using ObjectId = std::pair<std::string, std::string>;  ///< kind and name

/** \returns "service", "workspace" or "guarantee"; empty if the object has none or more than one of these specs. */
std::string kindOf(const schema::Object& object);
/** \returns an object's own labels and the built-in ones: kind, name, workspace, service, urgency. Own labels take
 * precedence over built-in ones of the same key. */
Labels labelsOf(const schema::Object& object);
/** \returns a job's own labels and the built-in ones: kind, workspace, service, urgency, repeatable. Own labels take
 * precedence over built-in ones of the same key. */
Labels labelsOf(const schema::Job& job);

/** \class ObjectTable
 * \brief The accepted configuration: objects by kind and name, each with the revision of its last change.
 *
 * A revision is a log index, so that one order holds for all objects. Followers use the history of changes to catch up
 * by deltas. The table is deterministic: replicas that apply the same changes hold the same table.
 */
class ObjectTable {
 public:
  /** Number of changes kept for followers. A follower that is further behind receives the whole table. */
  static constexpr std::size_t MaxHistory = 8192;

  /** Checks a set of changes against the current revisions and the references between objects. An object whose revision
   * is 0 is accepted at any current revision. \returns BadRequest, Conflict, UnknownWorkspace or UnknownService */
  Result<void> check(const schema::ApplyObjects& change) const;
  /** Applies a set of changes that check() accepted, all under one revision. Existing pauses and drains are kept. */
  void apply(const schema::ApplyObjects& change, std::uint64_t revision, const std::string& operatorName);
  /** Checks a removal against the current revision (0 accepts any) and the guarantees that refer to the object.
   * \returns NotFound or Conflict */
  Result<void> checkRemoval(const schema::DeleteObject& removal) const;
  /** Removes an object; to be called only after checkRemoval() accepted the removal. */
  void remove(const schema::ObjectKey& key, std::uint64_t revision, const std::string& operatorName);
  /** Adds or replaces one object without a check. */
  void put(schema::Object object, std::uint64_t revision, const std::string& operatorName);

  /** \returns the object, or nullptr if there is none. */
  const schema::Object* find(const std::string& kind, const std::string& name) const;
  /** \returns all objects by kind and name. */
  const std::map<ObjectId, schema::Object>& objects() const { return m_objects; }
  /** \returns the revision of the newest change. */
  std::uint64_t revision() const { return m_revision; }
  /** Collects the changes after a revision, oldest first.
   * \returns false if the history does not reach back that far, or if the revision is newer than the table */
  bool changesSince(std::uint64_t revision, std::vector<schema::ObjectChange>& changes) const;

  /** Adds the objects, the history and the revisions to a snapshot. */
  void save(schema::StateSnapshot& snapshot) const;
  /** Replaces the objects, the history and the revisions by those of a snapshot. */
  void load(const schema::StateSnapshot& snapshot);

 private:
  /** Appends a change to the history and drops the oldest changes beyond MaxHistory. */
  void record(schema::ObjectChange change);
  /** \returns the operator who last changed an object, if the history still has that change. */
  std::string lastOperator(const ObjectId& id) const;

  std::map<ObjectId, schema::Object> m_objects;
  std::deque<schema::ObjectChange> m_history;  ///< oldest first
  std::uint64_t m_revision = 0;
  std::uint64_t m_historyBase = 0;  ///< the history has all changes after this revision
};

}  // namespace courseloom
