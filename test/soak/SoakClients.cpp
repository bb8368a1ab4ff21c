// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/soak/SoakClients.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "Courseloom/src/Transport/Listen.h"

namespace courseloom::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr Duration CallLimit = milliseconds(6000);
/** An answer that takes longer than this is a violation, whatever its status. */
constexpr Duration AnswerDue = milliseconds(5000);
/** A connection that ends within this time after a request was sent may have been closed before the request arrived. */
constexpr Duration CloseRaceWindow = milliseconds(250);
constexpr Duration RevokeLimit = milliseconds(5000);
constexpr unsigned Queues = 3;
/** In a run with crashing jobs, one job in CrashingJobInterval crashes its back ends, after at most MaxCrashMs. */
constexpr unsigned CrashingJobInterval = 25;
constexpr unsigned MaxCrashMs = 200;
constexpr unsigned MaxTasks = 4;
constexpr std::uint64_t MaxBody = 1ULL << 20U;
const char* const StableKey = "key-stable";

std::string versionKey(unsigned version) { return "key-of-" + std::to_string(version); }

std::string hexId(std::uint64_t number) {
  std::string text(16, '0');
  for (std::size_t i = text.size(); i-- > 0; number >>= 4U) text[i] = "0123456789abcdef"[number & 15U];
  return text;
}

unsigned pick(std::mt19937_64& random, unsigned first, unsigned last) {
  return std::uniform_int_distribution<unsigned>(first, last)(random);
}

}  // namespace

void Disturbances::note(const std::string& process) {
  const std::lock_guard lock(m_mutex);
  m_last[process] = BootClock::now();
}

bool Disturbances::since(const std::string& process, Time time) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_last.find(process);
  return found != m_last.end() && found->second >= time;
}

/** One caller with its own connection to one entry at a time. */
struct SoakClients::Caller {
  Caller(asio::io_context& io, std::uint64_t seed) : random(seed), timerIo(io) {}
  std::mt19937_64 random;
  asio::io_context& timerIo;
  unsigned entry = 1;
  std::unique_ptr<HttpClient> client;
  /** Connects to an entry drawn at random. A call in progress keeps the client that it uses. */
  void reconnect(const SoakCluster& cluster) {
    entry = pick(random, 1, cluster.size().entries);
    const Endpoint endpoint = splitEndpoint(cluster.clientAddress(entry));
    client = std::make_unique<HttpClient>(timerIo, endpoint.address, endpoint.port, 1);
  }
};

SoakClients::SoakClients(SoakCluster& cluster, const Disturbances& disturbances, std::uint64_t seed, unsigned callers,
                         bool crashing)
    : m_cluster(cluster), m_disturbances(disturbances), m_random(seed), m_callers(callers), m_crashing(crashing) {}

SoakClients::~SoakClients() {
  m_io.stop();
  if (m_thread.joinable()) m_thread.join();
}

void SoakClients::start() {
  asio::co_spawn(m_io, operatorLoop(m_random()), asio::detached);
  asio::co_spawn(m_io, readerLoop(m_random()), asio::detached);
  asio::co_spawn(m_io, revokedKeyLoop(m_random()), asio::detached);
  for (unsigned i = 0; i < m_callers; ++i) {
    auto caller = std::make_shared<Caller>(m_io, m_random());
    caller->reconnect(m_cluster);
    asio::co_spawn(m_io, callerLoop(caller), asio::detached);
  }
  m_thread = std::thread([this] { m_io.run(); });
}

void SoakClients::finish() {
  const std::lock_guard lock(m_mutex);
  m_finishing = true;
}

bool SoakClients::allEnded() const {
  const std::lock_guard lock(m_mutex);
  return std::all_of(m_jobs.begin(), m_jobs.end(), [](const auto& entry) {
    return !entry.second.accepted || entry.second.outcome != JobOutcome::Open;
  });
}

std::map<std::string, ExpectedJob> SoakClients::jobs() const {
  const std::lock_guard lock(m_mutex);
  return m_jobs;
}

std::vector<std::string> SoakClients::violations() const {
  const std::lock_guard lock(m_mutex);
  return m_violations;
}

std::string SoakClients::summary() const {
  const std::lock_guard lock(m_mutex);
  std::string text = std::to_string(m_jobs.size()) + " jobs, " + std::to_string(m_versions.size()) +
                     " configurations, highest acknowledged " + std::to_string(m_highestAcknowledged) + "; answers";
  for (const auto& [status, count] : m_answers) text += " " + std::to_string(status) + ":" + std::to_string(count);
  return text;
}

void SoakClients::violation(const std::string& text) {
  const std::lock_guard lock(m_mutex);
  m_violations.push_back(text);
}

// ---- calls

Awaitable<SoakClients::Answer> SoakClients::call(std::shared_ptr<Caller> caller, std::string method, std::string path,
                                                 std::string body, std::string key) {
  HttpRequest request(http::string_to_verb(method), path, 11);
  request.set(http::field::host, "h.example");
  request.set(http::field::authorization, "Bearer " + key);
  request.set(http::field::content_type, "application/json");
  request.set("X-Courseloom-Deadline-Ms", "3000");
  request.body() = std::move(body);
  const std::string entry = "entry-" + std::to_string(caller->entry);
  const Time sentAt = BootClock::now();
  Result<HttpResponse> response = co_await caller->client->exchange("call", std::move(request), CallLimit, MaxBody);
  const Duration took = BootClock::now() - sentAt;
  // A pause or kill that began earlier and still lasts is recorded again when it ends.
  const bool disturbed = m_disturbances.since(entry, sentAt - CallLimit);
  if (response) {
    if (took > AnswerDue && !disturbed) violation(entry + " held " + method + " " + path + " for too long");
    const std::lock_guard lock(m_mutex);
    ++m_answers[response->result_int()];
    co_return Answer{response->result_int(), response->body()};
  }
  const Failure failure = extractFailure(response);
  if (failure.code != FailureCode::TargetUnreachable && took > CloseRaceWindow && !disturbed) {
    violation(entry + " left " + method + " " + path + " without its answer after " +
              std::to_string(took.count() / 1000) + " ms: " + failure.text());
  }
  caller->reconnect(m_cluster);
  const std::lock_guard lock(m_mutex);
  ++m_answers[0];
  co_return Answer{};
}

Awaitable<SoakClients::Answer> SoakClients::callOperator(unsigned control, std::string method, std::string path,
                                                         std::string body) {
  const Endpoint endpoint = splitEndpoint(m_cluster.operatorAddress(control));
  HttpClient client(m_io, endpoint.address, endpoint.port, 0);
  HttpRequest request(http::string_to_verb(method), path, 11);
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(body);
  Result<HttpResponse> response = co_await client.exchange("operator", std::move(request), milliseconds(1500), MaxBody);
  if (!response) co_return Answer{};
  co_return Answer{response->result_int(), response->body()};
}

// ---- jobs

Awaitable<void> SoakClients::callerLoop(std::shared_ptr<Caller> caller) {
  while (true) {
    co_await sleepFor(milliseconds(pick(caller->random, 10, 400)));
    {
      const std::lock_guard lock(m_mutex);
      if (m_finishing) co_return;
    }
    co_await runJob(caller);
  }
}

Awaitable<void> SoakClients::runJob(std::shared_ptr<Caller> caller) {
  ExpectedJob job;
  job.id = hexId(caller->random());
  job.tasks = pick(caller->random, 1, MaxTasks);
  job.gang = pick(caller->random, 1, 10) <= 4;
  const unsigned kind = pick(caller->random, 1, 20);
  job.mayFail = kind == 1;
  const bool endless = kind == 2;
  std::string spec = std::to_string(pick(caller->random, 50, 1500));
  if (job.mayFail) spec = "fail";
  if (endless) spec = "forever";
  job.crashes = m_crashing && pick(caller->random, 1, CrashingJobInterval) == 1;
  if (job.crashes) spec = "crash " + std::to_string(pick(caller->random, 5, MaxCrashMs));
  job.mayFail = job.mayFail || job.crashes;
  const json::object step{{"count", job.tasks}, {"cpu", 1000},        {"mem_mb", 100},        {"gpu", 1},
                          {"gang", job.gang},   {"estimate_ms", 800}, {"checkpointing", true}};
  const std::string body = json::serialize(json::object{{"spec", spec}, {"steps", json::array{step}}});
  const std::string id = job.id;
  const std::string path = "/q" + std::to_string(pick(caller->random, 0, Queues - 1)) + "/" + id;
  {
    const std::lock_guard lock(m_mutex);
    m_jobs[id] = job;
  }
  if (!co_await submit(caller, path, body, id)) co_return;
  if (pick(caller->random, 1, 10) == 1) co_await submit(caller, path, body, id);
  if (endless || pick(caller->random, 1, 12) == 1) co_await cancel(caller, path, id);
  co_await follow(caller, path, id);
}

/** Submits a job until it is accepted, or until all tries were clearly refused. \returns whether it was accepted */
Awaitable<bool> SoakClients::submit(std::shared_ptr<Caller> caller, const std::string& path, const std::string& body,
                                    std::string id) {
  constexpr unsigned Tries = 8;
  bool inDoubt = false;
  for (unsigned i = 0; i < Tries || inDoubt; ++i) {
    {
      // Recorded before the request is sent: the job may run before the answer arrives.
      const std::lock_guard lock(m_mutex);
      m_jobs[id].inDoubt = true;
    }
    const Answer answer = co_await call(caller, "POST", path, body, StableKey);
    const bool refused = answer.status == 429 || answer.status == 503;
    inDoubt = inDoubt || (answer.status != 200 && !refused);
    {
      const std::lock_guard lock(m_mutex);
      ExpectedJob& job = m_jobs[id];
      job.inDoubt = inDoubt;
      job.accepted = job.accepted || answer.status == 200;
    }
    if (answer.status == 200) co_return true;
    if (answer.status >= 400 && answer.status < 500 && answer.status != 429) {
      violation("submission refused with " + std::to_string(answer.status) + ": " + answer.body);
      co_return false;
    }
    co_await sleepFor(milliseconds(pick(caller->random, 50, 400)));
  }
  co_return false;
}

Awaitable<void> SoakClients::cancel(std::shared_ptr<Caller> caller, std::string path, std::string id) {
  co_await sleepFor(milliseconds(pick(caller->random, 1, 800)));
  {
    const std::lock_guard lock(m_mutex);
    m_jobs[id].cancelSent = BootClock::now();
  }
  while (true) {
    const Answer answer = co_await call(caller, "DELETE", path, "", StableKey);
    if (answer.status == 200 || answer.status == 410) break;
    co_await sleepFor(milliseconds(100));
  }
  const std::lock_guard lock(m_mutex);
  m_jobs[id].cancelAcked = BootClock::now();
}

void SoakClients::checkState(const std::string& id, const Answer& answer, Time sentAt) {
  if (answer.status == 410) return violation("an accepted job is unknown: " + id);
  if (answer.status != 200) return;
  boost::system::error_code error;
  const json::value body = json::parse(answer.body, error);
  if (error || !body.is_object()) return violation("a state that cannot be read: " + answer.body);
  const std::string state(body.as_object().at("state").as_string());
  JobOutcome outcome = JobOutcome::Open;
  if (state == "completed") outcome = JobOutcome::Completed;
  if (state == "failed") outcome = JobOutcome::Failed;
  if (state == "cancelled") outcome = JobOutcome::Cancelled;
  std::string changed;
  {
    const std::lock_guard lock(m_mutex);
    ExpectedJob& job = m_jobs[id];
    if (job.outcome != JobOutcome::Open && outcome != job.outcome && sentAt > job.outcomeSeen)
      changed = "its end changed: " + id;
    if (job.outcome == JobOutcome::Open && outcome != JobOutcome::Open) job.outcomeSeen = BootClock::now();
    if (outcome != JobOutcome::Open) job.outcome = outcome;
  }
  if (!changed.empty()) violation(changed + " is now " + state);
}

Awaitable<void> SoakClients::follow(std::shared_ptr<Caller> caller, std::string path, std::string id) {
  for (bool ended = false; !ended;) {
    const Time sentAt = BootClock::now();
    checkState(id, co_await call(caller, "GET", path, "", StableKey), sentAt);
    {
      const std::lock_guard lock(m_mutex);
      ended = m_jobs[id].outcome != JobOutcome::Open;
    }
    co_await sleepFor(milliseconds(pick(caller->random, 100, 600)));
  }
  const Time sentAt = BootClock::now();
  checkState(id, co_await call(caller, "GET", path, "", StableKey), sentAt);
}

// ---- operators

std::string SoakClients::configuration(unsigned version) const {
  json::array routes;
  for (unsigned queue = 0; queue < Queues; ++queue) {
    const std::string name = "q" + std::to_string(queue);
    routes.push_back(json::object{{"name", name},
                                  {"host", "h.example"},
                                  {"path_prefix", "/" + name + "/"},
                                  {"timeout_ms", 3000 + version % 100},
                                  {"target_latency_ms", 500},
                                  {"priority", queue},
                                  {"service", "s"},
                                  {"max_attempts", 4},
                                  {"stretch", 3.0}});
  }
  return json::serialize(
      json::object{{"version", version},
                   {"routes", routes},
                   {"services", json::array{json::object{{"name", "s"}}}},
                   {"tenants", json::array{json::object{{"name", "t"},
                                                        {"api_keys", json::array{StableKey, versionKey(version)}},
                                                        {"guaranteed", json::object{{"gpu", 8}}}}}}});
}

void SoakClients::acknowledged(unsigned version) {
  const std::lock_guard lock(m_mutex);
  m_versions[version].acknowledged = true;
  if (version <= m_highestAcknowledged) return;
  m_highestAcknowledged = version;
  const Time now = BootClock::now();
  for (auto& [older, sent] : m_versions) {
    if (older < version && sent.replacedAt == Time{}) sent.replacedAt = now;
  }
}

Awaitable<void> SoakClients::operatorLoop(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  for (unsigned version = 1;; version += pick(random, 1, 3)) {
    const std::string body = configuration(version);
    {
      const std::lock_guard lock(m_mutex);
      if (m_finishing) co_return;
      m_versions[version].body = body;
    }
    // The same bytes are sent again, to any replica, until one accepts them.
    for (Answer answer; answer.status != 200;) {
      answer = co_await callOperator(pick(random, 1, m_cluster.size().control), "POST", "/-/Config.Put", body);
      if (answer.status >= 400 && answer.status < 500) {
        violation("configuration " + std::to_string(version) + " refused with " + std::to_string(answer.status));
        co_return;
      }
      if (answer.status != 200) co_await sleepFor(milliseconds(pick(random, 20, 200)));
    }
    acknowledged(version);
    co_await sleepFor(milliseconds(pick(random, 200, 1800)));
  }
}

Awaitable<void> SoakClients::readerLoop(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (true) {
    co_await sleepFor(milliseconds(pick(random, 20, 200)));
    unsigned atLeast = 0;
    {
      const std::lock_guard lock(m_mutex);
      atLeast = m_highestAcknowledged;
    }
    const Answer answer = co_await callOperator(pick(random, 1, m_cluster.size().control), "GET", "/-/Config.Get", "");
    if (answer.status != 200) continue;
    boost::system::error_code error;
    const json::value body = json::parse(answer.body, error);
    const bool readable = !error && body.is_object() && body.as_object().contains("version");
    const unsigned version = readable ? body.as_object().at("version").to_number<unsigned>() : 0;
    if (version < atLeast) {
      violation("configuration " + std::to_string(version) + " read after " + std::to_string(atLeast) + " was taken");
    }
    const std::lock_guard lock(m_mutex);
    const auto sent = m_versions.find(version);
    if (sent != m_versions.end() && sent->second.body == answer.body) continue;
    m_violations.push_back("configuration " + std::to_string(version) + " is not what was sent");
  }
}

/** Calls with keys that were revoked more than RevokeLimit ago. */
Awaitable<void> SoakClients::revokedKeyLoop(std::uint64_t seed) {
  auto caller = std::make_shared<Caller>(m_io, seed);
  caller->reconnect(m_cluster);
  while (true) {
    co_await sleepFor(milliseconds(pick(caller->random, 50, 300)));
    std::vector<unsigned> revoked;
    {
      const std::lock_guard lock(m_mutex);
      for (const auto& [version, sent] : m_versions) {
        const bool longAgo = sent.replacedAt != Time{} && BootClock::now() > sent.replacedAt + RevokeLimit;
        if (longAgo) revoked.push_back(version);
      }
    }
    if (revoked.empty()) continue;
    const unsigned version = revoked[caller->random() % revoked.size()];
    const Answer answer = co_await call(caller, "GET", "/q0/", "", versionKey(version));
    if (answer.status == 200) violation("the key of configuration " + std::to_string(version) + " still works");
  }
}

}  // namespace courseloom::test
