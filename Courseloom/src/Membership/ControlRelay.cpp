// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Membership/ControlRelay.h"

#include "Courseloom/src/Core/Counted.h"

namespace courseloom {

namespace internal {
namespace {

/** Time for one call to be handed on; its sender gives up a little later. */
constexpr Duration RelayLimit = milliseconds(500);
/** Calls that are handed on at once: each of some 8 nodes has a report and a view under way all the time, and a few
 * submissions. A caller costs about 0.4 MB. */
constexpr unsigned MaxRelaying = 32;

}  // namespace
}  // namespace internal

ControlRelay::ControlRelay(boost::asio::io_context& io, const schema::ClusterSettings& cluster, InTouch inTouch)
    : m_inTouch(std::move(inTouch)), m_port(cluster.seed_rpc_port()), m_control(io, cluster), m_server(io) {
  relay("attend", &ControlClient::attend);
  relay<schema::QueueCall, schema::QueueAnswer>("queue", &ControlClient::call);
  relay("watch", &ControlClient::watch);
}

template <class Request, class Reply>
void ControlRelay::relay(const std::string& method, Awaitable<Result<Reply>> (ControlClient::*call)(Request, Time)) {
  m_server.handle<Request>(method, [this, method, call](Request request, std::string) -> Awaitable<Result<Reply>> {
    if (!m_inTouch()) co_return fail(Failure{FailureCode::NoLeader, Ran::No, method, "", "no way to control", 0});
    if (m_relaying >= internal::MaxRelaying)
      co_return fail(Failure{FailureCode::NoLeader, Ran::No, method, "", "relays as much as it may", 0});
    const Counted<unsigned> counted(m_relaying);
    Duration limit = internal::RelayLimit;
    if constexpr (requires { request.wait_ms(); }) limit += milliseconds(request.wait_ms());
    if constexpr (requires { request.set_relayed(true); }) request.set_relayed(true);
    Result<Reply> reply = co_await (m_control.*call)(std::move(request), BootClock::now() + limit);
    if (reply) co_return reply;
    // Its sender is cut off, and must not follow a hint to a replica.
    Failure failure = takeFailure(reply);
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
