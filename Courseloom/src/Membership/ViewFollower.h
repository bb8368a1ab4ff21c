// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>
#include <functional>

#include "Courseloom/src/Core/RcuPointer.h"
#include "Courseloom/src/Membership/ControlClient.h"
#include "Courseloom/src/Routing/View.h"

namespace courseloom {

/** \class ViewFollower
 * \brief Keeps a node's View up to date with the control leader, and holds the node's freshness lease.
 *
 * Each exchange is heartbeat and long poll in one: it tells the node's state and brings what is newer, a batch at a
 * time. The lease counts from when the exchange was sent, so it can only be shorter than the leader believes.
 */
class ViewFollower {
 public:
  using StatusSource = std::function<schema::NodeStatus()>;
  using ViewHook = std::function<void(const View&)>;

  ViewFollower(boost::asio::io_context& io, const schema::ClusterSettings& cluster, StatusSource status,
               ViewBuilder builder);

  /** Called on the following coroutine for each new View, before readers see it. */
  void onView(ViewHook hook) { m_hook = std::move(hook); }
  void start();
  /** Sends one last heartbeat that says this node is leaving, then follows no more. */
  Awaitable<void> sayLeaving();

  const RcuPointer<View>& view() const { return m_view; }
  /** \returns whether the leader was heard within the freshness lease. */
  bool fresh() const { return BootClock::now() < freshUntil(); }
  bool leaving() const { return m_leaving.load(); }
  std::uint64_t revision() const { return m_revision.load(); }
  ControlClient& control() { return m_control; }

 private:
  Awaitable<void> follow();
  Awaitable<void> watchFreshness();
  Time freshUntil() const { return Time(Duration(m_freshUntil.load())); }
  void noteFailure(const Failure& failure);
  schema::WatchRequest makeRequest();
  void take(const schema::WatchReply& reply, Time sentAt);

  boost::asio::io_context& m_io;
  ControlClient m_control;
  StatusSource m_status;
  ViewBuilder m_builder;
  ViewHook m_hook;
  RcuPointer<View> m_view;
  Duration m_freshness;
  Time m_failureTold{};
  std::atomic<std::uint64_t> m_sequence{0};
  std::atomic<std::int64_t> m_freshUntil{0};
  std::atomic<std::uint64_t> m_revision{0};
  std::atomic<bool> m_leaving{false};
  std::atomic<bool> m_stopped{false};
};

}  // namespace courseloom
