// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <istream>
#include <string>
#include <vector>

namespace courseloom {

/** \class LogTimeline
 * \brief Joins the lines of several processes' logs that contain one id, in the order of their times.
 *
 * A line is one JSON object as the daemons write it. Text before the object, such as a log collector's prefix, is
 * ignored, and so are lines in another format.
 */
class LogTimeline {
 public:
  /** \param id id of a workflow, a task, a target or anything else that occurs in log fields */
  explicit LogTimeline(std::string id) : m_id(std::move(id)) {}

  /** Reads one log to its end. May be called for several logs. */
  void read(std::istream& log);
  /** \returns one line per event: time, process, event and fields; empty if no line contains the id. */
  std::string text() const;

 private:
  struct Entry {
    std::string time;  ///< as written in the log; its text order is its time order
    std::string text;
  };
  void addLine(const std::string& line);

  std::string m_id;
  std::vector<Entry> m_entries;
};

}  // namespace courseloom
