// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tests of WorkspaceUsage, and of how WorkflowTable charges runs to workspaces: the recorded use has to be the same on
// each replica, bounded, and removed with its workspace.

#include "Courseloom/src/State/WorkspaceUsage.h"

#include <cmath>
#include <random>

#include "Courseloom/src/State/WorkflowTable.h"
#include "test/main.h"

using namespace courseloom;

namespace {

constexpr std::uint64_t Start = 1000000;
constexpr std::uint64_t HalfLife = static_cast<std::uint64_t>(WorkspaceUsage::HalfLifeMs);

schema::Resources resources(unsigned accelerators, unsigned cores = 0, unsigned memoryMb = 0) {
  schema::Resources need;
  need.set_accelerators(accelerators);
  need.set_cpu_milli(1000 * cores);
  need.set_memory_mb(memoryMb);
  return need;
}

bool near(double value, double expected) { return std::abs(value - expected) <= 1e-9 * std::max(1.0, expected); }

bool same(const ResourceTime& a, const ResourceTime& b) {
  return a.cpuSeconds == b.cpuSeconds && a.memoryMbSeconds == b.memoryMbSeconds &&
         a.acceleratorSeconds == b.acceleratorSeconds;
}

schema::QueueConfiguration configuration(std::uint64_t version, const std::vector<std::string>& tenants) {
  schema::QueueConfiguration made;
  made.set_version(version);
  for (const std::string& tenant : tenants) made.add_tenants()->set_name(tenant);
  return made;
}

schema::Workflow workflowOf(const std::string& tenant, const std::string& id, unsigned count) {
  schema::Workflow workflow;
  workflow.set_id(id);
  workflow.set_tenant(tenant);
  workflow.set_service("s");
  workflow.set_max_attempts(2);
  schema::StepSpec* step = workflow.mutable_spec()->add_steps();
  step->set_count(count);
  *step->mutable_need() = resources(2, 4, 100);
  return workflow;
}

schema::RecordRuns startOf(const std::string& id, std::uint32_t task, std::uint32_t run = 1) {
  schema::RecordRuns runs;
  schema::RunStart* row = runs.add_starts();
  *row->mutable_task() = makeTaskId(id, {0, 0, task});
  row->mutable_run()->set_number(run);
  row->mutable_run()->set_target("t");
  return runs;
}

schema::RecordRuns endOf(const std::string& id, std::uint32_t task, schema::RunEndKind kind, std::uint32_t run = 1) {
  schema::RecordRuns runs;
  schema::RunEnd* row = runs.add_ends();
  *row->mutable_task() = makeTaskId(id, {0, 0, task});
  row->set_run(run);
  row->set_kind(kind);
  return runs;
}

WorkflowTable tableWith(const std::vector<std::string>& tenants) {
  WorkflowTable table;
  table.putConfiguration(configuration(1, tenants));
  for (const std::string& tenant : tenants) table.submit(workflowOf(tenant, "w-" + tenant, 4), Start);
  return table;
}

double acceleratorsOf(const WorkflowTable& table, const std::string& workspace, std::uint64_t nowMs) {
  return table.workspaceUsage().usageOf(workspace, "s", nowMs).acceleratorSeconds;
}

}  // namespace

// Without decay, a workspace would never recover from a burst.
Test(workspace_usage, a_use_counts_half_after_its_half_life) {
  WorkspaceUsage usage;
  usage.record("a", "s", resources(8, 4, 100), Start, Start + 1000);
  const ResourceTime atEnd = usage.usageOf("a", "s", Start + 1000);
  const ResourceTime later = usage.usageOf("a", "s", Start + 1000 + HalfLife);
  cr_assert(atEnd.acceleratorSeconds > 7.8 && atEnd.acceleratorSeconds <= 8.0, "%f", atEnd.acceleratorSeconds);
  cr_assert(near(later.acceleratorSeconds, atEnd.acceleratorSeconds / 2));
  cr_assert(near(later.cpuSeconds, atEnd.cpuSeconds / 2));
  cr_assert(near(later.memoryMbSeconds, atEnd.memoryMbSeconds / 2));
}

// A run of an hour, charged whole at its end, would put its workspace behind all others for many half-lives.
Test(workspace_usage, a_long_run_is_charged_like_short_ones_one_after_the_other) {
  WorkspaceUsage usage;
  for (std::uint64_t i = 0; i < 3600; ++i)
    usage.record("short", "s", resources(4), Start + 1000 * i, Start + 1000 * (i + 1));
  usage.record("long", "s", resources(4), Start, Start + 3600000);
  const double ofLong = usage.usageOf("long", "s", Start + 3600000).acceleratorSeconds;
  const double ofShort = usage.usageOf("short", "s", Start + 3600000).acceleratorSeconds;
  cr_assert(std::abs(ofLong - ofShort) < 1e-6 * ofShort, "%f, %f", ofLong, ofShort);
  cr_assert(near(ofLong, 4 * WorkspaceUsage::windowS()), "a constant use accumulates over windowS()");
}

// If the use of an active run differed from what its end is charged with, bands would jump at each end.
Test(workspace_usage, the_use_of_an_active_run_is_what_its_end_is_charged_with) {
  WorkspaceUsage usage;
  usage.record("a", "s", resources(8, 4, 100), Start, Start + 5000);
  cr_assert(same(usage.usageOf("a", "s", Start + 5000),
                 WorkspaceUsage::useBetween(resources(8, 4, 100), Start, Start + 5000)));
}

// Guards against use that counts for another workspace or at another service.
Test(workspace_usage, workspaces_and_services_are_charged_apart) {
  WorkspaceUsage usage;
  usage.record("a", "s", resources(8), Start, Start + 1000);
  cr_assert(usage.usageOf("b", "s", Start + 1000).acceleratorSeconds == 0.0);
  cr_assert(usage.usageOf("a", "other", Start + 1000).acceleratorSeconds == 0.0);
}

// Clocks of successive leaders may differ. A negative duration must not reduce the recorded use.
Test(workspace_usage, a_run_that_ended_before_it_started_adds_nothing) {
  WorkspaceUsage usage;
  usage.record("a", "s", resources(8), Start + 1000, Start);
  usage.record("a", "s", resources(8), Start, Start);
  cr_assert_eq(usage.size(), 0);
}

// The clock of a new leader may be behind: decay must neither be undone nor applied twice, and all workspaces have to
// be compared at the same time.
Test(workspace_usage, a_clock_that_steps_back_changes_no_recorded_use) {
  WorkspaceUsage usage;
  usage.record("a", "s", resources(8), Start, Start + 1000);
  const double before = usage.usageOf("a", "s", Start + 1000).acceleratorSeconds;
  cr_assert(near(usage.usageOf("a", "s", Start - 600000).acceleratorSeconds, before));
  usage.record("b", "s", resources(8), Start - 600000, Start - 599000);
  cr_assert(near(usage.usageOf("b", "s", Start - 599000).acceleratorSeconds, before));
  cr_assert(near(usage.usageOf("a", "s", Start - 599000).acceleratorSeconds, before));
  const double ofA = usage.usageOf("a", "s", Start + 1000 + HalfLife).acceleratorSeconds;
  cr_assert(near(ofA, before / 2));
  cr_assert(near(usage.usageOf("b", "s", Start + 1000 + HalfLife).acceleratorSeconds, ofA));
}

// An unbounded table would grow with each name that callers use.
Test(workspace_usage, the_entry_with_the_least_use_is_evicted) {
  WorkspaceUsage usage;
  for (unsigned i = 0; i < WorkspaceUsage::MaxEntries; ++i) {
    usage.record("w" + std::to_string(i), "s", resources(i == 77 ? 1 : 8), Start, Start + 1000);
  }
  cr_assert_eq(usage.size(), WorkspaceUsage::MaxEntries);
  usage.record("new", "s", resources(4), Start, Start + 1000);
  cr_assert_eq(usage.size(), WorkspaceUsage::MaxEntries);
  cr_assert(usage.usageOf("w77", "s", Start + 1000).acceleratorSeconds == 0.0);
  cr_assert(usage.usageOf("new", "s", Start + 1000).acceleratorSeconds > 0.0);
}

// The use of a workspace that has decayed is less than that of one that has just begun.
Test(workspace_usage, eviction_compares_the_decayed_use) {
  WorkspaceUsage usage;
  usage.record("old", "s", resources(8), Start, Start + 1000);
  for (unsigned i = 1; i < WorkspaceUsage::MaxEntries; ++i) {
    usage.record("w" + std::to_string(i), "s", resources(1), Start + 10 * HalfLife, Start + 10 * HalfLife + 1000);
  }
  usage.record("new", "s", resources(1), Start + 10 * HalfLife, Start + 10 * HalfLife + 1000);
  cr_assert(usage.usageOf("old", "s", Start + 10 * HalfLife + 1000).acceleratorSeconds == 0.0);
}

// A new leader that started from a snapshot has to compute the same values to the last bit, also after the clock
// stepped back, an eviction or a removal: otherwise two replicas' snapshots would differ.
Test(workspace_usage, a_snapshot_and_the_log_give_the_same_use) {
  std::mt19937_64 random(7);
  WorkspaceUsage all;
  WorkspaceUsage restored;
  std::uint64_t nowMs = Start;
  for (int i = 0; i < 4000; ++i) {
    if (i == 2000) {
      all.retain([](const std::string& name) { return name != "w3"; });
      schema::StateSnapshot snapshot;
      all.save(snapshot);
      restored.load(snapshot);
    }
    nowMs = nowMs + random() % 400 - random() % 200;
    const std::string workspace = "w" + std::to_string(random() % (i < 2000 ? 10 : 5000));
    const schema::Resources need = resources(random() % 8, random() % 16, random() % 1000);
    const std::uint64_t fromMs = nowMs - random() % 9000;
    all.record(workspace, "s", need, fromMs, nowMs);
    if (i >= 2000) restored.record(workspace, "s", need, fromMs, nowMs);
  }
  schema::StateSnapshot ofAll;
  schema::StateSnapshot ofRestored;
  all.save(ofAll);
  restored.save(ofRestored);
  cr_assert_gt(ofAll.workspace_usages_size(), 1000);
  cr_assert(ofAll.SerializeAsString() == ofRestored.SerializeAsString());
  cr_assert(same(all.usageOf("w1", "s", nowMs - 5000), restored.usageOf("w1", "s", nowMs - 5000)));
}

// ---- charged by the table

// Otherwise the use of runs that are stopped, fail or lapse would not count for their workspace.
Test(workspace_usage, each_end_of_any_kind_is_charged_from_the_committed_start) {
  const std::vector<schema::RunEndKind> kinds = {schema::RunDone, schema::RunFailed, schema::RunStopped,
                                                 schema::RunLapsed, schema::RunTargetLost};
  for (const schema::RunEndKind kind : kinds) {
    WorkflowTable table = tableWith({"a"});
    table.record(startOf("w-a", 0), Start + 1000);
    cr_assert(acceleratorsOf(table, "a", Start + 3000) == 0.0);
    table.record(endOf("w-a", 0, kind), Start + 3000);
    cr_assert(near(acceleratorsOf(table, "a", Start + 3000),
                   WorkspaceUsage::useBetween(resources(2), Start + 1000, Start + 3000).acceleratorSeconds));
  }
}

// An end that is reported twice must be charged once.
Test(workspace_usage, an_end_is_charged_once) {
  WorkflowTable table = tableWith({"a"});
  table.record(startOf("w-a", 0), Start);
  table.record(endOf("w-a", 0, schema::RunDone), Start + 2000);
  const double once = acceleratorsOf(table, "a", Start + 4000);
  table.record(endOf("w-a", 0, schema::RunDone), Start + 4000);
  cr_assert(acceleratorsOf(table, "a", Start + 4000) == once);
}

// The end of a run is often committed after its workflow ended, as by a cancellation. The run used its target until
// then.
Test(workspace_usage, a_late_end_is_charged_when_it_is_committed) {
  WorkflowTable table = tableWith({"a"});
  table.record(startOf("w-a", 0), Start);
  cr_assert(table.cancel("w-a", Start + 1000));
  cr_assert(acceleratorsOf(table, "a", Start + 1000) == 0.0);
  table.record(endOf("w-a", 0, schema::RunStopped), Start + 6000);
  cr_assert(near(acceleratorsOf(table, "a", Start + 6000),
                 WorkspaceUsage::useBetween(resources(2), Start, Start + 6000).acceleratorSeconds));
}

// A filler uses only idle processor time; charging it for processors would put its workspace behind others for nothing.
Test(workspace_usage, a_filler_is_not_charged_for_processors) {
  WorkflowTable table;
  table.putConfiguration(configuration(1, {"a"}));
  schema::Workflow workflow = workflowOf("a", "w-a", 1);
  workflow.mutable_spec()->mutable_steps(0)->set_filler(true);
  table.submit(workflow, Start);
  table.record(startOf("w-a", 0), Start);
  table.record(endOf("w-a", 0, schema::RunDone), Start + 1000);
  const ResourceTime use = table.workspaceUsage().usageOf("a", "s", Start + 1000);
  cr_assert(use.cpuSeconds == 0.0);
  cr_assert(use.memoryMbSeconds > 0.0);
}

// Use of workspaces that no longer exist would fill the table; one that is created again under the name starts anew.
Test(workspace_usage, a_removed_workspace_takes_its_use_with_it) {
  WorkflowTable table = tableWith({"a", "b"});
  for (const char* id : {"w-a", "w-b"}) {
    table.record(startOf(id, 0), Start);
    table.record(startOf(id, 1), Start);
    table.record(endOf(id, 0, schema::RunDone), Start + 1000);
  }
  cr_assert_eq(table.workspaceUsage().size(), 2);
  table.putConfiguration(configuration(2, {"b"}));
  cr_assert_eq(table.workspaceUsage().size(), 1);
  cr_assert(acceleratorsOf(table, "b", Start + 1000) > 0.0);
  table.record(endOf("w-a", 1, schema::RunDone), Start + 2000);
  cr_assert_eq(table.workspaceUsage().size(), 1, "a late end of a removed workspace adds no entry");
  table.putConfiguration(configuration(3, {"a", "b"}));
  cr_assert(acceleratorsOf(table, "a", Start + 2000) == 0.0);
}

// A configuration that is ignored because of its version must not remove anything.
Test(workspace_usage, an_outdated_configuration_removes_no_use) {
  WorkflowTable table = tableWith({"a"});
  table.record(startOf("w-a", 0), Start);
  table.record(endOf("w-a", 0, schema::RunDone), Start + 1000);
  table.putConfiguration(configuration(1, {}));
  cr_assert_eq(table.workspaceUsage().size(), 1);
}

// Change of leader: one replica applied the whole log, the other a snapshot and the rest. Both have to order workspaces
// alike, so their use has to be the same to the last bit.
Test(workspace_usage, a_table_from_a_snapshot_and_the_log_has_the_same_use) {
  std::mt19937_64 random(11);
  const std::vector<std::string> tenants = {"a", "b", "c"};
  WorkflowTable whole;
  whole.putConfiguration(configuration(1, tenants));
  for (const std::string& tenant : tenants) whole.submit(workflowOf(tenant, "w-" + tenant, 400), Start);
  WorkflowTable restored;
  bool isRestored = false;
  std::vector<std::pair<std::string, std::uint32_t>> active;
  std::uint32_t next = 0;
  std::uint64_t nowMs = Start;
  for (int i = 0; i < 600; ++i) {
    if (i == 300) {
      schema::StateSnapshot snapshot;
      whole.save(snapshot);
      restored.load(snapshot);
      isRestored = true;
    }
    nowMs += random() % 200;
    schema::RecordRuns command;
    if (active.empty() || (random() % 2 == 0 && next < 400)) {
      active.emplace_back("w-" + tenants[random() % 3], next++);
      command = startOf(active.back().first, active.back().second);
    } else {
      const std::size_t chosen = random() % active.size();
      const schema::RunEndKind kind = random() % 3 == 0 ? schema::RunStopped : schema::RunDone;
      command = endOf(active[chosen].first, active[chosen].second, kind);
      active.erase(active.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    whole.record(command, nowMs);
    if (isRestored) restored.record(command, nowMs);
  }
  for (const std::string& tenant : tenants) {
    const ResourceTime use = whole.workspaceUsage().usageOf(tenant, "s", nowMs);
    cr_assert(use.acceleratorSeconds > 0.0);
    cr_assert(same(use, restored.workspaceUsage().usageOf(tenant, "s", nowMs)));
  }
}

// Snapshots of the former version have no use.
Test(workspace_usage, a_snapshot_without_use_is_read_as_no_use) {
  WorkspaceUsage usage;
  usage.record("a", "s", resources(8), Start, Start + 1000);
  usage.load(schema::StateSnapshot());
  cr_assert_eq(usage.size(), 0);
  cr_assert(usage.usageOf("a", "s", Start).acceleratorSeconds == 0.0);
}
