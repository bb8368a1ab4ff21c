// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Queues whose steps need tickets, on real processes: their configuration changes while accepted workflows wait.

#include "test/WorkflowDeployment.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

constexpr Duration DoneLimit = milliseconds(20000);
const std::string Advice = R"(,"advice":{"decision_ms":20,"period_ms":2,"validity_ms":2000})";
/** Another validity than that of Advice, still not above that of the stand-in's tickets. */
const std::string OtherAdvice = R"(,"advice":{"decision_ms":20,"period_ms":2,"validity_ms":1200})";

std::string queue(const std::string& name, const std::string& prefix, const std::string& advice = "") {
  return route(name, prefix, 1, advice);
}

std::string configurationOf(unsigned version, const std::vector<std::string>& queues) {
  std::string routes;
  for (std::size_t i = 0; i < queues.size(); ++i) routes += (i == 0 ? "" : ",") + queues[i];
  return test::configurationOf(version, routes, tenant("t", "key-1"));
}

/** \returns a workflow of two steps; the second waits for the first. */
std::string twoSteps(unsigned firstMs) {
  const std::string step = R"({"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":200)";
  return R"({"spec":")" + std::to_string(firstMs) + R"(","steps":[)" + step + "}," + step + R"(,"after":[0]}]})";
}

std::string idOf(unsigned number) { return "00000000000003" + std::to_string(10 + number); }

/** \class TicketedQueues
 * \brief A deployment whose back ends want tickets.
 */
class TicketedQueues {
 public:
  explicit TicketedQueues(const std::vector<std::string>& queues) {
    cr_assert_eq(m_deployment.configure(configurationOf(1, queues)), 200);
    setTickets("wanted=1");
    cr_assert(m_deployment.until(200, "GET", "/kept/", "", "pending"));
  }

  WorkflowDeployment& deployment() { return m_deployment; }

  void setTickets(const std::string& query) {
    for (unsigned i = 1; i <= 2; ++i) m_deployment.runner(i, "POST", "/tickets?" + query);
  }

  void submit(const std::string& prefix, unsigned number, unsigned firstMs) {
    cr_assert_eq(m_deployment.call("POST", "/" + prefix + "/" + idOf(number), twoSteps(firstMs)).status, 200);
  }

  bool awaitStarted(const std::string& task) { return await("\"" + task + "\":"); }

  /** \returns whether a back end lists a task as done in time; its queue may not answer any more. */
  bool awaitDone(const std::string& task) {
    const Time end = BootClock::now() + DoneLimit;
    while (BootClock::now() < end) {
      for (unsigned i = 1; i <= 2; ++i) {
        const std::string counts = m_deployment.runner(i, "GET", "/starts").body;
        const std::size_t done = counts.find("\"done\":");
        if (done != std::string::npos && counts.find("\"" + task + "\":", done) != std::string::npos) return true;
      }
      pause(20);
    }
    return false;
  }

  /** \returns the number of starts that the back ends refused because they had no valid ticket. */
  unsigned startsWithoutTicket() {
    unsigned sum = 0;
    for (unsigned i = 1; i <= 2; ++i) {
      const std::string counts = m_deployment.runner(i, "GET", "/starts").body;
      const std::string name = "\"withoutTicket\":";
      const std::size_t at = counts.find(name);
      if (at != std::string::npos) sum += static_cast<unsigned>(std::atoi(counts.c_str() + at + name.size()));
    }
    return sum;
  }

 private:
  bool await(const std::string& text) {
    const Time end = BootClock::now() + DoneLimit;
    while (BootClock::now() < end) {
      if (m_deployment.counted(text) > 0) return true;
      pause(20);
    }
    return false;
  }

  WorkflowDeployment m_deployment;
};

/** What a version of the configuration does to a queue that has a policy. */
struct Change {
  std::string prefix;              ///< of the queue, which is also its name
  std::vector<std::string> after;  ///< what the version has in its place
};

const std::vector<Change> Changes{
    {"kept", {queue("kept", "kept", Advice)}},
    {"times", {queue("times", "times", OtherAdvice)}},
    {"lost", {queue("lost", "lost")}},
    {"renamed", {queue("renamed-now", "renamed", Advice)}},
    {"removed", {}},
};

/** Changes the queues while the first steps run, and requires that the second ones are done. */
void requireSecondStepsDone(bool restart) {
  std::vector<std::string> before;
  std::vector<std::string> after;
  for (const Change& change : Changes) {
    before.push_back(queue(change.prefix, change.prefix, Advice));
    after.insert(after.end(), change.after.begin(), change.after.end());
  }
  TicketedQueues test(before);
  for (unsigned i = 0; i < Changes.size(); ++i) test.submit(Changes[i].prefix, i, 3000);
  for (unsigned i = 0; i < Changes.size(); ++i) cr_assert(test.awaitStarted(idOf(i) + ".0.0.0"));
  cr_assert_eq(test.deployment().configure(configurationOf(2, after)), 200);
  if (restart) {
    for (unsigned i = 1; i <= 3; ++i) test.deployment().kill("control-" + std::to_string(i));
    for (unsigned i = 1; i <= 3; ++i) test.deployment().control(i, false);
  }
  for (unsigned i = 0; i < Changes.size(); ++i) {
    cr_assert(test.awaitDone(idOf(i) + ".0.1.0"), "the queue is '%s': its second step was not done",
              Changes[i].prefix.c_str());
  }
  cr_assert_eq(test.startsWithoutTicket(), 0);
}

}  // namespace

// Guards against accepted workflows that are never run once their queue is changed, replaced or removed: their starts
// went out without a ticket.
Test(ticketed_queues, accepted_workflows_are_run_whatever_becomes_of_their_queue) { requireSecondStepsDone(false); }

Test(ticketed_queues, the_same_after_a_restart_of_all_replicas) { requireSecondStepsDone(true); }

Test(ticketed_queues, a_queue_that_is_given_back_without_its_policy) {
  TicketedQueues test({queue("kept", "kept", Advice), queue("back", "back", Advice)});
  test.submit("back", 0, 3000);
  cr_assert(test.awaitStarted(idOf(0) + ".0.0.0"));
  cr_assert_eq(test.deployment().configure(configurationOf(2, {queue("kept", "kept", Advice)})), 200);
  cr_assert_eq(test.deployment().configure(configurationOf(3, {queue("kept", "kept", Advice), queue("back", "back")})),
               200);
  cr_assert(test.awaitDone(idOf(0) + ".0.1.0"));
}

// Guards against starts that are refused for want of a ticket and sent to the next target at once, without end. The
// workflow's record says nothing of a policy, as that of a workflow which an earlier version accepted.
Test(ticketed_queues, a_refused_start_shows_that_a_ticket_is_needed) {
  TicketedQueues test({queue("kept", "kept", Advice), queue("plain", "plain")});
  test.submit("plain", 0, 100);
  cr_assert(test.awaitDone(idOf(0) + ".0.1.0"));
  cr_assert_leq(test.startsWithoutTicket(), 2, "%u starts were refused", test.startsWithoutTicket());
}

// Guards against work that waits for an advice service that is gone although its queue needs no tickets any more.
Test(ticketed_queues, a_queue_that_lost_its_policy_runs_without_tickets_where_none_are_wanted) {
  TicketedQueues test({queue("kept", "kept", Advice), queue("lost", "lost", Advice)});
  test.submit("lost", 0, 2000);
  cr_assert(test.awaitStarted(idOf(0) + ".0.0.0"));
  test.setTickets("wanted=0&fail=1");
  cr_assert_eq(test.deployment().configure(configurationOf(2, {queue("kept", "kept", Advice), queue("lost", "lost")})),
               200);
  cr_assert(test.awaitDone(idOf(0) + ".0.1.0"));
}

Test(ticketed_queues, a_queue_that_gains_a_policy_asks_for_tickets) {
  TicketedQueues test({queue("kept", "kept", Advice), queue("gained", "gained")});
  test.setTickets("wanted=0");
  test.submit("gained", 0, 2000);
  cr_assert(test.awaitStarted(idOf(0) + ".0.0.0"));
  test.setTickets("wanted=1");
  cr_assert_eq(test.deployment().configure(
                   configurationOf(2, {queue("kept", "kept", Advice), queue("gained", "gained", Advice)})),
               200);
  cr_assert(test.awaitDone(idOf(0) + ".0.1.0"));
  cr_assert_eq(test.startsWithoutTicket(), 0);
}
