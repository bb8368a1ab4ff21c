// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Core/Failure.h"
#include "generated/rpc.pb.h"

namespace courseloom {

/** \class AdmissionOptions
 * \brief Limits of one target, with switches for benches.
 */
struct AdmissionOptions {
  unsigned slots = 8;         ///< requests that may run at the same time
  unsigned queueLimit = 128;  ///< requests that may wait
  bool shares = true;         ///< guaranteed slots and fair shares; if off, the queue is first come, first served
  bool deadlines = true;  ///< refuse requests that cannot meet their deadlines at once; if off, they wait until then
};

/** \class AdmissionRequest
 * \brief Properties of a request that Admission uses.
 */
struct AdmissionRequest {
  std::uint64_t id = 0;
  std::string workspace;
  schema::Urgency urgency = schema::Normal;
  Time deadline{};
};

/** Decision on a request: start it now, keep it queued, or refuse it. */
enum class Verdict : std::uint8_t { Start, Queue, Refuse };

/** \class AdmissionAction
 * \brief A decision on a request, for the caller to carry out.
 */
struct AdmissionAction {
  std::uint64_t id = 0;
  Verdict verdict = Verdict::Start;
  Failure failure;  ///< reason, for Verdict::Refuse; states that the request did not run
};

/** \class Admission
 * \brief Allocates the slots of one target: a hard limit, guaranteed slots by workspace, fair shares of the other
 * slots, and a queue that respects deadlines.
 *
 * Slots guaranteed to a workspace are reserved for it: other workspaces use only slots beyond all unused guarantees.
 * One further slot is reserved for urgent requests, so that they do not wait behind long requests. A request that the
 * queue cannot serve in time is refused at once, with a retry time derived from the rate at which slots become free.
 * The class uses no clock and does no input or output; the caller passes the time and carries out the actions.
 */
class Admission {
 public:
  explicit Admission(AdmissionOptions options) : m_options(options) {}

  /** Replaces guaranteed slots and weights by workspace. */
  void setShares(std::map<std::string, unsigned> guaranteed, std::map<std::string, unsigned> weights);
  /** Decides on a new request. \returns the decision; for Verdict::Queue a later action decides */
  AdmissionAction arrive(AdmissionRequest request, Time now);
  /** Releases the slot of a started request. \param ran how long the request held the slot \returns decisions on queued
   * requests; nothing for an unknown id */
  std::vector<AdmissionAction> finish(std::uint64_t id, Duration ran, Time now);
  /** Refuses queued requests that can no longer meet their deadlines, then starts queued ones unless slots are
   * settling. To be called often, such as every 10 ms. */
  std::vector<AdmissionAction> tick(Time now);
  /** Refuses all queued and all later requests. Running requests continue. */
  std::vector<AdmissionAction> leave(const Failure& reason);
  /** Sets the number of slots that the target may still be using for a former incarnation of the agent; 0 ends this. */
  void setSettling(unsigned slots) { m_settling = slots; }

  unsigned running() const { return static_cast<unsigned>(m_running.size()); }
  unsigned queued() const { return m_queued; }
  unsigned freeSlots() const;
  /** \returns the time after which a retry is sensible, ms: the time to drain the queue, between 50 ms and a minute. */
  std::uint32_t retryAfterMs() const;
  /** \returns the moving mean of the time for which requests held their slots; 0 before the first has ended. */
  Duration meanRun() const { return m_meanRun; }

 private:
  struct Waiting {
    AdmissionRequest request;
    Time arrived;
  };
  using Queue = std::deque<Waiting>;

  bool mayStart(const AdmissionRequest& request) const;
  void start(const AdmissionRequest& request);
  unsigned reservedForOthers(const std::string& workspace) const;
  unsigned runningOf(const std::string& workspace) const;
  Duration expectedWait(const AdmissionRequest& request) const;
  std::vector<AdmissionAction> startNext();
  Queue* nextQueue();
  AdmissionAction refuse(std::uint64_t id, FailureCode code, const std::string& detail) const;

  AdmissionOptions m_options;
  std::map<std::string, unsigned> m_guaranteed;
  std::map<std::string, unsigned> m_weights;
  std::map<std::uint64_t, std::string> m_running;  ///< workspace of each running request, by id
  std::map<std::string, unsigned>
      m_runningOf;                        ///< number of running requests, by workspace; only workspaces that have any
  std::map<std::string, Queue> m_queues;  ///< by workspace; urgent first, then by arrival
  unsigned m_queued = 0;
  unsigned m_settling = 0;
  Duration m_meanRun{};
  std::optional<Failure> m_leaving;  ///< reason for refusing all requests; none while requests are admitted
};

}  // namespace courseloom
