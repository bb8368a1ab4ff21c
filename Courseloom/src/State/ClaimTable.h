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
 * \brief The claims of requests that must not run twice, by workspace and request id, with the outcome of each request.
 *
 * A claim is opened before the request is dispatched. Its token names the attempt, the target and the incarnation of
 * the target's agent. A further attempt is granted only after the agent has confirmed that the earlier attempt can
 * never start. The table is deterministic: replicas that apply the same commands hold the same claims.
 */
class ClaimTable {
 public:
  /** Opens a claim, or returns the existing one. If `granted` is set in the reply, the caller may dispatch the token.
   * The reply is RequestIdReused if the request id was used with another body or service.
   * \param timeMs time of the command, ms since 1970 */
  schema::CommandReply open(const schema::OpenClaim& request, std::uint64_t timeMs);
  /** Ends the open attempt that the token names as void, finished or unknown. A claim that is not open, or is open for
   * another attempt, stays unchanged and is returned. The reply is the failure NotFound if there is no such claim.
   * \param maxAnswerBytes size of the answer's body above which the answer is not kept */
  schema::CommandReply end(const schema::EndClaim& request, std::uint64_t timeMs, std::size_t maxAnswerBytes);
  /** Removes claims that ended before a time, ms since 1970. */
  void expire(std::uint64_t beforeMs);

  /** \returns the claim, or nullptr if there is none. */
  const schema::Claim* find(const std::string& workspace, const std::string& requestId) const;
  /** \returns the number of claims. */
  std::size_t size() const { return m_claims.size(); }
  /** Adds all claims to a snapshot. */
  void save(schema::StateSnapshot& snapshot) const;
  /** Replaces all claims by those of a snapshot. */
  void load(const schema::StateSnapshot& snapshot);

 private:
  using Key = std::pair<std::string, std::string>;  ///< workspace and request id

  std::map<Key, schema::Claim> m_claims;
  std::deque<std::pair<std::uint64_t, Key>> m_ended;  ///< time of the end (ms since 1970) and key, oldest first
};

}  // namespace courseloom
