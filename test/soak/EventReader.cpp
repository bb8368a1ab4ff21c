// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "test/soak/EventReader.h"

#include <fstream>

namespace courseloom::test {

void EventReader::read() {
  for (unsigned target = 1; target <= m_cluster.size().targets; ++target) {
    std::ifstream file(m_cluster.eventFile(target));
    file.seekg(m_offsets[target]);
    for (std::string line; std::getline(file, line) && !file.eof();) {
      m_offsets[target] += static_cast<std::streamoff>(line.size()) + 1;
      const std::optional<RunEvent> event = parseRunEvent(line);
      if (event) m_history.add(*event);
    }
  }
}

}  // namespace courseloom::test
