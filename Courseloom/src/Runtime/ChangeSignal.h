// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

#include "Courseloom/src/Transport/Http2Connection.h"

namespace courseloom {

/** \class ChangeSignal
 * \brief Condition that any number of coroutines on one strand can wait for. All use must be on that strand.
 */
class ChangeSignal {
 public:
  /** Resumes all coroutines that are waiting. Without any, the call has no effect; it is not stored. */
  void notify() {
    for (boost::asio::steady_timer* timer : m_waiting) timer->cancel();
  }
  /** Waits for the next notify() or until the deadline. The caller can't see which of them ended the wait. */
  Awaitable<void> wait(Time deadline) {
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    timer.expires_after(std::max(deadline - BootClock::now(), Duration(0)));
    m_waiting.insert(&timer);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    m_waiting.erase(&timer);
  }

 private:
  std::set<boost::asio::steady_timer*> m_waiting;
};

}  // namespace courseloom
