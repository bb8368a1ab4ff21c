// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Courseloom/src/Transport/Http2Connection.h"
#include "generated/workflow.pb.h"

namespace courseloom {

/** A target's verdict on a call. */
enum class TargetVerdict : std::uint8_t {
  Accepted,          ///< carried out, now or by an earlier copy of the call
  Refused,           ///< not carried out; this call never will be
  OtherIncarnation,  ///< the incarnation to which the call was addressed has ended
};

/** \class TargetStart
 * \brief Parameters of a start call for one run.
 */
struct TargetStart {
  schema::RunOrder order;
  std::uint64_t deadlineMs = 0;  ///< on the target's clock; all runs there end at this time unless a hold extends it
  std::uint64_t token = 0;       ///< fencing token; the target refuses calls with a lower one than it has seen
};

/** \class TargetHold
 * \brief Parameters of a hold call, which keeps runs alive until a deadline and lists running and ended runs.
 */
struct TargetHold {
  std::optional<std::uint64_t> deadlineMs;  ///< on the target's clock; without a value the current deadline stays
  std::uint64_t token = 0;                  ///< fencing token, as in TargetStart
  std::uint64_t lastSeen = 0;               ///< the target may forget ends up to this number
  std::uint32_t waitMs = 0;                 ///< how long the target may wait for an end before it answers, ms
};

/** \class TargetAnswer
 * \brief A target's answer to a call.
 */
struct TargetAnswer {
  TargetVerdict verdict = TargetVerdict::Refused;
  std::string reason;             ///< reason for a refusal
  bool fenced = false;            ///< refused because the target has seen a higher fencing token
  bool wantsTicket = false;       ///< a start was refused because it had no valid ticket
  std::uint64_t clockMs = 0;      ///< the target's steady clock when it answered, ms; 0 if the answer has none
  std::uint64_t startTimeMs = 0;  ///< start time of the answering incarnation, ms since 1970; 0 if the answer has none
  std::string incarnation;        ///< name of the answering incarnation; set in answers to hold, else empty
  std::vector<schema::RunReport> running;  ///< running runs, in answers to hold
  std::vector<schema::EndReport> ends;     ///< ended runs not forgotten yet, in answers to hold
  bool moreEnds = false;                   ///< the list of ends is at its limit; the target may have further ends
};

/** \class TargetPort
 * \brief Calls from an agent to its target. A call that returns a failure may have been carried out already or may
 * still be carried out later.
 */
class TargetPort {
 public:
  virtual ~TargetPort() = default;
  /** Starts a run. \param incarnation name of the incarnation to which the call is addressed. Another incarnation under
   * the same identity may carry out the call all the same; only an answer to hold names the answering incarnation.
   * \param limit time limit of the whole exchange */
  virtual Awaitable<Result<TargetAnswer>> start(std::string incarnation, TargetStart start, Duration limit) = 0;
  /** Stops a run; for parameters see start(). */
  virtual Awaitable<Result<TargetAnswer>> stop(std::string incarnation, schema::TaskId task, std::uint32_t run,
                                               std::uint64_t token, Duration limit) = 0;
  /** Extends the deadline of all runs and lists running and ended ones; an agent polls its target by this call. */
  virtual Awaitable<Result<TargetAnswer>> hold(std::string incarnation, TargetHold hold, Duration limit) = 0;
  /** Throttles a run. \param percent share of its full speed at which the run is to work */
  virtual Awaitable<Result<TargetAnswer>> pace(std::string incarnation, schema::TaskId task, std::uint32_t run,
                                               std::uint32_t percent, std::uint64_t token, Duration limit) = 0;
};

/** \class TargetAnnouncement
 * \brief Description of a target as sent with a registration or a heartbeat.
 */
struct TargetAnnouncement {
  schema::TargetReport report;
  std::uint64_t sequence = 0;  ///< rises with each call of one incarnation, so that a delayed call is recognised
  std::uint64_t clockMs = 0;   ///< the target's steady clock when the call was sent, ms
};

/** \class TargetRegistry
 * \brief Receives the announcements of the target beside an agent.
 */
class TargetRegistry {
 public:
  virtual ~TargetRegistry() = default;
  /** Handles a registration or a heartbeat. */
  virtual Awaitable<void> announce(TargetAnnouncement announcement) = 0;
  /** Handles the deregistration of an incarnation. \param incarnation its name */
  virtual Awaitable<void> leave(std::string incarnation) = 0;
};

}  // namespace courseloom
