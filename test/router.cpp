// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Choice of target, ejection with a limit, the retry budget, and views that never go back to an older state.

#include "Courseloom/src/Routing/Router.h"
#include "Courseloom/src/Routing/View.h"
#include "test/main.h"

using namespace courseloom;

namespace {

const Time Now{milliseconds(1000000)};

std::vector<TargetPointer> makeTargets(unsigned count) {
  std::vector<TargetPointer> targets;
  for (unsigned i = 0; i < count; ++i) {
    targets.push_back(std::make_shared<Target>());
    targets.back()->name = "t" + std::to_string(i);
    targets.back()->slots = 8;
  }
  return targets;
}

schema::WatchReply reply(std::uint64_t term, std::uint64_t revision, unsigned weight) {
  schema::WatchReply made;
  made.set_term(term);
  made.set_revision(revision);
  schema::ObjectChange* change = made.add_changes();
  change->set_revision(revision);
  change->mutable_key()->set_kind("workspace");
  change->mutable_key()->set_name("andes");
  change->mutable_object()->set_name("andes");
  change->mutable_object()->mutable_workspace()->set_weight(weight);
  return made;
}

}  // namespace

Test(router, the_less_loaded_of_two_targets_is_chosen) {
  Router router({});
  auto targets = makeTargets(2);
  targets[0]->inFlight = 6;
  for (std::uint64_t random = 0; random < 100; ++random) {
    cr_assert_str_eq(router.pick(targets, {}, Now, random * 0x9e3779b97f4a7c15ULL)->name.c_str(), "t1");
  }
}

Test(router, failing_targets_are_ejected_up_to_a_limit) {
  Router router({});
  auto targets = makeTargets(4);
  for (const TargetPointer& target : targets) {
    for (int i = 0; i < 3; ++i) router.onOutcome(targets, *target, Outcome::Failed, Now);
  }
  unsigned ejected = 0;
  for (const TargetPointer& target : targets)
    ejected += target->ejectedUntil.load() > Now.time_since_epoch().count() ? 1 : 0;
  cr_assert_eq(ejected, 2);
  cr_assert_neq(router.pick(targets, {"t2", "t3"}, Now, 1), nullptr,
                "an ejected target is chosen if all others have been tried");
}

Test(router, leaving_targets_get_no_requests) {
  Router router({});
  auto targets = makeTargets(2);
  targets[0]->leaving = true;
  for (std::uint64_t random = 0; random < 50; ++random) cr_assert_eq(router.pick(targets, {}, Now, random), targets[1]);
  cr_assert_eq(router.pick(targets, {"t1"}, Now, 1), nullptr);
}

Test(router, retries_are_a_share_of_first_tries) {
  Router router({});
  while (router.acquireRetry()) {
  }
  for (int i = 0; i < 100; ++i) router.onFirstTry();
  unsigned retries = 0;
  while (router.acquireRetry()) ++retries;
  cr_assert_eq(retries, 20);
}

Test(router, a_view_never_goes_back_to_an_older_state) {
  const ViewBuilder builder([](const std::string&, unsigned) { return std::shared_ptr<RpcClient>(); });
  const View empty;
  const auto first = builder.next(empty, reply(3, 10, 1));
  const auto second = builder.next(*first, reply(3, 12, 2));
  cr_assert_eq(second->workspace("andes")->workspace().weight(), 2);
  cr_assert_eq(builder.next(*second, reply(3, 11, 1)), nullptr, "an older revision");
  cr_assert_eq(builder.next(*second, reply(2, 13, 1)), nullptr, "a former leader");
}
