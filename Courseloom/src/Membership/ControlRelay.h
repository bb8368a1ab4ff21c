// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <functional>

#include "Courseloom/src/Membership/ControlClient.h"
#include "Courseloom/src/Transport/RpcServer.h"

namespace courseloom {

/** \class ControlRelay
 * \brief Forwards calls to control for nodes that cannot reach it, and returns the replies.
 *
 * A relay makes no decisions and stores nothing. It calls only replicas and never another relay, so calls cannot loop.
 * The receiver of a lease counts it from the time at which the request was sent, so the detour through a relay cannot
 * extend a lease. Calls beyond a limit of concurrent calls, or for which there is no memory, are refused immediately.
 *
 * \sa ControlClient
 */
class ControlRelay {
 public:
  using ContactCheck = std::function<bool()>;

  /** \param hasControlContact returns whether this node currently has contact with control; calls are refused
   * immediately while it has none \param limits of the server for the calls */
  ControlRelay(boost::asio::io_context& io, const schema::ClusterSettings& cluster, ContactCheck hasControlContact,
               RpcLimits limits = {});
  /** Listens for calls on the address and RPC port of the node. \returns the port in use */
  Result<unsigned> start(const schema::NodeSettings& node);
  /** \returns the number by which other nodes find this relay, see replicaIdOf(); 0 before start() or if the relay does
   * not listen on the port on which nodes expect relays. */
  std::uint32_t number() const { return m_number; }
  /** \copydoc ControlClient::probeBeforeQueueCalls */
  void probeBeforeQueueCalls(bool probes) { m_control.probeBeforeQueueCalls(probes); }
  /** Sets the replicas listed by the leader. */
  void setMembers(const std::vector<std::uint32_t>& ids) { m_control.setMembers(ids); }
  /** Sets the seeds of changed settings as fallback if no listed replica answers. */
  void setSeeds(const schema::ClusterSettings& cluster) { m_control.setSeeds(cluster); }

 private:
  template <class Request, class Reply>
  void relay(const std::string& method, Awaitable<Result<Reply>> (ControlClient::*call)(Request, Time));

  ContactCheck m_hasControlContact;
  unsigned m_port;  ///< port on which nodes expect relays; 0 if nodes are not found by number
  std::uint32_t m_number = 0;
  std::atomic<unsigned> m_activeCalls{0};  ///< calls in progress
  ControlClient m_control;
  RpcServer m_server;
};

}  // namespace courseloom
