// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/HallDrains.h"

#include <algorithm>
#include <cctype>

namespace courseloom {

namespace internal {
namespace {

constexpr std::size_t MaxHallNameLength = 64;

bool is_name_character(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
}

}  // namespace
}  // namespace internal

bool HallDrains::add(const std::string& hall, std::uint64_t timeMs, const std::string& operatorName,
                     std::uint64_t revision) {
  const auto [entry, added] = m_drains.try_emplace(hall);
  if (!added) return false;
  entry->second.set_data_hall(hall);
  entry->second.set_since_ms(timeMs);
  entry->second.set_operator_name(operatorName);
  entry->second.set_revision(revision);
  ++m_version;
  return true;
}

bool HallDrains::remove(const std::string& hall) {
  if (m_drains.erase(hall) == 0) return false;
  ++m_version;
  return true;
}

std::set<std::string> HallDrains::halls() const {
  std::set<std::string> halls;
  for (const auto& [hall, drain] : m_drains) halls.insert(hall);
  return halls;
}

void HallDrains::save(schema::StateSnapshot& snapshot) const {
  for (const auto& [hall, drain] : m_drains) *snapshot.add_hall_drains() = drain;
}

void HallDrains::load(const schema::StateSnapshot& snapshot) {
  m_drains.clear();
  for (const schema::HallDrain& drain : snapshot.hall_drains()) m_drains[drain.data_hall()] = drain;
  ++m_version;
}

bool isHallName(const std::string& text) {
  const bool fits = !text.empty() && text.size() <= internal::MaxHallNameLength;
  return fits && std::all_of(text.begin(), text.end(), internal::is_name_character);
}

}  // namespace courseloom
