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
 * \brief What one agent knows of the tokens of requests that must not be repeated.
 *
 * A token starts once, and only in the incarnation it names. A token that is asked after before it came is tombstoned:
 * it can never start. The table lives in memory; an agent that restarts has a new incarnation and knows nothing of its
 * former life, so it refuses those tokens and says their fate is unknown. When the table is full it takes a new
 * incarnation likewise, rather than forget a tombstone.
 */
class TokenTable {
 public:
  TokenTable(std::uint64_t incarnation, std::size_t limit) : m_incarnation(incarnation), m_limit(limit) {}

  /** Begins a token. \returns false if it must not start: used, tombstoned or of another incarnation */
  bool begin(const schema::Token& token);
  /** The token will never run: refused before anything reached the target. */
  void tombstone(const schema::Token& token);
  /** The target has answered. */
  void finish(const schema::Token& token, const schema::Answer& answer);
  /** The outcome is lost: the target failed in the middle. */
  void lose(const schema::Token& token);
  /** \returns what became of a token; one never seen is tombstoned by this. */
  schema::ResolveReply resolve(const schema::Token& token);

  std::uint64_t incarnation() const { return m_incarnation; }
  std::size_t size() const { return m_tokens.size(); }

 private:
  using Key = std::tuple<std::string, std::string, std::uint32_t, std::uint64_t>;
  struct Entry {
    schema::TokenFate fate = schema::TokenTombstoned;
    schema::Answer answer;
  };

  static Key keyOf(const schema::Token& token);
  void makeRoom();

  std::uint64_t m_incarnation;
  std::size_t m_limit;
  std::map<Key, Entry> m_tokens;
};

}  // namespace courseloom
