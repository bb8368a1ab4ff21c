// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <mutex>
#include <optional>
#include <vector>

#include "Courseloom/src/Transport/RpcClient.h"
#include "generated/rpc.pb.h"
#include "generated/settings.pb.h"

namespace courseloom {

/** Before replicas are asked again of which none leads: a small part of an election. */
inline constexpr Duration LeaderRetryPause = milliseconds(40);

/** \class ControlClient
 * \brief Reaches the control leader: remembers it, follows its replicas' hints, tries the others until the deadline.
 *
 * A call may be sent again after an unknown outcome, so only calls that are safe to repeat go through here: commands
 * carry a command id or an opener, queries and watches change nothing. Safe from any thread.
 *
 * A node that is cut off from the replicas may still reach nodes that are not: where the leader has named relays, a
 * call that met silence goes through one of them, and goes direct again once a replica answers. \sa ControlRelay
 */
class ControlClient {
 public:
  ControlClient(boost::asio::io_context& io, const schema::ClusterSettings& cluster);

  Awaitable<Result<schema::CommandReply>> command(schema::Command command, Time deadline);
  Awaitable<Result<schema::QueryReply>> query(schema::QueryRequest request, Time deadline);
  Awaitable<Result<schema::WatchReply>> watch(schema::WatchRequest request, Time deadline);
  /** Not retried: the next question tells the node's state of then, and its lease counts from there. */
  Awaitable<Result<schema::WatchReply>> watchOnce(schema::WatchRequest request, Time deadline);

  Awaitable<Result<schema::QueueAnswer>> call(schema::QueueCall call, Time deadline);
  /** Gives up sooner what surely did not run than what may have run: a doubt is asked again until there is an answer.
   * \param giveUpAt when a call that surely did not run is given up \param deadline when any is */
  Awaitable<Result<schema::QueueAnswer>> call(schema::QueueCall call, Time giveUpAt, Time deadline);
  /** Not retried: the next report brings newer news. */
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request, Time deadline);

  /** Takes the replicas that the leader names; those of the settings stay as the last resort. */
  void setMembers(const std::vector<std::uint32_t>& ids);
  /** Takes the nodes that relay calls; without any, all calls go direct. */
  void setRelays(const std::vector<std::uint32_t>& ids);
  /** \returns whether calls go through a relay now. */
  bool relayed() const;
  /** Takes the seeds of changed settings as the new last resort. */
  void setSeeds(const schema::ClusterSettings& cluster);

 private:
  struct Replica {
    std::uint32_t id = 0;
    std::shared_ptr<RpcClient> client;
    Time refusedAt{};  ///< when it last said that it does not lead
  };

  template <class Reply, class Request>
  Awaitable<Result<Reply>> callLeader(std::string method, Request request, Time giveUpAt, Time deadline);
  template <class Reply, class Request>
  Awaitable<Result<Reply>> tryOnce(const std::string& method, const Request& request, Time deadline);
  /** One way to the leader: a replica, or a relay. */
  struct Way {
    Replica peer;
    bool relayed = false;
  };
  Way current() const;
  Duration limitOf(const Way& way) const;
  void worked(const Way& way);
  void leaveOthers(const Way& way);
  void failed(const Way& way, const Failure& failure);
  Awaitable<void> probeDirect(Replica replica);
  /** Moves on after a failure: to the leader that the failure names, unless that one has just refused, or to the next
   * replica. */
  void moveOn(std::uint32_t from, const Failure& failure);
  bool followHint(std::uint32_t leader, Time now);
  Replica make(std::uint32_t id) const;
  Replica knownOrNew(const std::vector<Replica>& known, std::uint32_t id) const;
  void rebuild(const std::vector<std::uint32_t>& ids);

  boost::asio::io_context& m_io;
  unsigned m_seedPort;
  mutable std::mutex m_mutex;
  std::vector<Replica> m_replicas;
  std::vector<Replica> m_configured;     ///< of the settings
  std::vector<std::uint32_t> m_members;  ///< as the leader named them last
  std::uint32_t m_servedBy = 0;          ///< peer that last answered
  std::size_t m_current = 0;
  std::vector<Replica> m_relays;
  std::size_t m_relay = 0;  ///< the relay to be used next
  bool m_viaRelay = false;  ///< the replicas were silent
  bool m_probing = false;
  Time m_probedAt{};  ///< when a replica was last tried beside a relay
  Duration m_tryLimit;
};

/** \returns the peer text by which a replica names the leader: "replica 2". */
std::string replicaPeer(std::uint32_t id);
/** \returns the leader that a failure names, or nothing. */
std::optional<std::uint32_t> replicaNamedBy(const Failure& failure);
/** \returns the number of a replica that is found through seeds: its IPv4 number. \param endpoint IP number, or with
 * port */
std::uint32_t replicaIdOf(const std::string& endpoint);
/** \returns the IP number of a replica that is found through seeds. */
std::string replicaAddressOf(std::uint32_t id);

}  // namespace courseloom
