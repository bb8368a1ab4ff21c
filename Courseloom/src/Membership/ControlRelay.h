// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <functional>

#include "Courseloom/src/Membership/ControlClient.h"
#include "Courseloom/src/Transport/RpcServer.h"

namespace courseloom {

/** \class ControlRelay
 * \brief Hands calls of nodes that cannot reach control on to it, and its replies back.
 *
 * It decides nothing and keeps nothing. It calls replicas only, never another relay, so that no call goes round. A
 * grant that comes through it is counted by its receiver from the sending of the request, so the way cannot lengthen
 * it. More calls at once than a node of this size bears are refused at once, so that their senders look elsewhere.
 * \sa ControlClient
 */
class ControlRelay {
 public:
  using InTouch = std::function<bool()>;

  /** \param inTouch whether this node itself has reached control just now; otherwise calls are refused at once */
  ControlRelay(boost::asio::io_context& io, const schema::ClusterSettings& cluster, InTouch inTouch);
  /** Listens where other nodes look for relays. \returns the port in use */
  Result<unsigned> start(const schema::NodeSettings& node);
  /** \returns the number by which others find this relay; 0 if they cannot. */
  std::uint32_t number() const { return m_number; }
  /** Takes the replicas that the leader names. */
  void setMembers(const std::vector<std::uint32_t>& ids) { m_control.setMembers(ids); }
  /** Takes the seeds of changed settings as the last resort. */
  void setSeeds(const schema::ClusterSettings& cluster) { m_control.setSeeds(cluster); }

 private:
  template <class Request, class Reply>
  void relay(const std::string& method, Awaitable<Result<Reply>> (ControlClient::*call)(Request, Time));

  InTouch m_inTouch;
  unsigned m_port;  ///< where relays are looked for; 0 where nodes are not found by number
  std::uint32_t m_number = 0;
  std::atomic<unsigned> m_relaying{0};  ///< calls under way
  ControlClient m_control;
  RpcServer m_server;
};

}  // namespace courseloom
