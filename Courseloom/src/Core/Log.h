// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <initializer_list>
#include <string>
#include <utility>

#include "Courseloom/src/Core/Failure.h"
#include "generated/events.pb.h"

namespace courseloom {

/** \class LogField
 * \brief One named value of a log event.
 */
struct LogField {
  LogField(const char* fieldName, std::string fieldValue) : name(fieldName), value(std::move(fieldValue)) {}
  LogField(const char* fieldName, std::uint64_t number) : name(fieldName), value(std::to_string(number)) {}
  const char* name;
  std::string value;
};

/** Sets up log4cxx with its JSON layout.
 * \param process name of this process, a field of each line
 * \param level TRACE, DEBUG, INFO, WARN or ERROR
 * \param file path of the log; empty is standard output
 */
void setUpLog(const std::string& process, const std::string& level, const std::string& file);

/** Writes one numbered event at the level that schema/events.proto gives it. Safe from any thread; never waits for the
 * reader. Each event has a budget of lines a second; what is left out is counted by an event LinesOmitted. */
void logEvent(schema::Event event, std::initializer_list<LogField> fields = {});
/** Writes one event of a story, such as a run of a workflow: where there are more lines than fit, fewer stories are
 * written, and each of those whole. \param story its name \sa StoryChoice */
void logStory(schema::Event event, const std::string& story, std::initializer_list<LogField> fields);
/** Writes one numbered event with a failure's code, ran, step, peer and detail. */
void logFailure(schema::Event event, const Failure& failure);
/** Writes out what is queued; nothing is logged afterwards. */
void flushLog();
/** \returns the catalogue of events as a Markdown page. */
std::string describeEvents();

}  // namespace courseloom
