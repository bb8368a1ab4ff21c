// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Entry/EntryService.h"
#include "platform/Endpoints.h"

int main(int argc, char** argv) {
  courseloom::DaemonProgram program;
  program.name = "courseloom-entry";
  program.description = "Entry of courseloom: HTTP for callers and operators";
  program.addRequiredSections = [](courseloom::schema::Settings& settings) { settings.mutable_entry(); };
  program.makeService = [](const courseloom::DaemonContext& context) {
    courseloom::EntryProtocol protocol;
    protocol.answerCaller = courseloom::platform::answerCaller;
    protocol.checkCaller = courseloom::platform::checkCaller;
    protocol.answerReadiness = courseloom::platform::answerReadiness;
    return std::make_unique<courseloom::EntryService>(context, std::move(protocol));
  };
  return courseloom::runDaemon(program, argc, argv);
}
