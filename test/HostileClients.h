// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <functional>
#include <random>

#include "test/ClientCrowd.h"
#include "test/WorkflowDeployment.h"

namespace courseloom::test {

inline constexpr unsigned EntryMemoryMb = 64;
inline constexpr unsigned ControlMemoryMb = 96;
inline constexpr unsigned AgentMemoryMb = 48;
inline constexpr std::size_t KiB = 1024;
inline constexpr std::size_t MiB = 1024 * KiB;
/** Largest body that the platform's pages allow a client, bytes. */
inline constexpr std::size_t MaxBodyBytes = 256 * KiB;
inline constexpr unsigned Control = 1;
inline constexpr unsigned Agent = 11;
inline constexpr unsigned Entry = 20;

inline DeploymentSettings guarded(unsigned maxConnections = 1000) {
  DeploymentSettings settings;
  settings.control = ", memoryMb: " + std::to_string(ControlMemoryMb);
  settings.runner = ", memoryMb: " + std::to_string(AgentMemoryMb);
  settings.entry = "{notReadyMs: 10, instanceLimits: true, memoryMb: " + std::to_string(EntryMemoryMb) +
                   ", maxConnections: " + std::to_string(maxConnections) + "}";
  return settings;
}

/** \returns a configuration with two workspaces, each with a queue of its own. */
inline std::string twoWorkspaces() {
  return configurationOf(2, route("q", "q") + "," + route("other", "other"),
                         tenant("t", "key-1") + "," + tenant("u", "key-2"));
}

/** \returns the head of a submission up to its last header. */
inline std::string headOf(unsigned number, const std::string& headers, const std::string& key = "key-1") {
  return "POST /q/" + workflowId(number) + " HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " + key + "\r\n" +
         headers;
}

inline std::string lengthOf(std::size_t bytes) { return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n"; }
inline const std::string Chunked = "Transfer-Encoding: chunked\r\n\r\n";

inline std::string repeat(const std::string& text, std::size_t bytes) {
  std::string whole;
  whole.reserve(bytes + text.size());
  while (whole.size() < bytes) whole += text;
  return whole;
}

/** Members of a workflow that is due at a time that no test reaches, so that it takes memory and no target. */
inline const std::string NotDue = R"("repeat_count":1,"start_at_ms":4102444800000,)";

/** \returns a workflow of as many equal steps as fit into a body. \param members further ones, with a comma at the end
 */
inline std::string workflowOf(std::size_t bodyBytes, const std::string& members = "") {
  const std::string step = R"({"count":1,"cpu":1000,"gpu":1})";
  const std::string begin = "{" + members + R"("spec":"20","steps":[)" + step;
  return begin + repeat("," + step, bodyBytes - begin.size() - step.size() - 3) + "]}";
}

/** \returns the same script for each of several clients. */
inline std::vector<ClientScript> clients(std::size_t count, const std::function<ClientScript(unsigned)>& script) {
  std::vector<ClientScript> scripts;
  for (std::size_t i = 0; i < count; ++i) scripts.push_back(script(0x1000U + static_cast<unsigned>(i)));
  return scripts;
}

inline ClientScript submissionOf(unsigned number, const std::string& body, const std::string& key = "key-1") {
  ClientScript script;
  script.begin = headOf(number, lengthOf(body.size()), key) + body;
  return script;
}

/** \returns a client that sends a text again and again. \param bytes in all */
inline ClientScript repeating(std::string begin, std::string repeated, std::size_t bytes) {
  ClientScript script;
  script.begin = std::move(begin);
  script.repeated = std::move(repeated);
  script.repeatedBytes = bytes;
  return script;
}

/** Clients that send trailers without end. */
inline std::vector<ClientScript> endlessTrailers(std::size_t count) {
  return clients(count, [](unsigned number) {
    return repeating(headOf(number, Chunked) + "0\r\n", "X-Trailer: some text that is as long as a line may be\r\n",
                     40 * MiB);
  });
}

inline std::vector<ClientScript> unfinishedBodies(std::size_t count) {
  return clients(count, [](unsigned number) {
    return repeating(headOf(number, lengthOf(8 * MiB)), std::string(KiB, 'x'), 8 * MiB - KiB);
  });
}

/** \class HostileClients
 * \brief A deployment with low limits of memory, one agent, and the check that it holds.
 */
class HostileClients {
 public:
  explicit HostileClients(const DeploymentSettings& settings = guarded()) : m_deployment(oneAgent(settings)) {
    m_deployment.setUp();
    cr_assert_eq(m_deployment.configure(twoWorkspaces()), 200);
    cr_assert(m_deployment.until(200, "GET", "/other/", "", "pending"));
    requireServed("before the crowd");
  }

  WorkflowDeployment& deployment() { return m_deployment; }

  /** Plays a crowd at an endpoint until it is quiet, and requires that everything holds. */
  void play(const char* crowdName, unsigned host, unsigned port, std::vector<ClientScript> crowdClients) {
    ClientCrowd crowd(m_deployment.at(host, port), std::move(crowdClients));
    crowd.awaitQuiet();
    requireBounds(crowdName);
    requireServed(crowdName);
  }

  /** Requires that each process lives and is within its memory. */
  void requireBounds(const char* crowdName) {
    for (unsigned i = 1; i <= 3; ++i) requireBound(crowdName, "control-" + std::to_string(i), i, ControlMemoryMb);
    requireBound(crowdName, "agent-1", Agent, AgentMemoryMb);
    requireBound(crowdName, "entry-1", Entry, EntryMemoryMb);
  }

  /** Requires that an ordinary workflow of the other workspace is accepted and done. */
  void requireServed(const char* crowdName) {
    const std::string path = "/other/" + workflowId(++m_ordinary);
    requireAnswer(crowdName, "POST", path, job(1, "20"), "");
    requireAnswer(crowdName, "GET", path, "", "completed");
  }

  /** Submits a workflow. \returns the status of the answer; 0 without one */
  unsigned submit(unsigned number, const std::string& body) {
    return m_deployment.call("POST", "/q/" + workflowId(number), body).status;
  }

 private:
  static DeploymentSettings oneAgent(DeploymentSettings settings) {
    settings.agents = 1;
    return settings;
  }

  void requireBound(const char* crowdName, const std::string& name, unsigned host, unsigned limitMb) {
    Process& process = m_deployment.process(name);
    cr_assert_eq(process.wait(milliseconds(1)), -1, "%s: %s has ended", crowdName, name.c_str());
    const ProcessUsage usage = usageOf(process.pid(), m_deployment.address(host));
    std::printf("%s: %s: %.1f MB of memory at its peak, %.1f MB queued, %u descriptors\n", crowdName, name.c_str(),
                usage.peakMb, usage.queuedMb, usage.descriptors);
    cr_assert_lt(usage.peakMb + usage.queuedMb, static_cast<double>(limitMb), "%s: %s takes %.1f + %.1f MB of %u",
                 crowdName, name.c_str(), usage.peakMb, usage.queuedMb, limitMb);
  }

  void requireAnswer(const char* crowdName, const std::string& method, const std::string& path, const std::string& body,
                     const std::string& text) {
    const Time end = BootClock::now() + milliseconds(30000);
    HttpReply reply;
    while (BootClock::now() < end) {
      reply = m_deployment.call(method, path, body, "key-2");
      if (reply.status == 200 && reply.has(text)) return;
      pause(30);
    }
    cr_assert_fail("%s: %s %s was last answered %u %s", crowdName, method.c_str(), path.c_str(), reply.status,
                   reply.body.c_str());
  }

  WorkflowDeployment m_deployment;
  unsigned m_ordinary = 0;
};

/** \returns a client that repeats, cuts, stretches or slows parts of a request. \param members of the workflows that it
 * submits, with a comma at the end */
inline ClientScript randomClient(unsigned number, std::mt19937_64& random, const std::string& members) {
  const auto draw = [&random](std::size_t below) { return static_cast<std::size_t>(random() % below); };
  const std::vector<std::string> units{"X-Field: text\r\n",
                                       "a:\r\n",
                                       "400\r\n" + std::string(KiB, 'x') + "\r\n",
                                       "5;a=",
                                       "0\r\n",
                                       "{},",
                                       std::string(KiB, ' '),
                                       "\r\n",
                                       std::string("\0", 1)};
  const std::string body = draw(2) == 0 ? workflowOf(KiB << draw(12), members) : R"({"spec":"20","steps":[)";
  std::string whole = headOf(number, draw(2) == 0 ? Chunked : lengthOf(draw(2) == 0 ? body.size() : 8 * MiB),
                             draw(2) == 0 ? "key-1" : "wrong");
  whole += body;
  ClientScript script;
  script.begin = whole.substr(0, draw(3) == 0 ? draw(whole.size()) : whole.size());
  script.repeated = units[draw(units.size())];
  script.repeatedBytes = draw(3) == 0 ? 0 : KiB << draw(15);
  script.end = draw(2) == 0 ? "" : "]}";
  script.reads = draw(4) != 0;
  script.returns = draw(4) == 0;
  if (draw(4) == 0) {
    script.pieceBytes = 1 + draw(KiB);
    script.pause = milliseconds(1 + static_cast<std::int64_t>(draw(20)));
  }
  return script;
}

/** Plays a crowd of random clients for each seed. \param members see randomClient() */
inline void playRandomClients(const std::string& members) {
  HostileClients test;
  const std::uint64_t first = firstSeed();
  for (std::uint64_t seed = first; seed < first + seedCount(3); ++seed) {
    std::mt19937_64 random(seed);
    std::printf("seed %llu\n", static_cast<unsigned long long>(seed));
    ClientCrowd crowd(test.deployment().at(Entry, ClientPort),
                      clients(64, [&](unsigned number) { return randomClient(number, random, members); }));
    crowd.awaitQuiet(milliseconds(8000));
    test.requireBounds("random clients");
    test.requireServed("random clients");
  }
}

}  // namespace courseloom::test
