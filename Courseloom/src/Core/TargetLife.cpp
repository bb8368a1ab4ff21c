// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Core/TargetLife.h"

#include <charconv>

namespace courseloom {

namespace internal {
namespace {

constexpr char StartTimeSeparator = '@';

}  // namespace
}  // namespace internal

std::string TargetLife::name() const {
  return bornMs == 0 ? id : id + internal::StartTimeSeparator + std::to_string(bornMs);
}

TargetLife TargetLife::named(std::string_view name) {
  const std::size_t separator = name.rfind(internal::StartTimeSeparator);
  if (separator == std::string_view::npos) return {std::string(name), 0};
  TargetLife incarnation{std::string(name.substr(0, separator)), 0};
  std::from_chars(name.data() + separator + 1, name.data() + name.size(), incarnation.bornMs);
  return incarnation;
}

bool TargetLife::isIdentity(std::string_view id) {
  return !id.empty() && id.find(internal::StartTimeSeparator) == std::string_view::npos;
}

}  // namespace courseloom
