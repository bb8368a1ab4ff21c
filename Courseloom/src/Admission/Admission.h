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
 * \brief Limits of one target.
 */
struct AdmissionOptions {
  unsigned slots = 8;
  unsigned queueLimit = 128;
  bool shares = true;     ///< guaranteed slots and fair shares; off, the queue is first come first served (benches)
  bool deadlines = true;  ///< refuse at once what cannot meet its deadline; off, it waits in vain (benches)
};

/** \class AdmissionRequest
 * \brief What Admission needs to know of a request.
 */
struct AdmissionRequest {
  std::uint64_t id = 0;
  std::string workspace;
  schema::Urgency urgency = schema::Normal;
  Time deadline{};
};

enum class Verdict : std::uint8_t { Start, Queue, Refuse };

/** \class AdmissionAction
 * \brief What is to be done with a request now.
 */
struct AdmissionAction {
  std::uint64_t id = 0;
  Verdict verdict = Verdict::Start;
  Failure failure;  ///< for Refuse; always ran no
};

/** \class Admission
 * \brief Slots of one target: hard limit, guaranteed slots by workspace, fair shares of the rest, a queue that knows
 * deadlines.
 *
 * Slots guaranteed to a workspace are kept for it: others take only what is beyond every unused guarantee. One further
 * slot is kept from work that is not urgent, so that urgent work does not wait behind long requests. A request that the
 * queue cannot serve in time is refused at once, and the retry time is worked out from the rate at which slots fall
 * free. Plain class; the caller gives the time and performs the actions.
 */
class Admission {
 public:
  explicit Admission(AdmissionOptions options) : m_options(options) {}

  /** Replaces guaranteed slots and weights by workspace. */
  void setShares(std::map<std::string, unsigned> guaranteed, std::map<std::string, unsigned> weights);
  /** Takes a request in. \returns its verdict */
  AdmissionAction arrive(AdmissionRequest request, Time now);
  /** A started request has freed its slot. \param ran how long it held the slot \returns what may start now */
  std::vector<AdmissionAction> finish(std::uint64_t id, Duration ran, Time now);
  /** Refuses what can no longer meet its deadline. Call often, such as every 10 ms. */
  std::vector<AdmissionAction> tick(Time now);
  /** Refuses all that waits and everything to come; what runs goes on. */
  std::vector<AdmissionAction> leave(const Failure& reason);
  /** Counts slots that the target may still be using from a former life of the agent. */
  void setSettling(unsigned slots) { m_settling = slots; }

  unsigned running() const { return static_cast<unsigned>(m_running.size()); }
  unsigned queued() const { return m_queued; }
  unsigned freeSlots() const;
  /** \returns when coming back helps, ms: the time that the queue takes to drain, at least 50 ms. */
  std::uint32_t retryAfterMs() const;
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
  std::map<std::uint64_t, std::string> m_running;  ///< id to workspace
  std::map<std::string, unsigned> m_runningOf;
  std::map<std::string, Queue> m_queues;  ///< by workspace; urgent first, then by arrival
  unsigned m_queued = 0;
  unsigned m_settling = 0;
  Duration m_meanRun{};
  std::optional<Failure> m_leaving;
};

}  // namespace courseloom
