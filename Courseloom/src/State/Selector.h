// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <string>
#include <vector>

#include "Courseloom/src/Core/Failure.h"

namespace courseloom {

using Labels = std::map<std::string, std::string>;

/** How one term of a selector compares. */
enum class SelectorOperator : std::uint8_t { Equal, NotEqual, In, NotIn, Exists, Missing };

/** \class SelectorTerm
 * \brief One condition on one label.
 */
struct SelectorTerm {
  std::string key;
  SelectorOperator comparison = SelectorOperator::Exists;
  std::vector<std::string> values;

  bool matches(const Labels& labels) const;
};

/** \class Selector
 * \brief A conjunction of conditions over labels, such as `owner=fund-desk,urgency in (low,batch)`.
 *
 * Terms: `key=value`, `key!=value`, `key in (a,b)`, `key notin (a,b)`, `key`, `!key`. An empty selector is refused, so
 * that nobody touches everything by accident; `all` matches everything.
 */
class Selector {
 public:
  /** Reads a selector's text. \returns BadSelector with the place of the error */
  static Result<Selector> parse(const std::string& text);
  bool matches(const Labels& labels) const;

 private:
  std::vector<SelectorTerm> m_terms;
};

}  // namespace courseloom
