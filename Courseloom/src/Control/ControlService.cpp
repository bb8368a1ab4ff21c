// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Control/ControlService.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include "Courseloom/src/Core/Log.h"
#include "Courseloom/src/Membership/ControlClient.h"
#include "Courseloom/src/Schema/YamlReader.h"
#include "Courseloom/src/Transport/Listen.h"

namespace courseloom {

namespace asio = boost::asio;

namespace internal {
namespace {

constexpr Duration HousekeepingInterval = milliseconds(100);
constexpr Duration PollPause = milliseconds(2);
/** Longest wait for the platform's inventory. If it takes longer, a job is accepted unchecked and stays queued. */
constexpr Duration InventoryLimit = milliseconds(400);
constexpr Duration StopLimit = milliseconds(3000);
/** Parts of the memory for accepted workflows, received calls, messages of replicas, and operators. */
constexpr std::uint64_t AcceptedWorkMemoryParts = 2;
constexpr std::uint64_t CallMemoryParts = 8;
constexpr std::uint64_t ReplicationMemoryParts = 3;
constexpr std::uint64_t OperatorMemoryParts = 8;

}  // namespace
}  // namespace internal

ControlService::ControlService(const DaemonContext& context, ControlProtocol edges)
    : m_context(context),
      m_edges(std::move(edges)),
      m_strand(asio::make_strand(context.io)),
      m_driver(context, m_strand),
      m_jobs(context, m_strand, m_driver),
      m_workflows(context, m_strand, m_driver, m_edges.makeAdvice ? m_edges.makeAdvice(context) : nullptr),
      m_limits(context.settings.control().memory_mb()),
      m_queues(context, m_driver, m_workflows, m_limits.memoryShare(internal::AcceptedWorkMemoryParts)),
      m_nodes(2 * milliseconds(context.settings.cluster().freshness_lease_ms())),
      m_rpc(context.io, m_limits.rpcLimits(m_limits.budget(internal::CallMemoryParts))),
      m_http(context.io, m_limits.probeLimits(),
             [this](HttpRequest request, HttpCaller) -> Awaitable<HttpResponse> { co_return answerHttp(request); }),
      m_operators(context.io, m_limits.operatorLimits(m_limits.budget(internal::OperatorMemoryParts)),
                  [this](HttpRequest request, HttpCaller caller) {
                    return m_edges.answerOperator(std::move(request), *this, m_edgePort, caller.memory);
                  }) {}

Result<ListeningPorts> ControlService::start() {
  const schema::NodeSettings& node = m_context.settings.node();
  BOOST_LEAF_CHECK(m_driver.open());
  m_driver.onApplied([this] {
    m_jobs.onApplied();
    m_workflows.onApplied();
    m_changed.notify();
  });
  m_driver.onRole([this](bool leads) {
    m_leadsSince = BootClock::now();
    m_nodes.clear();
    m_jobs.lead(leads);
    m_workflows.lead(leads);
    m_queues.lead(leads);
    m_changed.notify();
  });
  registerHandlers();
  ListeningPorts listening;
  BOOST_LEAF_ASSIGN(listening.rpcPort, m_rpc.start(node.address(), node.rpc_port()));
  BOOST_LEAF_ASSIGN(listening.httpPort, m_http.start(node.address(), node.http_port()));
  BOOST_LEAF_CHECK(startEdge());
  m_driver.start();
  m_jobs.start();
  m_workflows.start();
  asio::co_spawn(m_strand, housekeeping(), asio::detached);
  m_ready = true;
  return listening;
}

Result<void> ControlService::startEdge() {
  const std::string& text = m_context.settings.edge().control_endpoint();
  if (text.empty() || !m_edges.answerOperator) return {};
  const Endpoint endpoint = splitEndpoint(text);
  BOOST_LEAF_ASSIGN(m_edgePort, m_operators.start(endpoint.address, endpoint.port));
  return {};
}

void ControlService::registerWorkflowHandlers() {
  m_workflows.setMembersSource([this] { return m_driver.memberIds(); });
  m_rpc.handle<schema::QueueCall>("queue", [this](schema::QueueCall call, std::string) {
    return asio::co_spawn(m_strand, m_queues.call(std::move(call)), asio::use_awaitable);
  });
  m_rpc.handle<schema::AttendRequest>("attend", [this](schema::AttendRequest request, std::string) {
    return asio::co_spawn(m_strand, m_workflows.attend(std::move(request)), asio::use_awaitable);
  });
  m_rpc.handle<schema::Empty>(
      "ping", [](schema::Empty, std::string) -> Awaitable<Result<schema::Empty>> { co_return schema::Empty(); });
  m_rpc.handle<schema::JoinRequest>("join", [this](schema::JoinRequest request, std::string) {
    return asio::co_spawn(
        m_strand, [this, request]() -> Awaitable<Result<schema::JoinReply>> { co_return m_driver.join(request); },
        asio::use_awaitable);
  });
}

// ---- the operator's protocol

Awaitable<Result<void>> ControlService::put(schema::QueueConfiguration configuration) {
  co_return co_await asio::co_spawn(m_strand, m_queues.putConfiguration(std::move(configuration)), asio::use_awaitable);
}

Awaitable<Result<std::string>> ControlService::read() {
  Result<schema::QueueConfiguration> configuration =
      co_await asio::co_spawn(m_strand, m_queues.readConfiguration(), asio::use_awaitable);
  if (!configuration) co_return fail(extractFailure(configuration));
  co_return configuration->source();
}

Awaitable<Result<void>> ControlService::drainHall(std::string hall, bool drained) {
  co_return co_await asio::co_spawn(m_strand, m_queues.drainHall(std::move(hall), drained), asio::use_awaitable);
}

std::string ControlService::leaderAddress() {
  const ReplicaId leader = m_leader.load();
  const bool named = leader != 0 && m_context.settings.cluster().seeds_size() > 0;
  return named && replicaAddressOf(leader) != m_context.settings.node().address() ? replicaAddressOf(leader)
                                                                                  : std::string();
}

void ControlService::registerHandlers() {
  registerWorkflowHandlers();
  // Handlers are called on any thread; the state that they use may only be accessed on the strand.
  auto replicateHandler = [this](schema::ReplicaMessage message, std::string) {
    return asio::co_spawn(m_strand, replicate(std::move(message)), asio::use_awaitable);
  };
  // Apart from the calls of others, so that these cannot hold up the replication. Its messages are mostly bytes.
  RpcCost replicationCost{1, m_limits.budget(internal::ReplicationMemoryParts)};
  m_rpc.handle<schema::ReplicaMessage>("replicate", std::move(replicateHandler), std::move(replicationCost));
  m_rpc.handle<schema::CommandRequest>("command", [this](schema::CommandRequest request, std::string) {
    return asio::co_spawn(m_strand, command(std::move(request)), asio::use_awaitable);
  });
  m_rpc.handle<schema::QueryRequest>("query", [this](schema::QueryRequest request, std::string) {
    return asio::co_spawn(m_strand, query(std::move(request)), asio::use_awaitable);
  });
  m_rpc.handle<schema::WatchRequest>("watch", [this](schema::WatchRequest request, std::string) {
    return asio::co_spawn(m_strand, watch(std::move(request)), asio::use_awaitable);
  });
}

Awaitable<void> ControlService::housekeeping() {
  std::uint64_t notifiedVersion = 0;
  while (true) {
    m_nodes.expire(BootClock::now());
    m_leader.store(m_driver.replica().leader());
    m_nodes.setLeavingInstances(m_jobs.leavingInstances());
    m_nodes.setDrainedHalls(m_driver.state().hallDrains().halls());
    if (m_nodes.version() != notifiedVersion) m_changed.notify();
    notifiedVersion = m_nodes.version();
    co_await sleepFor(internal::HousekeepingInterval);
  }
}

// ---- replication messages

Awaitable<Result<schema::Empty>> ControlService::replicate(schema::ReplicaMessage message) {
  if (m_driver.receive(message)) co_return schema::Empty();
  co_return fail(Failure{FailureCode::BadRequest, Ran::No, "replicate", "", "the message was refused", 0});
}

// ---- commands

Result<void> ControlService::checkJob(schema::JobSpec& spec) const {
  BOOST_LEAF_CHECK(checkMessage("submit", spec));
  if (m_jobs.knowsWorkers() && !m_jobs.scheduler().fitsEmptyCluster(spec.shape())) {
    return fail(Failure{FailureCode::ImpossibleShape, Ran::No, "submit", "",
                        "no " + schema::Adjacency_Name(spec.shape().adjacency()) +
                            " group of workers could ever hold " + std::to_string(spec.shape().tasks()) + " tasks of " +
                            std::to_string(spec.shape().accelerators()) + " accelerators",
                        0});
  }
  if (!spec.not_repeatable() || spec.checkpointable()) return {};
  for (const Guarantee& guarantee : m_jobs.scheduler().guarantees().guarantees()) {
    Guarantee unused = guarantee;
    unused.used = 0;
    if (unused.holds(spec.workspace(), spec.shape())) return {};
  }
  return fail(
      Failure{FailureCode::ImpossibleShape, Ran::No, "submit", "",
              "work that can be neither checkpointed nor repeated runs only inside a guarantee of its workspace, "
              "and none could hold it",
              0});
}

Result<void> ControlService::checkCommand(schema::Command& command) const {
  if (command.has_submit()) return checkJob(*command.mutable_submit()->mutable_spec());
  if (command.has_apply()) {
    schema::ObjectFile file;
    *file.mutable_objects() = command.apply().objects();
    BOOST_LEAF_CHECK(checkMessage("apply", file));
  }
  if (command.has_action() && command.action().kind() == schema::Reshape) {
    BOOST_LEAF_CHECK(checkMessage("reshape", *command.mutable_action()->mutable_shape()));
    if (m_jobs.knowsWorkers() && !m_jobs.scheduler().fitsEmptyCluster(command.action().shape())) {
      return fail(
          Failure{FailureCode::ImpossibleShape, Ran::No, "reshape", "", "no group of workers could ever hold it", 0});
    }
  }
  if (command.has_change_job()) {
    return fail(Failure{FailureCode::BadRequest, Ran::No, "command", "", "only the scheduler changes jobs", 0});
  }
  return {};
}

Result<void> ControlService::checkGuarantees(const schema::Command& command) const {
  std::map<std::string, schema::Object> guarantees;
  for (const auto& [id, object] : m_driver.state().objects().objects()) {
    if (id.first == "guarantee") guarantees[id.second] = object;
  }
  bool touched = false;
  for (const schema::Object& object : command.apply().objects()) {
    if (!object.has_guarantee() || !object.guarantee().has_shape()) continue;
    guarantees[object.name()] = object;
    touched = true;
  }
  if (!touched) return {};
  if (!m_jobs.knowsWorkers()) {
    return fail(Failure{FailureCode::PlatformFailed, Ran::No, "apply", "platform",
                        "the workers are not known yet, so no guarantee can be witnessed", 1000});
  }
  std::vector<schema::Object> all;
  all.reserve(guarantees.size());
  for (const auto& [name, object] : guarantees) all.push_back(object);
  const std::optional<std::string> refused = m_jobs.scheduler().guaranteeConflict(all);
  if (!refused) return {};
  return fail(Failure{FailureCode::GuaranteeNotPossible, Ran::No, "apply", "", *refused, 0});
}

Awaitable<Result<schema::CommandReply>> ControlService::command(schema::CommandRequest request) {
  const Time deadline = BootClock::now() + 2 * milliseconds(m_context.settings.cluster().election_timeout_ms());
  if (!leads()) co_return fail(m_driver.noLeader("command"));
  schema::Command& command = *request.mutable_command();
  if (command.has_action()) resolveHalls(*command.mutable_action());
  // A retried command gets its first answer, whatever has changed since.
  if (m_driver.state().knowsCommand(command.command_id()))
    co_return co_await m_driver.submit(std::move(command), deadline);
  const bool needsInventory = command.has_submit() || command.has_action();
  if (needsInventory) co_await waitForInventory(BootClock::now() + internal::InventoryLimit);
  Result<void> checked = checkCommand(command);
  if (!checked) co_return fail(extractFailure(checked));
  if (command.has_action() && command.action().dry_run()) co_return m_driver.state().preview(command);
  if (command.has_apply() || command.has_remove()) co_return co_await configure(std::move(command), deadline);
  co_return co_await m_driver.submit(std::move(command), deadline);
}

/** Adds the data halls that an action's selector matches to the action. A data hall has the labels `kind=hall`, `hall`
 * and `name`, like any other object of an operator's action. */
void ControlService::resolveHalls(schema::Action& action) const {
  action.clear_halls();
  Result<Selector> selector = Selector::parse(action.selector());
  const bool concernsHalls = action.kind() == schema::Drain || action.kind() == schema::Resume;
  if (!selector || !concernsHalls) return;
  std::set<std::string> known = m_driver.state().hallDrains().halls();
  for (const std::string& hall : m_workflows.dataHalls()) known.insert(hall);
  for (const schema::NodeStatus& node : m_nodes.nodes(BootClock::now())) known.insert(node.data_hall());
  for (const std::string& hall : known) {
    if (selector->matches({{"kind", "hall"}, {"hall", hall}, {"name", hall}})) action.add_halls(hall);
  }
}

/** Waits until the platform's inventory is known. A new leader reads it within one poll, and commands with a shape wait
 * for it so that the shape can be checked. */
Awaitable<void> ControlService::waitForInventory(Time deadline) const {
  while (!m_jobs.knowsWorkers() && leads() && BootClock::now() < deadline) co_await sleepFor(internal::PollPause);
}

/** Checks and commits a change of configuration. Changes are handled one at a time, so that each is checked against all
 * that were accepted before. */
Awaitable<Result<schema::CommandReply>> ControlService::configure(schema::Command command, Time deadline) {
  while (m_configuring && BootClock::now() < deadline) co_await sleepFor(internal::PollPause);
  if (m_configuring) co_return fail(Failure{FailureCode::Overloaded, Ran::No, "apply", "", "other changes wait", 500});
  m_configuring = true;
  Result<void> checked = checkGuarantees(command);
  if (!checked && !m_jobs.knowsWorkers()) {
    co_await waitForInventory(deadline);
    checked = checkGuarantees(command);
  }
  if (!checked) {
    m_configuring = false;
    co_return fail(extractFailure(checked));
  }
  const std::string operatorName = command.operator_name();
  Result<schema::CommandReply> reply = co_await m_driver.submit(std::move(command), deadline);
  m_configuring = false;
  if (reply && reply->has_failure()) {
    logFailure(schema::ConfigurationRefused, fromInfo(reply->failure()));
  } else if (reply) {
    logEvent(schema::ConfigurationAccepted, {{"revision", reply->revision()}, {"operator", operatorName}});
  }
  co_return reply;
}

// ---- queries

schema::ClusterStatus ControlService::clusterStatus() const {
  const Replica& replica = m_driver.replica();
  schema::ClusterStatus status;
  status.set_leader(replica.leader());
  status.set_term(replica.term());
  status.set_revision(m_driver.state().objects().revision());
  status.set_commit(replica.commitIndex());
  for (schema::NodeStatus& node : m_nodes.nodes(BootClock::now())) *status.add_nodes() = std::move(node);
  for (const schema::Member& member : replica.members().members()) {
    schema::ReplicaStatus* row = status.add_replicas();
    row->set_id(member.id());
    row->set_voter(member.voter());
    row->set_disk_id(member.disk_id());
    row->set_match(replica.matchOf(member.id()));
    row->set_leader(member.id() == replica.leader());
  }
  for (schema::HallDrainStatus& drain : m_workflows.hallDrainStatus()) *status.add_hall_drains() = std::move(drain);
  for (schema::TargetStatus& target : m_workflows.targetStatus()) *status.add_targets() = std::move(target);
  const Scheduler& scheduler = m_jobs.scheduler();
  const std::vector<schema::Worker>& workers = scheduler.topology().workers();
  for (std::size_t i = 0; i < workers.size(); ++i) {
    schema::WorkerStatus* row = status.add_workers();
    row->set_name(workers[i].name());
    row->set_rack(workers[i].rack());
    row->set_data_hall(workers[i].data_hall());
    row->set_accelerators(workers[i].accelerators());
    row->set_cores(workers[i].cores());
    row->set_live(true);
    if (i < scheduler.free().size()) {
      row->set_free_accelerators(scheduler.free()[i].acceleratorCount());
      row->set_free_cores(static_cast<std::uint32_t>(std::max<std::int64_t>(0, scheduler.free()[i].cores)));
    }
  }
  for (schema::GuaranteeStatus& guarantee : scheduler.guaranteeStatus())
    *status.add_guarantees() = std::move(guarantee);
  status.set_fragmentation(scheduler.free().empty() ? 0.0 : scheduler.fragmentation());
  return status;
}

schema::QueryReply ControlService::answerQuery(const schema::QueryRequest& request) const {
  const ClusterState& state = m_driver.state();
  schema::QueryReply reply;
  reply.set_revision(state.objects().revision());
  Selector selector;
  if (!request.selector().empty()) {
    Result<Selector> parsed = Selector::parse(request.selector());
    if (!parsed) {
      *reply.mutable_failure() = toInfo(extractFailure(parsed));
      return reply;
    }
    selector = std::move(*parsed);
  }
  switch (request.kind()) {
    case schema::QueryObjects:
      for (const auto& [id, object] : state.objects().objects()) {
        if (selector.matches(labelsOf(object))) *reply.add_objects() = object;
      }
      break;
    case schema::QueryJobs:
      for (const auto& [id, job] : state.jobs()) {
        if (selector.matches(labelsOf(job))) *reply.add_jobs() = job;
      }
      break;
    case schema::QueryJob:
      if (const schema::Job* job = state.job(request.id())) {
        *reply.add_jobs() = *job;
        reply.set_why(m_jobs.scheduler().why(request.id()));
      } else {
        *reply.mutable_failure() = toInfo(
            Failure{FailureCode::NotFound, Ran::No, "query", "", "job '" + request.id() + "' does not exist", 0});
      }
      break;
    case schema::QueryClaim:
      if (const schema::Claim* claim = state.claims().find(request.workspace(), request.id()))
        *reply.mutable_claim() = *claim;
      break;
    case schema::QueryStatus:
      *reply.mutable_status() = clusterStatus();
      break;
    default:
      break;
  }
  return reply;
}

Awaitable<Result<schema::QueryReply>> ControlService::query(schema::QueryRequest request) {
  const Time end = BootClock::now() + milliseconds(request.wait_ms());
  while (true) {
    if (!leads()) co_return fail(m_driver.noLeader("query"));
    const bool waits = request.kind() == schema::QueryJob && BootClock::now() < end && !m_stopping;
    const schema::Job* job = waits ? m_driver.state().job(request.id()) : nullptr;
    if (job == nullptr || isEnded(job->phase())) co_return answerQuery(request);
    co_await m_changed.wait(end);
  }
}

// ---- nodes that watch the configuration

/** \returns whether this replica has led long enough for all targets to report. A new leader knows no targets until
 * they do; until then nodes keep their current list. */
bool ControlService::targetsSettled() const {
  return BootClock::now() >= m_leadsSince + milliseconds(m_context.settings.cluster().freshness_lease_ms());
}

/** \returns whether a node's list of targets should be replaced by this leader's list. */
bool ControlService::hasNewTargets(const schema::WatchRequest& request) const {
  const bool sameTerm = request.term() == m_driver.replica().term();
  if (sameTerm) return request.view() != m_nodes.version();
  return request.term() == 0 || targetsSettled();
}

bool ControlService::hasUpdates(const schema::WatchRequest& request) const {
  return request.revision() != m_driver.state().objects().revision() || hasNewTargets(request);
}

schema::WatchReply ControlService::makeWatchReply(const schema::WatchRequest& request) {
  const ObjectTable& objects = m_driver.state().objects();
  schema::WatchReply reply;
  reply.set_term(m_driver.replica().term());
  reply.set_revision(objects.revision());
  std::vector<schema::ObjectChange> changes;
  if (objects.changesSince(request.revision(), changes)) {
    for (schema::ObjectChange& change : changes) *reply.add_changes() = std::move(change);
  } else {
    reply.set_whole(true);
    for (const auto& [id, object] : objects.objects()) {
      schema::ObjectChange* change = reply.add_changes();
      change->mutable_key()->set_kind(id.first);
      change->mutable_key()->set_name(id.second);
      change->set_revision(object.revision());
      *change->mutable_object() = object;
    }
  }
  for (const ReplicaId id : m_driver.memberIds()) reply.add_members(id);
  for (const std::uint32_t id : m_workflows.relaysFor(request.node().name())) reply.add_relays(id);
  if (hasNewTargets(request)) {
    reply.set_has_targets(true);
    reply.set_view(m_nodes.version());
    for (schema::NodeStatus& node : m_nodes.targets()) *reply.add_targets() = std::move(node);
  }
  reply.set_leaving(m_nodes.isLeaving(request.node()));
  return reply;
}

Awaitable<Result<schema::WatchReply>> ControlService::watch(schema::WatchRequest request) {
  if (!leads()) co_return fail(m_driver.noLeader("watch"));
  m_nodes.recordHeartbeat(request.node(), BootClock::now());
  const bool leavingBefore = m_nodes.isLeaving(request.node());
  const Time end = BootClock::now() + milliseconds(request.wait_ms());
  while (leads() && !hasUpdates(request) && BootClock::now() < end && !m_stopping) {
    if (m_nodes.isLeaving(request.node()) != leavingBefore) break;
    co_await m_changed.wait(end);
  }
  if (!leads()) co_return fail(m_driver.noLeader("watch"));
  co_return makeWatchReply(request);
}

// ---- health and shutdown

HttpResponse ControlService::answerHttp(const HttpRequest& request) const {
  if (std::optional<HttpResponse> admin = answerAdmin(request, m_ready, m_context.metrics)) return std::move(*admin);
  return problemResponse(
      Failure{FailureCode::NotFound, Ran::No, "route", "", "callers and operators talk to an entry", 0});
}

Awaitable<std::size_t> ControlService::stop() {
  m_ready = false;
  m_stopping = true;
  co_await asio::co_spawn(
      m_strand,
      [this]() -> Awaitable<void> {
        co_await m_driver.handOver(milliseconds(m_context.settings.control().handover_limit_ms()));
        m_workflows.releaseWaiters();
        m_changed.notify();
      },
      asio::use_awaitable);
  m_rpc.goAway();
  m_operators.drain();
  m_http.drain();
  co_return co_await drainToZero([this] { return m_rpc.inFlight() + m_http.inFlight(); }, internal::StopLimit);
}

void ControlService::reload(const schema::Settings& settings) {
  asio::post(m_strand, [this, cluster = settings.cluster()] { m_driver.addSeeds(cluster); });
}

}  // namespace courseloom
