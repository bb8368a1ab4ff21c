// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The leader's list of nodes when heartbeats overtake each other.

#include "Courseloom/src/Membership/NodeTable.h"

#include "test/main.h"

using namespace courseloom;

namespace {

const Time Now{milliseconds(1000000)};
constexpr Duration Lease = milliseconds(2000);

schema::NodeStatus agent(std::uint64_t incarnation, std::uint64_t sequence, bool leaving = false) {
  schema::NodeStatus status;
  status.set_name("agent-1");
  status.set_role(schema::AgentRole);
  status.set_target("target-1");
  status.set_incarnation(incarnation);
  status.set_sequence(sequence);
  status.set_leaving(leaving);
  return status;
}

}  // namespace

Test(node_table, a_late_heartbeat_of_a_former_life_is_not_believed) {
  NodeTable table(Lease);
  table.heard(agent(5, 9), Now);
  table.heard(agent(6, 1), Now + milliseconds(100));
  const std::uint64_t version = table.version();
  table.heard(agent(5, 10), Now + milliseconds(200));
  cr_assert_eq(table.targets().size(), 1);
  cr_assert_eq(table.targets()[0].incarnation(), 6);
  cr_assert_eq(table.version(), version, "entries were told of a former life");
}

Test(node_table, a_late_heartbeat_does_not_call_a_leaving_target_back) {
  NodeTable table(Lease);
  table.heard(agent(5, 3, true), Now);
  table.heard(agent(5, 2), Now + milliseconds(100));
  cr_assert(table.targets()[0].leaving(), "it would get new work");
}

Test(node_table, a_late_heartbeat_does_not_keep_a_node_alive) {
  NodeTable table(Lease);
  table.heard(agent(5, 3, true), Now);
  table.heard(agent(5, 2), Now + milliseconds(1900));
  table.expire(Now + Lease);
  cr_assert(table.targets().empty());
}

Test(node_table, the_same_heartbeat_may_come_twice) {
  NodeTable table(Lease);
  table.heard(agent(5, 3), Now);
  table.heard(agent(5, 3), Now + milliseconds(1900));
  table.expire(Now + Lease);
  cr_assert_eq(table.targets().size(), 1);
}

// An agent whose clock was set back has a lower incarnation than in its former life.
Test(node_table, a_lower_life_is_believed_once_the_higher_one_is_silent) {
  NodeTable table(Lease);
  table.heard(agent(5, 3), Now);
  table.heard(agent(4, 1), Now + milliseconds(100));
  table.expire(Now + Lease);
  table.heard(agent(4, 9), Now + Lease);
  cr_assert_eq(table.targets()[0].incarnation(), 4);
}

// Entries have no incarnation, and nodes of older programs no sequence.
Test(node_table, heartbeats_without_an_order_are_taken_as_they_come) {
  NodeTable table(Lease);
  schema::NodeStatus entry;
  entry.set_name("entry-1");
  entry.set_sequence(7);
  table.heard(entry, Now);
  entry.set_sequence(1);
  entry.set_leaving(true);
  table.heard(entry, Now);
  cr_assert(table.nodes(Now)[0].leaving());
  table.heard(agent(5, 0), Now);
  table.heard(agent(5, 0, true), Now);
  cr_assert(table.targets()[0].leaving());
}

Test(node_table, targets_in_a_drained_hall_are_leaving_until_it_is_given_back) {
  NodeTable table(Lease);
  schema::NodeStatus inHall = agent(5, 1);
  inHall.set_data_hall("hall-1");
  table.heard(inHall, Now);
  schema::NodeStatus entry = inHall;
  entry.set_name("entry-1");
  entry.set_role(schema::EntryRole);
  const std::uint64_t version = table.version();
  table.setDrainedHalls({"hall-1"});
  cr_assert(table.targets()[0].leaving());
  cr_assert(table.version() > version, "entries hear of it");
  cr_assert_not(table.isLeaving(entry), "an entry there serves on");
  table.setDrainedHalls({});
  cr_assert_not(table.targets()[0].leaving());
}
