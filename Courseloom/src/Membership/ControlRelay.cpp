// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Membership/ControlRelay.h"

#include "Courseloom/src/Core/ScopedCount.h"

namespace courseloom {

namespace internal {
namespace {

/** Time limit for forwarding one call, in addition to the waiting time that the call requests. The limit of the caller
 * is a little longer. */
constexpr Duration RelayTimeout = milliseconds(500);
/** Maximum number of calls that are forwarded concurrently. It allows for about 8 nodes, each of which always has one
 * report and one view exchange in progress, and for a few submissions. Each calling node costs about 0.4 MB. */
constexpr unsigned MaxActiveCalls = 32;

}  // namespace
}  // namespace internal

ControlRelay::ControlRelay(boost::asio::io_context& io, const schema::ClusterSettings& cluster,
                           ContactCheck hasControlContact, RpcLimits limits)
    : m_hasControlContact(std::move(hasControlContact)),
      m_port(cluster.seed_rpc_port()),
      m_control(io, cluster),
      m_server(io, std::move(limits)) {
  relay("attend", &ControlClient::attend);
  relay<schema::QueueCall, schema::QueueAnswer>("queue", &ControlClient::call);
  relay("watch", &ControlClient::watch);
}

template <class Request, class Reply>
void ControlRelay::relay(const std::string& method, Awaitable<Result<Reply>> (ControlClient::*call)(Request, Time)) {
  m_server.handle<Request>(method, [this, method, call](Request request, std::string) -> Awaitable<Result<Reply>> {
    if (!m_hasControlContact())
      co_return fail(Failure{FailureCode::NoLeader, Ran::No, method, "", "no way to control", 0});
    if (m_activeCalls >= internal::MaxActiveCalls)
      co_return fail(Failure{FailureCode::NoLeader, Ran::No, method, "", "relays as much as it may", 0});
    const ScopedCount<unsigned> counted(m_activeCalls);
    Duration timeout = internal::RelayTimeout;
    if constexpr (requires { request.wait_ms(); }) timeout += milliseconds(request.wait_ms());
    if constexpr (requires { request.set_relayed(true); }) request.set_relayed(true);
    Result<Reply> reply = co_await (m_control.*call)(std::move(request), BootClock::now() + timeout);
    if (reply) co_return reply;
    // The caller cannot reach the replicas, so the failure must not carry a hint to one of them.
    Failure failure = extractFailure(reply);
    failure.peer.clear();
    co_return fail(std::move(failure));
  });
}

Result<unsigned> ControlRelay::start(const schema::NodeSettings& node) {
  BOOST_LEAF_AUTO(port, m_server.start(node.address(), node.rpc_port()));
  if (m_port != 0 && port == m_port) m_number = replicaIdOf(node.address());
  return port;
}

}  // namespace courseloom
