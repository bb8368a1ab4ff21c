// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <google/protobuf/message.h>

#include <string>

#include "Courseloom/src/Core/Failure.h"

namespace courseloom {

/** Reads YAML into a message of the schema. Unknown keys, wrong types and values outside a key's rule are failures
 * that name file, line and key. Keys that are given overwrite; others keep what the message holds, so that a second
 * file can be laid over a first. Required keys are checked by checkRequired.
 * \param text YAML text \param file name for messages \param message message to fill
 */
Result<void> readYaml(const std::string& text, const std::string& file, google::protobuf::Message& message);
/** Reads a whole file; \sa readYaml. */
Result<void> readYamlFile(const std::string& file, google::protobuf::Message& message);
/** Fills in default values and checks that every required key is there. */
Result<void> checkRequired(const std::string& file, google::protobuf::Message& message);
/** Checks forms, ranges and required fields of a message that came over the wire. */
Result<void> checkMessage(const std::string& step, google::protobuf::Message& message);
/** \returns a Markdown table of all keys below a message, with type, range, default and meaning. */
std::string describeMessage(const google::protobuf::Descriptor& descriptor);
/** \returns a message as YAML, with the schema's own key names. */
std::string toYaml(const google::protobuf::Message& message);

}  // namespace courseloom
