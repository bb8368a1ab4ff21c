// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <istream>
#include <map>
#include <mutex>
#include <string>

#include "Courseloom/src/Runtime/OneShot.h"

namespace courseloom::test {

/** \class LinkRule
 * \brief Faults that the proxy applies to the connections from one process to another.
 */
struct LinkRule {
  Duration delay{};             ///< added to each chunk, in both directions
  bool silentToServer = false;  ///< the caller's bytes are held back until this is cleared
  bool silentToCaller = false;  ///< the server's bytes are held back until this is cleared
  std::uint64_t resets = 0;     ///< counter; incremented to reset all connections of the link
  /** Counters; incremented to silence the present connections for good in one direction. New connections work. */
  std::uint64_t silencesToServer = 0;
  std::uint64_t silencesToCaller = 0;

  /** Ends delays and held-back bytes; the counters stay. */
  void heal() { *this = LinkRule{Duration(0), false, false, resets, silencesToServer, silencesToCaller}; }
};

/** \class LinkRules
 * \brief Link rules by caller and server; thread-safe. The name `*` matches every process.
 */
class LinkRules {
 public:
  /** \returns the rule of a link, combined with the rules for `*` on either side. */
  LinkRule get(const std::string& from, const std::string& to) const;
  /** Changes the rule of one link. */
  void change(const std::string& from, const std::string& to, const std::function<void(LinkRule&)>& apply);
  /** Ends delays and held-back bytes on all links. */
  void heal();

 private:
  mutable std::mutex m_mutex;
  std::map<std::pair<std::string, std::string>, LinkRule> m_rules;
};

/** \class ProxyLoad
 * \brief How far the thread of a proxy falls behind. Thread-safe; times are in ms.
 */
struct ProxyLoad {
  std::atomic<std::uint64_t> latestTimerMs{0};    ///< longest time by which a timer fired late
  std::atomic<std::uint64_t> longestLookupMs{0};  ///< longest time for which the caller of a connection was looked up
};

/** \class FaultProxy
 * \brief Forwards connections on loopback and applies the faults of the link rules to them.
 *
 * The caller is identified as the process of the run that owns the socket, since all processes connect from one
 * address.
 */
class FaultProxy {
 public:
  using Tcp = boost::asio::ip::tcp;
  /** Returns the name of the process at the first end of a connection whose other end is the second; empty if it is
   * unknown. */
  using CallerOf = std::function<std::string(const Tcp::endpoint&, const Tcp::endpoint&)>;
  FaultProxy(boost::asio::io_context& io, LinkRules& rules, CallerOf callerOf)
      : m_io(io), m_rules(rules), m_callerOf(std::move(callerOf)) {}

  /** Listens on an address and forwards to a port of the same address. \param server its name in the rules */
  void forward(const std::string& server, const std::string& address, unsigned listenPort, unsigned serverPort);
  /** Begins to measure load(). To be called once. */
  void measureLoad();
  const ProxyLoad& load() const { return m_load; }
  /** Lets each look-up of a caller take this long from a time on, during which the proxy's thread does nothing else. To
   * be called before the proxy runs. */
  void setLookupDelay(Duration delay, Time from) {
    m_lookupDelay = delay;
    m_lookupDelayFrom = from;
  }

 private:
  struct Connection;
  std::string lookUpCaller(const Tcp::endpoint& caller, const Tcp::endpoint& proxy);
  Awaitable<void> timerLoop();
  Awaitable<void> acceptLoop(std::string server, Tcp::endpoint listen, Tcp::endpoint target);
  Awaitable<void> serve(std::shared_ptr<Connection> connection, Tcp::endpoint target);
  Awaitable<void> pump(std::shared_ptr<Connection> connection, bool toServer);

  boost::asio::io_context& m_io;
  LinkRules& m_rules;
  CallerOf m_callerOf;
  ProxyLoad m_load;
  Duration m_lookupDelay{};
  Time m_lookupDelayFrom{};
};

}  // namespace courseloom::test
