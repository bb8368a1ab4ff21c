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
 * \brief Keeps the View of a node up to date with the control leader and maintains the freshness lease of the node.
 *
 * Each exchange with the leader is both a heartbeat and a long poll: the request reports the state of the node, and the
 * reply contains newer changes, one batch at a time. The lease counts from the time at which the request was sent, so
 * it never ends later than the leader assumes.
 */
class ViewFollower {
 public:
  using StatusSource = std::function<schema::NodeStatus()>;
  using ViewHook = std::function<void(const View&)>;

  ViewFollower(boost::asio::io_context& io, const schema::ClusterSettings& cluster, StatusSource status,
               ViewBuilder builder);

  /** Sets the function that is called for each new View before it is published to readers. It runs on the coroutine
   * that follows the leader. */
  void onView(ViewHook hook) { m_hook = std::move(hook); }
  /** Starts following the leader. */
  void start();
  /** Stops following the leader and sends a last heartbeat that reports this node as leaving. */
  Awaitable<void> announceLeaving();

  const RcuPointer<View>& view() const { return m_view; }
  /** \returns whether the freshness lease is valid: the leader has answered a request sent within its length. */
  bool fresh() const { return BootClock::now() < freshUntil(); }
  /** \returns whether the last reply of the leader reported this node as leaving. */
  bool leaving() const { return m_leaving.load(); }
  /** \returns the revision of the configuration in the published View. */
  std::uint64_t revision() const { return m_revision.load(); }
  ControlClient& control() { return m_control; }

 private:
  Awaitable<void> follow();
  Awaitable<void> watchFreshness();
  Time freshUntil() const { return Time(Duration(m_freshUntil.load())); }
  void logLastingFailure(const Failure& failure);
  schema::WatchRequest makeRequest();
  void applyReply(const schema::WatchReply& reply, Time sentAt);

  boost::asio::io_context& m_io;
  ControlClient m_control;
  StatusSource m_status;
  ViewBuilder m_builder;
  ViewHook m_hook;
  RcuPointer<View> m_view;
  Duration m_freshness;
  Time m_lastFailureLog{};
  std::atomic<std::uint64_t> m_sequence{0};
  std::atomic<std::int64_t> m_freshUntil{0};
  std::atomic<std::uint64_t> m_revision{0};
  std::atomic<bool> m_leaving{false};
  std::atomic<bool> m_stopped{false};
};

}  // namespace courseloom
