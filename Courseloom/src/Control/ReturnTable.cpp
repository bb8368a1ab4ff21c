// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/ReturnTable.h"

#include <algorithm>

namespace courseloom {

std::uint64_t ReturnTable::reject(const std::string& workflow, const std::string& service, Submission submission,
                                  std::uint64_t dueMs) {
  submission.firstArrivalMs = firstArrival(workflow).value_or(submission.firstArrivalMs);
  remove(workflow);
  if (m_entries.size() >= MaxEntries) evict();
  m_due.emplace(dueMs, workflow);
  m_dueByWorkspace[submission.workspace].emplace(dueMs, workflow);
  const std::uint64_t firstMs = submission.firstArrivalMs;
  m_entries[workflow] = Entry{service, std::move(submission), dueMs};
  return firstMs;
}

std::optional<std::uint64_t> ReturnTable::firstArrival(const std::string& workflow) const {
  const auto found = m_entries.find(workflow);
  if (found == m_entries.end()) return std::nullopt;
  return found->second.submission.firstArrivalMs;
}

std::vector<const Submission*> ReturnTable::places(const std::string& service, const std::string& except) const {
  std::vector<const Submission*> found;
  for (const auto& [workflow, entry] : m_entries) {
    if (entry.service == service && workflow != except) found.push_back(&entry.submission);
  }
  return found;
}

void ReturnTable::accept(const std::string& workflow) { remove(workflow); }

void ReturnTable::expire(std::uint64_t nowMs) {
  while (!m_due.empty() && m_due.begin()->first + GraceMs < nowMs) remove(std::string(m_due.begin()->second));
}

void ReturnTable::clear() {
  m_entries.clear();
  m_due.clear();
  m_dueByWorkspace.clear();
}

void ReturnTable::remove(const std::string& workflow) {
  const auto found = m_entries.find(workflow);
  if (found == m_entries.end()) return;
  const std::pair<std::uint64_t, std::string> due{found->second.dueMs, workflow};
  const auto own = m_dueByWorkspace.find(found->second.submission.workspace);
  own->second.erase(due);
  if (own->second.empty()) m_dueByWorkspace.erase(own);
  m_due.erase(due);
  m_entries.erase(found);
}

/** Removes the place with the earliest due time of the workspace that has the most places. */
void ReturnTable::evict() {
  const auto most = std::max_element(m_dueByWorkspace.begin(), m_dueByWorkspace.end(),
                                     [](const auto& a, const auto& b) { return a.second.size() < b.second.size(); });
  if (most != m_dueByWorkspace.end()) remove(std::string(most->second.begin()->second));
}

}  // namespace courseloom
