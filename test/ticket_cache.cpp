// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Requests for tickets whose answers arrive out of order.

#include "Courseloom/src/Control/TicketCache.h"

#include <thread>

#include "Courseloom/src/Runtime/OneShot.h"
#include "test/main.h"

using namespace courseloom;

namespace asio = boost::asio;

namespace {

/** \class FakeAdvice
 * \brief Answers the first request after 400 ms and every other one after 20 ms.
 */
class FakeAdvice : public AdvicePort {
 public:
  Awaitable<Result<std::vector<Ticket>>> advise(schema::TaskId, std::vector<std::string> targets, Duration) override {
    const bool first = m_requests++ == 0;
    co_await sleepFor(milliseconds(first ? 400 : 20));
    co_return std::vector<Ticket>{{targets[0], first ? "old" : "new"}};
  }

 private:
  unsigned m_requests = 0;
};

const TicketNeed Need{TicketCertainty::Needed, milliseconds(5000)};

}  // namespace

// A leader that lost and regained leadership requests tickets again; its earlier requests may still be answered.
Test(ticket_cache, an_answer_to_a_request_from_before_a_clear_is_ignored) {
  asio::io_context io;
  TicketCache cache(asio::make_strand(io), std::make_unique<FakeAdvice>(), [] {});
  const TicketCache::StepName step{"w", {0, 0}};
  cache.ticketsFor(step, Need, {"t"});
  io.run_for(milliseconds(50));
  cache.clear();
  cache.ticketsFor(step, Need, {"t"});
  io.run_for(milliseconds(700));
  const std::map<std::string, std::string> tickets = *cache.ticketsFor(step, Need, {"t"});
  cr_assert_eq(tickets.count("t"), 1);
  cr_assert_str_eq(tickets.at("t").c_str(), "new");
}

namespace {

/** \class SlowAdvice
 * \brief Counts requests and answers each of them after 100 ms, or fails.
 */
class SlowAdvice : public AdvicePort {
 public:
  SlowAdvice(unsigned& requests, const bool& fails) : m_requests(requests), m_fails(fails) {}
  Awaitable<Result<std::vector<Ticket>>> advise(schema::TaskId, std::vector<std::string> targets, Duration) override {
    ++m_requests;
    co_await sleepFor(milliseconds(100));
    if (m_fails) co_return fail(Failure{FailureCode::Overloaded, Ran::No, "advise", "", "status 503", 0});
    co_return std::vector<Ticket>{{targets[0], "ticket"}};
  }

 private:
  unsigned& m_requests;
  const bool& m_fails;
};

struct CacheFixture {
  unsigned requests = 0;
  bool fails = false;
  asio::io_context io;
  TicketCache cache{asio::make_strand(io), std::make_unique<SlowAdvice>(requests, fails), [] {}};

  void run(std::int64_t ms) {
    io.restart();
    io.run_for(milliseconds(ms));
  }
};

schema::Queue queueWith(std::uint32_t validityMs) {
  schema::Queue queue;
  if (validityMs > 0) queue.mutable_advice()->set_validity_ms(validityMs);
  return queue;
}

schema::Workflow workflowWith(std::uint32_t validityMs, bool refused) {
  schema::Workflow workflow;
  if (validityMs > 0) workflow.mutable_advice()->set_validity_ms(validityMs);
  workflow.set_wants_ticket(refused);
  return workflow;
}

}  // namespace

// The table of the rule in TicketCache.h: the policy in force, then refusals, then the policy that was in force.
Test(ticket_cache, the_need_of_a_workflow_outlives_its_queue) {
  const schema::Queue plain = queueWith(0);
  const schema::Queue ticketed = queueWith(700);
  const auto certainty = [](const schema::Workflow& workflow, const schema::Queue* queue) {
    return ticketNeedOf(workflow, queue).certainty;
  };
  cr_assert_eq(certainty(workflowWith(0, false), &plain), TicketCertainty::NotNeeded);
  cr_assert_eq(certainty(workflowWith(0, false), nullptr), TicketCertainty::NotNeeded);
  cr_assert_eq(certainty(workflowWith(0, false), &ticketed), TicketCertainty::Needed, "its queue has gained a policy");
  cr_assert_eq(certainty(workflowWith(900, false), &plain), TicketCertainty::Presumed, "its queue has lost its policy");
  cr_assert_eq(certainty(workflowWith(900, false), nullptr), TicketCertainty::Presumed, "its queue is gone");
  cr_assert_eq(certainty(workflowWith(900, true), nullptr), TicketCertainty::Needed);
  cr_assert_eq(certainty(workflowWith(0, true), &plain), TicketCertainty::Needed);
  cr_assert_eq(ticketNeedOf(workflowWith(900, false), &ticketed).validity, milliseconds(700), "the times in force");
  cr_assert_eq(ticketNeedOf(workflowWith(900, true), nullptr).validity, milliseconds(900), "the newest known times");
  cr_assert_gt(ticketNeedOf(workflowWith(0, true), nullptr).validity, Duration(0));
}

Test(ticket_cache, a_presumed_need_is_given_up_while_advice_fails_and_a_certain_one_is_not) {
  CacheFixture test;
  test.fails = true;
  const TicketCache::StepName step{"w", {0, 0}};
  const TicketNeed presumed{TicketCertainty::Presumed, milliseconds(5000)};
  cr_assert(test.cache.ticketsFor(step, presumed, {"t"}), "the request is pending");
  test.run(600);
  cr_assert_not(test.cache.ticketsFor(step, presumed, {"t"}), "a start is tried without a ticket");
  cr_assert(test.cache.ticketsFor(step, Need, {"t"}));
  cr_assert(test.cache.ticketsFor(step, Need, {"t"})->empty());
}

// Guards against the requests of one workflow that keep the advice service from those of others.
Test(ticket_cache, a_workflow_has_few_pending_requests) {
  CacheFixture test;
  for (std::uint32_t i = 0; i < 100; ++i) test.cache.ticketsFor({"w", {0, i}}, Need, {"t"});
  test.cache.ticketsFor({"x", {0, 0}}, Need, {"t"});
  test.run(50);
  cr_assert_eq(test.requests, TicketCache::MaxRequestsPerWorkflow + 1);
  test.run(200);
  for (std::uint32_t i = 0; i < 100; ++i) test.cache.ticketsFor({"w", {0, i}}, Need, {"t"});
  test.run(50);
  cr_assert_eq(test.requests, 2 * TicketCache::MaxRequestsPerWorkflow + 1, "each answer lets another step ask");
}

// Guards against a loop of refused tickets and requests.
Test(ticket_cache, refused_tickets_are_discarded_and_delay_the_next_request) {
  CacheFixture test;
  const TicketCache::StepName step{"w", {0, 0}};
  test.cache.ticketsFor(step, Need, {"t"});
  test.run(200);
  cr_assert_eq(test.cache.ticketsFor(step, Need, {"t"})->count("t"), 1);
  test.cache.refused(step);
  cr_assert(test.cache.ticketsFor(step, Need, {"t"})->empty());
  test.run(50);
  cr_assert_eq(test.requests, 1, "the request waits for the pause");
  std::this_thread::sleep_for(milliseconds(250));
  test.cache.ticketsFor(step, Need, {"t"});
  test.run(50);
  cr_assert_eq(test.requests, 2);
}
