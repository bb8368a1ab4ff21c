// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

// The timeline of one id from the logs of several processes.

#include "Courseloom/src/Client/LogTimeline.h"

#include <sstream>

#include "test/main.h"

using namespace courseloom;

namespace {

std::string line(const std::string& time, const std::string& process, const std::string& event,
                 const std::string& task) {
  return R"({ "timestamp": ")" + time + R"(", "level": "INFO", "message": ")" + event +
         R"(", "context_map": { "event": "1", "process": ")" + process + R"(", "task": ")" + task + R"(" } })";
}

}  // namespace

Test(log_timeline, lines_of_one_id_are_sorted_by_time) {
  LogTimeline timeline("ab.0.0.0");
  std::istringstream leader(line("2026-01-01 00:00:02,000", "control-1", "TaskAccused", "ab.0.0.0") + "\n" +
                            line("2026-01-01 00:00:03,000", "control-1", "RunPlaced", "cd.0.0.0"));
  std::istringstream agent("  1.0 agent-1 " + line("2026-01-01 00:00:01,000", "agent-1", "RunStarted", "ab.0.0.0") +
                           "\nready name=ab.0.0.0\n{ ab.0.0.0 cut");
  timeline.read(leader);
  timeline.read(agent);
  cr_assert(timeline.text() ==
            "2026-01-01 00:00:01,000 agent-1 RunStarted task=ab.0.0.0\n"
            "2026-01-01 00:00:02,000 control-1 TaskAccused task=ab.0.0.0\n");
}

Test(log_timeline, an_id_that_no_line_names_has_an_empty_timeline) {
  LogTimeline timeline("ef");
  std::istringstream log(line("2026-01-01 00:00:02,000", "control-1", "TaskAccused", "ab.0.0.0"));
  timeline.read(log);
  cr_assert(timeline.text().empty());
}
