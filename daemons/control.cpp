// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include <iostream>

#include "Courseloom/src/Control/ControlService.h"

namespace {

std::optional<int> runCommand(const courseloom::schema::Settings& settings, const std::string& command) {
  if (command != "init") return std::nullopt;
  courseloom::Result<void> made = courseloom::initialiseFounder(settings);
  if (!made) {
    std::cerr << "courseloom-control: " << courseloom::takeFailure(made).text() << "\n";
    return courseloom::ExitStorage;
  }
  std::cout << "initialised " << settings.node().data_folder() << "\n";
  return courseloom::ExitSuccess;
}

}  // namespace

int main(int argc, char** argv) {
  courseloom::DaemonProgram program;
  program.name = "courseloom-control";
  program.description = "Control replica of courseloom: the replicated log and the decisions of its leader";
  program.needSections = [](courseloom::schema::Settings& settings) {
    settings.mutable_control();
    settings.mutable_platform();
  };
  program.commands = {{"init", "Make the data folder of a founding member, then exit; never again on a replaced disk"}};
  program.runCommand = runCommand;
  program.makeService = [](const courseloom::DaemonContext& context) {
    return std::make_unique<courseloom::ControlService>(context);
  };
  return courseloom::runDaemon(program, argc, argv);
}
