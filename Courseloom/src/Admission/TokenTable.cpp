// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Admission/TokenTable.h"

namespace courseloom {

TokenTable::Key TokenTable::keyOf(const schema::Token& token) {
  return {token.workspace(), token.request_id(), token.attempt(), token.incarnation()};
}

void TokenTable::evictIfFull() {
  if (m_tokens.size() < m_limit) return;
  ++m_incarnation;
  std::erase_if(m_tokens, [](const auto& entry) { return entry.second.state != schema::TokenRunning; });
}

bool TokenTable::begin(const schema::Token& token) {
  evictIfFull();
  if (token.incarnation() != m_incarnation) return false;
  const auto [entry, inserted] = m_tokens.try_emplace(keyOf(token));
  if (inserted) entry->second.state = schema::TokenRunning;
  return inserted;
}

void TokenTable::tombstone(const schema::Token& token) { m_tokens[keyOf(token)] = {schema::TokenTombstoned, {}}; }

void TokenTable::finish(const schema::Token& token, const schema::Answer& answer) {
  m_tokens[keyOf(token)] = {schema::TokenFinished, answer};
}

void TokenTable::markUnknown(const schema::Token& token) { m_tokens[keyOf(token)] = {schema::TokenUnknown, {}}; }

schema::ResolveReply TokenTable::resolve(const schema::Token& token) {
  schema::ResolveReply reply;
  const auto found = m_tokens.find(keyOf(token));
  if (found != m_tokens.end()) {
    reply.set_fate(found->second.state);
    *reply.mutable_answer() = found->second.answer;
    return reply;
  }
  if (token.incarnation() != m_incarnation) {
    reply.set_fate(schema::TokenUnknown);
    return reply;
  }
  evictIfFull();
  if (token.incarnation() != m_incarnation) {
    reply.set_fate(schema::TokenUnknown);
    return reply;
  }
  tombstone(token);
  reply.set_fate(schema::TokenTombstoned);
  return reply;
}

}  // namespace courseloom
