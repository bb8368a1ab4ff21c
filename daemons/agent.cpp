// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Agent/AgentService.h"
#include "Courseloom/src/Agent/RunAgentService.h"
#include "platform/Endpoints.h"

namespace {

std::unique_ptr<courseloom::Service> makeService(const courseloom::DaemonContext& context) {
  if (!context.settings.has_runner()) return std::make_unique<courseloom::AgentService>(context);
  courseloom::RunAgentProtocol protocol;
  protocol.makePort = courseloom::platform::makeTargetPort;
  protocol.answerRegistration = courseloom::platform::answerRegistration;
  return std::make_unique<courseloom::RunAgentService>(context, std::move(protocol));
}

}  // namespace

int main(int argc, char** argv) {
  courseloom::DaemonProgram program;
  program.name = "courseloom-agent";
  program.description = "Agent of courseloom: guards the target beside it";
  program.addRequiredSections = [](courseloom::schema::Settings& settings) {
    if (!settings.has_runner()) settings.mutable_agent();
  };
  program.makeService = makeService;
  return courseloom::runDaemon(program, argc, argv);
}
