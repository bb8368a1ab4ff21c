// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <compare>
#include <map>
#include <optional>

#include "Courseloom/src/Scheduling/Placer.h"

namespace courseloom {

/** \class ShapeMemory
 * \brief What steps of the same needs have asked for in vain during one pass.
 *
 * While a pass goes on, room now only shrinks and reservations only grow, so what found no place, or no end in time,
 * finds none later. Room that stopping frees may grow; then what was asked of RoomMaker may be asked again.
 */
class ShapeMemory {
 public:
  /** What makes two steps ask the same question. */
  struct Shape {
    const void* serving = nullptr;
    const void* lateChances = nullptr;
    Room need;
    bool gang = false;
    bool urgent = false;
    bool headroom = false;  ///< targets may be kept whole against it
    bool spreads = false;   ///< may leave its rack because it has waited long
    bool waitsForData = false;
    std::size_t dataRack = 0;
    std::size_t rackTasks = 0;  ///< tasks of a gang that has to be within one rack
    auto operator<=>(const Shape&) const = default;
  };
  /** A question that was asked in vain; one that asks for as much or more is vain too. */
  struct Vain {
    std::size_t tasks = 0;
    double estimateMs = 0.0;
    double limit = 0.0;      ///< the most that it was willing to wait, ms, or to pay, core-seconds
    unsigned freedUpTo = 0;  ///< \sa freed()
    bool covers(const Vain& other) const {
      return other.tasks >= tasks && other.estimateMs >= estimateMs && other.limit <= limit &&
             other.freedUpTo == freedUpTo;
    }
  };
  /** Groups of targets and vain questions of one shape. */
  struct Entry {
    std::optional<TargetGroups> groups;
    std::optional<Vain> place;
    std::optional<Vain> wait;
    std::map<std::pair<Rank, bool>, std::optional<Vain>>
        stop;  ///< by rank, and whether it counts on runs that end soon
  };

  /** Keeps the question that rules more out. */
  static void remember(std::optional<Vain>& known, const Vain& vain) {
    if (!known || vain.covers(*known) || vain.freedUpTo != known->freedUpTo) known = vain;
  }
  Entry& operator[](const Shape& shape) { return m_entries[shape]; }
  /** Notes that stopping has freed room. */
  void noteFreed() { ++m_freed; }
  /** \returns how often stopping has freed room in this pass. */
  unsigned freed() const { return m_freed; }

 private:
  std::map<Shape, Entry> m_entries;
  unsigned m_freed = 0;
};

}  // namespace courseloom
