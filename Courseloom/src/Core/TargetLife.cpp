// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Core/TargetLife.h"

#include <charconv>

namespace courseloom {

namespace internal {
namespace {

constexpr char BirthMark = '@';

}  // namespace
}  // namespace internal

std::string TargetLife::name() const { return bornMs == 0 ? id : id + internal::BirthMark + std::to_string(bornMs); }

TargetLife TargetLife::named(std::string_view name) {
  const std::size_t mark = name.rfind(internal::BirthMark);
  if (mark == std::string_view::npos) return {std::string(name), 0};
  TargetLife life{std::string(name.substr(0, mark)), 0};
  std::from_chars(name.data() + mark + 1, name.data() + name.size(), life.bornMs);
  return life;
}

bool TargetLife::isIdentity(std::string_view id) {
  return !id.empty() && id.find(internal::BirthMark) == std::string_view::npos;
}

}  // namespace courseloom
