// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of ClusterState: concurrent and retried changes of the configuration, claims, leases, drains, and snapshots.

#include "Courseloom/src/State/StateWriter.h"
#include "test/main.h"

using namespace courseloom;

namespace {

schema::Command applyWorkspace(const std::string& id, const std::string& operatorName, unsigned weight,
                               std::uint64_t revision) {
  schema::Command command;
  command.set_command_id(id);
  command.set_operator_name(operatorName);
  command.set_time_ms(1000);
  schema::Object* object = command.mutable_apply()->add_objects();
  object->set_name("andes");
  object->mutable_workspace()->set_weight(weight);
  object->set_revision(revision);
  return command;
}

schema::Command openClaim(const std::string& opener, const std::string& body) {
  schema::Command command;
  schema::OpenClaim* open = command.mutable_open_claim();
  open->mutable_token()->set_workspace("andes");
  open->mutable_token()->set_request_id("r1");
  open->mutable_token()->set_target("t1");
  open->mutable_token()->set_incarnation(5);
  open->set_digest(body);
  open->set_opener(opener);
  return command;
}

schema::Command endClaim(const schema::Token& token, schema::ClaimPhase phase) {
  schema::Command command;
  *command.mutable_end_claim()->mutable_token() = token;
  command.mutable_end_claim()->set_phase(phase);
  command.mutable_end_claim()->mutable_answer()->set_body("answer");
  return command;
}

unsigned weightOf(const ClusterState& state) {
  return state.objects().find("workspace", "andes")->workspace().weight();
}

}  // namespace

Test(cluster_state, of_two_changes_of_the_same_revision_the_second_fails_and_names_the_first_operator) {
  ClusterState state;
  state.apply(10, applyWorkspace("c1", "rosa", 1, 0));
  const schema::CommandReply first = state.apply(11, applyWorkspace("c2", "luis", 2, 10));
  const schema::CommandReply second = state.apply(12, applyWorkspace("c3", "ana", 3, 10));
  cr_assert_eq(first.revision(), 11);
  cr_assert_str_eq(second.failure().code().c_str(), "conflict");
  cr_assert(second.failure().detail().find("luis") != std::string::npos, "%s", second.failure().detail().c_str());
  cr_assert_eq(weightOf(state), 2);
}

Test(cluster_state, a_retried_command_gets_its_first_answer_and_is_not_applied_again) {
  ClusterState state;
  state.apply(10, applyWorkspace("c1", "rosa", 1, 0));
  state.apply(11, applyWorkspace("c2", "luis", 2, 0));
  ClusterState restored;
  cr_assert(bool(restored.load(state.save())));
  const schema::CommandReply again = restored.apply(12, applyWorkspace("c1", "rosa", 1, 0));
  cr_assert(again.replayed());
  cr_assert_eq(again.revision(), 10);
  cr_assert_eq(weightOf(restored), 2, "the retried command reverted a later change");
  // Without its id the same command is a new one and changes the weight back. Only the id prevents this.
  restored.apply(13, applyWorkspace("", "rosa", 1, 0));
  cr_assert_eq(weightOf(restored), 1);
}

Test(cluster_state, a_command_id_used_for_another_command_is_rejected) {
  ClusterState state;
  state.apply(10, applyWorkspace("c1", "rosa", 1, 0));
  cr_assert(state.apply(11, applyWorkspace("c1", "rosa", 9, 0)).failure().code() == "command-id-reused");
}

Test(cluster_state, a_claim_is_granted_to_one_opener_until_it_is_voided) {
  ClusterState state;
  const schema::CommandReply first = state.apply(1, openClaim("entry-1", "body"));
  cr_assert(first.granted());
  cr_assert(state.apply(2, openClaim("entry-1", "body")).granted(), "a retry by the opener itself");
  cr_assert_not(state.apply(3, openClaim("entry-2", "body")).granted());
  state.apply(4, endClaim(first.claim().token(), schema::ClaimVoid));
  const schema::CommandReply second = state.apply(5, openClaim("entry-2", "body"));
  cr_assert(second.granted());
  cr_assert_eq(second.claim().token().attempt(), 2);
  state.apply(6, endClaim(first.claim().token(), schema::ClaimFinished));
  cr_assert_eq(state.claims().find("andes", "r1")->phase(), schema::ClaimOpen,
               "the end of an earlier attempt ended the new one");
  state.apply(7, endClaim(second.claim().token(), schema::ClaimFinished));
  const schema::CommandReply third = state.apply(8, openClaim("entry-3", "body"));
  cr_assert_not(third.granted());
  cr_assert_str_eq(third.claim().answer().body().c_str(), "answer");
  cr_assert(state.apply(9, openClaim("entry-3", "other")).failure().code() == "request-id-reused");
}

Test(cluster_state, changes_since_a_revision_are_available_only_within_the_history_limit) {
  ClusterState state;
  for (LogIndex i = 1; i <= ObjectTable::MaxHistory + 500; ++i) state.apply(i, applyWorkspace("", "rosa", i % 900, 0));
  std::vector<schema::ObjectChange> changes;
  cr_assert_not(state.objects().changesSince(3, changes));
  cr_assert(state.objects().changesSince(ObjectTable::MaxHistory + 490, changes));
  cr_assert_eq(changes.size(), 10);
}

Test(cluster_state, an_action_changes_the_selected_objects_and_a_dry_run_changes_none) {
  ClusterState state;
  state.apply(1, applyWorkspace("", "rosa", 1, 0));
  schema::Command pause;
  pause.mutable_action()->set_kind(schema::Pause);
  pause.mutable_action()->set_selector("kind=workspace,name in (andes,other)");
  cr_assert_eq(state.preview(pause).matched_size(), 1);
  cr_assert_not(state.objects().find("workspace", "andes")->paused());
  state.apply(2, pause);
  cr_assert(state.objects().find("workspace", "andes")->paused());
  pause.mutable_action()->set_selector("kind=(");
  cr_assert(state.apply(3, pause).failure().code() == "bad-selector");
}

// A new leader that has applied only a part of its predecessor's log may assign lease numbers again. The platform would
// then confuse the orders of two jobs.
Test(cluster_state, a_lease_number_is_assigned_once) {
  ClusterState state;
  state.apply(10, applyWorkspace("c1", "rosa", 1, 0));
  schema::Command service;
  service.mutable_apply()->add_objects()->set_name("s");
  service.mutable_apply()->mutable_objects(0)->mutable_service();
  state.apply(11, service);
  schema::Command submit;
  submit.mutable_submit()->mutable_spec()->set_workspace("andes");
  submit.mutable_submit()->mutable_spec()->set_service("s");
  std::vector<schema::Command> reserves;
  for (std::uint64_t i = 0; i < 2; ++i) {
    const schema::CommandReply submitted = state.apply(12 + i, submit);
    cr_assert(submitted.has_job(), "%s", submitted.failure().detail().c_str());
    schema::ChangeJob* change = reserves.emplace_back().mutable_change_job();
    *change->mutable_job() = submitted.job();
    change->mutable_job()->set_phase(schema::JobReserving);
    change->mutable_job()->add_leases()->set_number(1);
    change->mutable_job()->add_leases()->set_number(2);
    change->set_from(schema::JobQueued);
  }
  cr_assert_not(state.apply(14, reserves[0]).has_failure());
  const schema::CommandReply again = state.apply(15, reserves[1]);
  cr_assert(again.has_failure(), "two jobs hold the leases 1 and 2");
  cr_assert_str_eq(again.failure().code().c_str(), "conflict");
  reserves[1].mutable_change_job()->mutable_job()->mutable_leases(0)->set_number(3);
  reserves[1].mutable_change_job()->mutable_job()->mutable_leases(1)->set_number(4);
  cr_assert_not(state.apply(16, reserves[1]).has_failure());
}

namespace {

schema::Command hallAction(schema::ActionKind kind, const std::string& hall, const std::string& commandId = "") {
  schema::Command command;
  command.set_command_id(commandId);
  command.set_operator_name("ana");
  command.set_time_ms(1000);
  command.mutable_action()->set_kind(kind);
  command.mutable_action()->set_selector("kind=hall,hall=" + hall);
  command.mutable_action()->add_halls(hall);
  return command;
}

}  // namespace

Test(cluster_state, a_drain_persists_through_repeated_commands_snapshots_and_changes_of_other_halls) {
  ClusterState state;
  const schema::CommandReply reply = state.apply(10, hallAction(schema::Drain, "hall-1"));
  cr_assert_eq(reply.matched_size(), 1);
  cr_assert_str_eq(reply.matched(0).c_str(), "hall/hall-1");
  const std::uint64_t version = state.hallDrains().version();
  state.apply(11, hallAction(schema::Drain, "hall-1"));
  cr_assert_eq(state.hallDrains().version(), version, "a repeated drain changes nothing");
  state.apply(12, hallAction(schema::Resume, "hall-2"));
  ClusterState restored;
  cr_assert(static_cast<bool>(restored.load(state.save())));
  cr_assert(restored.hallDrains().contains("hall-1"));
  const schema::HallDrain& drain = restored.hallDrains().drains().at("hall-1");
  cr_assert(drain.revision() == 10 && drain.since_ms() == 1000 && drain.operator_name() == "ana");
  restored.apply(13, hallAction(schema::Resume, "hall-1"));
  cr_assert(restored.hallDrains().halls().empty());
  ClusterState resumed;
  cr_assert(static_cast<bool>(resumed.load(restored.save())));
  cr_assert(resumed.hallDrains().halls().empty(), "a resumed data hall stays resumed");
}

// The leader adds the data halls that it knows to the command. A retried command may reach another leader that knows
// other data halls.
Test(cluster_state, a_retried_drain_gets_its_first_answer_whatever_halls_the_leader_knows) {
  ClusterState state;
  state.apply(10, hallAction(schema::Drain, "hall-1", "c1"));
  schema::Command retried = hallAction(schema::Drain, "hall-1", "c1");
  retried.mutable_action()->clear_halls();
  const schema::CommandReply reply = state.apply(11, retried);
  cr_assert(reply.replayed());
  cr_assert_not(reply.has_failure());
}

Test(cluster_state, names_of_data_halls_are_validated) {
  cr_assert(isHallName("surquillo-a") && isHallName("H_1.2"));
  for (const std::string& invalid : {std::string(), std::string("a/b"), std::string("a b"), std::string(65, 'x')}) {
    cr_assert_not(isHallName(invalid), "'%s'", invalid.c_str());
  }
}

// Guards against a snapshot that is written in one stretch, however much was submitted.
Test(cluster_state, a_snapshot_is_written_in_parts) {
  ClusterState state;
  for (unsigned i = 0; i < 20; ++i) {
    schema::Command command;
    schema::Workflow& workflow = *command.mutable_submit_workflow()->mutable_workflow();
    workflow.set_id("w" + std::to_string(i));
    workflow.mutable_spec()->add_steps()->set_count(1 + i);
    state.apply(i + 1, command);
  }
  StateWriter writer(state);
  unsigned parts = 1;
  while (!writer.advance([] { return true; })) ++parts;
  cr_assert_gt(parts, 20, "one workflow at a time");
  const std::string bytes = writer.finish();
  cr_assert(bytes == state.save());
  ClusterState restored;
  cr_assert(static_cast<bool>(restored.load(bytes)));
  cr_assert_eq(restored.workflows().open().size(), 20);
  cr_assert_eq(restored.workflows().find("w19")->step(0).count(), 20);
  cr_assert(restored.save() == bytes);
}
