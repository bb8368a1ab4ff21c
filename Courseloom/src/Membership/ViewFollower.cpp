// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Membership/ViewFollower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Runtime/OneShot.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {
/** The leader may delay its answer to an exchange for at most the freshness lease divided by this number. */
constexpr int WaitDivisor = 5;
/** Interval at which the loss or return of freshness is checked and logged. */
constexpr Duration FreshnessCheckInterval = milliseconds(50);
/** Time limit for the last heartbeat of a leaving node. */
constexpr Duration LeavingTimeout = milliseconds(1000);
}  // namespace
}  // namespace internal

ViewFollower::ViewFollower(asio::io_context& io, const schema::ClusterSettings& cluster, StatusSource status,
                           ViewBuilder builder)
    : m_io(io),
      m_control(io, cluster),
      m_status(std::move(status)),
      m_builder(std::move(builder)),
      m_view(std::make_unique<View>()),
      m_freshness(milliseconds(cluster.freshness_lease_ms())) {}

void ViewFollower::start() {
  asio::co_spawn(m_io, follow(), asio::detached);
  asio::co_spawn(m_io, watchFreshness(), asio::detached);
}

schema::WatchRequest ViewFollower::makeRequest() {
  schema::WatchRequest request;
  *request.mutable_node() = m_status();
  request.mutable_node()->set_revision(m_revision.load());
  request.mutable_node()->set_sequence(++m_sequence);
  const RcuReadGuard guard;
  const View& view = m_view.read(guard);
  request.set_revision(view.revision);
  request.set_view(view.targetsVersion);
  request.set_term(view.targetsTerm);
  return request;
}

Awaitable<void> ViewFollower::follow() {
  while (!m_stopped) {
    schema::WatchRequest request = makeRequest();
    const Time sentAt = BootClock::now();
    // Once half of the freshness lease has passed, the node needs an immediate answer.
    const bool mayWait = freshUntil() > sentAt + m_freshness / 2;
    if (mayWait) request.set_wait_ms(static_cast<std::uint32_t>(toMilliseconds(m_freshness)) / internal::WaitDivisor);
    Result<schema::WatchReply> reply = co_await m_control.watchOnce(std::move(request), sentAt + 2 * m_freshness);
    if (reply) {
      m_control.setMembers({reply->members().begin(), reply->members().end()});
      m_control.setRelays({reply->relays().begin(), reply->relays().end()});
      applyReply(*reply, sentAt);
    } else {
      logLastingFailure(extractFailure(reply));
      co_await sleepFor(LeaderRetryPause);
    }
  }
}

/** Logs a failure only if the freshness lease has expired, since another replica may answer immediately. At most one
 * failure is logged in twice the length of the lease. */
void ViewFollower::logLastingFailure(const Failure& failure) {
  const Time now = BootClock::now();
  if (fresh() || now < m_lastFailureLog + 2 * m_freshness) return;
  m_lastFailureLog = now;
  logFailure(schema::PeerFailed, failure);
}

void ViewFollower::applyReply(const schema::WatchReply& reply, Time sentAt) {
  {
    std::unique_ptr<View> next;
    {
      const RcuReadGuard guard;
      next = m_builder.next(m_view.read(guard), reply);
    }
    if (next) {
      const bool changed = next->revision > m_revision.load();
      const std::uint64_t revision = next->revision;
      if (m_hook) m_hook(*next);
      m_view.publish(std::move(next));
      m_revision.store(revision);
      if (changed) logEvent(schema::ConfigurationInForce, {{"revision", revision}});
    }
  }
  m_leaving.store(reply.leaving());
  m_freshUntil.store((sentAt + m_freshness).time_since_epoch().count());
}

Awaitable<void> ViewFollower::watchFreshness() {
  bool wasFresh = false;
  while (!m_stopped) {
    const bool isFresh = fresh();
    if (isFresh != wasFresh) logEvent(isFresh ? schema::FreshnessRegained : schema::FreshnessLost);
    wasFresh = isFresh;
    co_await sleepFor(internal::FreshnessCheckInterval);
  }
}

Awaitable<void> ViewFollower::announceLeaving() {
  m_stopped = true;
  schema::WatchRequest request = makeRequest();
  request.mutable_node()->set_leaving(true);
  Result<schema::WatchReply> reply =
      co_await m_control.watch(std::move(request), BootClock::now() + internal::LeavingTimeout);
  if (!reply) logFailure(schema::PeerFailed, extractFailure(reply));
}

}  // namespace courseloom
