// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include <iostream>

#include "Courseloom/src/Control/ControlService.h"
#include "Courseloom/src/Control/Recovery.h"
#include "platform/Endpoints.h"

namespace {

courseloom::Result<std::string> runFolderCommand(const courseloom::schema::Settings& settings,
                                                 const std::string& command) {
  if (command == "inspect") return courseloom::inspectFolder(settings);
  if (command == "recover") return courseloom::recoverFolder(settings);
  BOOST_LEAF_CHECK(courseloom::initialiseFounder(settings));
  return "initialised " + settings.node().data_folder() + "\n";
}

std::optional<int> runCommand(const courseloom::schema::Settings& settings, const std::string& command) {
  courseloom::Result<std::string> done = runFolderCommand(settings, command);
  if (!done) {
    std::cerr << "courseloom-control: " << courseloom::extractFailure(done).text() << "\n";
    return courseloom::ExitStorage;
  }
  std::cout << *done;
  return courseloom::ExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  courseloom::DaemonProgram program;
  program.name = "courseloom-control";
  program.description = "Control replica of courseloom: the replicated log and the decisions of its leader";
  program.addRequiredSections = [](courseloom::schema::Settings& settings) {
    settings.mutable_control();
    // Gangs run on a platform's workers and need its settings; workflows run through agents and do not.
    if (!settings.has_edge()) settings.mutable_platform();
  };
  program.commands = {
      {"init", "Make the data folder of a founding member, then exit; never again on a replaced disk"},
      {"inspect", "Say what the data folder holds, then exit; the replica must not run"},
      {"recover",
       "Make this disk the only voter when no quorum of disks is left, say what could be missing, then exit"},
  };
  program.runCommand = runCommand;
  program.makeService = [](const courseloom::DaemonContext& context) {
    courseloom::ControlProtocol protocol;
    protocol.makeAdvice = courseloom::platform::makeAdvicePort;
    protocol.answerOperator = courseloom::platform::answerOperator;
    return std::make_unique<courseloom::ControlService>(context, std::move(protocol));
  };
  return courseloom::runDaemon(program, argc, argv);
}
