// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Core/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include <sstream>

namespace courseloom {
namespace internal {
namespace {

log4cxx::LoggerPtr& process_logger() {
  static log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("courseloom");
  return logger;
}

std::string& process_name() {
  static std::string name;
  return name;
}

const schema::EventRule& event_rule(schema::Event event) {
  return schema::Event_descriptor()->FindValueByNumber(event)->options().GetExtension(schema::event);
}

}  // namespace
}  // namespace internal

void setUpLog(const std::string& process, const std::string& level, const std::string& file) {
  internal::process_name() = process;
  auto layout = std::make_shared<log4cxx::JSONLayout>();
  log4cxx::AppenderPtr appender;
  if (file.empty()) {
    appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
  }
  log4cxx::BasicConfigurator::configure(appender);
  internal::process_logger()->setLevel(log4cxx::Level::toLevel(level));
}

void logEvent(schema::Event event, std::initializer_list<LogField> fields) {
  const log4cxx::LoggerPtr& logger = internal::process_logger();
  const log4cxx::LevelPtr level = log4cxx::Level::toLevel(internal::event_rule(event).level());
  if (!logger->isEnabledFor(level)) return;
  log4cxx::MDC::put("event", std::to_string(event));
  log4cxx::MDC::put("process", internal::process_name());
  for (const LogField& field : fields) log4cxx::MDC::put(field.name, field.value);
  logger->forcedLog(level, schema::Event_Name(event), log4cxx::spi::LocationInfo::getLocationUnavailable());
  log4cxx::MDC::clear();
}

void logFailure(schema::Event event, const Failure& failure) {
  logEvent(event, {{"code", codeName(failure.code)},
                   {"ran", ranName(failure.ran)},
                   {"step", failure.step},
                   {"peer", failure.peer},
                   {"detail", failure.detail}});
}

std::string describeEvents() {
  std::ostringstream page;
  page << "# Events\n\nPrinted by `courseloom describe events` from schema/events.proto; CI checks that they agree.\n"
       << "Each log line is one JSON object; `context_map.event` holds the number.\n\n"
       << "| number | event | level | meaning |\n|---|---|---|---|\n";
  const auto* descriptor = schema::Event_descriptor();
  for (int i = 1; i < descriptor->value_count(); ++i) {
    const auto* value = descriptor->value(i);
    const schema::EventRule& rule = value->options().GetExtension(schema::event);
    page << "| " << value->number() << " | " << value->name() << " | " << rule.level() << " | " << rule.meaning()
         << " |\n";
  }
  return page.str();
}

}  // namespace courseloom
