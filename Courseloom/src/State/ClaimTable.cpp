// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/State/ClaimTable.h"

namespace courseloom {

schema::CommandReply ClaimTable::open(const schema::OpenClaim& request, std::uint64_t timeMs) {
  schema::CommandReply reply;
  schema::Claim& claim = m_claims[{request.token().workspace(), request.token().request_id()}];
  const bool isNew = !claim.has_token();
  if (!isNew && claim.digest() != request.digest()) {
    const Failure reused{FailureCode::RequestIdReused,
                         Ran::No,
                         "claim",
                         "",
                         "request id '" + request.token().request_id() + "' was used with another body or service",
                         0};
    *reply.mutable_failure() = toInfo(reused);
    return reply;
  }
  if (isNew || claim.phase() == schema::ClaimVoid) {
    const std::uint32_t attempt = isNew ? 1 : claim.token().attempt() + 1;
    *claim.mutable_token() = request.token();
    claim.mutable_token()->set_attempt(attempt);
    claim.set_digest(request.digest());
    claim.set_service(request.service());
    claim.set_opener(request.opener());
    claim.set_phase(schema::ClaimOpen);
    claim.set_changed_ms(timeMs);
  }
  reply.set_granted(claim.phase() == schema::ClaimOpen && claim.opener() == request.opener());
  *reply.mutable_claim() = claim;
  return reply;
}

schema::CommandReply ClaimTable::end(const schema::EndClaim& request, std::uint64_t timeMs,
                                     std::size_t maxAnswerBytes) {
  schema::CommandReply reply;
  const Key key{request.token().workspace(), request.token().request_id()};
  const auto found = m_claims.find(key);
  if (found == m_claims.end()) {
    *reply.mutable_failure() =
        toInfo(Failure{FailureCode::NotFound, Ran::Unknown, "end claim", "", "no such claim", 0});
    return reply;
  }
  schema::Claim& claim = found->second;
  const bool current = claim.phase() == schema::ClaimOpen && claim.token().attempt() == request.token().attempt();
  if (current) {
    claim.set_phase(request.phase());
    claim.set_changed_ms(timeMs);
    if (request.phase() == schema::ClaimFinished) {
      claim.set_answer_dropped(request.answer().body().size() > maxAnswerBytes);
      if (!claim.answer_dropped()) *claim.mutable_answer() = request.answer();
    }
    m_ended.emplace_back(timeMs, key);
  }
  *reply.mutable_claim() = claim;
  return reply;
}

void ClaimTable::expire(std::uint64_t beforeMs) {
  while (!m_ended.empty() && m_ended.front().first < beforeMs) {
    const auto found = m_claims.find(m_ended.front().second);
    const bool ended = found != m_claims.end() && found->second.phase() != schema::ClaimOpen &&
                       found->second.changed_ms() == m_ended.front().first;
    if (ended) m_claims.erase(found);
    m_ended.pop_front();
  }
}

const schema::Claim* ClaimTable::find(const std::string& workspace, const std::string& requestId) const {
  const auto found = m_claims.find({workspace, requestId});
  return found == m_claims.end() ? nullptr : &found->second;
}

void ClaimTable::save(schema::StateSnapshot& snapshot) const {
  for (const auto& [key, claim] : m_claims) *snapshot.add_claims() = claim;
}

void ClaimTable::load(const schema::StateSnapshot& snapshot) {
  m_claims.clear();
  m_ended.clear();
  std::multimap<std::uint64_t, Key> ended;
  for (const schema::Claim& claim : snapshot.claims()) {
    const Key key{claim.token().workspace(), claim.token().request_id()};
    m_claims[key] = claim;
    if (claim.phase() != schema::ClaimOpen) ended.emplace(claim.changed_ms(), key);
  }
  m_ended.assign(ended.begin(), ended.end());
}

}  // namespace courseloom
