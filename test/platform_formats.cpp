// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Messages of the users' platform: valid, malformed, oversized and unknown examples.

#include "platform/Formats.h"

#include "test/main.h"

using namespace courseloom;
using namespace courseloom::platform;

namespace {

const std::string Route =
    R"({"name":"r","host":"h.example","path_prefix":"/p/","route_type":"unsafe","timeout_ms":3000,)"
    R"("target_latency_ms":250,"priority":0,"service":"s","max_attempts":4,"stretch":1.5,"public":false})";
const std::string Service = R"({"name":"s","max_conns":64,"rejects_overload":true,"headroom":false})";

std::string configuration(const std::string& routes, const std::string& tenants = "[]") {
  return R"({"version":7,"routes":[)" + routes + R"(],"services":[)" + Service + R"(],"limits":{},"tenants":)" +
         tenants + "}";
}

std::string refusal(const std::string& body) {
  Result<schema::QueueConfiguration> read = readConfiguration(body);
  return read ? std::string() : extractFailure(read).detail;
}

}  // namespace

Test(platform_formats, a_submission_is_read) {
  Result<schema::WorkflowSpec> spec = readWorkflow(
      R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3"},)"
      R"({"count":20,"cpu":2000,"gpu":8,"after":[0],"checkpointing":true,"gang":true,"same_rack":true,)"
      R"("constraints":"a","anti_affinity":2,"long_running":true,"image":"i","target_ms":50,"fills":true,)"
      R"("may_miss":3,"speculative":true,"something_new":[1,2]}],"repeat_count":3,"start_at_ms":5,"interval_ms":7})");
  cr_assert(bool(spec));
  cr_assert_eq(spec->steps_size(), 2);
  cr_assert(spec->payload() == "text");
  cr_assert(spec->steps(0).preferred_rack() == "r1-3");
  const schema::StepSpec& step = spec->steps(1);
  cr_assert_eq(step.need().accelerators(), 8);
  cr_assert(step.gang() && step.same_rack() && step.checkpointable() && step.long_running() && step.filler());
  cr_assert_eq(step.max_per_target(), 2);
  cr_assert_eq(step.max_unavailable(), 3);
  cr_assert_eq(step.latency_target_ms(), 50);
  cr_assert_eq(spec->occurrences(), 3);
}

Test(platform_formats, malformed_submissions_are_refused) {
  const std::string bodies[] = {"",
                                "[]",
                                "{",
                                "{}",
                                R"({"steps":[]})",
                                R"({"steps":[{"count":0}]})",
                                R"({"steps":[{"count":-1}]})",
                                R"({"steps":[{"count":1.5}]})",
                                R"({"steps":[{"count":"1"}]})",
                                R"({"steps":[{"count":1,"after":[0]}]})",
                                R"({"steps":[{"count":1,"after":[1]},{"count":1}]})",
                                R"({"steps":[{"count":99999999}]})",
                                R"({"steps":[7]})",
                                R"({"steps":[{"count":1}],"spec":5})",
                                R"({"steps":[{"count":1}],"spec":")" + std::string(4001, 'x') + "\"}"};
  for (const std::string& body : bodies) cr_assert_not(bool(readWorkflow(body)), "%s", body.c_str());
}

Test(platform_formats, a_configuration_keeps_its_bytes) {
  const std::string body = configuration(Route, R"([{"name":"t","api_keys":["k1","k2"],"guaranteed":{"gpu":16}}])");
  Result<schema::QueueConfiguration> read = readConfiguration(body);
  cr_assert(bool(read));
  cr_assert_eq(read->version(), 7);
  cr_assert(read->source() == body);
  cr_assert_eq(read->queues(0).latency_target_ms(), 250);
  cr_assert_eq(read->tenants(0).guaranteed_accelerators(), 16);
}

// Former versions ignored the weight of a tenant. A configuration that they accepted must not be refused for it.
Test(platform_formats, the_weight_of_a_tenant_is_read_and_refuses_nothing) {
  const std::string tenants = R"([{"name":"a","weight":3},{"name":"b"},{"name":"c","weight":0.5},)"
                              R"({"name":"d","weight":"heavy"},{"name":"e","weight":1001}])";
  Result<schema::QueueConfiguration> read = readConfiguration(configuration(Route, tenants));
  cr_assert(bool(read));
  cr_assert_eq(read->tenants(0).weight(), 3);
  for (int i = 1; i < 5; ++i) cr_assert_eq(read->tenants(i).weight(), 0);
}

Test(platform_formats, invalid_configurations_are_refused_completely) {
  std::string wrong = Route;
  cr_assert(refusal(configuration(Route)).empty());
  cr_assert_not(refusal(configuration(Route + "," + Route)).empty(), "duplicate route");
  wrong.replace(wrong.find("3000"), 4, "0");
  cr_assert_not(refusal(configuration(wrong)).empty(), "no time-out");
  wrong = Route;
  wrong.replace(wrong.find(R"("s")"), 3, R"("unknown")");
  cr_assert_not(refusal(configuration(wrong)).empty(), "unknown service");
  const std::string shared = R"([{"name":"t","api_keys":["k"]},{"name":"u","api_keys":["k"]}])";
  cr_assert_not(refusal(configuration(Route, shared)).empty(), "shared key");
  const std::string whole = configuration(Route);
  for (std::size_t length = 0; length < whole.size(); ++length) {
    cr_assert_not(refusal(whole.substr(0, length)).empty(), "cut at %zu", length);
  }
  cr_assert_not(refusal(R"({"routes":[],"services":[]})").empty(), "no version");
  cr_assert_not(refusal(R"({"version":3})").empty(), "no routes and services");
}

Test(platform_formats, an_announcement_is_read) {
  Result<TargetAnnouncement> read = readAnnouncement(
      "i-1", R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":8,"state":"draining",)"
             R"("cold_remaining_ms":0,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":8},"labels":["a","r1-3"],)"
             R"("clock_ms":482113,"seq":4,"remaining_ms":900})");
  cr_assert(bool(read));
  cr_assert(read->report.id() == "i-1" && read->report.rack() == "r1-3" && read->report.draining());
  cr_assert_eq(read->report.capacity().accelerators(), 8);
  cr_assert_eq(read->clockMs, 482113);
  cr_assert_eq(read->report.remaining_ms(), 900);
  cr_assert_not(bool(readAnnouncement("i-1", "not json")));
  cr_assert_not(bool(readAnnouncement("i-1", R"({"seq":"four"})")));
}

Test(platform_formats, an_incarnation_is_an_identity_and_its_start_time) {
  Result<TargetAnnouncement> first = readAnnouncement("i-1", R"({"born":1780703512345,"seq":1})");
  cr_assert(first && first->report.id() == "i-1@1780703512345");
  Result<TargetAnnouncement> silent = readAnnouncement("i-1", R"({"seq":1})");
  cr_assert(silent && silent->report.id() == "i-1", "without start times an identity has one incarnation");
  for (const char* born : {R"("1780703512345")", "1780703512345.5", "-5", "true", "[]", "{}"}) {
    const std::string body = std::string(R"({"seq":1,"born":)") + born + "}";
    cr_expect_not(bool(readAnnouncement("i-1", body)), "%s", born);
    cr_expect_not(bool(readDeregistration("i-1", body)), "%s", born);
    const std::string answer = std::string(R"({"clock_ms":5,"running":[],"finished":[],"born":)") + born + "}";
    cr_expect_not(bool(readHoldAnswer(200, answer)), "%s", born);
  }
  cr_assert_not(bool(readAnnouncement("i-1@1780703512345", R"({"seq":1})")),
                "an identity in the form of an incarnation");
  cr_assert_not(bool(readAnnouncement("", R"({"seq":1})")));
  Result<TargetIncarnation> farewell = readDeregistration("i-1", R"({"born":7})");
  cr_assert(farewell && farewell->name() == "i-1@7");
  Result<TargetIncarnation> bare = readDeregistration("i-1", "");
  cr_assert(bare && bare->name() == "i-1");
  const TargetIncarnation incarnation = TargetIncarnation::named("i-1@7");
  cr_assert(incarnation.id == "i-1" && incarnation.startTimeMs == 7);
  Result<TargetAnswer> answer = readHoldAnswer(200, R"({"clock_ms":5,"running":[],"finished":[],"born":7})");
  cr_assert(answer && answer->startTimeMs == 7);
}

Test(platform_formats, names_of_tasks_are_read_and_written) {
  schema::TaskId task;
  cr_assert(readTaskName("5c0e7a21d94b36f8.0.1.17", task));
  cr_assert(taskName(task) == "5c0e7a21d94b36f8.0.1.17");
  cr_assert(stepName(task) == "5c0e7a21d94b36f8.0.1");
  for (const char* name : {"", "a", "a.1.2", ".1.2.3", "a.1.2.x", "a.1.2.", "a.1.2.99999999999"}) {
    cr_assert_not(readTaskName(name, task), "%s", name);
  }
}

Test(platform_formats, answers_of_a_target_are_read) {
  Result<TargetAnswer> held = readTargetAnswer(
      200, R"({"clock_ms":482113,"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,9],["no task",1,"",0]],)"
           R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",1,"alone",""]]})");
  cr_assert(bool(held));
  cr_assert_eq(held->running.size(), 1);
  cr_assert_eq(held->running[0].percent(), 41);
  cr_assert_eq(held->ends.size(), 2);
  cr_assert_eq(held->ends[1].kind(), schema::RunAlone);
  Result<TargetAnswer> refused = readTargetAnswer(409, R"({"clock_ms":5,"reason":"room"})");
  cr_assert(refused && refused->verdict == TargetVerdict::Refused && refused->reason == "room" && !refused->fenced);
  Result<TargetAnswer> fenced = readTargetAnswer(409, R"({"clock_ms":5,"reason":"fence"})");
  cr_assert(fenced && fenced->verdict == TargetVerdict::Refused && fenced->fenced && !fenced->wantsTicket);
  Result<TargetAnswer> unticketed = readTargetAnswer(409, R"({"clock_ms":5,"reason":"ticket"})");
  cr_assert(unticketed && unticketed->verdict == TargetVerdict::Refused && unticketed->wantsTicket);
  Result<TargetAnswer> other = readTargetAnswer(421, "");
  cr_assert(other && other->verdict == TargetVerdict::OtherIncarnation);
  Result<TargetAnswer> unhealthy = readTargetAnswer(503, "<html>");
  cr_assert(unhealthy && unhealthy->verdict == TargetVerdict::Refused);
  cr_assert_not(bool(readTargetAnswer(200, "cut sho")), "a truncated answer");
}

// A run that is missing from a target's lists counts as not present, so an answer without readable lists must not be
// accepted as a poll's answer.
Test(platform_formats, an_answer_to_a_poll_that_is_not_completely_readable_is_refused) {
  const std::string own = R"("5c0e7a21d94b36f8.0.1.9")";
  const std::string bodies[] = {"",
                                "{}",
                                "[]",
                                R"({"status":"ok"})",
                                R"({"clock_ms":"soon","running":[],"finished":[]})",
                                R"({"clock_ms":5,"running":7,"finished":[]})",
                                R"({"clock_ms":5,"running":[],"finished":{}})",
                                R"({"clock_ms":5,"running":[[)" + own + R"(,1]],"finished":[]})",
                                R"({"clock_ms":5,"running":[[)" + own + R"(,"1","",4]],"finished":[]})",
                                R"({"clock_ms":5,"running":[],"finished":[[1,)" + own + R"(,1,"gone",""]]})",
                                R"({"clock_ms":5,"running":[],"finished":[["1",)" + own + R"(,1,"done",""]]})",
                                R"({"clock_ms":5,"running":[],"finished":[[1,)" + own + R"(]]})"};
  for (const std::string& body : bodies) cr_expect_not(bool(readHoldAnswer(200, body)), "%s", body.c_str());
  const std::string none = R"({"clock_ms":5,"running":[],"finished":[]})";
  cr_assert(bool(readHoldAnswer(200, none)));
  const std::string row = R"({"clock_ms":5,"running":[],"finished":[[1,)" + own + R"(,1,"done",""]]})";
  Result<TargetAnswer> answer = readHoldAnswer(200, row);
  cr_assert(answer && answer->ends.size() == 1);
  Result<TargetAnswer> refused = readHoldAnswer(503, "<html>");
  cr_assert(refused && refused->verdict == TargetVerdict::Refused);
}

Test(platform_formats, orders_are_written) {
  TargetStart start;
  *start.order.mutable_task() = makeTaskId("ab", {0, 1, 2});
  start.order.set_run(3);
  start.order.set_payload("text");
  start.deadlineMs = 9;
  start.token = 7;
  cr_assert(writeStart(start) == R"({"task":"ab.0.1.2","run":3,"spec":"text","deadline_ms":9,"fencing_token":7})");
  start.order.set_checkpoint("c");
  start.order.set_ticket("t");
  cr_assert(writeStart(start).find(R"("checkpoint":"c","ticket":"t")") != std::string::npos);
  TargetHold hold;
  hold.token = 7;
  cr_assert(writeHold(hold) == R"({"fencing_token":7,"last_seen":0})");
}

Test(platform_formats, a_list_of_the_maximum_number_of_ends_may_be_incomplete) {
  const auto answer = [](unsigned count) {
    std::string rows;
    for (unsigned i = 1; i <= count; ++i) {
      rows += (i > 1 ? "," : "") + std::string("[") + std::to_string(i) + R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""])";
    }
    return R"({"clock_ms":5,"running":[],"finished":[)" + rows + "]}";
  };
  Result<TargetAnswer> whole = readHoldAnswer(200, answer(499));
  cr_assert(whole && !whole->moreEnds);
  Result<TargetAnswer> cut = readHoldAnswer(200, answer(500));
  cr_assert(cut && cut->moreEnds);
}
