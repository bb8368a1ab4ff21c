// This file is part of courseloom, a scheduler for multi-accelerator jobs under workspace guarantees.
// SPDX-License-Identifier: MPL-2.0

#include "Courseloom/src/Schema/YamlReader.h"

#include <google/protobuf/util/json_util.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/address.hpp>
#include <cctype>
#include <fstream>
#include <sstream>

#include "generated/options.pb.h"

namespace courseloom {
namespace internal {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

constexpr std::size_t MaxNameLength = 63;

const schema::Rule& rule_of(const FieldDescriptor& field) { return field.options().GetExtension(schema::rule); }

Failure bad_settings(const std::string& where, const std::string& detail) {
  return Failure{FailureCode::BadSettings, Ran::No, "read settings", where, detail, 0};
}

bool valid_name(const std::string& text) {
  if (text.empty() || text.size() > MaxNameLength) return false;
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; });
}

bool valid_endpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 == text.size()) return false;
  const std::string port = text.substr(colon + 1);
  const bool digits = std::all_of(port.begin(), port.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
  if (!digits || port.size() > 5 || std::stoul(port) > 65535) return false;
  boost::system::error_code error;
  boost::asio::ip::make_address(text.substr(0, colon), error);
  return !error;
}

/** \returns whether a rule limits the value, which it does only if its maximum is above its minimum. */
bool has_range(const schema::Rule& rule) { return rule.max() > rule.min(); }

std::string range_text(const schema::Rule& rule) {
  std::ostringstream text;
  text.precision(15);
  text << rule.min() << " to " << rule.max();
  return text.str();
}

/** Checks one scalar against the rule of its key. \returns a text that says how it violates the rule, or an empty
 * string */
std::string rule_violation(const schema::Rule& rule, const std::string& text, double number, bool isNumber) {
  if (isNumber && has_range(rule) && (number < rule.min() || number > rule.max())) {
    return "value " + text + " is outside " + range_text(rule);
  }
  if (rule.form() == "name" && !valid_name(text)) {
    return "'" + text + "' is not a name (letters, digits, '-', '_', '.'; at most 63)";
  }
  if (rule.form() == "endpoint" && !text.empty() && !valid_endpoint(text)) {
    return "'" + text + "' is not an IP number and a port";
  }
  if (rule.form() == "ip") {
    boost::system::error_code error;
    boost::asio::ip::make_address(text, error);
    if (error) return "'" + text + "' is not an IP number";
  }
  return {};
}

/** \class Reader
 * \brief Parses a YAML tree into a message and records the first failure.
 */
class Reader {
 public:
  explicit Reader(std::string file) : m_file(std::move(file)) {}

  void readMessage(const YAML::Node& node, Message& message, const std::string& path) {
    if (!node.IsMap()) return reject(node, path, "expected keys and values");
    std::vector<std::string> seen;
    for (const auto& pair : node) {
      const std::string key = pair.first.Scalar();
      const std::string keyPath = path.empty() ? key : path + "." + key;
      if (std::find(seen.begin(), seen.end(), key) != seen.end()) reject(pair.first, keyPath, "key given twice");
      seen.push_back(key);
      const FieldDescriptor* field = findField(*message.GetDescriptor(), key);
      if (field == nullptr) {
        reject(pair.first, keyPath, "unknown key");
      } else {
        readField(pair.second, message, *field, keyPath);
      }
    }
  }

  const std::optional<Failure>& failure() const { return m_failure; }

 private:
  static const FieldDescriptor* findField(const Descriptor& descriptor, const std::string& key) {
    for (int i = 0; i < descriptor.field_count(); ++i) {
      if (descriptor.field(i)->json_name() == key) return descriptor.field(i);
    }
    return nullptr;
  }

  void readField(const YAML::Node& node, Message& message, const FieldDescriptor& field, const std::string& path) {
    if (field.is_map()) return readMap(node, message, field, path);
    if (!field.is_repeated()) return readSingle(node, message, field, path);
    if (!node.IsSequence()) return reject(node, path, "expected a list");
    message.GetReflection()->ClearField(&message, &field);
    for (std::size_t i = 0; i < node.size(); ++i) {
      Message* element = message.GetReflection()->AddMessage(&message, &field);
      readMessage(node[i], *element, path + "[" + std::to_string(i) + "]");
    }
  }

  void readMap(const YAML::Node& node, Message& message, const FieldDescriptor& field, const std::string& path) {
    if (!node.IsMap()) return reject(node, path, "expected keys and values");
    const Reflection* reflection = message.GetReflection();
    reflection->ClearField(&message, &field);
    for (const auto& pair : node) {
      if (!pair.second.IsScalar() || !valid_name(pair.first.Scalar())) {
        reject(pair.first, path, "a label is a name and a plain value");
        continue;
      }
      Message* entry = reflection->AddMessage(&message, &field);
      const Descriptor* type = entry->GetDescriptor();
      entry->GetReflection()->SetString(entry, type->field(0), pair.first.Scalar());
      entry->GetReflection()->SetString(entry, type->field(1), pair.second.Scalar());
    }
  }

  void readSingle(const YAML::Node& node, Message& message, const FieldDescriptor& field, const std::string& path) {
    const Reflection* reflection = message.GetReflection();
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      return readMessage(node, *reflection->MutableMessage(&message, &field), path);
    }
    if (!node.IsScalar()) return reject(node, path, "expected a single value");
    readScalar(node, message, field, path);
  }

  void readScalar(const YAML::Node& node, Message& message, const FieldDescriptor& field, const std::string& path) {
    const Reflection* reflection = message.GetReflection();
    const std::string& text = node.Scalar();
    double number = 0;
    bool isNumber = false;
    try {
      switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_STRING:
          reflection->SetString(&message, &field, text);
          break;
        case FieldDescriptor::CPPTYPE_BOOL:
          reflection->SetBool(&message, &field, node.as<bool>());
          break;
        case FieldDescriptor::CPPTYPE_UINT32:
          reflection->SetUInt32(&message, &field, node.as<std::uint32_t>());
          number = node.as<double>();
          isNumber = true;
          break;
        case FieldDescriptor::CPPTYPE_UINT64:
          reflection->SetUInt64(&message, &field, node.as<std::uint64_t>());
          number = node.as<double>();
          isNumber = true;
          break;
        case FieldDescriptor::CPPTYPE_DOUBLE:
          reflection->SetDouble(&message, &field, node.as<double>());
          number = node.as<double>();
          isNumber = true;
          break;
        case FieldDescriptor::CPPTYPE_ENUM: {
          const auto* value = field.enum_type()->FindValueByName(text);
          if (value == nullptr) return reject(node, path, "'" + text + "' is not one of " + choices(field));
          reflection->SetEnum(&message, &field, value);
          break;
        }
        default:
          return reject(node, path, "type not supported in YAML");
      }
    } catch (const YAML::Exception&) {
      return reject(node, path, "'" + text + "' is not a " + std::string(field.cpp_type_name()));
    }
    const std::string violation = rule_violation(rule_of(field), text, number, isNumber);
    if (!violation.empty()) reject(node, path, violation);
  }

  static std::string choices(const FieldDescriptor& field) {
    std::string list;
    for (int i = 0; i < field.enum_type()->value_count(); ++i) {
      list += (i == 0 ? "" : ", ") + field.enum_type()->value(i)->name();
    }
    return list;
  }

  /** Records a failure at a node, unless one is recorded already. */
  void reject(const YAML::Node& node, const std::string& path, const std::string& detail) {
    if (m_failure) return;
    const std::string where = m_file + ":" + std::to_string(node.Mark().line + 1);
    m_failure = bad_settings(where, "key '" + path + "': " + detail);
  }

  std::string m_file;
  std::optional<Failure> m_failure;
};

/** Sets a field to the default value of its rule. */
void set_default(Message& message, const FieldDescriptor& field, const std::string& text) {
  const Reflection* reflection = message.GetReflection();
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
    reflection->SetUInt32(&message, &field, static_cast<std::uint32_t>(std::stoul(text)));
  } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64) {
    reflection->SetUInt64(&message, &field, std::stoull(text));
  } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
    reflection->SetDouble(&message, &field, std::stod(text));
  } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_BOOL) {
    reflection->SetBool(&message, &field, text == "true");
  } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
    reflection->MutableMessage(&message, &field);  // a section that is left out gets its defaults
  } else {
    reflection->SetString(&message, &field, text);
  }
}

bool is_set(const Message& message, const FieldDescriptor& field) {
  const Reflection* reflection = message.GetReflection();
  return field.is_repeated() ? reflection->FieldSize(message, &field) > 0 : reflection->HasField(message, &field);
}

/** Sets default values and checks each field of a message and of the messages below. \returns the first error, or an
 * empty string */
std::string check_tree(Message& message, const std::string& path);

std::string check_field(Message& message, const FieldDescriptor& field, const std::string& path) {
  const schema::Rule& rule = rule_of(field);
  const Reflection* reflection = message.GetReflection();
  if (!is_set(message, field)) {
    if (rule.required()) return "key '" + path + "' is missing";
    if (rule.default_value().empty()) return {};
    set_default(message, field, rule.default_value());
    if (field.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) return {};
  }
  if (field.is_map()) return {};
  if (field.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
    double number = 0;
    bool isNumber = true;
    std::string text;
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
      number = reflection->GetUInt32(message, &field);
    } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64) {
      number = static_cast<double>(reflection->GetUInt64(message, &field));
    } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
      text = reflection->GetString(message, &field);
      isNumber = false;
    } else {
      isNumber = false;
    }
    if (isNumber) text = std::to_string(static_cast<std::uint64_t>(number));
    const std::string violation = rule_violation(rule, text, number, isNumber);
    return violation.empty() ? violation : "key '" + path + "': " + violation;
  }
  if (!field.is_repeated()) return check_tree(*reflection->MutableMessage(&message, &field), path);
  for (int i = 0; i < reflection->FieldSize(message, &field); ++i) {
    std::string errorText =
        check_tree(*reflection->MutableRepeatedMessage(&message, &field, i), path + "[" + std::to_string(i) + "]");
    if (!errorText.empty()) return errorText;
  }
  return {};
}

std::string check_tree(Message& message, const std::string& path) {
  const Descriptor* descriptor = message.GetDescriptor();
  for (int i = 0; i < descriptor->field_count(); ++i) {
    const FieldDescriptor* field = descriptor->field(i);
    const std::string fieldPath = path.empty() ? field->json_name() : path + "." + field->json_name();
    std::string errorText = check_field(message, *field, fieldPath);
    if (!errorText.empty()) return errorText;
  }
  return {};
}

/** Appends one row of a Markdown table for each key below a message. */
void describe_tree(const Descriptor& descriptor, const std::string& path, std::ostringstream& page) {
  for (int i = 0; i < descriptor.field_count(); ++i) {
    const FieldDescriptor* field = descriptor.field(i);
    const schema::Rule& rule = rule_of(*field);
    const std::string key = path + field->json_name();
    const bool nested = field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE && !field->is_map();
    std::string type = nested ? "section" : std::string(field->cpp_type_name());
    if (field->is_map()) type = "labels";
    if (field->is_repeated() && nested) type = "list";
    if (rule.form() == "ip") type = "IP number";
    if (rule.form() == "name") type = "name";
    page << "| `" << key << "` | " << type << " | " << (has_range(rule) ? range_text(rule) : "") << " | "
         << (rule.required() ? "required" : rule.default_value()) << " | " << rule.doc() << " |\n";
    if (nested) describe_tree(*field->message_type(), key + (field->is_repeated() ? "[]." : "."), page);
  }
}

}  // namespace
}  // namespace internal

Result<void> readYaml(const std::string& text, const std::string& file, google::protobuf::Message& message) {
  try {
    const YAML::Node root = YAML::Load(text);
    internal::Reader reader(file);
    reader.readMessage(root, message, "");
    if (reader.failure()) return fail(*reader.failure());
    return {};
  } catch (const YAML::Exception& error) {
    return fail(internal::bad_settings(file + ":" + std::to_string(error.mark.line + 1), error.msg));
  }
}

Result<void> readYamlFile(const std::string& file, google::protobuf::Message& message) {
  std::ifstream stream(file);
  if (!stream) return fail(internal::bad_settings(file, "cannot be read"));
  std::ostringstream text;
  text << stream.rdbuf();
  return readYaml(text.str(), file, message);
}

Result<void> checkRequired(const std::string& file, google::protobuf::Message& message) {
  const std::string errorText = internal::check_tree(message, "");
  if (!errorText.empty()) return fail(internal::bad_settings(file, errorText));
  return {};
}

Result<void> checkMessage(const std::string& step, google::protobuf::Message& message) {
  const std::string errorText = internal::check_tree(message, "");
  if (!errorText.empty()) return fail(Failure{FailureCode::BadRequest, Ran::No, step, "", errorText, 0});
  return {};
}

std::string describeMessage(const google::protobuf::Descriptor& descriptor) {
  std::ostringstream page;
  page << "| key | type | range | default | meaning |\n|---|---|---|---|---|\n";
  internal::describe_tree(descriptor, "", page);
  return page.str();
}

std::string toYaml(const google::protobuf::Message& message) {
  std::string json;
  google::protobuf::util::MessageToJsonString(message, &json);
  YAML::Emitter emitter;
  YAML::Node node = YAML::Load(json);
  std::vector<YAML::Node> open{node};
  while (!open.empty()) {
    YAML::Node next = open.back();
    open.pop_back();
    next.SetStyle(YAML::EmitterStyle::Block);
    if (next.IsMap()) {
      for (const auto& pair : next) open.push_back(pair.second);
    } else if (next.IsSequence()) {
      for (const auto& element : next) open.push_back(element);
    }
  }
  emitter << node;
  return std::string(emitter.c_str()) + "\n";
}

}  // namespace courseloom
