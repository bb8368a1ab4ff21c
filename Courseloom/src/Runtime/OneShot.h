// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>

#include "Courseloom/src/Transport/Http2Connection.h"

namespace courseloom {

/** \class OneShot
 * \brief A value that one coroutine waits for and another one sets once. All use must be on one strand.
 */
template <class T>
class OneShot {
 public:
  explicit OneShot(const boost::asio::any_io_executor& executor) : m_timer(executor) {}

  /** Sets the value and resumes the waiting coroutine. Calls after the first have no effect. */
  void set(T value) {
    if (m_value) return;
    m_value = std::move(value);
    m_timer.cancel();
  }
  /** Waits for the value, which is moved out. \returns the value, or nothing if it was not set by the deadline */
  Awaitable<std::optional<T>> wait(Time deadline) {
    if (!m_value) {
      m_timer.expires_after(std::max(deadline - BootClock::now(), Duration(0)));
      co_await m_timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
    co_return std::move(m_value);
  }

 private:
  boost::asio::steady_timer m_timer;
  std::optional<T> m_value;
};

/** Suspends the calling coroutine for a duration, on its own executor. */
inline Awaitable<void> sleepFor(Duration duration) {
  boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
  co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

}  // namespace courseloom
