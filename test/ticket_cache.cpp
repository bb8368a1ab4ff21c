// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// Requests for tickets whose answers arrive out of order.

#include "Courseloom/src/Control/TicketCache.h"

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

}  // namespace

// A leader that lost and regained leadership requests tickets again; its earlier requests may still be answered.
Test(ticket_cache, an_answer_to_a_request_from_before_a_clear_is_ignored) {
  asio::io_context io;
  TicketCache cache(asio::make_strand(io), std::make_unique<FakeAdvice>(), [] {});
  const TicketCache::StepName step{"w", {0, 0}};
  schema::AdvicePolicy policy;
  policy.set_validity_ms(5000);
  cache.ticketsFor(step, policy, {"t"});
  io.run_for(milliseconds(50));
  cache.clear();
  cache.ticketsFor(step, policy, {"t"});
  io.run_for(milliseconds(700));
  const std::map<std::string, std::string> tickets = cache.ticketsFor(step, policy, {"t"});
  cr_assert_eq(tickets.count("t"), 1);
  cr_assert_str_eq(tickets.at("t").c_str(), "new");
}
