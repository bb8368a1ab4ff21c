// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <string>
#include <vector>

#include "Courseloom/src/Core/Failure.h"

namespace courseloom {

using Labels = std::map<std::string, std::string>;  ///< values by key

/** Comparison that a term of a selector makes. */
enum class SelectorOperator : std::uint8_t { Equal, NotEqual, In, NotIn, Exists, Missing };

/** \class SelectorTerm
 * \brief One condition on the label with a given key.
 */
struct SelectorTerm {
  std::string key;  ///< key of the label
  SelectorOperator comparison = SelectorOperator::Exists;
  std::vector<std::string> values;  ///< one for Equal and NotEqual, none for Exists and Missing

  /** \returns whether the condition holds. NotEqual and NotIn also hold where the label is missing. */
  bool matches(const Labels& labels) const;
};

/** \class Selector
 * \brief A conjunction of conditions over labels, such as `owner=fund-desk,urgency in (low,batch)`.
 *
 * Terms: `key=value`, `key!=value`, `key in (a,b)`, `key notin (a,b)`, `key`, `!key`. An empty selector is
 * rejected, so that nobody selects everything by accident. The selector `all` matches everything.
 */
class Selector {
 public:
  /** Parses the text of a selector. \returns the selector, or BadSelector with the column of the error */
  static Result<Selector> parse(const std::string& text);
  /** \returns whether all conditions hold. */
  bool matches(const Labels& labels) const;

 private:
  std::vector<SelectorTerm> m_terms;
};

}  // namespace courseloom
