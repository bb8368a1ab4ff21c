// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Slots, guaranteed slots, fair shares, deadlines and tokens of an agent.

#include "Courseloom/src/Admission/Admission.h"
#include "Courseloom/src/Admission/TokenTable.h"
#include "test/main.h"

using namespace courseloom;

namespace {

const Time Start{milliseconds(1000)};
const Time Later{milliseconds(100000)};

schema::Token token(std::uint32_t attempt, std::uint64_t incarnation) {
  schema::Token made;
  made.set_workspace("andes");
  made.set_request_id("r1");
  made.set_attempt(attempt);
  made.set_incarnation(incarnation);
  return made;
}

}  // namespace

Test(admission, no_more_requests_run_than_there_are_slots) {
  Admission admission({4, 100, true, true});
  unsigned started = 0;
  for (std::uint64_t id = 1; id <= 50; ++id) {
    started += admission.arrive({id, "andes", schema::Urgent, Later}, Start).verdict == Verdict::Start ? 1 : 0;
  }
  cr_assert_eq(started, 4);
  cr_assert_eq(admission.queued(), 46);
  cr_assert_eq(admission.finish(1, milliseconds(1), Start).size(), 1);
  cr_assert_eq(admission.running(), 4);
}

Test(admission, guaranteed_slots_stay_free_for_their_workspace) {
  Admission admission({8, 100, true, true});
  admission.setShares({{"andes", 3}}, {});
  for (std::uint64_t id = 1; id <= 20; ++id) admission.arrive({id, "retail", schema::Urgent, Later}, Start);
  cr_assert_eq(admission.running(), 5);
  for (std::uint64_t id = 21; id <= 23; ++id) {
    cr_assert_eq(admission.arrive({id, "andes", schema::Normal, Later}, Start).verdict, Verdict::Start);
  }
  // With shares switched off, the other workspace's requests fill every slot.
  Admission without({8, 100, false, true});
  without.setShares({{"andes", 3}}, {});
  for (std::uint64_t id = 1; id <= 20; ++id) without.arrive({id, "retail", schema::Urgent, Later}, Start);
  cr_assert_eq(without.arrive({21, "andes", schema::Normal, Later}, Start).verdict, Verdict::Queue);
}

Test(admission, an_urgent_request_gets_a_slot_among_low_ones) {
  Admission admission({8, 100, true, true});
  for (std::uint64_t id = 1; id <= 20; ++id) admission.arrive({id, "retail", schema::Low, Later}, Start);
  cr_assert_eq(admission.arrive({21, "andes", schema::Urgent, Later}, Start).verdict, Verdict::Start);
}

Test(admission, a_request_that_cannot_meet_its_deadline_is_refused_with_a_retry_time) {
  Admission admission({2, 100, true, true});
  admission.arrive({1, "andes", schema::Normal, Later}, Start);
  admission.finish(1, milliseconds(1000), Start);
  for (std::uint64_t id = 2; id <= 11; ++id) admission.arrive({id, "andes", schema::Normal, Later}, Start);
  const AdmissionAction action = admission.arrive({12, "andes", schema::Normal, Start + milliseconds(1500)}, Start);
  cr_assert_eq(action.verdict, Verdict::Refuse);
  cr_assert_eq(action.failure.ran, Ran::No);
  cr_assert(action.failure.retryAfterMs >= 4000, "%u", action.failure.retryAfterMs);
}

Test(admission, a_queued_request_is_refused_at_its_deadline) {
  Admission admission({1, 100, true, true});
  admission.arrive({1, "andes", schema::Normal, Later}, Start);
  cr_assert_eq(admission.arrive({2, "andes", schema::Normal, Start + milliseconds(500)}, Start).verdict,
               Verdict::Queue);
  cr_assert(admission.tick(Start + milliseconds(400)).empty());
  const auto actions = admission.tick(Start + milliseconds(500));
  cr_assert_eq(actions.size(), 1);
  cr_assert_eq(actions[0].verdict, Verdict::Refuse);
}

Test(admission, a_token_starts_once_and_only_in_its_incarnation) {
  TokenTable tokens(7, 100);
  cr_assert(tokens.begin(token(1, 7)));
  cr_assert_not(tokens.begin(token(1, 7)), "a used token started again");
  cr_assert_not(tokens.begin(token(2, 6)), "a token of a previous incarnation started");
  cr_assert_eq(tokens.resolve(token(1, 6)).fate(), schema::TokenUnknown,
               "a restarted agent knew a token of its previous incarnation");
  cr_assert_eq(tokens.resolve(token(3, 7)).fate(), schema::TokenTombstoned);
  cr_assert_not(tokens.begin(token(3, 7)), "a tombstoned token started");
}

Test(admission, a_full_table_keeps_all_tombstones) {
  TokenTable tokens(7, 10);
  tokens.begin(token(1, 7));
  for (std::uint32_t attempt = 2; attempt <= 30; ++attempt) tokens.resolve(token(attempt, 7));
  for (std::uint32_t attempt = 2; attempt <= 30; ++attempt) {
    cr_assert_not(tokens.begin(token(attempt, 7)), "attempt %u started after its tombstone", attempt);
  }
  cr_assert_eq(tokens.resolve(token(1, 7)).fate(), schema::TokenRunning);
}
