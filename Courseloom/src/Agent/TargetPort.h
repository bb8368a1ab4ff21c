// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "Courseloom/src/Transport/Http2Connection.h"
#include "generated/workflow.pb.h"

namespace courseloom {

/** What a target said to an order. */
enum class TargetVerdict : std::uint8_t {
  Taken,      ///< done, or done before
  Refused,    ///< not done, and this call never will be
  OtherLife,  ///< the life that was meant is over
};

/** \class TargetStart
 * \brief Order to start one run.
 */
struct TargetStart {
  schema::RunOrder order;
  std::uint64_t deadlineMs = 0;  ///< on the target's clock: everything there ends then unless the hold is renewed
  std::uint64_t token = 0;       ///< fencing token; the target does nothing for a lower one than it has seen
};

/** \class TargetHold
 * \brief Order to go on holding what runs, and to tell of it.
 */
struct TargetHold {
  std::optional<std::uint64_t> deadlineMs;  ///< on the target's clock
  std::uint64_t token = 0;
  std::uint64_t lastSeen = 0;  ///< ends up to this number may be forgotten
  std::uint32_t waitMs = 0;    ///< the target may wait this long for an end
};

/** \class TargetAnswer
 * \brief A target's answer to an order.
 */
struct TargetAnswer {
  TargetVerdict verdict = TargetVerdict::Refused;
  std::string reason;
  bool fenced = false;        ///< refused because the target has seen a higher fencing token
  std::uint64_t clockMs = 0;  ///< the target's steady clock when it answered; 0 if it did not say
  std::uint64_t bornMs = 0;   ///< when the life that answered began, ms since 1970; 0 if it did not say
  std::string life;           ///< the life that answered, from the lists of a look; empty in other answers
  std::vector<schema::RunReport> running;
  std::vector<schema::EndReport> ends;
  bool moreEnds = false;  ///< the target lists no more ends at a time, and may have further ones
};

/** \class TargetPort
 * \brief Calls to the target beside an agent. A call that fails may have been carried out, or may yet be.
 */
class TargetPort {
 public:
  virtual ~TargetPort() = default;
  /** \param life the life that is meant; another one under its identity may take the call all the same, and says so in
   * a look \param limit time for the whole exchange */
  virtual Awaitable<Result<TargetAnswer>> start(std::string life, TargetStart start, Duration limit) = 0;
  virtual Awaitable<Result<TargetAnswer>> stop(std::string life, schema::TaskId task, std::uint32_t run,
                                               std::uint64_t token, Duration limit) = 0;
  virtual Awaitable<Result<TargetAnswer>> hold(std::string life, TargetHold hold, Duration limit) = 0;
  /** Lets a run work at a share of its speed, percent. */
  virtual Awaitable<Result<TargetAnswer>> pace(std::string life, schema::TaskId task, std::uint32_t run,
                                               std::uint32_t percent, std::uint64_t token, Duration limit) = 0;
};

/** \class TargetAnnouncement
 * \brief What a target says of itself when it registers.
 */
struct TargetAnnouncement {
  schema::TargetReport report;
  std::uint64_t sequence = 0;  ///< rises with each call of one life, so that a late one is recognised
  std::uint64_t clockMs = 0;   ///< the target's steady clock when it was sent
};

/** \class TargetRegistry
 * \brief Takes the announcements of the target beside an agent.
 */
class TargetRegistry {
 public:
  virtual ~TargetRegistry() = default;
  virtual Awaitable<void> announce(TargetAnnouncement announcement) = 0;
  virtual Awaitable<void> leave(std::string life) = 0;
};

}  // namespace courseloom
