// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/StrandSlice.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Courseloom/src/Core/Log.h"

namespace courseloom {

void recordStretch(const DaemonContext& context, const char* work, Duration length) {
  context.metrics.record("strand_ms", "all", work, toMilliseconds(length));
  if (length < LongStretch) return;
  logEvent(schema::StrandHeld, {{"work", work}, {"tookMs", static_cast<std::uint64_t>(toMilliseconds(length))}});
}

Awaitable<void> StrandSlice::yield() {
  m_yielded = true;
  finish();
  m_context.metrics.count("strand_yields", m_work);
  co_await boost::asio::post(boost::asio::bind_executor(m_strand, boost::asio::use_awaitable));
  m_begin = BootClock::now();
}

}  // namespace courseloom
