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

/** \returns "service", "workspace" or "guarantee"; empty if no spec or several are set. */
std::string kindOf(const schema::Object& object);
/** \returns an object's labels with the built-in ones: kind, name, workspace, service, urgency. */
Labels labelsOf(const schema::Object& object);
/** \returns a job's labels with the built-in ones: kind, workspace, service, urgency, repeatable, phase. */
Labels labelsOf(const schema::Job& job);

/** \class ObjectTable
 * \brief The accepted configuration: objects by kind and name, each with the revision of its last change.
 *
 * Revisions are log indexes, one order for all. A history of changes lets followers catch up by deltas.
 * Deterministic: every replica that applies the same changes holds the same table.
 */
class ObjectTable {
 public:
  /** Changes kept for followers; one further behind gets everything. */
  static constexpr std::size_t MaxHistory = 8192;

  /** Checks a set of changes against current revisions and references. */
  Result<void> check(const schema::ApplyObjects& change) const;
  /** Applies a set of changes that check() accepted, all under one revision. */
  void apply(const schema::ApplyObjects& change, std::uint64_t revision, const std::string& operatorName);
  Result<void> checkRemoval(const schema::DeleteObject& removal) const;
  void remove(const schema::ObjectKey& key, std::uint64_t revision, const std::string& operatorName);
  /** Replaces one object without a check. */
  void put(schema::Object object, std::uint64_t revision, const std::string& operatorName);

  const schema::Object* find(const std::string& kind, const std::string& name) const;
  const std::map<ObjectId, schema::Object>& objects() const { return m_objects; }
  std::uint64_t revision() const { return m_revision; }
  /** Collects what changed after a revision. \returns false if the history no longer reaches back that far */
  bool changesSince(std::uint64_t revision, std::vector<schema::ObjectChange>& changes) const;

  void save(schema::StateSnapshot& snapshot) const;
  void load(const schema::StateSnapshot& snapshot);

 private:
  void record(schema::ObjectChange change);
  std::string lastOperator(const ObjectId& id) const;

  std::map<ObjectId, schema::Object> m_objects;
  std::deque<schema::ObjectChange> m_history;
  std::uint64_t m_revision = 0;
  std::uint64_t m_historyBase = 0;  ///< the history holds every change after this revision
};

}  // namespace courseloom
