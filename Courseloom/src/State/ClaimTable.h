// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <deque>
#include <map>
#include <string>
#include <utility>

#include "Courseloom/src/Core/Failure.h"

namespace courseloom {

/** \class ClaimTable
 * \brief What became of each request that must not be repeated, by workspace and request id.
 *
 * A claim is opened before dispatch. Its token names the attempt, the target and the incarnation of the target's agent.
 * A further attempt is granted only after the agent has confirmed that the earlier one can never start. Deterministic.
 */
class ClaimTable {
 public:
  /** Opens a claim or tells what became of it; `granted` in the reply lets the asker dispatch the token. */
  schema::CommandReply open(const schema::OpenClaim& request, std::uint64_t timeMs);
  /** Ends the open attempt that the token names: void, finished or unknown. */
  schema::CommandReply end(const schema::EndClaim& request, std::uint64_t timeMs, std::size_t maxAnswerBytes);
  /** Forgets ended claims older than a time. */
  void expire(std::uint64_t beforeMs);

  const schema::Claim* find(const std::string& workspace, const std::string& requestId) const;
  std::size_t size() const { return m_claims.size(); }
  void save(schema::StateSnapshot& snapshot) const;
  void load(const schema::StateSnapshot& snapshot);

 private:
  using Key = std::pair<std::string, std::string>;

  std::map<Key, schema::Claim> m_claims;
  std::deque<std::pair<std::uint64_t, Key>> m_ended;  ///< in the order in which they ended
};

}  // namespace courseloom
