// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/Selector.h"

#include <algorithm>
#include <boost/fusion/include/adapt_struct.hpp>
#include <boost/spirit/home/x3.hpp>

BOOST_FUSION_ADAPT_STRUCT(courseloom::SelectorTerm, key, comparison, values)

namespace courseloom {

namespace internal {
namespace {

namespace x3 = boost::spirit::x3;

const auto word = x3::rule<struct WordName, std::string>("word") = x3::lexeme[+(x3::alnum | x3::char_("._-"))];
using Words = std::vector<std::string>;
const auto value_list = x3::rule<struct ListName, Words>("list") = x3::lit('(') >> (word % ',') >> x3::lit(')');
const auto single = x3::rule<struct SingleName, Words>("value") = x3::repeat(1)[word];

template <class Name>
using TermRule = x3::rule<Name, SelectorTerm>;

const auto equal = TermRule<struct EqualName>("equal") = word >>
                                                         x3::lit('=') >> x3::attr(SelectorOperator::Equal) >> single;
const auto not_equal = TermRule<struct NotEqualName>("not equal") =
    word >> x3::lit("!=") >> x3::attr(SelectorOperator::NotEqual) >> single;
const auto in_list = TermRule<struct InName>("in") = word >> x3::lexeme[x3::lit("in") >> !x3::alnum] >>
                                                     x3::attr(SelectorOperator::In) >> value_list;
const auto not_in_list = TermRule<struct NotInName>("notin") = word >> x3::lexeme[x3::lit("notin") >> !x3::alnum] >>
                                                               x3::attr(SelectorOperator::NotIn) >> value_list;
const auto exists = TermRule<struct ExistsName>("exists") =
    word >> x3::attr(SelectorOperator::Exists) >> x3::attr(std::vector<std::string>());
const auto missing = TermRule<struct MissingName>("missing") =
    x3::lit('!') >> word >> x3::attr(SelectorOperator::Missing) >> x3::attr(std::vector<std::string>());
const auto term = missing | equal | not_equal | not_in_list | in_list | exists;
const auto terms = x3::rule<struct Terms, std::vector<SelectorTerm>>("selector") = term % ',';

}  // namespace
}  // namespace internal

bool SelectorTerm::matches(const Labels& labels) const {
  const auto found = labels.find(key);
  const bool present = found != labels.end();
  const bool listed = present && std::find(values.begin(), values.end(), found->second) != values.end();
  switch (comparison) {
    case SelectorOperator::Equal:
    case SelectorOperator::In:
      return listed;
    case SelectorOperator::NotEqual:
    case SelectorOperator::NotIn:
      return !listed;
    case SelectorOperator::Exists:
      return present;
    case SelectorOperator::Missing:
      return !present;
  }
  return false;
}

Result<Selector> Selector::parse(const std::string& text) {
  Selector selector;
  if (text == "all") return selector;
  auto at = text.begin();
  const bool read =
      boost::spirit::x3::phrase_parse(at, text.end(), internal::terms, boost::spirit::x3::space, selector.m_terms);
  if (!read || at != text.end()) {
    const auto column = std::distance(text.begin(), at) + 1;
    return fail(Failure{FailureCode::BadSelector, Ran::No, "read selector", "",
                        "'" + text + "' cannot be read at column " + std::to_string(column), 0});
  }
  return selector;
}

bool Selector::matches(const Labels& labels) const {
  return std::all_of(m_terms.begin(), m_terms.end(), [&](const auto& term) { return term.matches(labels); });
}

}  // namespace courseloom
