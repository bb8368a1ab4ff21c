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

/** Pause after a failed attempt before the replicas are tried again: a small part of the duration of an election. */
inline constexpr Duration LeaderRetryPause = milliseconds(40);

/** \class ControlClient
 * \brief Sends calls to the control leader. It remembers the leader, follows hints of replicas to the leader, and tries
 * other replicas until the deadline.
 *
 * A call may be retried after an unknown outcome, so this class offers only calls that are safe to repeat: commands
 * carry a command id or an opener, and queries and watches change nothing. The class is thread-safe.
 *
 * A node without contact to the replicas may still reach nodes that have it. If the leader has named relays and a
 * replica does not answer, calls go through one of the relays until a replica answers a probe or the relay fails.
 *
 * \sa ControlRelay
 */
class ControlClient {
 public:
  ControlClient(boost::asio::io_context& io, const schema::ClusterSettings& cluster);

  Awaitable<Result<schema::CommandReply>> command(schema::Command command, Time deadline);
  Awaitable<Result<schema::QueryReply>> query(schema::QueryRequest request, Time deadline);
  Awaitable<Result<schema::WatchReply>> watch(schema::WatchRequest request, Time deadline);
  /** Like watch(), but makes a single attempt: the next request reports the state of the node at that time, and the
   * lease counts from its sending. */
  Awaitable<Result<schema::WatchReply>> watchOnce(schema::WatchRequest request, Time deadline);

  Awaitable<Result<schema::QueueAnswer>> call(schema::QueueCall call, Time deadline);
  /** Uses an earlier time limit for a call that certainly did not run. A call that may have run is retried until there
   * is an answer or the deadline passes.
   *
   * \param giveUpAt end of the attempts while the call certainly did not run
   * \param deadline end of the attempts in any case
   * \param attemptTook if not null, set to the duration of the last attempt */
  Awaitable<Result<schema::QueueAnswer>> call(schema::QueueCall call, Time giveUpAt, Time deadline,
                                              Duration* attemptTook = nullptr);
  /** Makes a single attempt, since the next report contains newer data. */
  Awaitable<Result<schema::AttendReply>> attend(schema::AttendRequest request, Time deadline);

  /** Makes queue calls probe a silent connection before they are sent, and makes a call that certainly did not run end
   * at its `giveUpAt` even during an attempt. Called before the first call. */
  void probeBeforeQueueCalls(bool probes) { m_probesQueueCalls = probes; }
  /** Sets the replicas listed by the leader. Those of the settings remain as fallback. */
  void setMembers(const std::vector<std::uint32_t>& ids);
  /** Sets the nodes that relay calls. With an empty list all calls go to the replicas directly. */
  void setRelays(const std::vector<std::uint32_t>& ids);
  /** \returns whether calls currently go through a relay. */
  bool relayed() const;
  /** Sets the seeds of changed settings as the new fallback. No effect if the settings have no seeds. */
  void setSeeds(const schema::ClusterSettings& cluster);

 private:
  /** A replica or a relay. */
  struct Peer {
    std::uint32_t id = 0;
    std::shared_ptr<RpcClient> client;
    Time refusedAt{};  ///< when it last answered that it is not the leader
  };

  template <class Reply, class Request>
  Awaitable<Result<Reply>> callLeader(std::string method, Request request, Time giveUpAt, Time deadline,
                                      Duration* attemptTook = nullptr);
  template <class Reply, class Request>
  Awaitable<Result<Reply>> tryOnce(const std::string& method, const Request& request, Time deadline,
                                   SendRule rule = {});
  /** The peer that a call is sent to, and whether this peer is a relay. */
  struct Destination {
    Peer peer;
    bool relayed = false;
  };
  Destination currentDestination() const;
  Duration timeoutOf(const Destination& destination) const;
  void onSuccess(const Destination& destination);
  void closeOtherConnections(const Destination& destination);
  void onFailure(const Destination& destination, const Failure& failure);
  Awaitable<void> probeDirect(Peer replica);
  /** Changes the current replica after a failure: to the leader named in the failure, unless that replica has recently
   * answered that it is not the leader, or else to the next replica. */
  void switchReplica(std::uint32_t from, const Failure& failure);
  bool followHint(std::uint32_t leader, Time now);
  Peer makePeer(std::uint32_t id) const;
  Peer findOrMake(const std::vector<Peer>& known, std::uint32_t id) const;
  void rebuildReplicas(const std::vector<std::uint32_t>& ids);

  boost::asio::io_context& m_io;
  unsigned m_seedPort;
  mutable std::mutex m_mutex;
  std::vector<Peer> m_replicas;
  std::vector<Peer> m_configured;        ///< replicas of the settings
  std::vector<std::uint32_t> m_members;  ///< replicas last listed by the leader
  std::uint32_t m_lastAnsweredBy = 0;    ///< peer that last answered
  std::size_t m_current = 0;             ///< index of the current replica, modulo the number of replicas
  std::vector<Peer> m_relays;
  std::size_t m_relay = 0;  ///< index of the relay in use, modulo the number of relays
  bool m_viaRelay = false;  ///< calls go through a relay, since a replica did not answer
  bool m_probing = false;
  Time m_probedAt{};  ///< when a replica was last probed while a relay was in use
  Duration m_attemptTimeout;
  bool m_probesQueueCalls = false;  ///< probeBeforeQueueCalls()
};

/** \returns the text by which a failure names the leader in its `peer`, such as "replica 2". */
std::string replicaPeer(std::uint32_t id);
/** \returns the id of the leader named in a failure, or nothing. */
std::optional<std::uint32_t> replicaNamedBy(const Failure& failure);
/** \returns the id of a replica that is found through seeds: its IPv4 address as a number.
 * \param endpoint IPv4 address in dotted form, with or without a port */
std::uint32_t replicaIdOf(const std::string& endpoint);
/** \returns the IPv4 address, in dotted form, of a replica that is found through seeds. */
std::string replicaAddressOf(std::uint32_t id);

}  // namespace courseloom
