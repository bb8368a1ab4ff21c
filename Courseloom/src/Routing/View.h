// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Courseloom/src/Routing/Target.h"
#include "Courseloom/src/State/ObjectTable.h"

namespace courseloom {

/** \class View
 * \brief A node's immutable snapshot of the cluster: the configuration at one revision and the list of targets.
 *
 * Readers that handle requests access one consistent View through an RcuPointer. The revision never decreases.
 */
struct View {
  std::uint64_t revision = 0;
  std::uint64_t term = 0;            ///< highest term in the replies applied so far
  std::uint64_t targetsVersion = 0;  ///< version of the list of targets; each leader counts anew
  std::uint64_t targetsTerm = 0;     ///< term of the leader that assigned this version
  std::map<std::string, schema::Object> services;
  std::map<std::string, schema::Object> workspaces;
  std::map<std::string, schema::Object> guarantees;
  std::map<std::string, std::vector<TargetPointer>> targets;  ///< by service
  using Counter = std::shared_ptr<std::atomic<unsigned>>;
  std::map<std::string, Counter>
      inFlight;  ///< requests in flight at this node, by workspace; shared by successive views

  /** \returns a service by name, null if there is none. */
  const schema::Object* service(const std::string& name) const;
  /** \returns a workspace by name, null if there is none. */
  const schema::Object* workspace(const std::string& name) const;
};

/** \class ViewBuilder
 * \brief Builds the next View from the last one and a leader's reply. A reply is applied as one batch.
 */
class ViewBuilder {
 public:
  /** Creates the client for a target's agent. May return null; such a target cannot be called. */
  using ConnectAgent = std::function<std::shared_ptr<RpcClient>(const std::string& address, unsigned port)>;

  explicit ViewBuilder(ConnectAgent connect) : m_connect(std::move(connect)) {}

  /** Applies all changes of a reply. \returns null if the reply contains nothing new or is older than the last view */
  std::unique_ptr<View> next(const View& last, const schema::WatchReply& reply) const;

 private:
  void applyChange(View& view, const schema::ObjectChange& change) const;
  void applyTargets(View& view, const View& last, const schema::WatchReply& reply) const;
  TargetPointer reuseOrCreate(const View& last, const schema::NodeStatus& node) const;

  ConnectAgent m_connect;
};

}  // namespace courseloom
