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
 * \brief What a node follows of the cluster: the configuration at one revision and the list of targets; immutable.
 *
 * Readers on a request's path see one whole View through an RcuPointer. A revision never goes back.
 */
struct View {
  std::uint64_t revision = 0;
  std::uint64_t term = 0;            ///< newest leader's term heard of
  std::uint64_t targetsVersion = 0;  ///< number of the list of targets, counted anew by each leader
  std::uint64_t targetsTerm = 0;     ///< term of the leader that counted it
  std::map<std::string, schema::Object> services;
  std::map<std::string, schema::Object> workspaces;
  std::map<std::string, schema::Object> guarantees;
  std::map<std::string, std::vector<TargetPointer>> targets;  ///< by service
  using Counter = std::shared_ptr<std::atomic<unsigned>>;
  std::map<std::string, Counter> inFlight;  ///< requests in flight at this node, by workspace; carried over

  const schema::Object* service(const std::string& name) const;
  const schema::Object* workspace(const std::string& name) const;
};

/** \class ViewBuilder
 * \brief Makes the next View from the last one and a leader's reply, a batch at a time.
 */
class ViewBuilder {
 public:
  /** Makes the client for a target's agent; may return null in tests. */
  using ConnectAgent = std::function<std::shared_ptr<RpcClient>(const std::string& address, unsigned port)>;

  explicit ViewBuilder(ConnectAgent connect) : m_connect(std::move(connect)) {}

  /** Applies a reply whole. \returns null if it says nothing new or is older than what is in force */
  std::unique_ptr<View> next(const View& last, const schema::WatchReply& reply) const;

 private:
  void applyChange(View& view, const schema::ObjectChange& change) const;
  void applyTargets(View& view, const View& last, const schema::WatchReply& reply) const;
  TargetPointer keepOrMake(const View& last, const schema::NodeStatus& node) const;

  ConnectAgent m_connect;
};

}  // namespace courseloom
