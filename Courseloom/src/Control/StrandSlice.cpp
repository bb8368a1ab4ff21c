// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/StrandSlice.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "Courseloom/src/Core/Log.h"

namespace courseloom {

StretchTimer::~StretchTimer() {
  const Duration length = elapsed();
  m_context.metrics.record("strand_ms", "all", m_work, toMilliseconds(length));
  if (length < LongStretch) return;
  logEvent(schema::StrandHeld, {{"work", m_work}, {"tookMs", static_cast<std::uint64_t>(toMilliseconds(length))}});
}

Awaitable<void> StrandSlice::yield() {
  m_yielded = true;
  m_stretch.reset();
  m_context.metrics.count("strand_yields", m_work);
  co_await boost::asio::post(boost::asio::bind_executor(m_strand, boost::asio::use_awaitable));
  m_stretch.emplace(m_context, m_work);
}

}  // namespace courseloom
