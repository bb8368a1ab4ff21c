// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The leader's table of nodes when heartbeats arrive out of order.

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

Test(node_table, a_late_heartbeat_of_a_previous_incarnation_is_ignored) {
  NodeTable table(Lease);
  table.recordHeartbeat(agent(5, 9), Now);
  table.recordHeartbeat(agent(6, 1), Now + milliseconds(100));
  const std::uint64_t version = table.version();
  table.recordHeartbeat(agent(5, 10), Now + milliseconds(200));
  cr_assert_eq(table.targets().size(), 1);
  cr_assert_eq(table.targets()[0].incarnation(), 6);
  cr_assert_eq(table.version(), version, "entries were notified of a previous incarnation");
}

Test(node_table, a_late_heartbeat_does_not_cancel_leaving) {
  NodeTable table(Lease);
  table.recordHeartbeat(agent(5, 3, true), Now);
  table.recordHeartbeat(agent(5, 2), Now + milliseconds(100));
  cr_assert(table.targets()[0].leaving(), "it would get new work");
}

Test(node_table, a_late_heartbeat_does_not_keep_a_node_alive) {
  NodeTable table(Lease);
  table.recordHeartbeat(agent(5, 3, true), Now);
  table.recordHeartbeat(agent(5, 2), Now + milliseconds(1900));
  table.expire(Now + Lease);
  cr_assert(table.targets().empty());
}

Test(node_table, a_repeated_heartbeat_extends_the_lease) {
  NodeTable table(Lease);
  table.recordHeartbeat(agent(5, 3), Now);
  table.recordHeartbeat(agent(5, 3), Now + milliseconds(1900));
  table.expire(Now + Lease);
  cr_assert_eq(table.targets().size(), 1);
}

// An agent whose clock was set back gets a lower incarnation number than before.
Test(node_table, a_lower_incarnation_is_accepted_once_the_higher_one_has_expired) {
  NodeTable table(Lease);
  table.recordHeartbeat(agent(5, 3), Now);
  table.recordHeartbeat(agent(4, 1), Now + milliseconds(100));
  table.expire(Now + Lease);
  table.recordHeartbeat(agent(4, 9), Now + Lease);
  cr_assert_eq(table.targets()[0].incarnation(), 4);
}

// Entries have no incarnation, and nodes of older versions have no sequence number.
Test(node_table, heartbeats_without_an_order_are_applied_as_they_arrive) {
  NodeTable table(Lease);
  schema::NodeStatus entry;
  entry.set_name("entry-1");
  entry.set_sequence(7);
  table.recordHeartbeat(entry, Now);
  entry.set_sequence(1);
  entry.set_leaving(true);
  table.recordHeartbeat(entry, Now);
  cr_assert(table.nodes(Now)[0].leaving());
  table.recordHeartbeat(agent(5, 0), Now);
  table.recordHeartbeat(agent(5, 0, true), Now);
  cr_assert(table.targets()[0].leaving());
}

Test(node_table, targets_in_a_drained_hall_are_leaving_until_the_drain_ends) {
  NodeTable table(Lease);
  schema::NodeStatus inHall = agent(5, 1);
  inHall.set_data_hall("hall-1");
  table.recordHeartbeat(inHall, Now);
  schema::NodeStatus entry = inHall;
  entry.set_name("entry-1");
  entry.set_role(schema::EntryRole);
  const std::uint64_t version = table.version();
  table.setDrainedHalls({"hall-1"});
  cr_assert(table.targets()[0].leaving());
  cr_assert(table.version() > version, "entries have to be notified");
  cr_assert_not(table.isLeaving(entry), "an entry in the hall stays in service");
  table.setDrainedHalls({});
  cr_assert_not(table.targets()[0].leaving());
}
