// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Tasks that crash every target that starts them, on real processes.

#include "test/WorkflowDeployment.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

/** Three starts up to the third crash, and at most two more. */
constexpr unsigned MaxStarts = 5;

/** \returns a workflow of long-running tasks, which run until it is cancelled. */
std::string longRunning(unsigned count, const std::string& spec) {
  return R"({"spec":")" + spec + R"(","steps":[{"count":)" + std::to_string(count) +
         R"(,"long_running":true,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":200}]})";
}

/** \returns the number of starts of a task on all targets. */
unsigned startsOf(WorkflowDeployment& test, unsigned targets, const std::string& task) {
  unsigned starts = 0;
  for (unsigned i = 1; i <= targets; ++i) {
    const std::string text = test.runner(i, "GET", "/starts").body;
    const std::size_t at = text.find("\"" + task + "\":");
    if (at != std::string::npos) starts += static_cast<unsigned>(std::atoi(text.c_str() + at + task.size() + 3));
  }
  return starts;
}

}  // namespace

// Guards against a task that is started again without limit and so crashes the whole fleet.
Test(crashing_tasks, a_task_that_crashes_each_target_is_given_up) {
  WorkflowDeployment test(3);
  test.setUp();
  cr_assert_eq(test.call("POST", "/q/00000000000002a0", job(1, "crash 10")).status, 200);
  const bool givenUp = test.until(200, "GET", "/q/00000000000002a0", "", "failed");
  const unsigned starts = startsOf(test, 3, "00000000000002a0.0.0.0");
  cr_assert(givenUp && starts <= MaxStarts, "given up %d after %u starts", givenUp, starts);
}

// A long-running task has no limit of attempts, so only the limit on crashes ends its starts.
Test(crashing_tasks, a_long_running_task_that_crashes_each_target_is_given_up) {
  WorkflowDeployment test(3);
  test.setUp();
  cr_assert_eq(test.call("POST", "/q/00000000000002b0", longRunning(1, "crash 10")).status, 200);
  const bool givenUp = test.until(200, "GET", "/q/00000000000002b0", "", "failed");
  const unsigned starts = startsOf(test, 3, "00000000000002b0.0.0.0");
  cr_assert(givenUp && starts <= MaxStarts, "given up %d after %u starts", givenUp, starts);
}
