// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

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
 * \brief What the proxy does to the connections from one process to another.
 */
struct LinkRule {
  Duration delay{};             ///< added to each chunk, both ways
  bool silentToServer = false;  ///< bytes of the caller are held back
  bool silentToCaller = false;  ///< bytes of the server are held back
  std::uint64_t resets = 0;     ///< raised to reset all connections of the link
  /** Raised to silence the connections that there are, one way, for good; new ones work. */
  std::uint64_t silencesToServer = 0;
  std::uint64_t silencesToCaller = 0;

  /** Ends delay and silence. */
  void heal() { *this = LinkRule{Duration(0), false, false, resets, silencesToServer, silencesToCaller}; }
};

/** \class LinkRules
 * \brief The rules by caller and server; safe from any thread. A name `*` stands for all.
 */
class LinkRules {
 public:
  LinkRule get(const std::string& from, const std::string& to) const;
  /** Changes the rule of one link. */
  void change(const std::string& from, const std::string& to, const std::function<void(LinkRule&)>& apply);
  /** Ends all delays and silences. */
  void heal();

 private:
  mutable std::mutex m_mutex;
  std::map<std::pair<std::string, std::string>, LinkRule> m_rules;
};

/** \class FaultProxy
 * \brief Forwards connections on loopback and harms them as the rules say.
 *
 * Who calls is found by the socket's owner among the processes of the run, since all connect from one address.
 */
class FaultProxy {
 public:
  using Tcp = boost::asio::ip::tcp;
  /** Names the process at the first end of a connection, whose other end is the second; empty if it is unknown. */
  using CallerOf = std::function<std::string(const Tcp::endpoint&, const Tcp::endpoint&)>;
  FaultProxy(boost::asio::io_context& io, LinkRules& rules, CallerOf callerOf)
      : m_io(io), m_rules(rules), m_callerOf(std::move(callerOf)) {}

  /** Listens on an address and forwards to a port of the same address. \param server name in the rules */
  void forward(const std::string& server, const std::string& address, unsigned listenPort, unsigned serverPort);

 private:
  struct Connection;
  Awaitable<void> acceptLoop(std::string server, Tcp::endpoint listen, Tcp::endpoint target);
  Awaitable<void> serve(std::shared_ptr<Connection> connection, Tcp::endpoint target);
  Awaitable<void> pump(std::shared_ptr<Connection> connection, bool toServer);

  boost::asio::io_context& m_io;
  LinkRules& m_rules;
  CallerOf m_callerOf;
};

}  // namespace courseloom::test
