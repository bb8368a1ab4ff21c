// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#pragma once

#include <google/protobuf/message.h>

#include <string>

#include "Courseloom/src/Core/Failure.h"

namespace courseloom {

/** Parses YAML into a message of the schema. An unknown key, a wrong type or a value that violates the key's rule is a
 * failure whose text names file, line and key. A key in the text overwrites the field of the message, lists and labels
 * as a whole; other fields keep their values, so that a second file can override keys of a first. Required keys are
 * checked by checkRequired.
 * \param text YAML text \param file file name for failures \param message message to fill
 */
Result<void> readYaml(const std::string& text, const std::string& file, google::protobuf::Message& message);
/** Parses a file. \sa readYaml */
Result<void> readYamlFile(const std::string& file, google::protobuf::Message& message);
/** Sets default values and checks that every required key is set and that each value follows its rule. \returns
 * BadSettings with the first error */
Result<void> checkRequired(const std::string& file, google::protobuf::Message& message);
/** Sets default values and checks forms, ranges and required fields of a message that was received. \param step name of
 * the step for failures \returns BadRequest with the first error */
Result<void> checkMessage(const std::string& step, google::protobuf::Message& message);
/** \returns a Markdown table of all keys below a message, with type, range, default and meaning. */
std::string describeMessage(const google::protobuf::Descriptor& descriptor);
/** \returns a message as YAML, with the key names of the schema's JSON format. */
std::string toYaml(const google::protobuf::Message& message);

}  // namespace courseloom
