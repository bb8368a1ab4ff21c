// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The checker of the fault soak finds each kind of violation and passes correct histories.

#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "test/soak/RunHistory.h"

#include "test/main.h"
#include "test/soak/SocketOwner.h"

using namespace courseloom;
using namespace courseloom::test;

namespace {

struct Case {
  RunHistory history;
  std::map<std::string, ExpectedJob> jobs;
  Time now = Time(milliseconds(100000));

  ExpectedJob& job(unsigned tasks = 1) {
    ExpectedJob& expected = jobs["aa"];
    expected.id = "aa";
    expected.tasks = tasks;
    expected.accepted = true;
    return expected;
  }
  void event(const std::string& line) { history.add(parseRunEvent(line).value()); }
  std::string found(bool healed = false) const {
    std::string text;
    for (const std::string& line : history.check(jobs, now, healed)) text += line + "\n";
    return text;
  }
  bool finds(const std::string& text, bool healed = false) const {
    return found(healed).find(text) != std::string::npos;
  }
};

}  // namespace

Test(run_history, a_correct_history_passes) {
  Case test;
  test.job().outcome = JobOutcome::Completed;
  test.event("1000 started i-1 aa.0.0.0 1 -");
  test.event("2000 ended i-1 aa.0.0.0 1 stopped");
  test.event("2500 started i-2 aa.0.0.0 2 -");
  test.event("3000 ended i-2 aa.0.0.0 2 done");
  test.event("3500 noted i-2 aa.0.0.0 2 done");
  cr_assert_str_eq(test.found(true).c_str(), "");
}

Test(run_history, two_runs_at_once_are_found) {
  Case test;
  test.job();
  test.event("1000 started i-1 aa.0.0.0 1 -");
  test.event("1500 started i-2 aa.0.0.0 2 -");
  test.event("2000 ended i-1 aa.0.0.0 1 lapsed");
  cr_assert(test.finds("two at once"));
}

Test(run_history, runs_end_with_their_incarnation) {
  Case test;
  test.job();
  test.event("1000 started i-1 aa.0.0.0 1 -");
  test.event("1400 over i-1");
  test.event("1500 started i-2 aa.0.0.0 2 -");
  cr_assert_not(test.finds("two at once"));
}

Test(run_history, a_start_after_an_acknowledged_end_is_found) {
  Case test;
  test.job();
  test.event("1000 started i-1 aa.0.0.0 1 -");
  test.event("1500 ended i-1 aa.0.0.0 1 done");
  test.event("2000 started i-2 aa.0.0.0 2 -");
  cr_assert_not(test.finds("started after done"), "the end was not acknowledged yet");
  test.event("2100 noted i-1 aa.0.0.0 1 done");
  cr_assert(test.finds("started after done"));
}

Test(run_history, a_start_after_an_end_acknowledged_past_the_hold_passes) {
  Case test;
  test.job();
  test.event("1000 started i-1 aa.0.0.0 1 -");
  test.event("1500 ended i-1 aa.0.0.0 1 done");
  test.event("1800 lapsed i-1");
  test.event("2000 started i-2 aa.0.0.0 2 -");
  test.event("2100 noted i-1 aa.0.0.0 1 done");
  cr_assert_not(test.finds("started after done"));
}

Test(run_history, refused_jobs_that_ran_and_jobs_that_nobody_sent_are_found) {
  Case test;
  test.job().accepted = false;
  test.event("1000 started i-1 aa.0.0.0 1 -");
  test.event("1000 started i-1 bb.0.0.0 1 -");
  cr_assert(test.finds("ran although refused: aa"));
  cr_assert(test.finds("nobody asked for it: bb"));
  test.job().inDoubt = true;
  cr_assert_not(test.finds("ran although refused"));
}

Test(run_history, a_partial_gang_that_runs_for_long_is_found) {
  Case test;
  test.job(2).gang = true;
  test.event("1000 started i-1 aa.0.0.0 1 -");
  cr_assert(test.finds("part of a gang"));
  test.event("5000000 ended i-1 aa.0.0.0 1 stopped");
  cr_assert_not(test.finds("part of a gang"));
}

Test(run_history, wrong_states_of_jobs_are_found) {
  Case test;
  test.job(2).outcome = JobOutcome::Completed;
  test.event("1000 started i-1 aa.0.0.0 1 -");
  test.event("1500 ended i-1 aa.0.0.0 1 done");
  cr_assert(test.finds("shown as completed, 1 of 2"));
  test.job().gang = true;
  cr_assert_not(test.finds("shown as completed"), "one member's end counts for its gang");
  test.job().gang = false;
  test.job().outcome = JobOutcome::Failed;
  cr_assert(test.finds("failed without cause"));
  test.job().outcome = JobOutcome::Cancelled;
  cr_assert(test.finds("cancelled by nobody"));
  test.job().outcome = JobOutcome::Open;
  cr_assert(test.finds("accepted and never ended", true));
}

// The query has to distinguish the two ends of a connection, and closed connections that used one of its ports.
Test(run_history, the_owner_of_a_connection_is_found_among_closed_ones_of_the_same_port) {
  namespace asio = boost::asio;
  using Tcp = asio::ip::tcp;
  asio::io_context io;
  Tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.9.7"), 0});
  const Tcp::endpoint proxy = acceptor.local_endpoint();
  Tcp::socket first(io);
  first.connect(proxy);
  Tcp::socket firstAccepted = acceptor.accept();
  const Tcp::endpoint closed = first.local_endpoint();
  first.close();
  firstAccepted.close();
  Tcp::socket second(io);
  second.connect(proxy);
  Tcp::socket secondAccepted = acceptor.accept();
  const Tcp::endpoint caller = second.local_endpoint();
  const auto inodeOf = [](Tcp::socket& socket) {
    struct stat status {};
    fstat(socket.native_handle(), &status);
    return static_cast<std::uint32_t>(status.st_ino);
  };
  cr_assert_eq(inodeOfConnection(caller, proxy), inodeOf(second));
  cr_assert_eq(inodeOfConnection(proxy, caller), inodeOf(secondAccepted), "the far end has another socket");
  cr_assert_eq(inodeOfConnection(closed, proxy), 0, "a closed connection has no owner");
  cr_assert_eq(ownerOfConnection(caller, proxy, {getpid()}), getpid());
  cr_assert_eq(ownerOfConnection(caller, proxy, {}), 0);
}

Test(run_history, a_task_that_is_started_three_times_more_after_three_crashes_is_found) {
  for (const unsigned starts : {5U, 6U}) {
    Case test;
    test.job().crashes = true;
    for (unsigned i = 1; i <= starts; ++i) {
      const std::string incarnation = "i-" + std::to_string(i);
      test.event(std::to_string(1000 * i) + " started " + incarnation + " aa.0.0.0 " + std::to_string(i) + " -");
      test.event(std::to_string(1000 * i + 10) + " over " + incarnation + " - 0 crash");
    }
    cr_assert_eq(test.finds("started three times more"), starts == 6);
  }
}

Test(run_history, a_job_given_up_before_two_crashes_is_found) {
  for (const unsigned crashes : {1U, 2U}) {
    Case test;
    test.job().outcome = JobOutcome::Failed;
    for (unsigned i = 1; i <= crashes; ++i) {
      const std::string incarnation = "i-" + std::to_string(i);
      test.event(std::to_string(1000 * i) + " started " + incarnation + " aa.0.0.0 " + std::to_string(i) + " -");
      test.event(std::to_string(1000 * i + 10) + " over " + incarnation + " - 0 crash");
    }
    cr_assert_eq(test.finds("failed without cause"), crashes == 1);
  }
}
