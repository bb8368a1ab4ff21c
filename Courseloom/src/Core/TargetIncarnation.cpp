// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Core/TargetIncarnation.h"

#include <charconv>

namespace courseloom {

namespace internal {
namespace {

constexpr char StartTimeSeparator = '@';

}  // namespace
}  // namespace internal

std::string TargetIncarnation::name() const {
  return startTimeMs == 0 ? id : id + internal::StartTimeSeparator + std::to_string(startTimeMs);
}

TargetIncarnation TargetIncarnation::named(std::string_view name) {
  const std::size_t separator = name.rfind(internal::StartTimeSeparator);
  if (separator == std::string_view::npos) return {std::string(name), 0};
  TargetIncarnation incarnation{std::string(name.substr(0, separator)), 0};
  std::from_chars(name.data() + separator + 1, name.data() + name.size(), incarnation.startTimeMs);
  return incarnation;
}

bool TargetIncarnation::haveSameId(std::string_view name, std::string_view other) {
  return !name.empty() && named(name).id == named(other).id;
}

bool TargetIncarnation::isValidId(std::string_view id) {
  return !id.empty() && id.find(internal::StartTimeSeparator) == std::string_view::npos;
}

}  // namespace courseloom
