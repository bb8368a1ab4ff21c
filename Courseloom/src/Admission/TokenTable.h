// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <optional>
#include <string>
#include <tuple>

#include "generated/rpc.pb.h"

namespace courseloom {

/** \class TokenTable
 * \brief States of the tokens of requests that must not be repeated, as known to one agent.
 *
 * A token starts once, and only in the incarnation that it names. A token that is queried before it arrives is
 * tombstoned: it can never start. The table is kept in memory. A restarted agent has a new incarnation and no tokens of
 * the former one, so it refuses these and reports their outcome as unknown. A full table starts a new incarnation in
 * the same way, since it must not forget a tombstone.
 */
class TokenTable {
 public:
  TokenTable(std::uint64_t incarnation, std::size_t limit) : m_incarnation(incarnation), m_limit(limit) {}

  /** Begins a token. \returns false if it must not start, since it is used, tombstoned or of another incarnation */
  bool begin(const schema::Token& token);
  /** Marks a token as one that will never run: its request was refused before it reached the target. */
  void tombstone(const schema::Token& token);
  /** Stores the answer of the target. */
  void finish(const schema::Token& token, const schema::Answer& answer);
  /** Marks the outcome of a token as unknown: the target failed during the exchange. */
  void markUnknown(const schema::Token& token);
  /** \returns the state of a token and its answer, if any. A token of this incarnation that has not arrived yet is
   * tombstoned by the call. */
  schema::ResolveReply resolve(const schema::Token& token);

  std::uint64_t incarnation() const { return m_incarnation; }
  std::size_t size() const { return m_tokens.size(); }

 private:
  using Key = std::tuple<std::string, std::string, std::uint32_t, std::uint64_t>;
  struct Entry {
    schema::TokenFate state = schema::TokenTombstoned;
    schema::Answer answer;
  };

  static Key keyOf(const schema::Token& token);
  /** Starts a new incarnation if the table is full, and removes all tokens that are not running. */
  void evictIfFull();

  std::uint64_t m_incarnation;
  std::size_t m_limit;
  std::map<Key, Entry> m_tokens;
};

}  // namespace courseloom
