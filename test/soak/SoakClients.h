// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "Courseloom/src/Transport/HttpClient.h"
#include "test/soak/RunHistory.h"
#include "test/soak/SoakCluster.h"

namespace courseloom::test {

/** \class Disturbances
 * \brief Records when the run last stopped, paused or started each process; thread-safe.
 */
class Disturbances {
 public:
  /** Records a disturbance of a process at the present time. */
  void note(const std::string& process);
  /** \returns whether a process was disturbed at or after a time. */
  bool since(const std::string& process, Time time) const;

 private:
  mutable std::mutex m_mutex;
  std::map<std::string, Time> m_last;
};

/** \class SoakClients
 * \brief Simulated callers and operators of a run, on their own thread. They check each answer against the guarantees.
 *
 * Callers keep their connections open for as long as the entry does. Checked at each answer: a process that was not
 * killed or paused answers each call completely; an accepted job is never unknown; the outcome of a job never changes;
 * a configuration that is read is never older than the newest acknowledged one, and equals what was sent; a revoked key
 * stops working, and a valid one is never refused.
 */
class SoakClients {
 public:
  /** \param crashing whether some jobs have tasks that crash every back end that starts them */
  SoakClients(SoakCluster& cluster, const Disturbances& disturbances, std::uint64_t seed, unsigned callers,
              bool crashing);
  ~SoakClients();
  SoakClients(const SoakClients&) = delete;
  SoakClients& operator=(const SoakClients&) = delete;

  /** Starts the callers and operators; the first operator sends the first configuration. */
  void start();
  /** Stops submitting jobs; the accepted ones are still followed to their ends. */
  void finish();
  /** \returns whether every accepted job has been seen to end. */
  bool allEnded() const;
  std::map<std::string, ExpectedJob> jobs() const;
  /** \returns a description of each violation so far. */
  std::vector<std::string> violations() const;
  std::string summary() const;

 private:
  struct Caller;
  struct SentVersion {
    std::string body;
    bool acknowledged = false;
    Time replacedAt{};  ///< when a higher version was acknowledged
  };
  struct Answer {
    unsigned status = 0;  ///< HTTP status; 0: no answer
    std::string body;
  };

  Awaitable<void> callerLoop(std::shared_ptr<Caller> caller);
  Awaitable<void> runJob(std::shared_ptr<Caller> caller);
  Awaitable<bool> submit(std::shared_ptr<Caller> caller, const std::string& path, const std::string& body,
                         std::string id);
  Awaitable<void> cancel(std::shared_ptr<Caller> caller, std::string path, std::string id);
  Awaitable<void> follow(std::shared_ptr<Caller> caller, std::string path, std::string id);
  Awaitable<Answer> call(std::shared_ptr<Caller> caller, std::string method, std::string path, std::string body,
                         std::string key);
  Awaitable<void> operatorLoop(std::uint64_t seed);
  Awaitable<void> readerLoop(std::uint64_t seed);
  Awaitable<void> revokedKeyLoop(std::uint64_t seed);
  Awaitable<Answer> callOperator(unsigned control, std::string method, std::string path, std::string body);
  std::string configuration(unsigned version) const;
  void acknowledged(unsigned version);
  void checkState(const std::string& id, const Answer& answer, Time sentAt);
  void violation(const std::string& text);

  SoakCluster& m_cluster;
  const Disturbances& m_disturbances;
  std::mt19937_64 m_random;
  unsigned m_callers;
  bool m_crashing;
  boost::asio::io_context m_io;
  std::thread m_thread;
  mutable std::mutex m_mutex;  ///< guards all members below
  std::map<std::string, ExpectedJob> m_jobs;
  std::map<unsigned, SentVersion> m_versions;
  unsigned m_highestAcknowledged = 0;
  std::vector<std::string> m_violations;
  std::map<unsigned, unsigned> m_answers;  ///< number of answers by HTTP status; 0: no answer
  bool m_finishing = false;
};

}  // namespace courseloom::test
