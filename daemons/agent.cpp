// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Agent/AgentService.h"

int main(int argc, char** argv) {
  courseloom::DaemonProgram program;
  program.name = "courseloom-agent";
  program.description = "Agent of courseloom: guards the target beside it";
  program.needSections = [](courseloom::schema::Settings& settings) { settings.mutable_agent(); };
  program.makeService = [](const courseloom::DaemonContext& context) {
    return std::make_unique<courseloom::AgentService>(context);
  };
  return courseloom::runDaemon(program, argc, argv);
}
