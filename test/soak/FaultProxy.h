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

  /** Ends delay and silence. */
  void heal() { *this = LinkRule{Duration(0), false, false, resets}; }
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
  /** \param callerOf names the process that owns a local port, or is empty */
  FaultProxy(boost::asio::io_context& io, LinkRules& rules, std::function<std::string(unsigned)> callerOf)
      : m_io(io), m_rules(rules), m_callerOf(std::move(callerOf)) {}

  /** Listens on an address and forwards to a port of the same address. \param server name in the rules */
  void forward(const std::string& server, const std::string& address, unsigned listenPort, unsigned serverPort);

 private:
  using Tcp = boost::asio::ip::tcp;
  struct Connection;
  Awaitable<void> acceptLoop(std::string server, Tcp::endpoint listen, Tcp::endpoint target);
  Awaitable<void> serve(std::shared_ptr<Connection> connection, Tcp::endpoint target);
  Awaitable<void> pump(std::shared_ptr<Connection> connection, bool toServer);

  boost::asio::io_context& m_io;
  LinkRules& m_rules;
  std::function<std::string(unsigned)> m_callerOf;
};

/** Looks a local port on loopback up in the kernel's table of TCP sockets, as /proc/net/tcp prints it.
 *
 * The table may hold tens of thousands of closed connections, which have no owner and may share the port with an open
 * one: rows are only taken apart where the local end fits, and those without an owner are passed over.
 * \returns the inode of the socket that owns the port, or an empty string */
std::string inodeOfPort(unsigned port, std::istream& table);
/** \returns the process, of those given by id, whose socket has a local port on loopback; 0 if none. */
int ownerOfPort(unsigned port, const std::vector<int>& pids);

}  // namespace courseloom::test
