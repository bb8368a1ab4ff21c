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
 * \brief One named value of a log event; numbers are written in decimal.
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
 * \param file path of the log file, which is appended to; empty is standard output
 */
void setUpLog(const std::string& process, const std::string& level, const std::string& file);

/** Writes one numbered event at the level that schema/events.proto gives it. May be called from any thread. Never
 * blocks on the reader of the log. Each event has a budget of lines a second; lines beyond it are left out, and their
 * number is logged by an event LinesOmitted. */
void logEvent(schema::Event event, std::initializer_list<LogField> fields = {});
/** Writes one event of a log group, such as the events of a workflow's runs. If there are more lines than the budget of
 * all groups allows, fewer groups are written, and each of these completely.
 * \param group name of the log group \sa LogGroupSampler */
void logGroupEvent(schema::Event event, const std::string& group, std::initializer_list<LogField> fields);
/** Writes one numbered event with a failure's code, ran, step, peer and detail. */
void logFailure(schema::Event event, const Failure& failure);
/** Writes the queued lines and shuts the log down; nothing can be logged afterwards. */
void flushLog();
/** \returns the list of all events as a Markdown page. */
std::string describeEvents();

}  // namespace courseloom
