// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Core/Log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>
#include <xxhash.h>

#include <array>
#include <mutex>
#include <sstream>

#include "Courseloom/src/Core/Clock.h"
#include "Courseloom/src/Core/LogGroupSampler.h"

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

/** Lines that may wait to be written; further ones are dropped. */
constexpr int MaxQueuedLines = 2048;
/** Budget of one event, lines a second; lines beyond it are only counted. Warnings and errors, such as refusals and
 * losses, have a larger budget. */
constexpr unsigned LinesEachSecond = 100;
constexpr unsigned WarningsEachSecond = 200;
/** Budget of all log groups together, lines a second, above which fewer groups are written. */
constexpr unsigned GroupedLinesEachSecond = 200;
/** All event numbers are below this. */
constexpr std::size_t EventNumbers = 1000;

std::int64_t second_now() { return BootClock::now().time_since_epoch() / milliseconds(1000); }

/** \class EventBudget
 * \brief Limits the lines that each event writes in a second, and counts the lines that were left out.
 */
class EventBudget {
 public:
  /** Decides on one line of an event. \param allowed budget, lines a second
   * \param omitted set to the number of lines left out in the last second that had lines of the event, once it is over
   * \returns whether to write the line */
  bool admit(schema::Event event, unsigned allowed, std::uint64_t& omitted) {
    const std::int64_t second = second_now();
    const std::lock_guard lock(m_mutex);
    Window& window = m_windows[static_cast<std::size_t>(event) % EventNumbers];
    if (window.second != second) {
      omitted = window.omitted;
      window = Window{second, 0, 0};
    }
    if (window.lines < allowed) {
      ++window.lines;
      return true;
    }
    ++window.omitted;
    return false;
  }

 private:
  struct Window {
    std::int64_t second = 0;
    unsigned lines = 0;
    std::uint64_t omitted = 0;
  };
  std::mutex m_mutex;
  std::array<Window, EventNumbers> m_windows;
};

EventBudget& event_budget() {
  static EventBudget budget;
  return budget;
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
    appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
  } else {
    appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
  }
  // A thread that logs must never block on the reader of the log: if the queue is full, lines are dropped, and the
  // appender reports how many.
  auto queue = std::make_shared<log4cxx::AsyncAppender>();
  queue->setBufferSize(internal::MaxQueuedLines);
  queue->setBlocking(false);
  queue->addAppender(appender);
  log4cxx::BasicConfigurator::configure(queue);
  internal::process_logger()->setLevel(log4cxx::Level::toLevel(level));
}

namespace internal {
namespace {

void write_line(schema::Event event, const log4cxx::LevelPtr& level, std::initializer_list<LogField> fields) {
  log4cxx::MDC::put("event", std::to_string(event));
  log4cxx::MDC::put("process", process_name());
  for (const LogField& field : fields) log4cxx::MDC::put(field.name, field.value);
  process_logger()->forcedLog(level, schema::Event_Name(event), log4cxx::spi::LocationInfo::getLocationUnavailable());
  log4cxx::MDC::clear();
}

}  // namespace
}  // namespace internal

void logEvent(schema::Event event, std::initializer_list<LogField> fields) {
  const log4cxx::LevelPtr level = log4cxx::Level::toLevel(internal::event_rule(event).level());
  if (!internal::process_logger()->isEnabledFor(level)) return;
  const bool isWarning = level->isGreaterOrEqual(log4cxx::Level::getWarn());
  std::uint64_t omitted = 0;
  const bool write = internal::event_budget().admit(
      event, isWarning ? internal::WarningsEachSecond : internal::LinesEachSecond, omitted);
  if (omitted > 0) {
    internal::write_line(schema::LinesOmitted, log4cxx::Level::getWarn(),
                         {{"of", schema::Event_Name(event)}, {"count", omitted}});
  }
  if (write) internal::write_line(event, level, fields);
}

void logGroupEvent(schema::Event event, const std::string& group, std::initializer_list<LogField> fields) {
  const log4cxx::LevelPtr level = log4cxx::Level::toLevel(internal::event_rule(event).level());
  if (!internal::process_logger()->isEnabledFor(level)) return;
  static std::mutex mutex;
  static LogGroupSampler sampler(internal::GroupedLinesEachSecond);
  std::uint64_t omitted = 0;
  bool write = false;
  {
    const std::lock_guard lock(mutex);
    write = sampler.admit(XXH64(group.data(), group.size(), 0), internal::second_now(), omitted);
  }
  if (omitted > 0)
    internal::write_line(schema::LinesOmitted, log4cxx::Level::getWarn(), {{"of", "stories"}, {"count", omitted}});
  if (write) internal::write_line(event, level, fields);
}

void flushLog() { log4cxx::LogManager::shutdown(); }

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
